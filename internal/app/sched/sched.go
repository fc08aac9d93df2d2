// Package sched decides when a call may go to an endpoint pool: it refuses work
// that cannot finish in time, queues the rest fairly, and keeps a window of
// calls in progress per pool.
package sched

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/limits"
)

// Ticket describes one call that wants a slot of a pool.
type Ticket struct {
	Request core.RequestID
	Pool    core.PoolID
	// Stage names the stage or operation; predictions are kept per stage and rank.
	Stage   string
	Account core.AccountID
	// Weight is the account's share relative to others of its rank.
	Weight float64
	Rank   core.Rank
	// Deadline is the monotonic instant by which the whole request must end.
	Deadline time.Time
	// LaterStages is the predicted time of the stages that follow.
	LaterStages time.Duration
}

// key names the estimate of the ticket's service time.
func (t Ticket) key() string { return estimateKey(t.Stage, t.Rank) }

// estimateKey keeps ranks apart: engines run urgent calls first, so that in a
// flood a bulk call takes several times as long.
func estimateKey(stage string, r core.Rank) string { return stage + "@" + r.String() }

// Outcome says how a granted call ended.
type Outcome struct {
	// Elapsed is the time that the call took at the endpoint.
	Elapsed time.Duration
	// OK says that the endpoint answered the call.
	OK bool
	// Overloaded says that the endpoint refused the call for overload.
	Overloaded bool
}

// Grant is a slot of a pool. Release must be called once; further calls do nothing.
type Grant interface {
	Release(Outcome)
}

// Policies that Options.Policy selects. FIFO and Unlimited are baselines for measurements.
const (
	PolicyDefault   = "default"
	PolicyFIFO      = "fifo"      // one queue, first in first out, no admission test
	PolicyUnlimited = "unlimited" // no queue and no window
)

// Options configures a Scheduler.
type Options struct {
	// Policy is one of the Policy constants. Default: PolicyDefault.
	Policy string
	// Floors holds the guaranteed part of each pool's capacity by rank, 0 to 1.
	Floors [core.NumRanks]float64
}

// Scheduler grants slots of endpoint pools and admits requests by their
// accounts' limits.
type Scheduler struct {
	limiter *Limiter

	mu      sync.RWMutex
	options Options
	daemons int
	pools   map[core.PoolID]*pool
}

// New returns a Scheduler. An unknown policy is an error.
func New(o Options) (*Scheduler, error) {
	switch o.Policy {
	case "":
		o.Policy = PolicyDefault
	case PolicyDefault, PolicyFIFO, PolicyUnlimited:
	default:
		return nil, errors.Errorf("scheduling policy %q, allowed: default, fifo, unlimited", o.Policy)
	}
	return &Scheduler{limiter: NewLimiter(), options: o, daemons: 1, pools: map[core.PoolID]*pool{}}, nil
}

// pool returns the state of a pool. Pools are configured, so their number is bounded.
func (s *Scheduler) pool(id core.PoolID) *pool {
	s.mu.RLock()
	p := s.pools[id]
	s.mu.RUnlock()
	if p != nil {
		return p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p = s.pools[id]; p == nil {
		p = newPool(id, s.options, s.daemons)
		s.pools[id] = p
	}
	return p
}

func (s *Scheduler) all() []*pool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Collect(maps.Values(s.pools))
}

// unbounded is the grant of PolicyUnlimited.
type unbounded struct{}

// Release implements Grant.
func (unbounded) Release(Outcome) {}

// Acquire waits for a slot of the ticket's pool. The error is a *core.Error
// whose Ran is RanNot; it is returned as soon as the refusal is decided.
func (s *Scheduler) Acquire(ctx context.Context, t Ticket) (Grant, error) {
	if s.options.Policy == PolicyUnlimited {
		return unbounded{}, nil
	}
	if t.Rank >= core.NumRanks {
		return nil, &core.Error{Kind: core.Internal, Step: "queue", Peer: string(t.Pool), Ran: core.RanNot, Detail: "unknown rank"}
	}
	p, w := s.pool(t.Pool), &waiter{ticket: t, decided: make(chan struct{})}
	p.enter(w)
	select {
	case <-w.decided:
	default:
		p.await(ctx, w)
	}
	if w.err != nil {
		return nil, w.err
	}
	return w.grant, nil
}

