package endpoints

import (
	"sync"
	"sync/atomic"
	"time"

	"eelgrassgrade/internal/core"
)

const (
	// MaxPause is the longest pause that an endpoint can ask for.
	MaxPause = time.Hour
	// leavingNoticeLife is how long a leaving notice is kept at least, since the
	// platform may list the endpoint again after an outage.
	leavingNoticeLife = 10 * time.Minute
	// maxNotices is the limit on endpoints whose leaving notices are kept, and on
	// those whose pauses are.
	maxNotices = 4096
)

// Notice is what an endpoint states about itself in an answer.
type Notice struct {
	// Leaving says that the endpoint is leaving and must get no new work.
	Leaving bool
	// Pause is how long this daemon must send the endpoint nothing, or 0.
	Pause time.Duration
}

// notices keeps the notices of endpoints. Each applies to one incarnation.
type notices struct {
	// pauseCount is the size of pauses. It spares PausedUntil the lock most of the
	// time, when there are no pauses.
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

// HandleNotice records a notice of e. The incarnation of an endpoint that states that
// it is leaving is in no view from then on, whatever the platform's list says.
func (s *Set) HandleNotice(e core.Endpoint, notice Notice) {
	if !notice.Leaving && notice.Pause <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	listed, ok := s.listed[e.ID]
	if !ok || listed.Address != e.Address {
		return
	}
	now := s.now()
	if notice.Pause > 0 && s.notices.addPause(now, listed, min(notice.Pause, MaxPause)) {
		s.onChange(s.view.Load(), []Change{{listed, "asks for a pause"}})
	}
	if notice.Leaving && s.notices.addLeaving(now, listed) {
		s.publish([]Change{{listed, "says that it leaves"}})
	}
}

// PausedUntil returns the end of the pause that the endpoint last asked for, which may
// be past, or the zero time if it asked for none.
func (s *Set) PausedUntil(e Entry) time.Time {
	if s.notices.pauseCount.Load() == 0 {
		return time.Time{}
	}
	s.notices.mu.RLock()
	defer s.notices.mu.RUnlock()
	if p, ok := s.notices.pauses[e.ID]; ok && p.startedMs == e.StartedMs {
		return p.until
	}
	return time.Time{}
}

// addPause starts or prolongs a pause of the endpoint, for d from now. It reports
// whether a pause started. It does nothing if the current pause ends later or
// maxNotices pauses are kept.
func (n *notices) addPause(now time.Time, e Entry, d time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, p := range n.pauses {
		if now.After(p.until) {
			delete(n.pauses, id)
		}
	}
	old := n.pauses[e.ID]
	if old.startedMs == e.StartedMs && old.until.After(now.Add(d)) || len(n.pauses) >= maxNotices {
		return false
	}
	n.pauses[e.ID] = pauseNotice{e.StartedMs, now.Add(d)}
	n.pauseCount.Store(int32(len(n.pauses)))
	return old.startedMs != e.StartedMs || !old.until.After(now)
}

// addLeaving records that the endpoint is leaving. It reports whether that was not
// known before.
func (n *notices) addLeaving(now time.Time, e Entry) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, l := range n.leaving {
		if now.Sub(l.receivedAt) > leavingNoticeLife {
			delete(n.leaving, id)
		}
	}
	old, known := n.leaving[e.ID]
	if known && old.startedMs == e.StartedMs || len(n.leaving) >= maxNotices {
		return false
	}
	n.leaving[e.ID] = leavingNotice{e.StartedMs, now}
	return true
}

// isLeaving reports whether this incarnation of the endpoint stated that it is
// leaving.
func (n *notices) isLeaving(e Entry) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	l, ok := n.leaving[e.ID]
	return ok && l.startedMs == e.StartedMs
}
