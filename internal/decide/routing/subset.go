// Package routing decides which endpoints of a pool a daemon uses and which of
// them gets the next call. It does no I/O and holds no state.
package routing

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"eelgrassgrade/internal/core"
)

// A daemon uses at most MaxLocal endpoints of its own data centre and at most
// MaxRemote of others. Without these bounds, each of 330 daemons would hold
// connections to all 600 endpoints of a pool instead of to 20.
const (
	MaxLocal  = 16
	MaxRemote = 4
)

// HashOf returns the hash that identifies an instance in rendezvous hashing.
func HashOf(id core.InstanceID) uint64 { return xxhash.Sum64String(string(id)) }

// rendezvousWeight combines two hashes into a rendezvous weight. It uses the
// finalizer of MurmurHash3, which spreads each input bit over the whole result.
func rendezvousWeight(key, endpoint uint64) uint64 {
	x := key ^ (endpoint * 0x9e3779b97f4a7c15)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Subset returns the endpoints that the daemon uses, sorted by ID: those with the
// highest rendezvous weights in its own data centre, dc, and in others. An endpoint
// that joins or leaves the pool changes at most one endpoint of a subset.
func Subset(daemon core.InstanceID, dc core.DataCenterID, all []core.Endpoint) []core.Endpoint {
	type weighted struct {
		weight uint64
		index  int
	}
	daemonHash := HashOf(daemon)
	var local, remote []weighted
	for i, e := range all {
		w := weighted{rendezvousWeight(daemonHash, HashOf(e.ID)), i}
		if e.DataCenter == dc {
			local = append(local, w)
		} else {
			remote = append(remote, w)
		}
	}
	subset := make([]core.Endpoint, 0, MaxLocal+MaxRemote)
	for _, g := range []struct {
		list  []weighted
		limit int
	}{{local, MaxLocal}, {remote, MaxRemote}} {
		slices.SortFunc(g.list, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
		for _, w := range g.list[:min(len(g.list), g.limit)] {
			subset = append(subset, all[w.index])
		}
	}
	slices.SortFunc(subset, func(a, b core.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return subset
}
