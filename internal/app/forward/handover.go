package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/health"
	"eelgrassgrade/internal/decide/repeats"
)

// leave sends the request to another endpoint. It reports whether that one takes it, and the
// stream leaves the present one.
func (s *streamRelay) leave() bool {
	if s.next = s.startNext(); s.next != nil {
		s.moves = true
	}
	return s.moves
}

// refusalTime is how long the endpoint that a stream leaves may go on beside the next one,
// which refuses a request at once if it does not take it. Both produce the same events
// meanwhile.
const refusalTime = 200 * time.Millisecond

// maxArrived bounds the chunks that are kept while the next endpoint is asked: a faulty
// endpoint may send without end.
const maxArrived = 4

// startNext sends the request of a silent stream to the next endpoint and returns the attempt,
// or nil if that one does not take it: the present endpoint may still go on.
func (f *Forwarder) startNext(ctx context.Context, s *streamRelay) *attempt {
	rs := s.state
	candidates := f.pickEndpoint(ctx, rs, s.tried)
	if len(candidates) == 0 {
		return nil
	}
	next := f.newAttempt(ctx, s, candidates, rs.outcome.Attempts+s.refusals+1)
	next.start()
	switch goesOn := s.awaitNext(next); {
	case goesOn:
		f.withdraw(s, next, "stalled, the endpoint went on while the next one was asked", nil)
	case !next.answered():
		// The next endpoint may still refuse, and the way back then takes another retry.
		if budget, allowed := f.takeRetry(rs); !allowed {
			f.withdraw(s, next, "stalled, no retry for the way back", budget)
			return nil
		}
		s.spareRetry = true
		return next
	case next.err == nil && next.answer.Genuine && next.answer.Status == http.StatusOK && !rs.cannotContinue(next.answer):
		return next
	default:
		f.recordRefusal(s, next)
	}
	return nil
}

// withdraw ends the attempt at the next endpoint of a stream that stays.
func (f *Forwarder) withdraw(s *streamRelay, next *attempt, reason string, budget *repeats.Decision) {
	next.cancel()
	<-next.done
	s.refusals++
	s.countRun(next)
	next.end()
	f.events.RetryDecided(s.state.req, s.state.pool, reason, false, budget, s.streamError("the endpoint sent no event within the stall timeout", nil))
}

// awaitNext waits for the answer of the next endpoint, for refusalTime at most. It returns
// true as soon as the present endpoint sends an event or the end of the stream.
func (s *streamRelay) awaitNext(next *attempt) bool {
	t := time.NewTimer(refusalTime)
	defer t.Stop()
	chunks := s.chunks
	for waiting := true; waiting; {
		select {
		case c := <-chunks:
			if s.keepChunk(c) {
				return true
			}
			if c.err != nil || len(s.arrived) == maxArrived {
				chunks = nil
			}
		case <-next.done:
			waiting = false
		case <-t.C:
			waiting = false
		}
	}
	select {
	case c := <-chunks:
		return s.keepChunk(c)
	default:
		return false
	}
}

// keepChunk keeps a chunk of the present endpoint for the case that the stream stays there.
// It reports whether the endpoint goes on.
func (s *streamRelay) keepChunk(c chunk) bool {
	s.arrived = append(s.arrived, c)
	return findLastEventID(c.data) != "" || c.err == io.EOF
}

// triesSpent reports whether a stream may be sent to no further endpoint beside the present one.
func (s *streamRelay) triesSpent() bool { return s.state.outcome.Attempts+s.refusals >= maxTries }

// recordRefusal records that an endpoint has not taken over a stream.
func (f *Forwarder) recordRefusal(s *streamRelay, next *attempt) {
	rs, id := s.state, next.candidate.Endpoint.ID
	s.refusals++
	err := &core.Error{Kind: core.Unavailable, Step: "endpoint", Peer: string(id), Ran: core.RanNot, Detail: "the endpoint did not take over the stream"}
	if next.err != nil {
		err = core.AsError(next.err, "send")
	}
	s.countRun(next)
	next.end()
	f.tracker.observe(rs.pool, id, health.Sample{}, err.Step == "connect")
	f.events.RetryDecided(rs.req, rs.pool, "stalled, the next endpoint did not take it", false, nil, err)
}

// countRun counts an endpoint that has answered an attempt, or whose call was cancelled, among
// those that may have run the request.
func (s *streamRelay) countRun(a *attempt) {
	if a.err == nil && a.answer.NotStarted || a.err != nil && core.AsError(a.err, "send").Ran == core.RanNot {
		return
	}
	s.state.mayHaveRun = true
	s.possibleRuns++
}

// takeSpareRetry reports whether a stream whose next endpoint has refused it late may be sent
// once more with the retry that was taken for that.
func (s *streamRelay) takeSpareRetry(failure *core.Error) bool {
	spare := s.spareRetry && failure.Ran == core.RanNot
	s.spareRetry = false
	return spare
}

// takeNext returns the attempt with which the stream has left its endpoint, or nil.
func (s *streamRelay) takeNext() *attempt {
	next := s.next
	s.next = nil
	if next != nil {
		<-next.done
	}
	return next
}

// dropNext ends an attempt that is not used.
func (s *streamRelay) dropNext() {
	if next := s.next; next != nil {
		s.next = nil
		next.cancel()
		<-next.done
		next.end()
	}
}
