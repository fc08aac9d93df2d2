package permits

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/coldstart"
	"eelgrassgrade/internal/decide/ratelimit"
)

const (
	// settleTime is how long after its start a daemon grants no permits for cold endpoints.
	// The others have learned by then that it grants them.
	settleTime = 2 * time.Second
	// noShareWait is how long a daemon whose part of the fleet has no share in a cold
	// endpoint sends it nothing before it checks again. It is longer than requests wait, so
	// that they are refused at once.
	noShareWait = 1500 * time.Millisecond
)

// reasonNoShare says that the daemons that the grantor reaches are too few for a request.
const reasonNoShare = "the part of the fleet that is reached has no share"

// ColdOptions say how cold endpoints are treated. The zero value ignores coldness.
type ColdOptions struct {
	// Pool returns what the configuration says of the cold endpoints of a pool.
	Pool      func(core.PoolID) coldstart.Pool
	Allowance coldstart.Allowance
	// DaemonCount returns the number of daemons that may send requests, or 0 while this
	// daemon cannot know it.
	DaemonCount func() int
}

// ColdChange describes that an endpoint counts as cold from now on, or for longer.
type ColdChange struct {
	Endpoint endpoints.Entry
	Source   coldstart.Source
	// Left is how much longer the endpoint counts as cold.
	Left      time.Duration
	PerSecond float64
	// Reporter is the daemon that reported it; empty if this daemon saw it itself.
	Reporter core.InstanceID
}

// coldEndpoint is an incarnation of an endpoint that may be cold. The incarnation is
// replaced as a whole, the state of the permits is kept.
type coldEndpoint struct {
	entry       endpoints.Entry
	incarnation coldstart.Incarnation
	permits     *permitState
}

// coldEndpoints keeps what is known of the cold times of all endpoints.
type coldEndpoints struct {
	// byEndpoint holds the endpoints that may be cold. It is replaced as a whole, since the
	// path of each request reads it.
	byEndpoint atomic.Pointer[map[core.InstanceID]*coldEndpoint]

	mu sync.Mutex
	// known holds each incarnation that is listed or was within forgetAfter, and listedAt
	// when it last was.
	known    map[core.InstanceID]coldEndpoint
	listedAt map[core.InstanceID]time.Time
	listSeen bool
	// loggedUntil is the end of the cold time that was reported last, by endpoint.
	loggedUntil map[core.InstanceID]time.Time
	buckets     map[core.InstanceID]*coldBucket
}

// coldBucket holds the permits for one incarnation of a cold endpoint.
type coldBucket struct {
	*ratelimit.PermitBucket
	startedMs int64
	// notBefore is when the first permit may be granted, after requests from before the
	// coldness was known, and coldUntil the end of the coldness that the bucket is for.
	notBefore, coldUntil time.Time
}

func (c *coldEndpoints) init() {
	c.known, c.listedAt = map[core.InstanceID]coldEndpoint{}, map[core.InstanceID]time.Time{}
	c.loggedUntil, c.buckets = map[core.InstanceID]time.Time{}, map[core.InstanceID]*coldBucket{}
	c.byEndpoint.Store(&map[core.InstanceID]*coldEndpoint{})
}

// ObserveList records the cold times of the listed endpoints. It must be called with each
// list before its endpoints may get requests.
func (r *Registry) ObserveList(list []endpoints.Entry) {
	now := r.Now()
	c := &r.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range list {
		c.listedAt[e.ID] = now
		k, ok := c.known[e.ID]
		if !ok || k.entry.StartedMs != e.StartedMs {
			k = coldEndpoint{permits: &permitState{}, incarnation: coldstart.Incarnation{FirstSeen: now, SeenStarting: c.listSeen,
				StartKnown: e.StartedMs != 0, AgeAtFirstSight: now.Sub(time.UnixMilli(e.StartedMs))}}
		}
		if e.ColdFor < 0 && k.entry.ColdFor >= 0 {
			r.Events.ColdUnreadable(e.ID, e.ColdFor.String())
		}
		if e.Written != k.entry.Written || e.ColdFor != k.entry.ColdFor {
			k.incarnation.Tell(now, e.ColdFor, coldstart.Listed)
		}
		k.entry = e
		c.known[e.ID] = k
	}
	c.listSeen = c.listSeen || len(list) > 0
	for id, at := range c.listedAt {
		if now.Sub(at) > forgetAfter && !listed(list, id) {
			delete(c.known, id)
			delete(c.listedAt, id)
			delete(c.loggedUntil, id)
		}
	}
	r.publishCold(now, "")
}

