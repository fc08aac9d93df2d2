// Package sched decides when a call may be sent to an endpoint pool. It refuses
// calls that cannot finish in time, queues the others fairly, and limits the
// calls in progress per pool by a window.
package sched

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/limits"
)

// Ticket describes one call that asks for a slot of a pool.
type Ticket struct {
	Request core.RequestID
	Pool    core.PoolID
	// Stage names the stage or operation; predictions are kept per stage and rank.
	Stage   string
	Account core.AccountID
	// Weight is the account's share relative to others of its rank.
	Weight float64
	Rank   core.Rank
	// Deadline is the time by which the whole request must end. It has a monotonic
	// reading.
	Deadline time.Time
	// LaterStagesTime is the predicted time of the stages that follow.
	LaterStagesTime time.Duration
}

// key returns the key of the estimate of the call's service time.
func (t Ticket) key() string { return estimateKey(t.Stage, t.Rank) }

// estimateKey returns the key of a service time estimate. Estimates are kept per
// rank because engines run urgent calls first: under overload by urgent calls a
// bulk call takes several times as long.
func estimateKey(stage string, r core.Rank) string { return stage + "@" + r.String() }

// Outcome is the result of a granted call.
type Outcome struct {
	// Elapsed is the time that the call took at the endpoint. Zero means that it
	// was not sent.
	Elapsed time.Duration
	// OK means that the endpoint answered the call.
	OK bool
	// Overloaded means that the endpoint refused the call because of overload.
	Overloaded bool
}

// Grant is a slot of a pool. Release must be called once; further calls do nothing.
type Grant interface {
	Release(Outcome)
}

// The values of Options.Policy. PolicyFIFO and PolicyUnlimited are baselines for
// measurements.
const (
	PolicyDefault   = "default"
	PolicyFIFO      = "fifo"      // one queue, first in, first out, without admission control
	PolicyUnlimited = "unlimited" // neither queue nor window
)

// Options configures a Scheduler.
type Options struct {
	// Policy is one of the Policy constants. Default: PolicyDefault.
	Policy string
	// Floors holds the fraction of each pool's capacity, 0 to 1, that is
	// guaranteed to each rank.
	Floors [core.NumRanks]float64
}

// Scheduler grants slots of endpoint pools and applies the limits of client
// accounts to requests.
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
		return nil, errors.Errorf("unknown scheduling policy %q, allowed: default, fifo, unlimited", o.Policy)
	}
	return &Scheduler{limiter: NewLimiter(), options: o, daemons: 1, pools: map[core.PoolID]*pool{}}, nil
}

// pool returns the state of a pool, which it creates if needed. The number of
// pools is bounded because only configured pools are used.
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

func (s *Scheduler) allPools() []*pool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Collect(maps.Values(s.pools))
}

// unlimitedGrant is the grant of PolicyUnlimited.
type unlimitedGrant struct{}

// Release implements Grant.
func (unlimitedGrant) Release(Outcome) {}

// Acquire waits for a slot of the ticket's pool. The error is a *core.Error
// whose Ran is RanNot. It is returned as soon as the call is refused.
func (s *Scheduler) Acquire(ctx context.Context, t Ticket) (Grant, error) {
	if s.options.Policy == PolicyUnlimited {
		return unlimitedGrant{}, nil
	}
	if t.Rank >= core.NumRanks {
		return nil, &core.Error{Kind: core.Internal, Step: "queue", Peer: string(t.Pool), Ran: core.RanNot, Detail: fmt.Sprintf("unknown rank %d", t.Rank)}
	}
	p, w := s.pool(t.Pool), &waiter{ticket: t, decided: make(chan struct{})}
	p.submit(w)
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

// await waits until w is granted or refused. It refuses w when its latest start
// passes or ctx ends.
func (p *pool) await(ctx context.Context, w *waiter) {
	var latestStart <-chan time.Time
	if !w.latestStart.IsZero() {
		timer := time.NewTimer(time.Until(w.latestStart))
		defer timer.Stop()
		latestStart = timer.C
	}
	select {
	case <-w.decided:
	case <-latestStart:
		p.refuseExpired(w)
	case <-ctx.Done():
		p.cancel(w, ctx.Err())
	}
}

// Predict returns the predicted mean service time of a stage for a rank, without
// queueing, or 0 if nothing is known.
func (s *Scheduler) Predict(pool core.PoolID, stage string, r core.Rank) time.Duration {
	p := s.pool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.estimates.Mean(time.Now(), estimateKey(stage, r))
}

// SetCapacity sets the number of slots of the endpoints that this daemon may
// use now.
func (s *Scheduler) SetCapacity(pool core.PoolID, slots int) { s.pool(pool).setCapacity(slots) }

// ReportLoad takes a report of the endpoints' load, which may lag behind: the
// calls that wait at the endpoints, and the endpoints' slots.
func (s *Scheduler) ReportLoad(pool core.PoolID, waiting int, slots int) {
	p := s.pool(pool)
	defer p.lock()()
	p.window.reportLoad(p.now, waiting, slots)
}

// SetDaemons sets the number of live daemons, this one included.
func (s *Scheduler) SetDaemons(n int) {
	s.limiter.setDaemons(n)
	s.mu.Lock()
	s.daemons = n
	s.mu.Unlock()
	s.updatePools(func(p *pool) { p.window.daemons = n })
}

// SetFloors replaces Options.Floors, for example after a configuration change.
func (s *Scheduler) SetFloors(floors [core.NumRanks]float64) {
	s.mu.Lock()
	s.options.Floors = floors
	s.mu.Unlock()
	s.updatePools(func(p *pool) { p.queue.SetFloors(floors) })
}

// updatePools calls change for every pool with the pool's mutex held.
func (s *Scheduler) updatePools(change func(p *pool)) {
	for _, p := range s.allPools() {
		unlock := p.lock()
		change(p)
		unlock()
	}
}

// Admit applies the account's limits to a request; see Limiter.Admit.
func (s *Scheduler) Admit(account core.AccountID, plan config.Plan, now time.Time) (release func(tokens int), err error) {
	return s.limiter.Admit(account, plan, now)
}

// SetTotals replaces the usage totals over all daemons, which come from the last
// reports. An entry with an empty account holds the backlogged weight of all
// accounts by pool. If there is none, totals must have entries for all accounts
// with a backlog, and their weights are added up.
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
	s.updatePools(func(p *pool) {
		p.window.setTotals(now, backlog[p.id], p.inProgress)
	})
}

// PeersUnreachable means that the other daemons cannot be reached, so that no totals
// arrive from now on. The next SetTotals ends this state.
func (s *Scheduler) PeersUnreachable(now time.Time) {
	s.limiter.setPeersUnreachable(now)
	s.updatePools(func(p *pool) {
		if p.window.unreachableSince.IsZero() {
			p.window.unreachableSince = now
		}
	})
}

// Snapshot returns this daemon's usage since the last snapshot. An account's
// backlog weight is divided among the daemons in proportion to its demand, so
// that the sum over all daemons is its weight, no matter on how many daemons it
// has calls queued.
func (s *Scheduler) Snapshot() []limits.AccountUsage {
	now := time.Now()
	usage := s.limiter.snapshot(now)
	for _, p := range s.allPools() {
		p.reportBacklog(usage, func(id core.AccountID) float64 { return s.limiter.demandFraction(id, now) })
	}
	return slices.SortedFunc(maps.Values(usage), func(a, b limits.AccountUsage) int {
		return cmp.Compare(a.Account, b.Account)
	})
}
