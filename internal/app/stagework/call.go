package stagework

import (
	"context"
	"slices"
	"sync"
	"time"

	"eelgrassgrade/internal/core"
)

// call is one call in progress.
type call struct {
	items    []*item
	pieces   []Piece
	replica  *replica
	began    time.Time
	expected time.Duration
	bytes    int
	// fetch is the time from the call's turn until it has fetched its inputs.
	fetch time.Duration
	// room is the room that was not known to be taken when the call was sent.
	room     int
	released bool
}

// run performs a call. While it lasts longer than expected, its pieces are
// offered to other endpoints; the first result of a piece counts.
func (p *pool) run(c *call) {
	ctx, cancel := context.WithTimeout(p.c.ctx, callTimeoutFactor*c.expected)
	defer cancel()
	lead := p.after(c, max(c.expected-leadTime, 0), p.lead)
	defer lead.Stop()
	fetched := p.after(c, c.fetch, p.fetched)
	defer fetched.Stop()
	// The time counts from the sending: a call that was sent ahead and waits behind
	// one that takes too long is as late as that one.
	hedge := time.AfterFunc(time.Duration(hedgeFactor*float64(c.expected))+hedgeSlack, func() { p.hedge(c) })
	defer hedge.Stop()
	outcomes, err := p.c.endpoints.RunPieces(ctx, c.replica.entry.Endpoint, c.pieces)
	now := p.c.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	took := now.Sub(c.turn())
	c.replica.lastEnd = now
	p.c.events.CallEnded(p.id, c.replica.entry.ID, len(c.pieces), took, c.expected, err)
	p.leave(c)
	c.replica.outstanding--
	c.replica.reserved -= c.bytes
	if err != nil || len(outcomes) != len(c.items) {
		p.failed(c, core.AsError(err, "stage"))
	} else {
		p.finished(c, outcomes, took)
	}
	p.schedule()
}

// turn returns when the call's turn came: a call that was sent ahead waits for
// the end of the one before it.
func (c *call) turn() time.Time {
	if c.replica.lastEnd.After(c.began) {
		return c.replica.lastEnd
	}
	return c.began
}

// timer is a timer that may be set again by its own function.
type timer struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (t *timer) set(d time.Duration, f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.timer = time.AfterFunc(d, f)
	}
}