func listed(list []endpoints.Entry, id core.InstanceID) bool {
	return slices.ContainsFunc(list, func(e endpoints.Entry) bool { return e.ID == id })
}

// publishCold puts into force what is known, and reports what became cold. The caller
// holds cold.mu.
func (r *Registry) publishCold(now time.Time, reporter core.InstanceID) {
	c := &r.cold
	next := map[core.InstanceID]*coldEndpoint{}
	for id, k := range c.known {
		p := r.coldPool(k.entry)
		until, source := k.incarnation.ColdUntil(p)
		if p.PerSecond <= 0 {
			// The configuration may follow, or change.
			until = k.incarnation.LatestEnd()
		}
		if !until.After(now) {
			continue
		}
		next[id] = &k
		if p.PerSecond > 0 && !c.loggedUntil[id].After(now) {
			c.loggedUntil[id] = until
			r.Events.ColdObserved(ColdChange{Endpoint: k.entry, Source: source, Left: until.Sub(now), PerSecond: p.PerSecond, Reporter: reporter})
		}
	}
	c.byEndpoint.Store(&next)
}

// coldPool returns what the configuration says of the cold endpoints of the entry's pool.
func (r *Registry) coldPool(e endpoints.Entry) coldstart.Pool {
	if r.ColdOptions.Pool == nil {
		return coldstart.Pool{}
	}
	return r.ColdOptions.Pool(e.Pool)
}

// ObserveCold records that an answer of an endpoint says how long it stays cold.
func (r *Registry) ObserveCold(e core.Endpoint, remaining time.Duration) {
	if remaining > 0 {
		r.tellCold(e, "", func(i *coldstart.Incarnation, now time.Time) { i.Tell(now, remaining, coldstart.Answered) })
	}
}

// ObserveColdUnreadable records that an endpoint's answer names a cold time that is not a
// number of milliseconds.
func (r *Registry) ObserveColdUnreadable(e core.Endpoint, value string) {
	r.Events.ColdUnreadable(e.ID, value)
}

// ObserveRefused records that an endpoint's machine refuses connections.
func (r *Registry) ObserveRefused(e core.Endpoint) {
	r.tellCold(e, "", func(i *coldstart.Incarnation, now time.Time) { i.Refuse(now) })
}

// tellCold changes what is known of the listed incarnation of an endpoint, if its pool's
// configuration asks for it.
func (r *Registry) tellCold(e core.Endpoint, reporter core.InstanceID, tell func(i *coldstart.Incarnation, now time.Time)) {
	entry, ok := r.View().ByID[e.ID]
	if !ok || entry.Address != e.Address || r.coldPool(entry).PerSecond <= 0 {
		return
	}
	c := &r.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	k, ok := c.known[e.ID]
	if !ok || k.entry.StartedMs != entry.StartedMs {
		return
	}
	now := r.Now()
	tell(&k.incarnation, now)
	c.known[e.ID] = k
	r.publishCold(now, reporter)
}

// lookupCold returns an endpoint that is cold now and the end of that, or ok false.
func (r *Registry) lookupCold(e endpoints.Entry) (c *coldEndpoint, until time.Time, ok bool) {
	c, ok = (*r.cold.byEndpoint.Load())[e.ID]
	if !ok || c.entry.StartedMs != e.StartedMs {
		return nil, time.Time{}, false
	}
	p := r.coldPool(e)
	if p.PerSecond <= 0 {
		return nil, time.Time{}, false
	}
	until, _ = c.incarnation.ColdUntil(p)
	return c, until, until.After(r.Now())
}

