package quarantine

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"eelgrassgrade/internal/core"
)

// Place returns the endpoints on which a suspect may run, best first. Each of
// the suspects has an endpoint of its own, by rendezvous hashing in the order of
// the fingerprints; daemons that know the same suspects and endpoints agree on
// them without a message, so that suspects of different daemons do not meet on
// one endpoint. A suspect whose own endpoint is out of use takes one that no
// other suspect has. It returns nil if there are more suspects than endpoints.
func Place(suspects [][32]byte, endpoints []core.InstanceID, self [32]byte) []core.InstanceID {
	sorted := slices.Clone(suspects)
	if !slices.Contains(sorted, self) {
		sorted = append(sorted, self)
	}
	slices.SortFunc(sorted, func(a, b [32]byte) int { return bytes.Compare(a[:], b[:]) })
	taken := map[core.InstanceID]bool{}
	var own core.InstanceID
	for _, s := range sorted {
		for _, e := range ranking(s, endpoints) {
			if !taken[e] {
				taken[e] = true
				if s == self {
					own = e
				}
				break
			}
		}
	}
	if own == "" {
		return nil
	}
	out := []core.InstanceID{own}
	for _, e := range ranking(self, endpoints) {
		if !taken[e] {
			out = append(out, e)
		}
	}
	return out
}

// ranking orders the endpoints by rendezvous hash for a content.
func ranking(fingerprint [32]byte, endpoints []core.InstanceID) []core.InstanceID {
	key := binary.BigEndian.Uint64(fingerprint[:])
	weight := func(e core.InstanceID) uint64 {
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], key)
		return xxhash.Sum64(append(b[:], e...))
	}
	out := slices.Clone(endpoints)
	slices.SortFunc(out, func(a, b core.InstanceID) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return out
}

// Suspects returns the contents of a pool that are suspects now.
func (s *Set) Suspects(pool core.PoolID) [][32]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var out [][32]byte
	for k, r := range s.records {
		if k.pool == pool && r.ends.After(now) && r.state() == Suspect {
			out = append(out, k.fingerprint)
		}
	}
	return out
}
