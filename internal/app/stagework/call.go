package stagework

import (
	"context"
	"slices"
	"sync"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/repeats"
)

// call is one call to an endpoint that is in progress.
type call struct {
	items       []*workItem
	pieces      []Piece
	endpoint    *endpointState
	sentAt      time.Time
	expected    time.Duration
	resultBytes int
	// fetchTime is the expected time from the start of the call at the endpoint until
	// the endpoint has fetched the inputs.
	fetchTime time.Duration
	// untrackedLimit is the most capacity that untracked results can have taken when the
	// call was sent: the endpoint's result capacity without that of tracked results.
	untrackedLimit int
	// slotReleased says that the call no longer keeps the next one from being sent.
	slotReleased bool
	// overdue says that the call took longer than callTimeoutFactor times the expected
	// time, which counts as a failure of its endpoint.
	overdue bool
}

// runCall performs a call. If the call takes much longer than expected, its pieces
// are queued again for other endpoints; the first result of each piece counts. A call that
// times out is given up only if other calls can produce its pieces.
func (g *endpointGroup) runCall(c *call) {
	ctx, cancel := context.WithCancel(g.coordinator.ctx)
	defer cancel()
	timeout := &resettableTimer{}
	var giveUp func()
	giveUp = func() {
		if g.mayGiveUp(c) {
			cancel()
			return
		}
		timeout.start(overdueRecheck, giveUp)
	}
	timeout.start(callTimeoutFactor*c.expected, giveUp)
	defer timeout.Stop()
	sendNextTimer := g.afterCallStart(c, max(c.expected-sendAheadTime, 0), g.sendNextEarly)
	defer sendNextTimer.Stop()
	fetchedTimer := g.afterCallStart(c, c.fetchTime, g.freeFetchedInputs)
	defer fetchedTimer.Stop()
	// The time counts from when the call was sent, not from when it started: a call
	// that waits at the endpoint behind an overdue one is overdue as well.
	hedgeTimer := time.AfterFunc(time.Duration(hedgeFactor*float64(c.expected))+hedgeSlack, func() { g.hedge(c) })
	defer hedgeTimer.Stop()
	outcomes, err := g.coordinator.endpoints.RunPieces(ctx, c.endpoint.entry.Endpoint, c.pieces)
	now := g.coordinator.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	took := now.Sub(c.startTime())
	c.endpoint.lastCallEnd = now
	g.coordinator.events.CallEnded(g.poolID, c.endpoint.entry.ID, len(c.pieces), took, c.expected, err)
	g.releaseSlot(c)
	c.endpoint.outstandingCalls--
	c.endpoint.reservedBytes -= c.resultBytes
	if err != nil || len(outcomes) != len(c.items) {
		g.callFailed(c, core.AsError(err, "stage"))
	} else {
		g.callSucceeded(c, outcomes, took)
	}
	g.schedule()
}

// startTime returns when the endpoint started the call. A call that was sent ahead
// starts when the previous call ends.
func (c *call) startTime() time.Time {
	if c.endpoint.lastCallEnd.After(c.sentAt) {
		return c.endpoint.lastCallEnd
	}
	return c.sentAt
}

// resettableTimer is a timer that its own function may start again.
type resettableTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// start starts the timer unless it was stopped.
func (t *resettableTimer) start(d time.Duration, f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.timer = time.AfterFunc(d, f)
	}
}