// ColdUntil returns until when an endpoint is cold, or ok false if it is warm.
func (r *Registry) ColdUntil(e endpoints.Entry) (until time.Time, ok bool) {
	_, until, ok = r.lookupCold(e)
	return until, ok
}

// maxColdChecks bounds the endpoints of one ColdChecks.
const maxColdChecks = 64

// ColdChecks returns the endpoints that may become cold and for which this daemon grants
// the permits. It leaves out those that are known to be cold.
func (r *Registry) ColdChecks() []endpoints.Entry {
	var list []endpoints.Entry
	for _, e := range r.View().ByID {
		if _, cold := r.ColdUntil(e); cold || r.coldPool(e).PerSecond <= 0 {
			continue
		}
		if g, ok := r.grantor(e); ok && g.ID == r.Self && len(list) < maxColdChecks {
			list = append(list, e)
		}
	}
	return list
}

// ColdShare returns the rate at which this daemon may expect permits for a cold endpoint,
// in requests per second.
func (r *Registry) ColdShare(e endpoints.Entry) float64 {
	all := r.ColdOptions.DaemonCount()
	if all <= 0 {
		return 0
	}
	return r.Allowance.Share(r.coldPool(e), all, all).PerSecond / float64(all)
}

// acquireCold is Acquire for a cold endpoint. The same daemon grants these permits and
// those for the limit that the endpoint names, if there is one.
func (r *Registry) acquireCold(ctx context.Context, c *coldEndpoint, until time.Time, rank int, request core.RequestID) bool {
	now := r.Now()
	if now.Sub(r.startedAt) < time.Duration(c.permits.blockedUntil[permitRank(rank)].Load()) {
		return false
	}
	reply, grantor, reason := r.askCold(ctx, c, until.Sub(now), rank)
	if !reply.Granted && ctx.Err() != nil {
		return false
	}
	wait := time.Duration(0)
	if !reply.Granted {
		wait = max(reply.Wait, minBlock)
		c.permits.block(rank, r.Now().Add(wait).Sub(r.startedAt))
	}
	r.Events.PermitDecided(Decision{Request: request, Rank: rank, Endpoint: c.entry, PerSecond: r.coldPool(c.entry).PerSecond,
		Cold: until.Sub(now), Grantor: grantor, Granted: reply.Granted, Reason: reason, Wait: wait})
	return reply.Granted
}

func (r *Registry) askCold(ctx context.Context, c *coldEndpoint, left time.Duration, rank int) (reply *Reply, grantor core.InstanceID, reason string) {
	g, ok := r.grantor(c.entry)
	if !ok {
		return &Reply{Wait: grantorRetry}, "", reasonNoGrantor
	}
	req := &Request{From: r.Self, Limit: c.report(left), Rank: rank}
	if g.ID == r.Self {
		reply = r.grantCold(c, req)
	} else if reply = r.askPeer(ctx, g, req); reply == nil {
		return &Reply{Wait: grantorRetry}, g.ID, reasonNoResponse
	}
	switch {
	case reply.Granted:
	case reply.noShare:
		reason = reasonNoShare
	default:
		reason = reasonDenied
	}
	return reply, g.ID, reason
}

// tellIfCold returns the answer to a daemon that asks for a permit without knowing that
// the endpoint is cold, or nil if it is warm.
func (r *Registry) tellIfCold(entry endpoints.Entry) *Reply {
	c, until, cold := r.lookupCold(entry)
	if !cold {
		return nil
	}
	l := c.report(until.Sub(r.Now()))
	return &Reply{Wait: minBlock, Limit: &l}
}

// handleCold answers another daemon's request for a permit for a cold endpoint, which this
// daemon counts as cold as well by now.
func (r *Registry) handleCold(entry endpoints.Entry, req *Request) *Reply {
	c, _, cold := r.lookupCold(entry)
	if g, ok := r.grantor(entry); !cold || !ok || g.ID != r.Self {
		return &Reply{Wait: grantorRetry}
	}
	return r.grantCold(c, req)
}

