package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrassgrade/internal/core"
)

// View is an immutable view of the live daemons, this one included, and of what
// the others have in progress.
type View struct {
	// Alive is ordered by ID. Leaving daemons are not in it.
	Alive []Member
	Loads map[core.InstanceID]EndpointLoad
	// Waits holds, by group, the waits told by the daemons that coordinate it.
	Waits map[StageGroup]map[core.InstanceID][]time.Duration
	// Newest is the highest version of each table and a daemon that has it.
	Newest map[string]Holder
}

// Holder is a daemon with a version of a table.
type Holder struct {
	Version int64
	Address string
}

func (v *View) take(s *Status) {
	for _, l := range s.Loads {
		sum := v.Loads[l.Endpoint]
		sum.Running += l.Running
		sum.PrefillTokens += l.PrefillTokens
		sum.Failing = sum.Failing || l.Failing
		v.Loads[l.Endpoint] = sum
	}
	for _, w := range s.Waits {
		if v.Waits[w.StageGroup] == nil {
			v.Waits[w.StageGroup] = map[core.InstanceID][]time.Duration{}
		}
		v.Waits[w.StageGroup][s.Member.ID] = w.Wait
	}
	for table, version := range s.Tables {
		if version > v.Newest[table].Version {
			v.Newest[table] = Holder{version, s.Member.Address}
		}
	}
}

// Ranked returns the live daemons in the order of rendezvous hashing for a key.
// All daemons that see the same members agree on it.
func (v *View) Ranked(key string) []Member {
	weights := make(map[core.InstanceID]uint64, len(v.Alive))
	for _, m := range v.Alive {
		weights[m.ID] = xxhash.Sum64String(key + "\x00" + string(m.ID))
	}
	out := slices.Clone(v.Alive)
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(weights[b.ID], weights[a.ID]) })
	return out
}
