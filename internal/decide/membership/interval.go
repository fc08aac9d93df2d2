package membership

import "time"

// maxPollsPerS is the limit on reads of one record per second by all daemons
// together.
const maxPollsPerS = 40

// PollInterval returns the interval at which each of the given number of daemons
// reads one record of the table service, such as the configuration pointer, so
// that they read it at most 40 times a second together.
func PollInterval(daemons int) time.Duration {
	return max(time.Second, time.Duration(daemons)*time.Second/maxPollsPerS)
}

// ListInterval returns the interval at which a daemon reads the instance list.
// It is half the poll interval, so that views in a small fleet stay much younger
// than MaxViewAge. In a large fleet, views are mostly refreshed by exchanges with
// peers.
func ListInterval(daemons int) time.Duration { return PollInterval(daemons) / 2 }

// UsageInterval returns the interval of usage reports: 1 s with up to 16 daemons,
// where the daemons' shares of a limit change most, and 2 s with more.
func UsageInterval(daemons int) time.Duration {
	if daemons <= 16 {
		return time.Second
	}
	return 2 * time.Second
}

const (
	// TickInterval is the interval at which a daemon checks whether its process
	// was paused.
	TickInterval = 100 * time.Millisecond
	// MaxTickGap is the longest gap between ticks that does not count as a pause.
	MaxTickGap = 500 * time.Millisecond
)

// PauseDetector detects pauses of the process by the times between its ticks.
type PauseDetector struct {
	lastMono time.Duration
	lastWall time.Time
	started  bool
}

// Tick takes the current monotonic and wall time, and reports whether the process
// was paused since the last call. It was if more than MaxTickGap passed by the
// monotonic clock, or if the two clocks differ by more than that, as after a
// suspension of the machine.
func (p *PauseDetector) Tick(mono time.Duration, wall time.Time) bool {
	elapsed, wallElapsed := mono-p.lastMono, wall.Sub(p.lastWall)
	first := !p.started
	p.lastMono, p.lastWall, p.started = mono, wall, true
	return !first && (elapsed > MaxTickGap || (wallElapsed-elapsed).Abs() > MaxTickGap)
}
