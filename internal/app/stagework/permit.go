package stagework

import (
	"time"

	"eelgrassgrade/internal/decide/coldstart"
)

const (
	// permitLife is how long a permit is kept for a call. Permits that are used later than
	// they were granted can meet in one window with later ones.
	permitLife = time.Second
	// freeShare is the part of an endpoint's limit that calls which free results may take.
	freeShare = 0.25
)

// lacksPermit reports whether an endpoint names a limit and there is no permit for the
// next call. The caller holds mu.
func (g *endpointGroup) lacksPermit(e *endpointState, now time.Time) bool {
	_, _, limited := g.coordinator.limits.Limit(e.entry)
	return limited && !now.Before(e.permitUntil)
}

// requestPermit asks for a permit for the next call to an endpoint, unless that is under
// way or not due. The queue is checked again when the answer arrives. The caller holds mu.
func (g *endpointGroup) requestPermit(e *endpointState, now time.Time) {
	rank := g.mostUrgentRank()
	if e.requestingPermit || now.Before(g.coordinator.limits.BlockedUntil(e.entry, rank)) {
		return
	}
	e.requestingPermit = true
	go func() {
		granted := g.coordinator.limits.Acquire(g.coordinator.ctx, e.entry, rank, "")
		g.mu.Lock()
		defer g.mu.Unlock()
		e.requestingPermit = false
		if granted {
			life := permitLife
			if _, cold := g.coordinator.limits.ColdUntil(e.entry); cold {
				life = coldstart.PermitLife
			}
			e.permitUntil = g.coordinator.now().Add(life)
			g.schedule()
		}
	}()
}

// atLimit reports whether an endpoint gets no call for the moment because of its limit.
// The caller holds mu.
func (g *endpointGroup) atLimit(e *endpointState, now time.Time) bool {
	return g.lacksPermit(e, now) && now.Before(g.coordinator.limits.BlockedUntil(e.entry, g.mostUrgentRank()))
}

// mostUrgentRank returns the rank of the most urgent waiting piece. The caller holds mu.
func (g *endpointGroup) mostUrgentRank() int {
	rank := maxRank
	for _, it := range g.queue {
		rank = min(rank, it.Rank)
	}
	return rank
}

// nominalRate returns the number of pieces that the usable endpoints can finish per
// second with full calls, or what one endpoint can if none is usable. The caller holds mu.
func (g *endpointGroup) nominalRate(now time.Time) float64 {
	callsPerSecond := 1 / g.expectedTime(g.limits.MaxPieces).Seconds()
	total, usable := 0.0, 0
	for _, e := range g.endpoints {
		if g.unavailable(e, now) {
			continue
		}
		usable++
		rate := callsPerSecond
		if perSecond, _, limited := g.coordinator.limits.Limit(e.entry); limited {
			rate = min(rate, perSecond)
		}
		total += rate
	}
	if usable == 0 {
		total = callsPerSecond
	}
	return total * float64(g.limits.MaxPieces)
}

// freeInterval returns the shortest time between two calls that free results at an
// endpoint because of its limit: 0 if the endpoint names none, ResultTTL at most.
func (g *endpointGroup) freeInterval(e *endpointState) time.Duration {
	perSecond, _, limited := g.coordinator.limits.Limit(e.entry)
	if !limited {
		return 0
	}
	if frees := freeShare * perSecond; frees*g.limits.ResultTTL.Seconds() > 1 {
		return time.Duration(float64(time.Second) / frees)
	}
	return g.limits.ResultTTL
}
