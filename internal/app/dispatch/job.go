package dispatch

import (
	"context"
	"crypto/sha256"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/health"
	"eelgrassgrade/internal/decide/retry"
	"eelgrassgrade/internal/decide/routing"
)

// job is the state of a task over all of its attempts.
type job struct {
	pool *pool
	task Task
	kind health.CallKind
	// fingerprint is the SHA-256 digest of the body. It identifies equal content.
	fingerprint [32]byte
	// attempts counts all attempts, hedges included.
	attempts, hedges atomic.Int32

	mu    sync.Mutex // guards the following
	tried []*endpoint
	// worstRan is the worst Ran of the failed attempts; RanNot before the first.
	worstRan core.Ran
}

// failure describes how an attempt failed.
type failure struct {
	err *core.Error
	// sent means that the call was handed to the transport.
	sent bool
	// final means that another attempt would end the same way.
	final bool
	// crash means that the endpoint crashed.
	crash bool
}

func newJob(p *pool, t Task, kind health.CallKind) *job {
	p.counts.tasks.Inc()
	p.mu.Lock()
	p.budget.RecordCall()
	p.mu.Unlock()
	return &job{pool: p, task: t, kind: kind, fingerprint: sha256.Sum256(t.Body), worstRan: core.RanNot}
}

func (j *job) wasTried(e *endpoint) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Contains(j.tried, e)
}

func (j *job) markTried(e *endpoint) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.tried = append(j.tried, e)
}

// forgetTried lets endpoints be tried again, which small pools need. It reports
// whether any had been tried.
func (j *job) forgetTried() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	had := len(j.tried) > 0
	j.tried = nil
	return had
}

// ranSeverity orders the values of Ran by how far the work may have got.
var ranSeverity = map[core.Ran]int{core.RanNot: 0, core.RanUnknown: 1, core.RanYes: 2}

func worseRan(a, b core.Ran) core.Ran {
	if ranSeverity[b] > ranSeverity[a] {
		return b
	}
	return a
}

func (j *job) recordRan(r core.Ran) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.worstRan = worseRan(j.worstRan, r)
}

// defaultRetryAfter is the Retry-After of errors without a more precise one.
const defaultRetryAfter = time.Second

// finish returns the error of the whole task: the error of the last attempt,
// with the worst Ran of all attempts.
func (j *job) finish(last *core.Error) error {
	e := *last
	if e.Step == "" {
		e.Step = j.task.Stage
	}
	if e.Peer == "" {
		e.Peer = string(j.task.Pool)
	}
	if e.RetryAfter == 0 && (e.Kind == core.Upstream || e.Kind == core.Unavailable || e.Kind == core.DeadlineExceeded) {
		e.RetryAfter = defaultRetryAfter
	}
	j.mu.Lock()
	e.Ran = worseRan(j.worstRan, e.Ran)
	j.mu.Unlock()
	return &e
}

// callDeadline returns the time by which the call must end to leave enough time
// for the later stages.
func (j *job) callDeadline() time.Time { return j.task.Deadline.Add(-j.task.LaterStagesTime) }

// awaitRetry reports whether to make another attempt, after waiting for the
// backoff.
func (j *job) awaitRetry(ctx context.Context, f *failure) bool {
	if ctx.Err() != nil {
		return false
	}
	dec := j.spendRetry(f)
	if !dec.Allowed {
		j.pool.counts.countNotRetried(string(dec.Reason))
		return false
	}
	pause := time.NewTimer(dec.Wait)
	defer pause.Stop()
	select {
	case <-pause.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// spendRetry decides whether to make another attempt after a failure, and takes it from the
// budget if so.
func (j *job) spendRetry(f *failure) retry.Decision {
	p := j.pool
	expected := p.expectedTime(j.task, j.kind)
	p.mu.Lock()
	defer p.mu.Unlock()
	dec := p.budget.Retry(retry.FailedAttempt{
		Number: int(j.attempts.Load() - j.hedges.Load()), MaxAttempts: maxAttempts, Repeatable: j.task.Repeatable, NotStarted: f.err.Ran == core.RanNot,
		Final: f.final, Crash: f.crash, Now: time.Now(), Deadline: j.callDeadline(), Expected: expected, Random: p.rng.Float64(),
	})
	if dec.Allowed {
		p.counts.retries.Inc()
	}
	return dec
}

// hasFreeEndpoint reports whether a healthy endpoint with a free slot that was not tried
// can take the job beside the one that runs it.
func (j *job) hasFreeEndpoint() bool {
	p := j.pool
	m := p.currentMembers()
	p.contentTracker.mu.Lock()
	defer p.contentTracker.mu.Unlock()
	if suspect, f := j.checkQuarantine(); suspect || f != nil {
		// A suspect may not be sent on for its silence.
		return false
	}
	e, reason, blocked := p.choose(j, m, false, p.limitedContent(j.fingerprint))
	st := statusOf(e)
	return e != nil && !blocked && reason != routing.ByOverload && !st.Failing && st.EjectedUntil.IsZero()
}
