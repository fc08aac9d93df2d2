package stagework

import (
	"context"
	"slices"
	"sync"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/batching"
	"eelgrassgrade/internal/decide/catalog"
)

// taskState is a submitted task and its progress. endpointGroup.mu guards it.
type taskState struct {
	*Task
	// remainingPieces counts the pieces without a result.
	remainingPieces int
	// unfetchedPieces counts the pieces for which no call has fetched the inputs yet.
	// inputsFreed says that the inputs have been freed.
	unfetchedPieces int
	inputsFreed     bool
	results         []Result
	err             error
	done            chan struct{}
	ended           bool
}

// workItem is one piece of a submitted task. endpointGroup.mu guards it.
type workItem struct {
	batching.Piece
	task     *taskState
	index    int
	failures int
	// runningCalls counts the calls in progress that contain the piece.
	runningCalls int
	queued       bool
	// finished says that the piece has a result.
	finished bool
	// inputsFetched says that a call has fetched the inputs of the piece.
	inputsFetched bool
}

// endpointGroup is a group of a pool's endpoints with the queue of pieces that wait for
// them.
type endpointGroup struct {
	coordinator *Coordinator
	poolID      core.PoolID

	mu        sync.Mutex
	limits    catalog.Batching
	queue     []*workItem
	endpoints map[core.InstanceID]*endpointState
	// taskCount numbers the submitted tasks.
	taskCount uint64
	// finishTimes holds when pieces finished within the last finishRateWindow.
	finishTimes []time.Time
	// backlogSince is when the queue became longer than one full call per usable
	// endpoint, or zero if it is not.
	backlogSince time.Time
	lastPruned   time.Time
	arrivalRates arrivalRates
	// accountUsage counts the pieces sent for each account, with a decay that was last
	// applied at accountUsageAt.
	accountUsage   map[core.AccountID]float64
	accountUsageAt time.Time
	scheduleTimer  *time.Timer
	// endpointsKnown says that setEndpoints was called. Before that, as at the start of a
	// daemon, tasks wait instead of being refused.
	endpointsKnown bool
	// removed says that the group no longer exists.
	removed bool
}

// setEndpoints replaces the endpoints of the group. The state of an endpoint is kept
// unless another incarnation or address has replaced the endpoint.
func (g *endpointGroup) setEndpoints(limits *catalog.Batching, entries []endpoints.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits, g.endpointsKnown = *limits, true
	seen := map[core.InstanceID]bool{}
	for _, entry := range entries {
		seen[entry.ID] = true
		state := g.endpoints[entry.ID]
		if state == nil || state.entry.StartedMs != entry.StartedMs || state.entry.Address != entry.Address {
			g.endpoints[entry.ID] = newEndpointState(entry)
			continue
		}
		state.entry = entry
	}
	for id := range g.endpoints {
		if !seen[id] {
			delete(g.endpoints, id)
		}
	}
	g.schedule()
}

// submit queues the pieces of a task and waits until the task or ctx ends.
func (g *endpointGroup) submit(ctx context.Context, t *Task) ([]Result, error) {
	g.mu.Lock()
	if g.removed || t.FromPeer && g.coordinator.handingBack.Load() {
		g.mu.Unlock()
		return nil, groupRemovedError()
	}
	if len(g.endpoints) == 0 && g.endpointsKnown {
		g.mu.Unlock()
		return nil, &core.Error{Kind: core.Unavailable, Step: "stage", Ran: core.RanNot, RetryAfter: time.Second, Detail: "no endpoint of pool " + string(t.Pool) + " is available"}
	}
	if len(g.queue)+t.Pieces > maxWaitingPieces {
		g.mu.Unlock()
		return nil, &core.Error{Kind: core.Unavailable, Step: "stage", Ran: core.RanNot, RetryAfter: time.Second, Detail: "the queue of pool " + string(t.Pool) + " is full"}
	}
	task := &taskState{Task: t, remainingPieces: t.Pieces, unfetchedPieces: t.Pieces, results: make([]Result, t.Pieces), done: make(chan struct{})}
	if !t.MayHaveRun {
		g.coordinator.budget.RecordRequests(t.Pool, 1)
	} else {
		budget := g.coordinator.budget.Take(t.Pool, t.Pieces)
		g.coordinator.events.PieceRepeated(t, "the task may have run before", budget.Allowed, &budget)
		if !budget.Allowed {
			g.mu.Unlock()
			return nil, &core.Error{Kind: core.Unavailable, Step: "stage", Ran: core.RanNot, RetryAfter: time.Second, Detail: "the retry budget of pool " + string(t.Pool) + " is spent"}
		}
	}
	g.taskCount++
	now := g.coordinator.now()
	g.arrivalRates.add(now, t.Rank, t.Pieces)
	for i := range t.Pieces {
		g.queue = append(g.queue, &workItem{task: task, index: i, queued: true, Piece: batching.Piece{Rank: t.Rank, LatestStart: t.LatestStart,
			Deadline: t.Deadline, QueuedAt: now, ResultBytes: t.ResultBytes, TaskSeq: g.taskCount, Account: string(t.Account), PreferredDataCenter: string(t.PreferredDataCenter), LargeInputs: t.LargeInputs, StagePieces: t.Pieces, LaterStages: t.LaterStages}})
	}
	g.schedule()
	g.mu.Unlock()
	select {
	case <-task.done:
	case <-ctx.Done():
		g.mu.Lock()
		g.endTask(task, &core.Error{Kind: core.DeadlineExceeded, Step: "stage", Ran: core.RanNot, Detail: "the caller disconnected or the deadline passed", Err: ctx.Err()})
		g.schedule()
		g.mu.Unlock()
	}
	if task.err != nil {
		return nil, task.err
	}
	return task.results, nil
}

