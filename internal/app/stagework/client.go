package stagework

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
)

const (
	// groupSize is the number of endpoints that one daemon coordinates. Calls of
	// 8 endpoints cost a small instance a few hundredths of its core.
	groupSize = 8
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

	mu        sync.Mutex
	sizes     map[core.PoolID]int
	groups    map[core.InstanceID]int
	pools     map[core.InstanceID]core.PoolID
	pending   map[core.PoolID][]Result
	releasing bool
}

// NewClient returns a client.
func NewClient(f *fleet.Fleet, self fleet.Member, local *Coordinator, remote Coordinators, ev Events, now func() time.Time) *Client {
	c := &Client{fleet: f, self: self, local: local, remote: remote, events: ev, now: now,
		sizes: map[core.PoolID]int{}, groups: map[core.InstanceID]int{}, pools: map[core.InstanceID]core.PoolID{}, pending: map[core.PoolID][]Result{}}
	local.release, local.wait = c.Release, c.Wait
	return c
}

// SetEndpoints divides the endpoints of a pool into groups and hands them to
// the local coordinator.
func (c *Client) SetEndpoints(p *catalog.Pool, list []endpoints.Entry) {
	n := max(1, (len(list)+groupSize-1)/groupSize)
	groups := make([][]endpoints.Entry, n)
	c.mu.Lock()
	old := c.sizes[p.ID]
	c.sizes[p.ID] = n
	known := make(map[core.InstanceID]bool, len(list))
	for _, e := range list {
		known[e.ID] = true
		h := fnv.New32a()
		h.Write([]byte(e.ID))
		g := int(h.Sum32() % uint32(n))
		groups[g] = append(groups[g], e)
		c.groups[e.ID], c.pools[e.ID] = g, p.ID
	}
	for id := range c.groups {
		if c.pools[id] == p.ID && !known[id] {
			delete(c.groups, id)
			delete(c.pools, id)
		}
	}
	c.mu.Unlock()
	for g := range max(n, old) {
		var part []endpoints.Entry
		if g < n {
			part = groups[g]
		}
		c.local.SetEndpoints(p, g, part)
	}
}

// owner returns the daemons that may coordinate a group, first choice first.
func (c *Client) owner(pool core.PoolID, group int) []fleet.Member {
	return c.fleet.View().Ranked(fmt.Sprintf("%s/%d", pool, group))
}

// Wait returns how long a new piece of the rank waits in a pool, as the
// coordinator last told.
func (c *Client) Wait(pool core.PoolID, rank int) time.Duration {
	c.mu.Lock()
	n := max(c.sizes[pool], 1)
	c.mu.Unlock()
	var least time.Duration = -1
	for g := range n {
		list := c.owner(pool, g)
		if len(list) == 0 {
			continue
		}
		var waits []time.Duration
		if list[0].ID == c.self.ID {
			waits = c.local.Waits()[pool]
		} else {
			waits = c.fleet.View().Waits[pool][list[0].ID]
		}
		w := time.Duration(0)
		if len(waits) > 0 {
			w = waits[min(rank, len(waits)-1)]
		}
		if least < 0 || w < least {
			least = w
		}
	}
	return max(least, 0)
}

// group chooses the group of a task.
func (c *Client) group(t *Task) int {
	c.mu.Lock()
	n := max(c.sizes[t.Pool], 1)
	c.mu.Unlock()
	h := fnv.New32a()
	h.Write([]byte(t.Request))
	return int(h.Sum32() % uint32(n))
}

// Run runs a task at the coordinator of its group. If that daemon is lost, the
// next one takes over.
func (c *Client) Run(ctx context.Context, t *Task) ([]Result, error) {
	began := c.now()
	group := c.group(t)
	var err error
	var tried []string
	for range maxCoordinators {
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
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-c.fleet.Died(m.Address):
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
			list := c.owner(pool, c.groups[r.Endpoint])
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
