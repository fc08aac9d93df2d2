// Package grouping divides the endpoints of a pool of stages into groups, each
// with a queue of its own, and chooses the group of a task. Every daemon comes to
// the same groups from the same list, and an endpoint that comes or goes moves no
// other one to another group while the number of groups stays.
package grouping

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"time"
)

const (
	// GroupSize is the number of endpoints from which on a pool has several groups.
	// Calls of 8 endpoints cost a small instance a few hundredths of its core.
	GroupSize = 8
	// minGroupSize is the least number of endpoints of a data centre that make a group
	// of their own: fewer leave too little choice when one is slow.
	minGroupSize = 3
	// maxExtraLocalWait is how much longer a task may wait near its inputs than elsewhere:
	// about half of a call. Waits are told each few hundred milliseconds, so a lesser
	// difference says little.
	maxExtraLocalWait = 150 * time.Millisecond
)

// Member is an endpoint.
type Member struct {
	ID         string
	DataCenter string
}

// Group is a part of a pool.
type Group struct {
	// ID is the same on all daemons. A pool of one group has the ID 0.
	ID          int
	DataCenters []string
	Members     []string
}

// Divide returns the groups of a pool: one up to Size endpoints, else one or more
// for each data centre. Data centres with few endpoints join the one before them.
func Divide(list []Member) []Group {
	if len(list) <= GroupSize {
		g := Group{}
		for _, m := range list {
			g.Members = append(g.Members, m.ID)
			if !slices.Contains(g.DataCenters, m.DataCenter) {
				g.DataCenters = append(g.DataCenters, m.DataCenter)
			}
		}
		return []Group{g}
	}
	var out []Group
	for _, part := range byDataCenter(list) {
		n := (len(part.Members) + GroupSize - 1) / GroupSize
		groups := make([]Group, n)
		for i := range groups {
			groups[i] = Group{ID: groupID(part.DataCenters[0], i), DataCenters: part.DataCenters}
		}
		for _, m := range part.Members {
			g := &groups[hash(m)%uint32(n)]
			g.Members = append(g.Members, m)
		}
		for _, g := range groups {
			if len(g.Members) > 0 {
				out = append(out, g)
			}
		}
	}
	return out
}

// byDataCenter returns the endpoints by data centre, those with few endpoints
// joined to others.
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
	var out []Group
	for _, p := range parts {
		if n := len(out); n > 0 && (len(p.Members) < minGroupSize || len(out[n-1].Members) < minGroupSize) {
			out[n-1].DataCenters = append(out[n-1].DataCenters, p.DataCenters...)
			out[n-1].Members = append(out[n-1].Members, p.Members...)
			continue
		}
		out = append(out, p)
	}
	return out
}

func hash(s string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(s))
	return h.Sum32()
}

// groupID numbers a group; 0 is the ID of a pool's only group.
func groupID(dc string, n int) int {
	return max(int(hash(dc+"/"+strconv.Itoa(n))&(1<<31-1)), 1)
}

// Choose returns the group of a task: one in the data centre near, unless its
// wait is longer than that of a group which is drawn by the task's key, with the
// groups' sizes as weights. wait returns how long a new piece waits in a group.
func Choose(key, near string, groups []Group, wait func(Group) time.Duration) Group {
	if len(groups) == 1 {
		return groups[0]
	}
	other := drawBySize(key, groups)
	local := slices.DeleteFunc(slices.Clone(groups), func(g Group) bool { return !slices.Contains(g.DataCenters, near) })
	if len(local) == 0 {
		local = []Group{drawBySize(key+"/2", groups)}
	}
	first := drawBySize(key, local)
	if first.ID != other.ID && wait(first) > wait(other)+maxExtraLocalWait {
		return other
	}
	return first
}

// EstimateWait returns how long tasks wait for which Choose chooses with one data centre
// near: as long as in the groups there, or a little longer than elsewhere.
func EstimateWait(near string, groups []Group, wait func(Group) time.Duration) time.Duration {
	var local, least time.Duration = -1, -1
	for _, g := range groups {
		w := wait(g)
		if least < 0 || w < least {
			least = w
		}
		if slices.Contains(g.DataCenters, near) && (local < 0 || w < local) {
			local = w
		}
	}
	if local < 0 {
		return max(least, 0)
	}
	return min(local, least+maxExtraLocalWait)
}

// drawBySize returns a group by a key, with the sizes as weights.
func drawBySize(key string, groups []Group) Group {
	total := 0
	for _, g := range groups {
		total += len(g.Members)
	}
	at := int(hash(key) % uint32(max(total, 1)))
	for _, g := range groups {
		if at -= len(g.Members); at < 0 {
			return g
		}
	}
	return groups[0]
}
