// Package once executes calls that must not be repeated: at most once across
// all daemons, with one record per call in the table service.
//
// An execution claims the record, marks it as dispatched immediately before
// the call is sent, and records the outcome. If the response to a write is
// lost, the execution reads the record back: the write took effect if the
// record carries the execution's random token.
package once

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"eelgrassgrade/internal/app/gateway"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/idempotency"
)

// Table is the part of the table service that executions need.
type Table interface {
	Get(ctx context.Context, k core.RecordKey) (core.Record, error)
	Transact(ctx context.Context, writes ...core.Write) error
}

// Objects is the part of the object store that executions need.
type Objects interface {
	Put(ctx context.Context, name string, body []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

const (
	// MaxPendingOutcomes bounds the executions whose outcome is not recorded
	// yet. Each execution reserves a slot before it claims its record, so that
	// no outcome is dropped.
	MaxPendingOutcomes = 1024
	// maxPendingAnswerBytes bounds the answers in memory that are still to be
	// written to the object store.
	maxPendingAnswerBytes = 64 << 20
	// maxInlineAnswerBytes is the largest answer that is stored in the record
	// itself; larger ones go to the object store. The table service limits a
	// record to 400 KB.
	maxInlineAnswerBytes = 64 << 10
	// writesPerCall is the number of table writes per call when nothing fails:
	// claim, dispatch and outcome.
	writesPerCall = 3
	// readsPerWrite is the ratio of the limit on reads for refused requests to
	// the limit on writes. Over all daemons these are 1,350 reads/s, of the
	// 2,000 that the table service allows, and 270 writes/s.
	readsPerWrite = 5
	// initialWritesPerS is a daemon's write share until SetWriteShare is called:
	// 300 writes/s divided among 330 daemons, rounded up.
	initialWritesPerS = 1
	// maxWriteAttempts bounds how often one write of the record is tried. After a
	// failed try the record is read back.
	maxWriteAttempts = 3
	// readRetryDelay is the wait after a failed read. It leaves time for a
	// delayed write to take effect.
	readRetryDelay = 50 * time.Millisecond
	// maxPendingForRelease is the number of occupied slots above which an
	// unconfirmed claim is not released. A later request can then take it over
	// only after the operation's timeout.
	maxPendingForRelease = 64
	// outcomeWriteTimeout bounds how long the caller's answer is delayed by the
	// outcome write.
	outcomeWriteTimeout = 50 * time.Millisecond
)

var _ gateway.AtMostOnce = (*Once)(nil)

// Once executes calls at most once. It is safe for concurrent use.
type Once struct {
	table      Table
	objects    Objects
	metrics    *metrics.Set
	log        zerolog.Logger
	writeLimit *rate.Limiter
	readLimit  *rate.Limiter
	// now is the wall clock for timestamps in records. It may be skewed.
	now func() time.Time
	// slots is a semaphore with one entry per execution whose outcome is not
	// recorded yet.
	slots  chan struct{}
	outbox outbox
}

// New returns a Once with the initial write share; see SetWriteShare. It
// registers its metrics in set.
func New(table Table, objects Objects, set *metrics.Set, log zerolog.Logger) *Once {
	o := &Once{table: table, objects: objects, metrics: set, log: log, now: time.Now,
		writeLimit: rate.NewLimiter(initialWritesPerS, writesPerCall), readLimit: rate.NewLimiter(initialWritesPerS*readsPerWrite, writesPerCall), slots: make(chan struct{}, MaxPendingOutcomes)}
	o.outbox.init(o)
	return o
}

// SetWriteShare sets this daemon's share of the table writes, in writes per
// second, and its read limit in proportion. Bursts of one second's share, or of
// one call if that is more, are allowed.
func (o *Once) SetWriteShare(writesPerS float64) {
	now := time.Now()
	o.writeLimit.SetLimitAt(now, rate.Limit(writesPerS))
	o.writeLimit.SetBurstAt(now, max(writesPerCall, int(writesPerS)))
	o.readLimit.SetLimitAt(now, rate.Limit(writesPerS*readsPerWrite))
	o.readLimit.SetBurstAt(now, max(writesPerCall, int(writesPerS*readsPerWrite)))
}

// Close waits until every outcome is recorded or ctx ends. The error states how
// many outcomes were not recorded. No Run may be in progress.
func (o *Once) Close(ctx context.Context) error { return o.outbox.close(ctx) }

func (o *Once) count(result string) {
	o.metrics.GetOrCreateCounter(`eelgrass_once_requests_total{result="` + result + `"}`).Inc()
}

// Run implements gateway.AtMostOnce. Once the record is claimed, cancellation
// of ctx no longer ends the call, so that its outcome is recorded; the deadline
// of ctx and r.Timeout still apply. At the end of the daemon, core.ErrStopping
// ends the call, and its outcome is recorded as unknown.
func (o *Once) Run(ctx context.Context, r gateway.OnceRequest, send func(context.Context, func(context.Context, core.Endpoint) error) (core.Result, error)) (core.Result, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	x := &execution{
		once: o, callerCtx: ctx, token: rand.Text(), timeout: r.Timeout, firstAttempt: r.FirstAttempt,
		key: idempotency.Key(r.Account, r.Service, r.Operation, r.Key), bodyHash: idempotency.HashBody(r.Body),
	}
	if e := o.admit(); e != nil {
		return x.refuse(ctx, e)
	}
	existing, err := x.claim(ctx)
	if existing != nil || err != nil {
		<-o.slots
		if err != nil {
			return core.Result{}, false, err
		}
		return x.answerFromRecord(ctx, existing)
	}
	deadline, _ := ctx.Deadline()
	detached, detach := core.WithoutCaller(ctx)
	defer detach()
	sendCtx, cancelSend := context.WithDeadline(detached, deadline)
	defer cancelSend()
	res, err := send(sendCtx, x.beforeSend)
	return x.finish(ctx, res, err)
}

// admit reserves a slot for the outcome and the table writes of a call. If
// either is not available, it returns the refusal.
func (o *Once) admit() *core.Error {
	refusal := &core.Error{Kind: core.Unavailable, Step: "claim", RetryAfter: time.Second, Detail: "too many calls are waiting for their outcomes to be recorded"}
	select {
	case o.slots <- struct{}{}:
	default:
		return refusal
	}
	now := time.Now()
	res := o.writeLimit.ReserveN(now, writesPerCall)
	wait := time.Second
	if res.OK() {
		if wait = res.DelayFrom(now); wait == 0 {
			return nil
		}
		res.CancelAt(now)
	}
	<-o.slots
	refusal.Kind, refusal.Detail, refusal.RetryAfter = core.RateLimited, "this daemon's share of the table writes is used up", max(wait, 100*time.Millisecond)
	return refusal
}

// refuse answers a request that was not admitted. It reads the record first: an
// earlier request with the key may have run, and then that request's outcome is
// returned and not a refusal that says "not run".
func (x *execution) refuse(ctx context.Context, e *core.Error) (core.Result, bool, error) {
	x.once.count("refused")
	e.Ran = x.ranWithoutRecord()
	if !x.once.readLimit.Allow() {
		return core.Result{}, false, e
	}
	cur, _, err := x.read(ctx)
	switch {
	case errors.Is(err, core.ErrNoRecord):
		e.Ran = core.RanNot
	case err != nil:
		e.Err = err
	case idempotency.KnownNotRun(cur):
		e.Ran = core.RanNot
	default:
		if d := idempotency.Decide(cur, x.bodyHash, x.once.now()); d.Verdict != idempotency.TakeOver {
			return x.answerFromRecord(ctx, &existingRecord{record: *cur, decision: d})
		}
	}
	return core.Result{}, false, e
}

// existingRecord is the record of another execution and what it allows.
type existingRecord struct {
	record   idempotency.Record
	decision idempotency.Decision
}

// answerFromRecord returns the result or the error that follows from the record
// of another execution.
func (x *execution) answerFromRecord(ctx context.Context, existing *existingRecord) (core.Result, bool, error) {
	e := &core.Error{Step: "claim", Detail: existing.decision.Reason, RetryAfter: existing.decision.RetryAfter}
	switch existing.decision.Verdict {
	case idempotency.Replay:
		x.once.count("replayed")
		res, err := x.once.replay(ctx, existing.record)
		return res, err == nil, err
	case idempotency.Mismatch:
		e.Kind = core.Mismatch
	default:
		// An earlier request with the key is in progress or its outcome is unknown.
		e.Kind, e.Peer = core.Conflict, string(existing.record.Endpoint)
	}
	x.once.count("refused")
	return core.Result{}, false, e
}

// replay returns the recorded answer, from the record or the object store.
func (o *Once) replay(ctx context.Context, r idempotency.Record) (core.Result, error) {
	if r.Answer == nil {
		return core.Result{}, &core.Error{Kind: core.Upstream, Step: "replay", Peer: string(r.Endpoint), Ran: core.RanYes, Detail: "the call ran and its answer was not kept: " + r.Reason}
	}
	res := core.Result{Status: r.Answer.Status, ContentType: r.Answer.ContentType, Body: r.Answer.Body}
	if r.Answer.Object == "" {
		return res, nil
	}
	body, err := o.objects.Get(ctx, r.Answer.Object)
	if err != nil {
		return core.Result{}, &core.Error{Kind: core.Unavailable, Step: "replay", Ran: core.RanYes, RetryAfter: time.Second, Detail: "the call ran and its answer cannot be read now", Err: err}
	}
	res.Body = body
	return res, nil
}
