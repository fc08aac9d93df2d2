package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrassgrade/internal/core"
)

const (
	// MaxSuspects and MaxQuarantined are the limits on the entries of the set: on
	// those that are not quarantined, including cleared ones, and on those that
	// are. Above a limit, the entry that expires first is removed.
	MaxSuspects    = 4096
	MaxQuarantined = 256
	// Duration is how long an entry is kept after its last change.
	Duration = 10 * time.Minute
	// quarantineCrashes is the number of crashes after which a content is
	// quarantined. A single crash may have had another cause.
	quarantineCrashes = 2
	// ageTolerance is the difference of Remaining up to which two entries count as
	// equally old, since it takes up to a gossip round to pass an entry on.
	ageTolerance = 3 * time.Second
)

// State is the state of a request content in the set.
type State uint8

// The states of a request content.
const (
	// Unknown contents have no entry or were cleared.
	Unknown State = iota
	// Suspect contents were running on an endpoint when it crashed.
	Suspect
	// Quarantined contents crashed endpoints repeatedly and are not run any more.
	Quarantined
)

type key struct {
	fingerprint [32]byte
	pool        core.PoolID
}

type record struct {
	crashes   int
	cleared   bool
	expiresAt time.Time
}

func (r record) state() State {
	switch {
	case r.crashes >= quarantineCrashes:
		return Quarantined
	case r.cleared:
		return Unknown
	default:
		return Suspect
	}
}

// Set holds suspected, quarantined and cleared contents. It is safe for concurrent
// use.
type Set struct {
	now func() time.Time

	mu      sync.Mutex
	records map[key]record
}

// New returns an empty set that uses now as its clock.
func New(now func() time.Time) *Set { return &Set{now: now, records: map[key]record{}} }

// Lookup returns the state of a content and the time until its entry expires.
func (s *Set) Lookup(pool core.PoolID, fingerprint [32]byte) (State, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[key{fingerprint, pool}]
	remaining := r.expiresAt.Sub(s.now())
	if !ok || remaining <= 0 {
		return Unknown, 0
	}
	return r.state(), remaining
}

// Get returns the entry of a content and whether there is one.
func (s *Set) Get(pool core.PoolID, fingerprint [32]byte) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[key{fingerprint, pool}]
	remaining := r.expiresAt.Sub(s.now())
	return Entry{fingerprint, pool, r.crashes, remaining, r.cleared}, ok && remaining > 0
}

// InFlight is a content that an endpoint was running when it crashed.
type InFlight struct {
	Fingerprint [32]byte
	// Suspect says that it was already a suspect when it was sent there, so that
	// no other suspect ran on the endpoint.
	Suspect bool
}

// Crash records that an endpoint of the pool crashed while it ran the contents
// inFlight. It returns those that are now quarantined. In its first crash, a
// content becomes a suspect. In a later one, it is quarantined if it ran as a
// suspect, apart from the others. If no content did, because the calls were sent
// before the first crash was known, a content is quarantined only if it alone was
// a suspect already. With several, nothing shows which one caused the crash, and
// all stay suspects.
func (s *Set) Crash(pool core.PoolID, inFlight []InFlight) (quarantined [][32]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var repeated, isolated []key
	for _, f := range inFlight {
		k := key{f.Fingerprint, pool}
		r, ok := s.records[k]
		if !ok || !r.expiresAt.After(now) || r.state() == Unknown {
			s.put(k, record{crashes: 1, expiresAt: now.Add(Duration)}, now)
			continue
		}
		repeated = append(repeated, k)
		if f.Suspect {
			isolated = append(isolated, k)
		}
	}
	if len(isolated) == 0 && len(repeated) == 1 {
		isolated = repeated
	}
	for _, k := range repeated {
		r := s.records[k]
		r.expiresAt = now.Add(Duration)
		if slices.Contains(isolated, k) {
			r.crashes++
			quarantined = append(quarantined, k.fingerprint)
		}
		s.put(k, r, now)
	}
	return quarantined
}

