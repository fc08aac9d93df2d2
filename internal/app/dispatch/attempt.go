package dispatch

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/app/sched"
	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/health"
	"eelgrassgrade/internal/decide/quarantine"
	"eelgrassgrade/internal/decide/routing"
)

// Causes with which the context of an attempt is cancelled.
const (
	// errLostRace: another attempt of the same task answered first.
	errLostRace = errors.ConstError("another attempt answered first")
	// errStalled: a stream delivered no event for too long.
	errStalled = errors.ConstError("the stream stalled")
	// errNotNeeded: the stream goes on at the endpoint that was to be left.
	errNotNeeded = errors.ConstError("the stream goes on elsewhere")
	// errPoolTimeout: the call exceeded the timeout that is configured for calls
	// of its pool.
	errPoolTimeout = errors.ConstError("the pool's timeout passed")
)

// sendFunc hands a call to the transport and checks the result.
type sendFunc func(ctx context.Context, c core.Call) error

// attempt makes one attempt. onSend, if not nil, is called immediately before
// the call is handed to the transport. A hedge, or the handover of a stream, goes
// only to an endpoint that the job has not tried.
func (j *job) attempt(ctx context.Context, hedge bool, onSend func(), send sendFunc) *failure {
	number := int(j.attempts.Add(1))
	for {
		r, f := j.reserve(ctx, hedge)
		if f != nil {
			return f
		}
		if r == nil {
			continue
		}
		endpointLeft, f := r.checkBeforeSend(ctx)
		if f == nil && !endpointLeft {
			f = r.run(ctx, number, onSend, send)
		}
		r.release()
		if !endpointLeft {
			return f
		}
	}
}

func (j *job) refusal(kind core.Kind, detail string) *failure {
	return &failure{final: true, err: &core.Error{Kind: kind, Step: j.task.Stage, Peer: string(j.task.Pool), Ran: core.RanNot, Detail: detail}}
}

func (j *job) noEndpointFailure(detail string) *failure {
	f := j.refusal(core.Unavailable, detail)
	f.err.RetryAfter = defaultRetryAfter
	return f
}

// contextFailure returns the failure of an attempt whose context ended before
// the call was sent.
func (j *job) contextFailure(ctx context.Context) *failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return j.refusal(core.DeadlineExceeded, "the deadline passed before the call was sent")
	}
	return j.refusal(core.Unavailable, "the call was cancelled before it was sent")
}

// reservation holds the capacity and the endpoint of one attempt.
type reservation struct {
	job      *job
	endpoint *endpoint
	// grant is nil without a scheduler and after its release.
	grant   sched.Grant
	outcome sched.Outcome
	// suspect means that the content is suspected of crashing endpoints.
	suspect bool
	hedge   bool
	// probe means that the call tests an ejected endpoint.
	probe bool
}

// reserve waits for capacity and chooses an endpoint. If it returns neither a
// reservation nor a failure, another call had to end first and reserve must be
// called again.
func (j *job) reserve(ctx context.Context, hedge bool) (*reservation, *failure) {
	p := j.pool
	suspect, f := j.checkQuarantine()
	if f != nil {
		return nil, f
	}
	if suspect {
		if err := p.waitUntilNotRunning(ctx, j.fingerprint); err != nil {
			return nil, j.contextFailure(ctx)
		}
	}
	if ctx.Err() != nil {
		return nil, j.contextFailure(ctx)
	}
	if len(p.currentMembers().endpoints) == 0 {
		return nil, j.noEndpointFailure("no live endpoint in the pool")
	}
	r := &reservation{job: j, suspect: suspect, hedge: hedge}
	if p.dispatcher.Scheduler != nil {
		t := j.task
		g, err := p.dispatcher.Scheduler.Acquire(ctx, sched.Ticket{Request: t.Request, Pool: t.Pool, Stage: t.Stage, Account: t.Account,
			Weight: t.Weight, Rank: t.Rank, Deadline: t.Deadline, LaterStagesTime: t.LaterStagesTime})
		if err != nil {
			return nil, &failure{final: true, err: core.AsError(err, t.Stage)}
		}
		r.grant = g
	}
	wait, f := p.assign(r)
	if f == nil && wait == nil {
		return r, nil
	}
	r.releaseGrant()
	if f != nil {
		return nil, f
	}
	select {
	case <-wait:
	case <-ctx.Done():
	}
	return nil, nil
}