// remove ends all waiting tasks so that their clients submit them to another group.
func (g *endpointGroup) remove() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removed = true
	for len(g.queue) > 0 {
		g.endTask(g.queue[0].task, groupRemovedError())
	}
	clear(g.endpoints)
}

// groupRemovedError returns the error with which a task of a removed or unknown group
// ends. The client treats it like a lost coordinator and submits the task again.
func groupRemovedError() *core.Error {
	return &core.Error{Kind: core.Unavailable, Step: "stage", Ran: core.RanNot, Detail: LostCoordinator}
}

// endTask ends a task and removes its pieces from the queue. If the task failed, its
// results are freed. The caller holds mu.
func (g *endpointGroup) endTask(t *taskState, err error) {
	if t.ended {
		return
	}
	t.ended, t.err = true, err
	g.queue = slices.DeleteFunc(g.queue, func(it *workItem) bool { return it.task == t })
	if err != nil {
		for _, r := range t.results {
			if r.Handle != "" {
				g.freeResultLocked(r)
			}
		}
	}
	close(t.done)
}

// schedule starts calls with waiting pieces on endpoints that can take one. The caller
// holds mu.
func (g *endpointGroup) schedule() {
	now := g.coordinator.now()
	g.dropExpired(now)
	if len(g.queue) == 0 {
		return
	}
	idle := g.idleEndpoints(now)
	for len(idle) > 0 && len(g.queue) > 0 {
		e := pickEndpoint(idle, core.DataCenterID(g.sortedQueue(now, "")[0].PreferredDataCenter), now)
		idle = slices.DeleteFunc(idle, func(x *endpointState) bool { return x == e })
		g.startCall(now, e, g.sortedQueue(now, e.entry.DataCenter))
	}
	if len(g.queue) > 0 && g.scheduleTimer == nil {
		// The end of an ejection and result capacity that becomes free cause no event, so
		// the queue is checked again after a while.
		g.scheduleTimer = time.AfterFunc(50*time.Millisecond, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.scheduleTimer = nil
			g.schedule()
		})
	}
}

// startCall sends a call to e with pieces chosen from the sorted queue, if any can run
// there now. The caller holds mu.
func (g *endpointGroup) startCall(now time.Time, e *endpointState, sorted []*workItem) {
	freeBytes := e.freeBytes(now, int(usableCapacityShare*float64(g.limits.ResultCapacityBytes)))
	limits := batching.Limits{MaxPieces: g.limits.MaxPieces, FreeResultCapacityBytes: freeBytes, PieceTime: g.limits.PieceTime,
		DataCenter: string(e.entry.DataCenter), LocalWaitSlack: g.expectedTime(g.limits.MaxPieces), HasEndpoint: func(dc string) bool { return g.hasFastEndpointIn(now, dc) }}
	if e.slowness(now) > slowThreshold && g.hasFastEndpoint(now) {
		// The last measured slowness is used without its decay: the decay only serves to
		// try the endpoint again after a while.
		limits.ExtraTime = time.Duration((e.lastSlowness - 1) * float64(g.limits.CallTime+2*g.limits.PieceTime))
	}
	pieces := make([]*batching.Piece, len(sorted))
	for i, it := range sorted {
		pieces[i] = &it.Piece
	}
	limits.Full = g.limits.Tight && batching.Backlogged(now, pieces, g.usableEndpoints(now), g.limits.MaxPieces)
	var items []*workItem
	for _, i := range batching.Choose(now, pieces, limits) {
		items = append(items, sorted[i])
	}
	if len(items) == 0 {
		return
	}
	call := &call{items: items, endpoint: e, sentAt: now, fetchTime: e.fetchTime(), untrackedLimit: g.limits.ResultCapacityBytes - e.trackedBytes(now), expected: time.Duration(e.timeFactor(now) * float64(g.expectedTime(len(items))))}
	for _, it := range items {
		it.queued = false
		it.runningCalls++
		e.reservedBytes += it.ResultBytes
		call.resultBytes += it.ResultBytes
		g.accountUsage[it.task.Account]++
		g.preferDataCenter(it, e.entry.DataCenter)
		it.task.MarkStarted()
		call.pieces = append(call.pieces, Piece{Request: it.task.Request, Stage: it.task.Stage, Index: it.index,
			Remaining: it.Deadline.Sub(now), Key: it.task.Key, Inputs: it.task.Inputs})
	}
	g.queue = slices.DeleteFunc(g.queue, func(it *workItem) bool { return !it.queued })
	e.permitUntil = time.Time{}
	e.blockingCalls++
	e.outstandingCalls++
	g.coordinator.events.CallStarted(g.poolID, e.entry.ID, call.pieces, len(g.queue), e.slowness(now))
	go g.runCall(call)
}
