package stagework

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/core"
)

// Guards against results that belong to another request or piece, missing results, and
// pieces that run more than once.
func TestEachPieceGetsItsOwnResult(t *testing.T) {
	withCoordinator(t, 3, func(sim *simulation, c *Coordinator) {
		var wg sync.WaitGroup
		var mu sync.Mutex
		seen := map[string]bool{}
		for i := range 30 {
			wg.Go(func() {
				results, err := c.Submit(sim.t.Context(), 0, newTask(fmt.Sprint("r", i), 3, 0, time.Second, 20*time.Second))
				if err != nil || len(results) != 3 {
					t.Errorf("request %d: %d results, %v", i, len(results), err)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				for _, r := range results {
					if r.Handle == "" || seen[r.Handle] {
						t.Errorf("request %d: handle %q is empty or handed out twice", i, r.Handle)
					}
					seen[r.Handle] = true
				}
			})
		}
		wg.Wait()
		sim.mu.Lock()
		defer sim.mu.Unlock()
		for key, n := range sim.runCounts {
			if n != 1 {
				t.Errorf("piece %s ran %d times", key, n)
			}
		}
	})
}

// About 60 requests of one piece arrive per second, while the four endpoints can run about
// 17 calls per second. The pieces of different requests must share calls.
func TestPiecesOfDifferentRequestsShareCalls(t *testing.T) {
	withCoordinator(t, 4, func(sim *simulation, c *Coordinator) {
		var wg sync.WaitGroup
		var late atomic.Int32
		for i := range 300 {
			time.Sleep(16 * time.Millisecond)
			wg.Go(func() {
				began := time.Now()
				if _, err := c.Submit(sim.t.Context(), 0, newTask(fmt.Sprint("r", i), 1, 0, time.Second, 5*time.Second)); err != nil || time.Since(began) > 1200*time.Millisecond {
					late.Add(1)
				}
			})
		}
		wg.Wait()
		calls, pieces := sim.calls()
		if late.Load() > 3 {
			t.Errorf("%d of 300 tasks are late", late.Load())
		}
		if pieces != 300 || calls > 150 {
			t.Errorf("%d pieces in %d calls", pieces, calls)
		}
	})
}

// A burst of bulk work of about five times the capacity of the endpoints arrives beside
// urgent work. The urgent work must meet its target, and bulk work that cannot meet its
// deadline must be refused well before it.
func TestABurstOfBulkDoesNotDelayUrgentWork(t *testing.T) {
	withCoordinator(t, 2, func(sim *simulation, c *Coordinator) {
		var wg sync.WaitGroup
		var urgentLate, bulkDone, bulkRefusedLate atomic.Int32
		for i := range 200 {
			time.Sleep(20 * time.Millisecond)
			wg.Go(func() {
				began := time.Now()
				_, err := c.Submit(sim.t.Context(), 0, newTask(fmt.Sprint("bulk", i), 4, 8, 3*time.Second, 5*time.Second))
				if err == nil {
					bulkDone.Add(1)
				} else if time.Since(began) > 4500*time.Millisecond {
					bulkRefusedLate.Add(1)
				}
			})
			if i%20 == 0 {
				wg.Go(func() {
					began := time.Now()
					if _, err := c.Submit(sim.t.Context(), 0, newTask(fmt.Sprint("urgent", i), 2, 0, 600*time.Millisecond, 5*time.Second)); err != nil || time.Since(began) > time.Second {
						urgentLate.Add(1)
					}
				})
			}
		}
		wg.Wait()
		if urgentLate.Load() > 0 {
			t.Errorf("%d of 10 urgent tasks are late", urgentLate.Load())
		}
		if bulkDone.Load() < 20 {
			t.Errorf("only %d bulk tasks done", bulkDone.Load())
		}
		if bulkRefusedLate.Load() > 20 {
			t.Errorf("%d bulk tasks were refused only shortly before their deadline", bulkRefusedLate.Load())
		}
	})
}

// One of four endpoints is slow. It must not delay tasks: pieces that wait for it are
// also sent to other endpoints.
func TestSlowEndpointDoesNotDelayTasks(t *testing.T) {
	withCoordinator(t, 4, func(sim *simulation, c *Coordinator) {
		sim.endpoints["m1"].slowFactor = 8
		var wg sync.WaitGroup
		var late atomic.Int32
		for i := range 200 {
			time.Sleep(30 * time.Millisecond)
			wg.Go(func() {
				began := time.Now()
				if _, err := c.Submit(sim.t.Context(), 0, newTask(fmt.Sprint("r", i), 1, 0, 700*time.Millisecond, 5*time.Second)); err != nil || time.Since(began) > 1100*time.Millisecond {
					late.Add(1)
				}
			})
		}
		wg.Wait()
		if late.Load() > 6 {
			t.Errorf("%d of 200 tasks are late beside one slow endpoint", late.Load())
		}
	})
}

// All endpoints are slow for a long time. Guards against hedged calls that use up the
// repeats which failed pieces need so that their requests do not fail.
func TestHedgingLeavesRepeatsForFailedPieces(t *testing.T) {
	withCoordinator(t, 3, func(sim *simulation, c *Coordinator) {
		budget := c.budget.(*fakeBudget)
		budget.remaining, budget.optional = 8, 4
		sim.endpoints["m0"].slowFactor, sim.endpoints["m1"].slowFactor, sim.endpoints["m2"].slowFactor = 3, 3, 3
		var wg sync.WaitGroup
		for i := range 15 {
			wg.Go(func() {
				if _, err := c.Submit(sim.t.Context(), 0, newTask(fmt.Sprint("r", i), 2, 0, 10*time.Second, 20*time.Second)); err != nil {
					t.Errorf("task %d: %v", i, err)
				}
			})
		}
		wg.Wait()
		if budget.remaining < 4 || budget.optional > 0 {
			t.Errorf("%d of 8 repeats and %d of 4 optional ones are left", budget.remaining, budget.optional)
		}
		sim.statusOf = func(_ Piece, n int) PieceStatus {
			if n == 1 {
				return Failed
			}
			return Done
		}
		if _, err := c.Submit(sim.t.Context(), 0, newTask("failing", 4, 0, 10*time.Second, 20*time.Second)); err != nil {
			t.Errorf("pieces that fail once: %v", err)
		}
	})
}

// The only endpoint of a group has no capacity for results and rejects pieces at once.
// Pieces must wait for capacity. Guards against sending them again every 2 ms until they
// have failed too often, and against counting the endpoint as 100 times faster than it
// is.
func TestPiecesWaitForResultCapacity(t *testing.T) {
	withCoordinator(t, 1, func(sim *simulation, c *Coordinator) {
		fake := sim.endpoints["m0"]
		fake.capacity = 0
		time.AfterFunc(time.Second, func() {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			fake.capacity = 1 << 30
		})
		if _, err := c.Submit(sim.t.Context(), 0, newTask("r", 4, 0, 3*time.Second, 5*time.Second)); err != nil {
			t.Errorf("a task for which result capacity became free: %v", err)
		}
		if calls, maxCalls := len(fake.calls), int(time.Second/(150*time.Millisecond))+3; calls > maxCalls {
			t.Errorf("%d calls, want at most %d in a second without result capacity", calls, maxCalls)
		}
	})
	e := newEndpointState(endpoints.Entry{})
	for range 5 {
		e.recordSuccess(time.Unix(1000, 0), 2*time.Millisecond, 300*time.Millisecond, false)
	}
	if e.lastSlowness != 1 {
		t.Errorf("answers without work made the endpoint's slowness %v", e.lastSlowness)
	}
}

// Guards against tasks that fail because an endpoint accepts no connections.
func TestUnreachableEndpointFailsNoTask(t *testing.T) {
	withCoordinator(t, 3, func(sim *simulation, c *Coordinator) {
		sim.endpoints["m0"].down = true
		var wg sync.WaitGroup
		for i := range 60 {
			time.Sleep(25 * time.Millisecond)
			wg.Go(func() {
				if _, err := c.Submit(sim.t.Context(), 0, newTask(fmt.Sprint("r", i), 2, 0, time.Second, 5*time.Second)); err != nil {
					t.Errorf("request %d: %v", i, err)
				}
			})
		}
		wg.Wait()
	})
}

// Calls are sent a little before the endpoint can start them. Guards against sending
// them earlier and earlier, because the start of a waiting call is taken to be the time
// when it was sent.
func TestCallsAreSentOnlyJustBeforeTheyCanStart(t *testing.T) {
	withCoordinator(t, 1, func(sim *simulation, c *Coordinator) {
		fake := sim.endpoints["m0"]
		fake.slowFactor = 1.15
		var wg sync.WaitGroup
		for i := range 160 {
			time.Sleep(20 * time.Millisecond)
			wg.Go(func() {
				_, _ = c.Submit(sim.t.Context(), 0, newTask(fmt.Sprint("r", i), 1, 5, 10*time.Second, 20*time.Second))
			})
		}
		// An urgent piece that arrives while the endpoint is busy joins the next call.
		began := time.Now()
		if _, err := c.Submit(sim.t.Context(), 0, newTask("urgent", 1, 0, 400*time.Millisecond, 5*time.Second)); err != nil {
			t.Error(err)
		}
		call := 8*sim.limits.PieceTime + sim.limits.CallTime
		if took := time.Since(began); took > time.Duration(2.6*float64(call)) {
			t.Errorf("the urgent piece took %v; a call takes %v", took, call)
		}
		wg.Wait()
	})
}

// Guards against pieces that are rejected for lack of capacity: results must be counted
// until their endpoint has freed them.
func TestResultCapacityIsNotExceeded(t *testing.T) {
	withCoordinator(t, 1, func(sim *simulation, c *Coordinator) {
		sim.limits.ResultCapacityBytes, sim.resultBytes = 100, 10
		sim.endpoints["m0"].capacity = 100
		c.SetEndpoints(sim.pool(), 0, sim.entries())
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				results, err := c.Submit(sim.t.Context(), 0, newTask(fmt.Sprint("r", i), 1, 0, 30*time.Second, 60*time.Second))
				if err != nil {
					t.Errorf("request %d: %v", i, err)
					return
				}
				time.Sleep(300 * time.Millisecond)
				c.Release(testPool, results)
			})
		}
		wg.Wait()
		sim.mu.Lock()
		defer sim.mu.Unlock()
		for key, n := range sim.runCounts {
			if n > 1 {
				t.Errorf("piece %s ran %d times", key, n)
			}
		}
	})
}

