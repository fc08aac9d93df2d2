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

// members is the daemon's subset of a pool. It is replaced whole.
type members struct {
	view *membership.View
	// all is the pool in the view, for comparison.
	all       []core.Endpoint
	endpoints []*endpoint
}

// ids returns all endpoints of the pool, also those that this daemon does not use.
func (m *members) ids() []core.InstanceID {
	out := make([]core.InstanceID, len(m.all))
	for i, e := range m.all {
		out[i] = e.ID
	}
	return out
}

// pool is the state of one endpoint pool.
type pool struct {
	d       *Dispatcher
	id      core.PoolID
	counts  *counters
	members atomic.Pointer[members]
	turn    atomic.Uint64
	scratch sync.Pool
	suspects

	refresh sync.Mutex // serializes replacements of members

	mu     sync.Mutex // guards the following; never held across I/O
	health health.Pool
	gaps   health.LatencyWindow // longest time between events, by stream
	budget *retry.Budget
	rng    *rand.Rand

	capacityMu sync.Mutex
	capacity   int // as last told to the scheduler
}

// probeWait is how long an ejected endpoint waits for a repeatable call to
// probe it. After that a call that may not be repeated may go there, so that
// endpoints return in pools without repeatable work.
const probeWait = 2 * time.Second

func newPool(d *Dispatcher, id core.PoolID) *pool {
	p := &pool{d: d, id: id, counts: newCounters(d.Metrics, id), budget: retry.NewBudget(),
		rng: rand.New(rand.NewPCG(d.Seed, routing.HashOf(core.InstanceID(id))))}
	p.suspects.init()
	p.scratch.New = func() any { return new([]routing.Candidate) }
	p.members.Store(&members{})
	return p
}

func (p *pool) config() config.Pool {
	if s := p.d.Config(); s != nil {
		return s.Lists.Pools[p.id]
	}
	return config.Pool{}
}

// current returns the subset for the current view.
func (p *pool) current() *members {
	v := p.d.View()
	if m := p.members.Load(); m.view == v {
		return m
	}
	p.refresh.Lock()
	defer p.refresh.Unlock()
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

func (p *pool) subset(all []core.Endpoint, old []*endpoint) []*endpoint {
	list := make([]*endpoint, 0, routing.MaxLocal+routing.MaxRemote)
	states := make([]*health.Endpoint, 0, cap(list))
	for _, e := range routing.Subset(p.d.Self, p.d.DataCenter, all) {
		i := slices.IndexFunc(old, func(o *endpoint) bool { return o.Endpoint == e })
		var n *endpoint
		if i >= 0 {
			n = old[i]
		} else {
			n = newEndpoint(e, e.DataCenter == p.d.DataCenter)
		}
		list = append(list, n)
		states = append(states, &n.health)
	}
	p.mu.Lock()
	p.health.SetMembers(states)
	p.mu.Unlock()
	return list
}

// publishCapacity tells the scheduler the slots of the endpoints that serve.
func (p *pool) publishCapacity() {
	if p.d.Scheduler == nil {
		return
	}
	// One at a time, so that the scheduler's last figure is the newest.
	p.capacityMu.Lock()
	defer p.capacityMu.Unlock()
	slots, total := p.config().Slots, 0
	for _, e := range p.members.Load().endpoints {
		if e.status.Load().EjectedUntil.IsZero() {
			total += e.slotsOr(slots)
		}
	}
	if total != p.capacity {
		p.capacity = total
		p.d.Scheduler.SetCapacity(p.id, total)
	}
}

// choose returns an endpoint for the job, or nil with the reason
// routing.NoEndpoint. blocked says that an endpoint is ruled out only because
// a suspect runs on it. on lists where equal content is in flight. The caller
// holds p.suspects.mu.
func (p *pool) choose(j *job, m *members, suspect bool, on []*endpoint) (e *endpoint, reason routing.Reason, blocked bool) {
	if suspect {
		// Suspects of different daemons are kept on different endpoints as long as
		// one of these is in use.
		for _, id := range quarantine.Place(p.d.Quarantine.Suspects(p.id), m.ids(), j.fingerprint) {
			e, reason, blocked = p.chooseAmong(j, m, true, on, id)
			if st := statusOf(e); e != nil && st.EjectedUntil.IsZero() && !st.Failing {
				return e, reason, blocked
			}
		}
	}
	return p.chooseAmong(j, m, suspect, on, "")
}

// chooseAmong is choose with the only endpoint that the job may use, if it is
// not empty.
func (p *pool) chooseAmong(j *job, m *members, suspect bool, on []*endpoint, only core.InstanceID) (e *endpoint, reason routing.Reason, blocked bool) {
	buf := p.scratch.Get().(*[]routing.Candidate)
	defer p.scratch.Put(buf)
	now := time.Now()
	slots := p.config().Slots
	spread := distinct(on)
	c := (*buf)[:0]
	for _, e := range m.endpoints {
		st := e.status.Load()
		x := e.candidate(now, st, slots, j.form)
		switch phase := st.Phase(now); {
		case phase == health.Ejected, m.view.Leaving[e.ID], j.wasTried(e):
			x.Excluded = true
		case phase == health.Probing:
			x.Probe = j.task.Repeatable || now.Sub(st.EjectedUntil) < probeWait
			x.Excluded = e.probing.Load() || x.InFlight > 0
		case st.Failing && now.After(st.ProbeAt):
			x.Probe = j.task.Repeatable
		}
		if suspect && !x.Excluded && e.suspect.Load() {
			x.Excluded, blocked = true, true
		}
		if only != "" && !x.Excluded && e.ID != only {
			x.Excluded, blocked = true, true
		}
		x.SameContent = slices.Contains(on, e)
		if !x.SameContent && spread >= maxContentEndpoints && !x.Excluded {
			x.Excluded, blocked = true, true
		}
		x.Cached = j.task.PrefixKey != 0 && e.cache.has(j.task.PrefixKey)
		c = append(c, x)
	}
	*buf = c
	var d routing.Decision
	if p.d.Policy == PolicyRoundRobin {
		d = routing.RoundRobin(c, p.turn.Add(1))
	} else {
		d = routing.Choose(c, p.request(j, suspect))
	}
	if d.Index < 0 {
		return nil, d.Reason, blocked
	}
	return m.endpoints[d.Index], d.Reason, blocked
}

// distinct counts the different endpoints in the list.
func distinct(on []*endpoint) int {
	n := 0
	for i, e := range on {
		if !slices.Contains(on[:i], e) {
			n++
		}
	}
	return n
}

func (p *pool) request(j *job, suspect bool) routing.Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := routing.Request{Key: j.task.PrefixKey, Prefix: true, AllowProbe: j.task.Repeatable && !suspect && j.attempts.Load() <= 1 && p.budget.MayRetry(),
		DefaultLatency: p.health.Quantiles(j.form).P50, Random: p.rng.Uint64()}
	if r.Key == 0 {
		r.Key, r.Prefix = binary.BigEndian.Uint64(j.fingerprint[:]), false
	}
	return r
}

