package stagework

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/batching"
)

// waits returns the estimated wait of a new piece by rank, or nil if no waiting piece can
// still meet its latest start.
func (g *endpointGroup) waits() []time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.coordinator.now()
	usable := g.usableEndpoints(now)
	var queued [maxRank + 1]int
	for _, it := range g.queue {
		if it.LatestStart.After(now) {
			queued[min(it.Rank, maxRank)]++
		}
	}
	if queued == [maxRank + 1]int{} {
		// Most daemons have empty queues. With hundreds of daemons, all-zero waits would
		// only enlarge each status that they exchange.
		return nil
	}
	waits := make([]time.Duration, maxRank+1)
	rate := g.finishRate(now, usable)
	total, overtaking := 0, 0.0
	for rank := range waits {
		total += queued[rank]
		waits[rank] = batching.EstimateWait(total, rate, overtaking)
		overtaking += g.arrivalRates.rate(now, rank)
	}
	return waits
}

// finishRate returns the number of pieces that finish per second: the nominal rate of
// the usable endpoints, which their limits bound, or, while there is a backlog, the measured rate if it is lower,
// as it is when result capacity is scarce or endpoints are slow.
func (g *endpointGroup) finishRate(now time.Time, usable int) float64 {
	nominal := g.nominalRate(now)
	for len(g.finishTimes) > 0 && now.Sub(g.finishTimes[0]) > finishRateWindow {
		g.finishTimes = g.finishTimes[1:]
	}
	switch {
	case len(g.queue) <= g.limits.MaxPieces*usable:
		g.backlogSince = time.Time{}
		return nominal
	case g.backlogSince.IsZero():
		g.backlogSince = now
	}
	if now.Sub(g.backlogSince) < finishRateWindow {
		// Pieces that finished before the backlog do not show how many could finish.
		return nominal
	}
	return min(nominal, max(float64(len(g.finishTimes))/finishRateWindow.Seconds(), 1))
}

// unavailable reports whether an endpoint gets no calls now, because it was ejected after
// a failure or asked for a pause.
func (g *endpointGroup) unavailable(e *endpointState, now time.Time) bool {
	return e.ejected(now) || now.Before(g.coordinator.pausedUntil(e.entry))
}

// usableEndpoints returns the number of endpoints that are not unavailable.
func (g *endpointGroup) usableEndpoints(now time.Time) int {
	n := 0
	for _, e := range g.endpoints {
		if !g.unavailable(e, now) {
			n++
		}
	}
	return n
}

// dropExpired ends waiting tasks whose deadline has passed and, if the queue is long,
// those that cannot be served before their deadline. The caller holds mu.
func (g *endpointGroup) dropExpired(now time.Time) {
	for _, it := range slices.Clone(g.queue) {
		if !it.task.ended && now.After(it.Deadline) {
			g.endTask(it.task, &core.Error{Kind: core.DeadlineExceeded, Step: "stage", Ran: core.RanNot, Detail: "the deadline passed before an endpoint was free for the stage"})
		}
	}
	if now.Sub(g.lastPruned) < pruneInterval || len(g.queue) < pruneMinCalls*g.limits.MaxPieces*max(len(g.endpoints), 1) {
		return
	}
	// A queue of this length shrinks at the rate that finishRate returns. Tasks that
	// would be served too late are refused now rather than at their deadline.
	g.lastPruned = now
	rate := g.finishRate(now, g.usableEndpoints(now))
	for i, it := range g.sortedQueue(now, "") {
		// More urgent pieces that arrive later overtake this one. Once it has missed its
		// latest start, so do new pieces of all ranks, unless its inputs are large.
		overtaking := 0.0
		for rank := range g.arrivalRates.weightedCount {
			if rank < it.Rank || it.LatestStart.Before(now) && !it.LargeInputs {
				overtaking += g.arrivalRates.rate(now, rank)
			}
		}
		if wait := batching.EstimateWait(i, rate, overtaking); !it.task.ended && now.Add(time.Duration(minWaitShare*float64(wait))).After(it.Deadline) {
			g.endTask(it.task, &core.Error{Kind: core.Unavailable, Step: "stage", Ran: core.RanNot, RetryAfter: wait,
				Detail: fmt.Sprintf("the queue of the stage is too long to meet the deadline: %d pieces ahead, %.0f pieces finish per second, %.0f more urgent ones arrive per second, %d ms left",
					i, rate, overtaking, it.Deadline.Sub(now).Milliseconds())})
		}
	}
}

