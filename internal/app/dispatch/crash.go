package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/decide/health"
	"eelgrassgrade/internal/decide/quarantine"
)

const (
	// dialLimit bounds the fresh dial after a cut connection.
	dialLimit = 250 * time.Millisecond
	// cutGrace is how long the connections of one crash take to be seen cut,
	// and a crashed process to stop accepting connections.
	cutGrace = 25 * time.Millisecond
	// settleTime is how long the suspects of a crash take to be known to all
	// daemons: a few rounds of messages.
	settleTime = 40 * time.Millisecond
	// maxContentEndpoints bounds the endpoints that run equal content at the
	// same time, so that content which crashes endpoints takes down two at most.
	maxContentEndpoints = 2
	// provenGeneration bounds the contents that are remembered as harmless, per
	// pool: two generations of 64 KB.
	provenGeneration = 1024
)

var closed = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// suspects tracks which contents run where.
type suspects struct {
	mu sync.Mutex
	// runs lists the endpoints of the calls in progress by content, one entry a call.
	runs map[[32]byte][]*endpoint
	// wake is closed and replaced when a call ends.
	wake chan struct{}
	// proven holds contents that ran to a successful end: popular ones may run
	// on any number of endpoints. before is the generation before.
	proven, before map[[32]byte]struct{}
}

func (s *suspects) init() {
	s.runs = map[[32]byte][]*endpoint{}
	s.wake = make(chan struct{})
	s.proven = map[[32]byte]struct{}{}
}

// prove notes a successful run of a content.
func (s *suspects) prove(fingerprint [32]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.proven) >= provenGeneration {
		s.before, s.proven = s.proven, map[[32]byte]struct{}{}
	}
	s.proven[fingerprint] = struct{}{}
}

// isProven reports whether a content ran to a successful end lately. The
// caller holds s.mu.
func (s *suspects) isProven(fingerprint [32]byte) bool {
	if _, ok := s.proven[fingerprint]; ok {
		return true
	}
	_, ok := s.before[fingerprint]
	return ok
}

// doubt forgets successful runs of contents that were in a crash.
func (s *suspects) doubt(list []quarantine.InFlight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range list {
		delete(s.proven, f.Fingerprint)
		delete(s.before, f.Fingerprint)
	}
}

// leave ends a call. The caller holds s.mu.
func (s *suspects) leave(fingerprint [32]byte, e *endpoint) {
	on := s.runs[fingerprint]
	if i := slices.Index(on, e); i >= 0 {
		on = slices.Delete(on, i, i+1)
	}
	if len(on) == 0 {
		delete(s.runs, fingerprint)
	} else {
		s.runs[fingerprint] = on
	}
	close(s.wake)
	s.wake = make(chan struct{})
}

// waitAlone waits until no call with the content is in progress: a suspect
// runs once at a time, or its copies would take down an endpoint each.
func (s *suspects) waitAlone(ctx context.Context, fingerprint [32]byte) error {
	for {
		s.mu.Lock()
		busy, wake := len(s.runs[fingerprint]) > 0, s.wake
		s.mu.Unlock()
		if !busy {
			return nil
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// incident is the investigation of cut connections on one endpoint.
type incident struct {
	started time.Time
	// inFlight is what the endpoint ran when the first connection was cut.
	inFlight []*flight
	done     chan struct{}
	// crash is the verdict, set before done is closed.
	crash bool
}

// crashed reports whether the cut of the flight's connection is part of a
// crash of the endpoint. It waits for the verdict at most until ctx ends.
func (p *pool) crashed(ctx context.Context, e *endpoint, f *flight) bool {
	if p.d.Dialer == nil {
		return false
	}
	e.mu.Lock()
	f.cut = true
	inc := e.incident
	if inc == nil {
		inc = &incident{started: time.Now(), done: make(chan struct{})}
		for x := range e.flights {
			inc.inFlight = append(inc.inFlight, x)
		}
		e.incident = inc
		go p.investigate(e, inc)
	}
	e.mu.Unlock()
	select {
	case <-inc.done:
		return inc.crash
	case <-ctx.Done():
		return false
	}
}

// investigate decides whether the endpoint crashed: two or more calls in
// flight were cut, or the only one, and a fresh connection is refused.
func (p *pool) investigate(e *endpoint, inc *incident) {
	refused := p.refuses(e)
	if !refused {
		time.Sleep(cutGrace)
		refused = p.refuses(e)
	} else if len(inc.inFlight) > 1 {
		time.Sleep(cutGrace)
	}
	var found []quarantine.InFlight
	cut := 0
	e.mu.Lock()
	for _, f := range inc.inFlight {
		_, running := e.flights[f]
		if f.cut {
			cut++
		}
		if f.cut || running {
			found = appendContent(found, f)
		}
	}
	inc.crash = refused && (cut >= 2 || len(inc.inFlight) == 1)
	e.incident = nil
	e.mu.Unlock()
	if inc.crash {
		p.counts.crashes.Inc()
		p.eject(e, health.ByCrash)
		p.d.Quarantine.Crash(p.id, found)
		p.doubt(found)
		p.tellPeers(found)
		// The other daemons learn the suspects before any of them runs again.
		time.Sleep(settleTime)
	}
	close(inc.done)
}

// appendContent adds a flight's content once.
func appendContent(list []quarantine.InFlight, f *flight) []quarantine.InFlight {
	for i := range list {
		if list[i].Fingerprint == f.fingerprint {
			list[i].Suspect = list[i].Suspect || f.suspect
			return list
		}
	}
	return append(list, quarantine.InFlight{Fingerprint: f.fingerprint, Suspect: f.suspect})
}

func (p *pool) refuses(e *endpoint) bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialLimit)
	defer cancel()
	return errors.Is(p.d.Dialer.Dial(ctx, e.Endpoint), ErrRefused)
}

// cleared notes a successful run of the content.
func (p *pool) cleared(fingerprint [32]byte) {
	p.prove(fingerprint)
	if state, _ := p.d.Quarantine.Lookup(p.id, fingerprint); state != quarantine.Suspect {
		return
	}
	p.d.Quarantine.Clear(p.id, fingerprint)
	p.tellPeers([]quarantine.InFlight{{Fingerprint: fingerprint}})
}

func (p *pool) tellPeers(changed []quarantine.InFlight) {
	if p.d.Suspects == nil {
		return
	}
	var list []quarantine.Entry
	for _, f := range changed {
		if e, ok := p.d.Quarantine.Get(p.id, f.Fingerprint); ok {
			list = append(list, e)
		}
	}
	p.d.Suspects(list)
}
