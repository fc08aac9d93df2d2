package engine

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"eelgrassgrade/internal/app/dispatch"
	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/membership"
	"eelgrassgrade/internal/decide/quarantine"
)

func serve(t *testing.T, h http.HandlerFunc) core.Call {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return core.Call{Request: "r", Stage: "s", Attempt: 1, Path: "/x", Body: []byte("{}"), Endpoint: core.Endpoint{ID: "e", Address: s.Listener.Addr().String()}}
}

// Guards against a cut connection that is reported as a refused one, or the other
// way round: after a cut the call may have run, after a refusal it did not.
func TestCutAndRefusedConnections(t *testing.T) {
	tr := New(nil)
	for name, h := range map[string]http.HandlerFunc{
		"before the header": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"in the body": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			fmt.Fprint(w, "part")
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
	} {
		c := serve(t, h)
		_, err := tr.Do(t.Context(), c)
		if !errors.Is(err, dispatch.ErrConnectionCut) || core.AsError(err, "").Ran != core.RanUnknown {
			t.Errorf("cut %s: %v", name, err)
		}
		if err := tr.Stream(t.Context(), c, func(core.Event) error { return nil }); !errors.Is(err, dispatch.ErrConnectionCut) {
			t.Errorf("stream cut %s: %v", name, err)
		}
		if err := tr.Dial(t.Context(), c.Endpoint); err != nil {
			t.Errorf("new dial after a cut connection: %v", err)
		}
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := core.Call{Endpoint: core.Endpoint{Address: ln.Addr().String()}}
	ln.Close()
	if _, err := tr.Do(t.Context(), c); !errors.Is(err, dispatch.ErrConnectionRefused) || core.AsError(err, "").Ran != core.RanNot {
		t.Errorf("refused: %v", err)
	}
	if err := tr.Dial(t.Context(), c.Endpoint); !errors.Is(err, dispatch.ErrConnectionRefused) {
		t.Errorf("new dial to a closed port: %v", err)
	}
}

// Guards against load reports and cache events that are parsed wrongly.
func TestLoadAndCacheEvents(t *testing.T) {
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.RequestURI() {
		case "/metrics":
			fmt.Fprint(w, "# TYPE engine_running gauge\nengine_running 3\nengine_waiting 2\nengine_slots 8\n# TYPE engine_prefix_cache_hits counter\nengine_prefix_cache_hits 17\nother{a=\"b\"} 1\n")
		case "/cache/events?after=4":
			fmt.Fprint(w, `{"events":[{"seq":5,"prefix":"00000000000000ff","op":"add"},{"seq":6,"prefix":"ff","op":"evict"}]}`)
		default:
			http.NotFound(w, r)
		}
	})
	tr := New(nil)
	if l, err := tr.Load(t.Context(), c.Endpoint); err != nil || l != (dispatch.Load{Running: 3, Waiting: 2, Slots: 8, PrefixCacheHits: 17}) {
		t.Errorf("load: got %+v, %v", l, err)
	}
	ev, err := tr.CacheEvents(t.Context(), c.Endpoint, 4)
	if err != nil || len(ev) != 2 || ev[0] != (dispatch.CacheEvent{Seq: 5, Prefix: 255}) || !ev[1].Evict {
		t.Errorf("cache events: got %+v, %v", ev, err)
	}
	if _, err := tr.CacheEvents(t.Context(), c.Endpoint, 0); err == nil {
		t.Error("status 404 was not reported as an error")
	}
}

// Guards against a crash that is not detected on real connections: calls in
// progress on an endpoint that crashes must become suspects and finish on another
// endpoint.
func TestCrashOnRealConnectionsMarksSuspects(t *testing.T) {
	var servers []*httptest.Server
	var endpoints []core.Endpoint
	var mu sync.Mutex
	running := map[string]int{}
	for i := range 3 {
		name := fmt.Sprint("e", i)
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			running[name]++
			mu.Unlock()
			time.Sleep(300 * time.Millisecond)
			w.Header().Set(CallHeader, r.Header.Get(CallHeader))
			io.Copy(w, r.Body)
		}))
		s.Start()
		t.Cleanup(s.Close)
		servers = append(servers, s)
		endpoints = append(endpoints, core.Endpoint{ID: core.InstanceID(name), Pool: "p", DataCenter: "a", Address: s.Listener.Addr().String()})
	}
	view := &membership.View{Endpoints: map[core.PoolID][]core.Endpoint{"p": endpoints}}
	cfg := &config.Snapshot{Lists: &config.Lists{Pools: map[core.PoolID]config.Pool{"p": {Kind: config.KindEncoder, Slots: 8, TimeoutMs: 3000}}}}
	tr, published := New(nil), make(chan []quarantine.Entry, 64)
	d := dispatch.New(dispatch.Options{Self: "d", DataCenter: "a", Transport: tr, Dialer: tr, Metrics: metrics.NewSet(), Seed: 1,
		View: func() *membership.View { return view }, Config: func() *config.Snapshot { return cfg },
		PublishSuspects: func(e []quarantine.Entry) { published <- e }})
	var wg sync.WaitGroup
	for n := range 9 {
		wg.Go(func() {
			body := fmt.Sprint("body ", n)
			res, err := d.Do(t.Context(), dispatch.Task{Request: core.RequestID(fmt.Sprint("r", n)), Pool: "p", Stage: "s", Path: "/",
				Body: []byte(body), Deadline: time.Now().Add(5 * time.Second), Repeatable: true})
			if err != nil || string(res.Body) != body {
				t.Errorf("call %d: %q, %v", n, res.Body, err)
			}
		})
	}
	for busy := 0; busy < 9; time.Sleep(time.Millisecond) {
		mu.Lock()
		busy = running["e0"] + running["e1"] + running["e2"]
		mu.Unlock()
	}
	servers[0].Listener.Close()
	servers[0].CloseClientConnections()
	wg.Wait()
	if first := <-published; len(first) < 2 || first[0].Crashes != 1 {
		t.Errorf("%d suspects published first, want at least 2 with 1 crash: %+v", len(first), first)
	}
	for _, e := range d.Quarantine.Entries() {
		if !e.Cleared {
			t.Errorf("a call is still a suspect after it succeeded")
		}
	}
}
