package repeats

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against more repeats in any window than the bound over all daemons
// allows, however requests and failures fall on the daemons.
func TestAllDaemonsTogetherKeepTheBound(t *testing.T) {
	limits := Limits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "daemons")
		var daemons []*Budget
		for range n {
			daemons = append(daemons, New(limits))
		}
		type event struct {
			at               time.Time
			requests, repeat int
		}
		var events []event
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			b := daemons[rapid.IntRange(0, n-1).Draw(t, "daemon")]
			e := event{at: now, requests: rapid.IntRange(0, 20).Draw(t, "requests")}
			b.Request(now, e.requests)
			for range rapid.IntRange(0, 20).Draw(t, "failures") {
				if b.Take(now, 1, n) {
					e.repeat++
				}
			}
			events = append(events, e)
			// The bound counts the requests of the window, of the one before it or of
			// the one half a window before it, whichever has most.
			repeats, windows := 0, [3]int{}
			for _, x := range events {
				age := now.Sub(x.at)
				if age < limits.Window {
					repeats += x.repeat
				}
				for i, begin := range []time.Duration{0, limits.Window / 2, limits.Window} {
					if age >= begin && age < begin+limits.Window {
						windows[i] += x.requests
					}
				}
			}
			requests := max(windows[0], windows[1], windows[2])
			if float64(repeats) > limits.Ratio*float64(requests)+limits.Slack {
				t.Fatalf("%d repeats in a window with %d requests", repeats, requests)
			}
		}
	})
}

// Guards against a budget that never recovers after an idle time.
func TestTheBudgetRecovers(t *testing.T) {
	b, now := New(Limits{Slack: 10, Window: 10 * time.Second}), time.Unix(1000, 0)
	taken := 0
	for b.Take(now, 1, 1) {
		taken++
	}
	if taken == 0 {
		t.Fatal("nothing is allowed")
	}
	now = now.Add(12 * time.Second)
	if !b.Take(now, 1, 1) {
		t.Error("nothing is allowed after a window")
	}
}

// Pattern: an endpoint is slow for long. The calls that are made again only for
// that must leave repeats for requests that fail without one.
func TestSpareRepeatsLeaveHalf(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Limits{Slack: 100, Window: 10 * time.Second})
	spare, needed := 0, 0
	for b.TakeOptional(now, 1, 1) {
		spare++
	}
	for b.Take(now, 1, 1) {
		needed++
	}
	if spare != 30 || needed != 30 {
		t.Errorf("%d spare and %d other repeats of 60", spare, needed)
	}
}
