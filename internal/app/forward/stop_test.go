package forward

import (
	"context"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/shutdown"
)

// Guards against a stopping daemon that accepts a request shortly before it ends, after
// pauses in which its stop went on, and cuts the answer.
func TestARequestJustBeforeTheEndIsRefused(t *testing.T) {
	for _, c := range []struct {
		left    time.Duration
		refused bool
	}{{5 * time.Second, false}, {shutdown.MinLeft, false}, {shutdown.MinLeft - time.Millisecond, true}, {-time.Second, true}} {
		withFakePlatform(t, 1, func(p *fakePlatform) {
			p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
				return endpointBehavior{body: "id: 1\ndata: x\n\n"}
			}
			p.stopsAt = time.Now().Add(c.left)
			got := p.serve(context.Background(), "stream", nil)
			if refused := got.err != nil; refused != c.refused || refused && (got.err.Kind != core.Unavailable || got.err.Ran != core.RanNot || got.err.RetryAfter <= 0 || len(p.sentTo) > 0) {
				t.Errorf("%v before the end: %+v, %d sends", c.left, got, len(p.sentTo))
			}
		})
	}
}

// Guards against requests in the last seconds of a planned stop that are sent to an
// endpoint although their answers cannot be expected before the daemon ends, which cuts
// them: those that last long, and those that have waited for their stages.
func TestAStoppingDaemonSendsNothingThatItWouldCut(t *testing.T) {
	const streamTime = 1700 * time.Millisecond
	for _, c := range []struct {
		name, route     string
		left, stageTime time.Duration
		refused         bool
		sends           int
	}{
		{"a stream that lasts longer", "stream", streamTime - 50*time.Millisecond, 0, true, 0},
		{"a stream that ends before", "stream", 2 * streamTime, 0, false, 1},
		{"an answer that takes longer", "once", streamTime - 50*time.Millisecond, 0, true, 0},
		{"an answer that arrives before", "once", 2 * streamTime, 0, false, 1},
		{"after the stages", "staged", streamTime + 100*time.Millisecond, 300 * time.Millisecond, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFakePlatform(t, 1, func(p *fakePlatform) {
				p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
					return endpointBehavior{body: "id: 1\ndata: x\n\n", endDelay: streamTime}
				}
				if c.route != "staged" {
					for range 20 {
						p.serve(context.Background(), c.route, nil)
					}
				}
				p.sentTo, p.stageTime, p.stopsAt = nil, c.stageTime, time.Now().Add(c.left)
				got := p.serve(context.Background(), c.route, onePiecePerStage)
				if refused := got.err != nil; refused != c.refused || len(p.sentTo) != c.sends {
					t.Errorf("%+v, error %v, %d sends", got, got.err, len(p.sentTo))
				}
				if got.err != nil && (got.err.Kind != core.Unavailable || got.err.Ran != core.RanNot || got.err.RetryAfter <= 0) {
					t.Errorf("error %+v, want a refusal with a time to return", got.err)
				}
			})
		})
	}
}
