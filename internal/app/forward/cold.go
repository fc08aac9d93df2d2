package forward

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
	"eelgrassgrade/internal/decide/coldstart"
	"eelgrassgrade/internal/decide/placement"
)

// coldStep is the step of errors that follow from cold endpoints.
const coldStep = "cold endpoints"

// wakeInterval is the time between two requests that wait for the same permit and ask for
// it again. It is about the time in which the first one learns whether it gets it.
const wakeInterval = 5 * time.Millisecond

// coldPools keeps, for each pool with cold endpoints, the requests that wait for them and
// the times for which refused callers were told to come back. It is bounded by the pools of
// the configuration.
type coldPools struct {
	mu     sync.Mutex
	byPool map[core.PoolID]*coldPool
}

type coldPool struct {
	waiting int
	returns coldstart.Returns
}

// change calls f with the state of a pool.
func (c *coldPools) change(id core.PoolID, f func(p *coldPool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byPool == nil {
		c.byPool = map[core.PoolID]*coldPool{}
	}
	p := c.byPool[id]
	if p == nil {
		p = &coldPool{}
		c.byPool[id] = p
	}
	f(p)
}

// isCold reports whether an endpoint is cold.
func (f *Forwarder) isCold(id core.InstanceID) bool {
	_, cold := f.limits.ColdUntil(f.view().ByID[id])
	return cold
}

// warmFirst moves the cold ones among ordered candidates behind the warm ones that have a
// free slot. The others follow, since a cold endpoint bears the few requests that its
// permits allow. Engines keep their order: they slow down long before their slots are
// taken, so a free slot does not show that a warm one has room.
func (f *Forwarder) warmFirst(pool *catalog.Pool, ordered []placement.Candidate) []placement.Candidate {
	if pool != nil && pool.Engine != nil || !slices.ContainsFunc(ordered, func(c placement.Candidate) bool { return f.isCold(c.Endpoint.ID) }) {
		return ordered
	}
	class := func(c placement.Candidate) int {
		switch {
		case f.isCold(c.Endpoint.ID):
			return 1
		case c.Slots > 0 && c.Running >= c.Slots:
			return 2
		}
		return 0
	}
	slices.SortStableFunc(ordered, func(a, b placement.Candidate) int { return cmp.Compare(class(a), class(b)) })
	return ordered
}

// pickOrWait is pickEndpoint for a request that may wait for cold endpoints.
func (f *Forwarder) pickOrWait(ctx context.Context, rs *requestState, tried map[core.InstanceID]bool) []placement.Candidate {
	for {
		candidates := f.pickEndpoint(ctx, rs, tried)
		if len(candidates) > 0 || !f.waitForCold(ctx, rs) {
			return candidates
		}
	}
}

// waitForCold waits until the next permit for a cold endpoint of the request's pool may be
// granted, if all endpoints are closed and the request may wait. It returns false at once
// if it may not, or if the request ends meanwhile.
func (f *Forwarder) waitForCold(ctx context.Context, rs *requestState) bool {
	left, limited := f.poolClosedFor(rs)
	if !limited || !f.poolHasCold(rs) || f.stopError(rs, rs.retryState(), left) != nil {
		return false
	}
	waits := false
	f.cold.change(rs.pool, func(p *coldPool) {
		untilTarget := rs.targetStart.Sub(f.now()) - f.latencies.expectedFirstEvent(rs.route.Name)
		after := left + time.Duration(p.waiting)*wakeInterval
		if waits = coldstart.MayWait(after, untilTarget, rs.coldWait, p.waiting); waits {
			p.waiting++
			left = after
		}
	})
	if !waits {
		return false
	}
	defer f.cold.change(rs.pool, func(p *coldPool) { p.waiting-- })
	rs.coldWait += left
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// poolHasCold reports whether an endpoint that a request may go to is cold.
func (f *Forwarder) poolHasCold(rs *requestState) bool {
	for _, e := range f.endpointsFor(rs, rs.pool) {
		if _, cold := f.limits.ColdUntil(e); cold {
			return true
		}
	}
	return false
}

// coldReturnAfter returns the time after which the next caller that is refused because of
// cold endpoints may come back. untilPermit is the time until the first endpoint takes a
// request of this daemon.
func (f *Forwarder) coldReturnAfter(rs *requestState, untilPermit time.Duration) time.Duration {
	now := f.now()
	perSecond, untilWarm := 0.0, coldstart.MaxColdTime
	for _, e := range f.endpointsFor(rs, rs.pool) {
		if until, cold := f.limits.ColdUntil(e); cold {
			perSecond += f.limits.ColdShare(e)
			untilWarm = min(untilWarm, until.Sub(now))
		}
	}
	var after time.Duration
	f.cold.change(rs.pool, func(p *coldPool) { after = p.returns.After(now, perSecond, untilPermit, untilWarm) })
	return after
}

// coldPoolError returns the error of a request to a pool whose endpoints are cold and take
// no other request within d.
func coldPoolError(d time.Duration) *core.Error {
	return &core.Error{Kind: core.Unavailable, Step: coldStep, Ran: core.RanNot, RetryAfter: d,
		Detail: "endpoints of the pool are cold and take no more requests at the moment"}
}