// observe takes in the outcome of a call.
func (p *pool) observe(e *endpoint, s health.Sample) {
	p.mu.Lock()
	changed := p.health.Observe(time.Now(), &e.health, s, p.rng.Float64())
	e.typical[s.Kind].Store(int64(e.health.MedianLatency(s.Kind)))
	p.publishHealth(changed)
}

// eject ejects an endpoint for a reason found outside of the health decisions.
func (p *pool) eject(e *endpoint, r health.Reason) {
	p.mu.Lock()
	p.publishHealth(p.health.Eject(time.Now(), &e.health, r, p.rng.Float64()))
}

// checkFrozen ejects endpoints whose calls in flight are stuck.
func (p *pool) checkFrozen(e *endpoint) {
	for f := health.Unary; f <= health.Streaming; f++ {
		if oldest, ok := e.oldest(f); ok {
			p.mu.Lock()
			p.publishHealth(p.health.CheckFrozen(time.Now(), &e.health, oldest, f, p.rng.Float64()))
		}
	}
}

// publishHealth copies the statuses to where readers find them without the
// lock, and releases p.mu.
func (p *pool) publishHealth(changed bool) {
	if !changed {
		p.mu.Unlock()
		return
	}
	for _, e := range p.members.Load().endpoints {
		if st := e.health.Status(); st != *e.status.Load() {
			if !st.EjectedUntil.IsZero() && e.status.Load().EjectedUntil != st.EjectedUntil {
				p.counts.ejected(st.Reason)
			}
			e.status.Store(&st)
		}
	}
	p.mu.Unlock()
	p.publishCapacity()
}

// expected predicts the time of one more attempt, queueing included.
func (p *pool) expected(t Task, f health.CallKind) time.Duration {
	p.mu.Lock()
	d := p.health.Quantiles(f).P50
	p.mu.Unlock()
	if p.d.Scheduler != nil {
		d = max(d, p.d.Scheduler.Predict(p.id, t.Stage, t.Rank))
	}
	return d
}
