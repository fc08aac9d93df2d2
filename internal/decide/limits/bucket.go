package limits

import (
	"math"
	"time"
)

// Bucket is a token bucket with fractional tokens. Use that is known only
// afterwards may take it below zero. It is not safe for concurrent use.
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

func (b *Bucket) advance(now time.Time) {
	if d := now.Sub(b.updatedAt).Seconds(); d > 0 {
		b.tokens = min(b.burst, b.tokens+d*b.rate)
		b.updatedAt = now
	}
}

// TimeUntil returns how long it takes until the bucket holds n tokens, or as many as
// it can hold; 0 means that it holds them now.
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

// Charge takes n tokens, below zero if need be.
func (b *Bucket) Charge(now time.Time, n float64) {
	b.advance(now)
	b.tokens -= n
}

// Tokens returns the tokens held.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.advance(now)
	return b.tokens
}