// Guards against results that are never freed when the caller of a task has
// disconnected.
func TestResultsOfAbandonedTasksAreFreed(t *testing.T) {
	withCoordinator(t, 1, func(sim *simulation, c *Coordinator) {
		ctx, cancel := context.WithCancel(sim.t.Context())
		go func() {
			time.Sleep(100 * time.Millisecond)
			cancel()
		}()
		_, err := c.Submit(ctx, 0, newTask("left", 2, 0, time.Second, 5*time.Second))
		if e := core.AsError(err, ""); err == nil || e.Ran != core.RanNot {
			t.Errorf("the abandoned task ends with %v", err)
		}
		time.Sleep(2 * time.Second)
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if n := len(sim.endpoints["m0"].stored); n != 0 {
			t.Errorf("%d results are still stored", n)
		}
	})
}

// Guards against tasks that fail because a piece failed once, and against repeats beyond
// the retry budget.
func TestAFailedPieceIsRepeatedWithinTheBudget(t *testing.T) {
	withCoordinator(t, 2, func(sim *simulation, c *Coordinator) {
		sim.statusOf = func(p Piece, n int) PieceStatus {
			if p.Index == 0 && n == 1 {
				return Failed
			}
			return Done
		}
		if _, err := c.Submit(sim.t.Context(), 0, newTask("once", 2, 0, time.Second, 5*time.Second)); err != nil {
			t.Errorf("a piece that fails once: %v", err)
		}
		c.budget.(*fakeBudget).remaining = 0
		_, err := c.Submit(sim.t.Context(), 0, newTask("again", 2, 0, time.Second, 5*time.Second))
		if err == nil {
			t.Error("a piece was repeated beyond the retry budget")
		}
	})
}