// checkQuarantine returns a failure if the content is quarantined, and reports
// whether it is a suspect.
func (j *job) checkQuarantine() (suspect bool, f *failure) {
	switch state, left := j.pool.dispatcher.Quarantine.Lookup(j.task.Pool, j.fingerprint); state {
	case quarantine.Quarantined:
		j.pool.counts.countQuarantineRefusal()
		f = j.refusal(core.Quarantined, "endpoints crashed while they ran this request")
		f.err.RetryAfter = left
		return false, f
	case quarantine.Suspect:
		return true, nil
	default:
		return false, nil
	}
}

// checkBeforeSend makes the last checks before the first byte is sent.
// endpointLeft means that the endpoint began to leave since it was chosen and
// that another one is needed.
func (r *reservation) checkBeforeSend(ctx context.Context) (endpointLeft bool, f *failure) {
	j, d := r.job, r.job.pool.dispatcher
	if b := j.task.BeforeSend; b != nil {
		if err := b(ctx, r.endpoint.Endpoint); err != nil {
			e := *core.AsError(err, j.task.Stage)
			if e.Peer == "" {
				e.Peer = string(r.endpoint.ID)
			}
			return false, &failure{final: true, err: &e}
		}
	}
	if ctx.Err() != nil {
		return false, j.contextFailure(ctx)
	}
	if d.ViewIsFresh != nil && !d.ViewIsFresh() {
		f := j.refusal(core.Unavailable, "the daemon's list of live instances is too old to send calls")
		f.err.RetryAfter = defaultRetryAfter
		return false, f
	}
	if v := d.View(); v == nil || v.Leaving[r.endpoint.ID] {
		j.markTried(r.endpoint)
		return true, nil
	}
	return false, nil
}

// run sends the call and records its outcome.
func (r *reservation) run(ctx context.Context, number int, onSend func(), send sendFunc) *failure {
	j, p, e := r.job, r.job.pool, r.endpoint
	t := j.task
	c := core.Call{Request: t.Request, Stage: t.Stage, Attempt: number, Endpoint: e.Endpoint, Rank: t.Rank, Path: t.Path, Body: t.Body, Header: t.Header}
	if cfg := p.config(); cfg.Kind != config.KindService && cfg.TimeoutMs > 0 && j.kind == health.Unary {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, cfg.Timeout(), errPoolTimeout)
		defer cancel()
	}
	j.markTried(e)
	p.counts.attempts.Inc()
	call := &inFlightCall{fingerprint: j.fingerprint, suspect: r.suspect, kind: j.kind}
	e.addInFlight(call)
	defer e.removeInFlight(call)
	if onSend != nil {
		onSend()
	}
	err := send(context.WithValue(ctx, inFlightCallKey{}, call), c)
	elapsed := time.Since(call.started)
	if p.dispatcher.Observer != nil {
		p.dispatcher.Observer.ObserveCall(CallObservation{Account: t.Account, Rank: t.Rank, Pool: t.Pool, Stage: t.Stage,
			Local: e.DataCenter == p.dispatcher.DataCenter, Elapsed: elapsed, OK: err == nil})
	}
	if err == nil {
		r.outcome = sched.Outcome{Elapsed: elapsed, OK: true}
		if j.kind == health.Unary {
			p.observe(e, health.Sample{OK: true, Elapsed: elapsed})
		}
		p.recordSuccess(j.fingerprint)
		return nil
	}
	f := &failure{sent: true, err: core.AsError(err, t.Stage)}
	f.crash = errors.Is(err, ErrConnectionCut) && p.isCrash(ctx, e, call)
	r.recordFailure(ctx, f, elapsed)
	j.recordRan(f.err.Ran)
	return f
}

// recordFailure sets the outcome for the scheduler, sets f.final, and counts
// the failure against the endpoint's health unless the endpoint is not at fault.
func (r *reservation) recordFailure(ctx context.Context, f *failure, elapsed time.Duration) {
	p, e := r.job.pool, r.endpoint
	r.outcome = sched.Outcome{Elapsed: elapsed}
	sample := health.Sample{Kind: r.job.kind, Elapsed: elapsed}
	cause := context.Cause(ctx)
	var status *StatusError
	switch {
	case cause == errLostRace:
		p.counts.cancelledAttempts.Inc()
		sample.LostRace = true
	case cause == errStalled || cause == errPoolTimeout:
	case errors.Is(cause, context.DeadlineExceeded):
		// The deadline may have been short: the call counts against the endpoint
		// only if it took longer than the pool's p99.
		p.mu.Lock()
		q := p.health.Quantiles(r.job.kind)
		p.mu.Unlock()
		if q.Samples == 0 || elapsed < q.P99 {
			return
		}
		sample.LostRace = true
	case cause != nil: // the caller cancelled the call
		return
	case errors.As(f.err, &status):
		r.outcome.Overloaded = status.Status == http.StatusTooManyRequests || status.Status == http.StatusServiceUnavailable
		switch {
		case status.Status == http.StatusTooManyRequests:
			return
		case status.Status < 500:
			// The request itself is invalid: another endpoint would refuse it too.
			f.final = !slices.Contains(r.job.task.NotStartedStatuses, status.Status)
			return
		}
	}
	p.observe(e, sample)
}

