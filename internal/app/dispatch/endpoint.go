package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/health"
	"eelgrassgrade/internal/decide/routing"
)

// endpoint is the state of one endpoint in the daemon's subset.
type endpoint struct {
	core.Endpoint
	hash  uint64
	local bool

	inFlight atomic.Int32
	// suspect says that a suspect runs here; probing that a probe does.
	suspect, probing atomic.Bool
	status           atomic.Pointer[health.Status]
	typical          [2]atomic.Int64 // nanoseconds, by health.Form
	reported         atomic.Pointer[reportedLoad]
	cache            prefixCache

	health health.Endpoint // guarded by pool.mu

	mu       sync.Mutex // guards the following
	flights  map[*flight]struct{}
	incident *incident
}

// reportedLoad is the last load report.
type reportedLoad struct {
	// others is the load that was not this daemon's own, in calls.
	others  int32
	waiting int
	slots   int
	at      time.Time
}

// flight is one attempt that was handed to the transport.
type flight struct {
	fingerprint [32]byte
	suspect     bool
	form        health.CallKind
	started     time.Time
	// answering is set by the first event of a stream.
	answering atomic.Bool
	// cut is guarded by endpoint.mu.
	cut bool
}

func newEndpoint(e core.Endpoint, local bool) *endpoint {
	n := &endpoint{Endpoint: e, hash: routing.HashOf(e.ID), local: local, flights: map[*flight]struct{}{}}
	n.status.Store(&health.Status{})
	return n
}

func (e *endpoint) slotsOr(configured int) int {
	if r := e.reported.Load(); r != nil && r.slots > 0 {
		return r.slots
	}
	return max(configured, 1)
}

func (e *endpoint) candidate(now time.Time, st *health.Status, slots int, f health.CallKind) routing.Candidate {
	c := routing.Candidate{Hash: e.hash, InFlight: e.inFlight.Load(), Slots: int32(e.slotsOr(slots)),
		Latency: time.Duration(e.typical[f].Load()), SlowStartFactor: st.Ramp(now), Local: e.local, Failing: st.Failing}
	if r := e.reported.Load(); r != nil {
		c.OthersInFlight, c.ReportAge = r.others, now.Sub(r.at)
	}
	return c
}

func (e *endpoint) begin(f *flight) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f.started = time.Now()
	e.flights[f] = struct{}{}
}

func (e *endpoint) end(f *flight) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.flights, f)
}

// oldest returns when the oldest call that has not begun to answer was sent.
func (e *endpoint) oldest(f health.CallKind) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var t time.Time
	for x := range e.flights {
		if x.form == f && !x.answering.Load() && (t.IsZero() || x.started.Before(t)) {
			t = x.started
		}
	}
	return t, !t.IsZero()
}

// maxPrefixes bounds the estimate of one endpoint's prefix cache: 128 KB.
const maxPrefixes = 8192

// prefixCache estimates which prefixes an endpoint holds, from its cache events.
type prefixCache struct {
	mu   sync.Mutex
	last uint64
	held map[uint64]struct{}
	// unsure is set by a gap in the events until the next events without one.
	unsure bool
}

func (c *prefixCache) has(prefix uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.held[prefix]
	return ok && !c.unsure
}

func (c *prefixCache) after() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// apply takes in events and reports whether there was a gap before them. What
// was known before a gap is dropped: an eviction may be among the lost events.
func (c *prefixCache) apply(events []CacheEvent) (gap bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held == nil {
		c.held = map[uint64]struct{}{}
	}
	for _, ev := range events {
		if ev.Seq <= c.last {
			continue
		}
		if c.last != 0 && ev.Seq != c.last+1 {
			gap = true
			clear(c.held)
		}
		c.last = ev.Seq
		switch {
		case ev.Evict:
			delete(c.held, ev.Prefix)
		case len(c.held) < maxPrefixes:
			c.held[ev.Prefix] = struct{}{}
		}
	}
	if len(events) > 0 {
		c.unsure = gap
	}
	return gap
}
