package permits

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/ratelimit"
)

const (
	// permitTimeout bounds the request for a permit. It is several round trips between
	// data centres, and short against the times in which answers are due.
	permitTimeout = 150 * time.Millisecond
	// grantorRetry is how long no permit is asked for after the grantor gave no answer or
	// was another daemon than expected: the interval of exchanges, after which the daemons
	// agree on it again.
	grantorRetry = 300 * time.Millisecond
	// minBlock is the shortest time without a request for a permit after a denial.
	minBlock = 5 * time.Millisecond
)

// Request asks for permission to send one request to an endpoint.
type Request struct {
	From core.InstanceID
	// Limit is the endpoint's limit as the sender knows it.
	Limit fleet.EndpointLimit
	// Unpermitted is the number of requests that the sender sent within
	// ratelimit.ChargedTime before it knew of the limit.
	Unpermitted int
	// ReportOnly says that the sender wants no permit and only reports Unpermitted.
	ReportOnly bool
	// Rank is the rank of the request, 0 first.
	Rank int
}

// Reply is the answer to a Request.
type Reply struct {
	Granted bool
	// Wait is the time after which to ask again if the permit was not granted.
	Wait time.Duration
	// Limit is the limit that is in force, or nil if it is that of the request.
	Limit *fleet.EndpointLimit
	// noShare says why this daemon itself granted no permit: it reaches too few others.
	noShare bool
}

// Grantors sends requests for permits to the daemons that grant them.
type Grantors interface {
	RequestPermit(ctx context.Context, address string, r *Request) (*Reply, error)
}

// Decision describes the decision whether a request may be sent to an endpoint.
type Decision struct {
	// Request is empty for calls that serve several requests.
	Request  core.RequestID
	Rank     int
	Endpoint endpoints.Entry
	// PerSecond is the endpoint's limit, named Age ago.
	PerSecond float64
	Age       time.Duration
	// Cold is how much longer the endpoint counts as cold, 0 if it names a limit.
	Cold time.Duration
	// Grantor is the daemon that decided; empty if none could be asked.
	Grantor core.InstanceID
	Granted bool
	// Reason says why the permit was not granted, and Wait for how long no other is asked
	// for.
	Reason string
	Wait   time.Duration
}

// Reasons of a Decision against a permit that was not granted.
const (
	reasonDenied     = "the daemon that grants permits granted none"
	reasonNoGrantor  = "the daemon that grants permits is not known yet"
	reasonNoResponse = "the daemon that grants permits gave no answer"
)

// permitState is what this daemon knows of the permits for an endpoint.
type permitState struct {
	// blockedUntil is the time before which no permit is asked for, by the rank of the
	// request, as nanoseconds since Registry.startedAt.
	blockedUntil [ratelimit.MaxRank + 1]atomic.Int64
	// unreported is the number of requests sent without a permit that the grantor does not
	// know of.
	unreported atomic.Int64
}

// BlockedUntil returns the time before which this daemon gets no permit for requests of a
// rank to an endpoint, or the zero time.
func (r *Registry) BlockedUntil(e endpoints.Entry, rank int) time.Time {
	blocked := int64(0)
	if k, ok := r.lookup(e); ok {
		blocked = k.permits.blockedUntil[permitRank(rank)].Load()
	}
	if c, _, ok := r.lookupCold(e); ok {
		blocked = max(blocked, c.permits.blockedUntil[permitRank(rank)].Load())
	}
	if blocked == 0 {
		return time.Time{}
	}
	return r.startedAt.Add(time.Duration(blocked))
}

// permitRank returns the rank by which permits are granted.
func permitRank(rank int) int { return min(max(rank, 0), ratelimit.MaxRank) }

// block stops requests for permits until a time, for requests of a rank and less urgent
// ones.
func (s *permitState) block(rank int, until time.Duration) {
	for i := permitRank(rank); i < len(s.blockedUntil); i++ {
		s.blockedUntil[i].Store(max(s.blockedUntil[i].Load(), int64(until)))
	}
}

