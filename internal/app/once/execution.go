package once

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/idempotency"
)

// execution is the handling of one request for a call: it claims the record, and
// sends the call if the claim succeeds.
type execution struct {
	once *Once
	// callerCtx is the caller's context. Nothing is sent after it has ended.
	callerCtx context.Context
	key       core.RecordKey
	token     string
	bodyHash  string
	timeout   time.Duration
	// firstAttempt is set if the caller states that no earlier request carried
	// the key.
	firstAttempt bool

	// mu serialises beforeSend, finish and background writes of the outcome.
	mu  sync.Mutex
	rec idempotency.Record
	// rev is the last known revision of rec. A delayed write of this execution
	// may have raised the stored one; writes are conditional on rev in any case.
	rev uint64
	// mayHaveStarted is set if the endpoint may have started the call.
	mayHaveStarted bool
	// superseded is set if another execution holds the record.
	superseded bool
}

// ranWithoutRecord returns the Ran value of the error for a request that sent
// nothing and whose record was not read.
func (x *execution) ranWithoutRecord() core.Ran {
	if x.firstAttempt {
		return core.RanNot
	}
	return idempotency.RanWithoutRecord
}

// read returns the stored record and its revision.
func (x *execution) read(ctx context.Context) (*idempotency.Record, uint64, error) {
	r, err := x.once.table.Get(ctx, x.key)
	if err != nil {
		return nil, 0, err
	}
	rec, err := idempotency.Decode(r.Body)
	if err != nil {
		// An invalid record must not lead to a second execution. The returned
		// record has no state, which idempotency.Decide treats as an unknown outcome.
		x.once.log.Error().Err(err).Str("record", x.key.Partition).Msg("call_record_invalid")
		return &idempotency.Record{BodySHA256: x.bodyHash}, r.Revision, nil
	}
	return &rec, r.Revision, nil
}

// write stores rec if the stored revision equals expect.
func (x *execution) write(ctx context.Context, rec idempotency.Record, expect uint64) error {
	body, err := rec.Encode()
	if err != nil {
		return core.AsError(err, "encoding")
	}
	return x.once.table.Transact(ctx, core.Write{Key: x.key, ExpectRevision: expect, Body: body, Expires: time.Now().Add(idempotency.Retention)})
}

// sleepContext waits for d or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// claim makes this execution the holder of the record. It returns nil and no
// error on success, and the record of another execution if that one prevents
// the claim.
func (x *execution) claim(ctx context.Context) (*existingRecord, error) {
	x.rec, x.rev = idempotency.NewClaim(x.token, x.bodyHash, x.timeout, x.once.now()), 0
	var cause error
	// mayTakeEffect is set after a failed write that may take effect later.
	mayTakeEffect := false
	for range maxWriteAttempts {
		if ctx.Err() != nil {
			break
		}
		err := x.write(ctx, x.rec, x.rev)
		if err == nil {
			x.rev++
			return nil, nil
		}
		if !errors.Is(err, core.ErrRevisionMismatch) {
			cause = err
			mayTakeEffect = mayTakeEffect || core.AsError(err, "claim").Ran != core.RanNot
		}
		cur, rev, err := x.read(ctx)
		switch {
		case errors.Is(err, core.ErrNoRecord):
			x.rev = 0
		case err != nil:
			cause = err
			sleepContext(ctx, readRetryDelay)
		case cur.Token == x.token:
			x.rev = rev
			return nil, nil
		default:
			d := idempotency.Decide(cur, x.bodyHash, x.once.now())
			if d.Verdict != idempotency.TakeOver {
				return &existingRecord{record: *cur, decision: d}, nil
			}
			x.rev = rev
		}
	}
	if mayTakeEffect {
		x.releaseClaim()
	}
	x.once.count("unclaimed")
	e := &core.Error{Kind: core.Unavailable, Step: "claim", Ran: x.ranWithoutRecord(), RetryAfter: time.Second, Err: cause,
		Detail: "nothing was sent for this request; the table service is unavailable, so it is not known whether an earlier request with the same key ran"}
	if x.firstAttempt {
		e.Detail = "the table service is unavailable; nothing was sent"
	}
	return nil, e
}

// releaseClaim releases, in the background, a claim that may still take effect,
// so that a later request need not wait until the claim counts as abandoned. In
// an outage of the table service nearly every claim ends here and few take
// effect, so the number of releases is limited.
func (x *execution) releaseClaim() {
	if len(x.once.slots) > maxPendingForRelease {
		return
	}
	select {
	case x.once.slots <- struct{}{}:
	default:
		return
	}
	if rec, ok := x.rec.Finish(idempotency.NotRun, nil, "the claim was not confirmed", x.once.now()); ok {
		x.once.outbox.add(&pendingOutcome{exec: x, rec: rec})
	}
}

