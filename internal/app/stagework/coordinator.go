package stagework

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
)

// maxRank is the largest, that is least urgent, rank that is counted separately. Ranks
// above it are counted as maxRank.
const maxRank = 9

const (
	// maxWaitingPieces bounds the queue of one group.
	maxWaitingPieces = 4096
	// maxFailures is the number of failures after which a piece is not retried.
	maxFailures = 4
	// usableCapacityShare is the share of an endpoint's result capacity that is filled. The
	// rest is a reserve, since the sizes of results are estimates.
	usableCapacityShare = 0.92
	// finishRateWindow is the window over which the rate of finished pieces is measured.
	finishRateWindow = 1500 * time.Millisecond
	// The pieces of a call are queued for other endpoints as well once the call takes
	// longer than hedgeFactor times the expected time plus hedgeSlack.
	hedgeFactor = 1.7
	hedgeSlack  = 100 * time.Millisecond
	// callTimeoutFactor times the expected time is the timeout of a call. It is generous,
	// since the result of a slow endpoint may still be useful.
	callTimeoutFactor = 5
	// overdueRecheck is the time after which a call that has timed out and goes on is
	// looked at again.
	overdueRecheck = 500 * time.Millisecond
	// sendAheadTime is how long before the expected end of a call the next one is sent to
	// the same endpoint, where it waits. This hides the network latency between data
	// centres.
	sendAheadTime = 12 * time.Millisecond
	// An idle endpoint has fetched the inputs of a call fetchBase plus fetchRoundTrips
	// round trips after the call was sent. fetchBase allows for some MB over the links
	// of the endpoints; the round trips are those of connecting to the endpoint and from
	// it to where the inputs are stored, with a reserve. defaultFetchTime is used until
	// a round trip has been measured.
	fetchBase        = 40 * time.Millisecond
	fetchRoundTrips  = 4
	defaultFetchTime = 120 * time.Millisecond
	// A queue that holds at least pruneMinCalls full calls per endpoint is checked every
	// pruneInterval for pieces that cannot start before their deadline.
	pruneMinCalls = 1
	pruneInterval = 150 * time.Millisecond
	// A piece is given up if minWaitShare of its estimated wait ends after its deadline.
	// The share is below 1 because rates vary within the window they are averaged over.
	minWaitShare = 0.6
	// Result capacity in a group is scarce if pieces wait there longer than
	// scarceCapacityWait. Then inputs stored in the group are freed as soon as they have
	// been fetched. Otherwise they are kept, since a failed call cannot be retried without
	// its inputs.
	scarceCapacityWait = 100 * time.Millisecond
	// callStartPollInterval is the interval at which a call that was sent ahead is checked
	// for having started.
	callStartPollInterval = 10 * time.Millisecond
	// Released results are collected before they are freed with one call to their
	// endpoint: for idleFreeDelay while at least two thirds of the endpoint's result
	// capacity are free, enough for a full call, otherwise for busyFreeDelay.
	busyFreeDelay = 10 * time.Millisecond
	idleFreeDelay = 120 * time.Millisecond
	freeTimeout   = time.Second
	// accountUsageWindow is the time over which the usage of accounts is compared.
	accountUsageWindow = 3 * time.Second
	// An account that used more than overShareFactor times an equal share is over its
	// share: its pieces come after those of other accounts of the same rank.
	overShareFactor = 1.5
)

// Coordinator queues pieces for the groups of endpoints that this daemon coordinates
// and batches them into calls to the endpoints.
type Coordinator struct {
	endpoints   Endpoints
	pausedUntil func(endpoints.Entry) time.Time
	limits      Limits
	events      Events
	budget      Budget
	now         func() time.Time
	ctx         context.Context
	// releaseInputs frees results of other pools. capacityWait returns how long pieces wait
	// for result capacity where a result is stored.
	releaseInputs func(core.PoolID, []Result)
	capacityWait  func(core.PoolID, Result) time.Duration
	// handingBack says that tasks of other daemons are refused, peerTasks counts those in
	// progress.
	handingBack atomic.Bool
	peerTasks   atomic.Int64

	mu     sync.Mutex
	groups map[fleet.StageGroup]*endpointGroup
}

