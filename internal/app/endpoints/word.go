package endpoints

import (
	"sync"
	"sync/atomic"
	"time"

	"eelgrassgrade/internal/core"
)

const (
	// MaxRest bounds how long an endpoint may ask to be left alone.
	MaxRest = time.Hour
	// wordLife is how long the word of an endpoint that is in no list is kept: the
	// platform may list it again after an outage.
	wordLife = 10 * time.Minute
	// maxWords bounds the endpoints whose word is kept.
	maxWords = 4096
)

// Word is what an endpoint says of itself in an answer.
type Word struct {
	// Leaving says that it leaves and wants no new work.
	Leaving bool
	// Rest is how long it wants nothing from this daemon; 0 if it does not say.
	Rest time.Duration
}

// words keeps the word of each endpoint's incarnation.
type words struct {
	// resting is the size of rest: most of the time nobody asks for a pause.
	resting atomic.Int32

	mu   sync.RWMutex
	left map[core.InstanceID]leavingWord
	rest map[core.InstanceID]restWord
}

type leavingWord struct {
	born int64
	at   time.Time
}

type restWord struct {
	born  int64
	until time.Time
}

// Heard takes in what an endpoint says of itself. From then on an endpoint that
// leaves is in no view, whatever the platform's list says of this incarnation.
func (s *Set) Heard(e core.Endpoint, w Word) {
	if !w.Leaving && w.Rest <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	listed, ok := s.listed[e.ID]
	if !ok || listed.Address != e.Address {
		return
	}
	now := s.now()
	if w.Rest > 0 && s.words.setRest(now, listed, min(w.Rest, MaxRest)) {
		s.changed(s.view.Load(), []Change{{listed, "asks for a pause"}})
	}
	if w.Leaving && s.words.setLeft(now, listed) {
		s.publish([]Change{{listed, "says that it leaves"}})
	}
}

// RestUntil returns until when an endpoint wants nothing from this daemon. The
// zero time means that it has not said so.
func (s *Set) RestUntil(e Entry) time.Time {
	if s.words.resting.Load() == 0 {
		return time.Time{}
	}
	s.words.mu.RLock()
	defer s.words.mu.RUnlock()
	if r, ok := s.words.rest[e.ID]; ok && r.born == e.Born {
		return r.until
	}
	return time.Time{}
}

// setRest says whether the endpoint was not asking for a pause already.
func (w *words) setRest(now time.Time, e Entry, d time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, r := range w.rest {
		if now.After(r.until) {
			delete(w.rest, id)
		}
	}
	r := w.rest[e.ID]
	if r.born == e.Born && r.until.After(now.Add(d)) || len(w.rest) >= maxWords {
		return false
	}
	w.rest[e.ID] = restWord{e.Born, now.Add(d)}
	w.resting.Store(int32(len(w.rest)))
	return r.born != e.Born || !r.until.After(now)
}

// setLeft says whether the endpoint's word is new.
func (w *words) setLeft(now time.Time, e Entry) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, l := range w.left {
		if now.Sub(l.at) > wordLife {
			delete(w.left, id)
		}
	}
	old, known := w.left[e.ID]
	if known && old.born == e.Born || len(w.left) >= maxWords {
		return false
	}
	w.left[e.ID] = leavingWord{e.Born, now}
	return true
}

// leaves says whether this incarnation has said that it leaves.
func (w *words) leaves(e Entry) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	l, ok := w.left[e.ID]
	return ok && l.born == e.Born
}
