package forward

import (
	"context"
	"net/http"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
	"eelgrassgrade/internal/decide/health"
	"eelgrassgrade/internal/decide/placement"
	"eelgrassgrade/internal/decide/quarantine"
	"eelgrassgrade/internal/decide/repeats"
)

const (
	// maxTries bounds the endpoints that one request is sent to, including those that
	// did not start it.
	maxTries = 4
)

// candidates returns the endpoints that may get a request, best first: the healthy
// ones, then those that are ejected, failing or already being probed. It skips those
// that were tried, have asked for a pause, or take no more requests at the moment.
func (f *Forwarder) candidates(rs *requestState, tried map[core.InstanceID]bool) []placement.Candidate {
	now := f.now()
	fleetView := f.fleet()
	var healthy, degraded candidateSet
	for _, e := range f.endpointsFor(rs, rs.pool) {
		if tried[e.ID] || now.Before(f.pausedUntil(e)) || e.ID != rs.permit && now.Before(f.limits.BlockedUntil(e, rs.rank)) {
			continue
		}
		running, prefillTokens, status := f.tracker.localState(rs.pool, e.ID)
		remoteLoad := fleetView.Loads[e.ID]
		c := placement.Candidate{Endpoint: e.Endpoint, Running: running + remoteLoad.Running, PrefillTokens: prefillTokens + remoteLoad.PrefillTokens,
			Slots: e.Slots, SlowFactor: 1, ExtraCost: rs.inputs.transferCost(e.DataCenter)}
		figures := figuresOf(now, fleetView, e.ID, running, prefillTokens)
		switch {
		case status.Phase(now) == health.Serving && !remoteLoad.Failing && !status.Failing:
			healthy.add(c, figures)
		case running == 0 && status.ProbeDue(now, rs.route.Repeat != catalog.Once):
			// An endpoint whose ejection has ended, or that was failing, is probed with one
			// request at a time.
			healthy.add(c, figures)
		default:
			degraded.add(c, figures)
		}
	}
	prompt := placement.Prompt{Slack: rs.targetStart.Sub(now) - f.latencies.expectedFirstEvent(rs.route.Name), GapTarget: rs.route.GapTarget}
	if rs.route.PromptAffinity {
		prompt.Parts = rs.req.Prompt
	}
	ordered := f.warmFirst(rs.snapshot.Pool(rs.pool), f.order(prompt, rs, &healthy))
	return append(ordered, f.order(prompt, rs, &degraded)...)
}

// relaxDeadlines adapts the times of a request whose stream broke off. The answer has
// already started, so only the deadline of the whole answer still counts.
func (rs *requestState) relaxDeadlines(now time.Time) {
	rs.targetStart, rs.startDeadline, rs.stagesDeadline = now, rs.deadline, rs.deadline.Add(-rs.plan.firstEventTime)
}

