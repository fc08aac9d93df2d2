package dispatch

import (
	"context"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/retry"
)

// refusalTime is how long a stalled stream waits for a refusal of the endpoint that is to
// take it over. Both endpoints may run it meanwhile.
const refusalTime = 200 * time.Millisecond

// streamAttempt is one attempt of a stream.
type streamAttempt struct {
	cancel context.CancelCauseFunc
	watch  *stallWatch
	// nextToken is the index of the next token without an index. Only the transport's
	// goroutine uses it and hasTurn.
	nextToken int
	hasTurn   bool
	// turn is closed when the attempt may forward events.
	turn chan struct{}
	// sent is closed when the call is handed to the transport, answered at the first event,
	// failed when the transport has returned an error, and done at the end.
	sent, answered, failed, done chan struct{}
	// failure is set when done is closed; nil after a complete stream.
	failure *failure
}

// start starts an attempt that forwards events once its turn has come. A handover goes only
// to an endpoint with a free slot that was not tried.
func (s *stream) start(ctx context.Context, body []byte, firstToken int, handover bool) *streamAttempt {
	ctx, cancel := context.WithCancelCause(ctx)
	first, gap := s.job.pool.stallLimits()
	a := &streamAttempt{cancel: cancel, watch: &stallWatch{firstLimit: first, gapLimit: gap, stalled: make(chan struct{}, 1)}, nextToken: firstToken,
		turn: make(chan struct{}), sent: make(chan struct{}), answered: make(chan struct{}), failed: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		defer cancel(nil)
		a.failure = s.job.attempt(ctx, handover, func() { close(a.sent) }, func(ctx context.Context, c core.Call) error {
			c.Body = body
			return s.send(ctx, a, c)
		})
	}()
	return a
}

// send hands the call of an attempt to the transport and forwards the events.
func (s *stream) send(ctx context.Context, a *streamAttempt, c core.Call) error {
	p, w := s.job.pool, a.watch
	w.lastEvent = time.Now()
	w.arm(w.firstLimit)
	err := p.dispatcher.Transport.Stream(ctx, c, func(ev core.Event) error { return s.forward(ctx, c, a, ev) })
	w.stop()
	if err == nil {
		p.recordLongestGap(w.longestGap)
		return nil
	}
	close(a.failed)
	return s.streamError(c, err)
}

// awaitTurn waits at the first event until the attempt may forward it.
func (a *streamAttempt) awaitTurn(ctx context.Context) error {
	if a.hasTurn {
		return nil
	}
	a.hasTurn = true
	close(a.answered)
	a.watch.pause()
	defer a.watch.resume()
	select {
	case <-a.turn:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// drop cancels an attempt that is not needed, unless it has failed by itself.
func (a *streamAttempt) drop() {
	if a == nil {
		return
	}
	select {
	case <-a.failed:
	default:
		a.cancel(errNotNeeded)
	}
}

// await waits for the end of an attempt. If its stream stalls, the attempt is cancelled once
// another endpoint takes the stream over; await then returns the attempt there.
func (s *stream) await(ctx context.Context, a *streamAttempt) *streamAttempt {
	for {
		select {
		case <-a.done:
			return nil
		case <-a.watch.stalled:
		}
		if next := s.startHandover(ctx, a); next != nil {
			if a.yieldsTo(next) {
				a.cancel(errStalled)
				<-a.done
				return next
			}
			s.job.pool.counts.countStayed("not_taken")
			next.drop()
		}
		a.watch.recheck()
	}
}

// startHandover starts an attempt that is to take over a stalled stream, or returns nil.
// Silence alone does not end an attempt, since engines that run out of memory pause sound
// streams: the stream has to be resumable, another endpoint healthy with a free slot, and
// the retry within the budget.
func (s *stream) startHandover(ctx context.Context, a *streamAttempt) *streamAttempt {
	if !a.watch.hasStalled() {
		return nil
	}
	body, firstToken, ok := s.nextRequest()
	var reason retry.Reason
	switch {
	case !ok:
		reason = retry.NotRepeatable
	case !s.job.hasFreeEndpoint():
		reason = retry.NoEndpoint
	default:
		reason = s.job.spendRetry(&failure{sent: true, err: &core.Error{Ran: core.RanUnknown}}).Reason
	}
	if reason != retry.Allowed {
		s.job.pool.counts.countStayed(string(reason))
		return nil
	}
	return s.start(ctx, body, firstToken, true)
}

// yieldsTo reports whether a stalled attempt is cancelled in favour of the next one: the
// next endpoint has sent an event or has not refused the call within refusalTime, and this
// one is still silent. It also returns true if this attempt has ended meanwhile.
func (a *streamAttempt) yieldsTo(next *streamAttempt) bool {
	sent := next.sent
	t := time.NewTimer(refusalTime)
	defer t.Stop()
	for {
		select {
		case <-a.done:
			return true
		case <-next.failed:
			return false
		case <-next.done:
			return next.failure == nil && a.watch.leave()
		case <-next.answered:
			return a.watch.leave()
		case <-sent:
			sent = nil
			t.Reset(refusalTime)
		case <-t.C:
			return sent == nil && a.watch.leave()
		}
	}
}
