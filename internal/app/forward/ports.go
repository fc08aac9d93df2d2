// Package forward serves requests whose content it does not interpret: it runs
// the stages of the request's route, sends the request to an endpoint of the
// route's pool and relays the answer to the caller. A caller either gets the
// complete answer or can tell that it did not; an error says that the request
// did not run only if that is certain.
package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/app/holding"
	"eelgrassgrade/internal/app/stagework"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
	"eelgrassgrade/internal/decide/placement"
	"eelgrassgrade/internal/decide/quarantine"
	"eelgrassgrade/internal/decide/repeats"
)

// Request is one request as received from a caller. A caller that tries again
// sends a new Request.
type Request struct {
	ID     core.RequestID
	Method string
	Host   string
	// Target is the request target as received, Path its path without the query.
	Target, Path string
	// Header holds the header fields that are sent to the endpoint unchanged.
	Header http.Header
	Body   []byte
	// Hold accounts for the memory of Body; nil if it is not counted.
	Hold *holding.Hold
	// InProgress holds the request's phase; nil for a request that is not listed.
	InProgress *InProgress
	APIKey     string
	Arrived    time.Time
	// Timeout is how long the caller waits for the whole answer, counted from
	// Arrived; 0 if the caller sets no limit.
	Timeout time.Duration

	// Model, Prompt and the token counts describe work for a model engine.
	Model        string
	Prompt       []placement.Part
	PromptTokens int
	OutputTokens int
	// PieceCounts holds the number of pieces of each of the route's stages, by stage
	// index. PieceKey is the key of the pieces in stages without inputs.
	PieceCounts []int
	PieceKey    string
	// ResumeAfter is the ID of the last event that the caller received, if it resumes
	// a stream.
	ResumeAfter string
	// EndsWithConnection says that the caller takes the end of its connection for the end of
	// an answer without a length, as callers of HTTP/1.0 do.
	EndsWithConnection bool
}

// releaseBody gives up the body, which no endpoint will get from now on.
func (r *Request) releaseBody() {
	r.Body = nil
	r.Hold.Release()
}

// EndpointRequest is a caller's request with what the endpoint needs besides.
type EndpointRequest struct {
	*Request
	Account core.AccountID
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Priority is the request's rank; 0 is the most urgent.
	Priority int
	// Inputs are the handles of the stage results that the request needs.
	Inputs []string
	// LastEventID is the ID of the last event that the caller got, if the endpoint is
	// to resume a stream; otherwise it is empty.
	LastEventID string
	// KeepAlive allows the request to reuse a connection. It must not be set for
	// work that may not run twice.
	KeepAlive bool
}

// Answer is an endpoint's answer.
type Answer struct {
	Status int
	// Header holds the header fields that are sent to the caller.
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of Body in bytes, -1 if unknown.
	Length int64
	// Framing says what marks the end of Body.
	Framing Framing
	// NotStarted is true if the endpoint reports that it did not start the request.
	NotStarted bool
	// Genuine is true if the answer carries the mark by which the endpoint confirms
	// that it produced the answer for this very request.
	Genuine bool
	// InputsGone is true if the endpoint did not start the request because one of its
	// Inputs no longer exists.
	InputsGone bool
}

// Framing is the way in which the end of an answer is marked.
type Framing int

const (
	// FramedByLength answers end after the number of bytes that their header names.
	FramedByLength Framing = iota
	// FramedByChunks answers end with an empty chunk.
	FramedByChunks
	// FramedByClose answers end with their connection.
	FramedByClose
)

// String returns the name that logs and metrics use.
func (f Framing) String() string {
	switch f {
	case FramedByChunks:
		return "chunks"
	case FramedByClose:
		return "close"
	}
	return "length"
}

// Endpoints sends requests to endpoints.
type Endpoints interface {
	// Send sends a request and returns the answer with an open body. An error is a
	// *core.Error whose Ran is RanNot only if no byte of the request reached the
	// endpoint.
	Send(ctx context.Context, e core.Endpoint, r *EndpointRequest) (*Answer, error)
	// Reachable reports whether the endpoint accepts connections.
	Reachable(ctx context.Context, e core.Endpoint) Reachability
}

// Reachability says whether an endpoint accepts connections.
type Reachability int

const (
	// Unreachable endpoints do not respond, for example because the network fails.
	Unreachable Reachability = iota
	// Refusing endpoints have ended: their machine refuses connections.
	Refusing
	Reachable
)

// Stages runs the stages of requests.
type Stages interface {
	// Run runs all pieces of one stage and returns their results.
	Run(ctx context.Context, t *stagework.Task) ([]stagework.Result, error)
	// Release frees results of a pool.
	Release(pool core.PoolID, results []stagework.Result)
	// EstimateWait estimates how long new pieces of a rank will wait in the pool's queues
	// if their results are best produced in the preferred data centre.
	EstimateWait(pool core.PoolID, rank int, preferredDataCenter core.DataCenterID) time.Duration
}

// Budget limits the share of retries among the requests to a pool.
type Budget interface {
	// RecordRequests counts n first calls, which add to the budget.
	RecordRequests(pool core.PoolID, n int)
	// Take takes n retries from the budget if it allows them.
	Take(pool core.PoolID, n int) repeats.Decision
}

