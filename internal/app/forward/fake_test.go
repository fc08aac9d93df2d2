package forward

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/app/stagework"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
	"eelgrassgrade/internal/decide/quarantine"
	"eelgrassgrade/internal/decide/repeats"
	"eelgrassgrade/internal/decide/shutdown"
)

// endpointBehavior is what a fake endpoint does with a request.
type endpointBehavior struct {
	err    *core.Error
	status int
	header http.Header
	// notStarted and inputsGone are set in the answer; forged answers are not Genuine.
	notStarted, inputsGone, forged bool
	body                           string
	length                         int64
	framing                        Framing
	// breaksOff makes reading fail after body, breakDelay later.
	breaksOff  bool
	breakDelay time.Duration
	// delay is the time from the request to the answer.
	delay time.Duration
	// endDelay is the time from body to io.EOF, pause that from body to rest.
	endDelay, pause time.Duration
	rest            string
	// breaksOffAfterRest makes reading fail after rest.
	breaksOffAfterRest bool
}

// fakePlatform implements the Forwarder's dependencies and records what it sends. Pool
// "p" serves all routes, pool "s" their stages.
type fakePlatform struct {
	forwarder *Forwarder
	snapshot  *catalog.Snapshot

	// mu guards the fields below once requests are in progress, and the fakeLimits.
	mu   sync.Mutex
	view *endpoints.View
	// respond decides what endpoint e does with the nth request sent.
	respond       func(e core.Endpoint, r *EndpointRequest, n int) endpointBehavior
	sentTo        []string
	requests      []*EndpointRequest
	cancellations int
	tasks         []*stagework.Task
	released      int
	// stageErr, if set, is the error of all stages from firstFailingStage on.
	stageErr          error
	firstFailingStage int
	queueWait         time.Duration
	// stageTime is the time that each stage takes, at least 100 ms.
	stageTime      time.Duration
	retriesAllowed bool
	// stopsAt is when the daemon ends; zero if it is not stopping. stopBegan is when its stop
	// began; without it callers have not heard of the stop.
	stopsAt, stopBegan time.Time
	// pauseEnds holds the ends of the pauses that endpoints have asked for.
	pauseEnds map[core.InstanceID]time.Time
	// limits holds the endpoints that name a limit.
	limits map[core.InstanceID]*fakeLimit
	// openAnswers counts the answers whose body is not closed, openAtCheck those that were
	// open when an endpoint was checked.
	openAnswers, openAtCheck int
	// unreachable makes endpoints refuse connections. reach, if set, is the result of
	// each check.
	unreachable bool
	reach       *Reachability
	// checked, if set, is called at each check of an endpoint.
	checked func()
}

// fakeLimit is the limit of one endpoint, with the permits that are left and the time
// after which another one is granted.
type fakeLimit struct {
	perSecond    float64
	permits      int
	asked        int
	wait         time.Duration
	blockedUntil time.Time
	// coldUntil is the end of the endpoint's cold time; zero if it is not cold.
	coldUntil time.Time
}

// withFakePlatform runs f, in a synctest bubble, with a fake platform whose pool "p" has
// n endpoints.
func withFakePlatform(t *testing.T, n int, f func(*fakePlatform)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{retriesAllowed: true, view: &endpoints.View{ByPool: map[core.PoolID][]endpoints.Entry{}, ByID: map[core.InstanceID]endpoints.Entry{}}}
		for i := range n {
			e := endpoints.Entry{Endpoint: core.Endpoint{ID: core.InstanceID(fmt.Sprint("e", i)), Pool: "p", DataCenter: "a", Address: fmt.Sprintf("10.0.0.%d:80", i)}, Slots: 8}
			p.view.ByPool["p"] = append(p.view.ByPool["p"], e)
			p.view.ByID[e.ID] = e
		}
		p.view.ByPool["s"] = []endpoints.Entry{{Endpoint: core.Endpoint{ID: "m", Pool: "s", DataCenter: "a"}}}
		split := []catalog.WeightedPool{{Pool: "p", Weight: 1}}
		route := func(name string, r catalog.Route) *catalog.Route {
			r.Name, r.Host, r.Prefix, r.Split, r.Timeout = name, "h", "/"+name+"/", split, 2*time.Second
			return &r
		}
		stages := []catalog.Stage{{Pool: "s", ResultBytes: 1000}, {Pool: "s", DependsOn: []int{0}, ResultBytes: 10}}
		p.snapshot = catalog.New(3, []*catalog.Route{
			route("once", catalog.Route{Attempts: 1}),
			route("safe", catalog.Route{Repeat: catalog.Repeatable, Attempts: 2}),
			route("stream", catalog.Route{Stream: true, Attempts: 1}),
			route("resume", catalog.Route{Stream: true, Repeat: catalog.Resumable, Attempts: 2}),
			route("staged", catalog.Route{Stream: true, Attempts: 1, Stages: stages, LatencyTarget: time.Second}),
			route("staged-resume", catalog.Route{Stream: true, Repeat: catalog.Resumable, Attempts: 2, Stages: stages, LatencyTarget: time.Second}),
			route("public", catalog.Route{Public: true, Attempts: 1}),
		}, []*catalog.Pool{{ID: "s", Batching: &catalog.Batching{MaxPieces: 8, CallTime: 100 * time.Millisecond, PieceTime: time.Millisecond}}},
			map[string]*catalog.Account{"key": {ID: "acc"}})
		p.forwarder = New(Options{Catalog: func() *catalog.Snapshot { return p.snapshot }, View: p.currentView,
			Fleet: func() *fleet.View { return &fleet.View{} }, Endpoints: p, Stages: p, PausedUntil: p.pausedUntil, Limits: p, Budget: p, Events: discardEvents{}, Now: time.Now, Stop: p.stop})
		p.forwarder.SetEndpoints(p.view)
		f(p)
	})
}