// idleEndpoints returns the endpoints that can take a call, and asks for permits for
// those that could but for their limits. If no endpoint is usable, it
// returns the ejected one whose ejection ends first, once that is near.
func (g *endpointGroup) idleEndpoints(now time.Time) []*endpointState {
	var idle []*endpointState
	usable := 0
	var firstToReturn *endpointState
	for _, e := range g.endpoints {
		if now.Before(g.coordinator.pausedUntil(e.entry)) {
			continue
		}
		if e.ejected(now) {
			if e.blockingCalls == 0 && !g.lacksPermit(e, now) && (firstToReturn == nil || e.ejectedUntil.Before(firstToReturn.ejectedUntil)) {
				firstToReturn = e
			}
			continue
		}
		usable++
		switch {
		case e.blockingCalls > 0:
		case g.lacksPermit(e, now):
			g.requestPermit(e, now)
		default:
			idle = append(idle, e)
		}
	}
	if usable == 0 && firstToReturn != nil && firstToReturn.ejectedUntil.Sub(now) < maxEjection/2 {
		idle = append(idle, firstToReturn)
	}
	return idle
}

// pickEndpoint returns the idle endpoint to call next. It prefers endpoints that are not
// slow, then those in the preferred data centre, then those with the fewest stored results.
func pickEndpoint(idle []*endpointState, preferredDataCenter core.DataCenterID, now time.Time) *endpointState {
	return slices.MinFunc(idle, func(a, b *endpointState) int {
		sa, sb := a.slowness(now), b.slowness(now)
		if (sa > slowThreshold) != (sb > slowThreshold) {
			return cmp.Compare(sa, sb)
		}
		far := func(e *endpointState) int {
			if e.entry.DataCenter == preferredDataCenter {
				return 0
			}
			return 1
		}
		if c := cmp.Compare(far(a), far(b)); c != 0 {
			return c
		}
		if c := cmp.Compare(len(a.results), len(b.results)); c != 0 {
			return c
		}
		return cmp.Compare(a.entry.ID, b.entry.ID)
	})
}

// sortedQueue returns the queue in the order of service for an endpoint in dc. The queue
// itself keeps its order.
func (g *endpointGroup) sortedQueue(now time.Time, dc core.DataCenterID) []*workItem {
	pieces := make([]*batching.Piece, len(g.queue))
	byPiece := make(map[*batching.Piece]*workItem, len(g.queue))
	for i, it := range g.queue {
		pieces[i] = &it.Piece
		byPiece[&it.Piece] = it
	}
	batching.Order(now, pieces, string(dc), g.accountsOverShare(now))
	items := make([]*workItem, len(pieces))
	for i, x := range pieces {
		items[i] = byPiece[x]
	}
	return items
}

// accountsOverShare returns the accounts that recently used more than their share. The
// caller holds mu.
func (g *endpointGroup) accountsOverShare(now time.Time) map[string]bool {
	if d := now.Sub(g.accountUsageAt); d > accountUsageWindow/4 {
		remaining := 1 - min(1, float64(d)/float64(accountUsageWindow))
		for account := range g.accountUsage {
			if g.accountUsage[account] *= remaining; g.accountUsage[account] < 0.5 {
				delete(g.accountUsage, account)
			}
		}
		g.accountUsageAt = now
	}
	total := 0.0
	for _, usage := range g.accountUsage {
		total += usage
	}
	over := map[string]bool{}
	for account, usage := range g.accountUsage {
		if len(g.accountUsage) > 1 && usage > overShareFactor*total/float64(len(g.accountUsage)) {
			over[string(account)] = true
		}
	}
	return over
}

// preferDataCenter makes dc the preferred data centre of a task's waiting pieces once its
// first piece runs there, so that the inputs of the next stage are in one place. A task
// that has a preferred data centre keeps it.
func (g *endpointGroup) preferDataCenter(it *workItem, dc core.DataCenterID) {
	if it.PreferredDataCenter != "" {
		return
	}
	for _, other := range g.queue {
		if other.task == it.task {
			other.PreferredDataCenter = string(dc)
		}
	}
}

// hasFastEndpointIn reports whether a usable endpoint in a data centre is not slow.
func (g *endpointGroup) hasFastEndpointIn(now time.Time, dc string) bool {
	for _, e := range g.endpoints {
		if string(e.entry.DataCenter) == dc && !g.unavailable(e, now) && !g.atLimit(e, now) && e.slowness(now) <= slowThreshold {
			return true
		}
	}
	return false
}

// hasFastEndpoint reports whether a usable endpoint is not slow.
func (g *endpointGroup) hasFastEndpoint(now time.Time) bool {
	for _, e := range g.endpoints {
		if !g.unavailable(e, now) && !g.atLimit(e, now) && e.slowness(now) <= slowThreshold {
			return true
		}
	}
	return false
}

// expectedTime returns the configured time of a call with the given number of pieces.
func (g *endpointGroup) expectedTime(pieces int) time.Duration {
	return g.limits.CallTime + time.Duration(pieces)*g.limits.PieceTime
}