// Guards against repeats that are not counted because the endpoint rejected the call
// before: a rejected call has arrived there. One without a connection has not.
func TestRejectedCallsAreRepeatedWithinTheBudget(t *testing.T) {
	for _, c := range []struct {
		name               string
		down, full, served bool
	}{{"full", false, true, false}, {"down", true, false, true}} {
		t.Run(c.name, func(t *testing.T) {
			withCoordinator(t, 2, func(sim *simulation, coordinator *Coordinator) {
				// The first idle endpoint by name gets the call.
				sim.endpoints["m0"].down, sim.endpoints["m0"].full = c.down, c.full
				coordinator.budget.(*fakeBudget).remaining = 0
				_, err := coordinator.Submit(sim.t.Context(), 0, newTask("r", 1, 0, time.Second, 5*time.Second))
				if served := err == nil; served != c.served {
					t.Errorf("without a budget: %v, want served %v", err, c.served)
				}
				coordinator.budget.(*fakeBudget).remaining = 1
				if _, err := coordinator.Submit(sim.t.Context(), 0, newTask("r2", 1, 0, time.Second, 5*time.Second)); err != nil {
					t.Errorf("with a budget: %v", err)
				}
			})
		})
	}
}

// Guards against repeats that earn further repeats: the task of a request whose stages run
// again is no new request.
func TestRepeatedTasksEarnNoRepeats(t *testing.T) {
	withCoordinator(t, 2, func(sim *simulation, c *Coordinator) {
		for _, repeated := range []bool{false, true} {
			task := newTask(fmt.Sprint("r", repeated), 1, 0, time.Second, 5*time.Second)
			task.MayHaveRun = repeated
			if _, err := c.Submit(sim.t.Context(), 0, task); err != nil {
				t.Error(err)
			}
		}
		if n := c.budget.(*fakeBudget).requests; n != 1 {
			t.Errorf("a request whose stage ran twice earns as %d requests, want 1", n)
		}
	})
}