// currentView returns the view, which the caller must not change.
func (p *fakePlatform) currentView() *endpoints.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view
}

// changeView replaces the view by a changed copy, as requests in progress read the old one.
// The caller holds mu.
func (p *fakePlatform) changeView(change func(*endpoints.View)) {
	view := &endpoints.View{ByPool: maps.Clone(p.view.ByPool), ByID: maps.Clone(p.view.ByID)}
	change(view)
	p.view = view
}

func (p *fakePlatform) stop() shutdown.Stop {
	p.mu.Lock()
	defer p.mu.Unlock()
	began := p.stopBegan
	if began.IsZero() {
		began = p.stopsAt
	}
	return shutdown.Stop{Began: began, End: p.stopsAt}
}

// Limit implements Limits.
func (p *fakePlatform) Limit(e endpoints.Entry) (float64, time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.limits[e.ID]
	if l == nil {
		return 0, 0, false
	}
	return l.perSecond, time.Second, true
}

// BlockedUntil implements Limits.
func (p *fakePlatform) BlockedUntil(e endpoints.Entry, _ int) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.limits[e.ID]; l != nil {
		return l.blockedUntil
	}
	return time.Time{}
}

// ColdUntil implements Limits.
func (p *fakePlatform) ColdUntil(e endpoints.Entry) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.limits[e.ID]
	if l == nil {
		return time.Time{}, false
	}
	return l.coldUntil, l.coldUntil.After(time.Now())
}

// ColdShare implements Limits.
func (p *fakePlatform) ColdShare(e endpoints.Entry) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits[e.ID].perSecond
}

// Acquire implements Limits.
func (p *fakePlatform) Acquire(_ context.Context, e endpoints.Entry, _ int, _ core.RequestID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.limits[e.ID]
	if l == nil {
		return true
	}
	if l.asked++; l.permits == 0 {
		l.blockedUntil = time.Now().Add(l.wait)
		return false
	}
	l.permits--
	return true
}

func (p *fakePlatform) RecordRequests(core.PoolID, int) {}
func (p *fakePlatform) Take(core.PoolID, int) repeats.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return repeats.Decision{Allowed: p.retriesAllowed}
}

func (p *fakePlatform) Reachable(context.Context, core.Endpoint) Reachability {
	p.mu.Lock()
	p.openAtCheck += p.openAnswers
	checked := p.checked
	p.mu.Unlock()
	if checked != nil {
		checked()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reach != nil {
		return *p.reach
	}
	if p.unreachable {
		return Refusing
	}
	return Reachable
}

func (p *fakePlatform) Send(ctx context.Context, e core.Endpoint, r *EndpointRequest) (*Answer, error) {
	p.mu.Lock()
	p.sentTo = append(p.sentTo, string(e.ID))
	p.requests = append(p.requests, r)
	behavior := p.respond(e, r, len(p.sentTo))
	p.mu.Unlock()
	select {
	case <-time.After(behavior.delay):
	case <-ctx.Done():
		p.mu.Lock()
		p.cancellations++
		p.mu.Unlock()
		return nil, &core.Error{Kind: core.Upstream, Step: "send", Detail: "cancelled", Err: ctx.Err()}
	}
	if behavior.err != nil {
		return nil, behavior.err
	}
	var body io.Reader = strings.NewReader(behavior.body)
	if behavior.breaksOff {
		body = io.MultiReader(body, brokenReader{behavior.breakDelay})
	}
	if behavior.pause > 0 {
		body = io.MultiReader(body, &delayedEOF{ctx, behavior.pause}, strings.NewReader(behavior.rest))
	}
	if behavior.breaksOffAfterRest {
		body = io.MultiReader(body, brokenReader{})
	}
	if behavior.endDelay > 0 {
		body = io.MultiReader(body, &delayedEOF{ctx, behavior.endDelay})
	}
	p.mu.Lock()
	p.openAnswers++
	p.mu.Unlock()
	closeOnce := sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.openAnswers--
	})
	status := behavior.status
	if status == 0 {
		status = http.StatusOK
	}
	header := http.Header{"X-From": {string(e.ID)}}
	maps.Copy(header, behavior.header)
	return &Answer{Status: status, Header: header, Body: fakeBody{body, closeOnce}, Length: behavior.length, Framing: behavior.framing, NotStarted: behavior.notStarted,
		InputsGone: behavior.inputsGone, Genuine: !behavior.forged && !behavior.notStarted}, nil
}

