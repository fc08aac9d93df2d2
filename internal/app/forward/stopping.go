package forward

import (
	"context"
	"fmt"
	"sync"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
	"eelgrassgrade/internal/decide/shutdown"
)

// giveUpInterval is the interval at which a stopping daemon looks for requests that it
// gives up.
const giveUpInterval = 50 * time.Millisecond

// stopStates holds what a stop depends on: the requests in progress with their states, and
// the times of the answers that have ended by route, from sending a request to the end of its answer.
type stopStates struct {
	mu       sync.Mutex
	requests map[*requestState]*stopState
	times    map[string]*shutdown.Times
}

type stopState struct {
	state shutdown.State
	// sentAt is when the request was last sent to an endpoint.
	sentAt time.Time
	// giveUp ends the request; givenUp is set once it was called.
	giveUp  context.CancelCauseFunc
	givenUp bool
}

// add adds a request whose route is known.
func (p *stopStates) add(rs *requestState, giveUp context.CancelCauseFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.requests == nil {
		p.requests = map[*requestState]*stopState{}
	}
	p.requests[rs] = &stopState{giveUp: giveUp}
}

func (p *stopStates) remove(rs *requestState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.requests, rs)
}

// sent records that a request is about to be sent. It returns false if the request was given
// up: it then must not be sent, since its caller is told that it did not run.
func (p *stopStates) sent(rs *requestState, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.requests[rs]
	if r.givenUp {
		return false
	}
	r.sentAt, r.state = now, shutdown.Unanswered
	if rs.answerStarted {
		r.state = shutdown.Answering
	}
	return true
}

// answering records that the caller gets an answer.
func (p *stopStates) answering(rs *requestState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.requests[rs]; r != nil {
		r.state = shutdown.Answering
	}
}

// failed records that a request has failed at an endpoint.
func (p *stopStates) failed(rs *requestState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.requests[rs]
	switch {
	case rs.answerStarted:
		r.state = shutdown.Answering
	case rs.mayHaveRun:
		r.state = shutdown.Begun
	default:
		r.state = shutdown.NotRun
	}
}

// ended records the time of an answer that has ended.
func (p *stopStates) ended(route string, now time.Time, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.times[route]
	if t == nil {
		if len(p.times) >= maxTrackedRoutes {
			return
		}
		if p.times == nil {
			p.times = map[string]*shutdown.Times{}
		}
		t = &shutdown.Times{}
		p.times[route] = t
	}
	t.Observe(now, d)
}

// evidence returns what is known of the answers of a route: those that have ended lately,
// and how long the oldest one has been in progress. p.mu is held.
func (p *stopStates) evidence(route string, now time.Time) shutdown.Estimate {
	var e shutdown.Estimate
	if t := p.times[route]; t != nil {
		e = t.Estimate(now)
	}
	for rs, r := range p.requests {
		if rs.route.Name == route && (r.state == shutdown.Unanswered || r.state == shutdown.Answering) {
			e.Longest = max(e.Longest, now.Sub(r.sentAt))
		}
	}
	return e
}

// estimate returns the estimate of a route's answers. f.stopStates.mu is held.
func (f *Forwarder) estimate(route *catalog.Route, now time.Time) shutdown.Estimate {
	e := f.stopStates.evidence(route.Name, now)
	e.Expected = f.expectedAnswerTime(route)
	return e
}

// stopError returns an error if the daemon is stopping and a request that is sent after the
// time before may not be sent any more.
func (f *Forwarder) stopError(rs *requestState, state shutdown.State, before time.Duration) *core.Error {
	stop, now := f.stop(), f.now()
	if stop.End.IsZero() {
		return nil
	}
	f.stopStates.mu.Lock()
	e := f.estimate(rs.route, now)
	f.stopStates.mu.Unlock()
	d := shutdown.Decide(now, stop, shutdown.Request{State: state, Deadline: rs.deadline, Before: before, Answer: e})
	if d.Allowed {
		return nil
	}
	return stopRefusal(fmt.Sprintf("the daemon ends in %d ms: %s (needs %d ms; %d answers lately, the latest %d ms ago)",
		d.Left.Milliseconds(), d.Reason, d.Needed.Milliseconds(), e.Samples, e.Age.Milliseconds()))
}

// stopRefusal is the error of a request that did not run since the daemon is stopping.
// Other daemons take it at once.
func stopRefusal(detail string) *core.Error {
	return &core.Error{Kind: core.Unavailable, Step: "stop", Ran: core.RanNot, RetryAfter: minRetryAfter, Detail: detail}
}

// retryState returns the state of a request that is about to be sent.
func (rs *requestState) retryState() shutdown.State {
	if rs.mayHaveRun {
		return shutdown.Begun
	}
	return shutdown.NotRun
}

// GiveUpWaiting ends, until ctx ends, the requests that wait and that a stopping daemon
// cannot serve any more. Their callers hear at once that they did not run, rather than
// together in the moment in which the process ends.
func (f *Forwarder) GiveUpWaiting(ctx context.Context) {
	t := time.NewTicker(giveUpInterval)
	defer t.Stop()
	for {
		f.giveUpWaiting()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (f *Forwarder) giveUpWaiting() {
	stop, now := f.stop(), f.now()
	f.stopStates.mu.Lock()
	defer f.stopStates.mu.Unlock()
	estimates := map[*catalog.Route]shutdown.Estimate{}
	for rs, r := range f.stopStates.requests {
		e, known := estimates[rs.route]
		if !known {
			e = f.estimate(rs.route, now)
			estimates[rs.route] = e
		}
		if !r.givenUp && shutdown.GiveUp(now, stop, shutdown.Request{State: r.state, Deadline: rs.deadline, Stream: rs.route.Stream, EndsWithConnection: rs.req.EndsWithConnection, Answer: e}) {
			r.givenUp = true
			r.giveUp(ErrStopping)
		}
	}
}
