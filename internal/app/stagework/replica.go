package stagework

import (
	"time"

	"eelgrassgrade/internal/app/endpoints"
)

const (
	// slowFrom is the factor over the expected time from which an endpoint counts
	// as slow; calls of an ordinary endpoint vary by less.
	slowFrom = 1.6
	// slowWeight is the weight of the newest call in the slowness.
	slowWeight = 0.6
	// slowDecay halves the excess of the slowness, so that an endpoint that got
	// few calls while it was slow is tried again.
	slowDecay = 2 * time.Second
	maxSlow   = 8
	// minUsual and maxUsual bound the factor that is expected of an endpoint.
	minUsual, maxUsual = 0.7, 1.2
	// baseEjection and maxEjection bound how long a failing endpoint gets no calls.
	baseEjection = 400 * time.Millisecond
	maxEjection  = 4 * time.Second
	// tripWindow is about the number of calls over which the round trip is averaged.
	tripWindow = 4
	// foreignTime is how long results that this coordinator does not know of are
	// counted: a lost coordinator's stay for a part of their life of seconds, those
	// of one that lives are freed within about two calls.
	foreignTime = 2 * time.Second
)

type held struct {
	bytes int
	until time.Time
}

// replica is an endpoint as its coordinator sees it.
type replica struct {
	entry endpoints.Entry
	// calls counts the calls that keep others from being sent, outstanding all
	// that have not ended.
	calls, outstanding int
	slow               float64
	slowAt             time.Time
	failures           int
	outUntil           time.Time
	results            map[string]held
	// reserved is the room of results whose calls are in progress.
	reserved int
	// lastEnd is the end of the last call; a call that was sent ahead begins then.
	lastEnd time.Time
	// foreign is the room in bytes that was taken at foreignAt by results which this
	// coordinator does not know of, such as those of a coordinator that was lost.
	foreign   int
	foreignAt time.Time
	// freed collects handles to release with the next call of FreeResults.
	freed   []string
	freeing bool
	// trip is the time of a round trip, as calls that free results show it.
	trip time.Duration
}

func newReplica(e endpoints.Entry) *replica {
	return &replica{entry: e, slow: 1, results: map[string]held{}}
}

// slowness returns the factor by which the endpoint is slower than expected.
func (r *replica) slowness(now time.Time) float64 {
	if r.slow <= slowFrom {
		return r.slow
	}
	halves := float64(now.Sub(r.slowAt)) / float64(slowDecay)
	excess := r.slow - 1
	for ; halves >= 1; halves-- {
		excess /= 2
	}
	return 1 + excess
}

// usual returns the factor by which the endpoint's calls differ from the stated
// times, as far as that is within what ordinary endpoints show.
func (r *replica) usual(now time.Time) float64 {
	return min(max(r.slowness(now), minUsual), maxUsual)
}

// succeed notes a call that was answered. One in which the endpoint worked on no
// piece says nothing of its speed.
func (r *replica) succeed(now time.Time, took, expected time.Duration, worked bool) (back bool) {
	back = r.failures > 0
	r.failures, r.outUntil = 0, time.Time{}
	if !worked {
		return back
	}
	ratio := float64(took) / float64(max(expected, time.Millisecond))
	r.slow = min((1-slowWeight)*r.slowness(now)+slowWeight*ratio, maxSlow)
	r.slowAt = now
	return back
}

// full notes that the endpoint had no room for a result although bytes more were not
// known to be taken: others' results take them.
func (r *replica) full(now time.Time, bytes int) { r.foreign, r.foreignAt = max(bytes, 1), now }

// foreignLeft returns the room that others' results still take: they are freed, or end
// with their life, at any time within foreignTime.
func (r *replica) foreignLeft(now time.Time) int {
	left := foreignTime - now.Sub(r.foreignAt)
	if r.foreign == 0 || left <= 0 {
		return 0
	}
	return int(float64(r.foreign) * float64(left) / float64(foreignTime))
}

func (r *replica) fail(now time.Time) (out bool) {
	r.failures++
	d := min(baseEjection<<min(r.failures-1, 4), maxEjection)
	r.outUntil = now.Add(d)
	return r.failures == 1
}

func (r *replica) out(now time.Time) bool { return now.Before(r.outUntil) }

// room returns the bytes of results that still fit.
func (r *replica) room(now time.Time, total int) int {
	return total - r.known(now) - r.foreignLeft(now)
}

// known returns the room that this coordinator's results take.
func (r *replica) known(now time.Time) int {
	used := r.reserved
	for h, x := range r.results {
		if now.After(x.until) {
			delete(r.results, h)
			continue
		}
		used += x.bytes
	}
	return used
}

// observeTrip takes in the time of a call that freed results.
func (r *replica) observeTrip(d time.Duration) {
	if r.trip == 0 {
		r.trip = d
		return
	}
	r.trip += (d - r.trip) / tripWindow
}

// fetchTime returns how long after its sending a call has fetched its inputs if the
// endpoint was idle.
func (r *replica) fetchTime() time.Duration {
	if r.trip == 0 {
		return fetchUnmeasured
	}
	return fetchBase + fetchTrips*r.trip
}
