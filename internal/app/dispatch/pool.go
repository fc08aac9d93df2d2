package dispatch

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/health"
	"eelgrassgrade/internal/decide/membership"
	"eelgrassgrade/internal/decide/quarantine"
	"eelgrassgrade/internal/decide/retry"
	"eelgrassgrade/internal/decide/routing"
)

// members holds the endpoints of a pool that this daemon uses. It is never
// changed, only replaced.
type members struct {
	view *membership.View
	// all holds the endpoints of the whole pool in the view.
	all []core.Endpoint
	// endpoints is the daemon's subset of all.
	endpoints []*endpoint
}

// allIDs returns the IDs of all endpoints of the pool, including those that this
// daemon does not use.
func (m *members) allIDs() []core.InstanceID {
	ids := make([]core.InstanceID, len(m.all))
	for i, e := range m.all {
		ids[i] = e.ID
	}
	return ids
}

// pool is the state of one endpoint pool.
type pool struct {
	dispatcher       *Dispatcher
	id               core.PoolID
	counts           *counters
	members          atomic.Pointer[members]
	roundRobinTurn   atomic.Uint64
	candidateBuffers sync.Pool
	contentTracker

	membersMu sync.Mutex // serializes replacements of members

	mu          sync.Mutex // guards the following; never held across I/O
	health      health.Pool
	longestGaps health.LatencyWindow // longest time between events of each stream
	budget      *retry.Budget
	rng         *rand.Rand

	capacityMu        sync.Mutex // serializes publishCapacity
	publishedCapacity int        // as last passed to the scheduler
}

// repeatableProbeWait is how long only repeatable calls may probe an endpoint
// after its ejection ended. After that any call may, so that endpoints return to
// service in pools without repeatable work.
const repeatableProbeWait = 2 * time.Second

func newPool(d *Dispatcher, id core.PoolID) *pool {
	p := &pool{dispatcher: d, id: id, counts: newCounters(d.Metrics, id), budget: retry.NewBudget(),
		rng: rand.New(rand.NewPCG(d.Seed, routing.HashOf(core.InstanceID(id))))}
	p.contentTracker.init()
	p.candidateBuffers.New = func() any { return new([]routing.Candidate) }
	p.members.Store(&members{})
	return p
}

func (p *pool) config() config.Pool {
	if s := p.dispatcher.Config(); s != nil {
		return s.Lists.Pools[p.id]
	}
	return config.Pool{}
}

// currentMembers returns the members for the current view.
func (p *pool) currentMembers() *members {
	v := p.dispatcher.View()
	if m := p.members.Load(); m.view == v {
		return m
	}
	p.membersMu.Lock()
	defer p.membersMu.Unlock()
	old := p.members.Load()
	if old.view == v {
		return old
	}
	m := &members{view: v}
	if v != nil {
		m.all = v.Endpoints[p.id]
	}
	if slices.Equal(m.all, old.all) {
		m.endpoints = old.endpoints
	} else {
		m.endpoints = p.subset(m.all, old.endpoints)
	}
	p.members.Store(m)
	p.publishCapacity()
	return m
}

// subset returns the endpoints of all that this daemon uses. It keeps the state
// of those that are in old.
func (p *pool) subset(all []core.Endpoint, old []*endpoint) []*endpoint {
	list := make([]*endpoint, 0, routing.MaxLocal+routing.MaxRemote)
	states := make([]*health.Endpoint, 0, cap(list))
	for _, e := range routing.Subset(p.dispatcher.Self, p.dispatcher.DataCenter, all) {
		i := slices.IndexFunc(old, func(o *endpoint) bool { return o.Endpoint == e })
		var n *endpoint
		if i >= 0 {
			n = old[i]
		} else {
			n = newEndpoint(e, e.DataCenter == p.dispatcher.DataCenter)
		}
		list = append(list, n)
		states = append(states, &n.health)
	}
	p.mu.Lock()
	p.health.SetMembers(states)
	p.mu.Unlock()
	return list
}

// publishCapacity passes the number of slots of the endpoints that are not
// ejected to the scheduler.
func (p *pool) publishCapacity() {
	if p.dispatcher.Scheduler == nil {
		return
	}
	// The lock covers SetCapacity, so that the scheduler ends up with the newest
	// figure.
	p.capacityMu.Lock()
	defer p.capacityMu.Unlock()
	slots, total := p.config().Slots, 0
	for _, e := range p.members.Load().endpoints {
		if e.status.Load().EjectedUntil.IsZero() {
			total += e.slotsOr(slots)
		}
	}
	if total != p.publishedCapacity {
		p.publishedCapacity = total
		p.dispatcher.Scheduler.SetCapacity(p.id, total)
	}
}

// choose returns an endpoint for the job, or nil with the reason
// routing.NoEndpoint. sameContent lists the endpoints on which equal content is
// in flight. blocked means that an otherwise usable endpoint was ruled out for
// now: it runs a suspect, is not the one chosen for this suspect, or would be
// one endpoint too many for this content. The caller holds
// p.contentTracker.mu.
func (p *pool) choose(j *job, m *members, suspect bool, sameContent []*endpoint) (e *endpoint, reason routing.Reason, blocked bool) {
	if suspect {
		// All daemons derive the same endpoints for their suspects, so that no two
		// suspects share one. Take the best of them that is in service.
		for _, id := range quarantine.Place(p.dispatcher.Quarantine.Suspects(p.id), m.allIDs(), j.fingerprint) {
			e, reason, blocked = p.chooseAmong(j, m, true, sameContent, id)
			if st := statusOf(e); e != nil && st.EjectedUntil.IsZero() && !st.Failing {
				return e, reason, blocked
			}
		}
	}
	return p.chooseAmong(j, m, suspect, sameContent, "")
}

