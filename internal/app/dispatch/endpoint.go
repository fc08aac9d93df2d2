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

	// inFlight counts the reservations of this endpoint.
	inFlight atomic.Int32
	// suspect means that a suspect runs here, probing that a probe does.
	suspect, probing atomic.Bool
	// status is a copy of the status in health, which is read without pool.mu.
	status      atomic.Pointer[health.Status]
	medianNanos [2]atomic.Int64 // median call time by health.CallKind
	reported    atomic.Pointer[reportedLoad]
	cache       prefixCache

	health health.Endpoint // guarded by pool.mu

	mu            sync.Mutex // guards the following
	inFlightCalls map[*inFlightCall]struct{}
	investigation *crashInvestigation
}

// reportedLoad is the last load report.
type reportedLoad struct {
	// others is the number of calls from other daemons.
	others     int32
	waiting    int
	slots      int
	receivedAt time.Time
}

// inFlightCall is one attempt that was handed to the transport and has not ended.
type inFlightCall struct {
	fingerprint [32]byte
	suspect     bool
	kind        health.CallKind
	started     time.Time
	// answering is set by the first event of a stream.
	answering atomic.Bool
	// cut means that the connection was cut. It is guarded by endpoint.mu.
	cut bool
}

func newEndpoint(e core.Endpoint, local bool) *endpoint {
	n := &endpoint{Endpoint: e, hash: routing.HashOf(e.ID), local: local, inFlightCalls: map[*inFlightCall]struct{}{}}
	n.status.Store(&health.Status{})
	return n
}

// slotsOr returns the reported number of slots, or the configured one if the
// endpoint reports none.
func (e *endpoint) slotsOr(configured int) int {
	if r := e.reported.Load(); r != nil && r.slots > 0 {
		return r.slots
	}
	return max(configured, 1)
}

func (e *endpoint) candidate(now time.Time, st *health.Status, slots int, kind health.CallKind) routing.Candidate {
	c := routing.Candidate{Hash: e.hash, InFlight: e.inFlight.Load(), Slots: int32(e.slotsOr(slots)),
		Latency: time.Duration(e.medianNanos[kind].Load()), SlowStartFactor: st.Ramp(now), Local: e.local, Failing: st.Failing}
	if r := e.reported.Load(); r != nil {
		c.OthersInFlight, c.ReportAge = r.others, now.Sub(r.receivedAt)
	}
	return c
}

func (e *endpoint) addInFlight(call *inFlightCall) {
	e.mu.Lock()
	defer e.mu.Unlock()
	call.started = time.Now()
	e.inFlightCalls[call] = struct{}{}
}

func (e *endpoint) removeInFlight(call *inFlightCall) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.inFlightCalls, call)
}

// oldestUnanswered returns when the oldest call was sent that the endpoint has
// not begun to answer.
func (e *endpoint) oldestUnanswered(kind health.CallKind) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var t time.Time
	for call := range e.inFlightCalls {
		if call.kind == kind && !call.answering.Load() && (t.IsZero() || call.started.Before(t)) {
			t = call.started
		}
	}
	return t, !t.IsZero()
}

// maxPrefixes bounds the prefixes that are kept per endpoint, to 128 KB.
const maxPrefixes = 8192

// prefixCache estimates from its cache events which prefixes an endpoint holds.
type prefixCache struct {
	mu       sync.Mutex
	lastSeq  uint64
	prefixes map[uint64]struct{}
	// unreliable is set by a gap in the events and cleared by the next batch
	// without a gap.
	unreliable bool
}

func (c *prefixCache) has(prefix uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.prefixes[prefix]
	return ok && !c.unreliable
}

func (c *prefixCache) lastAppliedSeq() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastSeq
}

// apply applies events and reports whether some were lost before or between
// them. It then discards the prefixes known so far, since the lost events may
// include evictions.
func (c *prefixCache) apply(events []CacheEvent) (gap bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.prefixes == nil {
		c.prefixes = map[uint64]struct{}{}
	}
	for _, ev := range events {
		if ev.Seq <= c.lastSeq {
			continue
		}
		if c.lastSeq != 0 && ev.Seq != c.lastSeq+1 {
			gap = true
			clear(c.prefixes)
		}
		c.lastSeq = ev.Seq
		switch {
		case ev.Evict:
			delete(c.prefixes, ev.Prefix)
		case len(c.prefixes) < maxPrefixes:
			c.prefixes[ev.Prefix] = struct{}{}
		}
	}
	if len(events) > 0 {
		c.unreliable = gap
	}
	return gap
}
