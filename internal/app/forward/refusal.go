package forward

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"eelgrassgrade/internal/core"
)

const (
	// minRetryAfter and maxRetryAfter bound the time after which refused callers may
	// return, before jitter is applied.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// overloadQuietPeriod is the time without a refusal that ends a route's overload.
	overloadQuietPeriod = time.Second
)

// finalError converts an error into the one that is reported to the caller. A request
// that certainly did not run is reported as such, with a RetryAfter, and even a passed
// deadline is then reported as Unavailable. All other errors become Upstream or
// DeadlineExceeded.
func (f *Forwarder) finalError(ctx context.Context, rs *requestState, err error) *core.Error {
	e := *core.AsError(err, "forward")
	if rs.mayHaveRun && e.Ran == core.RanNot {
		e.Ran = core.RanUnknown
	}
	if e.Ran == core.RanNot && context.Cause(ctx) == ErrStopping {
		e = *stopRefusal("the daemon ends: " + e.Detail)
	}
	if e.Ran == core.RanNot {
		if e.Kind == core.DeadlineExceeded || e.Kind == core.Conflict || e.Kind == core.Upstream {
			e.Kind = core.Unavailable
		}
		if e.Kind == core.Unavailable && (e.Step == "admission" || e.Step == "stage") {
			// The longer a route has been overloaded, the longer the overload is expected
			// to last. A caller that returns as soon as the present queue is worked off
			// would find the next one.
			e.RetryAfter = max(e.RetryAfter, f.overloads.recordRefusal(rs.route.Name, f.now()))
		}
		if e.Step == coldStep {
			e.RetryAfter = f.coldReturnAfter(rs, e.RetryAfter)
		}
		earliest := e.RetryAfter
		e.RetryAfter = jitteredRetryAfter(e.RetryAfter)
		if e.Step == endpointStep || e.Step == coldStep {
			// The endpoints, or their permits, have set the time. A caller that returns before it
			// is refused again for certain.
			e.RetryAfter = max(e.RetryAfter, min(earliest, maxRetryAfter))
		}
		return &e
	}
	if e.Kind != core.DeadlineExceeded {
		e.Kind = core.Upstream
		if ctx.Err() == context.DeadlineExceeded {
			e.Kind = core.DeadlineExceeded
		}
	}
	return &e
}

// overloadTracker tracks since when each route has been refusing requests.
type overloadTracker struct {
	mu     sync.Mutex
	routes map[string]*overload
}

// overload is a period in which a route refuses requests.
type overload struct{ since, lastRefusal time.Time }

func newOverloadTracker() *overloadTracker { return &overloadTracker{routes: map[string]*overload{}} }

// recordRefusal records a refusal and returns how long the route's overload has lasted.
func (o *overloadTracker) recordRefusal(route string, now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	current := o.routes[route]
	if current == nil {
		if len(o.routes) >= maxTrackedRoutes {
			return 0
		}
		current = &overload{since: now}
		o.routes[route] = current
	} else if now.Sub(current.lastRefusal) > overloadQuietPeriod {
		current.since = now
	}
	current.lastRefusal = now
	return now.Sub(current.since)
}

// jitteredRetryAfter limits d to the allowed range and multiplies it by a random factor
// from 0.75 to 1.5, so that refused callers do not return all at once.
func jitteredRetryAfter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return time.Duration(float64(d) * (0.75 + 0.75*rand.Float64()))
}
