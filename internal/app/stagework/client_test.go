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
	"eelgrassgrade/internal/decide/catalog"
)

// noPeers is the transport and the events of a fleet of one daemon.
type noPeers struct{}

func (noPeers) Exchange(context.Context, string, *fleet.Status) (*fleet.Status, error) {
	return nil, context.Canceled
}
func (noPeers) Reconnect(string) int                                  { return 0 }
func (noPeers) Announce(context.Context, string, fleet.Prefill) error { return nil }
func (noPeers) PeerAlive(fleet.Member)                                {}
func (noPeers) PeerLost(fleet.Member, fleet.Loss)                     {}
func (noPeers) PeerLeaving(fleet.Member)                              {}
func (noPeers) ConnectionReplaced(fleet.Member, fleet.Replacement)    {}

// withClient runs f in virtual time with a client whose own daemon coordinates all groups.
func withClient(t *testing.T, endpointCount int, f func(*simulation, *Client)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sim := newSimulation(t, endpointCount)
		self := fleet.Member{ID: "d0", Address: "a0", DataCenter: "dc0"}
		fl := fleet.New(fleet.Options{Self: self, Transport: noPeers{}, Events: noPeers{}, OnStatus: func(*fleet.Status) {}, Source: func() *fleet.Status { return &fleet.Status{} }, Now: time.Now})
		local := NewCoordinator(ctx, sim, sim.pausedUntil, sim, noEvents{}, &fakeBudget{remaining: 50, optional: 25}, time.Now)
		f(sim, NewClient(fl, self, local, nil, noEvents{}, time.Now, func(dc core.DataCenterID) core.RegionID { return "region-of-" + core.RegionID(dc) }))
		cancel()
		synctest.Wait()
	})
}

// A ninth endpoint is added while tasks wait, so that the pool is divided into groups.
// Guards against tasks that wait forever in the old group.
func TestDividingAPoolLosesNoTask(t *testing.T) {
	withClient(t, 9, func(sim *simulation, c *Client) {
		list := sim.entries()
		c.SetEndpoints(sim.pool(), list[:8])
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				if _, err := c.Run(sim.t.Context(), newTask(fmt.Sprint("r", i), 2, 0, 10*time.Second, 20*time.Second)); err != nil {
					t.Errorf("task %d: %v", i, err)
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		c.SetEndpoints(sim.pool(), list)
		wg.Wait()
		c.SetEndpoints(sim.pool(), list[:8])
		if _, err := c.Run(sim.t.Context(), newTask("last", 1, 0, time.Second, 5*time.Second)); err != nil {
			t.Errorf("after the pool is one group again: %v", err)
		}
	})
}

// A pool has endpoints in two data centres. Tasks must run where their inputs are, and
// elsewhere only once the wait there is longer.
func TestTasksRunInTheDataCentreOfTheirInputs(t *testing.T) {
	withClient(t, 12, func(sim *simulation, c *Client) {
		c.SetEndpoints(sim.pool(), sim.entries())
		runsIn := map[core.DataCenterID]int{}
		for i := range 40 {
			task := newTask(fmt.Sprint("r", i), 1, 0, time.Second, 5*time.Second)
			task.InputsDataCenter = "dc1"
			got, err := c.Run(sim.t.Context(), task)
			if err != nil {
				t.Fatal(err)
			}
			runsIn[got[0].DataCenter]++
		}
		if runsIn["dc1"] != 40 {
			t.Errorf("40 tasks with inputs in dc1 ran in %v", runsIn)
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range 400 {
			time.Sleep(5 * time.Millisecond)
			wg.Go(func() {
				task := newTask(fmt.Sprint("s", i), 2, 0, 10*time.Second, 20*time.Second)
				task.InputsDataCenter = "dc1"
				got, err := c.Run(sim.t.Context(), task)
				if err != nil {
					t.Errorf("task %d: %v", i, err)
					return
				}
				mu.Lock()
				runsIn[got[0].DataCenter]++
				mu.Unlock()
			})
		}
		wg.Wait()
		if runsIn["dc0"] < 40 {
			t.Errorf("too few tasks left the full data centre dc1: %v", runsIn)
		}
	})
}

// Inputs are freed early only where result capacity is scarce. Guards against results that
// are kept in a group where pieces wait for capacity, because another group of the pool is
// idle.
func TestScarceResultCapacityIsJudgedPerGroup(t *testing.T) {
	withClient(t, 12, func(sim *simulation, c *Client) {
		c.SetEndpoints(sim.pool(), sim.entries())
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				task := newTask(fmt.Sprint("r", i), 4, 0, 20*time.Second, 30*time.Second)
				// Submitted to the local coordinator directly, because Run would choose the
				// group with the shorter wait.
				_, _ = c.local.Submit(sim.t.Context(), c.groupOf[testPool]["m1"], task)
			})
		}
		time.Sleep(50 * time.Millisecond)
		if got := c.capacityWait(testPool, Result{Endpoint: "m1"}); got <= scarceCapacityWait {
			t.Errorf("the wait for result capacity at m1 is %v behind 800 pieces", got)
		}
		if got := c.capacityWait(testPool, Result{Endpoint: "m0"}); got > scarceCapacityWait {
			t.Errorf("the wait for result capacity at m0 is %v although its group is idle", got)
		}
		if nearFull, nearIdle := c.EstimateWait(testPool, 0, "dc1"), c.EstimateWait(testPool, 0, "dc0"); nearFull <= nearIdle {
			t.Errorf("tasks near the full group wait %v, near the idle one %v", nearFull, nearIdle)
		}
		wg.Wait()
	})
}

