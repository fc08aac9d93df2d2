package repeats

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against more repeats in any window than the bound over all daemons allows,
// however requests and failures are distributed over daemons and time.
func TestAllDaemonsTogetherKeepTheBound(t *testing.T) {
	limits := Limits{Ratio: 0.2, FixedAllowance: 56, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "daemons")
		var daemons []*Budget
		for range n {
			daemons = append(daemons, New(limits, time.Unix(900, 0)))
		}
		type event struct {
			at                time.Time
			requests, repeats int
		}
		var events []event
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			b := daemons[rapid.IntRange(0, n-1).Draw(t, "daemon")]
			e := event{at: now, requests: rapid.IntRange(0, 20).Draw(t, "requests")}
			b.RecordRequests(now, e.requests)
			for range rapid.IntRange(0, 20).Draw(t, "failures") {
				if b.Take(now, 1, n).Allowed {
					e.repeats++
				}
			}
			events = append(events, e)
			// The bound uses the requests of the current window, the previous one or the
			// one that ended half a window ago, whichever has most.
			repeats, windows := 0, [3]int{}
			for _, x := range events {
				age := now.Sub(x.at)
				if age < limits.Window {
					repeats += x.repeats
				}
				for i, begin := range []time.Duration{0, limits.Window / 2, limits.Window} {
					if age >= begin && age < begin+limits.Window {
						windows[i] += x.requests
					}
				}
			}
			requests := max(windows[0], windows[1], windows[2])
			if float64(repeats) > limits.Ratio*float64(requests)+limits.FixedAllowance {
				t.Fatalf("%d repeats in a window with at most %d requests", repeats, requests)
			}
		}
	})
}

// Guards against a budget that stays exhausted after a window without repeats.
func TestTheBudgetRecovers(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Limits{FixedAllowance: 10, Window: 10 * time.Second}, now.Add(-time.Minute))
	taken := 0
	for b.Take(now, 1, 1).Allowed {
		taken++
	}
	if taken == 0 {
		t.Fatal("no repeat is allowed")
	}
	now = now.Add(12 * time.Second)
	if !b.Take(now, 1, 1).Allowed {
		t.Error("no repeat is allowed after a window")
	}
}

// While an endpoint is slow for a long time, the calls that are repeated only because
// of that must leave repeats for requests that fail without one.
func TestOptionalRepeatsLeaveHalf(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Limits{FixedAllowance: 100, Window: 10 * time.Second}, now.Add(-time.Minute))
	optional, needed := 0, 0
	for b.TakeOptional(now, 1, 1).Allowed {
		optional++
	}
	for b.Take(now, 1, 1).Allowed {
		needed++
	}
	if optional != 30 || needed != 30 {
		t.Errorf("%d optional and %d needed repeats, want 30 each", optional, needed)
	}
}
