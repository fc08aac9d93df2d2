// Package retry decides whether a call is retried or hedged, within a budget per
// pool. It does no I/O; the caller serializes access.
package retry

import "time"

const (
	// retryTokensPerCall is the number of retry tokens that the first attempt of a call
	// earns. Each retry and each hedge spends one, so that an outage multiplies
	// calls by at most 1.1. The value is below 0.1 because saved tokens are spent
	// on top.
	retryTokensPerCall = 0.08
	// hedgeTokensPerCall is the number of hedge tokens that the first attempt of a
	// call earns. A hedge spends one of them besides its retry token, so that one
	// straggler among 12 endpoints costs at most 5% extra calls.
	hedgeTokensPerCall = 0.04
	maxRetryTokens     = 8
	maxHedgeTokens     = 3
	// initialRetryTokens lets the first calls of a daemon that has just started be
	// retried.
	initialRetryTokens = 2
	// maxCrashTokens is the limit on crash tokens, which pay for retries of calls
	// that a crash interrupted. A crash interrupts the calls in all slots of an
	// endpoint at once, and must leave retry tokens for the calls whose connections
	// are refused afterwards. The first attempt of a call earns crashTokensPerCall,
	// which together with retryTokensPerCall is at most 0.1.
	maxCrashTokens     = 16
	crashTokensPerCall = 0.02

	baseBackoff = 5 * time.Millisecond
	maxBackoff  = 200 * time.Millisecond

	// hedgeMinSamples is the number of call times below which their 95th
	// percentile is not significant.
	hedgeMinSamples = 20
	minHedgeDelay   = time.Millisecond
)

// Budget limits the retries and hedges of one pool to a fraction of its calls.
type Budget struct {
	// retryTokens pay for retries and, together with hedgeTokens, for hedges.
	// crashTokens pay for retries after crashes.
	retryTokens, crashTokens, hedgeTokens float64
}

// NewBudget returns a budget with initialRetryTokens and maxCrashTokens.
func NewBudget() *Budget {
	return &Budget{retryTokens: initialRetryTokens, crashTokens: maxCrashTokens}
}

// RecordCall adds the tokens that the first attempt of a call earns.
func (b *Budget) RecordCall() {
	b.retryTokens = min(b.retryTokens+retryTokensPerCall, maxRetryTokens)
	b.crashTokens = min(b.crashTokens+crashTokensPerCall, maxCrashTokens)
	b.hedgeTokens = min(b.hedgeTokens+hedgeTokensPerCall, maxHedgeTokens)
}

// spendRetryToken spends a token for a retry: a crash token if the call was
// interrupted by a crash and there is one, else a retry token. It reports whether
// there was one.
func (b *Budget) spendRetryToken(crash bool) bool {
	tokens := &b.retryTokens
	if crash && b.crashTokens >= 1 {
		tokens = &b.crashTokens
	}
	if *tokens < 1 {
		return false
	}
	*tokens--
	return true
}

// Reason says why another attempt is or is not allowed.
type Reason string

// The reasons of a decision.
const (
	Allowed Reason = "allowed"
	// NotRepeatable: the work may have started and may not run twice.
	NotRepeatable Reason = "not_repeatable"
	// NoAttempts: MaxAttempts are made.
	NoAttempts Reason = "attempts"
	// NoBudget: the budget of the pool has no token left.
	NoBudget Reason = "budget"
	// NoTime: another attempt would not end before the deadline.
	NoTime Reason = "deadline"
	// Final: another attempt would end the same way.
	Final Reason = "final"
	// NoEndpoint: no other endpoint can take the call.
	NoEndpoint Reason = "no_endpoint"
	NoData     Reason = "no_data"
)

// FailedAttempt describes a failed attempt of a call.
type FailedAttempt struct {
	// Number counts the attempts of the call, from 1.
	Number int
	// MaxAttempts is the limit on attempts of the call.
	MaxAttempts int
	// Repeatable says that it is safe to run the work twice.
	Repeatable bool
	// NotStarted says that the attempt provably did not start the work.
	NotStarted bool
	// Final says that another attempt would end the same way.
	Final bool
	// Crash says that the endpoint crashed during the attempt.
	Crash bool
	// Now and Deadline are by the monotonic clock. Deadline is that of the call.
	Now, Deadline time.Time
	// Expected is how long another attempt is predicted to take.
	Expected time.Duration
	// Random is uniform in [0, 1).
	Random float64
}

// Decision says whether another attempt is allowed, why, and how long to wait
// before it.
type Decision struct {
	Allowed bool
	Wait    time.Duration
	Reason  Reason
}

// MayRetry reports whether there is a retry token. Without one, a call is not
// sent as a probe to an ejected endpoint, since it could not be retried elsewhere
// if the probe fails.
func (b *Budget) MayRetry() bool { return b.retryTokens >= 1 }

// Retry decides whether the call may be attempted again after f, and spends a token
// if so.
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
	case !b.spendRetryToken(f.Crash):
		return Decision{Reason: NoBudget}
	}
	return Decision{Allowed: true, Wait: wait, Reason: Allowed}
}

// Backoff returns the pause after the given attempt, which is counted from 1. The
// pause grows exponentially and is drawn evenly from its upper half, by random in
// [0, 1).
func Backoff(attempt int, random float64) time.Duration {
	d := min(baseBackoff<<min(attempt-1, 10), maxBackoff)
	return time.Duration(float64(d) * (0.5 + random/2))
}

// HedgeDelay returns the time after which a repeatable call is hedged: the 95th
// percentile of the recent call times. ok is false if there are too few samples.
func HedgeDelay(p95 time.Duration, samples int64) (delay time.Duration, ok bool) {
	return max(p95, minHedgeDelay), samples >= hedgeMinSamples
}

// Hedge decides whether a second attempt may be sent while a slow one is in
// progress, and spends a retry token and a hedge token if so.
func (b *Budget) Hedge(now, deadline time.Time, expected time.Duration, repeatable bool) Decision {
	switch {
	case !repeatable:
		return Decision{Reason: NotRepeatable}
	case now.Add(expected).After(deadline):
		return Decision{Reason: NoTime}
	case b.hedgeTokens < 1 || b.retryTokens < 1:
		return Decision{Reason: NoBudget}
	}
	b.hedgeTokens--
	b.retryTokens--
	return Decision{Allowed: true, Reason: Allowed}
}
