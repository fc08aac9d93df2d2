// Package endpoints keeps a daemon's view of the endpoints of all pools that may get
// work. The view follows from the platform's list of endpoints and from notices in
// the endpoints' answers.
package endpoints

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"eelgrassgrade/internal/core"
)

// returnGrace is how long after an outage of the store an entry that disappeared may
// take to be listed again before it counts as gone. The platform states
// about two seconds.
const returnGrace = 2300 * time.Millisecond

// Entry is the entry of one endpoint in the platform's list.
type Entry struct {
	core.Endpoint
	// Leaving endpoints get no new work.
	Leaving bool
	// StartedMs is when this incarnation of the endpoint started, in Unix
	// milliseconds, or 0 if that is not known.
	StartedMs int64
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// ColdFor is how much longer the endpoint stays cold by its own word when the entry was
	// written. It may be absurd.
	ColdFor time.Duration
	// Written is the version of the list with which the entry was last written.
	Written int64
}

// View is an immutable snapshot of the endpoints that may get work.
type View struct {
	ByPool map[core.PoolID][]Entry
	ByID   map[core.InstanceID]Entry
}

// Set builds views from the platform's lists and the endpoints' notices. It is safe
// for concurrent use.
type Set struct {
	now      func() time.Time
	onChange func(*View, []Change)
	view     atomic.Pointer[View]
	notices  notices

	mu sync.Mutex
	// listed holds the entries of the last list and those in their return grace.
	listed map[core.InstanceID]Entry
	// graceEnds holds the ends of the return graces.
	graceEnds map[core.InstanceID]time.Time
	// evacuated holds the data centres whose endpoints get no work.
	evacuated map[core.DataCenterID]bool
	// namedPools holds the pools that the configuration names; nil before there is one.
	namedPools map[core.PoolID]bool
}

// Change is a change of one endpoint.
type Change struct {
	Entry Entry
	// Kind is "listed", "leaving", "restarted" or "gone" for a change of the list,
	// "evacuated" or "taken back" for one of its data centre, "asks for a pause" or "says
	// that it leaves" for a notice, "shown" or "hidden" if its address now counts for it or
	// for another endpoint because of the pools that the configuration names.
	Kind string
}

// New returns an empty set that uses now as its clock. onChange is called with the
// current view after each Update, SetEvacuated or HandleNotice that brought changes. It
// must not call these methods or Pending.
func New(now func() time.Time, onChange func(*View, []Change)) *Set {
	s := &Set{now: now, onChange: onChange, listed: map[core.InstanceID]Entry{}, graceEnds: map[core.InstanceID]time.Time{},
		notices: notices{leaving: map[core.InstanceID]leavingNotice{}, pauses: map[core.InstanceID]pauseNotice{}}}
	s.view.Store(&View{ByPool: map[core.PoolID][]Entry{}, ByID: map[core.InstanceID]Entry{}})
	return s
}

// View returns the current view.
func (s *Set) View() *View { return s.view.Load() }

// Update replaces the list. outageEnd is the end of the last outage of the store, or
// the zero time if there was none. An entry that is missing from the list within
// returnGrace after it is kept until then.
func (s *Set) Update(list []Entry, outageEnd time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	next := make(map[core.InstanceID]Entry, len(list))
	var changes []Change
	for _, e := range list {
		next[e.ID] = e
		old, ok := s.listed[e.ID]
		switch {
		case !ok:
			changes = append(changes, Change{e, "listed"})
		case e.Leaving && !old.Leaving:
			changes = append(changes, Change{e, "leaving"})
		case e.StartedMs != old.StartedMs || e.Address != old.Address:
			changes = append(changes, Change{e, "restarted"})
		}
		delete(s.graceEnds, e.ID)
	}
	for id, e := range s.listed {
		if _, ok := next[id]; ok {
			continue
		}
		graceEnd, inGrace := s.graceEnds[id]
		if !inGrace && !outageEnd.IsZero() && now.Before(outageEnd.Add(returnGrace)) {
			graceEnd, inGrace = outageEnd.Add(returnGrace), true
			s.graceEnds[id] = graceEnd
		}
		if inGrace && now.Before(graceEnd) && !e.Leaving {
			next[id] = e
			continue
		}
		delete(s.graceEnds, id)
		changes = append(changes, Change{e, "gone"})
	}
	s.listed = next
	s.publish(changes)
}

// SetEvacuated replaces the data centres whose endpoints get no work. Requests that run
// there are not affected.
func (s *Set) SetEvacuated(dataCenters []core.DataCenterID) {
	next := make(map[core.DataCenterID]bool, len(dataCenters))
	for _, dc := range dataCenters {
		next[dc] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []Change
	for _, e := range s.listed {
		switch {
		case next[e.DataCenter] && !s.evacuated[e.DataCenter]:
			changes = append(changes, Change{e, "evacuated"})
		case s.evacuated[e.DataCenter] && !next[e.DataCenter]:
			changes = append(changes, Change{e, "taken back"})
		}
	}
	s.evacuated = next
	s.publish(changes)
}

// SetNamedPools replaces the pools that the configuration names.
func (s *Set) SetNamedPools(pools map[core.PoolID]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.namedPools != nil && maps.Equal(s.namedPools, pools) {
		return
	}
	s.namedPools = pools
	old, next := s.view.Load(), s.buildView()
	var changes []Change
	for id, e := range s.listed {
		_, before := old.ByID[id]
		_, now := next.ByID[id]
		switch {
		case now && !before:
			changes = append(changes, Change{e, "shown"})
		case before && !now:
			changes = append(changes, Change{e, "hidden"})
		}
	}
	s.publish(changes)
}

// Pending reports whether an entry is in its return grace. Update must be called
// again, even with the same list, to remove the entry when the grace ends.
func (s *Set) Pending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.graceEnds) > 0
}

// publish builds the view and passes it to onChange if there are changes. s.mu is held.
func (s *Set) publish(changes []Change) {
	v := s.buildView()
	s.view.Store(v)
	if len(changes) > 0 {
		s.onChange(v, changes)
	}
}

// buildView builds the view from the entries and notices. s.mu is held.
func (s *Set) buildView() *View {
	v := &View{ByPool: map[core.PoolID][]Entry{}, ByID: make(map[core.InstanceID]Entry, len(s.listed))}
	byAddress := map[string]Entry{}
	for _, e := range s.listed {
		if other, ok := byAddress[e.Address]; !ok || s.precedes(e, other) {
			byAddress[e.Address] = e
		}
	}
	for id, e := range s.listed {
		if e.Leaving || s.evacuated[e.DataCenter] || byAddress[e.Address].ID != id || s.notices.isLeaving(e) {
			continue
		}
		v.ByID[id] = e
		v.ByPool[e.Pool] = append(v.ByPool[e.Pool], e)
	}
	return v
}

// precedes reports whether the address that two endpoints list belongs to e: it belongs to
// the one that started last. An entry of a pool that the configuration does not name may
// come from another writer, and takes no address from an endpoint of a pool that it names.
func (s *Set) precedes(e, other Entry) bool {
	if named := s.namedPools == nil || s.namedPools[e.Pool]; named != (s.namedPools == nil || s.namedPools[other.Pool]) {
		return named
	}
	return e.StartedMs > other.StartedMs
}