// chooseAmong does the work of choose. If onlyID is not empty, the job may use
// only that endpoint.
func (p *pool) chooseAmong(j *job, m *members, suspect bool, sameContent []*endpoint, onlyID core.InstanceID) (e *endpoint, reason routing.Reason, blocked bool) {
	buf := p.candidateBuffers.Get().(*[]routing.Candidate)
	defer p.candidateBuffers.Put(buf)
	now := time.Now()
	slots := p.config().Slots
	contentEndpoints := countDistinct(sameContent)
	candidates := (*buf)[:0]
	for _, e := range m.endpoints {
		st := e.status.Load()
		c := e.candidate(now, st, slots, j.kind)
		switch phase := st.Phase(now); {
		case phase == health.Ejected, m.view.Leaving[e.ID], j.wasTried(e):
			c.Excluded = true
		case phase == health.Probing:
			c.Probe = j.task.Repeatable || now.Sub(st.EjectedUntil) < repeatableProbeWait
			c.Excluded = e.probing.Load() || c.InFlight > 0
		case st.Failing && now.After(st.ProbeAt):
			c.Probe = j.task.Repeatable
		}
		if suspect && !c.Excluded && e.suspect.Load() {
			c.Excluded, blocked = true, true
		}
		if onlyID != "" && !c.Excluded && e.ID != onlyID {
			c.Excluded, blocked = true, true
		}
		c.SameContent = slices.Contains(sameContent, e)
		if !c.SameContent && contentEndpoints >= maxContentEndpoints && !c.Excluded {
			c.Excluded, blocked = true, true
		}
		c.Cached = j.task.PrefixKey != 0 && e.cache.has(j.task.PrefixKey)
		candidates = append(candidates, c)
	}
	*buf = candidates
	var decision routing.Decision
	if p.dispatcher.Policy == PolicyRoundRobin {
		decision = routing.RoundRobin(candidates, p.roundRobinTurn.Add(1))
	} else {
		decision = routing.Choose(candidates, p.routingRequest(j, suspect))
	}
	if decision.Index < 0 {
		return nil, decision.Reason, blocked
	}
	return m.endpoints[decision.Index], decision.Reason, blocked
}

// countDistinct returns the number of distinct endpoints in the list.
func countDistinct(endpoints []*endpoint) int {
	n := 0
	for i, e := range endpoints {
		if !slices.Contains(endpoints[:i], e) {
			n++
		}
	}
	return n
}

func (p *pool) routingRequest(j *job, suspect bool) routing.Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := routing.Request{Key: j.task.PrefixKey, Prefix: true, AllowProbe: j.task.Repeatable && !suspect && j.attempts.Load() <= 1 && p.budget.MayRetry(),
		DefaultLatency: p.health.Quantiles(j.kind).P50, Random: p.rng.Uint64()}
	if r.Key == 0 {
		r.Key, r.Prefix = binary.BigEndian.Uint64(j.fingerprint[:]), false
	}
	return r
}

// observe passes the outcome of a call to the health decisions.
func (p *pool) observe(e *endpoint, s health.Sample) {
	p.mu.Lock()
	changed := p.health.Observe(time.Now(), &e.health, s, p.rng.Float64())
	e.medianNanos[s.Kind].Store(int64(e.health.MedianLatency(s.Kind)))
	p.publishHealthAndUnlock(changed)
}

// eject ejects an endpoint for a reason found outside the health package.
func (p *pool) eject(e *endpoint, r health.Reason) {
	p.mu.Lock()
	p.publishHealthAndUnlock(p.health.Eject(time.Now(), &e.health, r, p.rng.Float64()))
}

// checkFrozen ejects endpoints whose calls in flight are stuck.
func (p *pool) checkFrozen(e *endpoint) {
	for f := health.Unary; f <= health.Streaming; f++ {
		if oldest, ok := e.oldestUnanswered(f); ok {
			p.mu.Lock()
			p.publishHealthAndUnlock(p.health.CheckFrozen(time.Now(), &e.health, oldest, f, p.rng.Float64()))
		}
	}
}

// publishHealthAndUnlock copies changed statuses to endpoint.status, where they
// are read without the lock, and releases p.mu.
func (p *pool) publishHealthAndUnlock(changed bool) {
	if !changed {
		p.mu.Unlock()
		return
	}
	for _, e := range p.members.Load().endpoints {
		if st := e.health.Status(); st != *e.status.Load() {
			if !st.EjectedUntil.IsZero() && e.status.Load().EjectedUntil != st.EjectedUntil {
				p.counts.countEjection(st.Reason)
			}
			e.status.Store(&st)
		}
	}
	p.mu.Unlock()
	p.publishCapacity()
}

// expectedTime predicts the time of another attempt: the larger of the observed
// median and the scheduler's prediction.
func (p *pool) expectedTime(t Task, kind health.CallKind) time.Duration {
	p.mu.Lock()
	d := p.health.Quantiles(kind).P50
	p.mu.Unlock()
	if p.dispatcher.Scheduler != nil {
		d = max(d, p.dispatcher.Scheduler.Predict(p.id, t.Stage, t.Rank))
	}
	return d
}
