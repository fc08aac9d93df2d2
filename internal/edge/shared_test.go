package edge

import (
	"context"
	"testing"
	"time"

	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/app/mirror"
	"eelgrassgrade/internal/decide/repeats"
)

// Guards against entries of replaced daemons that stay for good, and against
// removing one that is only cut off or restarts.
func TestEntriesOfGoneDaemonsAreRemovedLate(t *testing.T) {
	listed := &mirror.Snapshot{Rows: map[string]mirror.Row{"a": {}, "b": {}, "c": {}}}
	now, unheard := time.Unix(1000, 0), map[string]time.Time{}
	alive := []fleet.Member{{ID: "a"}, {ID: "b"}}
	if got := gone(now, unheard, listed, alive); len(got) != 0 {
		t.Errorf("removed at once: %v", got)
	}
	// b is silent for a while and comes back.
	gone(now.Add(time.Minute), unheard, listed, alive[:1])
	gone(now.Add(10*time.Minute), unheard, listed, alive)
	if got := gone(now.Add(goneAfter), unheard, listed, alive[:1]); len(got) != 1 || got[0] != "c" {
		t.Errorf("after %v: %v, want c alone", goneAfter, got)
	}
	delete(listed.Rows, "c")
	gone(now.Add(goneAfter), unheard, listed, alive)
	if len(unheard) != 0 {
		t.Errorf("remembered: %v", unheard)
	}
}

// Guards against a daemon that takes the allowance of all for itself.
func TestTheAllowanceIsShared(t *testing.T) {
	limits := repeats.Limits{FixedAllowance: 80, Window: 10 * time.Second}
	count := func(daemons int) int {
		b, n := newBudgets(limits, func() int { return daemons }), 0
		for b.Take("p", 1) {
			n++
		}
		return n
	}
	if all, part := count(1), count(8); part*8 > int(limits.FixedAllowance) || part == 0 || all <= part {
		t.Errorf("one of 8 daemons may repeat %d calls, a single one %d, of %g", part, all, limits.FixedAllowance)
	}
}

// Guards against a daemon that was paused while it stops and closes its listener
// at once when it wakes: connections that came in the pause are reset.
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
		t.Errorf("served for %v beside the pause, want %v", ran, lingerTime)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	linger(ended, lingerTime, time.Now, func(time.Duration) { t.Error("waits after the time to stop is over") })
}

// Guards against a daemon that waits for readers of the store out of its reach
// until a configuration is overdue, and against one that stops and starts reading
// with each of its own answers.
func TestADaemonIsAloneSoonAndForAWhile(t *testing.T) {
	var s solitude
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	if s.at(at(1900*time.Millisecond), start) {
		t.Error("alone 1.9 s after an answer")
	}
	if !s.at(at(2100*time.Millisecond), start) {
		t.Error("not alone 2.1 s after the last answer")
	}
	if !s.at(at(6*time.Second), at(6*time.Second)) {
		t.Error("the daemon's own answer ends its reading")
	}
	if s.at(at(13*time.Second), at(13*time.Second)) {
		t.Error("still alone long after others are heard")
	}
}