// tryEndpoints sends a request to one endpoint after the other until one answers or
// the request may not be tried again. The result reports an error and whether the
// answer was cut.
func (f *Forwarder) tryEndpoints(ctx context.Context, rs *requestState, w http.ResponseWriter) (*core.Error, bool) {
	tried := map[core.InstanceID]bool{}
	var lastErr error = &core.Error{Kind: core.Unavailable, Step: "endpoint", Ran: core.RanNot, RetryAfter: 500 * time.Millisecond, Detail: "no endpoint of the pool is available"}
	s := &streamRelay{forwarder: f, state: rs, w: w, tried: tried}
	s.mayMove = func(ctx context.Context) bool { return f.mayMove(ctx, s) }
	s.prepare = func() *preparation { return f.prepareInputs(ctx, rs) }
	s.startNext = func() *attempt { return f.startNext(ctx, s) }
	defer s.stay()
	defer s.dropNext()
	for try := 1; try <= maxTries; try++ {
		rs.enterAttempt()
		a := s.takeNext()
		if a != nil {
			f.stopStates.sent(rs, a.startTime)
		} else {
			var err error
			if a, err = f.nextAttempt(ctx, s, try); err != nil && !rs.mayHaveRun {
				lastErr = err
			}
		}
		if a == nil {
			break
		}
		e := a.candidate.Endpoint
		rs.outcome.Attempts, rs.outcome.Endpoint = try, e.ID
		err := f.finishAttempt(ctx, a, s)
		if err == nil {
			return nil, false
		}
		lastErr = err
		failure := core.AsError(err, "forward")
		if failure.Ran != core.RanNot {
			rs.mayHaveRun = true
			s.possibleRuns++
		}
		f.stopStates.failed(rs)
		moves := s.moves
		if moves {
			s.left = e.ID
		}
		s.moves, s.stayReported = false, false
		// A preparation means that the retry was taken before the stream broke off.
		if ctx.Err() != nil || !moves && s.preparing == nil && !s.takeSpareRetry(failure) && !f.mayRetry(rs, failure, s.possibleRuns) {
			break
		}
		if prepared, err := s.useInputs(); err != nil {
			lastErr = err
			break
		} else if prepared {
			continue
		}
		if failure.Kind == core.Conflict || rs.inputs.inputsReleased() {
			// The results that the request needs are gone, so the stages must run again.
			if !s.mayRunStagesAgain() {
				break
			}
			rs.inputs.releaseAll()
			if err := f.stopError(rs, rs.retryState(), rs.plan.stagesTime()); err != nil {
				lastErr = err
				break
			}
			if rs.answerStarted {
				rs.relaxDeadlines(f.now())
			}
			if err := f.runStagesWithRetry(ctx, rs); err != nil {
				lastErr = err
				break
			}
		}
	}
	if rs.answerStarted {
		return f.finalError(ctx, rs, lastErr), true
	}
	return f.finalError(ctx, rs, lastErr), false
}

// nextAttempt sends a request to the next endpoint. It returns nil if there is none or the
// request may not be sent any more, with the error if that says why.
func (f *Forwarder) nextAttempt(ctx context.Context, s *streamRelay, try int) (*attempt, error) {
	rs := s.state
	if err := f.partsError(rs); err != nil {
		return nil, err
	}
	if err := f.stopError(rs, rs.retryState(), 0); err != nil {
		return nil, err
	}
	candidates := f.pickOrWait(ctx, rs, s.tried)
	if len(candidates) == 0 || try == maxTries {
		if back := f.pickLeft(ctx, s); len(back) > 0 {
			candidates = back
		}
	}
	if err := f.poolClosedError(rs); len(candidates) == 0 && err != nil {
		return nil, err
	}
	if len(candidates) == 0 || ctx.Err() != nil {
		return nil, nil
	}
	if !f.stopStates.sent(rs, f.now()) {
		return nil, stopRefusal("the daemon ends before the request could be sent")
	}
	a := f.newAttempt(ctx, s, candidates, try)
	a.send()
	return a, nil
}

// enterAttempt sets the phase of a request that is about to be sent to an endpoint.
func (rs *requestState) enterAttempt() {
	if rs.answerStarted {
		rs.req.InProgress.Enter(PhaseStream)
		return
	}
	rs.req.InProgress.Enter(PhaseFirstEvent)
}

// endPhase returns the phase in which a request ended.
func (rs *requestState) endPhase() Phase {
	if rs.outcome.Err == nil && !rs.outcome.Cut {
		return PhaseDone
	}
	return rs.req.InProgress.Phase()
}

// explainChoice describes the choice of the first of the candidates.
func (f *Forwarder) explainChoice(candidates []placement.Candidate) Choice {
	c := Choice{Endpoint: candidates[0].Endpoint, Running: candidates[0].Running, PrefillTokens: candidates[0].PrefillTokens, AffinityRank: candidates[0].AffinityRank, UncachedTokens: candidates[0].UncachedTokens, Candidates: len(candidates)}
	if len(candidates) > 1 {
		c.RunnerUp, c.RunnerUpRunning = candidates[1].Endpoint.ID, candidates[1].Running
	}
	c.LimitPerSecond, c.LimitAge, c.Limited = f.limits.Limit(f.view().ByID[c.Endpoint.ID])
	return c
}