// statusError returns the error for an answer with an error status.
func statusError(t Task, c core.Call, s *StatusError) *core.Error {
	ran := core.RanUnknown
	if slices.Contains(t.NotStartedStatuses, s.Status) {
		ran = core.RanNot
	}
	return &core.Error{Kind: core.Upstream, Step: t.Stage, Peer: string(c.Endpoint.ID), Ran: ran, Detail: s.Error(), Err: s}
}

// checkEcho returns an error if the echoed call ID shows that a result belongs
// to another call. required is false where the ID may be missing: in stream
// events, and in results with an error status, since a server may refuse a call
// before it reads the ID.
func (p *pool) checkEcho(c core.Call, echo string, required bool) error {
	if echo == c.ID() || echo == "" && !required {
		return nil
	}
	reason, detail := "foreign", "the endpoint answered another call"
	switch {
	case echo == "":
		reason, detail = "unnamed", "the answer does not name its call"
	case strings.HasPrefix(echo, string(c.Request)+"/"+c.Stage+"/"):
		reason, detail = "duplicate", "the endpoint answered another attempt of the call"
	}
	p.counts.countDropped(reason)
	return &core.Error{Kind: core.Upstream, Step: c.Stage, Peer: string(c.Endpoint.ID), Ran: core.RanUnknown, Detail: detail}
}

// assign chooses an endpoint for the reservation and counts the call there. If
// it returns a channel, no endpoint can be used now; the caller waits until the
// channel is closed and reserves again.
func (p *pool) assign(r *reservation) (<-chan struct{}, *failure) {
	j := r.job
	m := p.currentMembers()
	p.contentTracker.mu.Lock()
	defer p.contentTracker.mu.Unlock()
	stillSuspect, f := j.checkQuarantine()
	if f != nil {
		return nil, f
	}
	running := p.runningOn[j.fingerprint]
	if stillSuspect != r.suspect || r.suspect && len(running) > 0 {
		return closedChan, nil
	}
	sameContent := p.limitedContent(j.fingerprint)
	e, reason, blocked := p.choose(j, m, r.suspect, sameContent)
	if e == nil && !blocked && !r.hedge && j.forgetTried() {
		e, reason, blocked = p.choose(j, m, r.suspect, sameContent)
	}
	if st := statusOf(e); blocked && (st.Failing || !st.EjectedUntil.IsZero()) {
		// A working endpoint will be available when another call ends. Waiting for
		// it is better than an attempt on a failing one.
		e = nil
	}
	if r.hedge && (blocked || reason == routing.ByOverload) {
		// On an endpoint without free slots the hedge would be slow too, and if it
		// waited it would be too late.
		return nil, j.noEndpointFailure("no endpoint has a free slot for a hedge")
	}
	switch {
	case e == nil && blocked:
		return p.runEnded, nil
	case e == nil:
		return nil, j.noEndpointFailure("every endpoint of the pool is ejected, leaving or already tried")
	}
	p.counts.countDecision(reason)
	r.endpoint = e
	r.probe = !e.status.Load().EjectedUntil.IsZero()
	if r.probe {
		e.probing.Store(true)
	}
	if r.suspect {
		e.suspect.Store(true)
	}
	e.inFlight.Add(1)
	p.runningOn[j.fingerprint] = append(running, e)
	return nil, nil
}

func statusOf(e *endpoint) health.Status {
	if e == nil {
		return health.Status{}
	}
	return *e.status.Load()
}

// release gives back the endpoint and the capacity.
func (r *reservation) release() {
	p, e := r.job.pool, r.endpoint
	p.contentTracker.mu.Lock()
	e.inFlight.Add(-1)
	if r.probe {
		e.probing.Store(false)
	}
	if r.suspect {
		e.suspect.Store(false)
	}
	p.contentTracker.endRun(r.job.fingerprint, e)
	p.contentTracker.mu.Unlock()
	r.releaseGrant()
}

// releaseGrant gives back the capacity. A zero outcome means that nothing was
// sent.
func (r *reservation) releaseGrant() {
	if r.grant != nil {
		r.grant.Release(r.outcome)
		r.grant = nil
	}
}

// inFlightCallKey is the context key of an attempt's *inFlightCall.
type inFlightCallKey struct{}
