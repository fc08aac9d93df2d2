package shutdown

import "time"

// timesWindow is the length of one of the two windows that Times keeps.
const timesWindow = 15 * time.Second

// Times keeps the evidence behind an estimate: how many answers have ended in the last 15
// to 30 s, and how long the longest took. Averages hide the rare long ones, which are those
// that a stop cuts.
type Times struct {
	began         time.Time
	latest        time.Time
	current, last timesOfWindow
}

type timesOfWindow struct {
	longest time.Duration
	samples int
}

// Observe records an answer that took d.
func (t *Times) Observe(now time.Time, d time.Duration) {
	t.advance(now)
	t.current.longest = max(t.current.longest, d)
	t.current.samples++
	t.latest = now
}

// Estimate returns the evidence at a time, without an expected time.
func (t *Times) Estimate(now time.Time) Estimate {
	t.advance(now)
	return Estimate{Longest: max(t.current.longest, t.last.longest), Samples: t.current.samples + t.last.samples, Age: now.Sub(t.latest)}
}

// advance begins a new window if the current one has ended.
func (t *Times) advance(now time.Time) {
	switch passed := now.Sub(t.began); {
	case passed < timesWindow:
		return
	case passed < 2*timesWindow:
		t.last = t.current
	default:
		t.last = timesOfWindow{}
	}
	t.began, t.current = now, timesOfWindow{}
}
