package limits

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(0, 0)

// Guards against a bucket that admits more than its burst and rate, that loses
// charges made afterwards, or whose wait is wrong.
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
				t.Fatalf("%g tokens of %g: wait %v", n, want, wait)
			}
			if rapid.Bool().Draw(t, "sleep") {
				now = now.Add(wait)
				want = min(burst, want+rate*wait.Seconds())
				if b.TimeUntil(now, n) > time.Microsecond {
					t.Fatalf("after its wait of %v the bucket asks for %v more", wait, b.TimeUntil(now, n))
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

// Guards against daemons that together admit more than the bound in the doc
// comment of Share: demand moves between daemons at random, and peers may be cut.
func TestOvershootBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := rapid.IntRange(1, 8).Draw(t, "daemons")
		limit := rapid.Float64Range(5, 200).Draw(t, "limit")
		const interval, step = time.Second, 20 * time.Millisecond
		shares, buckets, seen := make([]Share, d), make([]*Bucket, d), make([]float64, d)
		burst := max(1, limit)
		for i := range buckets {
			buckets[i] = NewBucket(limit/float64(d), burst, epoch)
		}
		cutAt := rapid.IntRange(2, 30).Draw(t, "cut_at")
		admitted, allowed, steady := 0.0, float64(d)*burst, 0
		var demand []float64
		for s := range rapid.IntRange(1, 20).Draw(t, "intervals") {
			start := epoch.Add(time.Duration(s) * interval)
			next := rapid.SliceOfN(rapid.Float64Range(0, 3*limit), d, d).Draw(t, "demand")
			if s > 0 && rapid.Bool().Draw(t, "same") {
				next = demand
				steady++
			} else {
				steady = 0
			}
			demand = next
			for k := range int(interval / step) {
				now := start.Add(time.Duration(k) * step)
				sum, active, unknown := 0.0, 0.0, 0
				for i := range d {
					f := shares[i].Fraction(now, d)
					sum += f
					if demand[i] > 0 {
						active += f
					}
					if !shares[i].HasDemand() {
						unknown++
					}
					buckets[i].SetRate(limit*f, burst, now)
					seen[i] += demand[i] * step.Seconds()
					for n := demand[i] * step.Seconds(); n > 0 && buckets[i].TimeUntil(now, min(n, 1)) == 0; n-- {
						buckets[i].Charge(now, min(n, 1))
						admitted += min(n, 1)
					}
				}
				if most := 1 + float64(unknown)/float64(d); sum > most+1e-9 {
					t.Fatalf("fractions add up to %g, at most %g", sum, most)
				}
				if steady > 0 && s < cutAt && active > 1+1e-9 {
					t.Fatalf("demand is steady and the daemons that have it may admit %g of the limit", active)
				}
				// Shares move while peers are cut; the next step's share is at
				// most the sum checked then, so each step allows its larger end.
				allowed += limit * (1 + float64(unknown)/float64(d)) * step.Seconds()
				if admitted > allowed+1e-6 {
					t.Fatalf("%v admitted, bound %v after %d intervals", admitted, allowed, s)
				}
			}
			end, total := start.Add(interval), 0.0
			for _, x := range seen {
				total += x
			}
			for i := range d {
				if s < cutAt {
					shares[i].SetDemand(end, seen[i], total)
				} else {
					shares[i].MarkUnavailable(end)
				}
				seen[i] = 0
			}
		}
	})
}

// Guards against a share that stays at its last value, or drops at once, when
// peers are cut, and against new demand that gets nothing.
func TestShareDecaysWhenPeersAreCut(t *testing.T) {
	var s Share
	if f := s.Fraction(epoch, 4); f != 0.25 {
		t.Errorf("new demand gets %g", f)
	}
	s.SetDemand(epoch, 9, 10)
	s.MarkUnavailable(epoch)
	for at, want := range map[time.Duration]float64{0: 0.9, 5 * time.Second: 0.575, 10 * time.Second: 0.25, time.Hour: 0.25} {
		if f := s.Fraction(epoch.Add(at), 4); math.Abs(f-want) > 1e-9 {
			t.Errorf("%v after the cut the share is %g, want %g", at, f, want)
		}
	}
	s.SetDemand(epoch, 9, 10)
	if f := s.Fraction(epoch.Add(StaleAfter+DecayTime), 4); f != 0.25 {
		t.Errorf("totals that stopped without notice leave a share of %g", f)
	}
}
