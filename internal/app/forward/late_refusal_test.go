package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

// Guards against a sound stream that is cut because the endpoint for which it was left
// refuses it late, when no other retry is left.
func TestASilentStreamIsNotCutIfTheNextEngineRefusesItLate(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for _, delay := range []time.Duration{0, refusalTime - 10*time.Millisecond, refusalTime + 10*time.Millisecond} {
		withFakePlatform(t, 3, func(p *fakePlatform) {
			p.forwarder.budget = &limitedBudget{left: 1}
			p.snapshot.Match("h", "/resume/1").Timeout = 10 * time.Second
			p.respond = func(_ core.Endpoint, _ *EndpointRequest, n int) endpointBehavior {
				if n == 1 {
					return endpointBehavior{body: first, pause: 3 * time.Second, rest: second}
				}
				return endpointBehavior{delay: delay, status: http.StatusServiceUnavailable, notStarted: true}
			}
			got := p.serve(context.Background(), "resume", func(r *Request) { r.Timeout = 10 * time.Second })
			if got.cut || got.err != nil || got.body != first+second {
				t.Errorf("refused after %v: %q, cut %v (%v), sent to %v; want the whole answer", delay, got.body, got.cut, got.err, p.sentTo)
			}
		})
	}
}
