package stagework

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

// submitMany submits tasks of one piece, one each gap, and returns how many succeeded.
func submitMany(sim *simulation, c *Coordinator, n int, gap, untilDeadline time.Duration) (succeeded int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range n {
		time.Sleep(gap)
		all.Go(func() {
			results, err := c.Submit(sim.t.Context(), 0, newTask(fmt.Sprint("r", i), 1, 0, time.Second, untilDeadline))
			if err != nil {
				return
			}
			c.Release(testPool, results)
			mu.Lock()
			defer mu.Unlock()
			succeeded++
		})
	}
	all.Wait()
	// The last results are freed.
	time.Sleep(5 * time.Second)
	return succeeded
}

// callsIn returns the most calls and frees that an endpoint got in any period of length d.
func (sim *simulation) callsIn(e core.InstanceID, d time.Duration) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	times := append(sim.endpoints[e].callTimes, sim.freeTimes[e]...)
	most := 0
	for _, first := range times {
		n := 0
		for _, at := range times {
			if since := at.Sub(first); since >= 0 && since < d {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against calls of pieces, and calls that free results, beyond an endpoint's limit,
// and against pieces that wait for it while another endpoint is free.
func TestCallsKeepTheEndpointsLimit(t *testing.T) {
	withCoordinator(t, 2, func(sim *simulation, c *Coordinator) {
		sim.mu.Lock()
		sim.callLimits["m0"] = 0.5
		sim.mu.Unlock()
		const tasks = 80
		if n := submitMany(sim, c, tasks, 100*time.Millisecond, 5*time.Second); n != tasks {
			t.Errorf("%d of %d tasks succeeded, although one endpoint has no limit", n, tasks)
		}
		if n := sim.callsIn("m0", 4*time.Second); n > 3 {
			t.Errorf("%d calls in 4 s to an endpoint that takes one in 2 s", n)
		}
	})
}

// Guards against an endpoint whose limit makes single pieces of calls that could hold
// eight, and against results that fill the endpoint because no call frees them.
func TestCallsToALimitedEndpointAreFull(t *testing.T) {
	withCoordinator(t, 1, func(sim *simulation, c *Coordinator) {
		sim.mu.Lock()
		sim.callLimits["m0"] = 2
		sim.mu.Unlock()
		const tasks = 100
		n := submitMany(sim, c, tasks, 100*time.Millisecond, 5*time.Second)
		if n < 9*tasks/10 {
			t.Errorf("%d of %d tasks succeeded at 10 pieces a second, where 1.5 calls a second hold 12", n, tasks)
		}
		if n := sim.callsIn("m0", 4*time.Second); n > 9 {
			t.Errorf("%d calls in 4 s to an endpoint that takes two a second", n)
		}
	})
}

// Guards against pieces that wait until their deadline for an endpoint whose limit lets
// them through too late.
func TestAQueueBehindALimitIsRefusedEarly(t *testing.T) {
	withCoordinator(t, 1, func(sim *simulation, c *Coordinator) {
		sim.mu.Lock()
		sim.callLimits["m0"], sim.blocked["m0"] = 0.1, time.Now().Add(10*time.Second)
		sim.mu.Unlock()
		var all sync.WaitGroup
		for i := range 12 {
			all.Go(func() {
				began := time.Now()
				_, err := c.Submit(sim.t.Context(), 0, newTask(fmt.Sprint("r", i), 1, 0, time.Second, 5*time.Second))
				if e := core.AsError(err, ""); err == nil || e.Ran != core.RanNot {
					t.Errorf("%v", err)
				} else if took := time.Since(began); i >= 8 && took > time.Second {
					t.Errorf("task %d was refused after %v", i, took)
				}
			})
			time.Sleep(time.Millisecond)
		}
		all.Wait()
	})
}
