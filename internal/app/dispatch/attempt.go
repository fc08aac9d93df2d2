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

// The causes with which attempts are cancelled.
const (
	// errLost says that another attempt of the same task answered first.
	errLost = errors.ConstError("another attempt answered first")
	// errStalled says that a stream brought no event for too long.
	errStalled = errors.ConstError("the stream stalled")
	// errTimeout says that the pool's bound of one call passed.
	errTimeout = errors.ConstError("the pool's timeout passed")
)

// sendFunc hands a call to the transport and judges the result.
type sendFunc func(ctx context.Context, c core.Call) error

// attempt makes one attempt. onSend, if set, is called immediately before the
// call is handed to the transport. A hedge goes to an endpoint that the job has
// not tried, or nowhere.
func (j *job) attempt(ctx context.Context, hedge bool, onSend func(), send sendFunc) *failure {
	number := int(j.attempts.Add(1))
	for {
		s, f := j.reserve(ctx, hedge)
		if f != nil {
			return f
		}
		if s == nil {
			continue
		}
		moved, f := s.clear(ctx)
		if f == nil && !moved {
			f = s.run(ctx, number, onSend, send)
		}
		s.release()
		if !moved {
			return f
		}
	}
}

func (j *job) refuse(kind core.Kind, detail string) *failure {
	return &failure{final: true, err: &core.Error{Kind: kind, Step: j.task.Stage, Peer: string(j.task.Pool), Ran: core.RanNot, Detail: detail}}
}

func (j *job) noEndpoint(detail string) *failure {
	f := j.refuse(core.Unavailable, detail)
	f.err.RetryAfter = retryPause
	return f
}

// ended returns the failure of an attempt whose context ended before it was sent.
func (j *job) ended(ctx context.Context) *failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return j.refuse(core.DeadlineExceeded, "the deadline passed before the call was sent")
	}
	return j.refuse(core.Unavailable, "the call was cancelled before it was sent")
}

// slot is the place of an attempt: capacity and an endpoint.
type slot struct {
	job     *job
	e       *endpoint
	grant   sched.Grant
	outcome sched.Outcome
	suspect bool
	hedge   bool
	probe   bool
}

// reserve waits for capacity and chooses an endpoint. It returns neither a
// slot nor a failure when it has waited and must be called again.
func (j *job) reserve(ctx context.Context, hedge bool) (*slot, *failure) {
	p := j.pool
	suspect, f := j.quarantined()
	if f != nil {
		return nil, f
	}
	if suspect {
		if err := p.waitAlone(ctx, j.fingerprint); err != nil {
			return nil, j.ended(ctx)
		}
	}
	if ctx.Err() != nil {
		return nil, j.ended(ctx)
	}
	if len(p.current().endpoints) == 0 {
		return nil, j.noEndpoint("no live endpoint in the pool")
	}
	s := &slot{job: j, suspect: suspect, hedge: hedge}
	if p.d.Scheduler != nil {
		t := j.task
		g, err := p.d.Scheduler.Acquire(ctx, sched.Ticket{Request: t.Request, Pool: t.Pool, Stage: t.Stage, Account: t.Account,
			Weight: t.Weight, Rank: t.Rank, Deadline: t.Deadline, LaterStages: t.LaterStages})
		if err != nil {
			return nil, &failure{final: true, err: core.AsError(err, t.Stage)}
		}
		s.grant = g
	}
	wait, f := p.place(s)
	if f == nil && wait == nil {
		return s, nil
	}
	s.free()
	if f != nil {
		return nil, f
	}
	select {
	case <-wait:
	case <-ctx.Done():
	}
	return nil, nil
}

// quarantined refuses quarantined content and reports suspects.
func (j *job) quarantined() (suspect bool, f *failure) {
	switch state, left := j.pool.d.Quarantine.Lookup(j.task.Pool, j.fingerprint); state {
	case quarantine.Quarantined:
		j.pool.counts.quarantineRefused()
		f = j.refuse(core.Quarantined, "endpoints crashed while they ran this request")
		f.err.RetryAfter = left
		return false, f
	case quarantine.Suspect:
		return true, nil
	default:
		return false, nil
	}
}

