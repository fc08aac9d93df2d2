package stagework

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
	"eelgrassgrade/internal/decide/grouping"
)

const (
	// maxCoordinators bounds the daemons that one task is handed to.
	maxCoordinators = 3
	releaseDelay    = 5 * time.Millisecond
	releaseTimeout  = time.Second
)

// Client runs tasks at the coordinators of their pools.
type Client struct {
	fleet  *fleet.Fleet
	self   fleet.Member
	local  *Coordinator
	remote Coordinators
	events Events
	now    func() time.Time

	mu sync.Mutex
	// groups of each pool, replaced whole; of is each endpoint's group.
	groups    map[core.PoolID][]grouping.Group
	of        map[core.PoolID]map[core.InstanceID]int
	pending   map[core.PoolID][]Result
	releasing bool
}

// NewClient returns a client.
func NewClient(f *fleet.Fleet, self fleet.Member, local *Coordinator, remote Coordinators, ev Events, now func() time.Time) *Client {
	c := &Client{fleet: f, self: self, local: local, remote: remote, events: ev, now: now,
		groups: map[core.PoolID][]grouping.Group{}, of: map[core.PoolID]map[core.InstanceID]int{}, pending: map[core.PoolID][]Result{}}
	local.release, local.roomWait = c.Release, c.roomWait
	return c
}

// SetEndpoints divides the endpoints of a pool into groups and hands them to
// the local coordinator. Tasks of groups that are no more are told so, and their
// clients choose again.
func (c *Client) SetEndpoints(p *catalog.Pool, list []endpoints.Entry) {
	members := make([]grouping.Member, len(list))
	byID := make(map[string]endpoints.Entry, len(list))
	for i, e := range list {
		members[i] = grouping.Member{ID: string(e.ID), DataCenter: string(e.DataCenter)}
		byID[string(e.ID)] = e
	}
	groups := grouping.Divide(members)
	of := make(map[core.InstanceID]int, len(list))
	parts := make(map[int][]endpoints.Entry, len(groups))
	for _, g := range groups {
		for _, id := range g.Members {
			of[core.InstanceID(id)] = g.ID
			parts[g.ID] = append(parts[g.ID], byID[id])
		}
	}
	c.mu.Lock()
	old := c.groups[p.ID]
	c.groups[p.ID], c.of[p.ID] = groups, of
	c.mu.Unlock()
	for _, g := range groups {
		c.local.SetEndpoints(p, g.ID, parts[g.ID])
	}
	for _, g := range old {
		if !slices.ContainsFunc(groups, func(x grouping.Group) bool { return x.ID == g.ID }) {
			c.local.dissolve(p.ID, g.ID)
		}
	}
}

// owner returns the daemons that may coordinate a group, first choice first: those
// of its data centre, if it has one, and then the others.
func (c *Client) owner(pool core.PoolID, group int) []fleet.Member {
	return c.ranked(pool, group, c.groupsOf(pool))
}

func (c *Client) ranked(pool core.PoolID, group int, groups []grouping.Group) []fleet.Member {
	near := core.DataCenterID("")
	for _, g := range groups {
		if g.ID == group && len(g.DataCenters) == 1 {
			near = core.DataCenterID(g.DataCenters[0])
		}
	}
	return c.fleet.View().Ranked(string(pool)+"/"+strconv.Itoa(group), near)
}

// Wait returns how long a new piece of the rank waits in a pool that is to be made
// in the data centre near, as the coordinators last told.
func (c *Client) Wait(pool core.PoolID, rank int, near core.DataCenterID) time.Duration {
	return grouping.EstimateWait(string(near), c.groupsOf(pool), func(g grouping.Group) time.Duration { return c.groupWait(pool, g, rank) })
}

// roomWait returns how long the least urgent pieces wait in the group of the
// endpoint that keeps a result: how much its room is wanted.
func (c *Client) roomWait(pool core.PoolID, r Result) time.Duration {
	c.mu.Lock()
	groups, id := c.groups[pool], c.of[pool][r.Endpoint]
	c.mu.Unlock()
	for _, g := range groups {
		if g.ID == id {
			return c.groupWait(pool, g, lastRank)
		}
	}
	return 0
}

func (c *Client) groupsOf(pool core.PoolID) []grouping.Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.groups[pool]
}

