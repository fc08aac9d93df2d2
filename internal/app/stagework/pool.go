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

// task is a submitted task.
type task struct {
	*Task
	left int
	// unfetched counts the pieces whose calls may not have fetched the inputs yet,
	// freed says that the inputs are gone.
	unfetched int
	freed     bool
	results   []Result
	err       error
	done      chan struct{}
	ended     bool
}

// item is one piece that waits or runs.
type item struct {
	batching.Piece
	task     *task
	index    int
	failures int
	running  int
	queued   bool
	finished bool
	fetched  bool
}

type pool struct {
	c  *Coordinator
	id core.PoolID

	mu       sync.Mutex
	limits   catalog.Batching
	queue    []*item
	replicas map[core.InstanceID]*replica
	groups   uint64
	finishes []time.Time
	// longSince is when the queue became longer than a call for each endpoint.
	longSince time.Time
	pruned    time.Time
	arrivals  arrivals
	used      map[core.AccountID]float64
	usedAt    time.Time
	timer     *time.Timer
	// listed says that the endpoints of the group are known. Before that, as at the
	// start of a daemon, tasks wait for them.
	listed bool
	// dissolved says that the group is no more.
	dissolved bool
}

func (p *pool) setEndpoints(l *catalog.Batching, list []endpoints.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits, p.listed = *l, true
	seen := map[core.InstanceID]bool{}
	for _, e := range list {
		seen[e.ID] = true
		r := p.replicas[e.ID]
		if r == nil || r.entry.StartedMs != e.StartedMs || r.entry.Address != e.Address {
			p.replicas[e.ID] = newReplica(e)
			continue
		}
		r.entry = e
	}
	for id := range p.replicas {
		if !seen[id] {
			delete(p.replicas, id)
		}
	}
	p.schedule()
}

func (p *pool) submit(ctx context.Context, t *Task) ([]Result, error) {
	p.mu.Lock()
	if p.dissolved {
		p.mu.Unlock()
		return nil, dissolved()
	}
	if len(p.replicas) == 0 && p.listed {
		p.mu.Unlock()
		return nil, &core.Error{Kind: core.Unavailable, Step: "stage", Ran: core.RanNot, RetryAfter: time.Second, Detail: "no endpoint of the stage takes work"}
	}
	if len(p.queue)+t.Pieces > maxWaiting {
		p.mu.Unlock()
		return nil, &core.Error{Kind: core.Unavailable, Step: "stage", Ran: core.RanNot, RetryAfter: time.Second, Detail: "too many pieces wait for this stage"}
	}
	tk := &task{Task: t, left: t.Pieces, unfetched: t.Pieces, results: make([]Result, t.Pieces), done: make(chan struct{})}
	p.c.budget.Request(t.Pool, 1)
	if t.Repeat {
		if !p.c.budget.Take(t.Pool, t.Pieces) {
			p.mu.Unlock()
			p.c.events.PieceRepeated(t, "the task may have run before", false)
			return nil, &core.Error{Kind: core.Unavailable, Step: "stage", Ran: core.RanNot, RetryAfter: time.Second, Detail: "retry budget of the stage is spent"}
		}
		p.c.events.PieceRepeated(t, "the task may have run before", true)
	}
	p.groups++
	now := p.c.now()
	p.arrivals.add(now, t.Rank, t.Pieces)
	for i := range t.Pieces {
		p.queue = append(p.queue, &item{task: tk, index: i, queued: true, Piece: batching.Piece{Rank: t.Rank, LatestStart: t.Start,
			Deadline: t.Deadline, QueuedAt: now, ResultBytes: t.ResultBytes, TaskSeq: p.groups, Account: string(t.Account), PreferredDataCenter: string(t.Near), HoldsResults: t.Holds, StagePieces: t.Pieces, LaterStages: t.Later}})
	}
	p.schedule()
	p.mu.Unlock()
	select {
	case <-tk.done:
	case <-ctx.Done():
		p.mu.Lock()
		p.end(tk, &core.Error{Kind: core.DeadlineExceeded, Step: "stage", Ran: core.RanNot, Detail: "the caller left or the time is over", Err: ctx.Err()})
		p.schedule()
		p.mu.Unlock()
	}
	if tk.err != nil {
		return nil, tk.err
	}
	return tk.results, nil
}