// fakeBody is the body of an answer.
type fakeBody struct {
	io.Reader
	close func()
}

func (b fakeBody) Close() error {
	b.close()
	return nil
}

// brokenReader is a body that breaks off after a delay.
type brokenReader struct{ delay time.Duration }

func (r brokenReader) Read([]byte) (int, error) {
	time.Sleep(r.delay)
	return 0, io.ErrUnexpectedEOF
}

// delayedEOF is an empty body that ends after d, or fails when ctx ends.
type delayedEOF struct {
	ctx context.Context
	d   time.Duration
}

func (p *delayedEOF) Read([]byte) (int, error) {
	select {
	case <-time.After(p.d):
		return 0, io.EOF
	case <-p.ctx.Done():
		return 0, p.ctx.Err()
	}
}

func (p *fakePlatform) Run(ctx context.Context, t *stagework.Task) ([]stagework.Result, error) {
	p.mu.Lock()
	stageTime := p.stageTime
	p.mu.Unlock()
	select {
	case <-time.After(max(stageTime, 100*time.Millisecond)):
	case <-ctx.Done():
		return nil, &core.Error{Kind: core.DeadlineExceeded, Step: "stage", Ran: core.RanNot, Err: ctx.Err()}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tasks = append(p.tasks, t)
	if p.stageErr != nil && t.Stage >= p.firstFailingStage {
		return nil, p.stageErr
	}
	var results []stagework.Result
	for i := range t.Pieces {
		results = append(results, stagework.Result{Handle: fmt.Sprintf("%s-%d-%d-%d", t.Request, t.Stage, i, len(p.tasks)), Endpoint: "m", DataCenter: "a"})
	}
	return results, nil
}

func (p *fakePlatform) Release(_ core.PoolID, r []stagework.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released += len(r)
}

func (p *fakePlatform) EstimateWait(core.PoolID, int, core.DataCenterID) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queueWait
}

// discardEvents ignores all events.
type discardEvents struct{}

func (discardEvents) RequestSent(*Request, core.PoolID, Choice, int, time.Duration) {}
func (discardEvents) RetryDecided(*Request, core.PoolID, string, bool, *repeats.Decision, *core.Error) {
}
func (discardEvents) RequestEnded(*Outcome)                                     {}
func (discardEvents) EndpointHealth(core.PoolID, core.InstanceID, bool, string) {}
func (discardEvents) EndpointCrashed(*Request, core.PoolID, core.InstanceID, time.Duration) {
}
func (discardEvents) PartRefused(*Request, core.PoolID, string, quarantine.Verdict) {
}
func (discardEvents) PartProbed(*Request, core.PoolID) {}
func (discardEvents) FirstEventProbed(*Request, string, time.Duration, time.Duration) {
}
func (discardEvents) PartChanged(quarantine.PartChange) {}
func (discardEvents) RequestQuarantined(*Request, int)  {}

// callerAnswer is what a caller got, with the results of Forwarder.Serve.
type callerAnswer struct {
	status int
	body   string
	err    *core.Error
	cut    bool
}

// serve has the forwarder serve a request to a route. change may be nil.
func (p *fakePlatform) serve(ctx context.Context, route string, change func(*Request)) callerAnswer {
	r := &Request{ID: "r", Method: "POST", Host: "h", Path: "/" + route + "/1", Target: "/" + route + "/1", Header: http.Header{},
		Body: []byte("body"), APIKey: "key", Arrived: time.Now(), Timeout: 3 * time.Second}
	if change != nil {
		change(r)
	}
	rec := httptest.NewRecorder()
	err, cut := p.forwarder.Serve(ctx, r, rec)
	return callerAnswer{rec.Code, rec.Body.String(), err, cut}
}

// unknownOutcomeError is the error of a request that an endpoint may have run.
func unknownOutcomeError() *core.Error {
	return &core.Error{Kind: core.Upstream, Step: "send", Detail: "no answer"}
}

// connectionError is the error of a request that reached no endpoint.
func connectionError() *core.Error {
	return &core.Error{Kind: core.Unavailable, Step: "connect", Ran: core.RanNot, Detail: "no connection"}
}
