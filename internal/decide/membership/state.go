package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrassgrade/internal/core"
)

const (
	// MaxLeaves is the limit on remembered leaves. The whole set must fit into one
	// message.
	MaxLeaves = 256
	// ForgetAfter is how long an instance must be absent from the instance list
	// before its leave is forgotten. It is much longer than the list lags behind,
	// during which the instance could show up again.
	ForgetAfter = 10 * time.Minute
)

// Leave is the announcement that one incarnation of an instance leaves.
type Leave struct {
	Instance core.InstanceID
	// AbsentFor is how long the instance has been absent from the instance list.
	AbsentFor time.Duration
}

// LeaveRecord is a leave that was read from the table service.
type LeaveRecord struct {
	Instance core.InstanceID
	// Age is the time since the announcement, by the wall clocks of the announcer
	// and the reader.
	Age time.Duration
}

// State is what a daemon knows about the instances. It is not safe for concurrent
// use.
type State struct {
	self        core.InstanceID
	selfAddress string

	list     []core.Instance // ordered by ID
	listed   map[core.InstanceID]bool
	hasList  bool
	listAsOf time.Time
	// absentSince holds the announced leaves, with the time since which the
	// instance has been absent from the list. The zero time means that it is in
	// the list, or that there is no list yet.
	absentSince  map[core.InstanceID]time.Time
	viewAsOf     time.Time
	hash         uint64
	viewOutdated bool // the list or the leaves changed since the last call of View
}

// NewState returns the state of a daemon that has no instance list and knows of no
// leaves. address is the address under which the daemon is listed.
func NewState(self core.InstanceID, address string) *State {
	return &State{self: self, selfAddress: address, absentSince: map[core.InstanceID]time.Time{}}
}

// HasList reports whether an instance list is known.
func (s *State) HasList() bool { return s.hasList }

// ListAsOf returns the time at which the known instance list was requested.
func (s *State) ListAsOf() time.Time { return s.listAsOf }

// ViewAsOf returns the latest time at which the view is known to have been current.
func (s *State) ViewAsOf() time.Time { return s.viewAsOf }

// ApplyList merges an instance list that was requested at requestedAt. It returns
// the leaves that were not known before.
func (s *State) ApplyList(requestedAt time.Time, list []core.Instance) []Leave {
	added := s.setList(requestedAt, list)
	s.viewAsOf = later(s.viewAsOf, requestedAt)
	return added
}

// setList replaces the instance list unless the known one is as new. It returns
// the leaves that were not known before.
func (s *State) setList(requestedAt time.Time, list []core.Instance) []Leave {
	if s.hasList && !requestedAt.After(s.listAsOf) {
		return nil
	}
	s.hasList, s.listAsOf, s.viewOutdated = true, requestedAt, true
	s.list = slices.Clone(list)
	slices.SortFunc(s.list, func(a, b core.Instance) int { return cmp.Compare(a.ID, b.ID) })
	s.listed = make(map[core.InstanceID]bool, len(list))
	for _, i := range s.list {
		s.listed[i.ID] = true
	}
	s.updateAbsences(requestedAt)
	var added []Leave
	for _, i := range s.list {
		if i.State == core.Leaving && s.addLeave(Leave{Instance: i.ID}, requestedAt) {
			added = append(added, Leave{Instance: i.ID})
		}
	}
	return added
}

// updateAbsences updates absentSince after a new list and removes the leaves of
// instances that have been absent for ForgetAfter. Leaves are removed nowhere else
// for their age, so none is while no list can be read.
func (s *State) updateAbsences(now time.Time) {
	for id, since := range s.absentSince {
		switch {
		case s.listed[id]:
			s.absentSince[id] = time.Time{}
		case since.IsZero():
			s.absentSince[id] = now
		case now.Sub(since) >= ForgetAfter:
			s.removeLeave(id)
		}
	}
}

// ApplyRecords merges the leave records of the table service, which were requested
// at requestedAt. It returns the leaves that were not known before.
func (s *State) ApplyRecords(requestedAt time.Time, records []LeaveRecord) []Leave {
	var added []Leave
	for _, r := range records {
		// Records are kept for longer than leaves. An old record counts only if
		// the instance is in the list again.
		if s.hasList && !s.listed[r.Instance] && r.Age >= ForgetAfter {
			continue
		}
		if l := (Leave{Instance: r.Instance}); s.addLeave(l, requestedAt) {
			added = append(added, l)
		}
	}
	s.viewAsOf = later(s.viewAsOf, requestedAt)
	return added
}

