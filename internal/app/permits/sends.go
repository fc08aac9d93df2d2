package permits

import (
	"sync"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/ratelimit"
)

// sendCounts counts the requests that this daemon has sent to each endpoint within
// ratelimit.ChargedTime, in steps of a second.
type sendCounts struct {
	mu         sync.Mutex
	byEndpoint map[core.InstanceID]*secondCounts
}

// secondCounts holds the requests of the last seconds, by second modulo its length.
type secondCounts struct {
	requests [int(ratelimit.ChargedTime/time.Second) + 1]int
	// last is the last second in which a request was counted. Seconds count from the start
	// of the daemon, since the time of day may jump.
	last int64
}

// forward drops the counts of seconds that are no longer within the window at a second.
func (c *secondCounts) forward(second int64) {
	n := int64(len(c.requests))
	for s := max(c.last+1, second-n+1); s <= second; s++ {
		c.requests[s%n] = 0
	}
	c.last = max(c.last, second)
}

// record counts a request that is sent to an endpoint so long after the daemon's start.
func (s *sendCounts) record(e core.InstanceID, uptime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	second := int64(uptime / time.Second)
	c := s.byEndpoint[e]
	if c == nil {
		s.prune(second)
		c = &secondCounts{last: second}
		s.byEndpoint[e] = c
	}
	c.forward(second)
	c.requests[c.last%int64(len(c.requests))]++
}

// prune drops endpoints that got no request within the window. It bounds the map by the
// endpoints in use. The caller holds mu.
func (s *sendCounts) prune(second int64) {
	if s.byEndpoint == nil {
		s.byEndpoint = map[core.InstanceID]*secondCounts{}
	}
	for id, c := range s.byEndpoint {
		if second-c.last > int64(len(c.requests)) {
			delete(s.byEndpoint, id)
		}
	}
}

// recent returns the requests sent to an endpoint within the window that ends now.
func (s *sendCounts) recent(e core.InstanceID, uptime time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.byEndpoint[e]
	if c == nil {
		return 0
	}
	c.forward(int64(uptime / time.Second))
	total := 0
	for _, n := range c.requests {
		total += n
	}
	return total
}
