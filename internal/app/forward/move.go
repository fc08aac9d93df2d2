package forward

import (
	"context"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/health"
	"eelgrassgrade/internal/decide/placement"
	"eelgrassgrade/internal/decide/repeats"
	"eelgrassgrade/internal/decide/shutdown"
)

// stallRecheck is the time after which a stalled stream that may not go on elsewhere looks
// again for an endpoint that could take it.
const stallRecheck = 500 * time.Millisecond

// mayMove reports whether a resumable stream whose endpoint has been silent for the stall
// timeout goes on at another endpoint. Silence alone does not end it: an engine that is out
// of memory pauses sound streams, and one that is given up without need costs its caller
// the rest. So it moves only if it may be sent once more and a healthy endpoint has room
// for it. The permit for that endpoint and the retry are then taken. Otherwise the stream
// stays, until an event arrives or the request's deadline passes.
func (f *Forwarder) mayMove(ctx context.Context, s *streamRelay) bool {
	rs := s.state
	err := s.streamError("the endpoint sent no event within the stall timeout", nil)
	reason, allowed, budgeted := f.repeatRule(rs, err, s.possibleRuns+1)
	var budget *repeats.Decision
	switch {
	case !allowed:
	case s.triesSpent():
		reason, allowed = "stalled, too many endpoints did not take it", false
	case f.hasQuarantinedPart(rs):
		reason, allowed = "stalled, endpoints crash on a part of its prompt", false
	case !f.mayStartAgain(rs):
		reason, allowed = "stalled, too little time to begin again", false
	case !f.reserveHealthyEndpoint(ctx, rs, s.tried):
		reason, allowed = "stalled, no other endpoint has room", false
	case budgeted:
		budget, allowed = f.takeRetry(rs)
	}
	if allowed || !s.stayReported {
		f.events.RetryDecided(rs.req, rs.pool, reason, allowed, budget, err)
	}
	s.moves, s.stayReported = allowed, true
	return allowed
}

// pickLeft returns the endpoint that a stream has left for its silence, if there is one and
// it takes the stream again: it was sound, and no other endpoint takes the stream after all.
func (f *Forwarder) pickLeft(ctx context.Context, s *streamRelay) []placement.Candidate {
	if s.left == "" {
		return nil
	}
	others := map[core.InstanceID]bool{}
	for _, e := range f.view().ByPool[s.state.pool] {
		others[e.ID] = e.ID != s.left
	}
	s.left = ""
	return f.pickEndpoint(ctx, s.state, others)
}

// mayStartAgain reports whether the time suffices for a request that has begun to be sent
// to another endpoint, and whether its stages may run again if they have to.
func (f *Forwarder) mayStartAgain(rs *requestState) bool {
	needed, stages := f.latencies.expectedFirstEvent(rs.route.Name), time.Duration(0)
	if rs.inputs.inputsReleased() {
		if rs.stageRuns > 1 {
			return false
		}
		needed, stages = rs.plan.expectedTime, rs.plan.stagesTime()
	}
	return f.hasTimeToMove(rs, needed, stages)
}

// hasTimeToMove reports whether the time suffices for a request that has begun and whose
// next event is expected after the time needed, stages of which its stages take.
func (f *Forwarder) hasTimeToMove(rs *requestState, needed, stages time.Duration) bool {
	return f.stopError(rs, shutdown.Moving, stages) == nil && f.now().Add(max(needed, minRemaining)).Before(rs.deadline)
}

// reserveHealthyEndpoint reports whether a healthy endpoint with a free slot that was not
// tried yet takes the request now. It gets the permit if the endpoint names a limit.
func (f *Forwarder) reserveHealthyEndpoint(ctx context.Context, rs *requestState, tried map[core.InstanceID]bool) bool {
	best := f.candidates(rs, tried)
	if len(best) == 0 || best[0].Slots > 0 && best[0].Running >= best[0].Slots || !f.isHealthy(rs.pool, best[0].Endpoint.ID) {
		return false
	}
	held, grantedAt := rs.permit, rs.permitAt
	if f.now().Sub(grantedAt) >= permitLife {
		held = ""
	}
	picked := f.pickEndpoint(ctx, rs, tried)
	if len(picked) == 0 || !f.isHealthy(rs.pool, picked[0].Endpoint.ID) {
		return false
	}
	// A permit that was granted for an earlier decision is not renewed by another one.
	if rs.permit = picked[0].Endpoint.ID; rs.permit != held {
		grantedAt = f.now()
	}
	rs.permitAt = grantedAt
	return true
}

// isHealthy reports whether no daemon considers an endpoint as failing.
func (f *Forwarder) isHealthy(pool core.PoolID, id core.InstanceID) bool {
	_, _, status := f.tracker.localState(pool, id)
	return status.Phase(f.now()) == health.Serving && !status.Failing && !f.fleet().Loads[id].Failing
}
