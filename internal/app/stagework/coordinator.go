package stagework

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/batching"
	"eelgrassgrade/internal/decide/catalog"
)

// lastRank is the least urgent rank whose waits are told.
const lastRank = 9

const (
	// maxWaiting bounds the pieces that wait in one pool.
	maxWaiting = 4096
	// maxFailures bounds the failed tries of one piece.
	maxFailures = 4
	// roomShare is the part of an endpoint's room for results that is used: sizes
	// are known approximately.
	roomShare = 0.92
	// fullShare divides the room of an endpoint that had none of late.
	fullShare = 8
	// rateWindow is the time over which the rate of finished pieces is measured.
	rateWindow = 1500 * time.Millisecond
	// hedgeFactor times the expected time plus hedgeSlack is when the pieces of a
	// call are offered to other endpoints as well.
	hedgeFactor = 1.7
	hedgeSlack  = 100 * time.Millisecond
	// callTimeoutFactor bounds a call: a slow endpoint may still be of use.
	callTimeoutFactor = 5
	// leadTime is how long before the expected end of a call the next one is sent
	// to an endpoint that can keep one waiting. It hides the way between data
	// centres.
	leadTime = 12 * time.Millisecond
	// fetchTime is how long after its sending a call to an idle endpoint has
	// fetched its inputs: the way there and some MB over the endpoints' links.
	fetchTime = 120 * time.Millisecond
	// A queue of pruneCalls full calls for each endpoint is checked each
	// pruneInterval for pieces that cannot be in time.
	pruneCalls    = 1
	pruneInterval = 150 * time.Millisecond
	// hopeless is the part of the estimated wait beyond which a piece is given up:
	// rates vary within the time that they are averaged over.
	hopeless = 0.6
	// fullPause is how long an endpoint without room for a result gets no large one.
	fullPause = 150 * time.Millisecond
	// scarceWait is the wait in a pool from which on its results are freed as soon
	// as they are fetched. Freed inputs cannot be used again if a call fails, so
	// they are kept while room is not scarce.
	scarceWait = 100 * time.Millisecond
	// turnPoll is how often a call that was sent ahead is checked for its turn.
	turnPoll = 10 * time.Millisecond
	// freeDelay collects results that are released, idleFreeDelay does so while the
	// endpoint has room for a full call.
	freeDelay     = 10 * time.Millisecond
	idleFreeDelay = 120 * time.Millisecond
	freeTimeout   = time.Second
	// shareWindow is the time over which the use of accounts is compared.
	shareWindow = 3 * time.Second
	// overShare is the factor over the equal share above which an account's
	// pieces come after those of others of the same rank.
	overShare = 1.5
)

// Coordinator forms the calls to the endpoints that this daemon coordinates.
type Coordinator struct {
	endpoints Endpoints
	events    Events
	budget    Budget
	now       func() time.Time
	ctx       context.Context
	// release frees results of other pools, wait tells how long their pieces wait.
	release func(core.PoolID, []Result)
	wait    func(core.PoolID, int) time.Duration

	mu    sync.Mutex
	pools map[groupKey]*pool
}

type groupKey struct {
	pool  core.PoolID
	group int
}

// NewCoordinator returns a coordinator whose calls end with ctx.
func NewCoordinator(ctx context.Context, e Endpoints, ev Events, b Budget, now func() time.Time) *Coordinator {
	return &Coordinator{endpoints: e, events: ev, budget: b, now: now, ctx: ctx, release: func(core.PoolID, []Result) {}, wait: func(core.PoolID, int) time.Duration { return 0 }, pools: map[groupKey]*pool{}}
}

// SetEndpoints replaces the endpoints of a group.
func (c *Coordinator) SetEndpoints(p *catalog.Pool, group int, list []endpoints.Entry) {
	c.pool(p.ID, group).setEndpoints(p.Batching, list)
}

func (c *Coordinator) pool(id core.PoolID, group int) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := groupKey{id, group}
	p := c.pools[k]
	if p == nil {
		p = &pool{c: c, id: id, replicas: map[core.InstanceID]*replica{}, used: map[core.AccountID]float64{}}
		c.pools[k] = p
	}
	return p
}

// Waits returns how long a new piece of each rank would wait, by pool.
func (c *Coordinator) Waits() map[core.PoolID][]time.Duration {
	c.mu.Lock()
	list := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		list = append(list, p)
	}
	c.mu.Unlock()
	out := map[core.PoolID][]time.Duration{}
	for _, p := range list {
		if w := p.waits(); w != nil {
			out[p.id] = w
		}
	}
	return out
}

