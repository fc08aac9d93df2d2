package fleet

import (
	"maps"
	"slices"
	"time"

	"eelgrassgrade/internal/core"
)

// totals add up what the live daemons told last. A status replaces the sender's
// previous one, so the work does not depend on the number of daemons.
type totals struct {
	loads map[core.InstanceID]endpointTotal
	// waits holds maps that are never changed, since views share them.
	waits map[StageGroup]map[core.InstanceID][]time.Duration
}

type endpointTotal struct {
	running, prefillTokens int
	// failing counts the daemons that have taken the endpoint out of rotation,
	// tellers those that told of it.
	failing, tellers int
}

func newTotals() *totals {
	return &totals{loads: map[core.InstanceID]endpointTotal{}, waits: map[StageGroup]map[core.InstanceID][]time.Duration{}}
}

// replace takes out what a daemon told before and adds what it tells now. Either
// may be nil.
func (t *totals) replace(before, now *Status) {
	if before != nil {
		for _, l := range before.Loads {
			t.add(l, -1)
		}
		for _, w := range before.Waits {
			if now == nil || !tells(now, w.StageGroup) {
				t.setWait(w.StageGroup, before.Member.ID, nil)
			}
		}
	}
	if now != nil {
		for _, l := range now.Loads {
			t.add(l, 1)
		}
		for _, w := range now.Waits {
			t.setWait(w.StageGroup, now.Member.ID, w.Wait)
		}
	}
}

func (t *totals) add(l EndpointLoad, sign int) {
	sum := t.loads[l.Endpoint]
	sum.tellers += sign
	sum.running += sign * l.Running
	sum.prefillTokens += sign * l.PrefillTokens
	if l.Failing {
		sum.failing += sign
	}
	if sum.tellers == 0 {
		delete(t.loads, l.Endpoint)
		return
	}
	t.loads[l.Endpoint] = sum
}

// sameWork says whether two statuses of a daemon add the same to the totals, as those
// of an idle daemon do.
func sameWork(a, b *Status) bool {
	return slices.Equal(a.Loads, b.Loads) && slices.EqualFunc(a.Waits, b.Waits, func(x, y GroupWait) bool {
		return x.StageGroup == y.StageGroup && slices.Equal(x.Wait, y.Wait)
	})
}

func tells(s *Status, g StageGroup) bool {
	for _, w := range s.Waits {
		if w.StageGroup == g {
			return true
		}
	}
	return false
}

func (t *totals) setWait(g StageGroup, from core.InstanceID, wait []time.Duration) {
	next := make(map[core.InstanceID][]time.Duration, len(t.waits[g])+1)
	maps.Copy(next, t.waits[g])
	if next[from] = wait; wait == nil {
		delete(next, from)
	}
	if t.waits[g] = next; len(next) == 0 {
		delete(t.waits, g)
	}
}

// fill sets the sums of a view.
func (t *totals) fill(v *View) {
	v.Loads = make(map[core.InstanceID]EndpointLoad, len(t.loads))
	for id, l := range t.loads {
		v.Loads[id] = EndpointLoad{Endpoint: id, Running: l.running, PrefillTokens: l.prefillTokens, Failing: l.failing > 0}
	}
	v.Waits = maps.Clone(t.waits)
}
