package stagework

import (
	"context"
	"maps"
	"sync"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
)

// lastRank is the least urgent rank whose waits are told.
const lastRank = 9

const (
	// maxWaiting bounds the pieces that wait in one pool.
	maxWaiting = 4096
	// maxFailures bounds the failed tries of one piece.
	maxFailures = 4
	// roomShare is the part of an endpoint's room for results that is used: sizes
	// are known approximately.
	roomShare = 0.92
	// rateWindow is the time over which the rate of finished pieces is measured.
	rateWindow = 1500 * time.Millisecond
	// hedgeFactor times the expected time plus hedgeSlack is when the pieces of a
	// call are offered to other endpoints as well.
	hedgeFactor = 1.7
	hedgeSlack  = 100 * time.Millisecond
	// callTimeoutFactor bounds a call: a slow endpoint may still be of use.
	callTimeoutFactor = 5
	// leadTime is how long before the expected end of a call the next one is sent
	// to an endpoint that can keep one waiting. It hides the way between data
	// centres.
	leadTime = 12 * time.Millisecond
	// A call to an idle endpoint has fetched its inputs fetchBase, some MB over the
	// endpoints' links, and fetchTrips round trips after its sending: connections there
	// and from there, and a reserve. Before a round trip was measured it is
	// fetchUnmeasured.
	fetchBase       = 40 * time.Millisecond
	fetchTrips      = 4
	fetchUnmeasured = 120 * time.Millisecond
	// A queue of pruneCalls full calls for each endpoint is checked each
	// pruneInterval for pieces that cannot be in time.
	pruneCalls    = 1
	pruneInterval = 150 * time.Millisecond
	// hopeless is the part of the estimated wait beyond which a piece is given up:
	// rates vary within the time that they are averaged over.
	hopeless = 0.6
	// scarceWait is the wait in a group from which on its results are freed as soon
	// as they are fetched. Freed inputs cannot be used again if a call fails, so
	// they are kept while room is not scarce.
	scarceWait = 100 * time.Millisecond
	// turnPoll is how often a call that was sent ahead is checked for its turn.
	turnPoll = 10 * time.Millisecond
	// freeDelay collects results that are released, idleFreeDelay does so while the
	// endpoint has room for a full call.
	freeDelay     = 10 * time.Millisecond
	idleFreeDelay = 120 * time.Millisecond
	freeTimeout   = time.Second
	// shareWindow is the time over which the use of accounts is compared.
	shareWindow = 3 * time.Second
	// overShare is the factor over the equal share above which an account's
	// pieces come after those of others of the same rank.
	overShare = 1.5
)

// Coordinator forms the calls to the endpoints that this daemon coordinates.
type Coordinator struct {
	endpoints Endpoints
	rest      func(endpoints.Entry) time.Time
	events    Events
	budget    Budget
	now       func() time.Time
	ctx       context.Context
	// release frees results of other pools, roomWait tells how long pieces wait for
	// room where a result is kept.
	release  func(core.PoolID, []Result)
	roomWait func(core.PoolID, Result) time.Duration

	mu    sync.Mutex
	pools map[fleet.StageGroup]*pool
}

// NewCoordinator returns a coordinator whose calls end with ctx. rest returns until
// when an endpoint wants nothing from this daemon.
func NewCoordinator(ctx context.Context, e Endpoints, rest func(endpoints.Entry) time.Time, ev Events, b Budget, now func() time.Time) *Coordinator {
	return &Coordinator{endpoints: e, rest: rest, events: ev, budget: b, now: now, ctx: ctx, release: func(core.PoolID, []Result) {}, roomWait: func(core.PoolID, Result) time.Duration { return 0 }, pools: map[fleet.StageGroup]*pool{}}
}

// SetEndpoints replaces the endpoints of a group.
func (c *Coordinator) SetEndpoints(p *catalog.Pool, group int, list []endpoints.Entry) {
	c.pool(p.ID, group).setEndpoints(p.Batching, list)
}

func (c *Coordinator) pool(id core.PoolID, group int) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := fleet.StageGroup{Pool: id, Group: group}
	p := c.pools[k]
	if p == nil {
		p = &pool{c: c, id: id, replicas: map[core.InstanceID]*replica{}, used: map[core.AccountID]float64{}}
		c.pools[k] = p
	}
	return p
}

// Waits returns how long a new piece of each rank would wait, by group.
func (c *Coordinator) Waits() map[fleet.StageGroup][]time.Duration {
	c.mu.Lock()
	list := maps.Clone(c.pools)
	c.mu.Unlock()
	out := map[fleet.StageGroup][]time.Duration{}
	for k, p := range list {
		if w := p.waits(); w != nil {
			out[k] = w
		}
	}
	return out
}

// waitsOf is Waits for one group.
func (c *Coordinator) waitsOf(k fleet.StageGroup) []time.Duration {
	c.mu.Lock()
	p := c.pools[k]
	c.mu.Unlock()
	if p == nil {
		return nil
	}
	return p.waits()
}

// dissolve ends a group that is no more. Its tasks end as if this daemon were
// lost; calls in progress run to their end.
func (c *Coordinator) dissolve(id core.PoolID, group int) {
	k := fleet.StageGroup{Pool: id, Group: group}
	c.mu.Lock()
	p := c.pools[k]
	delete(c.pools, k)
	c.mu.Unlock()
	if p != nil {
		p.dissolve()
	}
}

// Submit queues the pieces of a task and returns their results.
func (c *Coordinator) Submit(ctx context.Context, group int, t *Task) ([]Result, error) {
	c.mu.Lock()
	known := c.pools[fleet.StageGroup{Pool: t.Pool, Group: group}] != nil
	c.mu.Unlock()
	if group != 0 && !known {
		// The list of this daemon differs from the client's for a moment.
		return nil, dissolved()
	}
	return c.pool(t.Pool, group).submit(ctx, t)
}

// Release frees results that are no longer used.
func (c *Coordinator) Release(id core.PoolID, results []Result) {
	c.mu.Lock()
	var pools []*pool
	for k, p := range c.pools {
		if k.Pool == id {
			pools = append(pools, p)
		}
	}
	c.mu.Unlock()
	for _, p := range pools {
		p.release(results)
	}
}
