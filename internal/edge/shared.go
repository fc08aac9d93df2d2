package edge

import (
	"context"
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
