package sched

import (
	"math"
	"sync"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/admission"
	"eelgrassgrade/internal/decide/fairqueue"
	"eelgrassgrade/internal/decide/limits"
)

// noEndpointRetry is the advice while a pool has no endpoint: how often the
// instance list is read.
const noEndpointRetry = time.Second

// waiter is one Acquire. Its fields are guarded by the pool's mutex until
// decided is closed.
type waiter struct {
	ticket  Ticket
	handle  fairqueue.Handle[*waiter]
	expires time.Time
	decided chan struct{}
	// probe says that the call was admitted to correct the service estimate.
	probe bool
	done  bool
	grant *grant
	err   *core.Error
}

// pool schedules the calls of one endpoint pool. The mutex is never held across I/O.
type pool struct {
	id     core.PoolID
	policy string

	mu         sync.Mutex
	queue      *fairqueue.Queue[*waiter]
	estimates  *admission.Estimates
	margins    [core.NumRanks]admission.Margin
	window     window
	inProgress int
	// now is the time of the operation that holds the mutex.
	now time.Time
}

func newPool(id core.PoolID, o Options, daemons int) *pool {
	p := &pool{id: id, policy: o.Policy, estimates: admission.NewEstimates(), window: newWindow()}
	p.window.daemons = daemons
	c := fairqueue.Config{Floors: o.Floors}
	if o.Policy == PolicyFIFO {
		// One account in one rank without expiry makes the queue first in, first out.
		n := core.NumRanks * fairqueue.DefaultMaxPerRank
		c = fairqueue.Config{MaxPerRank: n, MaxPerAccount: n, MaxTotal: n}
	}
	p.queue = fairqueue.New(c, p.dropped)
	return p
}

// lock takes the mutex and returns the function that serves what the operation
// made room for and gives the mutex back.
func (p *pool) lock() func() {
	p.mu.Lock()
	p.now = time.Now()
	return func() {
		p.serve()
		p.mu.Unlock()
	}
}

func (p *pool) enter(w *waiter) {
	defer p.lock()()
	if p.window.capacity == 0 {
		p.refuse(w, "queue", "no endpoint of the pool is in use", noEndpointRetry)
		return
	}
	t := w.ticket
	it := fairqueue.Item[*waiter]{Account: t.Account, Weight: t.Weight, Rank: t.Rank, Value: w}
	if p.policy == PolicyFIFO {
		it.Account, it.Weight, it.Rank = "", 1, core.Urgent
	} else {
		service := p.estimates.Predict(p.now, t.key())
		in := admission.Input{Now: p.now, Deadline: t.Deadline, Margin: p.margin(t.Rank), Wait: p.wait(t), Service: service, LaterStages: t.LaterStages}
		in.Probe = p.inProgress == 0 && p.estimates.ProbeDue(p.now, t.key())
		d := admission.Decide(in)
		if !d.Admit {
			if d.Reason == admission.LongWait {
				p.margins[t.Rank].RecordEarlyRefusal()
			}
			p.refuse(w, "admission", admissionDetail[d.Reason], d.RetryAfter)
			return
		}
		w.probe = d.Reason == admission.Probe
		w.expires = t.Deadline
		if !w.probe {
			w.expires = t.Deadline.Add(-service - t.LaterStages)
		}
		it.Expires = w.expires.Add(time.Nanosecond) // a start at the last useful instant is in time
		it.Cost = p.cost(t.key())
	}
	if h, reason := p.queue.Push(p.now, it); reason == fairqueue.Queued {
		w.handle = h
	}
}

var admissionDetail = map[admission.Reason]string{
	admission.Late:     "the deadline has passed",
	admission.NoTime:   "the remaining time is shorter than the predicted time of the stages",
	admission.LongWait: "the predicted queue wait is longer than the deadline allows",
}

var queueDetail = map[fairqueue.Reason]string{
	fairqueue.Expired:        "the call can no longer finish before the deadline",
	fairqueue.AccountFull:    "the client account has too many calls queued",
	fairqueue.LongestBacklog: "the queue is full and the client account has the longest backlog for its weight",
}

// margin returns the factor for predicted waits. A rank with an empty queue
// needs none: one call must wait for its floor to be served at all.
func (p *pool) margin(r core.Rank) float64 {
	if p.queue.RankLen(r) == 0 {
		return 1
	}
	return p.margins[r].Factor()
}

// unknownCost is the cost of calls of a stage without samples, in seconds. Near
// zero, the floors would let through hundreds of such calls for each measured one.
const unknownCost = 0.1

// cost returns the predicted mean service time of a stage, in seconds.
func (p *pool) cost(stage string) float64 {
	if m := p.estimates.Mean(p.now, stage); m > 0 {
		return m.Seconds()
	}
	return unknownCost
}

