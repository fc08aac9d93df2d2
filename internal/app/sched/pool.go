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

// noEndpointRetryAfter is the Retry-After while a pool has no endpoint in
// service. The instance list is read once in this time.
const noEndpointRetryAfter = time.Second

// waiter is the state of one call of Acquire. Its fields are guarded by the
// pool's mutex until decided is closed.
type waiter struct {
	ticket Ticket
	handle fairqueue.Handle[*waiter]
	// latestStart is the last time at which the call can start and still end
	// before its deadline; for a probe it is the deadline. It is zero with
	// PolicyFIFO.
	latestStart time.Time
	// decided is closed when grant or err is set.
	decided chan struct{}
	// probe means that the call was admitted although its predicted service time
	// is too long, to correct the estimate.
	probe bool
	// done means that decided is closed.
	done  bool
	grant *grant
	err   *core.Error
}

// pool schedules the calls of one endpoint pool. The mutex is never held across I/O.
type pool struct {
	id     core.PoolID
	policy string

	mu          sync.Mutex
	queue       *fairqueue.Queue[*waiter]
	estimates   *admission.Estimates
	waitMargins [core.NumRanks]admission.Margin
	window      window
	inProgress  int
	// now is the time at which the mutex was taken by lock.
	now time.Time
}

func newPool(id core.PoolID, o Options, daemons int) *pool {
	p := &pool{id: id, policy: o.Policy, estimates: admission.NewEstimates(), window: newWindow()}
	p.window.daemons = daemons
	c := fairqueue.Config{Floors: o.Floors}
	if o.Policy == PolicyFIFO {
		// With a single account and rank and no expiry the queue is first in, first
		// out.
		n := core.NumRanks * fairqueue.DefaultMaxPerRank
		c = fairqueue.Config{MaxPerRank: n, MaxPerAccount: n, MaxTotal: n}
	}
	p.queue = fairqueue.New(c, p.refuseDropped)
	return p
}

// lock takes the mutex and returns a function that grants the slots that are
// free after the operation and releases the mutex.
func (p *pool) lock() func() {
	p.mu.Lock()
	p.now = time.Now()
	return func() {
		p.grantSlots()
		p.mu.Unlock()
	}
}

// submit queues a call, or refuses it if it cannot finish before its deadline.
func (p *pool) submit(w *waiter) {
	defer p.lock()()
	if p.window.capacity == 0 {
		p.refuse(w, "queue", "the pool has no endpoint in service", noEndpointRetryAfter)
		return
	}
	t := w.ticket
	it := fairqueue.Item[*waiter]{Account: t.Account, Weight: t.Weight, Rank: t.Rank, Value: w}
	if p.policy == PolicyFIFO {
		it.Account, it.Weight, it.Rank = "", 1, core.Urgent
	} else {
		service := p.estimates.Predict(p.now, t.key())
		in := admission.Input{Now: p.now, Deadline: t.Deadline, Margin: p.waitMargin(t.Rank), Wait: p.predictWait(t), Service: service, LaterStagesTime: t.LaterStagesTime}
		in.Probe = p.inProgress == 0 && p.estimates.ProbeDue(p.now, t.key())
		d := admission.Decide(in)
		if !d.Admit {
			if d.Reason == admission.LongWait {
				p.waitMargins[t.Rank].RecordEarlyRefusal()
			}
			p.refuse(w, "admission", admissionDetail[d.Reason], d.RetryAfter)
			return
		}
		w.probe = d.Reason == admission.Probe
		w.latestStart = t.Deadline
		if !w.probe {
			w.latestStart = t.Deadline.Add(-service - t.LaterStagesTime)
		}
		it.Expires = w.latestStart.Add(time.Nanosecond) // a start at latestStart itself is in time
		it.Cost = p.meanCost(t.key())
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

// waitMargin returns the factor by which predicted waits are multiplied. It is 1
// for a rank with an empty queue: the rank is served by its floor only if a call
// is queued.
func (p *pool) waitMargin(r core.Rank) float64 {
	if p.queue.RankLen(r) == 0 {
		return 1
	}
	return p.waitMargins[r].Factor()
}

// defaultCost is the cost in seconds of calls of a stage without samples. With a
// cost near zero, the floors would admit hundreds of such calls for each call
// whose cost is known.
const defaultCost = 0.1

// meanCost returns the predicted mean service time in seconds for an estimate
// key.
func (p *pool) meanCost(stage string) float64 {
	if m := p.estimates.Mean(p.now, stage); m > 0 {
		return m.Seconds()
	}
	return defaultCost
}

// predictWait predicts the queue wait of a new call.
func (p *pool) predictWait(t Ticket) time.Duration {
	size := p.window.size(p.now, p.queue.BackloggedWeight()+t.Weight)
	if size == 0 {
		return noEndpointRetryAfter
	}
	if p.queue.Len() == 0 && float64(p.inProgress) < size {
		return 0
	}
	cost := p.meanCost(t.key())
	return p.queue.EstimateWait(t.Rank, t.Account, cost, size) + time.Duration(cost/size*float64(time.Second))
}

// refuseDropped refuses a call that the queue dropped.
func (p *pool) refuseDropped(it fairqueue.Item[*waiter], r fairqueue.Reason) {
	if r == fairqueue.Expired {
		p.waitMargins[it.Value.ticket.Rank].RecordLateRefusal()
	}
	p.refuse(it.Value, "queue", queueDetail[r], clampRetryAfter(p.predictWait(it.Value.ticket)))
}

// clampRetryAfter limits a Retry-After to the allowed range.
func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, admission.MinRetry), admission.MaxRetry)
}