// Acquire reports whether a request of a rank may be sent to an endpoint now. It returns
// true at once for an endpoint that is warm and without a limit, false while BlockedUntil
// has not passed, and asks the endpoint's grantor otherwise. request is used for the log.
func (r *Registry) Acquire(ctx context.Context, e endpoints.Entry, rank int, request core.RequestID) bool {
	if c, until, cold := r.lookupCold(e); cold {
		if _, limited := r.lookup(e); limited && r.Now().Before(r.BlockedUntil(e, rank)) || !r.acquireCold(ctx, c, until, rank, request) {
			return false
		}
	}
	k, ok := r.lookup(e)
	if !ok {
		return true
	}
	if r.Now().Before(r.BlockedUntil(e, rank)) {
		return false
	}
	age := k.age(r.Now())
	reply, grantor, reason := r.ask(ctx, k, rank, false)
	if reply.Limit != nil {
		r.mergeReport(grantor, *reply.Limit)
	}
	if !reply.Granted && ctx.Err() != nil {
		// The request has ended meanwhile, which says nothing about the permits of others.
		return false
	}
	wait := time.Duration(0)
	if !reply.Granted {
		wait = max(reply.Wait, minBlock)
		k.permits.block(rank, r.Now().Add(wait).Sub(r.startedAt))
	}
	r.Events.PermitDecided(Decision{Request: request, Rank: rank, Endpoint: e, PerSecond: k.perSecond, Age: age,
		Grantor: grantor, Granted: reply.Granted, Reason: reason, Wait: wait})
	return reply.Granted
}

// reportUnpermitted tells an endpoint's grantor of the requests that were sent before the
// limit was known. If that fails, the next request for a permit does.
func (r *Registry) reportUnpermitted(e endpoints.Entry) {
	if k, ok := r.lookup(e); ok {
		r.ask(context.Background(), k, 0, true)
	}
}

// ask asks the grantor for a permit, or only reports unpermitted requests. The reason is
// empty if the permit was granted.
func (r *Registry) ask(ctx context.Context, k *endpointLimit, rank int, reportOnly bool) (reply *Reply, grantor core.InstanceID, reason string) {
	g, ok := r.grantor(k.entry)
	if !ok {
		return &Reply{Wait: grantorRetry}, "", reasonNoGrantor
	}
	unreported := k.permits.unreported.Swap(0)
	req := &Request{From: r.Self, Limit: k.report(), Unpermitted: int(unreported), ReportOnly: reportOnly, Rank: rank}
	if g.ID == r.Self {
		reply = r.grant(k, req)
	} else if reply = r.askPeer(ctx, g, req); reply == nil {
		k.permits.unreported.Add(unreported)
		return &Reply{Wait: grantorRetry}, g.ID, reasonNoResponse
	}
	if !reply.Granted {
		reason = reasonDenied
	}
	return reply, g.ID, reason
}

