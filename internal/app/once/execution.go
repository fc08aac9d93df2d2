package once

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/idempotency"
)

// execution is one attempt to run a call. Its methods run one at a time.
type execution struct {
	o *Once
	// caller is the caller's context: once it ends, nothing more is sent.
	caller  context.Context
	key     core.RecordKey
	token   string
	body    string
	timeout time.Duration
	// first says that no earlier request had the key, by the caller's word.
	first bool

	mu  sync.Mutex
	rec idempotency.Record
	// rev is the revision of rec as far as it is known. A delayed write of this
	// execution may have raised it; writes are conditional on it either way.
	rev uint64
	// open says that the endpoint may have started the call.
	open bool
	// lost says that another execution holds the record.
	lost bool
}

// unreadRan is what a request that sent nothing is told without its record.
func (x *execution) unreadRan() core.Ran {
	if x.first {
		return core.RanNot
	}
	return idempotency.RanWithoutRecord
}

func (x *execution) read(ctx context.Context) (*idempotency.Record, uint64, error) {
	r, err := x.o.table.Get(ctx, x.key)
	if err != nil {
		return nil, 0, err
	}
	rec, err := idempotency.Decode(r.Body)
	if err != nil {
		// A record that cannot be read must not lead to a second execution. Its
		// state stays empty, which decides as an unknown outcome.
		x.o.log.Error().Err(err).Str("record", x.key.Partition).Msg("call_record_invalid")
		return &idempotency.Record{BodySHA256: x.body}, r.Revision, nil
	}
	return &rec, r.Revision, nil
}

func (x *execution) write(ctx context.Context, rec idempotency.Record, expect uint64) error {
	body, err := rec.Encode()
	if err != nil {
		return core.AsError(err, "encoding")
	}
	return x.o.table.Transact(ctx, core.Write{Key: x.key, ExpectRevision: expect, Body: body, Expires: time.Now().Add(idempotency.Retention)})
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// claim makes this execution the holder of the record. It returns the record
// of another execution that stands in the way, or an error.
func (x *execution) claim(ctx context.Context) (*found, error) {
	x.rec, x.rev = idempotency.NewClaim(x.token, x.body, x.timeout, x.o.now()), 0
	var cause error
	ambiguous := false
	for range attempts {
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
			ambiguous = ambiguous || core.AsError(err, "claim").Ran != core.RanNot
		}
		cur, rev, err := x.read(ctx)
		switch {
		case errors.Is(err, core.ErrNoRecord):
			x.rev = 0
		case err != nil:
			cause = err
			pause(ctx, attemptPause)
		case cur.Token == x.token:
			x.rev = rev
			return nil, nil
		default:
			d := idempotency.Decide(cur, x.body, x.o.now())
			if d.Verdict != idempotency.TakeOver {
				return &found{record: *cur, decision: d}, nil
			}
			x.rev = rev
		}
	}
	if ambiguous {
		x.abandon()
	}
	x.o.count("unclaimed")
	e := &core.Error{Kind: core.Unavailable, Step: "claim", Ran: x.unreadRan(), RetryAfter: time.Second, Err: cause,
		Detail: "this request sent nothing; the table service does not say whether an earlier request with the same key ran"}
	if x.first {
		e.Detail = "the table service is unavailable; nothing was sent"
	}
	return nil, e
}

// abandon releases a claim that may still take effect, so that a later request
// need not wait until it counts as abandoned. In an outage nearly every claim
// ends here and few took effect, so only some are released.
func (x *execution) abandon() {
	if len(x.o.slots) > maxAbandoned {
		return
	}
	select {
	case x.o.slots <- struct{}{}:
	default:
		return
	}
	if out, ok := x.rec.Finish(idempotency.NotRun, nil, "the claim was not confirmed", x.o.now()); ok {
		x.o.outbox.add(&outcome{x: x, rec: out})
	}
}

// dispatched stores that the call is about to be sent to e. An error means that
// it must not be sent. A second call says that the attempt before it provably
// did not start.
func (x *execution) dispatched(ctx context.Context, e core.Endpoint) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.open = false
	next, ok := x.rec.Dispatch(e.ID, x.o.now())
	if !ok || x.lost {
		return &core.Error{Kind: core.Internal, Step: "dispatch", Ran: core.RanNot, Detail: "the call has already ended"}
	}
	if x.rec.State == idempotency.Dispatched {
		// A further endpoint costs a write that the claim did not reserve.
		x.o.writes.ReserveN(time.Now(), 1)
	}
	if err := x.storeDispatch(ctx, next); err != nil {
		return err
	}
	// The write, or a pause of the process, may have outlasted the deadline.
	// The clock is read because a timer may not have fired yet.
	deadline, limited := ctx.Deadline()
	if x.caller.Err() != nil || ctx.Err() != nil || limited && !time.Now().Before(deadline) {
		return &core.Error{Kind: core.DeadlineExceeded, Step: "dispatch", Ran: core.RanNot, Detail: "the request ended before the call was sent"}
	}
	x.open = true
	return nil
}

func (x *execution) storeDispatch(ctx context.Context, next idempotency.Record) error {
	var cause error
	for range attempts {
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
			x.lost = true
			return x.takenOver()
		case err != nil:
			cause = err
			pause(ctx, attemptPause)
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

func (x *execution) takenOver() *core.Error {
	return &core.Error{Kind: core.Conflict, Step: "dispatch", RetryAfter: time.Second, Detail: "another request with the same key took the call over"}
}

// finish records the outcome and returns the caller's answer.
func (x *execution) finish(ctx context.Context, res core.Result, err error) (core.Result, bool, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.lost {
		<-x.o.slots
		x.o.count("taken_over")
		return core.Result{}, false, x.takenOver()
	}
	out, ran := x.outcome(res, err)
	state, kept := x.o.record(ctx, out)
	if kept {
		<-x.o.slots
	} else {
		x.o.outbox.add(out)
	}
	x.rec = out.rec
	if state == superseded && ran == core.RanNot {
		x.o.count("taken_over")
		return core.Result{}, false, x.takenOver()
	}
	x.o.count(string(out.rec.State))
	if err == nil && ran == core.RanYes {
		return res, false, nil
	}
	e := *core.AsError(err, "send")
	e.Ran = ran
	return core.Result{}, false, &e
}

// outcome returns the record that ends the execution, and what the caller is
// told of the call.
func (x *execution) outcome(res core.Result, err error) (*outcome, core.Ran) {
	s, ran, reason := idempotency.Unknown, core.RanUnknown, "the call ended without an answer"
	var a *idempotency.Answer
	o := &outcome{x: x}
	if err != nil {
		e := core.AsError(err, "send")
		ran, reason = e.Ran, e.Detail
	}
	switch {
	case !x.open, err != nil && ran == core.RanNot:
		s, ran = idempotency.NotRun, core.RanNot
	case err == nil:
		s, ran, reason = idempotency.Done, core.RanYes, ""
		a = &idempotency.Answer{Status: res.Status, ContentType: res.ContentType, Body: res.Body}
		if len(res.Body) > maxInline {
			a.Body, a.Object, o.body = nil, "answers/"+idempotency.HashBody(res.Body), res.Body
		}
	case ran == core.RanYes:
		s = idempotency.Done
	}
	rec, ok := x.rec.Finish(s, a, reason, x.o.now())
	if !ok {
		// Only an execution that holds a claimed or dispatched record gets here.
		x.o.log.Error().Str("from", string(x.rec.State)).Str("to", string(s)).Msg("call_transition_refused")
		rec = x.rec
	}
	o.rec = rec
	return o, ran
}
