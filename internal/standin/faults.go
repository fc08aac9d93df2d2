// Package standin implements small stand-ins for the endpoints and platform
// services that a daemon calls: model engines, stage endpoints, plain services,
// the table service, the object store and the instance list. Each stand-in has a
// control port through which faults are injected.
package standin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Faults is the set of faults that are active in a stand-in. The zero value has
// none.
type Faults struct {
	// Outage refuses every request with status 503.
	Outage bool `json:"outage"`
	// Hang accepts requests and never answers them.
	Hang bool `json:"hang"`
	// Freeze suspends all work, including work in progress, until it is switched off.
	Freeze bool `json:"freeze"`
	// DelayMs delays each request; JitterMs adds a random delay of less than its
	// value.
	DelayMs  int `json:"delay_ms"`
	JitterMs int `json:"jitter_ms"`
	// DropAnswers closes the connection of the next n writes after they took effect,
	// without an answer.
	DropAnswers int `json:"drop_answers"`
	// DropBefore closes the connection of the next n calls before they take effect.
	DropBefore int `json:"drop_before"`
	// SlowFactor multiplies the service, prefill and token times of an endpoint; 0
	// means 1.
	SlowFactor float64 `json:"slow_factor"`
	// Truncate closes the connection in the middle of the next n answers.
	Truncate int `json:"truncate"`
	// CutStreams closes the connection of the next n streams after CutAfterTokens
	// tokens.
	CutStreams     int `json:"cut_streams"`
	CutAfterTokens int `json:"cut_after_tokens"`
	// Duplicate sends the next n answers twice on the same connection. If the answer
	// is a stream, each event with a token is sent twice.
	Duplicate int `json:"duplicate"`
	// SwapAnswers answers the next n calls with the call header and the answer of
	// another call.
	SwapAnswers int `json:"swap_answers"`
	// RefuseStatus refuses every call with this status before it starts; 0 refuses
	// none.
	RefuseStatus int `json:"refuse_status"`
}

// faultState holds the active faults of a stand-in. Its zero value has none. It is
// the handler of POST /faults of the control port.
type faultState struct {
	mu     sync.Mutex
	faults Faults
	// unfrozen is closed when Freeze is switched off; it is nil while Freeze is off.
	unfrozen chan struct{}
}

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	switch {
	case f.Freeze && s.unfrozen == nil:
		s.unfrozen = make(chan struct{})
	case !f.Freeze && s.unfrozen != nil:
		close(s.unfrozen)
		s.unfrozen = nil
	}
}

// consume decrements the fault counter that count selects. It returns false if
// the counter is 0.
func (s *faultState) consume(count func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := count(&s.faults)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// waitWhileFrozen blocks while Freeze is on. It returns false if done is closed
// first.
func (s *faultState) waitWhileFrozen(done <-chan struct{}) bool {
	s.mu.Lock()
	unfrozen := s.unfrozen
	s.mu.Unlock()
	if unfrozen == nil {
		return true
	}
	select {
	case <-unfrozen:
		return true
	case <-done:
		return false
	}
}

// ServeHTTP replaces the active faults with those in the request body.
func (s *faultState) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(r.Body)
	// With a misspelt name that is ignored, a scenario would pass without its fault.
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.set(f)
	w.WriteHeader(http.StatusNoContent)
}

// abortConnection closes the connection of the current request. It doesn't return.
func abortConnection() { panic(http.ErrAbortHandler) }

// sleepContext sleeps for d. It returns false if ctx ends first.
func sleepContext(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// applyRequestFaults applies the faults that affect every request to a stand-in:
// Freeze, Hang, the delays and Outage. It returns false if it has answered the
// request.
func (s *faultState) applyRequestFaults(w http.ResponseWriter, r *http.Request) bool {
	if !s.waitWhileFrozen(r.Context().Done()) {
		abortConnection()
	}
	f := s.get()
	if f.Hang {
		<-r.Context().Done()
		abortConnection()
	}
	d := time.Duration(f.DelayMs) * time.Millisecond
	if f.JitterMs > 0 {
		d += time.Duration(rand.IntN(f.JitterMs)) * time.Millisecond
	}
	if !sleepContext(r.Context(), d) {
		abortConnection()
	}
	if f.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// applyCallFaults applies the faults that strike before a call takes effect: those
// of applyRequestFaults, RefuseStatus and DropBefore. It returns false if it has
// answered the call.
func (s *faultState) applyCallFaults(w http.ResponseWriter, r *http.Request) bool {
	if !s.applyRequestFaults(w, r) {
		return false
	}
	if status := s.get().RefuseStatus; status != 0 {
		http.Error(w, "refused", status)
		return false
	}
	if s.consume(func(f *Faults) *int { return &f.DropBefore }) {
		abortConnection()
	}
	return true
}

// withRequestFaults returns a handler that applies the request faults before h.
func (s *faultState) withRequestFaults(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.applyRequestFaults(w, r) {
			h(w, r)
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
