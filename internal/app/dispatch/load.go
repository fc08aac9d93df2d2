package dispatch

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// loadPollInterval is the mean time between rounds of load polls. Reported
	// load lags behind anyway, so that polling more often would add little.
	loadPollInterval = time.Second
	// loadPollJitter is the fraction of the interval that is random, so that
	// daemons do not poll an endpoint at the same time.
	loadPollJitter  = 0.2
	loadPollTimeout = 500 * time.Millisecond
	// maxPollsPerInterval bounds the endpoints polled in one round; the others
	// follow in the next rounds. Control work of a daemon is limited to 0.039 of
	// a core and 20 KB/s. About 85 polls a second take 0.048 of a core, and 15
	// polls a second use most of the 20 KB/s, at an estimated 0.9 KB a poll
	// including packet overhead.
	maxPollsPerInterval = 15
	maxParallelPolls    = 8
	// frozenCheckInterval is the time between checks for stuck calls.
	frozenCheckInterval = 50 * time.Millisecond
)

// Run polls reported load and checks for stuck calls until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() {
		runPeriodically(ctx, func() time.Duration { return frozenCheckInterval }, d.checkFrozen)
	})
	if d.Loads != nil {
		rng := rand.New(rand.NewPCG(d.Seed, 1))
		runPeriodically(ctx, func() time.Duration {
			return time.Duration(float64(loadPollInterval) * (1 - loadPollJitter/2 + loadPollJitter*rng.Float64()))
		}, func() { d.pollLoads(ctx) })
	}
	wg.Wait()
}

// runPeriodically calls f after each pause until ctx ends.
func runPeriodically(ctx context.Context, pause func() time.Duration, f func()) {
	t := time.NewTimer(pause())
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f()
			t.Reset(pause())
		case <-ctx.Done():
			return
		}
	}
}

func (d *Dispatcher) allPools() []*pool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	list := make([]*pool, 0, len(d.pools))
	for _, p := range d.pools {
		list = append(list, p)
	}
	return list
}

func (d *Dispatcher) checkFrozen() {
	for _, p := range d.allPools() {
		for _, e := range p.members.Load().endpoints {
			if e.inFlight.Load() > 0 {
				p.checkFrozen(e)
			}
		}
	}
}

// pollTarget is an endpoint to poll.
type pollTarget struct {
	pool     *pool
	endpoint *endpoint
}

// nextPolls returns up to maxPollsPerInterval of the targets, beginning where
// the last round ended.
func (d *Dispatcher) nextPolls(all []pollTarget) []pollTarget {
	if len(all) <= maxPollsPerInterval {
		return all
	}
	next := make([]pollTarget, maxPollsPerInterval)
	for i := range next {
		next[i] = all[(d.nextPollIndex+i)%len(all)]
	}
	d.nextPollIndex = (d.nextPollIndex + maxPollsPerInterval) % len(all)
	return next
}

// pollLoads polls endpoints of the pools that report load and passes the
// reports on to the scheduler.
func (d *Dispatcher) pollLoads(ctx context.Context) {
	cfg := d.Config()
	if cfg == nil || d.View() == nil {
		return
	}
	var polled []*pool
	var targets []pollTarget
	for _, id := range slices.Sorted(maps.Keys(cfg.Lists.Pools)) {
		p := d.pool(id)
		if !cfg.Lists.Pools[id].ReportsLoad {
			continue
		}
		polled = append(polled, p)
		for _, e := range p.currentMembers().endpoints {
			targets = append(targets, pollTarget{p, e})
		}
	}
	var g errgroup.Group
	g.SetLimit(maxParallelPolls)
	for _, t := range d.nextPolls(targets) {
		g.Go(func() error {
			t.pool.pollEndpoint(ctx, t.endpoint)
			return nil
		})
	}
	_ = g.Wait() // the functions never return an error
	for _, p := range polled {
		p.reportLoad()
		p.publishCapacity()
	}
}

// pollEndpoint reads an endpoint's load and cache events. A failed poll keeps
// the last report, which counts less as it ages.
func (p *pool) pollEndpoint(ctx context.Context, e *endpoint) {
	ctx, cancel := context.WithTimeout(ctx, loadPollTimeout)
	defer cancel()
	// The endpoint counts its calls at some time between the poll and its answer.
	// Subtracting the larger of this daemon's counts before and after avoids
	// taking its calls for those of other daemons.
	ownCalls := e.inFlight.Load()
	report, err := p.dispatcher.Loads.Load(ctx, e.Endpoint)
	if err != nil {
		p.counts.counter("load_poll_failures", "").Inc()
		return
	}
	ownCalls = max(ownCalls, e.inFlight.Load())
	e.reported.Store(&reportedLoad{others: max(0, int32(report.Running+report.Waiting)-ownCalls), waiting: report.Waiting, slots: report.Slots, receivedAt: time.Now()})
	events, err := p.dispatcher.Loads.CacheEvents(ctx, e.Endpoint, e.cache.lastAppliedSeq())
	if err != nil {
		return // plain services have no cache events
	}
	if e.cache.apply(events) {
		p.counts.cacheEventGaps.Inc()
	}
}

// reportLoad passes the sum of the recent reports to the scheduler.
func (p *pool) reportLoad() {
	if p.dispatcher.Scheduler == nil {
		return
	}
	waiting, slots, reported := 0, 0, false
	for _, e := range p.members.Load().endpoints {
		if r := e.reported.Load(); r != nil && time.Since(r.receivedAt) < 2*loadPollInterval {
			waiting += r.waiting
			slots += e.slotsOr(p.config().Slots)
			reported = true
		}
	}
	if reported {
		p.dispatcher.Scheduler.ReportLoad(p.id, waiting, slots)
	}
}
