package limits

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(0, 0)

// Guards against a bucket that admits more than its burst and rate allow, loses charges,
// or returns a wrong time until tokens are available.
func TestBucketIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := rapid.Float64Range(0.1, 100).Draw(t, "rate"), rapid.Float64Range(1, 50).Draw(t, "burst")
		b, now, want := NewBucket(rate, burst, epoch), epoch, burst
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			d := time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			now = now.Add(d)
			want = min(burst, want+rate*d.Seconds())
			n := rapid.Float64Range(0, 30).Draw(t, "tokens")
			wait := b.TimeUntil(now, n)
			if (wait == 0) != (want >= min(n, burst)-1e-6) && math.Abs(want-min(n, burst)) > 1e-6 {
				t.Fatalf("%g of %g tokens are available in %v", n, want, wait)
			}
			if rapid.Bool().Draw(t, "sleep") {
				now = now.Add(wait)
				want = min(burst, want+rate*wait.Seconds())
				if b.TimeUntil(now, n) > time.Microsecond {
					t.Fatalf("after the time of %v until the tokens are available, the bucket returns %v more", wait, b.TimeUntil(now, n))
				}
			}
			b.Charge(now, n)
			want -= n
			if got := b.Tokens(now); math.Abs(got-want) > 1e-6 {
				t.Fatalf("bucket holds %g, want %g", got, want)
			}
		}
	})
}

// Guards against daemons that together admit more than the bound in the doc comment
// of Share, while demand moves between daemons at random and totals may become
// unavailable.
func TestExcessOverTheLimitIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 8).Draw(t, "daemons")
		limit := rapid.Float64Range(5, 200).Draw(t, "limit")
		const interval, step = time.Second, 20 * time.Millisecond
		shares, buckets, seen := make([]Share, daemons), make([]*Bucket, daemons), make([]float64, daemons)
		burst := max(1, limit)
		for i := range buckets {
			buckets[i] = NewBucket(limit/float64(daemons), burst, epoch)
		}
		unavailableFrom := rapid.IntRange(2, 30).Draw(t, "cut_at")
		admitted, allowed, steadyIntervals := 0.0, float64(daemons)*burst, 0
		var demand []float64
		for s := range rapid.IntRange(1, 20).Draw(t, "intervals") {
			start := epoch.Add(time.Duration(s) * interval)
			next := rapid.SliceOfN(rapid.Float64Range(0, 3*limit), daemons, daemons).Draw(t, "demand")
			if s > 0 && rapid.Bool().Draw(t, "same") {
				next = demand
				steadyIntervals++
			} else {
				steadyIntervals = 0
			}
			demand = next
			for k := range int(interval / step) {
				now := start.Add(time.Duration(k) * step)
				sum, activeSum, unreported := 0.0, 0.0, 0
				for i := range daemons {
					f := shares[i].Fraction(now, daemons)
					sum += f
					if demand[i] > 0 {
						activeSum += f
					}
					if !shares[i].HasDemand() {
						unreported++
					}
					buckets[i].SetRate(limit*f, burst, now)
					seen[i] += demand[i] * step.Seconds()
					for n := demand[i] * step.Seconds(); n > 0 && buckets[i].TimeUntil(now, min(n, 1)) == 0; n-- {
						buckets[i].Charge(now, min(n, 1))
						admitted += min(n, 1)
					}
				}
				if bound := 1 + float64(unreported)/float64(daemons); sum > bound+1e-9 {
					t.Fatalf("fractions add up to %g, bound %g", sum, bound)
				}
				if steadyIntervals > 0 && s < unavailableFrom && activeSum > 1+1e-9 {
					t.Fatalf("demand is steady and the daemons that have it may admit %g of the limit", activeSum)
				}
				// Shares move while totals are unavailable. The next step's share is
				// at most the sum checked then, so each step allows its larger end.
				allowed += limit * (1 + float64(unreported)/float64(daemons)) * step.Seconds()
				if admitted > allowed+1e-6 {
					t.Fatalf("%v admitted, bound %v after %d intervals", admitted, allowed, s)
				}
			}
			end, total := start.Add(interval), 0.0
			for _, x := range seen {
				total += x
			}
			for i := range daemons {
				if s < unavailableFrom {
					shares[i].SetDemand(end, seen[i], total)
				} else {
					shares[i].MarkUnavailable(end)
				}
				seen[i] = 0
			}
		}
	})
}

// Guards against a share that stays at its last value or changes at once when totals
// become unavailable, and against new demand that gets no share.
func TestShareDecaysWithoutTotals(t *testing.T) {
	var s Share
	if f := s.Fraction(epoch, 4); f != 0.25 {
		t.Errorf("new demand gets a share of %g, want 0.25", f)
	}
	s.SetDemand(epoch, 9, 10)
	s.MarkUnavailable(epoch)
	for age, want := range map[time.Duration]float64{0: 0.9, 5 * time.Second: 0.575, 10 * time.Second: 0.25, time.Hour: 0.25} {
		if f := s.Fraction(epoch.Add(age), 4); math.Abs(f-want) > 1e-9 {
			t.Errorf("%v after totals became unavailable the share is %g, want %g", age, f, want)
		}
	}
	s.SetDemand(epoch, 9, 10)
	if f := s.Fraction(epoch.Add(StaleAfter+DecayTime), 4); f != 0.25 {
		t.Errorf("after the totals became stale the share is %g, want 0.25", f)
	}
}
