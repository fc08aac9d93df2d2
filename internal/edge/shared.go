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

// budgets holds the repeat budget of each pool.
type budgets struct {
	limits  repeats.Limits
	daemons func() int

	mu    sync.Mutex
	pools map[core.PoolID]*repeats.Budget
}

func newBudgets(l repeats.Limits, daemons func() int) *budgets {
	return &budgets{limits: l, daemons: daemons, pools: map[core.PoolID]*repeats.Budget{}}
}

func (b *budgets) pool(id core.PoolID) *repeats.Budget {
	p := b.pools[id]
	if p == nil {
		p = repeats.New(b.limits)
		b.pools[id] = p
	}
	return p
}

// Request implements forward.Budget and stagework.Budget.
func (b *budgets) Request(id core.PoolID, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pool(id).Request(time.Now(), n)
}

// Take implements forward.Budget and stagework.Budget.
func (b *budgets) Take(id core.PoolID, n int) bool {
	daemons := b.daemons()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pool(id).Take(time.Now(), n, daemons)
}

// TakeOptional implements stagework.Budget.
func (b *budgets) TakeOptional(id core.PoolID, n int) bool {
	daemons := b.daemons()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pool(id).TakeOptional(time.Now(), n, daemons)
}

// coordinators is the number of daemons that may take one pool for theirs at a
// time: the old and the new one around a change of membership.
const coordinators = 2

// peerTables reads the copies of tables that other daemons have.
type peerTables struct {
	fleet *fleet.Fleet
	rpc   *fleetrpc.Client
}

var _ mirror.Peers = (*peerTables)(nil)

// Newest implements mirror.Peers.
func (p *peerTables) Newest(table string) int64 { return p.fleet.View().Newest[table].Version }

// Pull implements mirror.Peers.
func (p *peerTables) Pull(ctx context.Context, table string, after int64) (mirror.Batch, error) {
	return p.rpc.Pull(ctx, p.fleet.View().Newest[table].Address, table, after)
}

// solitude decides when a daemon reads the store because it hears of no answer of
// the store to others. It keeps on for aloneFor, since its own answers would
// otherwise end it at once.
type solitude struct {
	mu    sync.Mutex
	until time.Time
}

// at returns whether the daemon reads the store at the time now. answered is the
// last answer that it knows of.
func (s *solitude) at(now, answered time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(answered) > aloneAfter {
		s.until = now.Add(aloneFor)
	}
	return now.Before(s.until)
}

const (
	// cleanInterval is how often daemons that are gone are looked for, goneAfter
	// how long a listed daemon is unheard before its entry is removed: much longer
	// than a restart or a partition between regions takes.
	cleanInterval = time.Minute
	goneAfter     = 15 * time.Minute
)

// cleanDaemons removes the entries of daemons that were replaced and did not
// remove them. The first live daemon does so, to spare the store.
func (d *Daemon) cleanDaemons(ctx context.Context) {
	t := time.NewTicker(cleanInterval)
	defer t.Stop()
	unheard := map[string]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			alive := d.fleet.View().Alive
			if len(alive) == 0 || string(alive[0].ID) != d.s.Instance {
				clear(unheard)
				continue
			}
			for _, id := range gone(now, unheard, d.daemons.Snapshot(), alive) {
				if err := d.store.Remove(ctx, daemonTable, id); err != nil {
					d.log.Warn().Str("peer", id).Err(err).Msg("daemon_entry_kept")
					continue
				}
				d.log.Info().Str("peer", id).Msg("daemon_entry_removed")
			}
		}
	}
}

// gone returns the listed daemons that have not been heard for goneAfter.
// unheard remembers since when each has not.
func gone(now time.Time, unheard map[string]time.Time, listed *mirror.Snapshot, alive []fleet.Member) []string {
	for _, m := range alive {
		delete(unheard, string(m.ID))
	}
	var out []string
	for id := range listed.Rows {
		if slices.ContainsFunc(alive, func(m fleet.Member) bool { return string(m.ID) == id }) {
			continue
		}
		since, ok := unheard[id]
		switch {
		case !ok:
			unheard[id] = now
		case now.Sub(since) >= goneAfter:
			out = append(out, id)
		}
	}
	for id := range unheard {
		if _, ok := listed.Rows[id]; !ok {
			delete(unheard, id)
		}
	}
	return out
}