// NewCoordinator returns a coordinator whose calls are cancelled with ctx. pausedUntil
// returns the end of the pause that an endpoint asked this daemon for, or the zero time.
func NewCoordinator(ctx context.Context, e Endpoints, pausedUntil func(endpoints.Entry) time.Time, l Limits, ev Events, b Budget, now func() time.Time) *Coordinator {
	return &Coordinator{endpoints: e, pausedUntil: pausedUntil, limits: l, events: ev, budget: b, now: now, ctx: ctx, releaseInputs: func(core.PoolID, []Result) {}, capacityWait: func(core.PoolID, Result) time.Duration { return 0 }, groups: map[fleet.StageGroup]*endpointGroup{}}
}

// SetEndpoints replaces the endpoints of a group.
func (c *Coordinator) SetEndpoints(pool *catalog.Pool, group int, entries []endpoints.Entry) {
	c.group(pool.ID, group).setEndpoints(pool.Batching, entries)
}

// group returns a group and creates it if it does not exist.
func (c *Coordinator) group(id core.PoolID, group int) *endpointGroup {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := fleet.StageGroup{Pool: id, Group: group}
	g := c.groups[k]
	if g == nil {
		g = &endpointGroup{coordinator: c, poolID: id, endpoints: map[core.InstanceID]*endpointState{}, accountUsage: map[core.AccountID]float64{}}
		c.groups[k] = g
	}
	return g
}

// Waits returns the estimated wait of a new piece in each group, by rank. Groups in
// which no waiting piece can still meet its latest start are left out.
func (c *Coordinator) Waits() map[fleet.StageGroup][]time.Duration {
	c.mu.Lock()
	groups := maps.Clone(c.groups)
	c.mu.Unlock()
	waits := map[fleet.StageGroup][]time.Duration{}
	for k, g := range groups {
		if w := g.waits(); w != nil {
			waits[k] = w
		}
	}
	return waits
}

// waitsOf returns the estimated wait of a new piece in one group, by rank.
func (c *Coordinator) waitsOf(k fleet.StageGroup) []time.Duration {
	c.mu.Lock()
	g := c.groups[k]
	c.mu.Unlock()
	if g == nil {
		return nil
	}
	return g.waits()
}

// removeGroup removes a group. Its waiting tasks end as if this daemon were lost, so
// that their clients choose another group; calls in progress are not cancelled.
func (c *Coordinator) removeGroup(id core.PoolID, group int) {
	k := fleet.StageGroup{Pool: id, Group: group}
	c.mu.Lock()
	g := c.groups[k]
	delete(c.groups, k)
	c.mu.Unlock()
	if g != nil {
		g.remove()
	}
}

// Submit queues the pieces of a task, waits for them and returns their results.
func (c *Coordinator) Submit(ctx context.Context, group int, t *Task) ([]Result, error) {
	c.mu.Lock()
	known := c.groups[fleet.StageGroup{Pool: t.Pool, Group: group}] != nil
	c.mu.Unlock()
	if group != 0 && !known {
		// This daemon and the client have different lists of endpoints for the moment.
		return nil, groupRemovedError()
	}
	return c.group(t.Pool, group).submit(ctx, t)
}

// Release frees results of a pool that are no longer used.
func (c *Coordinator) Release(id core.PoolID, results []Result) {
	c.mu.Lock()
	var groups []*endpointGroup
	for k, g := range c.groups {
		if k.Pool == id {
			groups = append(groups, g)
		}
	}
	c.mu.Unlock()
	for _, g := range groups {
		g.releaseResults(results)
	}
}
