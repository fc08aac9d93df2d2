package forward

import (
	"context"
	"testing"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/core"
)

// Guards against requests to endpoints that asked for a pause.
func TestEndpointsThatAskForAPauseGetNoRequests(t *testing.T) {
	for _, route := range []string{"once", "safe", "stream", "staged"} {
		start(t, 3, func(w *world) {
			w.script = func(core.Endpoint, *Outgoing, int) act { return act{body: "done"} }
			w.resting = map[core.InstanceID]time.Time{"e0": time.Now().Add(time.Minute), "e1": time.Now().Add(time.Minute)}
			for range 5 {
				w.ask(context.Background(), route, twoStages)
			}
			for _, id := range w.sends {
				if id != "e2" {
					t.Errorf("%s: sent to %s, which asked for a pause", route, id)
				}
			}
			if len(w.sends) != 5 {
				t.Errorf("%s: %d of 5 requests sent", route, len(w.sends))
			}
		})
	}
}

// Pattern: a whole pool asks for a pause. Requests to it must be refused at once,
// as not run, with the time at which the first endpoint takes requests again, and
// no stage may work for them in vain.
func TestAPoolThatAsksForAPauseRefusesAtOnce(t *testing.T) {
	for _, route := range []string{"once", "safe", "staged"} {
		start(t, 2, func(w *world) {
			w.script = func(core.Endpoint, *Outgoing, int) act { return act{body: "done"} }
			began := time.Now()
			w.resting = map[core.InstanceID]time.Time{"e0": began.Add(4 * time.Second), "e1": began.Add(5 * time.Second)}
			got := w.ask(context.Background(), route, twoStages)
			if got.err == nil || got.err.Kind != core.Unavailable || got.err.Ran != core.RanNot || time.Since(began) > 0 {
				t.Fatalf("%s: %+v after %v", route, got, time.Since(began))
			}
			// Callers are spread over the half of the time that follows.
			if after := got.err.RetryAfter; after < 3*time.Second || after > 6*time.Second {
				t.Errorf("%s: come back after %v, the first endpoint is back after 4 s", route, after)
			}
			if len(w.sends)+len(w.tasks) != 0 {
				t.Errorf("%s: %d sends and %d stages for a refused request", route, len(w.sends), len(w.tasks))
			}
			time.Sleep(4 * time.Second)
			if got := w.ask(context.Background(), route, twoStages); got.err != nil {
				t.Errorf("%s: after the pause %v", route, got.err)
			}
		})
	}
}

// Guards against requests that wait for their whole time on a stage that nobody can
// do, and against a refusal for a stage that the request does not have.
func TestAStageWithoutEndpointsRefusesAtOnce(t *testing.T) {
	start(t, 1, func(w *world) {
		w.script = func(core.Endpoint, *Outgoing, int) act { return act{body: "done"} }
		w.view.ByPool["s"] = nil
		began := time.Now()
		got := w.ask(context.Background(), "staged", twoStages)
		if got.err == nil || got.err.Kind != core.Unavailable || got.err.Ran != core.RanNot || got.err.RetryAfter == 0 || time.Since(began) > 0 {
			t.Errorf("%+v after %v", got, time.Since(began))
		}
		if got := w.ask(context.Background(), "staged", func(r *Request) { r.Pieces = []int{0, 0} }); got.err != nil {
			t.Errorf("a request without stages: %v", got.err)
		}
	})
}

func twoStages(r *Request) { r.Pieces = []int{1, 1} }

func (w *world) rest(e endpoints.Entry) time.Time { return w.resting[e.ID] }
