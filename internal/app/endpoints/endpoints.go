// Package endpoints keeps the view of the endpoints of all pools that the rest
// of a daemon reads: who may get work, and who leaves.
package endpoints

import (
	"sync"
	"sync/atomic"
	"time"

	"eelgrassgrade/internal/core"
)

// returnGrace is how long an entry that vanished around an outage of the store
// may take to come back before it counts as gone. The platform states about
// two seconds.
const returnGrace = 2300 * time.Millisecond

// Entry is what the platform's list says of one endpoint.
type Entry struct {
	core.Endpoint
	// Leaving endpoints get no new work.
	Leaving bool
	// StartedMs is the start of the incarnation, Unix milliseconds, or 0.
	StartedMs int64
	// Slots is the number of requests that it runs at once.
	Slots int
}

// View is an immutable list of endpoints by pool. Only endpoints that may get
// work are in it.
type View struct {
	ByPool map[core.PoolID][]Entry
	ByID   map[core.InstanceID]Entry
}

// Set builds views from lists.
type Set struct {
	now      func() time.Time
	onChange func(*View, []Change)
	view     atomic.Pointer[View]
	notices  notices

	mu        sync.Mutex
	listed    map[core.InstanceID]Entry
	graceEnds map[core.InstanceID]time.Time // entries in their return grace, with its end
}

// Change is an endpoint that came, left or is leaving.
type Change struct {
	Entry Entry
	Kind  string
}

// New returns an empty set. changed is called after each change of the view.
func New(now func() time.Time, changed func(*View, []Change)) *Set {
	s := &Set{now: now, onChange: changed, listed: map[core.InstanceID]Entry{}, graceEnds: map[core.InstanceID]time.Time{},
		notices: notices{leaving: map[core.InstanceID]leavingNotice{}, pauses: map[core.InstanceID]pauseNotice{}}}
	s.view.Store(&View{ByPool: map[core.PoolID][]Entry{}, ByID: map[core.InstanceID]Entry{}})
	return s
}

// View returns the current view.
func (s *Set) View() *View { return s.view.Load() }

// Update takes in the list. outageEnd is when the store last came back after an
// outage, or the zero time.
func (s *Set) Update(list []Entry, outageEnd time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	next := make(map[core.InstanceID]Entry, len(list))
	var changes []Change
	for _, e := range list {
		next[e.ID] = e
		was, ok := s.listed[e.ID]
		switch {
		case !ok:
			changes = append(changes, Change{e, "listed"})
		case e.Leaving && !was.Leaving:
			changes = append(changes, Change{e, "leaving"})
		case e.StartedMs != was.StartedMs || e.Address != was.Address:
			changes = append(changes, Change{e, "restarted"})
		}
		delete(s.graceEnds, e.ID)
	}
	for id, e := range s.listed {
		if _, ok := next[id]; ok {
			continue
		}
		end, waiting := s.graceEnds[id]
		if !waiting && !outageEnd.IsZero() && now.Before(outageEnd.Add(returnGrace)) {
			end, waiting = outageEnd.Add(returnGrace), true
			s.graceEnds[id] = end
		}
		if waiting && now.Before(end) && !e.Leaving {
			next[id] = e
			continue
		}
		delete(s.graceEnds, id)
		changes = append(changes, Change{e, "gone"})
	}
	s.listed = next
	s.publish(changes)
}

// Pending says whether an entry waits for its return grace to end; Update has
// to be called again then.
func (s *Set) Pending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.graceEnds) > 0
}

func (s *Set) publish(changes []Change) {
	v := &View{ByPool: map[core.PoolID][]Entry{}, ByID: make(map[core.InstanceID]Entry, len(s.listed))}
	// An address belongs to the endpoint that started last.
	owner := map[string]Entry{}
	for _, e := range s.listed {
		if o, ok := owner[e.Address]; !ok || e.StartedMs > o.StartedMs {
			owner[e.Address] = e
		}
	}
	for id, e := range s.listed {
		if e.Leaving || owner[e.Address].ID != id || s.notices.isLeaving(e) {
			continue
		}
		v.ByID[id] = e
		v.ByPool[e.Pool] = append(v.ByPool[e.Pool], e)
	}
	s.view.Store(v)
	if len(changes) > 0 {
		s.onChange(v, changes)
	}
}
