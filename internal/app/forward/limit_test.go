package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

// get serves a request for a path and returns the status, or that of the error.
func (p *fakePlatform) get(t *testing.T, path string) (status int, err *core.Error) {
	t.Helper()
	w := httptest.NewRecorder()
	err, _ = p.forwarder.Serve(context.Background(), &Request{ID: "r", Method: "POST", Host: "h", Path: path, Target: path, Header: http.Header{}, APIKey: "key",
		Arrived: time.Now(), PieceCounts: []int{1, 1}}, w)
	return w.Code, err
}

// Guards against requests beyond an endpoint's limit, on the first try, on a retry and
// on a resumed stream, and against a limit that keeps requests from other endpoints.
func TestRequestsNeedPermits(t *testing.T) {
	for _, c := range []struct {
		name, path string
		// respond answers the n-th request.
		respond func(n int) endpointBehavior
	}{
		{"first try", "/once/x", func(int) endpointBehavior { return endpointBehavior{body: "ok"} }},
		{"not started elsewhere", "/once/x", func(n int) endpointBehavior { return endpointBehavior{body: "ok", notStarted: n%2 == 1} }},
		{"server error elsewhere", "/safe/x", func(n int) endpointBehavior {
			if n%2 == 1 {
				return endpointBehavior{status: 500, body: "error"}
			}
			return endpointBehavior{body: "ok"}
		}},
		{"stream broken elsewhere", "/resume/x", func(n int) endpointBehavior {
			if n%2 == 1 {
				return endpointBehavior{body: "id: 1\ndata: a\n\n", breaksOff: true}
			}
			return endpointBehavior{body: "id: 2\ndata: b\n\n"}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFakePlatform(t, 3, func(p *fakePlatform) {
				l := &fakeLimit{perSecond: 1, permits: 2, wait: time.Minute}
				p.limits = map[core.InstanceID]*fakeLimit{"e0": l}
				p.respond = func(_ core.Endpoint, _ *EndpointRequest, n int) endpointBehavior { return c.respond(n) }
				for range 20 {
					if status, err := p.get(t, c.path); err != nil || status != 200 {
						t.Errorf("status %d, %v", status, err)
					}
				}
				sent := 0
				for _, e := range p.sentTo {
					if e == "e0" {
						sent++
					}
				}
				if sent > 2 || sent != 2-l.permits {
					t.Errorf("%d requests were sent to an endpoint that granted two permits, %d are left", sent, l.permits)
				}
				if l.asked > 3 {
					t.Errorf("a permit was asked for %d times, also while none was due", l.asked)
				}
			})
		})
	}
}

// Guards against requests that wait, or are sent, although all endpoints of the pool are at
// their limits, and against a wrong time to come back.
func TestAPoolAtItsLimitsRefusesAtOnce(t *testing.T) {
	withFakePlatform(t, 2, func(p *fakePlatform) {
		p.limits = map[core.InstanceID]*fakeLimit{"e0": {perSecond: 1, wait: 900 * time.Millisecond}, "e1": {perSecond: 1, wait: 400 * time.Millisecond}}
		p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior { return endpointBehavior{body: "ok"} }
		for range 3 {
			began := time.Now()
			_, err := p.get(t, "/once/x")
			if err == nil || err.Kind != core.Unavailable || err.Ran != core.RanNot || time.Since(began) != 0 {
				t.Fatalf("%+v after %v", err, time.Since(began))
			}
			// The time is jittered by a factor of up to 1.5.
			if err.RetryAfter < 400*time.Millisecond || err.RetryAfter > 600*time.Millisecond {
				t.Errorf("retry after %v, the first endpoint takes a request after 400 ms", err.RetryAfter)
			}
		}
		if len(p.sentTo) != 0 {
			t.Errorf("requests were sent to %v", p.sentTo)
		}
		if asked := p.limits["e0"].asked + p.limits["e1"].asked; asked != 2 {
			t.Errorf("permits were asked for %d times by three requests at one moment, want once for each endpoint", asked)
		}
		time.Sleep(time.Second)
		p.limits["e1"].permits = 1
		if status, err := p.get(t, "/once/x"); err != nil || status != 200 || !slices.Equal(p.sentTo, []string{"e1"}) {
			t.Errorf("status %d, %v, sent to %v", status, err, p.sentTo)
		}
	})
}

// Guards against stages that run for a request whose pool has no permit left for it, and
// against a permit that is lost, or asked for again, when the stages have run.
func TestStagesRunOnlyWithAPermit(t *testing.T) {
	withFakePlatform(t, 2, func(p *fakePlatform) {
		e0, e1 := &fakeLimit{perSecond: 1, wait: time.Minute}, &fakeLimit{perSecond: 1, permits: 1, wait: time.Minute}
		p.limits = map[core.InstanceID]*fakeLimit{"e0": e0, "e1": e1}
		p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
			return endpointBehavior{body: "id: 1\ndata: a\n\n"}
		}
		if _, err := p.get(t, "/staged/x"); err != nil || !slices.Equal(p.sentTo, []string{"e1"}) || len(p.tasks) != 2 {
			t.Fatalf("%v, sent to %v, %d stages", err, p.sentTo, len(p.tasks))
		}
		if _, err := p.get(t, "/staged/x"); err == nil || err.Ran != core.RanNot || len(p.tasks) != 2 {
			t.Errorf("%v, %d stages, want none for a request without a permit", err, len(p.tasks)-2)
		}
		if e1.permits != 0 || len(p.sentTo) != 1 {
			t.Errorf("%d permits are left, %d requests were sent", e1.permits, len(p.sentTo))
		}
	})
}

// Guards against a permit that opens an endpoint that has asked for a pause since.
func TestAPermitDoesNotEndAPause(t *testing.T) {
	withFakePlatform(t, 2, func(p *fakePlatform) {
		p.limits = map[core.InstanceID]*fakeLimit{"e0": {perSecond: 1, permits: 1, wait: time.Minute}, "e1": {perSecond: 1, permits: 0, wait: time.Minute}}
		p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
			return endpointBehavior{body: "id: 1\ndata: a\n\n"}
		}
		time.AfterFunc(150*time.Millisecond, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.pauseEnds = map[core.InstanceID]time.Time{"e0": time.Now().Add(time.Minute)}
		})
		if _, err := p.get(t, "/staged/x"); err == nil || len(p.sentTo) != 0 {
			t.Errorf("%v, sent to %v during a pause", err, p.sentTo)
		}
	})
}
