package stagework

import (
	"time"

	"eelgrassgrade/internal/app/endpoints"
)

const (
	// slowThreshold is the slowness above which an endpoint counts as slow. Calls to
	// ordinary endpoints vary by less.
	slowThreshold = 1.6
	// slownessWeight is the weight of the newest call in the moving average of the
	// slowness.
	slownessWeight = 0.6
	// slownessHalfLife is the time in which the slowness of a slow endpoint decays half
	// way to 1, so that an endpoint that gets few calls because it is slow is tried
	// again.
	slownessHalfLife = 2 * time.Second
	maxSlowness      = 8
	// minTimeFactor and maxTimeFactor bound the effect of an endpoint's slowness on the
	// expected time of its calls.
	minTimeFactor, maxTimeFactor = 0.7, 1.2
	// baseEjection is how long an endpoint gets no calls after a failed call. It doubles
	// with each further failure, up to maxEjection.
	baseEjection = 400 * time.Millisecond
	maxEjection  = 4 * time.Second
	// roundTripWindow is roughly the number of calls over which the round trip is averaged.
	roundTripWindow = 4
	// untrackedLifetime is how long the capacity taken by untracked results is counted.
	// Results of a lost coordinator expire within seconds, those of a live one are freed
	// within about two calls.
	untrackedLifetime = 2 * time.Second
)

// storedResult is a result that an endpoint stores.
type storedResult struct {
	bytes   int
	expires time.Time
}

// endpointState is what the coordinator knows of an endpoint. endpointGroup.mu guards it.
//
// Results that the endpoint stores for this coordinator are called tracked, those of
// other coordinators, such as a lost one, untracked.
type endpointState struct {
	entry endpoints.Entry
	// blockingCalls counts the calls that keep the next one from being sent,
	// outstandingCalls all calls that have not ended.
	blockingCalls, outstandingCalls int
	// lastSlowness is the slowness as of lastSlownessAt, without the decay since then.
	lastSlowness   float64
	lastSlownessAt time.Time
	// failures counts the failed calls since the last successful one.
	failures     int
	ejectedUntil time.Time
	// results holds the tracked results by handle.
	results map[string]storedResult
	// reservedBytes is the expected size of the results of outstanding calls.
	reservedBytes int
	// lastCallEnd is when the last call ended. A call that was sent ahead starts then.
	lastCallEnd time.Time
	// untracked is the number of bytes that untracked results took at untrackedAt.
	untracked   int
	untrackedAt time.Time
	// handlesToFree collects handles for the next call of FreeResults.
	handlesToFree []string
	freeScheduled bool
	// freeQueuedAt is when the first of handlesToFree was added.
	freeQueuedAt time.Time
	// permitUntil is the time until which a permit for the next call can be used, if the
	// endpoint names a limit. requestingPermit is set while one is asked for.
	permitUntil      time.Time
	requestingPermit bool
	// roundTrip is the average round trip time, measured by calls of FreeResults. It is 0
	// until the first of them.
	roundTrip time.Duration
}

func newEndpointState(e endpoints.Entry) *endpointState {
	return &endpointState{entry: e, lastSlowness: 1, results: map[string]storedResult{}}
}

// slowness returns the factor by which calls take longer than expected: 1 is normal. The
// slowness of a slow endpoint decays.
func (e *endpointState) slowness(now time.Time) float64 {
	if e.lastSlowness <= slowThreshold {
		return e.lastSlowness
	}
	halves := float64(now.Sub(e.lastSlownessAt)) / float64(slownessHalfLife)
	excess := e.lastSlowness - 1
	for ; halves >= 1; halves-- {
		excess /= 2
	}
	return 1 + excess
}

// timeFactor returns the factor by which the configured call time is multiplied to get
// the expected time of a call to this endpoint. It is the slowness, limited to the range
// of ordinary endpoints.
func (e *endpointState) timeFactor(now time.Time) float64 {
	return min(max(e.slowness(now), minTimeFactor), maxTimeFactor)
}

// recordSuccess records a call that was answered and reports whether the endpoint had
// failed before. A call in which the endpoint processed no piece does not count for the
// slowness.
func (e *endpointState) recordSuccess(now time.Time, took, expected time.Duration, worked bool) (recovered bool) {
	recovered = e.failures > 0
	e.failures, e.ejectedUntil = 0, time.Time{}
	if !worked {
		return recovered
	}
	ratio := float64(took) / float64(max(expected, time.Millisecond))
	e.lastSlowness = min((1-slownessWeight)*e.slowness(now)+slownessWeight*ratio, maxSlowness)
	e.lastSlownessAt = now
	return recovered
}

// recordNoResultCapacity records that the endpoint had no capacity for a result although
// tracked results leave that many bytes free: untracked results must take them.
func (e *endpointState) recordNoResultCapacity(now time.Time, bytes int) {
	e.untracked, e.untrackedAt = max(bytes, 1), now
}

// untrackedBytes estimates the capacity that untracked results still take. They are freed
// or expire at unknown times within untrackedLifetime, so the estimate decreases linearly.
func (e *endpointState) untrackedBytes(now time.Time) int {
	remaining := untrackedLifetime - now.Sub(e.untrackedAt)
	if e.untracked == 0 || remaining <= 0 {
		return 0
	}
	return int(float64(e.untracked) * float64(remaining) / float64(untrackedLifetime))
}

// recordFailure records a failed call and ejects the endpoint for a while. It reports
// whether this is the first failure since the last successful call.
func (e *endpointState) recordFailure(now time.Time) (ejected bool) {
	e.failures++
	d := min(baseEjection<<min(e.failures-1, 4), maxEjection)
	e.ejectedUntil = now.Add(d)
	return e.failures == 1
}

func (e *endpointState) ejected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// freeBytes returns how many bytes of total are free for further results.
func (e *endpointState) freeBytes(now time.Time, total int) int {
	return total - e.trackedBytes(now) - e.untrackedBytes(now)
}

// trackedBytes returns the capacity that tracked results take, including those of
// outstanding calls. It drops expired results.
func (e *endpointState) trackedBytes(now time.Time) int {
	used := e.reservedBytes
	for h, result := range e.results {
		if now.After(result.expires) {
			delete(e.results, h)
			continue
		}
		used += result.bytes
	}
	return used
}

// observeRoundTrip adds a measurement to the average round trip time.
func (e *endpointState) observeRoundTrip(d time.Duration) {
	if e.roundTrip == 0 {
		e.roundTrip = d
		return
	}
	e.roundTrip += (d - e.roundTrip) / roundTripWindow
}

// fetchTime returns how long after a call was sent the endpoint has fetched its inputs,
// if the endpoint was idle.
func (e *endpointState) fetchTime() time.Duration {
	if e.roundTrip == 0 {
		return defaultFetchTime
	}
	return fetchBase + fetchRoundTrips*e.roundTrip
}
