package limits

import (
	"math"
	"time"
)

// Bucket is a token bucket with fractional tokens. Usage that is charged only after
// it is known may take it below zero. It is not safe for concurrent use.
type Bucket struct {
	rate, burst, tokens float64
	updatedAt           time.Time
}

// NewBucket returns a full bucket of burst tokens that gains rate tokens per second.
func NewBucket(rate, burst float64, now time.Time) *Bucket {
	return &Bucket{rate: rate, burst: burst, tokens: burst, updatedAt: now}
}

// SetRate changes the rate and the burst from now on. Tokens above the new burst are lost.
func (b *Bucket) SetRate(rate, burst float64, now time.Time) {
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

// advance adds the tokens gained since the last call.
func (b *Bucket) advance(now time.Time) {
	if d := now.Sub(b.updatedAt).Seconds(); d > 0 {
		b.tokens = min(b.burst, b.tokens+d*b.rate)
		b.updatedAt = now
	}
}

// TimeUntil returns the time until the bucket holds n tokens, or its burst if that is
// less; 0 means that it holds them now.
func (b *Bucket) TimeUntil(now time.Time, n float64) time.Duration {
	b.advance(now)
	missing := min(n, b.burst) - b.tokens
	if missing <= 0 {
		return 0
	}
	s := missing / b.rate
	if s > math.MaxInt64/float64(2*time.Second) {
		return math.MaxInt64 / 2
	}
	return time.Duration(math.Ceil(s * float64(time.Second)))
}

// Charge removes n tokens, even if that takes the bucket below zero.
func (b *Bucket) Charge(now time.Time, n float64) {
	b.advance(now)
	b.tokens -= n
}

// Tokens returns the current number of tokens, which may be negative.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.advance(now)
	return b.tokens
}
