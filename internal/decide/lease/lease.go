// Package lease decides who holds the lease of a pool, and with it the right
// to command the pool's engines.
//
// The lease is a record of the table service. Its term is counted by monotonic
// clocks alone: the holder counts from before its write was sent, a candidate
// from after it read a revision, so the holder's term ends first whatever their
// wall clocks say.
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
	// Term is how long a lease holds after its last renewal.
	Term = 6 * time.Second
	// RenewInterval leaves two renewals to fail within a term.
	RenewInterval = 2 * time.Second
	// Margin is the part of the term at its end that the holder leaves unused.
	Margin = 1500 * time.Millisecond
	// MaxCommandTime is the longest a command lasts. The holder needs that much of
	// its term left, and the successor on engines that do not check fencing
	// tokens waits that long before its first command.
	MaxCommandTime = 2 * time.Second
	// NumCandidates is the number of daemons that compete for a lease. It bounds
	// the reads of the table service: 15 pools x 2 / 2 s = 15 reads/s.
	NumCandidates = 2
)

// Record is the content of a lease's record.
type Record struct {
	// Holder is the daemon that holds the lease, or empty after a release.
	Holder core.InstanceID `json:"holder"`
	// Token is the fencing token. It grows by 1 at each takeover.
	Token uint64 `json:"token"`
	// WriteID is the random mark of the write, by which a lost answer is settled.
	WriteID string `json:"mark"`
}

// Key returns the key of a pool's lease.
func Key(p core.PoolID) core.RecordKey { return core.RecordKey{Partition: "lease", Sort: string(p)} }

// Encode returns the record's stored form.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode reads a stored record.
func Decode(b []byte) (r Record, err error) {
	err = json.Unmarshal(b, &r)
	return r, err
}

// Candidates returns the daemons that compete for the pool's lease: the first
// by rendezvous hash.
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

// The actions.
const (
	// Watch reads the record again later.
	Watch Action = iota
	// Acquire writes the record with the next token.
	Acquire
	// Renew writes the record with the same token.
	Renew
)

// State is one candidate's knowledge of one lease. The zero value knows
// nothing. It is not safe for concurrent use.
type State struct {
	record   Record
	revision uint64
	// observed says that rec and rev were read; seenAt is when rev was first seen.
	observed       bool
	revisionSeenAt time.Time
	// proposed is the last write, which may take effect late; sentAt is the
	// time before it was sent.
	proposed Record
	sentAt   time.Time
	held     bool
	// grantedAt is when the write that holds the lease was sent, and takenAt
	// when the present token was first known to be held.
	grantedAt, acquiredAt time.Time
	// grantedWall is the wall time of grantedAt.
	grantedWall time.Time
}

// Observe takes in what was read, or written with success, at now: the time
// after the answer. rev is 0 if there is no record.
func (s *State) Observe(r Record, rev uint64, now time.Time) {
	if s.observed && rev == s.revision {
		return
	}
	s.observed, s.revisionSeenAt, s.record, s.revision = true, now, r, rev
	if rev == 0 || r.Holder == "" || r.WriteID != s.proposed.WriteID {
		s.held = false
		return
	}
	if !s.held {
		s.acquiredAt = now
	}
	s.held, s.grantedAt, s.grantedWall = true, s.sentAt, s.sentAt.Round(0)
}

// Next returns what to do at now.
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

// Propose returns the write for an action and the revision that it requires.
// now is the time before the write is sent.
func (s *State) Propose(a Action, self core.InstanceID, mark string, now time.Time) (Record, uint64) {
	r := Record{Holder: self, Token: s.record.Token, WriteID: mark}
	if a == Acquire {
		r.Token++
	}
	s.proposed, s.sentAt = r, now
	return r, s.revision
}

// Relinquish gives the lease up, whether or not its release takes effect.
func (s *State) Relinquish() { s.held, s.proposed = false, Record{} }

// Held says whether the lease was held at the last observation.
func (s *State) Held() bool { return s.held }

// MayCommand returns the fencing token and whether a command may be sent at
// now. checksFencing says whether the engines refuse old tokens.
func (s *State) MayCommand(now time.Time, checksFencing bool) (uint64, bool) {
	if !s.held || !checksFencing && now.Sub(s.acquiredAt) < MaxCommandTime {
		return 0, false
	}
	// The monotonic clock stands still while a virtual machine is suspended;
	// the wall clock then shows the pause. A wall clock that moves back changes
	// nothing.
	age := max(now.Sub(s.grantedAt), now.Round(0).Sub(s.grantedWall))
	return s.record.Token, age+MaxCommandTime <= Term-Margin
}
