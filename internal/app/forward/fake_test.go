package forward

import (
	"context"
	"fmt"
	"io"
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
)

// act is what a fake endpoint does with a request.
type act struct {
	err    *core.Error
	status int
	// notStarted, inputsGone and forged describe the answer.
	notStarted, inputsGone, forged bool
	body                           string
	length                         int64
	// breaks cuts the answer after its body.
	breaks bool
	wait   time.Duration
	// rest is the time from the body to its end.
	rest time.Duration
}

// world is a fake platform; the records of sends are what promises are judged by.
type world struct {
	f    *Forwarder
	snap *catalog.Snapshot
	view *endpoints.View

	mu       sync.Mutex
	script   func(e core.Endpoint, o *Outgoing, n int) act
	sends    []string
	outs     []*Outgoing
	cancels  int
	tasks    []*stagework.Task
	released int
	// stageErr fails the stages from stageErrFrom on.
	stageErr     error
	stageErrFrom int
	wait         time.Duration
	// stageTime is the time of a stage, 100 ms if it is 0.
	stageTime time.Duration
	allowed   bool
	// resting holds until when endpoints want nothing.
	resting map[core.InstanceID]time.Time
	// crashing says that endpoints which break off are down afterwards.
	crashing bool
}

func start(t *testing.T, n int, f func(*world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{allowed: true, view: &endpoints.View{ByPool: map[core.PoolID][]endpoints.Entry{}, ByID: map[core.InstanceID]endpoints.Entry{}}}
		for i := range n {
			e := endpoints.Entry{Endpoint: core.Endpoint{ID: core.InstanceID(fmt.Sprint("e", i)), Pool: "p", DataCenter: "a"}, Slots: 8}
			w.view.ByPool["p"] = append(w.view.ByPool["p"], e)
			w.view.ByID[e.ID] = e
		}
		w.view.ByPool["s"] = []endpoints.Entry{{Endpoint: core.Endpoint{ID: "m", Pool: "s", DataCenter: "a"}}}
		split := []catalog.WeightedPool{{Pool: "p", Weight: 1}}
		route := func(name string, r catalog.Route) *catalog.Route {
			r.Name, r.Host, r.Prefix, r.Split, r.Timeout = name, "h", "/"+name+"/", split, 2*time.Second
			return &r
		}
		stage := []catalog.Stage{{Pool: "s", ResultBytes: 1000}, {Pool: "s", DependsOn: []int{0}, ResultBytes: 10}}
		var err error
		w.snap, err = catalog.New(3, []*catalog.Route{
			route("once", catalog.Route{Attempts: 1}),
			route("safe", catalog.Route{Repeat: catalog.Repeatable, Attempts: 2}),
			route("stream", catalog.Route{Stream: true, Attempts: 1}),
			route("resume", catalog.Route{Stream: true, Repeat: catalog.Resumable, Attempts: 2}),
			route("staged", catalog.Route{Stream: true, Attempts: 1, Stages: stage, LatencyTarget: time.Second}),
			route("staged-resume", catalog.Route{Stream: true, Repeat: catalog.Resumable, Attempts: 2, Stages: stage, LatencyTarget: time.Second}),
			route("public", catalog.Route{Public: true, Attempts: 1}),
		}, []*catalog.Pool{{ID: "s", Batching: &catalog.Batching{MaxPieces: 8, CallTime: 100 * time.Millisecond, PieceTime: time.Millisecond}}},
			map[string]*catalog.Account{"key": {ID: "acc"}})
		if err != nil {
			t.Fatal(err)
		}
		w.f = New(Options{Catalog: func() *catalog.Snapshot { return w.snap }, View: func() *endpoints.View { return w.view },
			Fleet: func() *fleet.View { return &fleet.View{} }, Endpoints: w, Stages: w, RestUntil: w.rest, Budget: w, Events: quiet{}, Now: time.Now})
		w.f.SetEndpoints(w.view)
		f(w)
	})
}

func (w *world) Request(core.PoolID, int)   {}
func (w *world) Take(core.PoolID, int) bool { return w.allowed }

