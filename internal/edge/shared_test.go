package edge

import (
	"context"
	"testing"
	"time"

	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/app/mirror"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/repeats"
)

// Guards against entries of ended daemons that stay forever, and against removing the
// entry of a daemon that is only cut off or restarting.
func TestEntriesOfStaleDaemonsAreRemoved(t *testing.T) {
	listed := &mirror.Snapshot{Rows: map[string]mirror.Row{"a": {}, "b": {}, "c": {}}}
	now, missingSince := time.Unix(1000, 0), map[string]time.Time{}
	alive := []fleet.Member{{ID: "a"}, {ID: "b"}}
	if got := staleDaemons(now, missingSince, listed, alive); len(got) != 0 {
		t.Errorf("removed at once: %v", got)
	}
	// b is missing for a while and returns.
	staleDaemons(now.Add(time.Minute), missingSince, listed, alive[:1])
	staleDaemons(now.Add(10*time.Minute), missingSince, listed, alive)
	if got := staleDaemons(now.Add(staleAfter), missingSince, listed, alive[:1]); len(got) != 1 || got[0] != "c" {
		t.Errorf("after %v: %v, want c alone", staleAfter, got)
	}
	delete(listed.Rows, "c")
	staleDaemons(now.Add(staleAfter), missingSince, listed, alive)
	if len(missingSince) != 0 {
		t.Errorf("a removed entry is still tracked: %v", missingSince)
	}
}

// Guards against a daemon that uses the allowance of all daemons by itself.
func TestTheAllowanceIsShared(t *testing.T) {
	limits := repeats.Limits{FixedAllowance: 80, Window: 10 * time.Second}
	count := func(daemons int) int {
		b, n := newRequestBudgets(limits, func() int { return daemons }, time.Now().Add(-time.Minute)), 0
		for b.Take("p", 1).Allowed {
			n++
		}
		return n
	}
	if all, part := count(1), count(8); part*8 > int(limits.FixedAllowance) || part == 0 || all <= part {
		t.Errorf("one of 8 daemons may repeat %d calls, a single one %d, of %g", part, all, limits.FixedAllowance)
	}
}

// Guards against coordinators of a pool that together use more than its allowance: each
// group has one, and a group gets another one when a daemon is lost.
func TestTheAllowanceOfAStagePoolIsSharedByItsCoordinators(t *testing.T) {
	limits := repeats.Limits{FixedAllowance: 80, Window: 10 * time.Second}
	const groups, coordinatorsOfEach = 5, 3
	used := 0
	for range groups * coordinatorsOfEach {
		b := newStageBudgets(limits, func(core.PoolID) int { return groups })
		for b.Take("p", 1).Allowed {
			used++
		}
	}
	if used > int(limits.FixedAllowance) {
		t.Errorf("%d pieces repeated by the coordinators of a pool, allowed %g", used, limits.FixedAllowance)
	}
}

// Guards against a daemon that is paused while it stops and that closes its listener as
// soon as it resumes: connections that were opened during the pause would be reset.
func TestAPauseDoesNotShortenTheStop(t *testing.T) {
	now := time.Unix(1000, 0)
	began, sleeps := now, 0
	linger(context.Background(), lingerTime, func() time.Time { return now }, func(d time.Duration) {
		if sleeps++; sleeps == 3 {
			d += 10 * time.Second
		}
		now = now.Add(d)
	})
	if ran := now.Sub(began) - 10*time.Second; ran < lingerTime-200*time.Millisecond {
		t.Errorf("served for %v without the pause, want %v", ran, lingerTime)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	linger(ended, lingerTime, time.Now, func(time.Duration) { t.Error("waits although the context has ended") })
}

// Guards against a daemon that relies on unreachable store pollers until a configuration
// is overdue, and against one that ends and restarts the fallback with each answer that
// it gets from the store itself.
func TestStoreFallbackStartsSoonAndLasts(t *testing.T) {
	var s storeFallback
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	if s.active(at(1900*time.Millisecond), start) {
		t.Error("the fallback is active 1.9 s after an answer")
	}
	if !s.active(at(2100*time.Millisecond), start) {
		t.Error("the fallback is not active 2.1 s after the last answer")
	}
	if !s.active(at(6*time.Second), at(6*time.Second)) {
		t.Error("the store's answer to this daemon ends the fallback")
	}
	if s.active(at(13*time.Second), at(13*time.Second)) {
		t.Error("the fallback is still active long after it should have ended")
	}
}
