// Package repeats bounds the repeated calls of requests, which are all calls after the
// first. The bound applies to a pool over all daemons in a sliding window. Each daemon
// gets an equal part of the fixed allowance and a part of the ratio that follows
// from its own requests.
//
// A daemon that has just started does not know what the process before it used in the
// same window. Its part of the fixed allowance therefore grows from zero in its first
// window, however often it restarts.
package repeats

import "time"

const (
	// safetyFactor reduces each daemon's part of the fixed allowance, because daemons that
	// were just started or are cut off may use an outdated number of daemons.
	safetyFactor = 0.6
	// earnedFactor reduces the repeats that requests earn. When all callers move from one
	// daemon to another, the first one's repeats and the second one's fall into one
	// window, and the bound counts the requests of one window only.
	earnedFactor = 0.5
	// refillFactor is the part of the fixed allowance that daemons may use in their first
	// window, in all runs of these windows together. With safetyFactor, which the runs
	// before may have used, it adds up to the whole.
	refillFactor = 1 - safetyFactor
	// learningTime is the time after a start in which a daemon uses nothing of the fixed
	// allowance, since it does not know yet how many daemons share it.
	learningTime = time.Second
	// numSlots is the number of time slots in which repeats are counted. All but one of
	// them span the window.
	numSlots = 10
	// requestSlots is the number of time slots in which requests are counted. They span
	// the window at most, since older requests earn nothing by the bound.
	requestSlots = numSlots - 1
	// optionalShare is the fraction of the budget that optional repeats may use.
	optionalShare = 0.5
)

// Limits is the bound on repeats over all daemons.
type Limits struct {
	// Ratio is the number of repeats allowed for each request in the window.
	Ratio float64
	// FixedAllowance is the number of repeats allowed in the window in addition to
	// those by the ratio.
	FixedAllowance float64
	Window         time.Duration
}

// Decision says whether repeats are allowed, and from which counts that follows.
type Decision struct {
	Allowed bool
	// Requests and Repeats are this daemon's counts in its window, without the repeats
	// that were asked for.
	Requests, Repeats float64
	// Limit is the number of repeats that this daemon may have in its window.
	Limit float64
	// Daemons is the number of daemons by which the fixed allowance was divided.
	Daemons int
	// Age is the time since which all calls are counted.
	Age time.Duration
}

// Budget is one daemon's part of the bound for one pool. It is not safe for
// concurrent use.
type Budget struct {
	limits Limits
	// start is the time since which all calls of this daemon are counted. Slots are
	// counted from it by the monotonic clock, because the time of day may be set.
	start time.Time
	// requests and repeats are ring buffers of counts by slot.
	requests [numSlots]float64
	repeats  [numSlots]float64
	// currentSlot is the number of slots from start to the latest one used.
	currentSlot int64
}

// New returns the unused budget of a daemon that has sent nothing to the pool since the
// given time, usually its start.
func New(l Limits, since time.Time) *Budget { return &Budget{limits: l, start: since} }

// advance moves to the slot of now, clears the slots that are reused, and returns the
// index of the slot in the ring buffers.
func (b *Budget) advance(now time.Time) int {
	slot := max(int64(now.Sub(b.start))/slotWidth(b.limits.Window), 0)
	if slot-b.currentSlot >= numSlots {
		b.requests, b.repeats = [numSlots]float64{}, [numSlots]float64{}
		b.currentSlot = slot
	}
	for b.currentSlot < slot {
		b.currentSlot++
		b.requests[b.currentSlot%numSlots], b.repeats[b.currentSlot%numSlots] = 0, 0
	}
	return int(slot % numSlots)
}

// RecordRequests counts the first calls of n requests.
func (b *Budget) RecordRequests(now time.Time, n int) { b.requests[b.advance(now)] += float64(n) }

// Take uses n repeats of the budget if this daemon's part of the bound allows them.
// daemons is the number of daemons that share the fixed allowance.
func (b *Budget) Take(now time.Time, n, daemons int) Decision {
	return b.take(now, n, daemons, 1)
}

// TakeOptional is Take for optional repeats, without which no request fails, for example
// when a call is only slow. They leave half of the budget to the others.
func (b *Budget) TakeOptional(now time.Time, n, daemons int) Decision {
	return b.take(now, n, daemons, optionalShare)
}

func (b *Budget) take(now time.Time, n, daemons int, share float64) Decision {
	i := b.advance(now)
	d := Decision{Daemons: max(daemons, 1), Age: now.Sub(b.start)}
	for k := range numSlots {
		d.Repeats += b.repeats[k]
	}
	for k := range min(requestSlots, b.currentSlot+1) {
		d.Requests += b.requests[(b.currentSlot-k)%numSlots]
	}
	fixed := b.limits.FixedAllowance / float64(d.Daemons) * allowanceShare(d.Age, b.limits.Window)
	d.Limit = share * (fixed + earnedFactor*b.limits.Ratio*d.Requests)
	if d.Allowed = d.Repeats+float64(n) <= d.Limit; d.Allowed {
		b.repeats[i] += float64(n)
	}
	return d
}

// slotWidth returns the length of a time slot.
func slotWidth(window time.Duration) int64 { return max(int64(window)/requestSlots, 1) }

// allowanceShare returns the part of its share of the fixed allowance that a daemon may
// use at a given age.
func allowanceShare(age, window time.Duration) float64 {
	switch {
	case age < learningTime:
		return 0
	case age < window:
		return refillFactor * float64(age) / float64(window)
	default:
		return safetyFactor
	}
}