// Guards against repeating pieces whose inputs no longer exist.
func TestMissingInputEndsTheTaskAtOnce(t *testing.T) {
	withCoordinator(t, 2, func(sim *simulation, c *Coordinator) {
		sim.statusOf = func(Piece, int) PieceStatus { return InputGone }
		_, err := c.Submit(sim.t.Context(), 0, newTask("r", 1, 0, time.Second, 5*time.Second))
		if e := core.AsError(err, ""); e.Kind != core.Conflict || e.Ran != core.RanNot {
			t.Errorf("got %v", err)
		}
	})
}

// Guards against calls to endpoints that are no longer listed.
func TestRemovedEndpointsGetNoWork(t *testing.T) {
	withCoordinator(t, 2, func(sim *simulation, c *Coordinator) {
		remaining := sim.endpoints["m1"].entry
		c.SetEndpoints(sim.pool(), 0, []endpoints.Entry{remaining})
		for i := range 10 {
			if _, err := c.Submit(sim.t.Context(), 0, newTask(fmt.Sprint("r", i), 1, 0, time.Second, 5*time.Second)); err != nil {
				t.Error(err)
			}
		}
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if n := len(sim.endpoints["m0"].calls); n != 0 {
			t.Errorf("the removed endpoint got %d calls", n)
		}
	})
}

// Guards against a queue that grows without bound.
func TestTheQueueIsBounded(t *testing.T) {
	withCoordinator(t, 1, func(sim *simulation, c *Coordinator) {
		// The endpoint is paused, so that tasks wait. A group without endpoints would
		// refuse them.
		sim.mu.Lock()
		sim.pauses["m0"] = time.Now().Add(time.Hour)
		sim.mu.Unlock()
		ctx, cancel := context.WithCancel(sim.t.Context())
		var wg sync.WaitGroup
		var refused atomic.Int32
		for i := range 50 {
			wg.Go(func() {
				_, err := c.Submit(ctx, 0, newTask(fmt.Sprint("r", i), 100, 0, time.Hour, time.Hour))
				if e := core.AsError(err, ""); e.Kind == core.Unavailable && e.RetryAfter > 0 {
					refused.Add(1)
				}
			})
		}
		time.Sleep(time.Second)
		if n := refused.Load(); n != 10 {
			t.Errorf("%d tasks of 100 pieces refused at once, want 10 of 50", n)
		}
		cancel()
		wg.Wait()
	})
}

// Guards against pieces that fail because their call was given up for its time although no
// other call could produce them: the endpoint was only slow.
func TestAnOverdueCallIsGivenUpOnlyForAnother(t *testing.T) {
	for _, c := range []struct {
		name              string
		endpoints, budget int
		slowFactor        float64
		wantCalls         int
		wantErr           bool
	}{
		{"no repeat left", 2, 0, 12, 1, false},
		{"a repeat left", 2, 1, 12, 2, false},
		{"no repeat left, silent for good", 2, 0, 1e6, 1, true},
		{"a repeat left, no other endpoint", 1, 1, 12, 1, false},
	} {
		withCoordinator(t, c.endpoints, func(sim *simulation, coordinator *Coordinator) {
			sim.endpoints["m0"].slowFactor = c.slowFactor
			budget := coordinator.budget.(*fakeBudget)
			budget.remaining, budget.optional = c.budget, 0
			ctx, cancel := context.WithTimeout(sim.t.Context(), 8*time.Second)
			defer cancel()
			_, err := coordinator.Submit(ctx, 0, newTask("r", 1, 0, time.Second, 8*time.Second))
			time.Sleep(time.Second)
			calls, _ := sim.calls()
			sim.mu.Lock()
			unfinished := sim.endpoints["m0"].unfinishedCalls
			sim.mu.Unlock()
			if (err != nil) != c.wantErr || calls != c.wantCalls || unfinished > 0 {
				t.Errorf("%s: %v in %d calls, %d unfinished; want %d calls", c.name, err, calls, unfinished, c.wantCalls)
			}
		})
	}
}