// beforeSend records that the call is about to be sent to e. If it returns an
// error, the call must not be sent. It may be called again only if the call
// provably did not start at the endpoint before.
func (x *execution) beforeSend(ctx context.Context, e core.Endpoint) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.mayHaveStarted = false
	next, ok := x.rec.Dispatch(e.ID, x.once.now())
	if !ok || x.superseded {
		return &core.Error{Kind: core.Internal, Step: "dispatch", Ran: core.RanNot, Detail: "the call has already ended"}
	}
	if x.rec.State == idempotency.Dispatched {
		// Each endpoint after the first costs a write that admit did not reserve.
		x.once.writeLimit.ReserveN(time.Now(), 1)
	}
	if err := x.writeDispatch(ctx, next); err != nil {
		return err
	}
	// The write, or a pause of the process, may have taken until after the
	// deadline. The clock is compared because the context's timer may not have
	// fired yet.
	deadline, hasDeadline := ctx.Deadline()
	if x.callerCtx.Err() != nil || ctx.Err() != nil || hasDeadline && !time.Now().Before(deadline) {
		return &core.Error{Kind: core.DeadlineExceeded, Step: "dispatch", Ran: core.RanNot, Detail: "the request ended before the call was sent"}
	}
	x.mayHaveStarted = true
	return nil
}

// writeDispatch stores the dispatched record next. If the write fails, it reads
// the record back to learn whether the write took effect.
func (x *execution) writeDispatch(ctx context.Context, next idempotency.Record) error {
	var cause error
	for range maxWriteAttempts {
		if ctx.Err() != nil {
			break
		}
		err := x.write(ctx, next, x.rev)
		if err == nil {
			x.rec, x.rev = next, x.rev+1
			return nil
		}
		if !errors.Is(err, core.ErrRevisionMismatch) {
			cause = err
		}
		cur, rev, err := x.read(ctx)
		switch {
		case errors.Is(err, core.ErrNoRecord), err == nil && cur.Token != x.token:
			x.superseded = true
			return x.takeoverError()
		case err != nil:
			cause = err
			sleepContext(ctx, readRetryDelay)
		default:
			x.rev = rev
			if cur.State == idempotency.Dispatched && cur.Endpoint == next.Endpoint {
				x.rec = *cur
				return nil
			}
		}
	}
	return &core.Error{Kind: core.Unavailable, Step: "dispatch", Ran: core.RanNot, RetryAfter: time.Second, Err: cause,
		Detail: "the table service did not confirm that the call may be sent"}
}

// takeoverError reports that another execution holds the record.
func (x *execution) takeoverError() *core.Error {
	return &core.Error{Kind: core.Conflict, Step: "dispatch", RetryAfter: time.Second, Detail: "another request with the same key took the call over"}
}

// finish records the outcome and returns the answer or error for the caller. If
// the outcome cannot be recorded now, the outbox retries it.
func (x *execution) finish(ctx context.Context, res core.Result, err error) (core.Result, bool, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.superseded {
		<-x.once.slots
		x.once.count("taken_over")
		return core.Result{}, false, x.takeoverError()
	}
	outcome, ran := x.newOutcome(res, err)
	result, settled := x.once.recordOutcome(ctx, outcome)
	if settled {
		<-x.once.slots
	} else {
		x.once.outbox.add(outcome)
	}
	x.rec = outcome.rec
	if result == superseded && ran == core.RanNot {
		x.once.count("taken_over")
		return core.Result{}, false, x.takeoverError()
	}
	x.once.count(string(outcome.rec.State))
	if err == nil && ran == core.RanYes {
		return res, false, nil
	}
	e := *core.AsError(err, "send")
	e.Ran = ran
	return core.Result{}, false, &e
}

// newOutcome returns the record that ends the execution, and whether the call
// ran as reported to the caller.
func (x *execution) newOutcome(res core.Result, err error) (*pendingOutcome, core.Ran) {
	state, ran, reason := idempotency.Unknown, core.RanUnknown, "the call ended without an answer"
	var answer *idempotency.Answer
	outcome := &pendingOutcome{exec: x}
	if err != nil {
		e := core.AsError(err, "send")
		ran, reason = e.Ran, e.Detail
	}
	switch {
	case !x.mayHaveStarted, err != nil && ran == core.RanNot:
		state, ran = idempotency.NotRun, core.RanNot
	case err == nil:
		state, ran, reason = idempotency.Done, core.RanYes, ""
		answer = &idempotency.Answer{Status: res.Status, ContentType: res.ContentType, Body: res.Body}
		if len(res.Body) > maxInlineAnswerBytes {
			answer.Body, answer.Object, outcome.answerBody = nil, "answers/"+idempotency.HashBody(res.Body), res.Body
		}
	case ran == core.RanYes:
		state = idempotency.Done
	}
	rec, ok := x.rec.Finish(state, answer, reason, x.once.now())
	if !ok {
		// Not expected: finish runs only while the record is claimed or dispatched.
		x.once.log.Error().Str("from", string(x.rec.State)).Str("to", string(state)).Msg("call_transition_refused")
		rec = x.rec
	}
	outcome.rec = rec
	return outcome, ran
}
