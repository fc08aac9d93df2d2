package repeats

import (
	"testing"
	"time"
	"unsafe"
)

// stepped returns t as a process sees it after the time of day was set forward by d: the
// wall clock reading changes and the monotonic one does not. No API creates such a
// time, so stepped changes the wall clock seconds in the representation of t, which
// begin at bit 30.
func stepped(t time.Time, d time.Duration) time.Time {
	wall := (*uint64)(unsafe.Pointer(&t))
	*wall += uint64(int64(d/time.Second)) << 30
	return t
}

// Guards against a budget that is available a second time, or never again, after the
// time of day was set.
func TestTheBudgetIgnoresChangesOfTheTimeOfDay(t *testing.T) {
	for _, step := range []time.Duration{time.Minute, -time.Minute} {
		now := time.Now()
		b := New(Limits{FixedAllowance: 10, Window: 10 * time.Second}, now.Add(-time.Minute))
		if got := stepped(now, step); got.Round(0).Sub(now.Round(0)) != step || got.Sub(now) != 0 {
			t.Fatalf("the stepped time is %v later, %v by the monotonic clock", got.Round(0).Sub(now.Round(0)), got.Sub(now))
		}
		taken := 0
		for i := range 40 {
			if i == 20 {
				now = stepped(now, step)
			}
			if b.Take(now, 1, 1).Allowed {
				taken++
			}
		}
		if taken != 6 {
			t.Errorf("%d repeats allowed around a clock step of %v, want 6", taken, step)
		}
		now = now.Add(20 * time.Second)
		if !b.Take(now, 1, 1).Allowed {
			t.Errorf("no repeat is allowed 20 s after a clock step of %v", step)
		}
	}
}
