package forward

import (
	"context"
	"net/http"
	"time"

	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
	"eelgrassgrade/internal/decide/health"
	"eelgrassgrade/internal/decide/placement"
	"eelgrassgrade/internal/decide/quarantine"
)

// attempt is one sending of a request to an endpoint.
type attempt struct {
	candidate placement.Candidate
	// run is the endpoint's run when the request was sent.
	run       quarantine.EndpointRun
	startTime time.Time
	// ctx is the context of the call, cancel ends it.
	ctx                     context.Context
	cancel                  context.CancelFunc
	markFirstEvent, markEnd func()
	// send sends the request and returns when answer, whose head has come, or err is set.
	send   func()
	answer *Answer
	err    error
	// done is closed when send has returned, if start was called.
	done chan struct{}
}

// start sends the request in the background.
func (a *attempt) start() {
	a.done = make(chan struct{})
	go func() {
		defer close(a.done)
		a.send()
	}()
}

// answered reports whether send has returned.
func (a *attempt) answered() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// end ends the call and gives up the rest of its answer.
func (a *attempt) end() {
	a.cancel()
	if a.answer != nil {
		// The answer is complete or not wanted.
		_ = a.answer.Body.Close()
	}
	a.markEnd()
}

// newAttempt returns an attempt at the first of the candidates. Its caller sends it.
func (f *Forwarder) newAttempt(ctx context.Context, s *streamRelay, candidates []placement.Candidate, try int) *attempt {
	rs, c := s.state, candidates[0]
	e := c.Endpoint
	s.tried[e.ID] = true
	f.events.RequestSent(rs.req, rs.pool, f.explainChoice(candidates), try, rs.deadline.Sub(f.now()))
	a := &attempt{candidate: c, run: quarantine.RunOf(e.ID, f.view().ByID[e.ID].StartedMs), startTime: f.now()}
	a.markFirstEvent, a.markEnd = f.tracker.requestStarted(rs.pool, e.ID, c.UncachedTokens)
	if c.UncachedTokens >= placement.LongPromptTokens {
		f.announce(fleet.Prefill{Endpoint: e.ID, Tokens: c.UncachedTokens, Remaining: placement.PrefillTime(c.UncachedTokens + c.PrefillTokens)})
	}
	endpointReq := &EndpointRequest{Request: rs.req, Account: rs.account, Priority: rs.rank, Remaining: rs.deadline.Sub(a.startTime), LastEventID: s.lastEventID}
	if rs.inputs != nil {
		endpointReq.Inputs = rs.inputs.handles
	}
	a.ctx, a.cancel = context.WithCancel(ctx)
	a.send = func() { a.answer, a.err = f.endpoints.Send(a.ctx, e, endpointReq) }
	return a
}

// finishAttempt relays the answer of an attempt that was sent.
func (f *Forwarder) finishAttempt(ctx context.Context, sent *attempt, s *streamRelay) error {
	defer sent.end()
	rs, e, startTime := s.state, sent.candidate.Endpoint, sent.startTime
	rs.sentTo, rs.endpointRun = e, sent.run
	if sent.err != nil {
		return f.recordFailure(ctx, rs, e, startTime, time.Time{}, core.AsError(sent.err, "send"))
	}
	a := sent.answer
	rs.outcome.Framing = a.Framing.String()
	if rs.route.Stream && a.Genuine && a.Status == http.StatusOK && !rs.cannotContinue(a) {
		resumed := s.lastEventID != ""
		var firstEventAt time.Time
		s.onFirstEvent = func() {
			sent.markFirstEvent()
			firstEventAt = f.now()
			f.latencies.observeFirstEvent(firstEventAt, rs.route.Name, firstEventAt.Sub(startTime), rs.firstEventProbe)
			f.tracker.observe(rs.pool, e.ID, health.Sample{OK: true, Kind: health.Streaming, Elapsed: normalizeFirstEventTime(f.now().Sub(startTime), rs.req.PromptTokens)}, false)
			// The endpoint has read its inputs. If they were kept until the end of a
			// long stream, the stages' endpoints would run out of result capacity. If
			// the stream breaks off, the stages run again.
			rs.inputs.releaseAll()
			if rs.route.Repeat == catalog.Once {
				rs.releaseBody()
			}
		}
		s.onSettled = func() { f.parts.RecordSound(rs.parts, firstEventAt) }
		if err := s.relay(sent.ctx, a); err != nil {
			return f.recordBrokenAnswer(ctx, rs, e, a, startTime, firstEventAt, err)
		}
		if !resumed && !firstEventAt.IsZero() {
			f.stopStates.ended(rs.route.Name, f.now(), f.now().Sub(startTime))
			f.latencies.observeStreamDuration(rs.route.Name, f.now().Sub(firstEventAt))
		}
		f.contents.RecordSuccess(rs.fingerprint)
		if !firstEventAt.IsZero() {
			f.parts.RecordSound(rs.parts, firstEventAt)
		}
		return nil
	}
	return f.handleWholeAnswer(ctx, rs, e, s.w, a, startTime)
}