// dissolve ends all tasks so that their clients hand them to another group.
func (p *pool) dissolve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dissolved = true
	for len(p.queue) > 0 {
		p.end(p.queue[0].task, dissolved())
	}
	clear(p.replicas)
}

// dissolved is the end of a task whose group is no more.
func dissolved() *core.Error {
	return &core.Error{Kind: core.Unavailable, Step: "stage", Ran: core.RanNot, Detail: LostCoordinator}
}

// end finishes a task. What it has of results is released.
func (p *pool) end(t *task, err error) {
	if t.ended {
		return
	}
	t.ended, t.err = true, err
	p.queue = slices.DeleteFunc(p.queue, func(it *item) bool { return it.task == t })
	if err != nil {
		for _, r := range t.results {
			if r.Handle != "" {
				p.freeLocked(r)
			}
		}
	}
	close(t.done)
}

// schedule gives waiting pieces to endpoints that have nothing to do. The
// caller holds mu.
func (p *pool) schedule() {
	now := p.c.now()
	p.expire(now)
	if len(p.queue) == 0 {
		return
	}
	free := p.free(now)
	for len(free) > 0 && len(p.queue) > 0 {
		r := pick(free, core.DataCenterID(p.sorted(now, "")[0].PreferredDataCenter), now)
		free = slices.DeleteFunc(free, func(x *replica) bool { return x == r })
		p.start(now, r, p.sorted(now, r.entry.DataCenter))
	}
	if len(p.queue) > 0 && p.timer == nil {
		// Ejections end and rooms are freed without an event.
		p.timer = time.AfterFunc(50*time.Millisecond, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.timer = nil
			p.schedule()
		})
	}
}

// start sends a call with the first pieces of sorted to r.
func (p *pool) start(now time.Time, r *replica, sorted []*item) {
	room := r.room(now, int(roomShare*float64(p.limits.ResultCapacityBytes)))
	l := batching.Limits{MaxPieces: p.limits.MaxPieces, FreeResultBytes: room, PieceTime: p.limits.PieceTime,
		DataCenter: string(r.entry.DataCenter), LocalWaitSlack: p.expected(p.limits.MaxPieces), HasEndpoint: func(dc string) bool { return p.local(now, dc) }}
	if r.slowness(now) > slowFrom && p.hasFaster(now) {
		// The last measured slowness counts: it decays only to have the endpoint
		// tried again at some time.
		l.ExtraTime = time.Duration((r.slow - 1) * float64(p.limits.CallTime+2*p.limits.PieceTime))
	}
	pieces := make([]*batching.Piece, len(sorted))
	for i, it := range sorted {
		pieces[i] = &it.Piece
	}
	var items []*item
	for _, i := range batching.Choose(now, pieces, l) {
		items = append(items, sorted[i])
	}
	if len(items) == 0 {
		return
	}
	call := &call{items: items, replica: r, began: now, fetch: r.fetchTime(), room: p.limits.ResultCapacityBytes - r.known(now), expected: time.Duration(r.usual(now) * float64(p.expected(len(items))))}
	for _, it := range items {
		it.queued = false
		it.running++
		r.reserved += it.ResultBytes
		call.bytes += it.ResultBytes
		p.used[it.task.Account]++
		p.settle(it, r.entry.DataCenter)
		it.task.MarkStarted()
		call.pieces = append(call.pieces, Piece{Request: it.task.Request, Stage: it.task.Stage, Index: it.index,
			Remaining: it.Deadline.Sub(now), Key: it.task.Key, Inputs: it.task.Inputs})
	}
	p.queue = slices.DeleteFunc(p.queue, func(it *item) bool { return !it.queued })
	r.calls++
	r.outstanding++
	p.c.events.CallStarted(p.id, r.entry.ID, call.pieces, len(p.queue), r.slowness(now))
	go p.run(call)
}
