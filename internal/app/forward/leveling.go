package forward

import (
	"math/rand/v2"
	"time"

	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/leveling"
	"eelgrassgrade/internal/decide/placement"
)

// slotRunTime is the assumed run time of a request on an endpoint that is no engine. Such
// an endpoint runs one request per slot without batching, so each further request delays a
// new one by its own run time.
const slotRunTime = 50 * time.Millisecond

// candidateSet holds candidates and, in the same order, what is known of their loads.
type candidateSet struct {
	list    []placement.Candidate
	figures []leveling.Figures
}

func (s *candidateSet) add(c placement.Candidate, figures leveling.Figures) {
	s.list, s.figures = append(s.list, c), append(s.figures, figures)
}

// figuresOf returns what is known of an endpoint's load. running and prefillTokens are
// this daemon's own.
func figuresOf(now time.Time, v *fleet.View, id core.InstanceID, running, prefillTokens int) leveling.Figures {
	load := v.Loads[id]
	// A faulty daemon may report a negative load.
	f := leveling.Figures{Own: running, OwnTokens: prefillTokens, Told: max(load.Running, 0), ToldTokens: max(load.PrefillTokens, 0)}
	if v.Ages != nil {
		age, sinceView := v.Ages[id], now.Sub(v.BuiltAt)
		f.Age, f.TokensAge = age.Running+sinceView, age.PrefillTokens+sinceView
	}
	return f
}

// levels reports whether loads are leveled for a request. Once more than levelAbove daemons
// were known to run, they are for good: a daemon that is cut off from the others chooses
// beside them still.
//
// Requests that have an affinity endpoint are left out. They come to it however loaded it
// is, so that its reported load is a lasting one, and the age of the report says little.
func (f *Forwarder) levels(prompt placement.Prompt) bool {
	if f.levelAbove == 0 || len(prompt.Parts) > 0 {
		return false
	}
	if !f.leveling.Load() && f.daemonCount() > f.levelAbove {
		f.leveling.Store(true)
	}
	return f.leveling.Load()
}

// order returns the candidates, best first.
func (f *Forwarder) order(prompt placement.Prompt, rs *requestState, s *candidateSet) []placement.Candidate {
	pool := rs.snapshot.Pool(rs.pool)
	queues := pool != nil && pool.Engine == nil
	leveled := f.levels(prompt)
	if leveled {
		f.estimateLoads(rs.pool, queues, s)
	}
	for i := range s.list {
		if c := &s.list[i]; queues && c.Slots > 0 {
			c.ExtraCost += time.Duration(c.Running) * slotRunTime / time.Duration(c.Slots)
		}
	}
	ordered := placement.Order(prompt, s.list)
	if !leveled || len(ordered) == 0 {
		return ordered
	}
	best := leveling.Pick(len(ordered), func(i int) (time.Duration, float64) { return ordered[i].Cost, ordered[i].Weight }, rand.Float64())
	return moveToFront(ordered, best)
}

// estimateLoads replaces the loads of the candidates of a pool, which are sums of figures
// of different ages, by estimates of the present ones. queues says that the endpoints run
// one request per slot.
func (f *Forwarder) estimateLoads(id core.PoolID, queues bool, s *candidateSet) {
	run, read := f.tracker.remainingTimes(id)
	p := leveling.Pool{RunTime: run, ReadTime: read, CostPerRequest: placement.CostPerRunning, CostPerToken: placement.PrefillTime(1)}
	if queues && len(s.list) > 0 && s.list[0].Slots > 0 {
		p.CostPerRequest += slotRunTime / time.Duration(s.list[0].Slots)
	}
	estimates := leveling.Estimates(make([]leveling.Estimate, 0, len(s.figures)), s.figures, p)
	for i, e := range estimates {
		c := &s.list[i]
		c.Running, c.PrefillTokens, c.Weight = e.Running, e.Tokens, e.Weight
		c.ExtraCost += e.Fill
	}
}

// Spreads returns how evenly the requests of each pool lie on its endpoints, as far as this
// daemon knows. Pools without requests are left out.
func (f *Forwarder) Spreads() map[core.PoolID]leveling.Spread {
	now, view, fleetView := f.now(), f.view(), f.fleet()
	spreads := make(map[core.PoolID]leveling.Spread, len(view.ByPool))
	for id, entries := range view.ByPool {
		var s leveling.Spread
		for _, e := range entries {
			running, tokens, _ := f.tracker.localState(id, e.ID)
			s.Add(figuresOf(now, fleetView, e.ID, running, tokens), e.Slots)
		}
		if s.Highest > 0 {
			spreads[id] = s
		}
	}
	return spreads
}
