package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"eelgrassgrade/internal/core"
)

// Guards against bursts: whatever the times of the requests and the changes of the limit,
// no window may hold more permits than the highest limit in it allows.
func TestBucketHoldsTheLimitInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		b := NewPermitBucket(now)
		limit := rapid.Float64Range(0, 20).Draw(t, "limit")
		highest := limit
		var grants []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				limit = rapid.Float64Range(0, 20).Draw(t, "next limit")
				highest = max(highest, limit)
			}
			if granted, wait := b.Take(now, limit, core.InstanceID(rapid.StringMatching("[a-d]").Draw(t, "daemon")), rapid.IntRange(0, 3).Draw(t, "rank")); granted {
				grants = append(grants, now)
			} else if wait <= 0 || wait > maxWait {
				t.Fatalf("denied with a wait of %v", wait)
			}
		}
		rate := max(highest, 1/probeInterval.Seconds())
		for i := range grants {
			n := 0
			for _, g := range grants[i:] {
				if g.Sub(grants[i]) < Window {
					n++
				}
			}
			if most := basePermits + rate*(Window+burstTime).Seconds(); float64(n) > most+1e-9 {
				t.Fatalf("%d permits in %v, the limit of %v a second allows %.1f", n, Window, highest, most)
			}
		}
	})
}

// Guards against permits that are not granted although the endpoint takes requests: with
// a steady demand above the limit, the endpoint gets what its limit allows.
func TestBucketGrantsTheWholeLimit(t *testing.T) {
	for _, perSecond := range []float64{0.3, 1, 2.5, 40} {
		now, granted := start, 0
		b := NewPermitBucket(now)
		const seconds = 60
		for range 100 * seconds {
			now = now.Add(10 * time.Millisecond)
			if ok, _ := b.Take(now, perSecond, "d", 3); ok {
				granted++
			}
		}
		if want := perSecond*seconds - 1; float64(granted) < want {
			t.Errorf("%d permits in %d s at %v a second, want %.0f or more", granted, seconds, perSecond, want)
		}
	}
}

// Guards against requests sent before the limit was known that do not count against it,
// and against an endpoint that gets nothing for long because of them.
func TestEarlierRequestsCountForAShortTime(t *testing.T) {
	firstGrant := func(charged int) time.Duration {
		b := NewPermitBucket(start)
		b.Charge(start, 2, charged)
		for now := start; ; now = now.Add(10 * time.Millisecond) {
			if ok, _ := b.Take(now, 2, "d", 0); ok {
				return now.Sub(start).Round(50 * time.Millisecond)
			}
		}
	}
	if a, b, c := firstGrant(0), firstGrant(1), firstGrant(1000); a != 500*time.Millisecond || b != time.Second || c != ChargedTime+500*time.Millisecond {
		t.Errorf("first permits after %v, %v and %v", a, b, c)
	}
}

// Guards against an endpoint that named a limit of zero and gets no request ever again,
// since only an answer can tell that the limit has ended.
func TestALimitOfZeroIsProbed(t *testing.T) {
	b := NewPermitBucket(start)
	for i, c := range []struct {
		after time.Duration
		want  bool
	}{{0, false}, {probeInterval - time.Second, false}, {probeInterval, true}, {probeInterval + time.Second, false}, {2 * probeInterval, true}} {
		if got, _ := b.Take(start.Add(c.after), 0, "d", 0); got != c.want {
			t.Errorf("%d: permit after %v: %v", i, c.after, got)
		}
	}
}

// Guards against daemons that are all told to return for the same permit.
func TestDeniedDaemonsReturnOneAfterTheOther(t *testing.T) {
	b := NewPermitBucket(start)
	for i := range 8 {
		_, wait := b.Take(start, 2, core.InstanceID(fmt.Sprint("d", i)), 0)
		if want := min(time.Duration(i+1)*500*time.Millisecond, maxWait); wait != want {
			t.Errorf("daemon %d waits for %v, want %v", i, wait, want)
		}
	}
}

// Guards against urgent requests that are denied while less urgent ones get the permits,
// in a flood of the least urgent work, and against less urgent ones that get none.
func TestUrgentRequestsGetThePermitsFirst(t *testing.T) {
	for _, c := range []struct {
		urgentPerSecond, bulkPerSecond int
		least, most                    float64 // of the urgent requests' share of all permits
	}{{2, 50, 0.4, 0.55}, {50, 2, 0.7, 0.95}, {50, 50, 0.7, 0.95}, {0, 50, 0, 0}} {
		now, granted := start, [2]int{}
		b := NewPermitBucket(now)
		const seconds, perSecond = 100, 4
		// A daemon asks again after its wait, for the next request of the rank.
		var blockedUntil [2]time.Time
		for ms := range 1000 * seconds {
			now = now.Add(time.Millisecond)
			for i, rate := range []int{c.bulkPerSecond, c.urgentPerSecond} {
				if rate == 0 || ms%(1000/rate) != 0 || now.Before(blockedUntil[i]) {
					continue
				}
				ok, wait := b.Take(now, perSecond, "d", 5*(1-i))
				if ok {
					granted[i]++
				} else {
					blockedUntil[i] = now.Add(wait)
				}
			}
		}
		total := granted[0] + granted[1]
		if share := float64(granted[1]) / float64(total); share < c.least || share > c.most {
			t.Errorf("%d urgent and %d bulk requests a second: %.2f of %d permits went to urgent ones, want %.2f to %.2f", c.urgentPerSecond, c.bulkPerSecond, share, total, c.least, c.most)
		}
		if want := perSecond * seconds * 9 / 10; total < want {
			t.Errorf("%d urgent and %d bulk requests a second: %d permits, want %d or more", c.urgentPerSecond, c.bulkPerSecond, total, want)
		}
	}
}
