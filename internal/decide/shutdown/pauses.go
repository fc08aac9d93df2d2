package shutdown

import (
	"sync"
	"time"
)

const (
	// WatchInterval is the interval at which Pauses is told that the process runs.
	WatchInterval = 100 * time.Millisecond
	// minPause is the shortest time between two of these calls that counts as a pause.
	minPause = 250 * time.Millisecond
	// handlingTime is the time within which a process that runs again handles a signal.
	handlingTime = 200 * time.Millisecond
)

// Pauses knows the latest pause of the process. A signal that comes during a pause is handled
// after it, but the time until SIGKILL runs from when it was sent. It may be used by several
// goroutines.
type Pauses struct {
	mu                    sync.Mutex
	lastRan, began, ended time.Time
}

// Observe records that the process runs.
func (p *Pauses) Observe(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.lastRan.IsZero() && now.Sub(p.lastRan) >= minPause {
		p.began, p.ended = p.lastRan, now
	}
	p.lastRan = now
}

// StopBegan returns the time from which on the time until SIGKILL is counted if SIGTERM is
// handled now: the begin of a pause that has just ended, but half of the grace ago at most,
// since a longer pause more likely began well before the signal.
func (p *Pauses) StopBegan(now time.Time, grace time.Duration) time.Time {
	p.Observe(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended.IsZero() || now.Sub(p.ended) > handlingTime {
		return now
	}
	if earliest := now.Add(-grace / 2); p.began.Before(earliest) {
		return earliest
	}
	return p.began
}
