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
	// releaseDelay is how long released results are collected before they are sent to
	// their coordinators.
	releaseDelay   = 5 * time.Millisecond
	releaseTimeout = time.Second
)

// noGroup is the ID of no group.
const noGroup = -1

// Client runs each task at the daemon that coordinates the task's group of endpoints.
type Client struct {
	fleet  *fleet.Fleet
	self   fleet.Member
	local  *Coordinator
	remote Coordinators
	events Events
	now    func() time.Time
	// regionOf returns the region of a data centre, or "" if it is not known.
	regionOf func(core.DataCenterID) core.RegionID

	mu sync.Mutex
	// groups holds the groups of each pool and groupOf the group ID of each endpoint.
	// The inner slices and maps are replaced, never modified.
	groups          map[core.PoolID][]grouping.Group
	groupOf         map[core.PoolID]map[core.InstanceID]int
	pendingReleases map[core.PoolID][]Result
	flushScheduled  bool
	// flushing counts the calls of flushReleases in progress.
	flushing int
}

// NewClient returns a client. It sets hooks of local, through which local releases
// inputs and looks up waiting times, and so must be called before local is used.
func NewClient(f *fleet.Fleet, self fleet.Member, local *Coordinator, remote Coordinators, ev Events, now func() time.Time, regionOf func(core.DataCenterID) core.RegionID) *Client {
	c := &Client{fleet: f, self: self, local: local, remote: remote, events: ev, now: now, regionOf: regionOf,
		groups: map[core.PoolID][]grouping.Group{}, groupOf: map[core.PoolID]map[core.InstanceID]int{}, pendingReleases: map[core.PoolID][]Result{}}
	local.releaseInputs, local.capacityWait = c.Release, c.capacityWait
	return c
}

// SetEndpoints divides the endpoints of a pool into groups and passes them to the
// local coordinator. Waiting tasks of groups that no longer exist fail with
// LostCoordinator, upon which their clients choose a group again.
func (c *Client) SetEndpoints(pool *catalog.Pool, entries []endpoints.Entry) {
	members := make([]grouping.Member, len(entries))
	byID := make(map[string]endpoints.Entry, len(entries))
	for i, e := range entries {
		members[i] = grouping.Member{ID: string(e.ID), DataCenter: string(e.DataCenter), Region: string(c.regionOf(e.DataCenter))}
		byID[string(e.ID)] = e
	}
	groups := grouping.Divide(members)
	groupOf := make(map[core.InstanceID]int, len(entries))
	entriesByGroup := make(map[int][]endpoints.Entry, len(groups))
	for _, g := range groups {
		for _, id := range g.Members {
			groupOf[core.InstanceID(id)] = g.ID
			entriesByGroup[g.ID] = append(entriesByGroup[g.ID], byID[id])
		}
	}
	c.mu.Lock()
	old := c.groups[pool.ID]
	c.groups[pool.ID], c.groupOf[pool.ID] = groups, groupOf
	c.mu.Unlock()
	for _, g := range groups {
		c.local.SetEndpoints(pool, g.ID, entriesByGroup[g.ID])
	}
	for _, g := range old {
		if !slices.ContainsFunc(groups, func(x grouping.Group) bool { return x.ID == g.ID }) {
			c.local.removeGroup(pool.ID, g.ID)
		}
	}
}

// candidates returns the daemons that may coordinate a group, in order of preference:
// if all endpoints of the group are in one data centre, the daemons there come first.
// Daemons of other regions coordinate a group only if none of its region is alive. A daemon
// that is leaving coordinates only for itself, if it sees no other.
func (c *Client) candidates(pool core.PoolID, group int) []fleet.Member {
	return c.rankedCandidates(pool, group, c.groupsOf(pool))
}

// rankedCandidates is candidates with the pool's groups given.
func (c *Client) rankedCandidates(pool core.PoolID, group int, groups []grouping.Group) []fleet.Member {
	dataCenter, region := core.DataCenterID(""), ""
	for _, g := range groups {
		if g.ID != group {
			continue
		}
		region = g.Region
		if len(g.DataCenters) == 1 {
			dataCenter = core.DataCenterID(g.DataCenters[0])
		}
	}
	ranked := c.fleet.View().Ranked(string(pool)+"/"+strconv.Itoa(group), dataCenter)
	if len(ranked) == 0 {
		return []fleet.Member{c.self}
	}
	if sameRegion := c.membersIn(ranked, region); len(sameRegion) > 0 {
		return sameRegion
	}
	return ranked
}

// membersIn returns the daemons in a region. It returns list itself if all are there.
func (c *Client) membersIn(list []fleet.Member, region string) []fleet.Member {
	elsewhere := func(m fleet.Member) bool { return string(c.regionOf(m.DataCenter)) != region }
	if !slices.ContainsFunc(list, elsewhere) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), elsewhere)
}

