package forward

import (
	"sync"
	"time"
)

const (
	// paceWeight is the weight of the newest request in the mean and the
	// deviation of a route's times.
	paceWeight = 0.05
	// maxRoutes bounds the routes of which times or overloads are kept.
	maxRoutes = 4096
	// restDeviations is the number of mean deviations above the mean within which
	// the rest of a stream nearly always comes.
	restDeviations = 2
)

// paces measures, by route, the time from the sending of a request to the first
// event of its answer, and from there to the last one.
type paces struct {
	mu          sync.Mutex
	first, rest map[string]*pace
}

type pace struct{ mean, deviation float64 }

func newPaces() *paces { return &paces{first: map[string]*pace{}, rest: map[string]*pace{}} }

// observe takes in the time to the first event of one request.
func (p *paces) observe(route string, d time.Duration) { p.take(p.first, route, d) }

// observeRest takes in the time from the first to the last event of one request
// that was answered whole.
func (p *paces) observeRest(route string, d time.Duration) { p.take(p.rest, route, d) }

func (p *paces) take(routes map[string]*pace, route string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := routes[route]
	if x == nil {
		if len(routes) < maxRoutes {
			routes[route] = &pace{mean: float64(d), deviation: float64(d) / 4}
		}
		return
	}
	diff := float64(d) - x.mean
	x.mean += paceWeight * diff
	x.deviation += paceWeight * (max(diff, -diff) - x.deviation)
}

// expect returns a time within which most first events come.
func (p *paces) expect(route string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.first[route]; x != nil {
		return time.Duration(x.mean + x.deviation)
	}
	return firstEventTime
}

// expectRest returns a time within which the rest of a stream nearly always comes
// after its first event, 0 before any was measured.
func (p *paces) expectRest(route string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.rest[route]; x != nil {
		return time.Duration(x.mean + restDeviations*x.deviation)
	}
	return 0
}
