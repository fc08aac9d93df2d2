package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

// Guards against a stream that is left although its engine goes on while the next endpoint is
// asked: it is begun again for nothing, and cut if the next endpoint refuses it after that.
func TestAStreamStaysIfItsEngineGoesOnWhileTheNextOneIsAsked(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for _, route := range []string{"resume", "staged-resume"} {
		for name, next := range map[string]endpointBehavior{
			"accepts late": {delay: 2 * refusalTime, body: second},
			"accepts":      {delay: refusalTime - 10*time.Millisecond, body: second, pause: time.Second},
			"refuses late": {delay: 2 * refusalTime, status: http.StatusServiceUnavailable, notStarted: true},
		} {
			withFakePlatform(t, 3, func(p *fakePlatform) {
				p.forwarder.budget = &limitedBudget{left: 1}
				p.snapshot.Match("h", "/"+route+"/1").Timeout = 10 * time.Second
				stages := time.Duration(0)
				if route == "staged-resume" {
					stages = 200 * time.Millisecond
				}
				var sentAt time.Time
				p.respond = func(_ core.Endpoint, _ *EndpointRequest, n int) endpointBehavior {
					if n == 1 {
						sentAt = time.Now()
						return endpointBehavior{body: first, pause: minStallTimeout + stages + refusalTime/2, rest: second}
					}
					return next
				}
				got := p.serve(context.Background(), route, func(r *Request) { onePiecePerStage(r); r.Timeout = 10 * time.Second })
				took := time.Since(sentAt)
				if got.cut || got.err != nil || got.body != first+second || took > minStallTimeout+stages+refusalTime+10*time.Millisecond {
					t.Errorf("%s, the next endpoint %s: %q after %v, cut %v (%v), sent to %v; want the whole answer of the first", route, name, got.body, took, got.cut, got.err, p.sentTo)
				}
				time.Sleep(time.Second)
				p.mu.Lock()
				defer p.mu.Unlock()
				produced := 0
				for _, task := range p.tasks {
					produced += task.Pieces
				}
				if p.released != produced || p.openAnswers != 0 {
					t.Errorf("%s, the next endpoint %s: %d of %d results were released, %d answers are open", route, name, p.released, produced, p.openAnswers)
				}
			})
		}
	}
}
