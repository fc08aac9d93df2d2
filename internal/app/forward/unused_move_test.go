package forward

import (
	"context"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

// Guards against a stream that is cut when its endpoint fails because the one repetition of
// its stages was spent on a move that did not happen: the endpoint was only silent for a
// while.
func TestAMoveThatDoesNotHappenLeavesTheStagesTheirRepetition(t *testing.T) {
	const first, second, rest = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	withFakePlatform(t, 3, func(p *fakePlatform) {
		p.snapshot.Match("h", "/staged-resume/1").Timeout = 10 * time.Second
		p.stageTime = 400 * time.Millisecond
		p.respond = func(_ core.Endpoint, _ *EndpointRequest, n int) endpointBehavior {
			if n == 1 {
				return endpointBehavior{body: first, pause: minStallTimeout + 200*time.Millisecond, rest: second, breaksOffAfterRest: true}
			}
			return endpointBehavior{body: rest}
		}
		got := p.serve(context.Background(), "staged-resume", func(r *Request) { onePiecePerStage(r); r.Timeout = 10 * time.Second })
		if got.cut || got.err != nil || got.body != first+second+rest {
			t.Errorf("%q, cut %v (%v), sent to %v; want the whole answer", got.body, got.cut, got.err, p.sentTo)
		}
	})
}
