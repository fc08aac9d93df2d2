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

// View is an immutable view of the live daemons, including this one, and of the work
// that the others have in progress.
type View struct {
	// Alive is ordered by ID. It does not contain leaving daemons.
	Alive []Member
	Loads map[core.InstanceID]EndpointLoad
	// Ages holds the ages of Loads at the time BuiltAt; nil unless Options.LoadAges is set.
	Ages map[core.InstanceID]LoadAge
	// Waits holds the waits of each group by the daemon that reported them as the group's
	// coordinator.
	Waits map[StageGroup]map[core.InstanceID][]time.Duration
	// Newest holds the newest position of each table and a daemon that has it.
	Newest map[string]Holder

	rankings *rankCache
	BuiltAt  time.Time
	// expiresAt is when the first announced prompt counted in Loads ends; zero if there
	// is none.
	expiresAt time.Time
}

// LoadAge is the mean time since the reports of an endpoint's load, by requests in
// progress and by prompt tokens.
type LoadAge struct{ Running, PrefillTokens time.Duration }

// rankCache caches the rankings of one set of live daemons, since each request needs
// several.
type rankCache struct{ byKey sync.Map }

type rankKey struct {
	key        string
	dataCenter core.DataCenterID
}

// Holder is the address of a daemon whose copy of a table has a position.
type Holder struct {
	Position core.CopyPosition
	Address  string
}

const (
	// dataCenterWeight is the factor on the weight of daemons in the preferred data
	// centre. Each message to another data centre costs the latency between the two.
	dataCenterWeight = 100
	// capacityExponent gives daemons with a larger part of a core more than a
	// proportional share of the work: a daemon with a small part of a core is slow even
	// when it is not busy, and other daemons wait for its work. Of 10 daemons with 0.8
	// and 77 daemons with 0.192 of a core, the 10 get 70% of the work.
	capacityExponent = 2
)

// Ranked returns the live daemons in the order of weighted rendezvous hashing for a
// key. The weight grows with a daemon's processor share and is higher for daemons in
// dataCenter, unless that is empty. All daemons that see the same members get the same
// order. The result must not be modified.
func (v *View) Ranked(key string, dataCenter core.DataCenterID) []Member {
	if v.rankings == nil {
		return rank(v.Alive, key, dataCenter)
	}
	k := rankKey{key, dataCenter}
	if list, ok := v.rankings.byKey.Load(k); ok {
		return list.([]Member)
	}
	list := rank(v.Alive, key, dataCenter)
	v.rankings.byKey.Store(k, list)
	return list
}

func rank(members []Member, key string, dataCenter core.DataCenterID) []Member {
	scores := make(map[core.InstanceID]float64, len(members))
	for _, m := range members {
		weight := 1.0
		if m.Millicores > 0 {
			weight = math.Pow(float64(m.Millicores)/1000, capacityExponent)
		}
		if dataCenter != "" && m.DataCenter == dataCenter {
			weight *= dataCenterWeight
		}
		// u is the hash mapped to a number between 0 and 1, exclusive.
		u := (float64(xxhash.Sum64String(key+"\x00"+string(m.ID))>>11) + 0.5) / (1 << 53)
		scores[m.ID] = weight / -math.Log(u)
	}
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(scores[b.ID], scores[a.ID]), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}
