package forward

import (
	"context"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

// Guards against a sound stream that is cut because its engine pauses it: its stages have
// to run again before another engine can go on, and they can fail, or the engine goes on
// first.
func TestASilentStreamIsLeftOnlyOnceItsStagesHaveRun(t *testing.T) {
	const first, second, rest = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	const limit, long = 10 * time.Second, 5 * time.Second
	spent := &core.Error{Kind: core.Unavailable, Step: "stage", Ran: core.RanNot, Detail: "the retry budget is spent"}
	for _, c := range []struct {
		name      string
		answers   []endpointBehavior
		stageTime time.Duration
		// prepare changes the platform at the first request; stageErr is the error of the
		// stages from then on.
		prepare   func(*fakePlatform)
		stageErr  *core.Error
		wantEnd   time.Duration
		wantTasks int
	}{
		{name: "its stages do not run again", answers: []endpointBehavior{{body: first + second, pause: long, rest: rest}}, stageTime: 200 * time.Millisecond, stageErr: spent,
			wantEnd: long, wantTasks: 1},
		{name: "its stages run again", answers: []endpointBehavior{{body: first + second, pause: long, rest: rest}, {body: rest}}, stageTime: 200 * time.Millisecond,
			wantEnd: minStallTimeout + 400*time.Millisecond, wantTasks: 2},
		{name: "the engine goes on before they have", answers: []endpointBehavior{{body: first + second, pause: 2 * time.Second, rest: rest}}, stageTime: 400 * time.Millisecond,
			wantEnd: 2 * time.Second, wantTasks: 1},
		{name: "the engine breaks off before they have", answers: []endpointBehavior{{body: first + second, breaksOff: true, breakDelay: 2 * time.Second}, {body: rest}}, stageTime: 400 * time.Millisecond,
			wantEnd: minStallTimeout + 800*time.Millisecond, wantTasks: 2},
		{name: "no endpoint is left when they have", answers: []endpointBehavior{{body: first + second, pause: long, rest: rest}}, stageTime: 200 * time.Millisecond,
			prepare: func(p *fakePlatform) {
				time.AfterFunc(minStallTimeout+300*time.Millisecond, func() {
					for range 8 {
						p.forwarder.tracker.requestStarted("p", "e1", 0)
						p.forwarder.tracker.requestStarted("p", "e2", 0)
					}
				})
			}, wantEnd: long, wantTasks: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFakePlatform(t, 3, func(p *fakePlatform) {
				p.snapshot.Match("h", "/staged-resume/1").Timeout = limit
				p.stageTime = c.stageTime
				tasksBefore := 0
				var sentAt time.Time
				p.respond = func(_ core.Endpoint, _ *EndpointRequest, n int) endpointBehavior {
					if n == 1 {
						sentAt, tasksBefore = time.Now(), len(p.tasks)
						if c.stageErr != nil {
							p.stageErr = c.stageErr
						}
						if c.prepare != nil {
							c.prepare(p)
						}
					}
					return c.answers[min(n, len(c.answers))-1]
				}
				got := p.serve(context.Background(), "staged-resume", func(r *Request) { onePiecePerStage(r); r.Timeout = limit })
				took := time.Since(sentAt)
				if got.cut || got.err != nil || got.body != first+second+rest || len(p.sentTo) != len(c.answers) || took < c.wantEnd || took > c.wantEnd+100*time.Millisecond {
					t.Errorf("%q after %v, cut %v (%v), sent to %v; want the whole answer after %v", got.body, took, got.cut, got.err, p.sentTo, c.wantEnd)
				}
				if n := len(p.tasks) - tasksBefore; n != c.wantTasks {
					t.Errorf("%d stages ran again, want %d", n, c.wantTasks)
				}
				time.Sleep(time.Second)
				p.mu.Lock()
				defer p.mu.Unlock()
				produced := 0
				for _, task := range p.tasks {
					produced += task.Pieces
				}
				if c.stageErr == nil && p.released != produced {
					t.Errorf("%d of %d results were released", p.released, produced)
				}
			})
		})
	}
}
