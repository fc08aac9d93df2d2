package stagework

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/core"
)

const testLatency = 5 * time.Millisecond

// testDaemon is one daemon of a testCluster.
type testDaemon struct {
	fleet *fleet.Fleet
	local *Coordinator
	*Client
	ctx  context.Context
	kill context.CancelFunc
}

// testCluster connects daemons in memory. All of them call the same endpoints.
type testCluster struct {
	noPeers
	sim     *simulation
	budget  *fakeBudget
	mu      sync.Mutex
	daemons map[string]*testDaemon
	starts  int64
}

func (c *testCluster) at(address string) *testDaemon {
	time.Sleep(testLatency / 2)
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := c.daemons[address]; d != nil && d.ctx.Err() == nil {
		return d
	}
	return nil
}

// Exchange implements fleet.Transport.
func (c *testCluster) Exchange(_ context.Context, address string, s *fleet.Status) (*fleet.Status, error) {
	if d := c.at(address); d != nil {
		return d.fleet.HandleExchange(s), nil
	}
	return nil, context.Canceled
}

// Submit implements Coordinators.
func (c *testCluster) Submit(ctx context.Context, address string, group int, t *Task) ([]Result, error) {
	lost := &core.Error{Kind: core.Unavailable, Ran: core.RanUnknown, Detail: LostCoordinator}
	d := c.at(address)
	if d == nil {
		return nil, lost
	}
	done, ok := d.local.AdmitPeerTask()
	if !ok {
		return nil, groupRemovedError()
	}
	defer done()
	there := &Task{Pool: t.Pool, Request: t.Request, Account: t.Account, Pieces: t.Pieces, Key: t.Key, Rank: t.Rank, LatestStart: t.LatestStart, Deadline: t.Deadline, ResultBytes: t.ResultBytes,
		MayHaveRun: t.MayHaveRun, FromPeer: true, OnStart: t.MarkStarted}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(d.ctx, cancel)()
	results, err := d.local.Submit(ctx, group, there)
	if d.ctx.Err() != nil {
		return nil, lost
	}
	return results, err
}

// Release implements Coordinators.
func (c *testCluster) Release(_ context.Context, address string, pool core.PoolID, results []Result) error {
	d := c.at(address)
	if d == nil {
		return context.Canceled
	}
	d.local.Release(pool, results)
	return nil
}

// start starts a daemon, which replaces an ended one with the same number.
func (c *testCluster) start(i int) {
	ctx, cancel := context.WithCancel(c.sim.t.Context())
	self := fleet.Member{ID: core.InstanceID(fmt.Sprint("d", i)), Address: fmt.Sprint("a", i), DataCenter: "dc0"}
	d := &testDaemon{ctx: ctx, kill: cancel}
	c.starts++
	d.fleet = fleet.New(fleet.Options{Self: self, Transport: c, Events: noPeers{}, OnStatus: func(*fleet.Status) {}, Now: time.Now, Source: func() *fleet.Status { return &fleet.Status{} }})
	d.local = NewCoordinator(ctx, c.sim, c.sim.pausedUntil, c.sim, noEvents{}, c.budget, time.Now)
	d.Client = NewClient(d.fleet, self, d.local, c, noEvents{}, time.Now, func(core.DataCenterID) core.RegionID { return "" })
	d.SetEndpoints(c.sim.pool(), c.sim.entries())
	c.mu.Lock()
	c.daemons[self.Address] = d
	others := make([]fleet.Member, 0, len(c.daemons))
	for a := range c.daemons {
		others = append(others, fleet.Member{Address: a})
	}
	c.mu.Unlock()
	d.fleet.Add(others, true)
	go d.fleet.Run(ctx)
}

// stop stops a daemon as SIGTERM does and ends it.
func (c *testCluster) stop(address string) (unfinished int, took time.Duration) {
	d := c.at(address)
	began := time.Now()
	ctx, cancel := context.WithTimeout(c.sim.t.Context(), 7700*time.Millisecond)
	defer cancel()
	d.fleet.Leave()
	d.local.HandBack()
	time.Sleep(2500 * time.Millisecond)
	unfinished = d.Finish(ctx)
	d.kill()
	return unfinished, time.Since(began)
}

// withCluster runs f in virtual time with n daemons that have met.
func withCluster(t *testing.T, n, endpoints int, f func(*testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &testCluster{sim: newSimulation(t, endpoints), budget: &fakeBudget{remaining: 1000}, daemons: map[string]*testDaemon{}}
		for i := range n {
			c.start(i)
		}
		time.Sleep(2 * time.Second)
		f(c)
		for _, d := range c.daemons {
			d.kill()
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
	})
}