// Stop stops the timer and prevents further starts.
func (t *resettableTimer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// afterCallStart calls f once d has passed since the endpoint started the call. A call
// that waits for the previous one has not started.
func (g *endpointGroup) afterCallStart(c *call, d time.Duration, f func(*call)) *resettableTimer {
	t := &resettableTimer{}
	var check func()
	check = func() {
		g.mu.Lock()
		waiting := c.endpoint.outstandingCalls > 1 && c.endpoint.lastCallEnd.Before(c.sentAt)
		remaining := d - g.coordinator.now().Sub(c.startTime())
		g.mu.Unlock()
		switch {
		case waiting:
			t.start(callStartPollInterval, check)
		case remaining > time.Millisecond:
			t.start(remaining, check)
		default:
			f(c)
		}
	}
	t.start(d, check)
	return t
}

// releaseSlot lets the next call be sent to the endpoint. The caller holds mu.
func (g *endpointGroup) releaseSlot(c *call) {
	if !c.slotReleased {
		c.slotReleased = true
		c.endpoint.blockingCalls--
	}
}

// sendNextEarly is called shortly before a call is expected to end. It lets the next
// call be sent already, unless the endpoint is slow, unavailable or has another call
// waiting.
func (g *endpointGroup) sendNextEarly(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.endpoint.outstandingCalls == 1 && c.endpoint.slowness(g.coordinator.now()) <= slowThreshold && !g.unavailable(c.endpoint, g.coordinator.now()) {
		g.releaseSlot(c)
		g.schedule()
	}
}

// freeFetchedInputs is called when the endpoint should have fetched the inputs of a
// call. It frees the inputs of a task once the calls of all its pieces have fetched
// them, provided that pieces wait for result capacity where the inputs are stored.
func (g *endpointGroup) freeFetchedInputs(c *call) {
	type poolEndpoint struct {
		pool     core.PoolID
		endpoint core.InstanceID
	}
	scarce := map[poolEndpoint]bool{}
	for _, it := range c.items {
		for _, r := range it.task.ExclusiveInputs {
			key := poolEndpoint{it.task.ExclusiveInputsPool, r.Endpoint}
			if _, ok := scarce[key]; !ok {
				scarce[key] = g.coordinator.capacityWait(key.pool, r) > scarceCapacityWait
			}
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, it := range c.items {
		t := it.task
		if it.inputsFetched || t.ended || !slices.ContainsFunc(t.ExclusiveInputs, func(r Result) bool { return scarce[poolEndpoint{t.ExclusiveInputsPool, r.Endpoint}] }) {
			continue
		}
		it.inputsFetched = true
		if t.unfetchedPieces--; t.unfetchedPieces == 0 {
			t.inputsFreed = true
			g.coordinator.releaseInputs(t.ExclusiveInputsPool, t.ExclusiveInputs)
		}
	}
}

// hedge queues the pieces of an overdue call again, so that another endpoint can run
// them in parallel. Only pieces that run in no other call are queued.
func (g *endpointGroup) hedge(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.coordinator.now()
	c.endpoint.lastSlowness = max(c.endpoint.lastSlowness, hedgeFactor)
	c.endpoint.lastSlownessAt = now
	for _, it := range c.items {
		if it.finished || it.queued || it.task.ended || it.runningCalls != 1 || it.task.inputsFreed {
			continue
		}
		budget := g.coordinator.budget.TakeOptional(g.poolID, 1)
		g.coordinator.events.PieceRepeated(it.task.Task, "call takes too long", budget.Allowed, &budget)
		if budget.Allowed {
			it.queued = true
			g.queue = append(g.queue, it)
		}
	}
	g.schedule()
}

// mayGiveUp reports whether a call that has timed out is given up: if all its pieces that
// are still needed run in other calls. Those that do not are queued for one as far as they
// can be repeated; until they run there the call goes on, since a late result is better than
// none.
func (g *endpointGroup) mayGiveUp(c *call) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := !c.overdue
	if first {
		c.overdue = true
		g.recordFailure(c.endpoint, "a call timed out")
	}
	needed, repeatable := false, g.hasOther(c.endpoint)
	for _, it := range c.items {
		if it.finished || it.task.ended || it.runningCalls > 1 {
			continue
		}
		needed = true
		if repeatable && !it.queued {
			g.repeatOverdue(it, first)
		}
	}
	g.schedule()
	return !needed
}

// hasOther reports whether another endpoint of the group accepts calls. The caller holds mu.
func (g *endpointGroup) hasOther(e *endpointState) bool {
	now := g.coordinator.now()
	for _, other := range g.endpoints {
		if other != e && !g.unavailable(other, now) {
			return true
		}
	}
	return false
}

// repeatOverdue queues a piece of an overdue call again if it can be repeated. report says
// that a refusal is reported. The caller holds mu.
func (g *endpointGroup) repeatOverdue(it *workItem, report bool) {
	allowed := !it.task.inputsFreed && it.failures+1 < maxFailures
	var budget *repeats.Decision
	if allowed {
		d := g.coordinator.budget.Take(g.poolID, 1)
		allowed, budget = d.Allowed, &d
	}
	if allowed || report {
		g.coordinator.events.PieceRepeated(it.task.Task, "call timed out", allowed, budget)
	}
	if allowed {
		it.queued = true
		g.queue = append(g.queue, it)
	}
}

// recordFailure records a failure of an endpoint, which may eject it. The caller holds mu.
func (g *endpointGroup) recordFailure(e *endpointState, detail string) {
	if e.recordFailure(g.coordinator.now()) {
		g.coordinator.events.EndpointHealth(g.poolID, e.entry.ID, true, detail)
	}
}

// callFailed ejects the endpoint and retries the pieces of the call. The caller holds
// mu.
func (g *endpointGroup) callFailed(c *call, err *core.Error) {
	if !c.overdue {
		g.recordFailure(c.endpoint, err.Detail)
	}
	for _, it := range c.items {
		it.runningCalls--
		it.failures++
		g.retry(it, err.Step == "connect", "call failed", err)
	}
}

// retry queues a piece that has no result again, if the limit of failures and the
// retry budget allow it; otherwise it ends the task with an error. A free repeat needs
// no retry budget: its piece has not reached an endpoint, or waits for capacity. The
// caller holds mu.
func (g *endpointGroup) retry(it *workItem, free bool, reason string, cause *core.Error) {
	if it.finished || it.queued || it.task.ended || it.runningCalls > 0 {
		return
	}
	if g.removed {
		g.endTask(it.task, groupRemovedError())
		return
	}
	if it.task.inputsFreed {
		g.endTask(it.task, &core.Error{Kind: core.Conflict, Step: "stage", Peer: cause.Peer, Ran: core.RanNot, Detail: "the call failed and cannot be retried, since its inputs were already freed: " + cause.Detail, Err: cause})
		return
	}
	allowed := it.failures < maxFailures
	var budget *repeats.Decision
	if allowed && !free {
		d := g.coordinator.budget.Take(g.poolID, 1)
		allowed, budget = d.Allowed, &d
	}
	g.coordinator.events.PieceRepeated(it.task.Task, reason, allowed, budget)
	if allowed {
		it.queued = true
		g.queue = append(g.queue, it)
		return
	}
	g.endTask(it.task, &core.Error{Kind: core.Unavailable, Step: "stage", Peer: cause.Peer, Ran: core.RanNot, RetryAfter: time.Second, Detail: "stage failed: " + cause.Detail, Err: cause})
}

// callSucceeded handles a call that returned an outcome for each piece. The caller
// holds mu.
func (g *endpointGroup) callSucceeded(c *call, outcomes []Outcome, took time.Duration) {
	now := g.coordinator.now()
	worked := slices.ContainsFunc(outcomes, func(o Outcome) bool { return o.Status == Done })
	if c.endpoint.recordSuccess(now, took, g.expectedTime(len(c.items)), worked) {
		g.coordinator.events.EndpointHealth(g.poolID, c.endpoint.entry.ID, false, "")
	}
	if untracked, noCapacity := c.untrackedBytes(outcomes); noCapacity {
		c.endpoint.recordNoResultCapacity(now, untracked)
	}
	for i, it := range c.items {
		it.runningCalls--
		g.recordOutcome(now, c, it, outcomes[i])
	}
}

// untrackedBytes reports whether the endpoint rejected a result for lack of capacity and,
// if so, estimates how much untracked results take at least: the capacity that would have
// been left had the smallest rejected result been stored as well.
func (c *call) untrackedBytes(outcomes []Outcome) (least int, noCapacity bool) {
	least = c.untrackedLimit
	smallestRejected := 0
	for i, outcome := range outcomes {
		switch size := c.items[i].ResultBytes; {
		case outcome.Status == Done:
			least -= size
		case outcome.Status == NoResultCapacity && (!noCapacity || size < smallestRejected):
			smallestRejected, noCapacity = size, true
		}
	}
	return least - smallestRejected, noCapacity
}

// recordOutcome handles the outcome of one piece of a call. The caller holds mu.
func (g *endpointGroup) recordOutcome(now time.Time, c *call, it *workItem, outcome Outcome) {
	result := Result{Handle: outcome.Handle, Endpoint: c.endpoint.entry.ID, DataCenter: c.endpoint.entry.DataCenter}
	peer := string(c.endpoint.entry.ID)
	switch {
	case outcome.Status == Done:
		c.endpoint.results[outcome.Handle] = storedResult{it.ResultBytes, now.Add(g.limits.ResultTTL)}
		g.finishTimes = append(g.finishTimes, now)
		if it.finished || it.task.ended {
			g.freeResultLocked(result)
			return
		}
		it.finished = true
		g.unqueue(it)
		it.task.results[it.index] = result
		if it.task.remainingPieces--; it.task.remainingPieces == 0 {
			g.endTask(it.task, nil)
		}
	case outcome.Status == InputGone:
		g.endTask(it.task, &core.Error{Kind: core.Conflict, Step: "stage", Peer: peer, Ran: core.RanNot, Detail: "an input of the stage no longer exists"})
	case outcome.Status == Expired:
		g.endTask(it.task, &core.Error{Kind: core.DeadlineExceeded, Step: "stage", Peer: peer, Ran: core.RanNot, Detail: "the deadline passed before the endpoint started the call"})
	case outcome.Status == NoResultCapacity:
		// The piece waits for result capacity until its deadline: such a retry counts neither as
		// a failure nor against the budget.
		g.retry(it, true, "no room for the result", &core.Error{Kind: core.Unavailable, Peer: peer, Detail: "the endpoint has no space left for results"})
	default:
		it.failures++
		g.retry(it, false, "piece failed", &core.Error{Kind: core.Upstream, Peer: peer, Detail: "the endpoint failed to process the piece"})
	}
}

// unqueue removes a piece from the queue. The caller holds mu.
func (g *endpointGroup) unqueue(it *workItem) {
	if !it.queued {
		return
	}
	it.queued = false
	for i, x := range g.queue {
		if x == it {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return
		}
	}
}

// releaseResults frees those results that endpoints of this group store.
func (g *endpointGroup) releaseResults(results []Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range results {
		g.freeResultLocked(r)
	}
	g.schedule()
}
