package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/repeats"
)

// limitedBudget is a retry budget that allows so many retries and counts them.
type limitedBudget struct{ left, taken int }

func (b *limitedBudget) RecordRequests(core.PoolID, int) {}
func (b *limitedBudget) Take(core.PoolID, int) repeats.Decision {
	if b.left == 0 {
		return repeats.Decision{}
	}
	b.left--
	b.taken++
	return repeats.Decision{Allowed: true}
}

// Guards against retries that are taken from the budget for moves that cannot be made: they
// are lost for the requests that need them.
func TestAStalledStreamTakesNoRetriesThatItDoesNotUse(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	withFakePlatform(t, 8, func(p *fakePlatform) {
		b := &limitedBudget{left: 100}
		p.forwarder.budget = b
		p.snapshot.Match("h", "/resume/1").Timeout = 20 * time.Second
		p.respond = func(_ core.Endpoint, _ *EndpointRequest, n int) endpointBehavior {
			if n == 1 {
				return endpointBehavior{body: first, pause: 12 * time.Second, rest: second}
			}
			return endpointBehavior{status: http.StatusServiceUnavailable, notStarted: true}
		}
		got := p.serve(context.Background(), "resume", func(r *Request) { r.Timeout = 20 * time.Second })
		if got.cut || got.err != nil || got.body != first+second {
			t.Errorf("%q, cut %v (%v); want the whole answer", got.body, got.cut, got.err)
		}
		if sent := len(p.sentTo) - 1; b.taken > sent {
			t.Errorf("%d retries were taken, %d used", b.taken, sent)
		}
	})
}
