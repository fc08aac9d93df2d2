package forward

import (
	"context"

	"eelgrassgrade/internal/core"
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