// grantCold decides on a permit for a cold endpoint as its grantor.
func (r *Registry) grantCold(c *coldEndpoint, req *Request) *Reply {
	now := r.Now()
	if settled := settleTime - now.Sub(r.startedAt); settled > 0 {
		return &Reply{Wait: settled}
	}
	rate := r.Allowance.Share(r.coldPool(c.entry), r.reached(), r.ColdOptions.DaemonCount())
	if rate.PerSecond <= 0 {
		return &Reply{Wait: noShareWait, noShare: true}
	}
	r.cold.mu.Lock()
	defer r.cold.mu.Unlock()
	b := r.cold.buckets[c.entry.ID]
	if b == nil || b.startedMs != c.entry.StartedMs || b.coldUntil.Before(now) {
		r.dropColdBuckets()
		b = &coldBucket{PermitBucket: ratelimit.NewFullPermitBucket(now, 1), startedMs: c.entry.StartedMs, notBefore: now}
		if !c.incarnation.ColdSinceStart(now, r.coldPool(c.entry)) {
			b.notBefore = now.Add(coldstart.Window)
		}
		r.cold.buckets[c.entry.ID] = b
	}
	b.coldUntil, _ = c.incarnation.ColdUntil(r.coldPool(c.entry))
	if wait := b.notBefore.Sub(now); wait > 0 {
		return &Reply{Wait: wait}
	}
	granted, wait := b.TakeAt(now, rate.PerSecond, rate.Burst, req.From, req.Rank)
	return &Reply{Granted: granted, Wait: wait}
}

// dropColdBuckets drops the permits for endpoints that cannot be cold any more. The caller
// holds cold.mu.
func (r *Registry) dropColdBuckets() {
	current := *r.cold.byEndpoint.Load()
	maps.DeleteFunc(r.cold.buckets, func(id core.InstanceID, b *coldBucket) bool {
		c, ok := current[id]
		return !ok || c.entry.StartedMs != b.startedMs || !c.incarnation.LatestEnd().After(r.Now())
	})
}

// report returns the endpoint as it is told to other daemons.
func (c *coldEndpoint) report(left time.Duration) fleet.EndpointLimit {
	return fleet.EndpointLimit{Endpoint: c.entry.ID, StartedMs: c.entry.StartedMs, Observation: ratelimit.Observation{PerSecond: ratelimit.Unlimited}, ColdFor: left}
}

// reportedCold returns the cold endpoints that other daemons cannot know of from the list,
// those that stay cold longest first.
func (r *Registry) reportedCold() []fleet.EndpointLimit {
	now := r.Now()
	var list []fleet.EndpointLimit
	for _, c := range *r.cold.byEndpoint.Load() {
		p := r.coldPool(c.entry)
		until, source := c.incarnation.ColdUntil(p)
		if p.PerSecond > 0 && until.After(now) && source != coldstart.Listed && source != coldstart.Started {
			list = append(list, c.report(until.Sub(now)))
		}
	}
	slices.SortFunc(list, func(a, b fleet.EndpointLimit) int {
		return cmp.Or(cmp.Compare(b.ColdFor, a.ColdFor), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return list[:min(len(list), maxRecentReported)]
}

// mergeCold records that another daemon counts an endpoint as cold.
func (r *Registry) mergeCold(from core.InstanceID, l fleet.EndpointLimit) {
	entry, ok := r.View().ByID[l.Endpoint]
	if !ok || entry.StartedMs != l.StartedMs {
		return
	}
	if until, cold := r.ColdUntil(entry); cold && until.Sub(r.Now())+peerClockError >= l.ColdFor {
		return
	}
	r.tellCold(entry.Endpoint, from, func(i *coldstart.Incarnation, now time.Time) { i.Tell(now, l.ColdFor, coldstart.Reported) })
}
