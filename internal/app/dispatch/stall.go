package dispatch

import (
	"sync"
	"time"
)

const (
	// A stream has stalled if it delivers no event for stallFactor times the pool's p99. It
	// then goes on at another endpoint if one takes it, see startHandover.
	stallFactor = 4
	// minStallSamples is the number of streams from which the p99 is used.
	minStallSamples = 20
	minStallLimit   = 100 * time.Millisecond
	// defaultGapLimit bounds the time between events until the p99 is used.
	// Engines deliver a token at least every 75 ms.
	defaultGapLimit = time.Second
	// stallRecheck is the time after which a stalled stream that stays at its endpoint looks
	// again for another one.
	stallRecheck = 500 * time.Millisecond
)

// stallWatch notices that the stream of an attempt delivers no event for too long.
type stallWatch struct {
	firstLimit, gapLimit, longestGap time.Duration
	// lastEvent is the time of the last event. It is the start of the attempt
	// before the first event, and the end of emit after a pause.
	lastEvent time.Time
	answering bool
	// stalled has a buffer of one and gets a value when the stream has stalled.
	stalled chan struct{}

	mu    sync.Mutex // guards the following
	timer *time.Timer
	// stallsAt is when the stream stalls; zero while no event is expected.
	stallsAt time.Time
	// left means that the stream goes on elsewhere, so that no more events count.
	left bool
}

func (w *stallWatch) arm(d time.Duration) {
	if d <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stallsAt = time.Now().Add(d)
	if w.timer == nil {
		w.timer = time.AfterFunc(d, w.expire)
		return
	}
	w.timer.Reset(d)
}

// expire reports a stream that has stalled.
func (w *stallWatch) expire() {
	if !w.hasStalled() {
		return
	}
	select {
	case w.stalled <- struct{}{}:
	default:
	}
}

// hasStalled reports whether the last event is too long ago.
func (w *stallWatch) hasStalled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hasStalledLocked()
}

func (w *stallWatch) hasStalledLocked() bool {
	return !w.stallsAt.IsZero() && !time.Now().Before(w.stallsAt)
}

// leave reports whether the stream is still stalled; no event counts after that.
func (w *stallWatch) leave() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = w.hasStalledLocked()
	return w.left
}

// hasLeft reports whether leave has returned true.
func (w *stallWatch) hasLeft() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.left
}

// recheck reports a stream that is still stalled once more after stallRecheck.
func (w *stallWatch) recheck() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hasStalledLocked() {
		w.timer.Reset(stallRecheck)
	}
}

func (w *stallWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stallsAt = time.Time{}
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *stallWatch) pause() { w.stop() }

func (w *stallWatch) resume() {
	w.lastEvent = time.Now()
	w.arm(w.gapLimit)
}

// recordEvent records the arrival of an event. For the first one it calls
// onFirst with the time since the start.
func (w *stallWatch) recordEvent(onFirst func(time.Duration)) {
	now := time.Now()
	if !w.answering {
		w.answering = true
		onFirst(now.Sub(w.lastEvent))
	} else {
		w.longestGap = max(w.longestGap, now.Sub(w.lastEvent))
	}
	w.lastEvent = now
	w.arm(w.gapLimit)
}
