package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/quarantine"
	"eelgrassgrade/internal/decide/retry"
)

// abandonAfter is how long a transport may take to return after its context
// ended; then the caller is answered without it. A request must end at most
// 100 ms after its deadline.
const abandonAfter = 50 * time.Millisecond

// attemptResult is the result of one of the attempts of a race.
type attemptResult struct {
	result  core.Result
	failure *failure
}

// race makes an attempt and, if it is slow and the budget allows it, hedges it
// with a second one. The first success cancels the other attempt.
func (j *job) race(ctx context.Context) (core.Result, *failure) {
	results := make(chan attemptResult, 2)
	sent := make(chan struct{}, 1)
	var won atomic.Bool
	raceCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(errLostRace)
	startAttempt := func(hedge bool, onSend func()) {
		res, f := j.attemptDo(raceCtx, hedge, onSend)
		if f == nil && !won.CompareAndSwap(false, true) {
			j.pool.counts.lateAnswers.Inc()
			return
		}
		results <- attemptResult{res, f}
	}
	go startAttempt(false, func() { sent <- struct{}{} })
	var hedge, abandon <-chan time.Time
	var lastFailure *failure
	done := ctx.Done()
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
				go startAttempt(true, nil)
			}
		case o := <-results:
			pending--
			if o.failure == nil {
				return o.result, nil
			}
			if lastFailure == nil || o.failure.sent {
				lastFailure = o.failure
			}
		case <-done:
			done = nil
			t := time.NewTimer(abandonAfter)
			defer t.Stop()
			abandon = t.C
		case <-abandon:
			won.Store(true) // answers from now on count as late
			return core.Result{}, &failure{final: true, err: &core.Error{Kind: core.DeadlineExceeded, Step: j.task.Stage, Peer: string(j.task.Pool),
				Ran: core.RanUnknown, Detail: "the deadline passed before the endpoint answered"}}
		}
	}
	return core.Result{}, lastFailure
}

// attemptDo makes one attempt with Transport.Do and checks its result.
func (j *job) attemptDo(ctx context.Context, hedge bool, onSend func()) (core.Result, *failure) {
	var res core.Result
	f := j.attempt(ctx, hedge, onSend, func(ctx context.Context, c core.Call) error {
		r, err := j.pool.dispatcher.Transport.Do(ctx, c)
		if err == nil {
			err = j.checkResult(c, r)
		}
		res = r
		return err
	})
	return res, f
}

// checkResult returns an error for a result of another call, an incomplete
// result and an error status.
func (j *job) checkResult(c core.Call, r core.Result) error {
	if err := j.pool.checkEcho(c, r.CallID, r.Status < 300); err != nil {
		return err
	}
	if r.AnnouncedBytes > 0 && int64(len(r.Body)) != r.AnnouncedBytes {
		j.pool.counts.countDropped("short")
		return &core.Error{Kind: core.Upstream, Step: c.Stage, Peer: string(c.Endpoint.ID), Ran: core.RanUnknown,
			Detail: "the answer is shorter than announced", Err: ErrConnectionCut}
	}
	if r.Status < 200 || r.Status >= 300 {
		return statusError(j.task, c, &StatusError{Status: r.Status, Call: r.CallID})
	}
	return nil
}

// hedgeDelay returns after what time the job's attempt is hedged, or false if it
// is not hedged.
func (j *job) hedgeDelay() (time.Duration, bool) {
	if !j.task.Repeatable {
		return 0, false
	}
	p := j.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.health.Quantiles(j.kind)
	return retry.HedgeDelay(q.P95, q.Samples)
}

// mayHedge reports whether to hedge now, and spends budget if so. Suspects are
// never hedged, since a suspect must not run on two endpoints at once.
func (j *job) mayHedge() bool {
	p := j.pool
	if state, _ := p.dispatcher.Quarantine.Lookup(p.id, j.fingerprint); state != quarantine.Unknown {
		return false
	}
	if len(p.currentMembers().endpoints) < 2 {
		return false
	}
	expected := p.expectedTime(j.task, j.kind)
	p.mu.Lock()
	ok := p.budget.Hedge(time.Now(), j.callDeadline(), expected, j.task.Repeatable).Allowed
	p.mu.Unlock()
	if ok {
		j.hedges.Add(1)
		p.counts.hedges.Inc()
	}
	return ok
}