// await returns when w is decided.
func (p *pool) await(ctx context.Context, w *waiter) {
	var last <-chan time.Time
	if !w.expires.IsZero() {
		timer := time.NewTimer(time.Until(w.expires))
		defer timer.Stop()
		last = timer.C
	}
	select {
	case <-w.decided:
	case <-last:
		p.expire(w)
	case <-ctx.Done():
		p.leave(w, ctx.Err())
	}
}

// Predict returns the predicted mean service time of a stage for a rank, without queueing,
// or 0 if nothing is known.
func (s *Scheduler) Predict(pool core.PoolID, stage string, r core.Rank) time.Duration {
	p := s.pool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.estimates.Mean(time.Now(), estimateKey(stage, r))
}

// SetCapacity sets the slots of the endpoints that this daemon may use now.
func (s *Scheduler) SetCapacity(pool core.PoolID, slots int) { s.pool(pool).setCapacity(slots) }

// ReportLoad takes a lagging report of the endpoints' load: calls that wait at
// the endpoints, and their slots.
func (s *Scheduler) ReportLoad(pool core.PoolID, waiting int, slots int) {
	p := s.pool(pool)
	defer p.lock()()
	p.window.report(p.now, waiting, slots)
}

// SetDaemons sets the number of live daemons, this one included.
func (s *Scheduler) SetDaemons(n int) {
	s.limiter.setDaemons(n)
	s.mu.Lock()
	s.daemons = n
	s.mu.Unlock()
	s.each(func(p *pool) { p.window.daemons = n })
}

// SetFloors changes the floors after a configuration change.
func (s *Scheduler) SetFloors(floors [core.NumRanks]float64) {
	s.mu.Lock()
	s.options.Floors = floors
	s.mu.Unlock()
	s.each(func(p *pool) { p.queue.SetFloors(floors) })
}

// each runs change on every pool under its mutex.
func (s *Scheduler) each(change func(p *pool)) {
	for _, p := range s.all() {
		unlock := p.lock()
		change(p)
		unlock()
	}
}

// Admit applies the account's limits to a request; see Limiter.Admit.
func (s *Scheduler) Admit(account core.AccountID, plan config.Plan, now time.Time) (release func(tokens int), err error) {
	return s.limiter.Admit(account, plan, now)
}

// SetTotals takes usage totals over all daemons from the last reports. It
// replaces the totals of the call before. An entry with an empty account holds
// the backlogged weight of all accounts by pool; without one, the entries of
// the accounts are added up, which must then be all accounts with a backlog.
func (s *Scheduler) SetTotals(now time.Time, totals []limits.AccountUsage) {
	s.limiter.setTotals(now, totals)
	backlog := map[core.PoolID]float64{}
	for _, t := range totals {
		if t.Account == "" {
			backlog = t.Backlog
			break
		}
		for pool, weight := range t.Backlog {
			backlog[pool] += weight
		}
	}
	s.each(func(p *pool) {
		p.window.setTotals(now, backlog[p.id], p.inProgress)
	})
}

// PeersUnreachable says that no totals can be had from now on.
func (s *Scheduler) PeersUnreachable(now time.Time) {
	s.limiter.cut(now)
	s.each(func(p *pool) {
		if p.window.cut.IsZero() {
			p.window.cut = now
		}
	})
}

// Snapshot returns this daemon's usage since the last call. An account's
// backlog weight is divided among the daemons by demand, so that the sum over
// all daemons is its weight, on however many daemons it is queued.
func (s *Scheduler) Snapshot() []limits.AccountUsage {
	now := time.Now()
	usage := s.limiter.snapshot(now)
	for _, p := range s.all() {
		p.report(usage, func(id core.AccountID) float64 { return s.limiter.fraction(id, now) })
	}
	return slices.SortedFunc(maps.Values(usage), func(a, b limits.AccountUsage) int {
		return cmp.Compare(a.Account, b.Account)
	})
}