// wait predicts the queue wait of a new call.
func (p *pool) wait(t Ticket) time.Duration {
	size := p.window.size(p.now, p.queue.BackloggedWeight()+t.Weight)
	if size == 0 {
		return noEndpointRetry
	}
	if p.queue.Len() == 0 && float64(p.inProgress) < size {
		return 0
	}
	cost := p.cost(t.key())
	return p.queue.EstimateWait(t.Rank, t.Account, cost, size) + time.Duration(cost/size*float64(time.Second))
}

// dropped takes an entry that the queue gave up.
func (p *pool) dropped(it fairqueue.Item[*waiter], r fairqueue.Reason) {
	if r == fairqueue.Expired {
		p.margins[it.Value.ticket.Rank].RecordLateRefusal()
	}
	p.refuse(it.Value, "queue", queueDetail[r], retryAfter(p.wait(it.Value.ticket)))
}

func retryAfter(d time.Duration) time.Duration {
	return min(max(d, admission.MinRetry), admission.MaxRetry)
}

func (p *pool) refuse(w *waiter, step, detail string, after time.Duration) {
	w.err = &core.Error{Kind: core.Unavailable, Step: step, Peer: string(p.id), Ran: core.RanNot, RetryAfter: after, Detail: detail}
	w.done = true
	close(w.decided)
}

// serve grants free slots. A call that can no longer finish in time is refused
// instead, before it costs an endpoint anything.
func (p *pool) serve() {
	for float64(p.inProgress) < p.window.size(p.now, p.queue.BackloggedWeight()) {
		it, _, ok := p.queue.Pop(p.now)
		if !ok {
			return
		}
		w := it.Value
		if p.policy != PolicyFIFO && !w.probe {
			service := p.estimates.Predict(p.now, w.ticket.key())
			if d := admission.Decide(admission.Input{Now: p.now, Deadline: w.ticket.Deadline, Service: service, LaterStages: w.ticket.LaterStages}); !d.Admit {
				p.margins[w.ticket.Rank].RecordLateRefusal()
				p.refuse(w, "admission", admissionDetail[d.Reason], retryAfter(p.wait(w.ticket)))
				continue
			}
		}
		p.inProgress++
		p.window.peak = max(p.window.peak, p.inProgress)
		w.grant = &grant{pool: p, stage: w.ticket.key(), probe: w.probe}
		w.done = true
		close(w.decided)
	}
}

// expire refuses a call whose last useful instant has come.
func (p *pool) expire(w *waiter) {
	defer p.lock()()
	if !w.done {
		p.queue.Remove(p.now, w.handle)
		p.margins[w.ticket.Rank].RecordLateRefusal()
		p.refuse(w, "queue", queueDetail[fairqueue.Expired], retryAfter(p.wait(w.ticket)))
	}
}

// leave takes out a call whose caller left or whose deadline has passed.
func (p *pool) leave(w *waiter, cause error) {
	defer p.lock()()
	if w.done {
		return
	}
	p.queue.Remove(p.now, w.handle)
	after := retryAfter(p.wait(w.ticket))
	p.refuse(w, "queue", "the request ended while the call was queued", after)
	w.err.Kind, w.err.Err = core.DeadlineExceeded, cause
}

// grant is a slot in use.
type grant struct {
	pool  *pool
	stage string
	probe bool
	once  sync.Once
}

// Release implements Grant.
func (g *grant) Release(o Outcome) {
	g.once.Do(func() {
		p := g.pool
		defer p.lock()()
		p.inProgress--
		if g.probe && o.OK {
			p.estimates.Replace(p.now, g.stage, o.Elapsed)
		}
		// A failed call took at least this long; a quick failure says nothing.
		if o.OK || o.Elapsed > p.estimates.Mean(p.now, g.stage) && !o.Overloaded && o.Elapsed > 0 {
			p.estimates.Observe(p.now, g.stage, o.Elapsed)
		}
		switch {
		case o.Overloaded:
			p.window.reduce(p.now, overloadFactor, overloadPause)
		case o.OK:
			p.window.grow(p.now, p.queue.BackloggedWeight())
		}
	})
}

// setCapacity sets the slots. Without any, the calls in the queue are refused
// now rather than held until their deadlines.
func (p *pool) setCapacity(slots int) {
	defer p.lock()()
	p.window.capacity = min(max(slots, 0), math.MaxInt32)
	if p.window.capacity > 0 {
		return
	}
	for {
		it, _, ok := p.queue.Pop(p.now)
		if !ok {
			return
		}
		p.refuse(it.Value, "queue", "no endpoint of the pool is in use", noEndpointRetry)
	}
}

// report adds the weights of the accounts queued here to the usage, each
// multiplied by the daemon's part of the account's demand.
func (p *pool) report(usage map[core.AccountID]limits.AccountUsage, part func(core.AccountID) float64) {
	defer p.lock()()
	sum := 0.0
	busy := p.queue.Report(p.now, func(id core.AccountID, weight float64) {
		weight *= part(id)
		sum += weight
		u := usage[id]
		u.Account = id
		if u.Backlog == nil {
			u.Backlog = map[core.PoolID]float64{}
		}
		u.Backlog[p.id] += weight
		usage[id] = u
	})
	p.window.setReport(sum, busy)
}