// Clear records that a suspect ran successfully and is no longer suspected. It
// does not end a quarantine.
func (s *Set) Clear(pool core.PoolID, fingerprint [32]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	k := key{fingerprint, pool}
	r, ok := s.records[k]
	if !ok || r.cleared || r.crashes >= quarantineCrashes {
		return
	}
	// The record is kept, so that the next exchange with a peer that still has
	// the suspect does not restore it.
	r.cleared = true
	r.expiresAt = now.Add(Duration)
	s.put(k, r, now)
}

// put stores r and removes records above the limits.
func (s *Set) put(k key, r record, now time.Time) {
	s.records[k] = r
	if len(s.records) <= MaxQuarantined {
		return
	}
	quarantined := 0
	for _, r := range s.records {
		if r.state() == Quarantined {
			quarantined++
		}
	}
	if quarantined > MaxQuarantined {
		s.evict(now, true)
	}
	if len(s.records)-quarantined > MaxSuspects {
		s.evict(now, false)
	}
}

// evict removes the expired records or, if there are none, the one that expires
// first, of those that are quarantined or those that are not.
func (s *Set) evict(now time.Time, quarantined bool) {
	var first key
	var firstExpiry time.Time
	removed := false
	for k, r := range s.records {
		switch {
		case (r.state() == Quarantined) != quarantined:
		case !r.expiresAt.After(now):
			delete(s.records, k)
			removed = true
		case firstExpiry.IsZero() || r.expiresAt.Before(firstExpiry):
			first, firstExpiry = k, r.expiresAt
		}
	}
	if !removed {
		delete(s.records, first)
	}
}

// Hash returns a hash of the set that two daemons can compare. It does not depend
// on the order of the entries or on their remaining times.
func (s *Set) Hash() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	h := xxhash.New()
	var combined uint64
	for k, r := range s.records {
		if !r.expiresAt.After(now) {
			continue
		}
		h.Reset()
		h.Write(k.fingerprint[:])
		h.WriteString(string(k.pool))
		var tail [9]byte
		binary.BigEndian.PutUint64(tail[:], uint64(r.crashes))
		if r.cleared {
			tail[8] = 1
		}
		h.Write(tail[:])
		combined ^= h.Sum64()
	}
	return combined
}

// Entries returns the entries that have not expired. Quarantined ones come first;
// within each group those that expire last come first.
func (s *Set) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	list := make([]Entry, 0, len(s.records))
	for k, r := range s.records {
		if remaining := r.expiresAt.Sub(now); remaining > 0 {
			list = append(list, Entry{k.fingerprint, k.pool, r.crashes, remaining, r.cleared})
		}
	}
	slices.SortFunc(list, func(a, b Entry) int {
		qa, qb := a.Crashes >= quarantineCrashes, b.Crashes >= quarantineCrashes
		switch {
		case qa && !qb:
			return -1
		case qb && !qa:
			return 1
		}
		return cmp.Or(cmp.Compare(b.Remaining, a.Remaining), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]), cmp.Compare(a.Pool, b.Pool))
	})
	return list
}

// Merge merges a peer's entries into the set and returns those that changed it.
// Of two records of one content, the one with more crashes wins; with equally
// many, the newer one; of equally old ones, the cleared one.
func (s *Set) Merge(entries []Entry) (changed []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, e := range entries {
		if e.Remaining <= 0 || e.Crashes < 1 {
			continue
		}
		k := key{e.Fingerprint, e.Pool}
		theirs := record{e.Crashes, e.Cleared, now.Add(min(e.Remaining, Duration))}
		ours, ok := s.records[k]
		if ok && ours.expiresAt.After(now) && !supersedes(theirs, ours) {
			continue
		}
		s.put(k, theirs, now)
		changed = append(changed, e)
	}
	return changed
}

// supersedes reports whether theirs replaces ours. Records that differ only in
// their expiry do not replace each other.
func supersedes(theirs, ours record) bool {
	if theirs.crashes != ours.crashes {
		return theirs.crashes > ours.crashes
	}
	if theirs.cleared == ours.cleared {
		return false
	}
	if d := theirs.expiresAt.Sub(ours.expiresAt); d > ageTolerance || d < -ageTolerance {
		return d > 0
	}
	return theirs.cleared
}