// Limits keeps the limits that endpoints name in their answers, and gets the permits to
// send requests to such endpoints.
type Limits interface {
	// Limit returns the requests per second that an endpoint takes from all daemons
	// together and the time since its last answer that said so, or ok false if it names
	// no limit and is warm.
	Limit(e endpoints.Entry) (perSecond float64, age time.Duration, ok bool)
	// BlockedUntil returns the time before which this daemon gets no permit for an
	// endpoint for work of a rank, or a time that is past.
	BlockedUntil(e endpoints.Entry, rank int) time.Time
	// Acquire reports whether a request of a rank may be sent to an endpoint now. It asks another
	// daemon if the endpoint names a limit, and BlockedUntil has not passed if that does
	// not grant a permit.
	Acquire(ctx context.Context, e endpoints.Entry, rank int, id core.RequestID) bool
	// ColdUntil returns until when an endpoint is cold, or ok false if it is warm.
	ColdUntil(e endpoints.Entry) (until time.Time, ok bool)
	// ColdShare returns the permits per second that this daemon may expect for a cold
	// endpoint.
	ColdShare(e endpoints.Entry) float64
}

// Choice describes why an endpoint was chosen.
type Choice struct {
	Endpoint core.Endpoint
	// Running is the number of requests that all daemons had in progress on the
	// endpoint, PrefillTokens the number of prompt tokens it still had to read.
	Running, PrefillTokens int
	// RunnerUp is the second best endpoint, RunnerUpRunning the number of requests in
	// progress on it.
	RunnerUp        core.InstanceID
	RunnerUpRunning int
	// AffinityRank is the endpoint's position in the order in which endpoints cache
	// the prompt's shared part: 1 for the endpoint that normally has it cached.
	// UncachedTokens is the number of prompt tokens that the endpoint has to read.
	AffinityRank, UncachedTokens int
	// Candidates is the number of endpoints that were considered.
	Candidates int
	// Limited is true if the endpoint names a limit: LimitPerSecond requests per second
	// from all daemons together, as its answer LimitAge ago said.
	Limited        bool
	LimitPerSecond float64
	LimitAge       time.Duration
}

// Outcome describes a request that has ended.
type Outcome struct {
	Request  *Request
	Route    *catalog.Route
	Pool     core.PoolID
	Account  core.AccountID
	Rank     int
	Status   int
	Endpoint core.InstanceID
	Attempts int
	// StageTime is the time from the request's arrival until its stages ended,
	// FirstByte until the first byte of the answer was sent to the caller and
	// Total until the request ended.
	StageTime, FirstByte, Total time.Duration
	// LongestGap is the longest pause in a stream after its first event, measured
	// where the daemon reads from the endpoint.
	LongestGap time.Duration
	// EventBursts is how often several events arrived at once after a pause. Such
	// events were delayed between the endpoint and this daemon, by a lost packet or a
	// slow link.
	EventBursts int
	// CallerLeft is true if the caller closed its connection before the request ended.
	CallerLeft bool
	// Cut is true if the answer was started but not completed.
	Cut bool
	// Phase is the phase in which the request ended: PhaseDone if it was answered whole.
	Phase Phase
	// Framing is that of the last answer that an endpoint began, empty if none did.
	Framing string
	Err     *core.Error
	// ConfigVersion is the version of the catalog that the request was served with.
	ConfigVersion int64
}

// Events receives the decisions on requests, for logs and metrics.
type Events interface {
	// RequestSent reports that a request is sent to the chosen endpoint. remaining is
	// the time until its deadline.
	RequestSent(r *Request, pool core.PoolID, c Choice, attempt int, remaining time.Duration)
	// RetryDecided reports whether a request that failed with err may be tried again,
	// and for which reason. budget is the decision of the retry budget, or nil if it was
	// not asked.
	RetryDecided(r *Request, pool core.PoolID, reason string, allowed bool, budget *repeats.Decision, err *core.Error)
	RequestEnded(o *Outcome)
	// EndpointHealth reports that an endpoint changed its phase. ejected is false if it
	// serves again, and true while it is ejected or probed.
	EndpointHealth(pool core.PoolID, e core.InstanceID, ejected bool, reason string)
	// EndpointCrashed reports that an endpoint crashed while it had a request that had been
	// receiving events for the time streaming, or had received none if that is negative.
	EndpointCrashed(r *Request, pool core.PoolID, e core.InstanceID, streaming time.Duration)
	// RequestQuarantined reports that a request was refused because its content has
	// crashed endpoints.
	RequestQuarantined(r *Request, crashes int)
	// PartRefused reports that a request was not sent because endpoints crash on a part
	// of its prompt.
	PartRefused(r *Request, pool core.PoolID, part string, v quarantine.Verdict)
	// PartProbed reports that a request is sent to find out whether a quarantined part of
	// its prompt is sound by now.
	PartProbed(r *Request, pool core.PoolID)
	// FirstEventProbed reports that a request is planned without the estimate of its
	// route's time to the first event, expected, which has had no measurement for the time
	// age, to find out whether it is still true.
	FirstEventProbed(r *Request, route string, expected, age time.Duration)
	// PartChanged reports that the quarantine of a part began or ended.
	PartChanged(c quarantine.PartChange)
}