// clear makes the last checks before a byte is sent. moved says that the
// endpoint left meanwhile and another one is needed.
func (s *slot) clear(ctx context.Context) (moved bool, f *failure) {
	j, d := s.job, s.job.pool.d
	if b := j.task.BeforeSend; b != nil {
		if err := b(ctx, s.e.Endpoint); err != nil {
			e := *core.AsError(err, j.task.Stage)
			if e.Peer == "" {
				e.Peer = string(s.e.ID)
			}
			return false, &failure{final: true, err: &e}
		}
	}
	if ctx.Err() != nil {
		return false, j.ended(ctx)
	}
	if d.Fresh != nil && !d.Fresh() {
		f := j.refuse(core.Unavailable, "the daemon's view of the instances is too old")
		f.err.RetryAfter = retryPause
		return false, f
	}
	if v := d.View(); v == nil || v.Leaving[s.e.ID] {
		j.try(s.e)
		return true, nil
	}
	return false, nil
}

// run sends the call and takes in its outcome.
func (s *slot) run(ctx context.Context, number int, onSend func(), send sendFunc) *failure {
	j, p, e := s.job, s.job.pool, s.e
	t := j.task
	c := core.Call{Request: t.Request, Stage: t.Stage, Attempt: number, Endpoint: e.Endpoint, Rank: t.Rank, Path: t.Path, Body: t.Body, Header: t.Header}
	if cfg := p.config(); cfg.Kind != config.KindService && cfg.TimeoutMs > 0 && j.form == health.Unary {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, cfg.Timeout(), errTimeout)
		defer cancel()
	}
	j.try(e)
	p.counts.attempts.Inc()
	fl := &flight{fingerprint: j.fingerprint, suspect: s.suspect, form: j.form}
	e.begin(fl)
	defer e.end(fl)
	if onSend != nil {
		onSend()
	}
	err := send(context.WithValue(ctx, flightKey{}, fl), c)
	elapsed := time.Since(fl.started)
	if p.d.Observer != nil {
		p.d.Observer.ObserveCall(CallObservation{Account: t.Account, Rank: t.Rank, Pool: t.Pool, Stage: t.Stage,
			Local: e.DataCenter == p.d.DataCenter, Elapsed: elapsed, OK: err == nil})
	}
	if err == nil {
		s.outcome = sched.Outcome{Elapsed: elapsed, OK: true}
		if j.form == health.Unary {
			p.observe(e, health.Sample{OK: true, Elapsed: elapsed})
		}
		p.cleared(j.fingerprint)
		return nil
	}
	f := &failure{sent: true, err: core.AsError(err, t.Stage)}
	f.crash = errors.Is(err, ErrCut) && p.crashed(ctx, e, fl)
	s.judge(ctx, f, elapsed)
	j.note(f.err.Ran)
	return f
}

// judge tells the health of the endpoint and the scheduler of a failure.
func (s *slot) judge(ctx context.Context, f *failure, elapsed time.Duration) {
	p, e := s.job.pool, s.e
	s.outcome = sched.Outcome{Elapsed: elapsed}
	sample := health.Sample{Kind: s.job.form, Elapsed: elapsed}
	cause := context.Cause(ctx)
	var status *StatusError
	switch {
	case cause == errLost:
		p.counts.cancelled.Inc()
		sample.LostRace = true
	case cause == errStalled || cause == errTimeout:
	case errors.Is(cause, context.DeadlineExceeded):
		// The deadline may have been short: only a call that is slow for its
		// pool counts against the endpoint.
		p.mu.Lock()
		q := p.health.Quantiles(s.job.form)
		p.mu.Unlock()
		if q.Samples == 0 || elapsed < q.P99 {
			return
		}
		sample.LostRace = true
	case cause != nil: // the caller gave up
		return
	case errors.As(f.err, &status):
		s.outcome.Overloaded = status.Status == http.StatusTooManyRequests || status.Status == http.StatusServiceUnavailable
		switch {
		case status.Status == http.StatusTooManyRequests:
			return
		case status.Status < 500:
			// The request is at fault: another endpoint would refuse it too.
			f.final = !slices.Contains(s.job.task.NotStartedStatus, status.Status)
			return
		}
	}
	p.observe(e, sample)
}

