package forward

import (
	"context"
	"testing"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/core"
)

// Guards against requests to endpoints that have asked for a pause.
func TestPausedEndpointsGetNoRequests(t *testing.T) {
	for _, route := range []string{"once", "safe", "stream", "staged"} {
		withFakePlatform(t, 3, func(p *fakePlatform) {
			p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior { return endpointBehavior{body: "done"} }
			p.pauseEnds = map[core.InstanceID]time.Time{"e0": time.Now().Add(time.Minute), "e1": time.Now().Add(time.Minute)}
			for range 5 {
				p.serve(context.Background(), route, onePiecePerStage)
			}
			for _, id := range p.sentTo {
				if id != "e2" {
					t.Errorf("%s: sent to %s, which asked for a pause", route, id)
				}
			}
			if len(p.sentTo) != 5 {
				t.Errorf("%s: %d of 5 requests sent", route, len(p.sentTo))
			}
		})
	}
}

// Guards against requests that wait, or stages that work in vain, while all endpoints of
// a pool have asked for a pause. The requests must be refused immediately, as not run,
// with the time at which the first endpoint accepts requests again.
func TestPausedPoolRefusesImmediately(t *testing.T) {
	for _, route := range []string{"once", "safe", "staged"} {
		withFakePlatform(t, 2, func(p *fakePlatform) {
			p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
				return endpointBehavior{body: "id: 1\ndata: done\n\n"}
			}
			began := time.Now()
			p.pauseEnds = map[core.InstanceID]time.Time{"e0": began.Add(4 * time.Second), "e1": began.Add(5 * time.Second)}
			got := p.serve(context.Background(), route, onePiecePerStage)
			if got.err == nil || got.err.Kind != core.Unavailable || got.err.Ran != core.RanNot || time.Since(began) > 0 {
				t.Fatalf("%s: %+v after %v", route, got, time.Since(began))
			}
			// The RetryAfter is jittered by a factor from 0.75 to 1.5.
			if retryAfter := got.err.RetryAfter; retryAfter < 3*time.Second || retryAfter > 6*time.Second {
				t.Errorf("%s: RetryAfter %v, the first pause ends after 4 s", route, retryAfter)
			}
			if len(p.sentTo)+len(p.tasks) != 0 {
				t.Errorf("%s: %d sends and %d stages for a refused request", route, len(p.sentTo), len(p.tasks))
			}
			time.Sleep(4 * time.Second)
			if got := p.serve(context.Background(), route, onePiecePerStage); got.err != nil {
				t.Errorf("%s: after the pause %v", route, got.err)
			}
		})
	}
}

// Guards against requests that wait until their deadline for a stage whose pool has no
// endpoints, and against a refusal because of a stage that the request does not use.
func TestStageWithoutEndpointsRefusesImmediately(t *testing.T) {
	withFakePlatform(t, 1, func(p *fakePlatform) {
		p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
			return endpointBehavior{body: "id: 1\ndata: done\n\n"}
		}
		p.view.ByPool["s"] = nil
		began := time.Now()
		got := p.serve(context.Background(), "staged", onePiecePerStage)
		if got.err == nil || got.err.Kind != core.Unavailable || got.err.Ran != core.RanNot || got.err.RetryAfter == 0 || time.Since(began) > 0 {
			t.Errorf("%+v after %v", got, time.Since(began))
		}
		if got := p.serve(context.Background(), "staged", func(r *Request) { r.PieceCounts = []int{0, 0} }); got.err != nil {
			t.Errorf("a request without stages: %v", got.err)
		}
	})
}

// onePiecePerStage gives a request one piece in each of two stages.
func onePiecePerStage(r *Request) { r.PieceCounts = []int{1, 1} }

func (p *fakePlatform) pausedUntil(e endpoints.Entry) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauseEnds[e.ID]
}