// Guards against pieces of a request that is restricted to regions that run in another
// region, also when the queue there is shorter, and against such a request that waits for
// its deadline when its regions have no endpoint.
func TestRestrictedTasksRunInTheirRegions(t *testing.T) {
	withClient(t, 12, func(sim *simulation, c *Client) {
		c.SetEndpoints(sim.pool(), sim.entries())
		var wg sync.WaitGroup
		for i := range 400 {
			wg.Go(func() {
				task := newTask(fmt.Sprint("r", i), 2, 0, 10*time.Second, 20*time.Second)
				task.Homes = catalog.Homes{"region-of-dc1"}
				got, err := c.Run(sim.t.Context(), task)
				if err != nil || got[0].DataCenter != "dc1" || got[1].DataCenter != "dc1" {
					t.Errorf("task %d ran in %v, error %v", i, got, err)
				}
			})
		}
		wg.Wait()
		began := time.Now()
		task := newTask("elsewhere", 1, 0, 10*time.Second, 20*time.Second)
		task.Homes = catalog.Homes{"region-of-dc9"}
		if _, err := c.Run(sim.t.Context(), task); err == nil || time.Since(began) > 0 {
			t.Errorf("a task without an endpoint in its region ended after %v with error %v", time.Since(began), err)
		}
	})
}

// Guards against requests that a stopping daemon refuses for lack of a coordinator although
// it could coordinate their stages itself: it is the only daemon, is cut off from the others,
// or the last other one is lost.
func TestALeavingDaemonCoordinatesForItself(t *testing.T) {
	for _, others := range [][]fleet.Member{nil, {{ID: "d1", Address: "a1"}}} {
		withClient(t, 3, func(sim *simulation, c *Client) {
			c.SetEndpoints(sim.pool(), sim.entries())
			c.remote = noCoordinators{}
			ctx, cancel := context.WithCancel(sim.t.Context())
			defer cancel()
			go c.fleet.Run(ctx)
			c.fleet.Leave()
			time.Sleep(time.Second)
			for _, m := range others {
				c.fleet.HandleExchange(&fleet.Status{Member: m, Incarnation: 1})
			}
			if _, err := c.Run(ctx, newTask("r", 2, 0, time.Second, 5*time.Second)); err != nil {
				t.Errorf("beside %d other daemons: %v", len(others), err)
			}
		})
	}
}

// noCoordinators is a Coordinators whose daemons have ended.
type noCoordinators struct{}

func (noCoordinators) Submit(context.Context, string, int, *Task) ([]Result, error) {
	return nil, &core.Error{Kind: core.Unavailable, Ran: core.RanUnknown, Detail: LostCoordinator}
}

func (noCoordinators) Release(context.Context, string, core.PoolID, []Result) error {
	return context.Canceled
}

// Guards against requests that did not run, since all daemons that could coordinate a stage
// were lost or refused it, whose callers are not told so, nor when to return.
func TestATaskThatNobodyTakesDidNotRun(t *testing.T) {
	withClient(t, 3, func(sim *simulation, c *Client) {
		c.SetEndpoints(sim.pool(), sim.entries())
		ctx, cancel := context.WithCancel(sim.t.Context())
		defer cancel()
		go c.fleet.Run(ctx)
		time.Sleep(2 * time.Second)
		for i := range 30 {
			c.fleet.HandleExchange(&fleet.Status{Member: fleet.Member{ID: core.InstanceID(fmt.Sprint("e", i)), Address: fmt.Sprint("e", i)}, Incarnation: 1})
		}
		for _, remote := range []Coordinators{noCoordinators{}, stoppingCoordinators{}} {
			c.remote = remote
			began := time.Now()
			_, err := c.Run(ctx, newTask("r", 1, 0, time.Second, 5*time.Second))
			if e := core.AsError(err, ""); err == nil || e.Kind != core.Unavailable || e.Ran != core.RanNot || e.RetryAfter <= 0 || e.Step == "" || time.Since(began) > 0 {
				t.Errorf("%T: %+v after %v", remote, e, time.Since(began))
			}
		}
	})
}

// stoppingCoordinators is a Coordinators whose daemons are stopping.
type stoppingCoordinators struct{ noCoordinators }

func (stoppingCoordinators) Submit(context.Context, string, int, *Task) ([]Result, error) {
	return nil, groupRemovedError()
}
