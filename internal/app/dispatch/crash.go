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
	// dialTimeout bounds the dial that tests an endpoint after a connection was cut.
	dialTimeout = 250 * time.Millisecond
	// cutGrace is the time after a crash within which all of its cut connections
	// are detected and the crashed process stops accepting connections.
	cutGrace = 25 * time.Millisecond
	// suspectPropagationTime is the time until all daemons know the suspects of
	// a crash: a few rounds of messages.
	suspectPropagationTime = 40 * time.Millisecond
	// maxContentEndpoints bounds the endpoints that run equal content at the
	// same time, so that content that crashes endpoints takes down at most two.
	maxContentEndpoints = 2
	// maxProvenContents bounds each of the two generations of contents that a
	// pool remembers as harmless; a generation takes 64 KB.
	maxProvenContents = 1024
)

// closedChan is always ready to receive from.
var closedChan = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// contentTracker tracks on which endpoints contents run, and which contents
// have run successfully. Contents are identified by their fingerprints.
type contentTracker struct {
	mu sync.Mutex
	// runningOn lists the endpoints that run a content, with one entry for each
	// call in progress.
	runningOn map[[32]byte][]*endpoint
	// runEnded is closed and replaced when a call ends.
	runEnded chan struct{}
	// proven holds contents that ran successfully and may therefore run on any
	// number of endpoints. When it is full, it becomes previousProven, which is
	// discarded.
	proven, previousProven map[[32]byte]struct{}
}

func (t *contentTracker) init() {
	t.runningOn = map[[32]byte][]*endpoint{}
	t.runEnded = make(chan struct{})
	t.proven = map[[32]byte]struct{}{}
}

// markProven records a successful run of a content.
func (t *contentTracker) markProven(fingerprint [32]byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.proven) >= maxProvenContents {
		t.previousProven, t.proven = t.proven, map[[32]byte]struct{}{}
	}
	t.proven[fingerprint] = struct{}{}
}

// isProven reports whether a content ran successfully of late. The caller holds
// t.mu.
func (t *contentTracker) isProven(fingerprint [32]byte) bool {
	if _, ok := t.proven[fingerprint]; ok {
		return true
	}
	_, ok := t.previousProven[fingerprint]
	return ok
}

// limitedContent returns the endpoints that run the content and to which it is limited, or
// nil if it has proved harmless. The caller holds t.mu.
func (t *contentTracker) limitedContent(fingerprint [32]byte) []*endpoint {
	if t.isProven(fingerprint) {
		return nil
	}
	return t.runningOn[fingerprint]
}

// unmarkProven discards the successful runs of contents that were in flight in
// a crash.
func (t *contentTracker) unmarkProven(list []quarantine.InFlight) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range list {
		delete(t.proven, f.Fingerprint)
		delete(t.previousProven, f.Fingerprint)
	}
}

// endRun records the end of a call. The caller holds t.mu.
func (t *contentTracker) endRun(fingerprint [32]byte, e *endpoint) {
	running := t.runningOn[fingerprint]
	if i := slices.Index(running, e); i >= 0 {
		running = slices.Delete(running, i, i+1)
	}
	if len(running) == 0 {
		delete(t.runningOn, fingerprint)
	} else {
		t.runningOn[fingerprint] = running
	}
	close(t.runEnded)
	t.runEnded = make(chan struct{})
}

