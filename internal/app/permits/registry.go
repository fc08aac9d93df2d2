// Package permits keeps the limits that endpoints name in their answers: the requests per
// second that an endpoint takes from all daemons together. A limit that one daemon hears
// of is told to all others, and one daemon grants the permits for each such endpoint.
package permits

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/ratelimit"
)

const (
	// maxEndpoints bounds the endpoints whose limits are kept. A limit beyond it is not
	// recorded.
	maxEndpoints = 4096
	// reportPeriod is how long a change of a limit is part of each status. By then it has
	// reached fleets of hundreds, where a daemon meets each other one every few seconds.
	reportPeriod = 10 * time.Second
	// maxRecentReported and maxReported bound the limits in a status, at about 45 bytes
	// each.
	maxRecentReported = 16
	maxReported       = 64
	// forgetAfter is how long the end of a limit, or the limit of an endpoint that is not
	// listed, is kept. Other daemons know of it by then.
	forgetAfter = time.Minute
	// peerClockError bounds the error of times that other daemons report as ages: the time
	// that a message takes.
	peerClockError = 500 * time.Millisecond
)

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
	// PermitDecided reports whether a request may be sent to an endpoint that names a
	// limit.
	PermitDecided(d Decision)
	// ColdObserved reports that an endpoint counts as cold.
	ColdObserved(c ColdChange)
	// ColdUnreadable reports that an endpoint named a cold time that is negative or not a
	// number.
	ColdUnreadable(e core.InstanceID, value string)
}

// endpointLimit is a limit that an incarnation of an endpoint has named, or the end of one. It is
// replaced when the figure changes.
type endpointLimit struct {
	entry     endpoints.Entry
	perSecond float64
	changedAt time.Time
	// latest is the latest observation of the figure.
	latest  atomic.Pointer[ratelimit.Observation]
	permits permitState
}

func newEndpointLimit(entry endpoints.Entry, o ratelimit.Observation, now time.Time) *endpointLimit {
	k := &endpointLimit{entry: entry, perSecond: o.PerSecond, changedAt: now}
	k.latest.Store(&o)
	return k
}

func (k *endpointLimit) limited() bool { return k.perSecond < ratelimit.Unlimited }

// Options of a Registry.
type Options struct {
	Self core.InstanceID
	// View returns the endpoints that may get work, Fleet the live daemons.
	View  func() *endpoints.View
	Fleet func() *fleet.View
	// Joined is closed once this daemon knows the others.
	Joined func() <-chan struct{}
	// DaemonCount returns the number of daemons, including those that this one does not
	// reach.
	DaemonCount func() int
	Grantors    Grantors
	Events      Events
	Now         func() time.Time
	ColdOptions
}

// Registry keeps the limit of each endpoint that has named one, and gets and grants
// permits. It is safe for concurrent use.
type Registry struct {
	Options
	startedAt time.Time
	sends     sendCounts

	// byEndpoint is replaced as a whole, since the path of each request reads it.
	byEndpoint atomic.Pointer[map[core.InstanceID]*endpointLimit]
	// mu serializes changes of byEndpoint.
	mu      sync.Mutex
	buckets buckets
	cold    coldEndpoints
	// silentPeers holds, by the address of a daemon that gave no answer, the time.Time
	// until which it is not asked. Its size is bounded by the daemons of the fleet.
	silentPeers sync.Map
}

// NewRegistry returns an empty registry.
func NewRegistry(o Options) *Registry {
	r := &Registry{Options: o, startedAt: o.Now(), buckets: buckets{byEndpoint: map[core.InstanceID]*bucket{}}}
	r.byEndpoint.Store(&map[core.InstanceID]*endpointLimit{})
	r.cold.init()
	return r
}

// lookup returns the limit of an incarnation of an endpoint, or ok false if it names none.
func (r *Registry) lookup(e endpoints.Entry) (k *endpointLimit, ok bool) {
	k, ok = (*r.byEndpoint.Load())[e.ID]
	return k, ok && k.limited() && k.entry.StartedMs == e.StartedMs
}

// RecordSend counts a request that is sent to an endpoint.
func (r *Registry) RecordSend(e core.Endpoint) { r.sends.record(e.ID, r.Now().Sub(r.startedAt)) }

// Observe records what an answer to a request of this daemon said about the limit of its
// endpoint.
func (r *Registry) Observe(e core.Endpoint, o ratelimit.Observation) {
	if _, ok := (*r.byEndpoint.Load())[e.ID]; !ok && !o.Limited() {
		return
	}
	if entry, ok := r.View().ByID[e.ID]; ok && entry.Address == e.Address {
		r.merge(entry, o, 0, "")
	}
}

// ObserveUnreadable records that an answer named a limit that cannot be read. The limit
// that the endpoint named before stays in force.
func (r *Registry) ObserveUnreadable(e core.Endpoint, value string) {
	r.Events.LimitUnreadable(e.ID, value)
}

