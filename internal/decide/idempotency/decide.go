package idempotency

import (
	"time"

	"eelgrassgrade/internal/core"
)

// Verdict is what a caller's request leads to.
type Verdict uint8

// The verdicts. Undecided is the zero value and allows nothing.
const (
	Undecided Verdict = iota
	// Claim creates the record.
	Claim
	// TakeOver replaces the record, conditional on its revision.
	TakeOver
	// Replay returns the recorded answer.
	Replay
	// InProgress refuses: another execution may be running.
	InProgress
	// OutcomeUnknown refuses: the call may have run, and its outcome is not known.
	OutcomeUnknown
	// Mismatch refuses: the key is bound to another body.
	Mismatch
)

// Decision is a verdict with its reason.
type Decision struct {
	Verdict Verdict
	// Reason is safe to show to the caller.
	Reason string
	// RetryAfter is how long the caller should wait before it asks again, or 0
	// if asking again is of no use.
	RetryAfter time.Duration
}

const (
	inProgressRetryAfter = time.Second
	// overdueRetryAfter leaves time for an outcome write that is retried in the
	// background of another daemon.
	overdueRetryAfter = 5 * time.Second
	// claimGrace is added to the operation's timeout before a claim counts as
	// abandoned. Within the timeout the claimant may still be in a queue.
	claimGrace = time.Second
)

// Decide returns what a request with the given body hash may do. rec is the
// stored record, or nil if there is none. now is wall time: a skewed clock
// changes when a claim is taken over and whether a second caller is told that
// the call is in progress or that its outcome is unknown, and nothing else.
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

// NewClaim returns the first record of an execution.
func NewClaim(token, bodySHA256 string, timeout time.Duration, now time.Time) Record {
	return Record{State: Claimed, Token: token, BodySHA256: bodySHA256, TimeoutMs: timeout.Milliseconds(), WrittenAt: now.Round(0).UTC()}
}

// Dispatch returns the record that must be stored before the call is sent to
// the endpoint. It is false if the record does not allow sending.
func (r Record) Dispatch(e core.InstanceID, now time.Time) (Record, bool) {
	if (r.State != Claimed && r.State != Dispatched) || e == "" {
		return Record{}, false
	}
	r.State, r.Endpoint, r.WrittenAt = Dispatched, e, now.Round(0).UTC()
	return r, true
}

// Finish returns the record that ends the execution in state s. It is false if
// the execution has already ended or was never sent and should end as Done.
func (r Record) Finish(s State, a *Answer, reason string, now time.Time) (Record, bool) {
	allowed := r.State == Dispatched && (s == Done || s == NotRun || s == Unknown) || r.State == Claimed && s == NotRun
	if !allowed {
		return Record{}, false
	}
	r.State, r.Answer, r.Reason, r.WrittenAt = s, a, reason, now.Round(0).UTC()
	return r, true
}

// KnownNotRun says whether the record proves that the call has not run. An
// abandoned claim does not: its claimant may only be slow.
func KnownNotRun(rec *Record) bool { return rec == nil || rec.State == NotRun }

// RanWithoutRecord is what a caller is told if its request sent nothing and the
// record could not be read. An earlier request with the same key may have run,
// and a caller that is told "not run" may repeat the work under another key.
const RanWithoutRecord = core.RanUnknown