// askPeer sends a request for a permit to another daemon. It returns nil if the daemon
// gave no answer, and at once if it gave none within the last grantorRetry: one daemon
// grants the permits for many endpoints, and a request that tries several of them must not
// wait for it each time.
func (r *Registry) askPeer(ctx context.Context, g fleet.Member, req *Request) *Reply {
	if until, ok := r.silentPeers.Load(g.Address); ok && r.Now().Before(until.(time.Time)) {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	reply, err := r.Grantors.RequestPermit(callCtx, g.Address, req)
	switch {
	case err == nil:
		r.silentPeers.Delete(g.Address)
		return reply
	case ctx.Err() == nil:
		r.silentPeers.Store(g.Address, r.Now().Add(grantorRetry))
	}
	return nil
}

// grantor returns the daemon that grants the permits for an endpoint: the first live one,
// in an order that all daemons with the same view share, or this one if it leaves as the
// last. It returns false until this daemon knows the others, since it would take itself for
// the grantor.
func (r *Registry) grantor(e endpoints.Entry) (fleet.Member, bool) {
	select {
	case <-r.Joined():
	default:
		return fleet.Member{}, false
	}
	for _, m := range r.Fleet().Ranked("permits/"+string(e.ID), e.DataCenter) {
		if m.GrantsPermits {
			return m, true
		}
	}
	return fleet.Member{ID: r.Self}, r.leavesAlone()
}

// leavesAlone reports whether this daemon is leaving, which takes it out of its own view,
// and no other daemon may grant permits.
func (r *Registry) leavesAlone() bool { return len(r.Fleet().Alive) == 0 && r.DaemonCount() <= 1 }

// reached returns the number of daemons among which this one is the grantor.
func (r *Registry) reached() (reached int) {
	for _, m := range r.Fleet().Alive {
		if m.GrantsPermits {
			reached++
		}
	}
	if r.leavesAlone() {
		return 1
	}
	return reached
}

// HandlePermit answers another daemon's request for a permit. A daemon that is not the
// grantor by its own view grants nothing: two grantors together could exceed the limit.
func (r *Registry) HandlePermit(req *Request) *Reply {
	entry, ok := r.View().ByID[req.Limit.Endpoint]
	if !ok || entry.StartedMs != req.Limit.StartedMs {
		return &Reply{Wait: grantorRetry}
	}
	r.mergeReport(req.From, req.Limit)
	if req.Limit.ColdFor > 0 {
		return r.handleCold(entry, req)
	}
	if reply := r.tellIfCold(entry); reply != nil && !req.ReportOnly {
		return reply
	}
	k, ok := (*r.byEndpoint.Load())[entry.ID]
	if !ok {
		// Too many endpoints name a limit to keep this one.
		return &Reply{Wait: grantorRetry}
	}
	var inForce *fleet.EndpointLimit
	if k.perSecond != req.Limit.PerSecond {
		l := k.report()
		inForce = &l
	}
	if !k.limited() {
		return &Reply{Granted: true, Limit: inForce}
	}
	if g, ok := r.grantor(entry); !ok || g.ID != r.Self {
		return &Reply{Wait: grantorRetry, Limit: inForce}
	}
	reply := r.grant(k, req)
	reply.Limit = inForce
	return reply
}

// bucket holds the permits for one incarnation of an endpoint.
type bucket struct {
	*ratelimit.PermitBucket
	startedMs int64
}

// buckets holds the permits for the endpoints whose grantor this daemon is or was.
type buckets struct {
	mu         sync.Mutex
	byEndpoint map[core.InstanceID]*bucket
}

// grant decides on a permit as the endpoint's grantor. A daemon that does not reach all
// others grants the share of those that it reaches, so that both sides of a partition
// together keep the limit. Daemons of earlier versions, which send without permits, count
// as not reached.
func (r *Registry) grant(k *endpointLimit, req *Request) *Reply {
	now := r.Now()
	all := max(r.DaemonCount(), 1)
	perSecond := k.perSecond * float64(min(r.reached(), all)) / float64(all)
	r.buckets.mu.Lock()
	defer r.buckets.mu.Unlock()
	b := r.buckets.byEndpoint[k.entry.ID]
	if b == nil || b.startedMs != k.entry.StartedMs {
		r.dropBuckets()
		b = &bucket{ratelimit.NewPermitBucket(now), k.entry.StartedMs}
		r.buckets.byEndpoint[k.entry.ID] = b
	}
	if req.Unpermitted > 0 {
		b.Charge(now, perSecond, req.Unpermitted)
	}
	if req.ReportOnly {
		return &Reply{}
	}
	granted, wait := b.Take(now, perSecond, req.From, req.Rank)
	return &Reply{Granted: granted, Wait: wait}
}

// dropBuckets drops the permits for endpoints that name no limit any more. The caller
// holds buckets.mu.
func (r *Registry) dropBuckets() {
	current := *r.byEndpoint.Load()
	for id, b := range r.buckets.byEndpoint {
		if k, ok := current[id]; !ok || !k.limited() || k.entry.StartedMs != b.startedMs {
			delete(r.buckets.byEndpoint, id)
		}
	}
}
