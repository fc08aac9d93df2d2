package shutdown

import (
	"testing"
	"time"
)

// Guards against decisions that change for daemons that do not stop, against requests given
// up that have lost their answer without another try, and against streams that leave a silent
// endpoint for one that could not end in time.
func TestDecide(t *testing.T) {
	began := time.Unix(1000, 0)
	stop := Stop{Began: began, End: began.Add(7700 * time.Millisecond)}
	recent := func(longest time.Duration) Estimate {
		return Estimate{Expected: time.Second, Longest: longest, Samples: minSamples, Age: maxAge}
	}
	for _, c := range []struct {
		name    string
		stop    Stop
		state   State
		at      time.Duration
		limit   time.Duration
		answer  Estimate
		allowed bool
		givenUp bool
	}{
		{"not stopping", Stop{}, NotRun, 0, time.Hour, Estimate{Expected: time.Minute}, true, false},
		{"not stopping, at an endpoint", Stop{}, Unanswered, 0, time.Hour, Estimate{}, true, false},
		{"early", stop, NotRun, earlyTime, time.Hour, Estimate{}, true, false},
		{"early, expected to last longer", stop, NotRun, earlyTime, time.Hour, Estimate{Expected: 5 * time.Second}, false, true},
		{"early in a short stop", Stop{began, began.Add(4 * time.Second)}, NotRun, 1500 * time.Millisecond, time.Hour, Estimate{}, true, false},
		{"late in a short stop", Stop{began, began.Add(4 * time.Second)}, NotRun, 1700 * time.Millisecond, time.Hour, Estimate{}, false, true},
		{"late", stop, NotRun, 4 * time.Second, time.Hour, recent(2 * time.Second), true, false},
		{"late, a longer answer", stop, NotRun, 4 * time.Second, time.Hour, recent(3 * time.Second), false, true},
		{"late, but its time ends before", stop, NotRun, 7 * time.Second, 700 * time.Millisecond, Estimate{}, true, false},
		{"shortly before the end", stop, NotRun, 6300 * time.Millisecond, time.Hour, recent(0), false, true},
		{"has begun", stop, Begun, 7400 * time.Millisecond, time.Hour, Estimate{Expected: time.Minute}, true, false},
		{"has begun, at the end", stop, Begun, 7700 * time.Millisecond, time.Hour, Estimate{}, false, true},
		{"moves", stop, Moving, 6 * time.Second, time.Hour, Estimate{Expected: 1700 * time.Millisecond}, true, false},
		{"does not move", stop, Moving, 6 * time.Second, time.Hour, Estimate{Expected: 1800 * time.Millisecond}, false, false},
		{"gets its answer", stop, Answering, 7690 * time.Millisecond, time.Hour, Estimate{}, false, false},
	} {
		r, now := Request{State: c.state, Answer: c.answer}, began.Add(c.at)
		r.Deadline = now.Add(c.limit)
		if d, up := Decide(now, c.stop, r), GiveUp(now, c.stop, r); d.Allowed != c.allowed || up != c.givenUp {
			t.Errorf("%s: %+v, given up %v; want %v, %v", c.name, d, up, c.allowed, c.givenUp)
		}
	}
}

// Guards against evidence that is older than it says.
func TestTimesForget(t *testing.T) {
	var times Times
	began := time.Unix(1000, 0)
	times.Observe(began, 3*time.Second)
	times.Observe(began.Add(20*time.Second), time.Second)
	for _, c := range []struct {
		at   time.Duration
		want Estimate
	}{
		{21 * time.Second, Estimate{Longest: 3 * time.Second, Samples: 2, Age: time.Second}},
		{36 * time.Second, Estimate{Longest: time.Second, Samples: 1, Age: 16 * time.Second}},
		{90 * time.Second, Estimate{Age: 70 * time.Second}},
	} {
		if got := times.Estimate(began.Add(c.at)); got != c.want {
			t.Errorf("after %v: %+v, want %+v", c.at, got, c.want)
		}
	}
}
