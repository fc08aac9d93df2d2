// Package retry decides whether a call is attempted again or hedged. It does
// no I/O; the caller serializes access.
package retry

import "time"

const (
	// tokensPerCall tokens are earned by each first attempt and one is spent by
	// each further one, so that an outage multiplies calls by at most 1.1. The
	// ratio is below 0.1 because saved tokens add to it.
	tokensPerCall = 0.08
	// hedgeTokensPerCall bounds hedges alone: one straggler among 12 endpoints may
	// cost at most 5% extra calls.
	hedgeTokensPerCall = 0.04
	maxTokens          = 8
	maxHedgeTokens     = 3
	// initialTokens lets the first calls of a fresh daemon be retried.
	initialTokens = 2
	// maxCrashTokens bounds the retries of calls that were cut by crashes, which
	// have tokens of their own: one crash takes all slots of an endpoint at once,
	// and must leave ordinary tokens for the calls that then find it refusing
	// connections. crashRatio refills them; with retryRatio it stays within 0.1.
	maxCrashTokens     = 16
	crashTokensPerCall = 0.02

	baseBackoff = 5 * time.Millisecond
	maxBackoff  = 200 * time.Millisecond

	// hedgeMinSamples is the number of call times below which the 95th
	// percentile means nothing.
	hedgeMinSamples = 20
	minHedgeDelay   = time.Millisecond
)

// Budget limits retries and hedges of one pool to a part of its calls.
type Budget struct {
	tokens, crashTokens, hedgeTokens float64
}

// NewBudget returns a budget with the initial tokens.
func NewBudget() *Budget { return &Budget{tokens: initialTokens, crashTokens: maxCrashTokens} }

// RecordCall notes a first attempt.
func (b *Budget) RecordCall() {
	b.tokens = min(b.tokens+tokensPerCall, maxTokens)
	b.crashTokens = min(b.crashTokens+crashTokensPerCall, maxCrashTokens)
	b.hedgeTokens = min(b.hedgeTokens+hedgeTokensPerCall, maxHedgeTokens)
}

// spendToken spends a token; a call that a crash cut spends one of its own kind
// while there is one.
func (b *Budget) spendToken(crash bool) bool {
	from := &b.tokens
	if crash && b.crashTokens >= 1 {
		from = &b.crashTokens
	}
	if *from < 1 {
		return false
	}
	*from--
	return true
}

// Reason says why a call is or is not attempted again.
type Reason string

// The reasons of a decision.
const (
	Allowed       Reason = "allowed"
	NotRepeatable Reason = "not_repeatable"
	NoAttempts    Reason = "attempts"
	NoBudget      Reason = "budget"
	NoTime        Reason = "deadline"
	Final         Reason = "final"
	NoData        Reason = "no_data"
)

// FailedAttempt describes a failed attempt.
type FailedAttempt struct {
	// Number is its number, from 1.
	Number int
	// MaxAttempts bounds the attempts.
	MaxAttempts int
	// Repeatable says that the work may run twice.
	Repeatable bool
	// NotStarted says that the attempt provably did not start the work.
	NotStarted bool
	// Final says that another attempt would end the same way.
	Final bool
	// Crash says that the endpoint crashed during the attempt.
	Crash bool
	// Now and Deadline are monotonic; Deadline is that of this call.
	Now, Deadline time.Time
	// Expected is the predicted time of another attempt.
	Expected time.Duration
	// Random is uniform in [0, 1).
	Random float64
}

// Decision says whether to attempt the call again, and after what pause.
type Decision struct {
	Allowed bool
	Wait    time.Duration
	Reason  Reason
}

// MayRetry says whether there is a token for a retry. A call serves as a probe
// of an ejected endpoint only then, since it fails with the probe otherwise.
func (b *Budget) MayRetry() bool { return b.tokens >= 1 }

// Retry decides on another attempt and spends a token if it allows one.
func (b *Budget) Retry(f FailedAttempt) Decision {
	wait := Backoff(f.Number, f.Random)
	switch {
	case f.Final:
		return Decision{Reason: Final}
	case !f.Repeatable && !f.NotStarted:
		return Decision{Reason: NotRepeatable}
	case f.Number >= f.MaxAttempts:
		return Decision{Reason: NoAttempts}
	case f.Now.Add(wait + f.Expected).After(f.Deadline):
		return Decision{Reason: NoTime}
	case !b.spendToken(f.Crash):
		return Decision{Reason: NoBudget}
	}
	return Decision{Allowed: true, Wait: wait, Reason: Allowed}
}

// Backoff returns the pause before the attempt after the given one: exponential,
// and uniform between half of it and all of it.
func Backoff(attempt int, random float64) time.Duration {
	d := min(baseBackoff<<min(attempt-1, 10), maxBackoff)
	return time.Duration(float64(d) * (0.5 + random/2))
}

// HedgeDelay returns after what time a repeatable call is hedged, from the
// observed 95th percentile. ok is false while there are too few samples.
func HedgeDelay(p95 time.Duration, samples int64) (delay time.Duration, ok bool) {
	return max(p95, minHedgeDelay), samples >= hedgeMinSamples
}

// Hedge decides on a second attempt beside a slow one and spends a token of
// both budgets if it allows one.
func (b *Budget) Hedge(now, deadline time.Time, expected time.Duration, repeatable bool) Decision {
	switch {
	case !repeatable:
		return Decision{Reason: NotRepeatable}
	case now.Add(expected).After(deadline):
		return Decision{Reason: NoTime}
	case b.hedgeTokens < 1 || b.tokens < 1:
		return Decision{Reason: NoBudget}
	}
	b.hedgeTokens--
	b.tokens--
	return Decision{Allowed: true, Reason: Allowed}
}
