package idempotency

import (
	"time"

	"eelgrassgrade/internal/core"
)

// Verdict says what to do with a caller's request.
type Verdict uint8

// The verdicts. Undecided is the zero value and permits nothing.
const (
	Undecided Verdict = iota
	// Claim creates the record, and the call may run.
	Claim
	// TakeOver replaces the record, conditional on its revision, and the call may
	// run.
	TakeOver
	// Replay returns the recorded answer and runs nothing.
	Replay
	// InProgress refuses the request: another execution may be running.
	InProgress
	// OutcomeUnknown refuses the request: the call may have run, and its outcome is
	// not known.
	OutcomeUnknown
	// Mismatch refuses the request: the key was used with another body.
	Mismatch
)

// Decision is a verdict with its reason.
type Decision struct {
	Verdict Verdict
	// Reason is safe to show to the caller.
	Reason string
	// RetryAfter is how long the caller should wait before it repeats the request,
	// or 0 if repeating it is of no use.
	RetryAfter time.Duration
}

const (
	// inProgressRetryAfter is the RetryAfter while another execution may be running.
	inProgressRetryAfter = time.Second
	// overdueRetryAfter is the RetryAfter when a call that was sent should have
	// ended but has no recorded outcome. Another daemon may still be retrying to
	// record it in the background.
	overdueRetryAfter = 5 * time.Second
	// claimGrace is how long after the operation's timeout a claim counts as
	// abandoned. Until the timeout, the claiming request may still wait in a queue.
	claimGrace = time.Second
)

// Decide returns the decision on a request whose body has the given digest. rec is
// the stored record, or nil if there is none. now is wall time. A wrong clock can
// only change when a claim is taken over, and whether a second caller learns that
// the call is in progress or that its outcome is unknown.
func Decide(rec *Record, bodySHA256 string, now time.Time) Decision {
	if rec == nil {
		return Decision{Verdict: Claim, Reason: "no request used the key before"}
	}
	if rec.BodySHA256 != bodySHA256 {
		return Decision{Verdict: Mismatch, Reason: "the Idempotency-Key was used with another body"}
	}
	age, timeout := now.Sub(rec.WrittenAt), time.Duration(rec.TimeoutMs)*time.Millisecond
	switch rec.State {
	case Done:
		return Decision{Verdict: Replay, Reason: "the call was done before"}
	case NotRun:
		return Decision{Verdict: TakeOver, Reason: "the earlier request did not run"}
	case Claimed:
		if age > timeout+claimGrace {
			return Decision{Verdict: TakeOver, Reason: "the claim was abandoned before anything was sent"}
		}
		return Decision{Verdict: InProgress, Reason: "a request with the same key is in progress", RetryAfter: inProgressRetryAfter}
	case Dispatched:
		if age > timeout {
			return Decision{Verdict: OutcomeUnknown, Reason: "the call was sent and its outcome was not recorded", RetryAfter: overdueRetryAfter}
		}
		return Decision{Verdict: InProgress, Reason: "a request with the same key is in progress", RetryAfter: inProgressRetryAfter}
	case Unknown:
		return Decision{Verdict: OutcomeUnknown, Reason: "the call was sent and its outcome is not known: " + rec.Reason}
	}
	return Decision{Verdict: OutcomeUnknown, Reason: "the record of the call is not valid"}
}

// NewClaim returns the first record of an execution, in state Claimed.
func NewClaim(token, bodySHA256 string, timeout time.Duration, now time.Time) Record {
	return Record{State: Claimed, Token: token, BodySHA256: bodySHA256, TimeoutMs: timeout.Milliseconds(), WrittenAt: now.Round(0).UTC()}
}

// Dispatch returns the record that must be stored before the call is sent to
// endpoint e. It returns false if r does not permit sending the call.
func (r Record) Dispatch(e core.InstanceID, now time.Time) (Record, bool) {
	if (r.State != Claimed && r.State != Dispatched) || e == "" {
		return Record{}, false
	}
	r.State, r.Endpoint, r.WrittenAt = Dispatched, e, now.Round(0).UTC()
	return r, true
}

// Finish returns the record that ends the execution in state s. It returns false
// if r does not permit that: the execution has ended already, or s is Done or
// Unknown although the call was never sent.
func (r Record) Finish(s State, a *Answer, reason string, now time.Time) (Record, bool) {
	allowed := r.State == Dispatched && (s == Done || s == NotRun || s == Unknown) || r.State == Claimed && s == NotRun
	if !allowed {
		return Record{}, false
	}
	r.State, r.Answer, r.Reason, r.WrittenAt = s, a, reason, now.Round(0).UTC()
	return r, true
}

// KnownNotRun reports whether the record, or its absence as nil, proves that the
// call has not run. An abandoned claim does not prove it: the claiming request may
// only be slow.
func KnownNotRun(rec *Record) bool { return rec == nil || rec.State == NotRun }

// RanWithoutRecord is the answer to whether the call ran if the request sent
// nothing and the record could not be read. An earlier request with the same key
// may have run the call, and a caller that gets "not run" may repeat the work
// under another key.
const RanWithoutRecord = core.RanUnknown
