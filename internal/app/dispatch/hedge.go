package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/quarantine"
	"eelgrassgrade/internal/decide/retry"
)

// abandonAfter is how long a transport may ignore the end of its context
// before the caller is answered without it. A request ends by its deadline +
// 100 ms.
const abandonAfter = 50 * time.Millisecond

// outcome is how one of the attempts of a race ended.
type outcome struct {
	res core.Result
	f   *failure
}

// race makes one attempt and, where it is slow and the budget allows it, a
// second one beside it. The first success wins and cancels the other.
func (j *job) race(ctx context.Context) (core.Result, *failure) {
	results := make(chan outcome, 2)
	sent := make(chan struct{}, 1)
	var won atomic.Bool
	run, cancel := context.WithCancelCause(ctx)
	defer cancel(errLost)
	start := func(hedge bool, onSend func()) {
		res, f := j.attemptOnce(run, hedge, onSend)
		if f == nil && !won.CompareAndSwap(false, true) {
			j.pool.counts.late.Inc()
			return
		}
		results <- outcome{res, f}
	}
	go start(false, func() { sent <- struct{}{} })
	var hedge, abandon <-chan time.Time
	var last *failure
	over := ctx.Done()
	for pending := 1; pending > 0; {
		select {
		case <-sent:
			if delay, ok := j.hedgeDelay(); ok {
				t := time.NewTimer(delay)
				defer t.Stop()
				hedge = t.C
			}
		case <-hedge:
			hedge = nil
			if j.mayHedge() {
				pending++
				go start(true, nil)
			}
		case o := <-results:
			pending--
			if o.f == nil {
				return o.res, nil
			}
			if last == nil || o.f.sent {
				last = o.f
			}
		case <-over:
			over = nil
			t := time.NewTimer(abandonAfter)
			defer t.Stop()
			abandon = t.C
		case <-abandon:
			won.Store(true) // what comes now is late
			return core.Result{}, &failure{final: true, err: &core.Error{Kind: core.DeadlineExceeded, Step: j.task.Stage, Peer: string(j.task.Pool),
				Ran: core.RanUnknown, Detail: "the deadline passed before the endpoint answered"}}
		}
	}
	return core.Result{}, last
}

// attemptOnce makes one attempt and judges its result.
func (j *job) attemptOnce(ctx context.Context, hedge bool, onSend func()) (core.Result, *failure) {
	var res core.Result
	f := j.attempt(ctx, hedge, onSend, func(ctx context.Context, c core.Call) error {
		r, err := j.pool.d.Transport.Do(ctx, c)
		if err == nil {
			err = j.check(c, r)
		}
		res = r
		return err
	})
	return res, f
}

// check drops results of other calls and incomplete ones, and turns error
// statuses into errors.
func (j *job) check(c core.Call, r core.Result) error {
	if err := j.pool.checkEcho(c, r.CallID, r.Status < 300); err != nil {
		return err
	}
	if r.AnnouncedBytes > 0 && int64(len(r.Body)) != r.AnnouncedBytes {
		j.pool.counts.dropped("short")
		return &core.Error{Kind: core.Upstream, Step: c.Stage, Peer: string(c.Endpoint.ID), Ran: core.RanUnknown,
			Detail: "the answer is shorter than announced", Err: ErrCut}
	}
	if r.Status < 200 || r.Status >= 300 {
		return statusError(j.task, c, &StatusError{Status: r.Status, Call: r.CallID})
	}
	return nil
}

func (j *job) hedgeDelay() (time.Duration, bool) {
	if !j.task.Repeatable {
		return 0, false
	}
	p := j.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.health.Quantiles(j.form)
	return retry.HedgeDelay(q.P95, q.Samples)
}

// mayHedge spends budget on a second attempt. Suspects are never hedged: one
// would run on two endpoints at once.
func (j *job) mayHedge() bool {
	p := j.pool
	if state, _ := p.d.Quarantine.Lookup(p.id, j.fingerprint); state != quarantine.Unknown {
		return false
	}
	if len(p.current().endpoints) < 2 {
		return false
	}
	expected := p.expected(j.task, j.form)
	p.mu.Lock()
	ok := p.budget.Hedge(time.Now(), j.limit(), expected, j.task.Repeatable).Allowed
	p.mu.Unlock()
	if ok {
		j.hedges.Add(1)
		p.counts.hedges.Inc()
	}
	return ok
}
