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

// Guards against a result that belongs to another request or piece, and against
// a piece that is missing.
func TestEachPieceGetsItsOwnResult(t *testing.T) {
	run(t, 3, func(w *world, c *Coordinator) {
		var wg sync.WaitGroup
		var mu sync.Mutex
		seen := map[string]bool{}
		for i := range 30 {
			wg.Go(func() {
				results, err := c.Submit(w.t.Context(), 0, newTask(fmt.Sprint("r", i), 3, 0, time.Second, 20*time.Second))
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
		w.mu.Lock()
		defer w.mu.Unlock()
		for key, n := range w.runs {
			if n != 1 {
				t.Errorf("piece %s ran %d times", key, n)
			}
		}
	})
}

// Pattern: many small tasks of different daemons against few endpoints, 90 pieces
// a second where one call a request allows 14. They must share calls.
func TestPiecesOfDifferentRequestsShareCalls(t *testing.T) {
	run(t, 4, func(w *world, c *Coordinator) {
		var wg sync.WaitGroup
		var late atomic.Int32
		for i := range 300 {
			time.Sleep(16 * time.Millisecond)
			wg.Go(func() {
				began := time.Now()
				if _, err := c.Submit(w.t.Context(), 0, newTask(fmt.Sprint("r", i), 1, 0, time.Second, 5*time.Second)); err != nil || time.Since(began) > 1200*time.Millisecond {
					late.Add(1)
				}
			})
		}
		wg.Wait()
		calls, pieces := w.calls()
		if late.Load() > 3 {
			t.Errorf("%d of 300 tasks are late", late.Load())
		}
		if pieces != 300 || calls > 150 {
			t.Errorf("%d pieces in %d calls", pieces, calls)
		}
	})
}

// Pattern: a burst of the least urgent work of five times what the endpoints can
// take, beside urgent work. The urgent work must stay in time, and bulk that has
// no prospect must be refused before its time is over.
func TestABurstOfBulkDoesNotDelayUrgentWork(t *testing.T) {
	run(t, 2, func(w *world, c *Coordinator) {
		var wg sync.WaitGroup
		var urgentLate, bulkDone, bulkHeld atomic.Int32
		for i := range 200 {
			time.Sleep(20 * time.Millisecond)
			wg.Go(func() {
				began := time.Now()
				_, err := c.Submit(w.t.Context(), 0, newTask(fmt.Sprint("bulk", i), 4, 8, 3*time.Second, 5*time.Second))
				if err == nil {
					bulkDone.Add(1)
				} else if time.Since(began) > 4500*time.Millisecond {
					bulkHeld.Add(1)
				}
			})
			if i%20 == 0 {
				wg.Go(func() {
					began := time.Now()
					if _, err := c.Submit(w.t.Context(), 0, newTask(fmt.Sprint("urgent", i), 2, 0, 600*time.Millisecond, 5*time.Second)); err != nil || time.Since(began) > time.Second {
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
		if bulkHeld.Load() > 20 {
			t.Errorf("%d bulk tasks were held until their time was nearly over", bulkHeld.Load())
		}
	})
}

// Pattern: one slow stage replica of four. It must not decide the time of tasks,
// and what waits on it is offered to others.
func TestASlowEndpointIsPassedBy(t *testing.T) {
	run(t, 4, func(w *world, c *Coordinator) {
		w.machines["m1"].factor = 8
		var wg sync.WaitGroup
		var late atomic.Int32
		for i := range 200 {
			time.Sleep(30 * time.Millisecond)
			wg.Go(func() {
				began := time.Now()
				if _, err := c.Submit(w.t.Context(), 0, newTask(fmt.Sprint("r", i), 1, 0, 700*time.Millisecond, 5*time.Second)); err != nil || time.Since(began) > 1100*time.Millisecond {
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

// Pattern: an endpoint that is slow for long. Calls that are made again only for
// that must not spend the repeats without which a failed piece fails its request.
func TestSlowCallsLeaveRepeatsForFailedOnes(t *testing.T) {
	run(t, 3, func(w *world, c *Coordinator) {
		a := c.budget.(*allowance)
		a.left, a.spare = 8, 4
		w.machines["m0"].factor, w.machines["m1"].factor, w.machines["m2"].factor = 3, 3, 3
		var wg sync.WaitGroup
		for i := range 15 {
			wg.Go(func() {
				if _, err := c.Submit(w.t.Context(), 0, newTask(fmt.Sprint("r", i), 2, 0, 10*time.Second, 20*time.Second)); err != nil {
					t.Errorf("task %d: %v", i, err)
				}
			})
		}
		wg.Wait()
		if a.left < 4 || a.spare > 0 {
			t.Errorf("%d of 8 repeats and %d of 4 spare ones are left", a.left, a.spare)
		}
		w.fail = func(_ Piece, n int) Reason {
			if n == 1 {
				return Failed
			}
			return Done
		}
		if _, err := c.Submit(w.t.Context(), 0, newTask("failing", 4, 0, 10*time.Second, 20*time.Second)); err != nil {
			t.Errorf("pieces that fail once: %v", err)
		}
	})
}

// Pattern: the only endpoint of a group has no room even for small results, and
// says so at once. Pieces must wait for room; they were sent again each 2 ms until
// their tries were spent, and the endpoint counted as 100 times faster than it is.
func TestPiecesWaitForRoom(t *testing.T) {
	run(t, 1, func(w *world, c *Coordinator) {
		m := w.machines["m0"]
		m.room = 0
		time.AfterFunc(time.Second, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			m.room = 1 << 30
		})
		if _, err := c.Submit(w.t.Context(), 0, newTask("r", 4, 0, 3*time.Second, 5*time.Second)); err != nil {
			t.Errorf("a task that room came for: %v", err)
		}
		if n, most := len(m.calls), int(time.Second/(150*time.Millisecond))+3; n > most {
			t.Errorf("%d calls, at most %d in a second without room", n, most)
		}
	})
	r := newReplica(endpoints.Entry{})
	for range 5 {
		r.succeed(time.Unix(1000, 0), 2*time.Millisecond, 300*time.Millisecond, false)
	}
	if r.slow != 1 {
		t.Errorf("answers without work made the endpoint's factor %v", r.slow)
	}
}

// Guards against tasks that fail because an endpoint accepts no connections.
func TestADeadEndpointCostsNoTask(t *testing.T) {
	run(t, 3, func(w *world, c *Coordinator) {
		w.machines["m0"].down = true
		var wg sync.WaitGroup
		for i := range 60 {
			time.Sleep(25 * time.Millisecond)
			wg.Go(func() {
				if _, err := c.Submit(w.t.Context(), 0, newTask(fmt.Sprint("r", i), 2, 0, time.Second, 5*time.Second)); err != nil {
					t.Errorf("request %d: %v", i, err)
				}
			})
		}
		wg.Wait()
	})
}

// Guards against calls that are sent ahead of their turn by ever more: a call
// that began late must not have the next one sent by its sending time.
func TestCallsAreSentAheadOnlyJustBeforeTheirTurn(t *testing.T) {
	run(t, 1, func(w *world, c *Coordinator) {
		m := w.machines["m0"]
		m.factor = 1.15
		var wg sync.WaitGroup
		for i := range 160 {
			time.Sleep(20 * time.Millisecond)
			wg.Go(func() {
				_, _ = c.Submit(w.t.Context(), 0, newTask(fmt.Sprint("r", i), 1, 5, 10*time.Second, 20*time.Second))
			})
		}
		// An urgent piece in the middle of a busy time joins the next call.
		began := time.Now()
		if _, err := c.Submit(w.t.Context(), 0, newTask("urgent", 1, 0, 400*time.Millisecond, 5*time.Second)); err != nil {
			t.Error(err)
		}
		call := 8*w.limits.PieceTime + w.limits.CallTime
		if took := time.Since(began); took > time.Duration(2.6*float64(call)) {
			t.Errorf("the urgent piece took %v; a call takes %v", took, call)
		}
		wg.Wait()
	})
}

// Guards against calls that fail for lack of room: results count until their
// endpoint has freed them.
func TestTheRoomForResultsIsKept(t *testing.T) {
	run(t, 1, func(w *world, c *Coordinator) {
		w.limits.ResultCapacityBytes, w.bytes = 100, 10
		w.machines["m0"].room = 100
		c.SetEndpoints(w.pool(), 0, w.entries())
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				results, err := c.Submit(w.t.Context(), 0, newTask(fmt.Sprint("r", i), 1, 0, 30*time.Second, 60*time.Second))
				if err != nil {
					t.Errorf("request %d: %v", i, err)
					return
				}
				time.Sleep(300 * time.Millisecond)
				c.Release(testPool, results)
			})
		}
		wg.Wait()
		w.mu.Lock()
		defer w.mu.Unlock()
		for key, n := range w.runs {
			if n > 1 {
				t.Errorf("piece %s ran %d times", key, n)
			}
		}
	})
}

// Guards against results that nobody frees: those of tasks whose caller left,
// and those of pieces that were made twice.
func TestResultsOfAbandonedTasksAreFreed(t *testing.T) {
	run(t, 1, func(w *world, c *Coordinator) {
		ctx, cancel := context.WithCancel(w.t.Context())
		go func() {
			time.Sleep(100 * time.Millisecond)
			cancel()
		}()
		_, err := c.Submit(ctx, 0, newTask("left", 2, 0, time.Second, 5*time.Second))
		if e := core.AsError(err, ""); err == nil || e.Ran != core.RanNot {
			t.Errorf("the abandoned task ends with %v", err)
		}
		time.Sleep(2 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		if n := len(w.machines["m0"].kept); n != 0 {
			t.Errorf("%d results are kept", n)
		}
	})
}

// Guards against a piece that fails once failing its task, and against repeats
// beyond the budget.
func TestAFailedPieceIsRepeatedWithinTheBudget(t *testing.T) {
	run(t, 2, func(w *world, c *Coordinator) {
		w.fail = func(p Piece, n int) Reason {
			if p.Index == 0 && n == 1 {
				return Failed
			}
			return Done
		}
		if _, err := c.Submit(w.t.Context(), 0, newTask("once", 2, 0, time.Second, 5*time.Second)); err != nil {
			t.Errorf("a piece that fails once: %v", err)
		}
		c.budget.(*allowance).left = 0
		_, err := c.Submit(w.t.Context(), 0, newTask("again", 2, 0, time.Second, 5*time.Second))
		if err == nil {
			t.Error("a piece was repeated without a budget")
		}
	})
}

// Guards against a request that is told to wait for inputs that are gone.
func TestAGoneInputEndsTheTaskAtOnce(t *testing.T) {
	run(t, 2, func(w *world, c *Coordinator) {
		w.fail = func(Piece, int) Reason { return InputGone }
		_, err := c.Submit(w.t.Context(), 0, newTask("r", 1, 0, time.Second, 5*time.Second))
		if e := core.AsError(err, ""); e.Kind != core.Conflict || e.Ran != core.RanNot {
			t.Errorf("got %v", err)
		}
	})
}

// Guards against endpoints that get work after they left the list or were
// replaced by another incarnation at the same address.
func TestEndpointsThatLeftGetNoWork(t *testing.T) {
	run(t, 2, func(w *world, c *Coordinator) {
		kept := w.machines["m1"].entry
		c.SetEndpoints(w.pool(), 0, []endpoints.Entry{kept})
		for i := range 10 {
			if _, err := c.Submit(w.t.Context(), 0, newTask(fmt.Sprint("r", i), 1, 0, time.Second, 5*time.Second)); err != nil {
				t.Error(err)
			}
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if n := len(w.machines["m0"].calls); n != 0 {
			t.Errorf("the endpoint that left got %d calls", n)
		}
	})
}

// Guards against a queue without bound.
func TestTheQueueIsBounded(t *testing.T) {
	run(t, 1, func(w *world, c *Coordinator) {
		// A group without endpoints refuses every task; one that wants nothing for now
		// makes them wait.
		w.mu.Lock()
		w.resting["m0"] = time.Now().Add(time.Hour)
		w.mu.Unlock()
		ctx, cancel := context.WithCancel(w.t.Context())
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
