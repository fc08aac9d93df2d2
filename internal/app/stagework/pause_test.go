package stagework

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

// Guards against calls to an endpoint that asked for a pause, including those that free
// results, and against pieces that are not sent to it after the pause.
func TestPausedEndpointGetsNoCalls(t *testing.T) {
	withCoordinator(t, 1, func(sim *simulation, c *Coordinator) {
		first, err := c.Submit(sim.t.Context(), 0, newTask("first", 2, 0, time.Second, 9*time.Second))
		if err != nil {
			sim.t.Fatal(err)
		}
		began := time.Now()
		end := began.Add(2 * time.Second)
		sim.mu.Lock()
		sim.pauses["m0"] = end
		sim.mu.Unlock()
		c.Release(testPool, first)
		if _, err := c.Submit(sim.t.Context(), 0, newTask("second", 2, 0, time.Second, 9*time.Second)); err != nil {
			sim.t.Fatal(err)
		}
		sim.mu.Lock()
		defer sim.mu.Unlock()
		for _, at := range append(sim.endpoints["m0"].callTimes[1:], sim.freeTimes["m0"]...) {
			if at.Before(end) {
				t.Errorf("called %v before the end of its pause", end.Sub(at))
			}
		}
		if len(sim.endpoints["m0"].callTimes) != 2 {
			t.Errorf("%d calls", len(sim.endpoints["m0"].callTimes))
		}
		if took := time.Since(end); took > time.Second {
			t.Errorf("the pieces were done %v after the pause", took)
		}
	})
}

// One of three endpoints asks for a pause under load. The others must run the pieces
// meanwhile, and none may be lost.
func TestOtherEndpointsServeDuringAPause(t *testing.T) {
	withCoordinator(t, 3, func(sim *simulation, c *Coordinator) {
		end := time.Now().Add(3 * time.Second)
		sim.mu.Lock()
		sim.pauses["m1"] = end
		sim.mu.Unlock()
		var wg sync.WaitGroup
		for i := range 40 {
			time.Sleep(50 * time.Millisecond)
			wg.Go(func() {
				if _, err := c.Submit(sim.t.Context(), 0, newTask(fmt.Sprint("r", i), 1, 0, time.Second, 5*time.Second)); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		sim.mu.Lock()
		defer sim.mu.Unlock()
		for _, at := range sim.endpoints["m1"].callTimes {
			if at.Before(end) {
				t.Errorf("called %v before the end of its pause", end.Sub(at))
			}
		}
	})
}

// Guards against tasks that wait until their deadline in a group whose last endpoint was
// removed, and against refusals by a daemon that does not know the endpoints yet.
func TestAGroupWithoutEndpointsRefusesAtOnce(t *testing.T) {
	withCoordinator(t, 1, func(sim *simulation, c *Coordinator) {
		c.SetEndpoints(sim.pool(), 0, nil)
		began := time.Now()
		_, err := c.Submit(sim.t.Context(), 0, newTask("r", 1, 0, time.Second, 5*time.Second))
		if e := core.AsError(err, ""); e == nil || e.Ran != core.RanNot || e.RetryAfter == 0 || time.Since(began) > 0 {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		unknown := NewCoordinator(sim.t.Context(), sim, sim.pausedUntil, sim, noEvents{}, &fakeBudget{}, time.Now)
		time.AfterFunc(300*time.Millisecond, func() { unknown.SetEndpoints(sim.pool(), 0, sim.entries()) })
		if _, err := unknown.Submit(sim.t.Context(), 0, newTask("s", 1, 0, time.Second, 5*time.Second)); err != nil {
			t.Errorf("before the endpoints were known: %v", err)
		}
	})
}