func (p *pool) refuse(w *waiter, step, detail string, after time.Duration) {
	w.err = &core.Error{Kind: core.Unavailable, Step: step, Peer: string(p.id), Ran: core.RanNot, RetryAfter: after, Detail: detail}
	w.done = true
	close(w.decided)
}

// grantSlots grants free slots to queued calls. It refuses calls that can no
// longer finish in time, before they use an endpoint.
func (p *pool) grantSlots() {
	for float64(p.inProgress) < p.window.size(p.now, p.queue.BackloggedWeight()) {
		it, _, ok := p.queue.Pop(p.now)
		if !ok {
			return
		}
		w := it.Value
		if p.policy != PolicyFIFO && !w.probe {
			service := p.estimates.Predict(p.now, w.ticket.key())
			if d := admission.Decide(admission.Input{Now: p.now, Deadline: w.ticket.Deadline, Service: service, LaterStagesTime: w.ticket.LaterStagesTime}); !d.Admit {
				p.waitMargins[w.ticket.Rank].RecordLateRefusal()
				p.refuse(w, "admission", admissionDetail[d.Reason], clampRetryAfter(p.predictWait(w.ticket)))
				continue
			}
		}
		p.inProgress++
		p.window.peakInProgress = max(p.window.peakInProgress, p.inProgress)
		w.grant = &grant{pool: p, stage: w.ticket.key(), probe: w.probe}
		w.done = true
		close(w.decided)
	}
}

// refuseExpired refuses a call whose latest start has passed.
func (p *pool) refuseExpired(w *waiter) {
	defer p.lock()()
	if !w.done {
		p.queue.Remove(p.now, w.handle)
		p.waitMargins[w.ticket.Rank].RecordLateRefusal()
		p.refuse(w, "queue", queueDetail[fairqueue.Expired], clampRetryAfter(p.predictWait(w.ticket)))
	}
}

// cancel removes and refuses a queued call whose caller left or whose deadline
// has passed.
func (p *pool) cancel(w *waiter, cause error) {
	defer p.lock()()
	if w.done {
		return
	}
	p.queue.Remove(p.now, w.handle)
	after := clampRetryAfter(p.predictWait(w.ticket))
	p.refuse(w, "queue", "the request ended while the call was queued", after)
	w.err.Kind, w.err.Err = core.DeadlineExceeded, cause
}

// grant is a granted slot of a pool.
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
		// The elapsed time of a failed call is a lower bound of its service time. It
		// is a sample only if it is above the mean.
		if o.OK || o.Elapsed > p.estimates.Mean(p.now, g.stage) && !o.Overloaded && o.Elapsed > 0 {
			p.estimates.Observe(p.now, g.stage, o.Elapsed)
		}
		switch {
		case o.Overloaded:
			p.window.reduce(p.now, overloadFactor, overloadReductionPause)
		case o.OK:
			p.window.grow(p.now, p.queue.BackloggedWeight())
		}
	})
}

// setCapacity sets the number of slots. If it is 0, queued calls are refused
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
		p.refuse(it.Value, "queue", "the pool has no endpoint in service", noEndpointRetryAfter)
	}
}

// reportBacklog adds the weights of the accounts that had calls queued here to
// usage, each multiplied by this daemon's fraction of the account's demand.
func (p *pool) reportBacklog(usage map[core.AccountID]limits.AccountUsage, demandFraction func(core.AccountID) float64) {
	defer p.lock()()
	sum := 0.0
	busyFraction := p.queue.Report(p.now, func(id core.AccountID, weight float64) {
		weight *= demandFraction(id)
		sum += weight
		u := usage[id]
		u.Account = id
		if u.Backlog == nil {
			u.Backlog = map[core.PoolID]float64{}
		}
		u.Backlog[p.id] += weight
		usage[id] = u
	})
	p.window.setReport(sum, busyFraction)
}
