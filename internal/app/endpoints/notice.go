package endpoints

import (
	"sync"
	"sync/atomic"
	"time"

	"eelgrassgrade/internal/core"
)

const (
	// MaxPause bounds how long an endpoint may ask to be left alone.
	MaxPause = time.Hour
	// leavingNoticeLife is how long the word of an endpoint that is in no list is kept: the
	// platform may list it again after an outage.
	leavingNoticeLife = 10 * time.Minute
	// maxNotices bounds the endpoints whose word is kept.
	maxNotices = 4096
)

// Notice is what an endpoint says of itself in an answer.
type Notice struct {
	// Leaving says that it leaves and wants no new work.
	Leaving bool
	// Pause is how long it wants nothing from this daemon; 0 if it does not say.
	Pause time.Duration
}

// notices keeps the word of each endpoint's incarnation.
type notices struct {
	// pauseCount is the size of rest: most of the time nobody asks for a pause.
	pauseCount atomic.Int32

	mu      sync.RWMutex
	leaving map[core.InstanceID]leavingNotice
	pauses  map[core.InstanceID]pauseNotice
}

type leavingNotice struct {
	startedMs  int64
	receivedAt time.Time
}

type pauseNotice struct {
	startedMs int64
	until     time.Time
}

// HandleNotice takes in what an endpoint says of itself. From then on an endpoint that
// leaves is in no view, whatever the platform's list says of this incarnation.
func (s *Set) HandleNotice(e core.Endpoint, w Notice) {
	if !w.Leaving && w.Pause <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	listed, ok := s.listed[e.ID]
	if !ok || listed.Address != e.Address {
		return
	}
	now := s.now()
	if w.Pause > 0 && s.notices.addPause(now, listed, min(w.Pause, MaxPause)) {
		s.onChange(s.view.Load(), []Change{{listed, "asks for a pause"}})
	}
	if w.Leaving && s.notices.addLeaving(now, listed) {
		s.publish([]Change{{listed, "says that it leaves"}})
	}
}

// PausedUntil returns until when an endpoint wants nothing from this daemon. The
// zero time means that it has not said so.
func (s *Set) PausedUntil(e Entry) time.Time {
	if s.notices.pauseCount.Load() == 0 {
		return time.Time{}
	}
	s.notices.mu.RLock()
	defer s.notices.mu.RUnlock()
	if r, ok := s.notices.pauses[e.ID]; ok && r.startedMs == e.StartedMs {
		return r.until
	}
	return time.Time{}
}

// addPause says whether the endpoint was not asking for a pause already.
func (w *notices) addPause(now time.Time, e Entry, d time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, r := range w.pauses {
		if now.After(r.until) {
			delete(w.pauses, id)
		}
	}
	r := w.pauses[e.ID]
	if r.startedMs == e.StartedMs && r.until.After(now.Add(d)) || len(w.pauses) >= maxNotices {
		return false
	}
	w.pauses[e.ID] = pauseNotice{e.StartedMs, now.Add(d)}
	w.pauseCount.Store(int32(len(w.pauses)))
	return r.startedMs != e.StartedMs || !r.until.After(now)
}

// addLeaving says whether the endpoint's word is new.
func (w *notices) addLeaving(now time.Time, e Entry) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, l := range w.leaving {
		if now.Sub(l.receivedAt) > leavingNoticeLife {
			delete(w.leaving, id)
		}
	}
	old, known := w.leaving[e.ID]
	if known && old.startedMs == e.StartedMs || len(w.leaving) >= maxNotices {
		return false
	}
	w.leaving[e.ID] = leavingNotice{e.StartedMs, now}
	return true
}

// isLeaving says whether this incarnation has said that it leaves.
func (w *notices) isLeaving(e Entry) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	l, ok := w.leaving[e.ID]
	return ok && l.startedMs == e.StartedMs
}