// ApplyLeaves merges leaves that were announced to this daemon or received from a
// peer. It returns those that were not known before.
func (s *State) ApplyLeaves(now time.Time, leaves []Leave) []Leave {
	var added []Leave
	for _, l := range leaves {
		if s.addLeave(l, now) {
			added = append(added, l)
		}
	}
	return added
}

// ApplyPeer merges the answer of a peer that was asked at requestedAt: the age of
// its view, and its instance list with its age. A negative age means that the peer
// has no current view or no list. The peer's leaves must have been merged before.
// It returns the leaves that were not known before.
func (s *State) ApplyPeer(requestedAt time.Time, viewAge time.Duration, listAge time.Duration, list []core.Instance) []Leave {
	var added []Leave
	if len(list) > 0 && listAge >= 0 {
		added = s.setList(requestedAt.Add(-listAge), list)
	}
	if viewAge >= 0 {
		s.viewAsOf = later(s.viewAsOf, requestedAt.Add(-viewAge))
	}
	return added
}

// addLeave adds a leave and reports whether it was not known before. When the set
// is full, it replaces the leave of the instance that has been absent from the
// list for the longest time; if all are listed, it does not add the leave.
func (s *State) addLeave(l Leave, now time.Time) bool {
	var since time.Time
	if s.hasList && !s.listed[l.Instance] {
		since = now.Add(-l.AbsentFor)
	}
	if old, known := s.absentSince[l.Instance]; known {
		if !since.IsZero() && !old.IsZero() && since.Before(old) {
			s.absentSince[l.Instance] = since
		}
		return false
	}
	if l.Instance == "" || l.AbsentFor >= ForgetAfter && !since.IsZero() {
		return false
	}
	if len(s.absentSince) >= MaxLeaves && !s.evictLongestAbsent() {
		return false
	}
	s.absentSince[l.Instance] = since
	s.hash ^= hashID(l.Instance)
	s.viewOutdated = true
	return true
}

// evictLongestAbsent removes the leave of the instance that has been absent from
// the list for the longest time. It reports whether there was one.
func (s *State) evictLongestAbsent() bool {
	var oldest core.InstanceID
	for id, since := range s.absentSince {
		if since.IsZero() {
			continue
		}
		if oldest == "" || since.Before(s.absentSince[oldest]) || since.Equal(s.absentSince[oldest]) && id < oldest {
			oldest = id
		}
	}
	if oldest == "" {
		return false
	}
	s.removeLeave(oldest)
	return true
}

func (s *State) removeLeave(id core.InstanceID) {
	delete(s.absentSince, id)
	s.viewOutdated = true
	s.hash ^= hashID(id)
}

func hashID(id core.InstanceID) uint64 { return xxhash.Sum64String(string(id)) }

// IsLeaving reports whether a leave of the instance is known.
func (s *State) IsLeaving(id core.InstanceID) bool {
	_, ok := s.absentSince[id]
	return ok
}

// Hash returns a hash of the set of announced leaves.
func (s *State) Hash() uint64 { return s.hash }

// Leaves returns the announced leaves, ordered by instance.
func (s *State) Leaves(now time.Time) []Leave {
	leaves := make([]Leave, 0, len(s.absentSince))
	for id, since := range s.absentSince {
		l := Leave{Instance: id}
		if !since.IsZero() {
			l.AbsentFor = now.Sub(since)
		}
		leaves = append(leaves, l)
	}
	slices.SortFunc(leaves, func(a, b Leave) int { return cmp.Compare(a.Instance, b.Instance) })
	return leaves
}

// List returns the instance list. The caller must not change it.
func (s *State) List() []core.Instance { return s.list }

// View returns the current view, or nil without an instance list. If nothing but
// AsOf has changed since the last call, it returns a copy of previous with the new
// AsOf.
func (s *State) View(previous *View) *View {
	if !s.hasList {
		return nil
	}
	if !s.viewOutdated && previous != nil {
		v := *previous
		v.AsOf = s.viewAsOf
		return &v
	}
	s.viewOutdated = false
	announced := make(map[core.InstanceID]bool, len(s.absentSince))
	for id := range s.absentSince {
		announced[id] = true
	}
	v := Build(s.self, s.list, announced, s.viewAsOf)
	// The platform may list this daemon under another ID than its settings have.
	v.Daemons = slices.DeleteFunc(v.Daemons, func(i core.Instance) bool { return i.Address == s.selfAddress })
	return v
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
