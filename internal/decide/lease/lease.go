// Package lease decides which daemon holds the lease of a pool. Only the holder may
// send commands to the pool's engines.
//
// The lease is a record of the table service. Its term is measured by monotonic
// clocks. The holder measures it from before it sent its write, and a candidate
// from after it first read the written revision, so the term ends for the holder
// before it ends for a candidate, whatever their wall clocks show.
package lease

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrassgrade/internal/core"
)

const (
	// Term is how long a lease is valid after its last renewal.
	Term = 6 * time.Second
	// RenewInterval is the time between renewals. Two renewals in a row may fail
	// within a term.
	RenewInterval = 2 * time.Second
	// Margin is how long before the end of its term the holder stops using the lease.
	Margin = 1500 * time.Millisecond
	// MaxCommandTime is the longest time that a command takes. The holder sends a
	// command only if as much of its term is left. A new holder waits as long
	// before its first command to engines that do not check fencing tokens.
	MaxCommandTime = 2 * time.Second
	// NumCandidates is the number of daemons that compete for a lease. It limits
	// the load on the table service: 15 pools with 2 candidates each that read
	// every 2 s make 15 reads per second.
	NumCandidates = 2
)

// Record is the record of a lease in the table service.
type Record struct {
	// Holder is the daemon that holds the lease, or empty after a release.
	Holder core.InstanceID `json:"holder"`
	// Token is the fencing token. It grows by 1 each time the lease is acquired.
	Token uint64 `json:"token"`
	// WriteID is a random ID of the write. If the answer to a write is lost, the
	// writer reads the record and compares WriteID to learn whether it took effect.
	WriteID string `json:"mark"`
}

// Key returns the record key of a pool's lease.
func Key(p core.PoolID) core.RecordKey { return core.RecordKey{Partition: "lease", Sort: string(p)} }

// Encode returns the record's stored form.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode reads a stored record.
func Decode(b []byte) (r Record, err error) {
	err = json.Unmarshal(b, &r)
	return r, err
}

// Candidates returns the daemons that compete for the pool's lease: the first
// NumCandidates by rendezvous hashing.
func Candidates(p core.PoolID, daemons []core.InstanceID) []core.InstanceID {
	score := func(d core.InstanceID) uint64 { return xxhash.Sum64String(string(p) + "\x00" + string(d)) }
	sorted := slices.Clone(daemons)
	slices.SortFunc(sorted, func(a, b core.InstanceID) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b))
	})
	return sorted[:min(len(sorted), NumCandidates)]
}

// Action is what a candidate does next.
type Action uint8

// The actions of a candidate.
const (
	// Watch reads the record again later.
	Watch Action = iota
	// Acquire writes the record with the next fencing token.
	Acquire
	// Renew writes the record with the same fencing token.
	Renew
)

// State is what one candidate knows about one lease. The zero value is that of a
// candidate that has not read the record. It is not safe for concurrent use.
type State struct {
	record   Record
	revision uint64
	// observed says that record and revision are set. revisionSeenAt is when the
	// revision was first seen.
	observed       bool
	revisionSeenAt time.Time
	// proposed is the last write, which may take effect late, and sentAt the time
	// just before it was sent.
	proposed Record
	sentAt   time.Time
	held     bool
	// grantedAt is when the last successful write was sent, and acquiredAt when
	// this candidate first knew that it holds the lease with the current token.
	grantedAt, acquiredAt time.Time
	// grantedWall is grantedAt without its monotonic clock reading.
	grantedWall time.Time
}

// Observe updates the state by a record that was read or successfully written. now
// is the time after the answer arrived. revision is 0 if there is no record.
func (s *State) Observe(r Record, revision uint64, now time.Time) {
	if s.observed && revision == s.revision {
		return
	}
	s.observed, s.revisionSeenAt, s.record, s.revision = true, now, r, revision
	if revision == 0 || r.Holder == "" || r.WriteID != s.proposed.WriteID {
		s.held = false
		return
	}
	if !s.held {
		s.acquiredAt = now
	}
	s.held, s.grantedAt, s.grantedWall = true, s.sentAt, s.sentAt.Round(0)
}

// Next returns what the candidate should do at now.
func (s *State) Next(now time.Time) Action {
	switch {
	case !s.observed:
		return Watch
	case s.held:
		return Renew
	case s.revision == 0, s.record.Holder == "", now.Sub(s.revisionSeenAt) >= Term:
		return Acquire
	}
	return Watch
}

// Propose returns the record to write for an action, and the revision on which the
// write must be conditional. An empty holder releases the lease. now is the time
// just before the write is sent.
func (s *State) Propose(action Action, holder core.InstanceID, writeID string, now time.Time) (Record, uint64) {
	r := Record{Holder: holder, Token: s.record.Token, WriteID: writeID}
	if action == Acquire {
		r.Token++
	}
	s.proposed, s.sentAt = r, now
	return r, s.revision
}

// Relinquish makes the candidate treat the lease as not held, even if the write
// that releases it fails.
func (s *State) Relinquish() { s.held, s.proposed = false, Record{} }

// Held reports whether this candidate held the lease at the last observation.
func (s *State) Held() bool { return s.held }

// MayCommand returns the fencing token and whether a command may be sent at now.
// checksFencing says whether the engines refuse commands with old tokens.
func (s *State) MayCommand(now time.Time, checksFencing bool) (uint64, bool) {
	if !s.held || !checksFencing && now.Sub(s.acquiredAt) < MaxCommandTime {
		return 0, false
	}
	// The monotonic clock stops while a virtual machine is suspended, but the wall
	// clock then shows the pause. The larger age counts, so a wall clock that is
	// set back does not extend the term.
	age := max(now.Sub(s.grantedAt), now.Round(0).Sub(s.grantedWall))
	return s.record.Token, age+MaxCommandTime <= Term-Margin
}
