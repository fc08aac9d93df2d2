// Package forward takes opaque requests of callers through their stages to an
// endpoint and brings the answer back whole, or says truly that the request did
// not run.
package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"eelgrassgrade/internal/app/stagework"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
	"eelgrassgrade/internal/decide/placement"
)

// Request is one attempt of a caller.
type Request struct {
	ID     core.RequestID
	Method string
	Host   string
	// Target is the request target as it came in, Path its path without the query.
	Target, Path string
	// Header holds what is passed on unchanged.
	Header http.Header
	Body   []byte
	// Key is the caller's API key.
	Key     string
	Arrived time.Time
	// Limit is how long the caller waits from Arrived on; 0 if it does not say.
	Limit time.Duration

	// Model, Prompt and the token counts describe work for a model engine.
	Model        string
	Prompt       []placement.Part
	PromptTokens int
	OutputTokens int
	// Pieces holds the number of pieces of each stage, PieceKey their key.
	Pieces   []int
	PieceKey string
	// ResumeAfter is the last event that the caller has, if it resumes a stream.
	ResumeAfter string
}

// Outgoing is a request as it goes to an endpoint.
type Outgoing struct {
	*Request
	Account   core.AccountID
	Remaining time.Duration
	// Priority is the rank, 0 first.
	Priority int
	// Inputs are the handles of the results that the request takes.
	Inputs []string
	// After is the last event that was delivered, if a stream goes on.
	After string
	// KeepAlive allows a connection that was used before; it must not be set for
	// work that may not run twice.
	KeepAlive bool
}

// Answer is an endpoint's answer.
type Answer struct {
	Status int
	// Header holds what goes to the caller.
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of Body in bytes, -1 if the endpoint does not say.
	Length int64
	// NotStarted says that the endpoint states it did not begin the request.
	NotStarted bool
	// Genuine says that the answer is marked as the endpoint's own for this request.
	Genuine bool
	// InputsGone says that a result the request takes no longer exists.
	InputsGone bool
}

// Endpoints sends requests. An error is a *core.Error whose Ran is RanNot only
// if no byte of the request reached the endpoint.
type Endpoints interface {
	Send(ctx context.Context, e core.Endpoint, o *Outgoing) (*Answer, error)
	// Reachable says whether the endpoint accepts connections.
	Reachable(ctx context.Context, e core.Endpoint) bool
}

// Stages runs the stages of requests.
type Stages interface {
	Run(ctx context.Context, t *stagework.Task) ([]stagework.Result, error)
	Release(pool core.PoolID, results []stagework.Result)
	// Wait returns how long new pieces of the rank wait that are to be made in a data
	// centre.
	Wait(pool core.PoolID, rank int, near core.DataCenterID) time.Duration
}

// Budget bounds repeated calls to a pool.
type Budget interface {
	Request(pool core.PoolID, n int)
	Take(pool core.PoolID, n int) bool
}

// Choice explains the choice of an endpoint.
type Choice struct {
	Endpoint core.Endpoint
	// Running and PrefillTokens are the load that decided, of all daemons.
	Running, PrefillTokens int
	// RunnerUp is the next best endpoint and what it had in progress.
	RunnerUp        core.InstanceID
	RunnerUpRunning int
	// Home is 1 if the endpoint keeps the prompt's shared part, 2 if it is the
	// next one, and so on; Unread is the number of prompt tokens it has to read.
	Home, Unread int
	// Candidates is the number of endpoints in rotation.
	Candidates int
}

// Outcome is the end of a request.
type Outcome struct {
	Request  *Request
	Route    *catalog.Route
	Pool     core.PoolID
	Account  core.AccountID
	Rank     int
	Status   int
	Endpoint core.InstanceID
	Attempts int
	// StageTime is the time until all stages were done, FirstByte until the first
	// byte of the answer went to the caller, Total until the end; all since arrival.
	StageTime, FirstByte, Total time.Duration
	// LongestGap is the longest pause between two events as they came from the
	// endpoint.
	LongestGap time.Duration
	// Heaps is how often several events arrived at once after a pause: they were held
	// up between the endpoint and this daemon, by a lost packet or a slow link.
	Heaps int
	// CallerLeft says that the caller had closed its connection before the end.
	CallerLeft bool
	// Cut says that the answer was broken off.
	Cut bool
	Err *core.Error
	// ConfigVersion is the version of the catalog that decided.
	ConfigVersion int64
}

// Events is told of each decision on a request, for logs and metrics.
type Events interface {
	Sent(r *Request, pool core.PoolID, c Choice, attempt int, remaining time.Duration)
	Again(r *Request, pool core.PoolID, reason string, allowed bool, err *core.Error)
	Ended(o *Outcome)
	EndpointHealth(pool core.PoolID, e core.InstanceID, out bool, reason string)
	Quarantined(r *Request, crashes int)
}
