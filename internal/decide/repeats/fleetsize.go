package repeats

import "time"

// FleetSize keeps the number of daemons that may have sent repeats in the present
// window. It is the highest number of the window, since a daemon that has stopped may
// have used its part of the allowance before. It is not safe for concurrent use.
type FleetSize struct{ observed, reported recentMax }

// NewFleetSize returns the size of a fleet of which nothing is known.
func NewFleetSize(window time.Duration) *FleetSize {
	return &FleetSize{observed: recentMax{window: window}, reported: recentMax{window: window}}
}

// Observe records the number of daemons that this daemon knows to run, and the highest
// number that other daemons report.
func (s *FleetSize) Observe(now time.Time, running, reported int) {
	s.observed.add(now, running)
	s.reported.add(now, reported)
}

// Observed returns the highest number of daemons that this daemon has observed itself in
// the window. It is what it reports to others; if it also reported what it has heard from
// them, a number would never expire.
func (s *FleetSize) Observed(now time.Time) int { return s.observed.max(now) }

// Daemons returns the number of daemons that share a fixed allowance, 1 or more.
func (s *FleetSize) Daemons(now time.Time) int {
	return max(s.observed.max(now), s.reported.max(now), 1)
}

// recentMax is the highest of the numbers that were added in a window.
type recentMax struct {
	window time.Duration
	start  time.Time
	slots  [numSlots]int
	// latest is the number of slots from start to the latest one used.
	latest int64
}

func (m *recentMax) advance(now time.Time) *int {
	if m.start.IsZero() {
		m.start = now
	}
	slot := max(int64(now.Sub(m.start))/slotWidth(m.window), m.latest)
	for i := max(m.latest+1, slot-numSlots+1); i <= slot; i++ {
		m.slots[i%numSlots] = 0
	}
	m.latest = slot
	return &m.slots[slot%numSlots]
}

func (m *recentMax) add(now time.Time, n int) {
	slot := m.advance(now)
	*slot = max(*slot, n)
}

func (m *recentMax) max(now time.Time) int {
	m.advance(now)
	highest := 0
	for _, n := range m.slots {
		highest = max(highest, n)
	}
	return highest
}
