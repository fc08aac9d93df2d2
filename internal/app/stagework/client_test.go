package stagework

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/core"
)

// alone is a fleet of one daemon.
type alone struct{}

func (alone) Exchange(context.Context, string, *fleet.Status) (*fleet.Status, error) {
	return nil, context.Canceled
}
func (alone) Drop(string)                                           {}
func (alone) Announce(context.Context, string, fleet.Prefill) error { return nil }
func (alone) PeerAlive(fleet.Member)                                {}
func (alone) PeerLost(fleet.Member, time.Duration)                  {}

// runClient starts a client that coordinates all groups itself.
func runClient(t *testing.T, machines int, f func(*world, *Client)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(t, machines)
		self := fleet.Member{ID: "d0", Address: "a0", DataCenter: "dc0"}
		fl := fleet.New(fleet.Options{Self: self, Transport: alone{}, Events: alone{}, Now: time.Now})
		local := NewCoordinator(ctx, w, w.rest, quiet{}, &allowance{left: 50, spare: 25}, time.Now)
		f(w, NewClient(fl, self, local, nil, quiet{}, time.Now))
		cancel()
		synctest.Wait()
	})
}

// Pattern: a ninth endpoint comes while tasks wait, so that the pool is divided
// into groups. The tasks of the old group must not wait there for ever.
func TestADividedPoolLosesNoTask(t *testing.T) {
	runClient(t, 9, func(w *world, c *Client) {
		list := w.entries()
		c.SetEndpoints(w.pool(), list[:8])
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				if _, err := c.Run(w.t.Context(), newTask(fmt.Sprint("r", i), 2, 0, 10*time.Second, 20*time.Second)); err != nil {
					t.Errorf("task %d: %v", i, err)
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		c.SetEndpoints(w.pool(), list)
		wg.Wait()
		c.SetEndpoints(w.pool(), list[:8])
		if _, err := c.Run(w.t.Context(), newTask("last", 1, 0, time.Second, 5*time.Second)); err != nil {
			t.Errorf("after the pool is one group again: %v", err)
		}
	})
}

// Pattern: a pool in two data centres with large inputs. Tasks go where their
// inputs are, and elsewhere once the wait there is longer.
func TestTasksGoWhereTheirInputsAre(t *testing.T) {
	runClient(t, 12, func(w *world, c *Client) {
		c.SetEndpoints(w.pool(), w.entries())
		at := map[core.DataCenterID]int{}
		for i := range 40 {
			task := newTask(fmt.Sprint("r", i), 1, 0, time.Second, 5*time.Second)
			task.From = "dc1"
			got, err := c.Run(w.t.Context(), task)
			if err != nil {
				t.Fatal(err)
			}
			at[got[0].DataCenter]++
		}
		if at["dc1"] != 40 {
			t.Errorf("40 tasks with inputs in dc1 ran %v", at)
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range 400 {
			time.Sleep(5 * time.Millisecond)
			wg.Go(func() {
				task := newTask(fmt.Sprint("s", i), 2, 0, 10*time.Second, 20*time.Second)
				task.From = "dc1"
				got, err := c.Run(w.t.Context(), task)
				if err != nil {
					t.Errorf("task %d: %v", i, err)
					return
				}
				mu.Lock()
				at[got[0].DataCenter]++
				mu.Unlock()
			})
		}
		wg.Wait()
		if at["dc0"] < 40 {
			t.Errorf("a full data centre keeps its tasks: %v", at)
		}
	})
}

// Guards against results that keep their room in a group where pieces wait for it,
// because another group of the pool has room: they are freed early only where room
// is scarce.
func TestRoomIsScarceByGroup(t *testing.T) {
	runClient(t, 12, func(w *world, c *Client) {
		c.SetEndpoints(w.pool(), w.entries())
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				task := newTask(fmt.Sprint("r", i), 4, 0, 20*time.Second, 30*time.Second)
				// No other daemon tells waits, and the group is chosen by them.
				_, _ = c.local.Submit(w.t.Context(), c.of[testPool]["m1"], task)
			})
		}
		time.Sleep(50 * time.Millisecond)
		if got := c.roomWait(testPool, Result{Endpoint: "m1"}); got <= scarceWait {
			t.Errorf("the wait for room at m1 is %v behind 800 pieces", got)
		}
		if got := c.roomWait(testPool, Result{Endpoint: "m0"}); got > scarceWait {
			t.Errorf("the wait for room at m0 is %v, its group is idle", got)
		}
		if near, far := c.Wait(testPool, 0, "dc1"), c.Wait(testPool, 0, "dc0"); near <= far {
			t.Errorf("tasks near the full group wait %v, near the idle one %v", near, far)
		}
		wg.Wait()
	})
}
