package quarantine

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"eelgrassgrade/internal/core"
)

// Place returns the endpoints on which a suspect may run, best first. Each of the
// suspects is assigned an endpoint that no other suspect has, by rendezvous hashing
// in the order of the fingerprints. Daemons that know the same suspects and
// endpoints compute the same assignment without exchanging messages, so suspects
// from different daemons do not run on one endpoint. The endpoints after the first
// are assigned to no suspect and serve if the first is out of use. Place returns
// nil if the suspect is left without an endpoint because there are too few.
func Place(suspects [][32]byte, endpoints []core.InstanceID, suspect [32]byte) []core.InstanceID {
	sorted := slices.Clone(suspects)
	if !slices.Contains(sorted, suspect) {
		sorted = append(sorted, suspect)
	}
	slices.SortFunc(sorted, func(a, b [32]byte) int { return bytes.Compare(a[:], b[:]) })
	used := map[core.InstanceID]bool{}
	var assigned core.InstanceID
	for _, s := range sorted {
		for _, e := range rankEndpoints(s, endpoints) {
			if !used[e] {
				used[e] = true
				if s == suspect {
					assigned = e
				}
				break
			}
		}
	}
	if assigned == "" {
		return nil
	}
	candidates := []core.InstanceID{assigned}
	for _, e := range rankEndpoints(suspect, endpoints) {
		if !used[e] {
			candidates = append(candidates, e)
		}
	}
	return candidates
}

// rankEndpoints returns the endpoints in the order of their rendezvous hashes with
// a fingerprint.
func rankEndpoints(fingerprint [32]byte, endpoints []core.InstanceID) []core.InstanceID {
	key := binary.BigEndian.Uint64(fingerprint[:])
	weight := func(e core.InstanceID) uint64 {
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], key)
		return xxhash.Sum64(append(b[:], e...))
	}
	ranked := slices.Clone(endpoints)
	slices.SortFunc(ranked, func(a, b core.InstanceID) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return ranked
}

// Suspects returns the fingerprints of a pool's current suspects.
func (s *Set) Suspects(pool core.PoolID) [][32]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var suspects [][32]byte
	for k, r := range s.records {
		if k.pool == pool && r.expiresAt.After(now) && r.state() == Suspect {
			suspects = append(suspects, k.fingerprint)
		}
	}
	return suspects
}
