package coldstart

import "time"

const (
	// maxWaiting is the number of requests of one pool that wait in one daemon at once.
	maxWaiting = 64
	// maxWait is the longest time that a request waits for a permit.
	maxWait = time.Second
	// returnTime is the time over which the callers return that were refused until the
	// endpoints are warm.
	returnTime = time.Second
)

// MayWait reports whether a request waits until the next permit for a cold endpoint of its
// pool may be granted, rather than being refused at once. untilTarget is the time until
// the request should be sent to be answered on time, waited the time that it has waited
// for permits so far, and waiting the number of requests of the pool that wait.
func MayWait(untilPermit, untilTarget, waited time.Duration, waiting int) bool {
	return untilPermit > 0 && waiting < maxWaiting && untilPermit <= untilTarget/2 && waited+untilPermit <= maxWait
}

// Returns hands out the times at which refused callers may come back, one after the other
// as permits are granted, so that they do not meet and are refused again. The zero value
// is ready for use. It is not safe for concurrent use.
type Returns struct {
	next     time.Time
	returned int
}

// After returns the time after which the next refused caller may return: when a permit for
// it is expected, or once the endpoints are warm. perSecond is the rate at which this
// daemon gets permits for the pool, untilPermit the time until the first one, and untilWarm
// the time until the first endpoint is warm.
func (r *Returns) After(now time.Time, perSecond float64, untilPermit, untilWarm time.Duration) time.Duration {
	first := now.Add(untilPermit)
	if r.next.Before(first) {
		r.next, r.returned = first, 0
	}
	if perSecond > 0 && r.next.Before(now.Add(untilWarm)) {
		after := r.next.Sub(now)
		r.next = r.next.Add(time.Duration(min(float64(time.Second)/perSecond, float64(MaxColdTime))))
		return after
	}
	// Sixteen steps spread the callers over returnTime.
	const steps = 16
	r.returned = (r.returned + 1) % steps
	return untilWarm + returnTime*time.Duration(r.returned)/steps
}
