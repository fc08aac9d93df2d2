// Package grouping divides the endpoints of a stage pool into groups, each with its
// own queue, and chooses the group of a task. Daemons compute the same groups from
// the same list. An endpoint that is added or removed moves no other endpoint to
// another group unless the number of groups changes.
package grouping

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"time"
)

const (
	// GroupSize is the largest pool with a single group and the intended size of the
	// groups of larger pools. Coordinating calls to 8 endpoints takes a few
	// hundredths of the core of a small instance.
	GroupSize = 8
	// minGroupSize is the smallest number of endpoints of one data centre that form a
	// group. With fewer there is too little choice when one is slow.
	minGroupSize = 3
	// maxExtraLocalWait is how much longer a task may wait near its inputs than
	// elsewhere: about half of a call. Daemons report waits only every few hundred
	// milliseconds, so a smaller difference means little.
	maxExtraLocalWait = 150 * time.Millisecond
)

// Member is an endpoint of a pool.
type Member struct {
	ID         string
	DataCenter string
	// Region is the region of the data centre; empty if it is not known.
	Region string
}

// Group is a group of endpoints of a pool.
type Group struct {
	// ID is the same on all daemons. The only group of a pool has the ID 0.
	ID          int
	DataCenters []string
	// Region is the region of all members.
	Region string
	// Members holds the IDs of the endpoints.
	Members []string
}

// Divide returns the groups of a pool: one for up to GroupSize endpoints, otherwise at
// least one for each data centre. Data centres with fewer than minGroupSize
// endpoints share their groups with a neighbour in alphabetical order. No group has
// endpoints of several regions.
func Divide(list []Member) []Group {
	regions := byRegion(list)
	if len(regions) == 1 {
		return divideRegion(list, 0)
	}
	var all []Group
	for _, members := range regions {
		all = append(all, divideRegion(members, groupID("region/"+members[0].Region, 0))...)
	}
	return all
}

// byRegion returns the endpoints by region, in the order of the regions' names. A pool
// without endpoints counts as one region.
func byRegion(list []Member) [][]Member {
	if len(list) == 0 {
		return [][]Member{nil}
	}
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(a, b Member) int { return cmp.Compare(a.Region, b.Region) })
	var regions [][]Member
	for i, m := range sorted {
		if i == 0 || m.Region != sorted[i-1].Region {
			regions = append(regions, nil)
		}
		last := &regions[len(regions)-1]
		*last = append(*last, m)
	}
	return regions
}

// divideRegion returns the groups of the endpoints of one region. singleID is the ID of the
// group if there is only one.
func divideRegion(list []Member, singleID int) []Group {
	if len(list) <= GroupSize {
		g := Group{ID: singleID}
		for _, m := range list {
			g.Region = m.Region
			g.Members = append(g.Members, m.ID)
			if !slices.Contains(g.DataCenters, m.DataCenter) {
				g.DataCenters = append(g.DataCenters, m.DataCenter)
			}
		}
		return []Group{g}
	}
	var all []Group
	for _, part := range byDataCenter(list) {
		n := (len(part.Members) + GroupSize - 1) / GroupSize
		groups := make([]Group, n)
		for i := range groups {
			groups[i] = Group{ID: groupID(part.DataCenters[0], i), DataCenters: part.DataCenters, Region: list[0].Region}
		}
		for _, m := range part.Members {
			g := &groups[hash(m)%uint32(n)]
			g.Members = append(g.Members, m)
		}
		for _, g := range groups {
			if len(g.Members) > 0 {
				all = append(all, g)
			}
		}
	}
	return all
}

// byDataCenter returns the endpoints by data centre. A data centre is merged with the
// one before it if either has fewer than minGroupSize endpoints.
func byDataCenter(list []Member) []Group {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Or(cmp.Compare(a.DataCenter, b.DataCenter), cmp.Compare(a.ID, b.ID)) })
	var parts []Group
	for _, m := range sorted {
		if n := len(parts); n == 0 || parts[n-1].DataCenters[0] != m.DataCenter {
			parts = append(parts, Group{DataCenters: []string{m.DataCenter}})
		}
		last := &parts[len(parts)-1]
		last.Members = append(last.Members, m.ID)
	}
	var merged []Group
	for _, p := range parts {
		if n := len(merged); n > 0 && (len(p.Members) < minGroupSize || len(merged[n-1].Members) < minGroupSize) {
			merged[n-1].DataCenters = append(merged[n-1].DataCenters, p.DataCenters...)
			merged[n-1].Members = append(merged[n-1].Members, p.Members...)
			continue
		}
		merged = append(merged, p)
	}
	return merged
}

func hash(s string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(s))
	return h.Sum32()
}

// groupID returns the ID of the n-th group of a data centre. It is never 0, the ID of
// a pool's only group.
func groupID(dc string, n int) int {
	return max(int(hash(dc+"/"+strconv.Itoa(n))&(1<<31-1)), 1)
}

// Choose returns the group of a task. It picks two groups by the task's key, with the
// groups' sizes as weights: a local one in preferredDataCenter, or in any data centre
// if the pool has none there, and another one among all groups. It returns the local
// one unless its wait is longer by more than maxExtraLocalWait. wait returns how
// long a new piece waits in a group.
func Choose(key, preferredDataCenter string, groups []Group, wait func(Group) time.Duration) Group {
	if len(groups) == 1 {
		return groups[0]
	}
	other := drawBySize(key, groups)
	local := slices.DeleteFunc(slices.Clone(groups), func(g Group) bool { return !slices.Contains(g.DataCenters, preferredDataCenter) })
	if len(local) == 0 {
		local = []Group{drawBySize(key+"/2", groups)}
	}
	localChoice := drawBySize(key, local)
	if localChoice.ID != other.ID && wait(localChoice) > wait(other)+maxExtraLocalWait {
		return other
	}
	return localChoice
}

// EstimateWait returns the approximate wait of a task whose group Choose selects with the
// same preferred data centre: the shortest wait there, but at most maxExtraLocalWait
// more than the shortest of all groups.
func EstimateWait(preferredDataCenter string, groups []Group, wait func(Group) time.Duration) time.Duration {
	var local, shortest time.Duration = -1, -1
	for _, g := range groups {
		w := wait(g)
		if shortest < 0 || w < shortest {
			shortest = w
		}
		if slices.Contains(g.DataCenters, preferredDataCenter) && (local < 0 || w < local) {
			local = w
		}
	}
	if local < 0 {
		return max(shortest, 0)
	}
	return min(local, shortest+maxExtraLocalWait)
}

// drawBySize selects a group by the hash of key, with the groups' sizes as weights.
func drawBySize(key string, groups []Group) Group {
	total := 0
	for _, g := range groups {
		total += len(g.Members)
	}
	offset := int(hash(key) % uint32(max(total, 1)))
	for _, g := range groups {
		if offset -= len(g.Members); offset < 0 {
			return g
		}
	}
	return groups[0]
}
