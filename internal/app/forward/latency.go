package forward

import (
	"sync"
	"time"
)

const (
	// estimateWeight is the weight of the latest request in the moving averages of a
	// route's times.
	estimateWeight = 0.05
	// maxTrackedRoutes bounds the routes for which latencies or overloads are tracked.
	maxTrackedRoutes = 4096
	// durationDeviations is the number of mean deviations above the mean within
	// which nearly all answers end.
	durationDeviations = 2
	// firstEventProbeInterval is the time without a measurement after which a route whose
	// requests got no further than their stages sends one to find out whether its estimate
	// is still true, and the least time between two such requests. Callers must be served
	// again within 12 s of a fault, and a probe that is slow itself takes some seconds.
	firstEventProbeInterval = 2 * time.Second
)

// routeLatencies estimates, by route, the time from sending a request to the first
// event of its answer (firstEvent) and the time from the first to the last event
// (streamDuration), or to the end of an answer that is no stream (wholeAnswer).
type routeLatencies struct {
	mu                                      sync.Mutex
	firstEvent, streamDuration, wholeAnswer map[string]*latencyEstimate
}

// latencyEstimate is a moving average of times and of their absolute deviation from it,
// in nanoseconds.
type latencyEstimate struct {
	mean, deviation float64
	// checkedAt is the time of the latest measurement or probe.
	checkedAt time.Time
	// stopsRequests is true if a request was refused on arrival or failed in its stages
	// since the latest measurement.
	stopsRequests bool
}

func newRouteLatencies() *routeLatencies {
	return &routeLatencies{firstEvent: map[string]*latencyEstimate{}, streamDuration: map[string]*latencyEstimate{}, wholeAnswer: map[string]*latencyEstimate{}}
}

// observeFirstEvent records the time to the first event of one request. That of a probe
// replaces the estimate: the averages would need dozens of probes to follow a large change.
func (l *routeLatencies) observeFirstEvent(now time.Time, route string, d time.Duration, probe bool) {
	l.update(l.firstEvent, route, d)
	l.mu.Lock()
	defer l.mu.Unlock()
	estimate := l.firstEvent[route]
	if estimate == nil {
		return
	}
	if probe {
		*estimate = newLatencyEstimate(d)
	}
	estimate.checkedAt, estimate.stopsRequests = now, false
}

// recordStopped records that a request of a route was refused on arrival or failed in its
// stages, so that it gave no time to its first event.
func (l *routeLatencies) recordStopped(route string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if estimate := l.firstEvent[route]; estimate != nil {
		estimate.stopsRequests = true
	}
}

// takeFirstEventProbe reports whether a request is to be planned without the estimate of
// its route, to correct it, and the age of the estimate. A route whose estimate leaves too
// little time for the stages would otherwise never get another measurement.
func (l *routeLatencies) takeFirstEventProbe(now time.Time, route string) (probe bool, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	estimate := l.firstEvent[route]
	if estimate == nil || !estimate.stopsRequests {
		return false, 0
	}
	age = now.Sub(estimate.checkedAt)
	if age < firstEventProbeInterval || estimate.mean+estimate.deviation <= float64(defaultFirstEventTime) {
		return false, 0
	}
	estimate.checkedAt = now
	return true, age
}

// observeStreamDuration records the time from the first to the last event of a stream
// that was completed.
func (l *routeLatencies) observeStreamDuration(route string, d time.Duration) {
	l.update(l.streamDuration, route, d)
}

// observeWholeAnswer records the time to the end of an answer that is no stream.
func (l *routeLatencies) observeWholeAnswer(route string, d time.Duration) {
	l.update(l.wholeAnswer, route, d)
}

func (l *routeLatencies) update(estimates map[string]*latencyEstimate, route string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	estimate := estimates[route]
	if estimate == nil {
		if len(estimates) < maxTrackedRoutes {
			first := newLatencyEstimate(d)
			estimates[route] = &first
		}
		return
	}
	diff := float64(d) - estimate.mean
	estimate.mean += estimateWeight * diff
	estimate.deviation += estimateWeight * (max(diff, -diff) - estimate.deviation)
}

// newLatencyEstimate returns the estimate after a single measurement.
func newLatencyEstimate(d time.Duration) latencyEstimate {
	return latencyEstimate{mean: float64(d), deviation: float64(d) / 4}
}

// expectedFirstEvent returns a time within which most requests of a route get their
// first event.
func (l *routeLatencies) expectedFirstEvent(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if estimate := l.firstEvent[route]; estimate != nil {
		return time.Duration(estimate.mean + estimate.deviation)
	}
	return defaultFirstEventTime
}

// expectedStreamDuration returns a time after the first event within which nearly all
// streams of a route end, or 0 if no stream of the route has been completed yet.
func (l *routeLatencies) expectedStreamDuration(route string) time.Duration {
	return l.upperEstimate(l.streamDuration, route)
}

// expectedWholeAnswer returns a time within which nearly all answers of a route that are
// no streams end, or 0 if there has been none yet.
func (l *routeLatencies) expectedWholeAnswer(route string) time.Duration {
	return l.upperEstimate(l.wholeAnswer, route)
}

func (l *routeLatencies) upperEstimate(estimates map[string]*latencyEstimate, route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if estimate := estimates[route]; estimate != nil {
		return time.Duration(estimate.mean + durationDeviations*estimate.deviation)
	}
	return 0
}

// timeMoments holds the moving averages of times, in seconds, and of their squares.
type timeMoments struct{ mean, square float64 }

func (m *timeMoments) observe(d time.Duration) {
	s := d.Seconds()
	if m.mean == 0 {
		m.mean, m.square = s, s*s
		return
	}
	m.mean += estimateWeight * (s - m.mean)
	m.square += estimateWeight * (s*s - m.square)
}

// meanRemaining returns the mean remaining time of what is under way at some moment, which
// is more likely to be one of the longer ones: half the mean square by the mean.
func (m *timeMoments) meanRemaining() time.Duration {
	if m.mean <= 0 {
		return defaultFirstEventTime
	}
	return time.Duration(m.square / (2 * m.mean) * float64(time.Second))
}