func (w *world) Reachable(context.Context, core.Endpoint) bool {
	return !w.crashing
}

func (w *world) Send(ctx context.Context, e core.Endpoint, o *Outgoing) (*Answer, error) {
	w.mu.Lock()
	w.sends = append(w.sends, string(e.ID))
	w.outs = append(w.outs, o)
	a := w.script(e, o, len(w.sends))
	w.mu.Unlock()
	select {
	case <-time.After(a.wait):
	case <-ctx.Done():
		w.mu.Lock()
		w.cancels++
		w.mu.Unlock()
		return nil, &core.Error{Kind: core.Upstream, Step: "send", Detail: "cancelled", Err: ctx.Err()}
	}
	if a.err != nil {
		return nil, a.err
	}
	var body io.Reader = strings.NewReader(a.body)
	if a.breaks {
		body = io.MultiReader(body, broken{})
	}
	if a.rest > 0 {
		body = io.MultiReader(body, &pause{ctx, a.rest})
	}
	status := a.status
	if status == 0 {
		status = http.StatusOK
	}
	return &Answer{Status: status, Header: http.Header{"X-From": {string(e.ID)}}, Body: io.NopCloser(body), Length: a.length, NotStarted: a.notStarted,
		InputsGone: a.inputsGone, Genuine: !a.forged && !a.notStarted}, nil
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// pause is the end of a body that comes after a time, or with the request's end.
type pause struct {
	ctx context.Context
	d   time.Duration
}

func (p *pause) Read([]byte) (int, error) {
	select {
	case <-time.After(p.d):
		return 0, io.EOF
	case <-p.ctx.Done():
		return 0, p.ctx.Err()
	}
}

func (w *world) Run(ctx context.Context, t *stagework.Task) ([]stagework.Result, error) {
	select {
	case <-time.After(max(w.stageTime, 100*time.Millisecond)):
	case <-ctx.Done():
		return nil, &core.Error{Kind: core.DeadlineExceeded, Step: "stage", Ran: core.RanNot, Err: ctx.Err()}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tasks = append(w.tasks, t)
	if w.stageErr != nil && t.Stage >= w.stageErrFrom {
		return nil, w.stageErr
	}
	var out []stagework.Result
	for i := range t.Pieces {
		out = append(out, stagework.Result{Handle: fmt.Sprintf("%s-%d-%d-%d", t.Request, t.Stage, i, len(w.tasks)), Endpoint: "m", DataCenter: "a"})
	}
	return out, nil
}

func (w *world) Release(_ core.PoolID, r []stagework.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.released += len(r)
}

func (w *world) Wait(core.PoolID, int, core.DataCenterID) time.Duration { return w.wait }

type quiet struct{}

func (quiet) Sent(*Request, core.PoolID, Choice, int, time.Duration)    {}
func (quiet) Again(*Request, core.PoolID, string, bool, *core.Error)    {}
func (quiet) Ended(*Outcome)                                            {}
func (quiet) EndpointHealth(core.PoolID, core.InstanceID, bool, string) {}
func (quiet) Quarantined(*Request, int)                                 {}

// answer is what a caller got.
type answer struct {
	status int
	body   string
	err    *core.Error
	cut    bool
}

// ask sends a request to a route and returns what the caller gets.
func (w *world) ask(ctx context.Context, route string, change func(*Request)) answer {
	r := &Request{ID: "r", Method: "POST", Host: "h", Path: "/" + route + "/1", Target: "/" + route + "/1", Header: http.Header{},
		Body: []byte("body"), Key: "key", Arrived: time.Now(), Limit: 3 * time.Second}
	if change != nil {
		change(r)
	}
	rec := httptest.NewRecorder()
	err, cut := w.f.Serve(ctx, r, rec)
	return answer{rec.Code, rec.Body.String(), err, cut}
}

func unknown() *core.Error {
	return &core.Error{Kind: core.Upstream, Step: "send", Detail: "no answer"}
}

func noConnection() *core.Error {
	return &core.Error{Kind: core.Unavailable, Step: "connect", Ran: core.RanNot, Detail: "no connection"}
}