// waitUntilNotRunning waits until no call with the content is in progress. A
// suspect runs once at a time; otherwise each of its copies could crash another
// endpoint.
func (t *contentTracker) waitUntilNotRunning(ctx context.Context, fingerprint [32]byte) error {
	for {
		t.mu.Lock()
		busy, runEnded := len(t.runningOn[fingerprint]) > 0, t.runEnded
		t.mu.Unlock()
		if !busy {
			return nil
		}
		select {
		case <-runEnded:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// crashInvestigation finds out whether cut connections to one endpoint mean
// that it crashed.
type crashInvestigation struct {
	started time.Time
	// inFlight holds the calls that were in flight when the first connection was
	// cut.
	inFlight []*inFlightCall
	done     chan struct{}
	// crash is the result. It is set before done is closed.
	crash bool
}

// isCrash reports whether the call's connection was cut by a crash of the
// endpoint. It waits for the result of the investigation and returns false if
// ctx ends before.
func (p *pool) isCrash(ctx context.Context, e *endpoint, call *inFlightCall) bool {
	if p.dispatcher.Dialer == nil {
		return false
	}
	e.mu.Lock()
	call.cut = true
	inv := e.investigation
	if inv == nil {
		inv = &crashInvestigation{started: time.Now(), done: make(chan struct{})}
		for c := range e.inFlightCalls {
			inv.inFlight = append(inv.inFlight, c)
		}
		e.investigation = inv
		go p.investigate(e, inv)
	}
	e.mu.Unlock()
	select {
	case <-inv.done:
		return inv.crash
	case <-ctx.Done():
		return false
	}
}

// investigate decides whether the endpoint crashed. It did if it refuses a new
// connection, and at least two of the calls in flight were cut or only one was
// in flight.
func (p *pool) investigate(e *endpoint, inv *crashInvestigation) {
	refused := p.refusesConnections(e)
	if !refused {
		time.Sleep(cutGrace)
		refused = p.refusesConnections(e)
	} else if len(inv.inFlight) > 1 {
		time.Sleep(cutGrace)
	}
	var contents []quarantine.InFlight
	cut := 0
	e.mu.Lock()
	for _, call := range inv.inFlight {
		_, running := e.inFlightCalls[call]
		if call.cut {
			cut++
		}
		if call.cut || running {
			contents = appendContent(contents, call)
		}
	}
	inv.crash = refused && (cut >= 2 || len(inv.inFlight) == 1)
	e.investigation = nil
	e.mu.Unlock()
	if inv.crash {
		p.counts.endpointCrashes.Inc()
		p.eject(e, health.ByCrash)
		p.dispatcher.Quarantine.Crash(p.id, contents)
		p.unmarkProven(contents)
		p.publishSuspects(contents)
		// Let the other daemons learn the suspects before any of them runs again.
		time.Sleep(suspectPropagationTime)
	}
	close(inv.done)
}

// appendContent adds the call's content to the list, or merges it into the entry
// that the list has for it.
func appendContent(list []quarantine.InFlight, call *inFlightCall) []quarantine.InFlight {
	for i := range list {
		if list[i].Fingerprint == call.fingerprint {
			list[i].Suspect = list[i].Suspect || call.suspect
			return list
		}
	}
	return append(list, quarantine.InFlight{Fingerprint: call.fingerprint, Suspect: call.suspect})
}

// refusesConnections reports whether the endpoint refuses a new connection.
func (p *pool) refusesConnections(e *endpoint) bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	return errors.Is(p.dispatcher.Dialer.Dial(ctx, e.Endpoint), ErrConnectionRefused)
}

// recordSuccess records a successful run of the content and clears it if it is a
// suspect.
func (p *pool) recordSuccess(fingerprint [32]byte) {
	p.markProven(fingerprint)
	if state, _ := p.dispatcher.Quarantine.Lookup(p.id, fingerprint); state != quarantine.Suspect {
		return
	}
	p.dispatcher.Quarantine.Clear(p.id, fingerprint)
	p.publishSuspects([]quarantine.InFlight{{Fingerprint: fingerprint}})
}

// publishSuspects sends the quarantine entries of the contents to the other
// daemons.
func (p *pool) publishSuspects(changed []quarantine.InFlight) {
	if p.dispatcher.PublishSuspects == nil {
		return
	}
	var list []quarantine.Entry
	for _, f := range changed {
		if e, ok := p.dispatcher.Quarantine.Get(p.id, f.Fingerprint); ok {
			list = append(list, e)
		}
	}
	p.dispatcher.PublishSuspects(list)
}