// groupWait is Wait for one group.
func (c *Client) groupWait(pool core.PoolID, g grouping.Group, rank int) time.Duration {
	list := c.owner(pool, g.ID)
	if len(list) == 0 {
		return 0
	}
	key := fleet.StageGroup{Pool: pool, Group: g.ID}
	waits := c.fleet.View().Waits[key][list[0].ID]
	if list[0].ID == c.self.ID {
		waits = c.local.waitsOf(key)
	}
	if len(waits) == 0 {
		return 0
	}
	return waits[min(rank, len(waits)-1)]
}

// group chooses the group of a task.
func (c *Client) group(t *Task) int {
	groups := c.groupsOf(t.Pool)
	if len(groups) == 0 {
		return 0
	}
	return grouping.Choose(string(t.Request), string(t.From), groups, func(g grouping.Group) time.Duration { return c.groupWait(t.Pool, g, t.Rank) }).ID
}

// Run runs a task at the coordinator of its group. If that daemon is lost, the
// next one takes over.
func (c *Client) Run(ctx context.Context, t *Task) ([]Result, error) {
	began := c.now()
	// A daemon that just started would take itself for the coordinator of all groups.
	select {
	case <-c.fleet.Joined():
	case <-ctx.Done():
	}
	group := c.group(t)
	var err error
	var tried []string
	for range maxCoordinators {
		if now := c.group(t); err != nil && now != group {
			// The pool was divided anew.
			group, tried = now, nil
		}
		m, ok := c.next(t.Pool, group, tried)
		if !ok {
			break
		}
		tried = append(tried, m.Address)
		var results []Result
		results, err = c.at(ctx, m, group, t)
		if err == nil || ctx.Err() != nil || !lostCoordinator(err) {
			c.events.TaskEnded(t, string(m.ID), c.now().Sub(began), err)
			return results, err
		}
		c.events.PieceRepeated(t, "coordinator "+string(m.ID)+" lost", true)
		t.Repeat = t.Repeat || t.Started()
	}
	if err == nil {
		err = &core.Error{Kind: core.Unavailable, Step: "stage", Ran: core.RanNot, RetryAfter: time.Second, Detail: "no daemon coordinates this stage"}
	}
	c.events.TaskEnded(t, "", c.now().Sub(began), err)
	return nil, err
}

func (c *Client) next(pool core.PoolID, group int, tried []string) (fleet.Member, bool) {
	for _, m := range c.owner(pool, group) {
		used := false
		for _, a := range tried {
			used = used || a == m.Address
		}
		if !used {
			return m, true
		}
	}
	return fleet.Member{}, false
}

// at runs a task at one daemon and gives up when that daemon is lost.
func (c *Client) at(ctx context.Context, m fleet.Member, group int, t *Task) ([]Result, error) {
	if m.ID == c.self.ID {
		return c.local.Submit(ctx, group, t)
	}
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	died, unwatch := c.fleet.Watch(m.Address)
	defer unwatch()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-died:
			cancel()
		case <-stop:
		}
	}()
	results, err := c.remote.Submit(call, m.Address, group, t)
	if err != nil && ctx.Err() != nil {
		return nil, &core.Error{Kind: core.DeadlineExceeded, Step: "stage", Peer: string(m.ID), Ran: core.RanNot, Detail: "the caller left or the time is over", Err: ctx.Err()}
	}
	return results, err
}

// LostCoordinator is the detail of errors that say a daemon did not answer.
const LostCoordinator = "the coordinating daemon did not answer"

func lostCoordinator(err error) bool {
	return core.AsError(err, "stage").Detail == LostCoordinator
}

// Release frees results in the background.
func (c *Client) Release(pool core.PoolID, results []Result) {
	if len(results) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[pool] = append(c.pending[pool], results...)
	if !c.releasing {
		c.releasing = true
		time.AfterFunc(releaseDelay, c.flush)
	}
}

func (c *Client) flush() {
	c.mu.Lock()
	pending := c.pending
	c.pending, c.releasing = map[core.PoolID][]Result{}, false
	type batch struct {
		pool core.PoolID
		to   fleet.Member
	}
	batches := map[batch][]Result{}
	for pool, results := range pending {
		for _, r := range results {
			list := c.ranked(pool, c.of[pool][r.Endpoint], c.groups[pool])
			to := c.self
			if len(list) > 0 {
				to = list[0]
			}
			batches[batch{pool, to}] = append(batches[batch{pool, to}], r)
		}
	}
	c.mu.Unlock()
	for b, results := range batches {
		if b.to.ID == c.self.ID {
			c.local.Release(b.pool, results)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		if err := c.remote.Release(ctx, b.to.Address, b.pool, results); err != nil {
			// Any daemon can free a result at its endpoint.
			c.local.Release(b.pool, results)
		}
		cancel()
	}
}
