package forward

import (
	"context"
	"slices"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/placement"
	"eelgrassgrade/internal/decide/ratelimit"
)

const (
	// maxPermitRequests bounds the endpoints for which one request asks for a permit
	// before one try. Each takes a message to another daemon.
	maxPermitRequests = 4
	// permitLife is how long a request may keep its permit while its stages run. Permits
	// that are used later than they were granted can meet in one window with later ones.
	permitLife = ratelimit.Window / 2
)

// endpointsFor returns the endpoints of a pool that a request may go to: all that may get
// work, or those in the regions that the request is restricted to.
func (f *Forwarder) endpointsFor(rs *requestState, pool core.PoolID) []endpoints.Entry {
	all := f.view().ByPool[pool]
	if rs.homes == nil {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(e endpoints.Entry) bool { return !rs.homes.Allow(f.regionOf(e.DataCenter)) })
}

// closedUntil returns the time before which an endpoint gets no requests of a rank from
// this daemon, since it asked for a pause or its limit is reached.
func (f *Forwarder) closedUntil(e endpoints.Entry, rank int) time.Time {
	paused, blocked := f.pausedUntil(e), f.limits.BlockedUntil(e, rank)
	if blocked.After(paused) {
		return blocked
	}
	return paused
}

// pickEndpoint returns the candidates for a request, the one to send it to first. It gets
// a permit for that one if the endpoint names a limit, and goes on with the next one if
// there is none. It returns nil if no endpoint takes the request.
func (f *Forwarder) pickEndpoint(ctx context.Context, rs *requestState, tried map[core.InstanceID]bool) []placement.Candidate {
	if f.now().Sub(rs.permitAt) >= permitLife || rs.permit != "" && f.isCold(rs.permit) {
		rs.permit = ""
	}
	for asked := 0; ctx.Err() == nil; {
		candidates := f.candidates(rs, tried)
		if i := indexOf(candidates, rs.permit); rs.permit != "" && i >= 0 {
			rs.permit = ""
			return moveToFront(candidates, i)
		}
		rs.permit = ""
		if asked == maxPermitRequests {
			i := slices.IndexFunc(candidates, f.unlimited)
			if i < 0 {
				return nil
			}
			return moveToFront(candidates, i)
		}
		if len(candidates) == 0 {
			return nil
		}
		if f.limits.Acquire(ctx, f.view().ByID[candidates[0].Endpoint.ID], rs.rank, rs.req.ID) {
			return candidates
		}
		asked++
		if f.isCold(candidates[0].Endpoint.ID) && slices.ContainsFunc(candidates, f.unlimited) {
			// A warm endpoint is better than the messages to further grantors.
			asked = maxPermitRequests
		}
	}
	return nil
}

func (f *Forwarder) unlimited(c placement.Candidate) bool { return !f.isLimited(c.Endpoint) }

func (f *Forwarder) isLimited(e core.Endpoint) bool {
	_, _, limited := f.limits.Limit(f.view().ByID[e.ID])
	return limited
}

func indexOf(candidates []placement.Candidate, id core.InstanceID) int {
	return slices.IndexFunc(candidates, func(c placement.Candidate) bool { return c.Endpoint.ID == id })
}

// moveToFront moves the candidate at index i to the front.
func moveToFront(candidates []placement.Candidate, i int) []placement.Candidate {
	first := candidates[i]
	return slices.Insert(slices.Delete(candidates, i, i+1), 0, first)
}

// reservePermit gets the permit for a request before its stages run, if each endpoint of
// its pool names a limit. Otherwise the work of the stages would be lost whenever no
// permit is left after them. Permits for cold endpoints cannot be kept for so long.
func (f *Forwarder) reservePermit(ctx context.Context, rs *requestState) *core.Error {
	entries := f.endpointsFor(rs, rs.pool)
	if len(entries) == 0 || slices.ContainsFunc(entries, func(e endpoints.Entry) bool { return !f.isLimited(e.Endpoint) || f.isCold(e.ID) }) {
		return nil
	}
	candidates := f.pickEndpoint(ctx, rs, nil)
	if len(candidates) == 0 {
		if err := f.poolClosedError(rs); err != nil {
			return err
		}
		return limitReachedError(grantorRetryAfter)
	}
	rs.permit, rs.permitAt = candidates[0].Endpoint.ID, f.now()
	return nil
}

// grantorRetryAfter is the time to come back if some endpoints were not asked for a permit.
const grantorRetryAfter = 500 * time.Millisecond

// poolClosedFor returns the time until the first endpoint that a request may go to accepts
// it from this daemon, and whether that endpoint names a limit. It is 0 unless all of them
// are closed to it.
func (f *Forwarder) poolClosedFor(rs *requestState) (left time.Duration, limited bool) {
	now := f.now()
	for i, e := range f.endpointsFor(rs, rs.pool) {
		if d := max(f.closedUntil(e, rs.rank).Sub(now), 0); i == 0 || d < left {
			left, limited = d, now.Before(f.limits.BlockedUntil(e, rs.rank))
		}
	}
	return left, limited
}

// poolClosedError returns the error of a request to a pool of which all endpoints are
// closed to it, or nil if one is not.
func (f *Forwarder) poolClosedError(rs *requestState) *core.Error {
	switch left, limited := f.poolClosedFor(rs); {
	case left <= 0:
		return nil
	case limited && f.poolHasCold(rs):
		return coldPoolError(left)
	case limited:
		return limitReachedError(left)
	default:
		return poolPausedError(left)
	}
}

// endpointStep is the step of errors that follow from what endpoints have asked for.
const endpointStep = "endpoint"

// poolPausedError returns the error of a request to a pool of which all endpoints
// have asked for a pause that lasts for d or longer.
func poolPausedError(d time.Duration) *core.Error {
	return &core.Error{Kind: core.Unavailable, Step: endpointStep, Ran: core.RanNot, RetryAfter: d, Detail: "all endpoints of the pool have asked for a pause"}
}

// limitReachedError returns the error of a request to a pool of which no endpoint takes
// another request within d because of the limits that they name.
func limitReachedError(d time.Duration) *core.Error {
	return &core.Error{Kind: core.Unavailable, Step: endpointStep, Ran: core.RanNot, RetryAfter: d, Detail: "the endpoints of the pool take no more requests at the moment: the limits that they name are reached"}
}