// mayRetry decides whether a request that failed at an endpoint is sent to another
// one. possibleRuns is the number of endpoints that may have run it.
func (f *Forwarder) mayRetry(rs *requestState, err *core.Error, possibleRuns int) bool {
	reason, allowed, budgeted := f.repeatRule(rs, err, possibleRuns)
	var budget *repeats.Decision
	if allowed && budgeted {
		budget, allowed = f.takeRetry(rs)
	}
	f.events.RetryDecided(rs.req, rs.pool, reason, allowed, budget, err)
	return allowed
}

// takeRetry takes a retry from the budget and reports whether there was one.
func (f *Forwarder) takeRetry(rs *requestState) (*repeats.Decision, bool) {
	d := f.budget.Take(rs.pool, 1)
	return &d, d.Allowed
}

// repeatRule reports whether a request that failed with err may be sent once more, apart
// from the retry budget, and whether the budget has to allow it.
func (f *Forwarder) repeatRule(rs *requestState, err *core.Error, possibleRuns int) (reason string, allowed, budgeted bool) {
	switch {
	case rs.bodyReleased:
		return "its body is no longer held", false, false
	case err.Ran == core.RanNot && err.Kind == core.Unavailable && err.Step == "connect":
		return "no connection", true, false
	case err.Ran == core.RanNot:
		return "not run", true, true
	case rs.route.Repeat == catalog.Once:
		return "may have run and may not run twice", false, false
	case rs.answerStarted && rs.route.Repeat != catalog.Resumable:
		return "the answer began", false, false
	case rs.withinEvent:
		return "the caller has a part of an event", false, false
	case possibleRuns >= max(rs.route.Attempts, 1):
		return "attempts of the route are spent", false, false
	case f.contents.CrashCount(rs.fingerprint) >= quarantine.ContentCrashes:
		return "crashes endpoints", false, false
	default:
		return "failed and may run again", true, true
	}
}

// normalizeFirstEventTime scales the time to a first event by the length of the
// prompt, so that the times of endpoints can be compared.
func normalizeFirstEventTime(d time.Duration, tokens int) time.Duration {
	const baseTokens = 2500 // reading so many tokens takes about as long as the fixed part of the time
	return time.Duration(float64(d) * baseTokens / float64(baseTokens+tokens))
}

// recordBrokenAnswer is recordFailure for a request whose answer is given up. The answer's
// connection is closed first: the check of the endpoint opens another one, and the endpoint
// should not go on meanwhile.
func (f *Forwarder) recordBrokenAnswer(ctx context.Context, rs *requestState, e core.Endpoint, a *Answer, startTime, firstEventAt time.Time, err *core.Error) error {
	// The answer is incomplete whatever Close returns.
	_ = a.Body.Close()
	return f.recordFailure(ctx, rs, e, startTime, firstEventAt, err)
}

// recordFailure records a request that failed at an endpoint and returns err. If the
// endpoint turns out to be down, it is ejected; if it may have run the request before,
// the request's content becomes a suspect. firstEventAt is the time of the answer's
// first event; zero if there was none.
func (f *Forwarder) recordFailure(ctx context.Context, rs *requestState, e core.Endpoint, startTime, firstEventAt time.Time, err *core.Error) error {
	if ctx.Err() == context.Canceled {
		return err
	}
	failedAt := f.now()
	down := err.Step == "connect"
	if !down && err.Ran != core.RanNot && ctx.Err() == nil {
		checkCtx, cancel := context.WithTimeout(ctx, reachabilityTimeout)
		reachability := f.endpoints.Reachable(checkCtx, e)
		cancel()
		if down = reachability != Reachable; down {
			f.recordCrash(rs, e, reachability, firstEventAt, failedAt)
		}
	}
	f.tracker.observe(rs.pool, e.ID, health.Sample{Kind: health.Unary, Elapsed: f.now().Sub(startTime)}, down)
	return err
}
