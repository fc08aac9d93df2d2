package stagework

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

// Guards against calls and frees to an endpoint that asked for a pause, and
// against pieces that do not go to it after the pause.
func TestAnEndpointThatAsksForAPauseIsLeftAlone(t *testing.T) {
	run(t, 1, func(w *world, c *Coordinator) {
		first, err := c.Submit(w.t.Context(), 0, newTask("first", 2, 0, time.Second, 9*time.Second))
		if err != nil {
			w.t.Fatal(err)
		}
		began := time.Now()
		end := began.Add(2 * time.Second)
		w.mu.Lock()
		w.resting["m0"] = end
		w.mu.Unlock()
		c.Release(testPool, first)
		if _, err := c.Submit(w.t.Context(), 0, newTask("second", 2, 0, time.Second, 9*time.Second)); err != nil {
			w.t.Fatal(err)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, at := range append(w.machines["m0"].begun[1:], w.freedAt["m0"]...) {
			if at.Before(end) {
				t.Errorf("called %v before the end of its pause", end.Sub(at))
			}
		}
		if len(w.machines["m0"].begun) != 2 {
			t.Errorf("%d calls", len(w.machines["m0"].begun))
		}
		if took := time.Since(end); took > time.Second {
			t.Errorf("the pieces were done %v after the pause", took)
		}
	})
}

// Pattern: one of three endpoints asks for a pause under load. The others take the
// pieces meanwhile, and none is lost.
func TestOtherEndpointsTakeThePiecesInAPause(t *testing.T) {
	run(t, 3, func(w *world, c *Coordinator) {
		end := time.Now().Add(3 * time.Second)
		w.mu.Lock()
		w.resting["m1"] = end
		w.mu.Unlock()
		var wg sync.WaitGroup
		for i := range 40 {
			time.Sleep(50 * time.Millisecond)
			wg.Go(func() {
				if _, err := c.Submit(w.t.Context(), 0, newTask(fmt.Sprint("r", i), 1, 0, time.Second, 5*time.Second)); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, at := range w.machines["m1"].begun {
			if at.Before(end) {
				t.Errorf("called %v before the end of its pause", end.Sub(at))
			}
		}
	})
}

// Guards against tasks that wait for their whole time in a group whose last
// endpoint has left, and against refusals by a daemon that does not know the
// endpoints yet.
func TestAGroupWithoutEndpointsRefusesAtOnce(t *testing.T) {
	run(t, 1, func(w *world, c *Coordinator) {
		c.SetEndpoints(w.pool(), 0, nil)
		began := time.Now()
		_, err := c.Submit(w.t.Context(), 0, newTask("r", 1, 0, time.Second, 5*time.Second))
		if e := core.AsError(err, ""); e == nil || e.Ran != core.RanNot || e.RetryAfter == 0 || time.Since(began) > 0 {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		unknown := NewCoordinator(w.t.Context(), w, w.rest, quiet{}, &allowance{}, time.Now)
		time.AfterFunc(300*time.Millisecond, func() { unknown.SetEndpoints(w.pool(), 0, w.entries()) })
		if _, err := unknown.Submit(w.t.Context(), 0, newTask("s", 1, 0, time.Second, 5*time.Second)); err != nil {
			t.Errorf("before the endpoints were known: %v", err)
		}
	})
}
