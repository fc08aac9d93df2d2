package stagework

import (
	"context"
	"time"
)

// freeResultLocked adds a result to the next batch that is freed at its endpoint. Its
// capacity counts as taken until the endpoint has confirmed the batch. The caller holds
// mu.
func (g *endpointGroup) freeResultLocked(r Result) {
	e := g.endpoints[r.Endpoint]
	if e == nil {
		return
	}
	now := g.coordinator.now()
	interval := g.freeInterval(e)
	if interval >= g.limits.ResultTTL {
		// The endpoint drops the result by itself before a call to free it is due.
		return
	}
	if len(e.handlesToFree) == 0 {
		e.freeQueuedAt = now
	}
	e.handlesToFree = append(e.handlesToFree, r.Handle)
	if e.freeScheduled {
		return
	}
	e.freeScheduled = true
	delay := idleFreeDelay
	if e.freeBytes(now, g.limits.ResultCapacityBytes) < 2*g.limits.ResultCapacityBytes/3 {
		delay = busyFreeDelay
	}
	// An endpoint that asked for a pause is not called before the pause ends. Results
	// that expire meanwhile are dropped by the endpoint itself.
	delay = max(delay, interval, min(g.coordinator.pausedUntil(e.entry).Sub(now), g.limits.ResultTTL))
	time.AfterFunc(delay, func() { g.freeResults(e) })
}

// freeResults frees the collected results of an endpoint. If the endpoint's limit is
// reached, it tries again when a permit may be granted.
func (g *endpointGroup) freeResults(e *endpointState) {
	paused := g.coordinator.now().Before(g.coordinator.pausedUntil(e.entry))
	if !paused && !g.coordinator.limits.Acquire(g.coordinator.ctx, e.entry, maxRank, "") {
		g.retryFree(e)
		return
	}
	g.mu.Lock()
	handles := e.handlesToFree
	e.handlesToFree, e.freeScheduled = nil, false
	g.mu.Unlock()
	if paused {
		return
	}
	ctx, cancel := context.WithTimeout(g.coordinator.ctx, freeTimeout)
	defer cancel()
	began := g.coordinator.now()
	if err := g.coordinator.endpoints.FreeResults(ctx, e.entry.Endpoint, handles); err != nil {
		// The endpoint drops the results by itself when they expire.
		g.coordinator.events.CallEnded(g.poolID, e.entry.ID, 0, 0, 0, err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	e.observeRoundTrip(g.coordinator.now().Sub(began))
	for _, h := range handles {
		delete(e.results, h)
	}
	g.schedule()
}

// retryFree frees the collected results later, or leaves them to expire if the first of
// them already has.
func (g *endpointGroup) retryFree(e *endpointState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.coordinator.now()
	if now.Sub(e.freeQueuedAt) >= g.limits.ResultTTL || g.coordinator.ctx.Err() != nil {
		e.handlesToFree, e.freeScheduled = nil, false
		return
	}
	delay := max(g.coordinator.limits.BlockedUntil(e.entry, maxRank).Sub(now), busyFreeDelay)
	time.AfterFunc(delay, func() { g.freeResults(e) })
}
