package forward

import (
	"sync"
	"time"
)

const (
	// paceWeight is the weight of the newest request in the mean and the
	// deviation of the time to the first event.
	paceWeight = 0.05
	// maxPaces bounds the routes that are measured.
	maxPaces = 4096
)

// paces measures, by route, the time from the sending of a request to the first
// event of its answer.
type paces struct {
	mu     sync.Mutex
	routes map[string]*pace
}

type pace struct{ mean, deviation float64 }

func newPaces() *paces { return &paces{routes: map[string]*pace{}} }

// observe takes in one request.
func (p *paces) observe(route string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.routes[route]
	if x == nil {
		if len(p.routes) < maxPaces {
			p.routes[route] = &pace{mean: float64(d), deviation: float64(d) / 4}
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
	if x := p.routes[route]; x != nil {
		return time.Duration(x.mean + x.deviation)
	}
	return firstEventTime
}