// EstimateWait estimates how long a new piece of the rank waits in the pool if it should
// run in the preferred data centre, from the waiting times that the coordinators last reported.
func (c *Client) EstimateWait(pool core.PoolID, rank int, preferredDataCenter core.DataCenterID) time.Duration {
	return grouping.EstimateWait(string(preferredDataCenter), c.groupsOf(pool), func(g grouping.Group) time.Duration { return c.groupWait(pool, g, rank) })
}

// capacityWait returns how long the least urgent pieces wait in the group of the endpoint
// that stores a result. A long wait means that result capacity there is scarce.
func (c *Client) capacityWait(pool core.PoolID, r Result) time.Duration {
	c.mu.Lock()
	groups, id := c.groups[pool], c.groupOf[pool][r.Endpoint]
	c.mu.Unlock()
	for _, g := range groups {
		if g.ID == id {
			return c.groupWait(pool, g, maxRank)
		}
	}
	return 0
}

func (c *Client) groupsOf(pool core.PoolID) []grouping.Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.groups[pool]
}

// GroupCount returns the number of groups into which the endpoints of a pool are divided.
func (c *Client) GroupCount(pool core.PoolID) int { return len(c.groupsOf(pool)) }

// groupWait estimates how long a new piece of the rank waits in one group.
func (c *Client) groupWait(pool core.PoolID, g grouping.Group, rank int) time.Duration {
	candidates := c.candidates(pool, g.ID)
	if len(candidates) == 0 {
		return 0
	}
	key := fleet.StageGroup{Pool: pool, Group: g.ID}
	waits := c.fleet.View().Waits[key][candidates[0].ID]
	if candidates[0].ID == c.self.ID {
		waits = c.local.waitsOf(key)
	}
	if len(waits) == 0 {
		return 0
	}
	return waits[min(rank, len(waits)-1)]
}

// chooseGroup returns the ID of the group in which a task should run. It is 0 if the pool
// has no group, and noGroup if it has none in the regions that the task is restricted to.
func (c *Client) chooseGroup(t *Task) int {
	groups := c.groupsOf(t.Pool)
	if len(groups) == 0 {
		return 0
	}
	if t.Homes != nil {
		groups = slices.DeleteFunc(slices.Clone(groups), func(g grouping.Group) bool { return !t.Homes.Allow(core.RegionID(g.Region)) })
		if len(groups) == 0 {
			return noGroup
		}
	}
	return grouping.Choose(string(t.Request), string(t.InputsDataCenter), groups, func(g grouping.Group) time.Duration { return c.groupWait(t.Pool, g, t.Rank) }).ID
}

// nextCandidate returns the first candidate whose address is not in tried. If there is none
// and this daemon is leaving, it returns this daemon.
func (c *Client) nextCandidate(pool core.PoolID, group int, tried []string) (fleet.Member, bool) {
	for _, m := range c.candidates(pool, group) {
		used := false
		for _, a := range tried {
			used = used || a == m.Address
		}
		if !used {
			return m, true
		}
	}
	leaving := !slices.ContainsFunc(c.fleet.View().Alive, func(m fleet.Member) bool { return m.ID == c.self.ID })
	return c.self, leaving
}

// LostCoordinator is the Detail of an error that tells the client to submit the task to
// another coordinator or group: the daemon did not answer, is stopping, or does not
// have the group.
const LostCoordinator = "the coordinating daemon did not answer"

func isCoordinatorLost(err error) bool {
	return core.AsError(err, "stage").Detail == LostCoordinator
}

// Release frees results in the background, through the coordinators of their groups.
func (c *Client) Release(pool core.PoolID, results []Result) {
	if len(results) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingReleases[pool] = append(c.pendingReleases[pool], results...)
	if !c.flushScheduled {
		c.flushScheduled = true
		time.AfterFunc(releaseDelay, c.flushReleases)
	}
}

func (c *Client) flushReleases() {
	c.mu.Lock()
	pending := c.pendingReleases
	c.pendingReleases, c.flushScheduled = map[core.PoolID][]Result{}, false
	c.flushing++
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.flushing--
	}()
	type batch struct {
		pool        core.PoolID
		coordinator fleet.Member
	}
	batches := map[batch][]Result{}
	for pool, results := range pending {
		for _, r := range results {
			candidates := c.rankedCandidates(pool, c.groupOf[pool][r.Endpoint], c.groups[pool])
			coordinator := c.self
			if len(candidates) > 0 {
				coordinator = candidates[0]
			}
			batches[batch{pool, coordinator}] = append(batches[batch{pool, coordinator}], r)
		}
	}
	c.mu.Unlock()
	for b, results := range batches {
		if b.coordinator.ID == c.self.ID {
			c.local.Release(b.pool, results)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		if err := c.remote.Release(ctx, b.coordinator.Address, b.pool, results); err != nil {
			// The local daemon can free the results at their endpoints as well.
			c.local.Release(b.pool, results)
		}
		cancel()
	}
}
