package forward

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"eelgrassgrade/internal/core"
)

const (
	// minRetryAfter and maxRetryAfter bound what refused callers are told; the
	// actual time is drawn at random so that they do not return together.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// overloadPause without a refusal ends an overload of a route.
	overloadPause = time.Second
)

// final turns an error into what the caller is told. A caller that left gets
// nothing; a request whose time is over and that did not run is refused truly.
func (f *Forwarder) final(ctx context.Context, x *exchange, err error) *core.Error {
	e := *core.AsError(err, "forward")
	if x.ran && e.Ran == core.RanNot {
		e.Ran = core.RanUnknown
	}
	if e.Ran == core.RanNot {
		if e.Kind == core.DeadlineExceeded || e.Kind == core.Conflict || e.Kind == core.Upstream {
			e.Kind = core.Unavailable
		}
		if e.Kind == core.Unavailable && (e.Step == "admission" || e.Step == "stage") {
			// The longer routes have been overloaded, the longer they will be: who comes
			// back when today's queue is done would meet the next one.
			e.RetryAfter = max(e.RetryAfter, f.overloads.refused(x.route.Name, f.now()))
		}
		e.RetryAfter = retryAfter(e.RetryAfter)
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

// overloads notes since when routes have been refusing requests.
type overloads struct {
	mu     sync.Mutex
	routes map[string]*overload
}

type overload struct{ since, last time.Time }

func newOverloads() *overloads { return &overloads{routes: map[string]*overload{}} }

// refused notes a refusal and returns how long the overload of the route has lasted.
func (o *overloads) refused(route string, now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	x := o.routes[route]
	if x == nil {
		if len(o.routes) >= maxRoutes {
			return 0
		}
		x = &overload{since: now}
		o.routes[route] = x
	} else if now.Sub(x.last) > overloadPause {
		x.since = now
	}
	x.last = now
	return now.Sub(x.since)
}

// retryAfter spreads the times at which refused callers return over about twice
// d, within bounds.
func retryAfter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return time.Duration(float64(d) * (0.75 + 0.75*rand.Float64()))
}
