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
)

// job is one run of a task over all of its attempts.
type job struct {
	pool        *pool
	task        Task
	form        health.CallKind
	fingerprint [32]byte
	// attempts counts all attempts, hedges included.
	attempts, hedges atomic.Int32

	mu    sync.Mutex
	tried []*endpoint
	// worst is the worst Ran of the attempts that failed so far; RanNot before
	// the first.
	worst core.Ran
}

// failure is how an attempt failed.
type failure struct {
	err *core.Error
	// sent says that the call was handed to the transport.
	sent bool
	// final says that another attempt would end the same way.
	final bool
	// crash says that the endpoint crashed.
	crash bool
}

func newJob(p *pool, t Task, f health.CallKind) *job {
	p.counts.tasks.Inc()
	p.mu.Lock()
	p.budget.RecordCall()
	p.mu.Unlock()
	return &job{pool: p, task: t, form: f, fingerprint: sha256.Sum256(t.Body), worst: core.RanNot}
}

func (j *job) wasTried(e *endpoint) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Contains(j.tried, e)
}

func (j *job) try(e *endpoint) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.tried = append(j.tried, e)
}

// forgetTried lets a small pool's endpoints be tried again. It reports whether
// there was anything to forget.
func (j *job) forgetTried() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	had := len(j.tried) > 0
	j.tried = nil
	return had
}

// severity orders Ran by how much a caller must assume to have happened.
var severity = map[core.Ran]int{core.RanNot: 0, core.RanUnknown: 1, core.RanYes: 2}

func worse(a, b core.Ran) core.Ran {
	if severity[b] > severity[a] {
		return b
	}
	return a
}

func (j *job) note(r core.Ran) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.worst = worse(j.worst, r)
}

// retryPause is the Retry-After of a failure that says nothing better.
const retryPause = time.Second

// finish returns the error of the whole task: that of the last attempt, with
// the worst Ran of all.
func (j *job) finish(last *core.Error) error {
	e := *last
	if e.Step == "" {
		e.Step = j.task.Stage
	}
	if e.Peer == "" {
		e.Peer = string(j.task.Pool)
	}
	if e.RetryAfter == 0 && (e.Kind == core.Upstream || e.Kind == core.Unavailable || e.Kind == core.DeadlineExceeded) {
		e.RetryAfter = retryPause
	}
	j.mu.Lock()
	e.Ran = worse(j.worst, e.Ran)
	j.mu.Unlock()
	return &e
}

// limit is the instant by which the call must end for the later stages to fit.
func (j *job) limit() time.Time { return j.task.Deadline.Add(-j.task.LaterStages) }

// again decides on another attempt and waits out the pause before it.
func (j *job) again(ctx context.Context, f *failure) bool {
	if ctx.Err() != nil {
		return false
	}
	p := j.pool
	expected := p.expected(j.task, j.form)
	p.mu.Lock()
	dec := p.budget.Retry(retry.FailedAttempt{
		Number: int(j.attempts.Load() - j.hedges.Load()), MaxAttempts: maxAttempts, Repeatable: j.task.Repeatable, NotStarted: f.err.Ran == core.RanNot,
		Final: f.final, Crash: f.crash, Now: time.Now(), Deadline: j.limit(), Expected: expected, Random: p.rng.Float64(),
	})
	p.mu.Unlock()
	if !dec.Allowed {
		p.counts.notRetried(string(dec.Reason))
		return false
	}
	p.counts.retries.Inc()
	pause := time.NewTimer(dec.Wait)
	defer pause.Stop()
	select {
	case <-pause.C:
		return true
	case <-ctx.Done():
		return false
	}
}
