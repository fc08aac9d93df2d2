package forward

import (
	"context"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

// Guards against a stopping daemon that accepts a request shortly before it ends, after
// pauses in which its stop went on, and cuts the answer.
func TestARequestJustBeforeTheEndIsRefused(t *testing.T) {
	for _, c := range []struct {
		left    time.Duration
		refused bool
	}{{5 * time.Second, false}, {minTimeBeforeStop, false}, {minTimeBeforeStop - time.Millisecond, true}, {-time.Second, true}} {
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
