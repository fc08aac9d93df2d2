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

// endpointTracker keeps the load that this daemon puts on each endpoint and each
// endpoint's health as this daemon sees it.
type endpointTracker struct {
	now    func() time.Time
	events Events

	mu    sync.Mutex
	pools map[core.PoolID]*trackedPool
	loads map[core.InstanceID]*endpointLoad
}

// trackedPool holds the health of a pool's endpoints.
type trackedPool struct {
	health    health.Pool
	endpoints map[core.InstanceID]*health.Endpoint
	// runTimes are the times for which requests are in progress on an endpoint, readTimes
	// those until their first events.
	runTimes, readTimes timeMoments
}

// endpointLoad is the number of this daemon's requests that run on an endpoint and the
// number of their prompt tokens that the endpoint still has to read.
type endpointLoad struct{ running, prefillTokens int }

func newEndpointTracker(now func() time.Time, ev Events) *endpointTracker {
	return &endpointTracker{now: now, events: ev, pools: map[core.PoolID]*trackedPool{}, loads: map[core.InstanceID]*endpointLoad{}}
}

// setEndpoints replaces the endpoints of all pools. Endpoints that remain keep their
// health.
func (t *endpointTracker) setEndpoints(v *endpoints.View) {
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
			p = &trackedPool{endpoints: map[core.InstanceID]*health.Endpoint{}}
			t.pools[id] = p
		}
		next := make(map[core.InstanceID]*health.Endpoint, len(list))
		var members []*health.Endpoint
		for _, e := range list {
			h := p.endpoints[e.ID]
			if h == nil {
				h = &health.Endpoint{}
			}
			next[e.ID] = h
			members = append(members, h)
		}
		p.endpoints = next
		p.health.SetMembers(members)
	}
}

// requestStarted adds a request to an endpoint's load. The caller calls markFirstEvent
// at the request's first event and markEnd at its end.
func (t *endpointTracker) requestStarted(pool core.PoolID, id core.InstanceID, promptTokens int) (markFirstEvent, markEnd func()) {
	startTime := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.loads[id]
	if l == nil {
		l = &endpointLoad{}
		t.loads[id] = l
	}
	l.running++
	l.prefillTokens += promptTokens
	firstSeen, ended := false, false
	markFirstEvent = func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if !firstSeen {
			firstSeen = true
			l.prefillTokens -= promptTokens
			if p := t.pools[pool]; p != nil {
				p.readTimes.observe(t.now().Sub(startTime))
			}
		}
	}
	markEnd = func() {
		markFirstEvent()
		t.mu.Lock()
		defer t.mu.Unlock()
		if ended {
			return
		}
		ended = true
		if p := t.pools[pool]; p != nil {
			p.runTimes.observe(t.now().Sub(startTime))
		}
		if l.running--; l.running == 0 && t.loads[id] == l {
			delete(t.loads, id)
		}
	}
	return markFirstEvent, markEnd
}

// remainingTimes returns the mean times for which requests in progress to a pool still
// will be, and until the first events of those that wait for them.
func (t *endpointTracker) remainingTimes(pool core.PoolID) (run, read time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	if p == nil {
		return defaultFirstEventTime, defaultFirstEventTime
	}
	return p.runTimes.meanRemaining(), p.readTimes.meanRemaining()
}

// report returns this daemon's loads, and the endpoints that it has ejected, for the
// other daemons.
func (t *endpointTracker) report() []fleet.EndpointLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	loads := make([]fleet.EndpointLoad, 0, len(t.loads))
	failing := map[core.InstanceID]bool{}
	for _, p := range t.pools {
		for id, h := range p.endpoints {
			if h.Status().Phase(now) == health.Ejected {
				failing[id] = true
			}
		}
	}
	for id, l := range t.loads {
		loads = append(loads, fleet.EndpointLoad{Endpoint: id, Running: l.running, PrefillTokens: l.prefillTokens, Failing: failing[id]})
		delete(failing, id)
	}
	for id := range failing {
		loads = append(loads, fleet.EndpointLoad{Endpoint: id, Failing: true})
	}
	return loads
}

// localState returns this daemon's load on an endpoint and the endpoint's health.
func (t *endpointTracker) localState(pool core.PoolID, id core.InstanceID) (running, prefillTokens int, status health.Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.loads[id]; l != nil {
		running, prefillTokens = l.running, l.prefillTokens
	}
	if p := t.pools[pool]; p != nil && p.endpoints[id] != nil {
		status = p.endpoints[id].Status()
	}
	return running, prefillTokens, status
}

// observe records how a request ended at an endpoint. down says that the endpoint
// accepts no connections, so that it is ejected at once.
func (t *endpointTracker) observe(pool core.PoolID, id core.InstanceID, sample health.Sample, down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	if p == nil || p.endpoints[id] == nil {
		return
	}
	h := p.endpoints[id]
	now := t.now()
	oldPhase := h.Status().Phase(now)
	if down {
		p.health.Eject(now, h, health.ByCrash, rand.Float64())
	} else {
		p.health.Observe(now, h, sample, rand.Float64())
	}
	status := h.Status()
	if phase := status.Phase(now); phase != oldPhase {
		t.events.EndpointHealth(pool, id, phase != health.Serving, string(status.Reason))
	}
}