// Stop keeps the timer from firing again.
func (t *timer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// after calls f once the call's turn is d ago. While the call waits for the one
// before it, the time has not begun.
func (p *pool) after(c *call, d time.Duration, f func(*call)) *timer {
	t := &timer{}
	var check func()
	check = func() {
		p.mu.Lock()
		waits := c.replica.outstanding > 1 && c.replica.lastEnd.Before(c.began)
		left := d - p.c.now().Sub(c.turn())
		p.mu.Unlock()
		switch {
		case waits:
			t.set(turnPoll, check)
		case left > time.Millisecond:
			t.set(left, check)
		default:
			f(c)
		}
	}
	t.set(d, check)
	return t
}

// leave frees the endpoint's place. The caller holds mu.
func (p *pool) leave(c *call) {
	if !c.released {
		c.released = true
		c.replica.calls--
	}
}

// lead lets the next call go out shortly before this one is expected to end.
func (p *pool) lead(c *call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.replica.outstanding == 1 && c.replica.slowness(p.c.now()) <= slowFrom && !p.out(c.replica, p.c.now()) {
		p.leave(c)
		p.schedule()
	}
}

// fetched frees the inputs of tasks all of whose pieces are in calls that have
// fetched them: an endpoint does so when the call's turn comes.
func (p *pool) fetched(c *call) {
	type place struct {
		pool     core.PoolID
		endpoint core.InstanceID
	}
	scarce := map[place]bool{}
	for _, it := range c.items {
		for _, r := range it.task.Taken {
			at := place{it.task.TakenPool, r.Endpoint}
			if _, ok := scarce[at]; !ok {
				scarce[at] = p.c.roomWait(at.pool, r) > scarceWait
			}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, it := range c.items {
		t := it.task
		if it.fetched || t.ended || !slices.ContainsFunc(t.Taken, func(r Result) bool { return scarce[place{t.TakenPool, r.Endpoint}] }) {
			continue
		}
		it.fetched = true
		if t.unfetched--; t.unfetched == 0 {
			t.freed = true
			p.c.release(t.TakenPool, t.Taken)
		}
	}
}

// hedge queues the pieces of a call that takes too long once more.
func (p *pool) hedge(c *call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.c.now()
	c.replica.slow = max(c.replica.slow, hedgeFactor)
	c.replica.slowAt = now
	for _, it := range c.items {
		if it.finished || it.queued || it.task.ended || it.running != 1 || it.task.freed {
			continue
		}
		allowed := p.c.budget.TakeSpare(p.id, 1)
		p.c.events.PieceRepeated(it.task.Task, "call takes too long", allowed)
		if allowed {
			it.queued = true
			p.queue = append(p.queue, it)
		}
	}
	p.schedule()
}

func (p *pool) failed(c *call, err *core.Error) {
	now := p.c.now()
	if c.replica.fail(now) {
		p.c.events.EndpointHealth(p.id, c.replica.entry.ID, true, err.Detail)
	}
	for _, it := range c.items {
		it.running--
		it.failures++
		p.again(it, err.Ran == core.RanNot, "call failed", err)
	}
}

// again queues a piece that has no result, within the budget.
func (p *pool) again(it *item, notRun bool, reason string, cause *core.Error) {
	if it.finished || it.queued || it.task.ended || it.running > 0 {
		return
	}
	if p.dissolved {
		p.end(it.task, dissolved())
		return
	}
	if it.task.freed {
		p.end(it.task, &core.Error{Kind: core.Conflict, Step: "stage", Peer: cause.Peer, Ran: core.RanNot, Detail: "the call failed after its inputs were freed: " + cause.Detail, Err: cause})
		return
	}
	allowed := it.failures < maxFailures && (notRun || p.c.budget.Take(p.id, 1))
	p.c.events.PieceRepeated(it.task.Task, reason, allowed)
	if allowed {
		it.queued = true
		p.queue = append(p.queue, it)
		return
	}
	p.end(it.task, &core.Error{Kind: core.Unavailable, Step: "stage", Peer: cause.Peer, Ran: core.RanNot, RetryAfter: time.Second, Detail: "stage failed: " + cause.Detail, Err: cause})
}

func (p *pool) finished(c *call, outcomes []Outcome, took time.Duration) {
	now := p.c.now()
	worked := slices.ContainsFunc(outcomes, func(o Outcome) bool { return o.Reason == Done })
	if c.replica.succeed(now, took, p.expected(len(c.items)), worked) {
		p.c.events.EndpointHealth(p.id, c.replica.entry.ID, false, "")
	}
	if left, full := c.roomLeft(outcomes); full {
		c.replica.full(now, left)
	}
	for i, it := range c.items {
		it.running--
		p.finish(now, c, it, outcomes[i])
	}
}

// roomLeft returns the room that would be left after a call whose results all had
// room, and whether one had none.
func (c *call) roomLeft(outcomes []Outcome) (left int, full bool) {
	left = c.room
	smallest := 0
	for i, o := range outcomes {
		switch b := c.items[i].ResultBytes; {
		case o.Reason == Done:
			left -= b
		case o.Reason == NoRoom && (!full || b < smallest):
			smallest, full = b, true
		}
	}
	return left - smallest, full
}

func (p *pool) finish(now time.Time, c *call, it *item, o Outcome) {
	r := Result{Handle: o.Handle, Endpoint: c.replica.entry.ID, DataCenter: c.replica.entry.DataCenter}
	peer := string(c.replica.entry.ID)
	switch {
	case o.Reason == Done:
		c.replica.results[o.Handle] = held{it.ResultBytes, now.Add(p.limits.ResultTTL)}
		p.finishes = append(p.finishes, now)
		if it.finished || it.task.ended {
			p.freeLocked(r)
			return
		}
		it.finished = true
		p.unqueue(it)
		it.task.results[it.index] = r
		if it.task.left--; it.task.left == 0 {
			p.end(it.task, nil)
		}
	case o.Reason == InputGone:
		p.end(it.task, &core.Error{Kind: core.Conflict, Step: "stage", Peer: peer, Ran: core.RanNot, Detail: "an input of the stage no longer exists"})
	case o.Reason == Expired:
		p.end(it.task, &core.Error{Kind: core.DeadlineExceeded, Step: "stage", Peer: peer, Ran: core.RanNot, Detail: "the time was over when the stage's turn came"})
	case o.Reason == NoRoom:
		// The piece waits for room until its time is over.
		p.again(it, true, "no room for the result", &core.Error{Kind: core.Unavailable, Peer: peer, Detail: "no room for results"})
	default:
		it.failures++
		p.again(it, false, "piece failed", &core.Error{Kind: core.Upstream, Peer: peer, Detail: "the endpoint failed at the piece"})
	}
}

func (p *pool) unqueue(it *item) {
	if !it.queued {
		return
	}
	it.queued = false
	for i, x := range p.queue {
		if x == it {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			return
		}
	}
}

// release frees results of this group's endpoints.
func (p *pool) release(results []Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range results {
		p.freeLocked(r)
	}
	p.schedule()
}

// freeLocked collects a handle to be freed at its endpoint. Its room counts as
// taken until the endpoint has confirmed that it is free.
func (p *pool) freeLocked(r Result) {
	x := p.replicas[r.Endpoint]
	if x == nil {
		return
	}
	x.freed = append(x.freed, r.Handle)
	if x.freeing {
		return
	}
	x.freeing = true
	delay := idleFreeDelay
	if x.room(p.c.now(), p.limits.ResultCapacityBytes) < 2*p.limits.ResultCapacityBytes/3 {
		delay = freeDelay
	}
	// An endpoint that asked for a pause drops the results at the end of their life.
	delay = max(delay, min(p.c.rest(x.entry).Sub(p.c.now()), p.limits.ResultTTL))
	time.AfterFunc(delay, func() {
		if p.c.now().Before(p.c.rest(x.entry)) {
			p.mu.Lock()
			x.freed, x.freeing = nil, false
			p.mu.Unlock()
			return
		}
		p.mu.Lock()
		handles := x.freed
		x.freed, x.freeing = nil, false
		p.mu.Unlock()
		ctx, cancel := context.WithTimeout(p.c.ctx, freeTimeout)
		defer cancel()
		began := p.c.now()
		if err := p.c.endpoints.FreeResults(ctx, x.entry.Endpoint, handles); err != nil {
			// The endpoint drops the results by itself at the end of their life.
			p.c.events.CallEnded(p.id, x.entry.ID, 0, 0, 0, err)
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		x.observeTrip(p.c.now().Sub(began))
		for _, h := range handles {
			delete(x.results, h)
		}
		p.schedule()
	})
}