// Submit queues the pieces of a task and returns their results.
func (c *Coordinator) Submit(ctx context.Context, group int, t *Task) ([]Result, error) {
	return c.pool(t.Pool, group).submit(ctx, t)
}

// Release frees results that are no longer used.
func (c *Coordinator) Release(id core.PoolID, results []Result) {
	c.mu.Lock()
	var pools []*pool
	for k, p := range c.pools {
		if k.pool == id {
			pools = append(pools, p)
		}
	}
	c.mu.Unlock()
	for _, p := range pools {
		p.release(results)
	}
}

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
}

func (p *pool) setEndpoints(l *catalog.Batching, list []endpoints.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = *l
	seen := map[core.InstanceID]bool{}
	for _, e := range list {
		seen[e.ID] = true
		r := p.replicas[e.ID]
		if r == nil || r.entry.Born != e.Born || r.entry.Address != e.Address {
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

func (p *pool) waits() []time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.c.now()
	usable := p.usable(now)
	if len(p.replicas) == 0 && len(p.queue) == 0 {
		return nil
	}
	var ahead [lastRank + 1]int
	for _, it := range p.queue {
		if it.Start.After(now) {
			ahead[min(it.Rank, lastRank)]++
		}
	}
	out := make([]time.Duration, lastRank+1)
	rate := p.rate(now, usable)
	sum, overtaking := 0, 0.0
	for r := range out {
		sum += ahead[r]
		out[r] = batching.Wait(sum, rate, overtaking)
		overtaking += p.arrivals.rate(now, r)
	}
	return out
}

// rate returns the pieces that finish in a second: what the calls' times allow
// or, while the queue is long, what was measured, since room for results or slow
// endpoints may allow less.
func (p *pool) rate(now time.Time, usable int) float64 {
	full := float64(p.limits.MaxPieces*max(usable, 1)) / p.expected(p.limits.MaxPieces).Seconds()
	for len(p.finishes) > 0 && now.Sub(p.finishes[0]) > rateWindow {
		p.finishes = p.finishes[1:]
	}
	switch {
	case len(p.queue) <= p.limits.MaxPieces*usable:
		p.longSince = time.Time{}
		return full
	case p.longSince.IsZero():
		p.longSince = now
	}
	if now.Sub(p.longSince) < rateWindow {
		// What finished before the queue was long says nothing of the rate.
		return full
	}
	return min(full, max(float64(len(p.finishes))/rateWindow.Seconds(), 1))
}

// usable returns the number of endpoints in rotation.
func (p *pool) usable(now time.Time) int {
	n := 0
	for _, r := range p.replicas {
		if !r.out(now) {
			n++
		}
	}
	return n
}

func (p *pool) submit(ctx context.Context, t *Task) ([]Result, error) {
	p.mu.Lock()
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
		p.queue = append(p.queue, &item{task: tk, index: i, queued: true, Piece: batching.Piece{Rank: t.Rank, Start: t.Start,
			Deadline: t.Deadline, Queued: now, Bytes: t.ResultBytes, Group: p.groups, Account: string(t.Account), Near: string(t.Near), Holds: t.Holds}})
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
		r := pick(free, core.DataCenterID(p.sorted(now, "")[0].Near), now)
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

// expire ends tasks whose time is over while they wait.
func (p *pool) expire(now time.Time) {
	for _, it := range slices.Clone(p.queue) {
		if !it.task.ended && now.After(it.Deadline) {
			p.end(it.task, &core.Error{Kind: core.DeadlineExceeded, Step: "stage", Ran: core.RanNot, Detail: "the time was over before the stage had an endpoint"})
		}
	}
	if now.Sub(p.pruned) < pruneInterval || len(p.queue) < pruneCalls*p.limits.MaxPieces*max(len(p.replicas), 1) {
		return
	}
	// A queue of this length moves at the measured rate. Callers whose turn would
	// come too late are told now.
	p.pruned = now
	rate := p.rate(now, p.usable(now))
	for i, it := range p.sorted(now, "") {
		// More urgent work that comes in overtakes the piece; once it is late, all
		// work that can still be in time does.
		overtaking := 0.0
		for r := range p.arrivals.count {
			if r < it.Rank || it.Start.Before(now) && !it.Holds {
				overtaking += p.arrivals.rate(now, r)
			}
		}
		if wait := batching.Wait(i, rate, overtaking); !it.task.ended && now.Add(time.Duration(hopeless*float64(wait))).After(it.Deadline) {
			p.end(it.task, &core.Error{Kind: core.Unavailable, Step: "stage", Ran: core.RanNot, RetryAfter: wait,
				Detail: "the queue of the stage is too long for the time left"})
		}
	}
}

// free returns the endpoints that can take a call. If all endpoints without a
// call are out, the one that has been out longest is tried.
func (p *pool) free(now time.Time) []*replica {
	var out []*replica
	usable := 0
	var oldest *replica
	for _, r := range p.replicas {
		if r.out(now) {
			if r.calls == 0 && (oldest == nil || r.outUntil.Before(oldest.outUntil)) {
				oldest = r
			}
			continue
		}
		usable++
		if r.calls == 0 {
			out = append(out, r)
		}
	}
	if usable == 0 && oldest != nil && oldest.outUntil.Sub(now) < maxEjection/2 {
		out = append(out, oldest)
	}
	return out
}

// pick prefers endpoints that are not slow, then those of the data centre near.
func pick(free []*replica, near core.DataCenterID, now time.Time) *replica {
	return slices.MinFunc(free, func(a, b *replica) int {
		sa, sb := a.slowness(now), b.slowness(now)
		if (sa > slowFrom) != (sb > slowFrom) {
			return cmp.Compare(sa, sb)
		}
		far := func(r *replica) int {
			if r.entry.DataCenter == near {
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

// sorted orders the queue.
func (p *pool) sorted(now time.Time, dc core.DataCenterID) []*item {
	pieces := make([]*batching.Piece, len(p.queue))
	byPiece := make(map[*batching.Piece]*item, len(p.queue))
	for i, it := range p.queue {
		pieces[i] = &it.Piece
		byPiece[&it.Piece] = it
	}
	batching.Order(now, pieces, string(dc), p.overusers(now))
	out := make([]*item, len(pieces))
	for i, x := range pieces {
		out[i] = byPiece[x]
	}
	return out
}

// overusers returns the accounts that used more than their share of late. The
// caller holds mu.
func (p *pool) overusers(now time.Time) map[string]bool {
	if d := now.Sub(p.usedAt); d > shareWindow/4 {
		keep := 1 - min(1, float64(d)/float64(shareWindow))
		for a := range p.used {
			if p.used[a] *= keep; p.used[a] < 0.5 {
				delete(p.used, a)
			}
		}
		p.usedAt = now
	}
	total := 0.0
	for _, u := range p.used {
		total += u
	}
	over := map[string]bool{}
	for a, u := range p.used {
		if len(p.used) > 1 && u > overShare*total/float64(len(p.used)) {
			over[string(a)] = true
		}
	}
	return over
}

// start sends a call with the first pieces of sorted to r.
func (p *pool) start(now time.Time, r *replica, sorted []*item) {
	room := r.room(now, int(roomShare*float64(p.limits.ResultRoom)))
	if now.Before(r.fullUntil) {
		room = min(room, p.limits.ResultRoom/fullShare)
	}
	l := batching.Limits{Pieces: p.limits.MaxPieces, Room: room,
		DataCenter: string(r.entry.DataCenter), Patience: p.expected(p.limits.MaxPieces), Local: func(dc string) bool { return p.local(now, dc) }}
	if r.slowness(now) > slowFrom && p.hasFaster(now) {
		// The last measured slowness counts: it decays only to have the endpoint
		// tried again at some time.
		l.Extra = time.Duration((r.slow - 1) * float64(p.limits.CallTime+2*p.limits.PieceTime))
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
	call := &call{items: items, replica: r, began: now, expected: time.Duration(r.usual(now) * float64(p.expected(len(items))))}
	for _, it := range items {
		it.queued = false
		it.running++
		r.reserved += it.Bytes
		call.bytes += it.Bytes
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

// settle makes the other pieces of a task follow the first one into its data
// centre, so that a later stage finds its inputs in one place.
func (p *pool) settle(it *item, dc core.DataCenterID) {
	if it.Near != "" {
		return
	}
	for _, other := range p.queue {
		if other.task == it.task {
			other.Near = string(dc)
		}
	}
}

// local says whether a data centre has an endpoint in rotation that is not slow.
func (p *pool) local(now time.Time, dc string) bool {
	for _, r := range p.replicas {
		if string(r.entry.DataCenter) == dc && !r.out(now) && r.slowness(now) <= slowFrom {
			return true
		}
	}
	return false
}

func (p *pool) hasFaster(now time.Time) bool {
	for _, r := range p.replicas {
		if !r.out(now) && r.slowness(now) <= slowFrom {
			return true
		}
	}
	return false
}

func (p *pool) expected(pieces int) time.Duration {
	return p.limits.CallTime + time.Duration(pieces)*p.limits.PieceTime
}
