package edge

import (
	"testing"
	"time"
)

// Guards against a daemon that is starved of processor time, notices the signal to stop late
// and is killed before it has answered: the time for the stop counts from the signal.
func TestAStarvedDaemonEndsItsStopEarlier(t *testing.T) {
	const within = 8 * time.Second
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name string
		// ran holds the times at which the process ran, in ms; it should have each 500 ms.
		ran []int
		// queued is how long after its timer the process ran each time.
		queued          int
		signal, noticed int
		// earliest is when the stop may end at the earliest.
		earliest int
	}{
		{"in time", []int{500, 1000, 1500, 2000}, 0, 2100, 2100, 2100 + 7700},
		{"late at the signal", []int{500, 1000, 1500, 2000}, 0, 2100, 3600, 2100 + 7500},
		{"late before the signal", []int{1200, 2400, 3600}, 0, 3600, 4300, 4300 + 7700 - 3*700},
		{"a short pause at the signal", []int{500, 1000}, 0, 1050, 1490, 1490 + 7300},
		{"as late each time", []int{1100, 1600, 2100, 2600}, 600, 2600, 3500, 3500 + 7700 - 3*600},
		{"two pauses before the signal", []int{500, 2000, 2500, 4000, 4500, 5000}, 0, 5100, 5100, 5100 + 7700},
		{"a pause before the signal", []int{500, 1000, 4500, 5000}, 0, 5100, 5100, 5100 + 7700},
		{"a pause that outlasts the stop", []int{500, 1000}, 0, 1100, 30_000, 0},
	} {
		m := newDelayMonitor(500*time.Millisecond, start)
		for _, ms := range c.ran {
			m.observe(at(ms), at(ms-c.queued))
		}
		end := planStop(at(c.noticed), m.delay(at(c.noticed)), within).End
		if last := at(c.signal).Add(within - abortTime); c.noticed-c.signal < 5000 && end.After(last) {
			t.Errorf("%s: the stop ends %v after the signal", c.name, end.Sub(at(c.signal)))
		}
		if end.Before(at(c.earliest)) || end.Before(at(c.noticed)) {
			t.Errorf("%s: the stop ends %v after the signal, %v after it was noticed", c.name, end.Sub(at(c.signal)), end.Sub(at(c.noticed)))
		}
	}
}