// All daemons are restarted, one after the other, while their stage pool works at its limit.
// Guards against stage work that runs again, takes retry budget or is refused because its
// coordinator stops, and against results that take up capacity after it.
func TestARollingRestartRepeatsNoStageWork(t *testing.T) {
	const daemons = 4
	withCluster(t, daemons, 3, func(c *testCluster) {
		var wg sync.WaitGroup
		var refused, slow atomic.Int32
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			for i := range daemons {
				time.Sleep(time.Second)
				if unfinished, took := c.stop(fmt.Sprint("a", i)); unfinished > 0 || took > 5*time.Second {
					t.Errorf("daemon %d stopped after %v with %d tasks", i, took, unfinished)
				}
				c.start(i)
				time.Sleep(2 * time.Second)
			}
		}()
		sent := 0
		for running := true; running; sent++ {
			i := sent
			// 65 pieces a second come in bursts of 3 s, for endpoints that finish about 66.
			if i%65 == 0 {
				time.Sleep(3 * time.Second)
			}
			select {
			case <-stopped:
				running = false
			default:
			}
			c.mu.Lock()
			var d *testDaemon
			for k := 0; d == nil || !slices.ContainsFunc(d.fleet.View().Alive, func(m fleet.Member) bool { return m.ID == d.self.ID }) || d.ctx.Err() != nil; k++ {
				d = c.daemons[fmt.Sprint("a", (i+k)%daemons)]
			}
			c.mu.Unlock()
			wg.Go(func() {
				began := time.Now()
				results, err := d.Run(c.sim.t.Context(), newTask(fmt.Sprint("r", i), 3, 0, 10*time.Second, 20*time.Second))
				if err != nil {
					refused.Add(1)
					return
				}
				if time.Since(began) > 5*time.Second {
					slow.Add(1)
				}
				d.Release(testPool, results)
			})
		}
		wg.Wait()
		time.Sleep(2 * time.Second)
		c.sim.mu.Lock()
		defer c.sim.mu.Unlock()
		again, used, stored := 0, 1000-c.budget.remaining, 0
		for _, n := range c.sim.runCounts {
			again += n - 1
		}
		for _, e := range c.sim.endpoints {
			stored += len(e.stored)
		}
		t.Logf("%d tasks: %d pieces ran again, %d repeats of the budget, %d refused, %d took over 5 s, %d results left", sent, again, used, refused.Load(), slow.Load(), stored)
		if again+used+stored > 0 || refused.Load() > 0 {
			t.Error("a planned stop costs callers stage work")
		}
	})
}

// Guards against a stop that is delayed without work, that outlasts its bound, or that does
// not wait for the tasks of others that have started.
func TestFinishWaitsForStartedTasksOnly(t *testing.T) {
	withCluster(t, 1, 1, func(c *testCluster) {
		d, ended := c.at("a0"), make(chan error, 100)
		finish := func(bound time.Duration) (unfinished int, took time.Duration) {
			ctx, cancel := context.WithTimeout(c.sim.t.Context(), bound)
			defer cancel()
			began := time.Now()
			return d.Finish(ctx), time.Since(began)
		}
		if n, took := finish(time.Minute); n > 0 || took > 0 {
			t.Errorf("without work: %d tasks, %v", n, took)
		}
		for i := range cap(ended) {
			go func() {
				_, err := c.Submit(c.sim.t.Context(), "a0", 0, newTask(fmt.Sprint("r", i), 1, 0, time.Minute, time.Minute))
				ended <- err
			}()
		}
		time.Sleep(100 * time.Millisecond)
		started := cap(ended) - d.local.HandBack()
		if n, took := finish(50 * time.Millisecond); n != started || n == 0 || took > 50*time.Millisecond {
			t.Errorf("at the bound: %d tasks of %d that started, %v", n, started, took)
		}
		if n, took := finish(time.Minute); n > 0 || took > 2*time.Second {
			t.Errorf("without a bound: %d tasks, %v", n, took)
		}
		done := 0
		for range cap(ended) {
			if err := <-ended; err == nil {
				done++
			} else if !isCoordinatorLost(err) || core.AsError(err, "").Ran != core.RanNot {
				t.Errorf("a task ended with %v", err)
			}
		}
		if done != started {
			t.Errorf("%d tasks are done, want the %d that started", done, started)
		}
	})
}
