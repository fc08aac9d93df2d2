package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"eelgrassgrade/internal/adapter/fleetrpc"
	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/app/mirror"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/repeats"
)

// repeatBudgets holds this daemon's repeat budget for each pool. It implements
// forward.Budget and stagework.Budget.
type repeatBudgets struct {
	limits repeats.Limits
	// sharing returns the number of daemons that share the budget of a pool.
	sharing func(core.PoolID) int
	// since is the start of this daemon; zero if a budget's part begins to grow when it is
	// used for the first time.
	since time.Time

	mu     sync.Mutex
	byPool map[core.PoolID]*repeats.Budget
}

// newRequestBudgets returns the budgets of requests, which each daemon sends itself since
// its start.
func newRequestBudgets(l repeats.Limits, daemons func() int, since time.Time) *repeatBudgets {
	return &repeatBudgets{limits: l, sharing: func(core.PoolID) int { return daemons() }, since: since, byPool: map[core.PoolID]*repeats.Budget{}}
}

// newStageBudgets returns the budgets of the pieces of stages, which the coordinators of
// a pool's groups send. groups returns the number of groups of a pool. A daemon that
// takes over a group does not know what the coordinator before it has used.
func newStageBudgets(l repeats.Limits, groups func(core.PoolID) int) *repeatBudgets {
	sharing := func(id core.PoolID) int { return coordinatorsPerGroup * max(groups(id), 1) }
	return &repeatBudgets{limits: l, sharing: sharing, byPool: map[core.PoolID]*repeats.Budget{}}
}

// poolBudget returns the budget of a pool. The caller holds mu.
func (b *repeatBudgets) poolBudget(id core.PoolID) *repeats.Budget {
	p := b.byPool[id]
	if p == nil {
		since := b.since
		if since.IsZero() {
			since = time.Now()
		}
		p = repeats.New(b.limits, since)
		b.byPool[id] = p
	}
	return p
}

// RecordRequests implements forward.Budget and stagework.Budget.
func (b *repeatBudgets) RecordRequests(id core.PoolID, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.poolBudget(id).RecordRequests(time.Now(), n)
}

// Take implements forward.Budget and stagework.Budget.
func (b *repeatBudgets) Take(id core.PoolID, n int) repeats.Decision {
	sharing := b.sharing(id)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.poolBudget(id).Take(time.Now(), n, sharing)
}

// TakeOptional implements stagework.Budget.
func (b *repeatBudgets) TakeOptional(id core.PoolID, n int) repeats.Decision {
	sharing := b.sharing(id)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.poolBudget(id).TakeOptional(time.Now(), n, sharing)
}

// fleetSize keeps the number of daemons that share the fixed allowance of the repeat
// budgets.
type fleetSize struct {
	mu   sync.Mutex
	size *repeats.FleetSize
}

// observe records the daemons that run, and returns the number that share the allowance
// and the one that this daemon reports to others.
func (s *fleetSize) observe(running, reported int) (sharing, observed int) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.size.Observe(now, running, reported)
	return s.size.Daemons(now), s.size.Observed(now)
}

// coordinatorsPerGroup is the number of daemons that may coordinate one group at the same
// time: one on each side of a partition, or the previous and the new coordinator.
const coordinatorsPerGroup = 2

// peerTables reads other daemons' copies of tables.
type peerTables struct {
	fleet *fleet.Fleet
	rpc   *fleetrpc.Client
}

var _ mirror.Peers = (*peerTables)(nil)

// Newest implements mirror.Peers.
func (p *peerTables) Newest(table string) core.CopyPosition {
	return p.fleet.View().Newest[table].Position
}

// Pull implements mirror.Peers.
func (p *peerTables) Pull(ctx context.Context, table string, after core.CopyPosition) (mirror.Batch, error) {
	return p.rpc.Pull(ctx, p.fleet.View().Newest[table].Address, table, after)
}

// storeFallback decides whether a daemon polls the store like a fast poller, although it
// may not be one, because it knows of no recent answer of the store to any daemon. The
// fallback lasts for minFallbackPeriod, since the store's answers to this daemon would
// otherwise end it at once.
type storeFallback struct {
	mu    sync.Mutex
	until time.Time
}

// active says whether the daemon polls the store at the time now. answered is the time of
// the latest answer of the store that the daemon knows of.
func (s *storeFallback) active(now, answered time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(answered) > fallbackAfter {
		s.until = now.Add(minFallbackPeriod)
	}
	return now.Before(s.until)
}

const (
	// cleanupInterval is the time between two searches for stale entries.
	cleanupInterval = time.Minute
	// staleAfter is how long a listed daemon must be missing before its entry is
	// removed. It is much longer than a restart or a partition between regions takes.
	staleAfter = 15 * time.Minute
)

// removeStaleDaemons removes the store entries of daemons that ended without removing
// their own. Only the first live daemon does so, to limit the load on the store.
func (d *Daemon) removeStaleDaemons(ctx context.Context) {
	t := time.NewTicker(cleanupInterval)
	defer t.Stop()
	missingSince := map[string]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			alive := d.fleet.View().Alive
			if len(alive) == 0 || string(alive[0].ID) != d.settings.Instance {
				clear(missingSince)
				continue
			}
			d.removeDaemonEntries(ctx, staleDaemons(now, missingSince, d.daemonTable.Snapshot(), alive))
		}
	}
}

// removeDaemonEntries removes entries of daemons from the store. Each attempt ends with the
// timeout of a write, since a store that is out of reach may never answer.
func (d *Daemon) removeDaemonEntries(ctx context.Context, ids []string) {
	for _, id := range ids {
		call, cancel := context.WithTimeout(ctx, registrationTimeout)
		err := d.store.Remove(call, daemonTableName, id)
		cancel()
		if err != nil {
			d.log.Warn().Str("peer", id).Err(err).Msg("daemon_entry_kept")
			continue
		}
		d.log.Info().Str("peer", id).Msg("daemon_entry_removed")
	}
}

// staleDaemons returns the listed daemons that have been missing for staleAfter.
// missingSince keeps the time at which each missing daemon was first noticed.
func staleDaemons(now time.Time, missingSince map[string]time.Time, listed *mirror.Snapshot, alive []fleet.Member) []string {
	for _, m := range alive {
		delete(missingSince, string(m.ID))
	}
	var stale []string
	for id := range listed.Rows {
		if slices.ContainsFunc(alive, func(m fleet.Member) bool { return string(m.ID) == id }) {
			continue
		}
		since, ok := missingSince[id]
		switch {
		case !ok:
			missingSince[id] = now
		case now.Sub(since) >= staleAfter:
			stale = append(stale, id)
		}
	}
	for id := range missingSince {
		if _, ok := listed.Rows[id]; !ok {
			delete(missingSince, id)
		}
	}
	return stale
}
