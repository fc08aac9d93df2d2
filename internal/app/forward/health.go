package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/health"
)

// tracker keeps what this daemon has in progress on each endpoint and which
// endpoints fail.
type tracker struct {
	now    func() time.Time
	events Events

	mu    sync.Mutex
	pools map[core.PoolID]*trackedPool
	loads map[core.InstanceID]*load
}

type trackedPool struct {
	health  health.Pool
	members map[core.InstanceID]*health.Endpoint
}

type load struct{ running, prefill int }

func newTracker(now func() time.Time, ev Events) *tracker {
	return &tracker{now: now, events: ev, pools: map[core.PoolID]*trackedPool{}, loads: map[core.InstanceID]*load{}}
}

// setMembers replaces the endpoints of all pools.
func (t *tracker) setMembers(v *endpoints.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.pools {
		if _, ok := v.ByPool[id]; !ok {
			delete(t.pools, id)
		}
	}
	for id, list := range v.ByPool {
		p := t.pools[id]
		if p == nil {
			p = &trackedPool{members: map[core.InstanceID]*health.Endpoint{}}
			t.pools[id] = p
		}
		next := make(map[core.InstanceID]*health.Endpoint, len(list))
		var members []*health.Endpoint
		for _, e := range list {
			m := p.members[e.ID]
			if m == nil {
				m = &health.Endpoint{}
			}
			next[e.ID] = m
			members = append(members, m)
		}
		p.members = next
		p.health.SetMembers(members)
	}
}

// begin notes a request on an endpoint; the returned functions note its first
// event and its end.
func (t *tracker) begin(id core.InstanceID, tokens int) (first, end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.loads[id]
	if l == nil {
		l = &load{}
		t.loads[id] = l
	}
	l.running++
	l.prefill += tokens
	read, ended := false, false
	first = func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if !read {
			read = true
			l.prefill -= tokens
		}
	}
	end = func() {
		first()
		t.mu.Lock()
		defer t.mu.Unlock()
		if ended {
			return
		}
		ended = true
		if l.running--; l.running == 0 && t.loads[id] == l {
			delete(t.loads, id)
		}
	}
	return first, end
}

// report returns this daemon's loads for the other daemons.
func (t *tracker) report() []fleet.EndpointLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	out := make([]fleet.EndpointLoad, 0, len(t.loads))
	failing := map[core.InstanceID]bool{}
	for _, p := range t.pools {
		for id, m := range p.members {
			if m.Status().Phase(now) == health.Ejected {
				failing[id] = true
			}
		}
	}
	for id, l := range t.loads {
		out = append(out, fleet.EndpointLoad{Endpoint: id, Running: l.running, PrefillTokens: l.prefill, Failing: failing[id]})
		delete(failing, id)
	}
	for id := range failing {
		out = append(out, fleet.EndpointLoad{Endpoint: id, Failing: true})
	}
	return out
}

// own returns what this daemon has on an endpoint and its health.
func (t *tracker) own(pool core.PoolID, id core.InstanceID) (running, prefill int, s health.Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.loads[id]; l != nil {
		running, prefill = l.running, l.prefill
	}
	if p := t.pools[pool]; p != nil && p.members[id] != nil {
		s = p.members[id].Status()
	}
	return running, prefill, s
}

// observe takes in the end of a request at an endpoint. down says that the
// endpoint did not even accept a connection.
func (t *tracker) observe(pool core.PoolID, id core.InstanceID, s health.Sample, down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	if p == nil || p.members[id] == nil {
		return
	}
	m := p.members[id]
	now := t.now()
	was := m.Status().Phase(now)
	if down {
		p.health.Eject(now, m, health.ByCrash, rand.Float64())
	} else {
		p.health.Observe(now, m, s, rand.Float64())
	}
	is := m.Status()
	if phase := is.Phase(now); phase != was {
		t.events.EndpointHealth(pool, id, phase != health.Serving, string(is.Reason))
	}
}
