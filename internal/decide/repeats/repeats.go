// Package repeats bounds calls beyond the first of each request. The bound is
// one figure for a pool over all daemons in a sliding window; each daemon holds
// an equal part of the fixed allowance and its own traffic's part of the ratio.
package repeats

import "time"

const (
	// margin leaves room for daemons that were just started or are cut off and
	// count with an older number of peers.
	margin = 0.6
	slots  = 10
	// spareShare is the part of the allowance that repeats may use which no request
	// depends on.
	spareShare = 0.5
)

// Limits is the bound over all daemons.
type Limits struct {
	// Ratio is the allowed number of repeats for each request.
	Ratio float64
	// Slack is the allowed number beside the ratio in a window.
	Slack  float64
	Window time.Duration
}

// Budget is one daemon's part for one pool. The caller serializes access.
type Budget struct {
	limits Limits
	// start is the time of the first call. The window is counted from it and not from
	// the time of day, which may be set.
	start    time.Time
	requests [slots]float64
	repeats  [slots]float64
	epoch    int64
}

// New returns an unused budget.
func New(l Limits) *Budget { return &Budget{limits: l} }

func (b *Budget) turn(now time.Time) int {
	width := max(int64(b.limits.Window)/(slots-1), 1)
	if b.start.IsZero() {
		b.start = now
	}
	e := max(int64(now.Sub(b.start))/width, 0)
	if e-b.epoch >= slots {
		b.requests, b.repeats = [slots]float64{}, [slots]float64{}
		b.epoch = e
	}
	for b.epoch < e {
		b.epoch++
		b.requests[b.epoch%slots], b.repeats[b.epoch%slots] = 0, 0
	}
	return int(e % slots)
}

// Request notes a first call.
func (b *Budget) Request(now time.Time, n int) { b.requests[b.turn(now)] += float64(n) }

// Take spends n repeats if the part of this daemon allows them. daemons is the
// number that share the allowance.
func (b *Budget) Take(now time.Time, n, daemons int) bool {
	return b.take(now, n, daemons, margin)
}

// TakeOptional is Take for repeats without which a request does not fail, as when a
// call is only slow: they leave half of the allowance to the others.
func (b *Budget) TakeOptional(now time.Time, n, daemons int) bool {
	return b.take(now, n, daemons, margin*spareShare)
}

func (b *Budget) take(now time.Time, n, daemons int, share float64) bool {
	i := b.turn(now)
	var req, rep float64
	for k := range slots {
		req += b.requests[k]
		rep += b.repeats[k]
	}
	if rep+float64(n) > share*(b.limits.Slack/float64(max(daemons, 1))+b.limits.Ratio*req) {
		return false
	}
	b.repeats[i] += float64(n)
	return true
}