// Limit returns the limit of an endpoint in requests per second and the time since its
// last answer that named it, or ok false if the endpoint names none and is warm. The limit
// of a cold endpoint has no age.
func (r *Registry) Limit(e endpoints.Entry) (perSecond float64, age time.Duration, ok bool) {
	k, named := r.lookup(e)
	if named {
		perSecond, age = k.perSecond, k.age(r.Now())
	}
	if _, _, cold := r.lookupCold(e); cold {
		if tolerated := r.coldPool(e).PerSecond; !named || tolerated < perSecond {
			perSecond, age = tolerated, 0
		}
		return perSecond, age, true
	}
	return perSecond, age, named
}

// Reported returns the limits for this daemon's status, those that changed last first,
// and how many of them changed within reportPeriod.
func (r *Registry) Reported() (list []fleet.EndpointLimit, recent int) {
	current := *r.byEndpoint.Load()
	list = r.reportedCold()
	recent = len(list)
	if len(current) == 0 {
		return list, recent
	}
	now := r.Now()
	sorted := slices.SortedFunc(maps.Values(current), func(a, b *endpointLimit) int {
		return cmp.Or(b.changedAt.Compare(a.changedAt), cmp.Compare(a.entry.ID, b.entry.ID))
	})
	for _, k := range sorted[:min(len(sorted), maxReported)] {
		if now.Sub(k.changedAt) < reportPeriod && recent < maxRecentReported {
			recent++
		}
		list = append(list, k.report())
	}
	return list, recent
}

// report returns the limit as it is told to other daemons.
func (k *endpointLimit) report() fleet.EndpointLimit {
	return fleet.EndpointLimit{Endpoint: k.entry.ID, StartedMs: k.entry.StartedMs, Observation: *k.latest.Load()}
}

// age returns the time since the last answer that named the figure.
func (k *endpointLimit) age(now time.Time) time.Duration { return now.Sub(k.latest.Load().ReceivedAt) }

// MergeReported adds the limits that another daemon reports.
func (r *Registry) MergeReported(from core.InstanceID, list []fleet.EndpointLimit) {
	for _, l := range list {
		r.mergeReport(from, l)
	}
}

// mergeReport adds a limit that another daemon reports. It ignores the limit of another
// incarnation than the listed one. An endpoint that is not listed may only not be listed
// yet, as at the start of this daemon.
func (r *Registry) mergeReport(from core.InstanceID, l fleet.EndpointLimit) {
	entry, ok := r.View().ByID[l.Endpoint]
	if !ok {
		entry = endpoints.Entry{Endpoint: core.Endpoint{ID: l.Endpoint}, StartedMs: l.StartedMs}
	}
	if l.ColdFor > 0 {
		r.mergeCold(from, l)
	}
	if entry.StartedMs == l.StartedMs {
		r.merge(entry, l.Observation, peerClockError, from)
	}
}

// merge adds an observation of an incarnation to what is known.
func (r *Registry) merge(entry endpoints.Entry, o ratelimit.Observation, clockError time.Duration, source core.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	current := *r.byEndpoint.Load()
	k, kept := current[entry.ID]
	before := ratelimit.Observation{PerSecond: ratelimit.Unlimited}
	if kept && k.entry.StartedMs == entry.StartedMs {
		before = *k.latest.Load()
	} else if !o.Limited() {
		return
	}
	merged := ratelimit.Merge(before, o, clockError)
	switch {
	case merged == before:
	case merged.PerSecond == before.PerSecond:
		k.latest.Store(&merged)
	case kept || len(current) < maxEndpoints:
		r.replace(newEndpointLimit(entry, merged, now), before, source)
	}
}

// replace puts a new figure into force. The caller holds mu.
func (r *Registry) replace(k *endpointLimit, before ratelimit.Observation, source core.InstanceID) {
	now := k.changedAt
	next := maps.Clone(*r.byEndpoint.Load())
	next[k.entry.ID] = k
	listed := r.View().ByID
	maps.DeleteFunc(next, func(id core.InstanceID, k *endpointLimit) bool {
		_, ok := listed[id]
		return (!ok || !k.limited()) && k.age(now) > forgetAfter
	})
	if !before.Limited() {
		k.permits.unreported.Store(int64(r.sends.recent(k.entry.ID, now.Sub(r.startedAt))))
	}
	r.byEndpoint.Store(&next)
	c := Change{Endpoint: k.entry, PerSecond: k.perSecond, Previous: before.PerSecond, Source: source}
	if before.Limited() {
		c.PreviousAge = now.Sub(before.ReceivedAt)
	}
	r.Events.LimitChanged(c)
	if k.permits.unreported.Load() > 0 {
		go r.reportUnpermitted(k.entry)
	}
}
