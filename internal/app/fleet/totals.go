package fleet

import (
	"maps"
	"slices"
	"time"

	"eelgrassgrade/internal/core"
)

// totals sums up the latest statuses of the live daemons. A new status only replaces the
// sender's previous one, so the cost does not depend on the number of daemons.
type totals struct {
	loads map[core.InstanceID]endpointTotal
	// waits holds inner maps that are never modified, since views share them.
	waits map[StageGroup]map[core.InstanceID][]time.Duration
}

type endpointTotal struct {
	running, prefillTokens int
	// runningTimes and tokenTimes are the sums of running and prefillTokens, each
	// multiplied by the time of its report in milliseconds since the fleet's start.
	runningTimes, tokenTimes int64
	// failing counts the daemons that have taken the endpoint out of rotation,
	// reporters all daemons that report a load on it.
	failing, reporters int
}

func newTotals() *totals {
	return &totals{loads: map[core.InstanceID]endpointTotal{}, waits: map[StageGroup]map[core.InstanceID][]time.Duration{}}
}

// replace subtracts a daemon's previous status and adds its new one, which were received
// at the given times in milliseconds since the fleet's start. Either may be nil.
func (t *totals) replace(before *Status, beforeMs int64, after *Status, afterMs int64) {
	if before != nil {
		for _, l := range before.Loads {
			t.add(l, -1, beforeMs)
		}
		for _, w := range before.Waits {
			if after == nil || !hasWait(after, w.StageGroup) {
				t.setWait(w.StageGroup, before.Member.ID, nil)
			}
		}
	}
	if after != nil {
		for _, l := range after.Loads {
			t.add(l, 1, afterMs)
		}
		for _, w := range after.Waits {
			t.setWait(w.StageGroup, after.Member.ID, w.Wait)
		}
	}
}

func (t *totals) add(l EndpointLoad, sign int, atMs int64) {
	sum := t.loads[l.Endpoint]
	sum.reporters += sign
	sum.running += sign * l.Running
	sum.prefillTokens += sign * l.PrefillTokens
	sum.runningTimes += int64(sign*l.Running) * atMs
	sum.tokenTimes += int64(sign*l.PrefillTokens) * atMs
	if l.Failing {
		sum.failing += sign
	}
	if sum.reporters == 0 {
		delete(t.loads, l.Endpoint)
		return
	}
	t.loads[l.Endpoint] = sum
}

// sameLoad says whether two statuses of a daemon contribute the same to the totals, as
// those of an idle daemon do.
func sameLoad(a, b *Status) bool {
	return slices.Equal(a.Loads, b.Loads) && slices.EqualFunc(a.Waits, b.Waits, func(x, y GroupWait) bool {
		return x.StageGroup == y.StageGroup && slices.Equal(x.Wait, y.Wait)
	})
}

// hasWait says whether the status contains the waits of the group.
func hasWait(s *Status, g StageGroup) bool {
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

// fillAges sets the ages of a view's loads, nowMs after the fleet's start.
func (t *totals) fillAges(v *View, nowMs int64) {
	v.Ages = make(map[core.InstanceID]LoadAge, len(t.loads))
	for id, l := range t.loads {
		v.Ages[id] = LoadAge{meanAge(nowMs, l.runningTimes, l.running), meanAge(nowMs, l.tokenTimes, l.prefillTokens)}
	}
}

// meanAge returns the mean age of reports. times is the sum of their times by weight, in
// the unit of nowMs.
func meanAge(nowMs, times int64, weight int) time.Duration {
	if weight <= 0 {
		return 0
	}
	return max(time.Duration(nowMs-times/int64(weight))*time.Millisecond, 0)
}

// fillView sets the loads and waits of a view.
func (t *totals) fillView(v *View) {
	v.Loads = make(map[core.InstanceID]EndpointLoad, len(t.loads))
	for id, l := range t.loads {
		v.Loads[id] = EndpointLoad{Endpoint: id, Running: l.running, PrefillTokens: l.prefillTokens, Failing: l.failing > 0}
	}
	v.Waits = maps.Clone(t.waits)
}
