package ratelimit

import (
	"time"

	"eelgrassgrade/internal/decide/limits"
)

const (
	// Window is the time over which an endpoint's requests are compared with its limit.
	// Requests that were sent before the limit was known count for so long.
	Window = 4 * time.Second
	// burstTime is the time whose permits an idle endpoint saves up, in addition to one.
	burstTime = 250 * time.Millisecond
	// probeInterval is the time between two permits for an endpoint whose limit is zero or
	// close to it. Only an answer can tell that the limit has ended.
	probeInterval = 10 * time.Second
	// maxWait bounds the time after which a daemon asks again. It is short enough that
	// permits are not left unused for long after the daemons before it in the queue needed
	// none.
	maxWait = 5 * time.Second
)

// PermitBucket decides when the permits for one endpoint are granted. The permits granted
// within any period are at most one, plus the limit times the period and burstTime. A
// PermitBucket is not safe for concurrent use.
type PermitBucket struct {
	permits *limits.Bucket
	// denials counts the requests for a permit that were denied since the last grant.
	denials int
}

// NewPermitBucket returns a bucket without permits. What another daemon granted just
// before then cannot exceed the limit together with what this bucket grants.
func NewPermitBucket(now time.Time) *PermitBucket {
	return &PermitBucket{permits: limits.NewBucket(0, 0, now)}
}

// Take grants a permit for one request or returns the time after which to ask again.
// perSecond is the limit in requests per second. Daemons that are denied one after the
// other get different times, so that they do not all return for the same permit.
func (b *PermitBucket) Take(now time.Time, perSecond float64) (granted bool, wait time.Duration) {
	rate := b.setLimit(now, perSecond)
	if b.permits.Tokens(now) >= 1 {
		b.permits.Charge(now, 1)
		b.denials = 0
		return true, 0
	}
	wait = b.permits.TimeUntil(now, 1) + time.Duration(float64(b.denials)/rate*float64(time.Second))
	b.denials++
	return false, min(wait, maxWait)
}

// Charge counts requests that were sent without a permit within the last Window.
func (b *PermitBucket) Charge(now time.Time, perSecond float64, requests int) {
	rate := b.setLimit(now, perSecond)
	excess := b.permits.Tokens(now) + rate*Window.Seconds()
	b.permits.Charge(now, min(float64(requests), max(excess, 0)))
}

// setLimit sets the limit from now on and returns the permits per second.
func (b *PermitBucket) setLimit(now time.Time, perSecond float64) (rate float64) {
	rate = max(perSecond, 1/probeInterval.Seconds())
	b.permits.SetRate(rate, 1+rate*burstTime.Seconds(), now)
	return rate
}
