package repeats

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// daemon is one daemon of a simulated fleet, in its present run.
type daemon struct {
	budget    *Budget
	size      *FleetSize
	startedAt time.Time
	// stopping daemons still serve, but the others do not count them as alive.
	stopping bool
}

// simulatedFleet records the requests and repeats of a pool over all daemons.
type simulatedFleet struct {
	limits            Limits
	now               time.Time
	daemons           []*daemon
	requests, repeats []event
}

type event struct {
	at time.Time
	n  int
}

func (f *simulatedFleet) start() *daemon {
	return &daemon{budget: New(f.limits, f.now), size: NewFleetSize(f.limits.Window), startedAt: f.now}
}

// exchange lets the daemons tell each other how many they are. A daemon that has just
// started knows only itself.
func (f *simulatedFleet) exchange() {
	for _, d := range f.daemons {
		running, reported := 1, 0
		if f.now.Sub(d.startedAt) >= learningTime {
			for _, other := range f.daemons {
				if other != d {
					reported = max(reported, other.size.Observed(f.now))
				}
				if other != d && !other.stopping {
					running++
				}
			}
		}
		d.size.Observe(f.now, running, reported)
	}
}

// advance lets time pass, in which the daemons exchange their statuses.
func (f *simulatedFleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(min(end.Sub(f.now), exchangeInterval))
		f.exchange()
	}
}

const exchangeInterval = 300 * time.Millisecond

// serve lets a daemon get some requests and send as many repeats as it may, up to wanted.
func (f *simulatedFleet) serve(d *daemon, requests, wanted int) {
	d.budget.RecordRequests(f.now, requests)
	f.requests = append(f.requests, event{f.now, requests})
	e := event{at: f.now}
	for e.n < wanted && d.budget.Take(f.now, 1, d.size.Daemons(f.now)).Allowed {
		e.n++
	}
	f.repeats = append(f.repeats, e)
}

// excess returns by how much the repeats of the window that ends now exceed the bound.
func (f *simulatedFleet) excess() float64 {
	count := func(events []event, begin time.Duration) (n int) {
		for _, e := range events {
			if age := f.now.Sub(e.at); age >= begin && age < begin+f.limits.Window {
				n += e.n
			}
		}
		return n
	}
	requests := 0
	for _, begin := range []time.Duration{0, f.limits.Window / 2, f.limits.Window} {
		requests = max(requests, count(f.requests, begin))
	}
	return float64(count(f.repeats, 0)) - f.limits.Ratio*float64(requests) - f.limits.FixedAllowance
}

// Guards against more repeats than the bound over all daemons while daemons are killed,
// stopped and started again and while callers move between daemons: a process starts
// with unused counts, does not know the others yet, and stopping daemons serve on
// without being counted by the others.
func TestTheBoundHoldsWhileDaemonsRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &simulatedFleet{now: time.Unix(1000, 0), limits: Limits{Ratio: 0.2, Window: 10 * time.Second,
			FixedAllowance: float64(rapid.IntRange(0, 60).Draw(t, "allowance"))}}
		n := rapid.IntRange(1, 12).Draw(t, "daemons")
		for range n {
			f.daemons = append(f.daemons, f.start())
		}
		f.advance(time.Minute)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			f.advance(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			d := f.daemons[rapid.IntRange(0, n-1).Draw(t, "daemon")]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				*d = *f.start()
			case 1:
				d.stopping = true
			default:
				f.serve(d, rapid.IntRange(0, 60).Draw(t, "requests"), rapid.IntRange(0, 60).Draw(t, "wanted"))
			}
			if x := f.excess(); x > 0 {
				t.Fatalf("%.1f repeats too many", x)
			}
		}
	})
}

// Guards against requests that earn repeats at two daemons when all callers move from
// one to the other: the first one's repeats and the second one's fall into one window.
func TestCallersThatMoveEarnNoMoreRepeats(t *testing.T) {
	f := &simulatedFleet{now: time.Unix(1000, 0), limits: Limits{Ratio: 0.2, FixedAllowance: 10, Window: 10 * time.Second}}
	f.daemons = []*daemon{f.start(), f.start()}
	f.advance(time.Minute)
	for i := range 20 {
		f.advance(time.Second)
		wanted := 0
		if i == 9 || i == 18 {
			wanted = 1000
		}
		f.serve(f.daemons[i/10], 100, wanted)
		if x := f.excess(); x > 0 {
			t.Errorf("second %d: %.1f repeats too many", i, x)
		}
	}
}

// Guards against a daemon that starts again and again and spends its part of the fixed
// allowance each time.
func TestRestartsDoNotRenewTheAllowance(t *testing.T) {
	for _, lifetime := range []time.Duration{500 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second, 9 * time.Second} {
		f := &simulatedFleet{now: time.Unix(1000, 0), limits: Limits{Ratio: 0.2, FixedAllowance: 50, Window: 10 * time.Second}}
		d := f.start()
		f.daemons = []*daemon{d}
		f.advance(time.Minute)
		lastStart := f.now
		for range 300 {
			f.advance(100 * time.Millisecond)
			f.serve(d, 0, 100)
			if x := f.excess(); x > 0 {
				t.Fatalf("a daemon that lives for %v sends %.1f repeats too many", lifetime, x)
			}
			if f.now.Sub(lastStart) >= lifetime {
				*d, lastStart = *f.start(), f.now
			}
		}
	}
}

// Guards against daemons that stop as planned, one after the other, while those that are
// left take over their parts of the fixed allowance.
func TestStoppingDaemonsKeepTheirPartOfTheAllowance(t *testing.T) {
	f := &simulatedFleet{now: time.Unix(1000, 0), limits: Limits{Ratio: 0.2, FixedAllowance: 50, Window: 10 * time.Second}}
	for range 6 {
		f.daemons = append(f.daemons, f.start())
	}
	f.advance(time.Minute)
	for _, d := range f.daemons {
		d.stopping = true
		f.advance(400 * time.Millisecond)
		for _, d := range f.daemons {
			f.serve(d, 0, 100)
		}
		if x := f.excess(); x > 0 {
			t.Errorf("%.1f repeats too many", x)
		}
	}
}

// Guards against a daemon that starts while others stop and counts only those that
// it still finds, and against a count that never falls again.
func TestFleetSize(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewFleetSize(10 * time.Second)
	if got := s.Daemons(now); got != 1 {
		t.Errorf("%d daemons before any is known, want 1", got)
	}
	s.Observe(now, 2, 6)
	if s.Daemons(now) != 6 || s.Observed(now) != 2 {
		t.Errorf("%d daemons and %d observed, want the 6 that others report and 2", s.Daemons(now), s.Observed(now))
	}
	s.Observe(now, 8, 0)
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{9900 * time.Millisecond, 8}, {11200 * time.Millisecond, 3}} {
		at := now.Add(c.after)
		if s.Observe(at, 3, 0); s.Daemons(at) != c.want {
			t.Errorf("%d daemons after %v, want %d", s.Daemons(at), c.after, c.want)
		}
	}
}
