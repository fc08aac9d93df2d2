// Package limits keeps the limits that endpoints name in their answers: the requests per
// second that an endpoint takes from all daemons together.
package limits

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/ratelimit"
)

// maxEndpoints bounds the endpoints whose limits are kept. A limit beyond it is not
// recorded.
const maxEndpoints = 4096

// Change describes a limit that began, changed or ended.
type Change struct {
	Endpoint endpoints.Entry
	// PerSecond is the new limit and Previous the one before, in requests per second;
	// ratelimit.Unlimited if there is none.
	PerSecond, Previous float64
	// PreviousAge is the time since the last answer that named the previous limit, 0 if
	// there was none.
	PreviousAge time.Duration
	// Source is the daemon whose endpoint's answer named the limit; empty for this one.
	Source core.InstanceID
}

// Events receives what becomes known of limits, for logs and metrics.
type Events interface {
	LimitChanged(c Change)
	// LimitUnreadable reports that an endpoint named a limit that is not a number of
	// requests per second.
	LimitUnreadable(e core.InstanceID, value string)
}

// known is the limit of one incarnation of an endpoint.
type known struct {
	ratelimit.Observation
	entry endpoints.Entry
}

// Registry keeps the limit of each endpoint that has named one. It is safe for concurrent
// use.
type Registry struct {
	view   func() *endpoints.View
	events Events
	now    func() time.Time

	// byEndpoint is replaced as a whole, since the path of each request reads it.
	byEndpoint atomic.Pointer[map[core.InstanceID]known]
	mu         sync.Mutex
}

// NewRegistry returns an empty registry. Limits of endpoints that the view does not
// contain are ignored.
func NewRegistry(view func() *endpoints.View, events Events, now func() time.Time) *Registry {
	r := &Registry{view: view, events: events, now: now}
	r.byEndpoint.Store(&map[core.InstanceID]known{})
	return r
}

// Observe records what an answer to a request of this daemon said about the limit of its
// endpoint.
func (r *Registry) Observe(e core.Endpoint, o ratelimit.Observation) {
	if _, ok := (*r.byEndpoint.Load())[e.ID]; !ok && !o.Limited() {
		return
	}
	if entry, ok := r.view().ByID[e.ID]; ok && entry.Address == e.Address {
		r.merge(entry, o, 0, "")
	}
}

// ObserveUnreadable records that an answer named a limit that cannot be read. The limit
// that the endpoint named before stays in force.
func (r *Registry) ObserveUnreadable(e core.Endpoint, value string) {
	r.events.LimitUnreadable(e.ID, value)
}

// Limit returns the limit of an endpoint in requests per second and the time since its
// last answer that named it, or ok false if the endpoint names none.
func (r *Registry) Limit(e endpoints.Entry) (perSecond float64, age time.Duration, ok bool) {
	k, ok := (*r.byEndpoint.Load())[e.ID]
	if !ok || !k.Limited() || k.entry.StartedMs != e.StartedMs {
		return 0, 0, false
	}
	return k.PerSecond, r.now().Sub(k.ReceivedAt), true
}

// merge adds an observation of an incarnation to what is known.
func (r *Registry) merge(entry endpoints.Entry, o ratelimit.Observation, clockError time.Duration, source core.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := *r.byEndpoint.Load()
	before, ok := current[entry.ID]
	if !ok || before.entry.StartedMs != entry.StartedMs {
		before = known{ratelimit.Observation{PerSecond: ratelimit.Unlimited}, entry}
	}
	after := known{ratelimit.Merge(before.Observation, o, clockError), entry}
	if after == before || !ok && len(current) >= maxEndpoints {
		return
	}
	next := maps.Clone(current)
	next[entry.ID] = after
	listed := r.view().ByID
	maps.DeleteFunc(next, func(id core.InstanceID, _ known) bool { _, ok := listed[id]; return !ok })
	r.byEndpoint.Store(&next)
	if after.PerSecond != before.PerSecond {
		c := Change{Endpoint: entry, PerSecond: after.PerSecond, Previous: before.PerSecond, Source: source}
		if before.Limited() {
			c.PreviousAge = r.now().Sub(before.ReceivedAt)
		}
		r.events.LimitChanged(c)
	}
}