// statusError returns the error for an answer with an error status.
func statusError(t Task, c core.Call, s *StatusError) *core.Error {
	ran := core.RanUnknown
	if slices.Contains(t.NotStartedStatus, s.Status) {
		ran = core.RanNot
	}
	return &core.Error{Kind: core.Upstream, Step: t.Stage, Peer: string(c.Endpoint.ID), Ran: ran, Detail: s.Error(), Err: s}
}

// checkEcho drops a result that belongs to another call. A result with an
// error status may come without identity: a server refuses before it reads.
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
	p.counts.dropped(reason)
	return &core.Error{Kind: core.Upstream, Step: c.Stage, Peer: string(c.Endpoint.ID), Ran: core.RanUnknown, Detail: detail}
}

// place chooses an endpoint for the slot and takes it. A channel asks to wait
// for the end of another call.
func (p *pool) place(s *slot) (<-chan struct{}, *failure) {
	j := s.job
	m := p.current()
	p.suspects.mu.Lock()
	defer p.suspects.mu.Unlock()
	now, f := j.quarantined()
	if f != nil {
		return nil, f
	}
	on := p.runs[j.fingerprint]
	if now != s.suspect || s.suspect && len(on) > 0 {
		return closed, nil
	}
	together := on // where equal content should meet
	if p.isProven(j.fingerprint) {
		together = nil
	}
	e, reason, blocked := p.choose(j, m, s.suspect, together)
	if e == nil && !blocked && !s.hedge && j.forgetTried() {
		e, reason, blocked = p.choose(j, m, s.suspect, together)
	}
	if st := statusOf(e); blocked && (st.Failing || !st.EjectedUntil.IsZero()) {
		// An endpoint that works is only busy with another suspect: waiting for
		// it is better than an attempt that is likely to fail.
		e = nil
	}
	if s.hedge && (blocked || reason == routing.ByOverload) {
		// A hedge on an endpoint without room would be slow too, and one that
		// waits would come too late.
		return nil, j.noEndpoint("no endpoint has room for a hedge")
	}
	switch {
	case e == nil && blocked:
		return p.wake, nil
	case e == nil:
		return nil, j.noEndpoint("no endpoint of the pool can take the call")
	}
	p.counts.decided(reason)
	s.e = e
	s.probe = !e.status.Load().EjectedUntil.IsZero()
	if s.probe {
		e.probing.Store(true)
	}
	if s.suspect {
		e.suspect.Store(true)
	}
	e.inFlight.Add(1)
	p.runs[j.fingerprint] = append(on, e)
	return nil, nil
}

func statusOf(e *endpoint) health.Status {
	if e == nil {
		return health.Status{}
	}
	return *e.status.Load()
}

// release gives endpoint and capacity back.
func (s *slot) release() {
	p, e := s.job.pool, s.e
	p.suspects.mu.Lock()
	e.inFlight.Add(-1)
	if s.probe {
		e.probing.Store(false)
	}
	if s.suspect {
		e.suspect.Store(false)
	}
	p.suspects.leave(s.job.fingerprint, e)
	p.suspects.mu.Unlock()
	s.free()
}

// free gives capacity back. A zero outcome says that nothing was sent.
func (s *slot) free() {
	if s.grant != nil {
		s.grant.Release(s.outcome)
		s.grant = nil
	}
}

// flightKey is the context key of the attempt's flight.
type flightKey struct{}
