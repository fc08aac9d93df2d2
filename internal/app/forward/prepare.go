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

// preparation runs the stages of a stream once more. Its endpoint has released their results
// and is silent now, but may still go on.
type preparation struct {
	cancel context.CancelFunc
	done   chan struct{}
	// inputs and err are set when done is closed.
	inputs *stageResults
	err    error
}

// prepareInputs starts a preparation that ends with ctx.
func (f *Forwarder) prepareInputs(ctx context.Context, rs *requestState) *preparation {
	rs.relaxDeadlines(f.now())
	rs.stageRuns++
	ctx, cancel := context.WithDeadline(ctx, rs.stagesDeadline)
	p := &preparation{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		defer cancel()
		p.inputs, p.err = f.runStages(ctx, rs)
	}()
	return p
}

// ready returns the channel that is closed when p has ended; it blocks for good if p is nil.
func (p *preparation) ready() <-chan struct{} {
	if p == nil {
		return nil
	}
	return p.done
}

// startMove is called when mayMove allows a stream to leave its silent endpoint. It reports
// whether the stream leaves at once. If its stages have to run again, it leaves when they
// have run: the endpoint may go on, and another one cannot without their results.
func (s *streamRelay) startMove() bool {
	s.moves = false
	if !s.state.inputs.inputsReleased() {
		return s.leave()
	}
	s.preparing = s.prepare()
	return false
}

// leave sends the request to another endpoint. It reports whether that one takes it, and the
// stream leaves the present one.
func (s *streamRelay) leave() bool {
	if s.next = s.startNext(); s.next != nil {
		s.moves = true
	}
	return s.moves
}

// finishMove is called when the preparation has ended. It reports whether the stream leaves
// its endpoint: if the stages have run and another endpoint still takes it.
func (s *streamRelay) finishMove(ctx context.Context) bool {
	p, f, rs := s.preparing, s.forwarder, s.state
	s.preparing = nil
	s.unusedRuns++
	reason, err := "", s.streamError("the endpoint sent no event within the stall timeout", nil)
	switch {
	case p.err != nil:
		reason, err = "stalled, its stages did not run again", core.AsError(p.err, "stage")
	case !f.hasTimeToMove(rs, f.latencies.expectedFirstEvent(rs.route.Name), 0):
		reason = "stalled, too little time to begin again"
	case f.hasQuarantinedPart(rs):
		reason = "stalled, endpoints crash on a part of its prompt"
	case !f.reserveHealthyEndpoint(ctx, rs, s.tried):
		reason = "stalled, no other endpoint has room"
	default:
		rs.inputs = p.inputs
		if s.leave() {
			s.unusedRuns--
		}
		return s.moves
	}
	p.inputs.releaseAll()
	f.events.RetryDecided(rs.req, rs.pool, reason, false, nil, err)
	return false
}

// stay gives up what was made for a move: the endpoint goes on with the stream, or the
// request has ended.
func (s *streamRelay) stay() {
	if s.state.answerStarted {
		s.state.inputs.releaseAll()
	}
	p := s.preparing
	if p == nil {
		return
	}
	s.preparing = nil
	s.unusedRuns++
	p.cancel()
	s.abandoned = p.done
	go func() {
		<-p.done
		p.inputs.releaseAll()
	}()
}

// mayRunStagesAgain reports whether the stages may run again for a stream that has broken
// off: once, apart from a preparation that no endpoint got. It waits until a preparation that
// was given up has ended.
func (s *streamRelay) mayRunStagesAgain() bool {
	if s.abandoned != nil {
		<-s.abandoned
	}
	return s.state.stageRuns-s.unusedRuns <= 1
}

// useInputs waits for the preparation of a stream that has broken off meanwhile, and makes
// its results the inputs of the next attempt. It returns false if there is no preparation.
func (s *streamRelay) useInputs() (bool, error) {
	p := s.preparing
	if p == nil {
		return false, nil
	}
	s.preparing = nil
	<-p.done
	if p.err == nil {
		s.state.inputs = p.inputs
	}
	return true, p.err
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
