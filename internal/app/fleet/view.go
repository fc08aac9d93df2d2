package fleet

import (
	"cmp"
	"math"
	"slices"
	"sync"
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

	ranks *ranks
	built time.Time
	// stale is when the first announced prompt in Loads was read; zero if there is none.
	stale time.Time
}

// ranks keeps the rankings of one set of live daemons: each request asks for
// several.
type ranks struct{ by sync.Map }

type rankKey struct {
	key  string
	near core.DataCenterID
}

// Holder is a daemon with a version of a table.
type Holder struct {
	Version int64
	Address string
}

const (
	// nearWeight is the factor by which daemons of the wanted data centre go before
	// others. Work between data centres takes their distance for each message.
	nearWeight = 100
	// capacityPower raises the share of daemons with more of a core beyond their
	// share of all cores: work that others wait for is done late by a small part of
	// a core, even if it is not busy. Of 10 daemons with 0.8 and 77 with 0.192 of a
	// core, the 10 get 70% of it.
	capacityPower = 2
)

// Ranked returns the live daemons in the order of rendezvous hashing for a key,
// with weights: those in the data centre near, unless that is empty, and those
// with much of a core come first more often. All daemons that see the same
// members agree on it. The result must not be changed.
func (v *View) Ranked(key string, near core.DataCenterID) []Member {
	if v.ranks == nil {
		return rank(v.Alive, key, near)
	}
	k := rankKey{key, near}
	if list, ok := v.ranks.by.Load(k); ok {
		return list.([]Member)
	}
	list := rank(v.Alive, key, near)
	v.ranks.by.Store(k, list)
	return list
}

func rank(members []Member, key string, near core.DataCenterID) []Member {
	scores := make(map[core.InstanceID]float64, len(members))
	for _, m := range members {
		weight := 1.0
		if m.Millicores > 0 {
			weight = math.Pow(float64(m.Millicores)/1000, capacityPower)
		}
		if near != "" && m.DataCenter == near {
			weight *= nearWeight
		}
		// The hash as a number between 0 and 1, exclusive.
		u := (float64(xxhash.Sum64String(key+"\x00"+string(m.ID))>>11) + 0.5) / (1 << 53)
		scores[m.ID] = weight / -math.Log(u)
	}
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(cmp.Compare(scores[b.ID], scores[a.ID]), cmp.Compare(a.ID, b.ID))
	})
	return out
}
