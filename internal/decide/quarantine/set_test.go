package quarantine

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

type clock struct{ t time.Time }

func (c *clock) now() time.Time { return c.t }

func newSet() (*Set, *clock) {
	c := &clock{time.Unix(1000, 0)}
	return New(c.now), c
}

// fp returns the fingerprint of content n.
func fp(n int) (f [32]byte) {
	f[0], f[1] = byte(n), byte(n>>8)
	return f
}

// crash records a crash of an endpoint that ran the contents. suspect says that
// they ran as suspects.
func crash(s *Set, suspect bool, contents ...int) {
	var inFlight []InFlight
	for _, n := range contents {
		inFlight = append(inFlight, InFlight{fp(n), suspect})
	}
	s.Crash("p", inFlight)
}

func expect(t *testing.T, s *Set, n int, want State) {
	t.Helper()
	if got, _ := s.Lookup("p", fp(n)); got != want {
		t.Errorf("content %d: state %d, want %d", n, got, want)
	}
}

// Guards against a content that goes on crashing endpoints, and against suspects
// that stay suspects after a successful run.
func TestSecondCrashQuarantinesAndSuccessClears(t *testing.T) {
	s, c := newSet()
	crash(s, false, 1, 2)
	expect(t, s, 1, Suspect)
	s.Clear("p", fp(2))
	crash(s, true, 1)
	expect(t, s, 1, Quarantined)
	expect(t, s, 2, Unknown)
	s.Clear("p", fp(1))
	expect(t, s, 1, Quarantined)
	crash(s, false, 2)
	expect(t, s, 2, Suspect)
	c.t = c.t.Add(Duration)
	expect(t, s, 1, Unknown)
}

// Guards against quarantining a harmless content that twice ran on the same
// endpoint as the one that crashes endpoints, before the first crash was known.
func TestCrashSharedByTwoSuspectsQuarantinesNeither(t *testing.T) {
	s, _ := newSet()
	crash(s, false, 1, 2)
	crash(s, false, 1, 2)
	expect(t, s, 1, Suspect)
	expect(t, s, 2, Suspect)
	crash(s, false, 1, 3)
	expect(t, s, 1, Quarantined)
	expect(t, s, 2, Suspect)
	expect(t, s, 3, Suspect)
}

// Guards against two sets that still differ after each was merged into the other:
// daemons would send them again with every exchange.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, ca := newSet()
		b, cb := newSet()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			s := a
			if rapid.Bool().Draw(t, "on b") {
				s = b
			}
			n := rapid.IntRange(0, 5).Draw(t, "content")
			if rapid.Bool().Draw(t, "crash") {
				crash(s, rapid.Bool().Draw(t, "suspect"), n)
			} else {
				s.Clear("p", fp(n))
			}
			d := time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond
			ca.t, cb.t = ca.t.Add(d), cb.t.Add(d)
		}
		ea, eb := a.Entries(), b.Entries()
		a.Merge(eb)
		b.Merge(ea)
		if a.Hash() != b.Hash() {
			t.Fatalf("sets differ after an exchange:\n%v\n%v", a.Entries(), b.Entries())
		}
		if changed := a.Merge(b.Entries()); len(changed) != 0 {
			t.Fatalf("a second exchange changed %v", changed)
		}
	})
}

// Guards against a set that grows without bound.
func TestBounds(t *testing.T) {
	s, c := newSet()
	for n := range MaxSuspects + 50 {
		c.t = c.t.Add(time.Millisecond)
		crash(s, false, n)
	}
	if got := len(s.Entries()); got != MaxSuspects {
		t.Errorf("%d suspects, want %d", got, MaxSuspects)
	}
	expect(t, s, 0, Unknown)
	for n := range MaxQuarantined + 50 {
		c.t = c.t.Add(time.Millisecond)
		crash(s, true, 1000+n)
	}
	quarantined := 0
	for _, e := range s.Entries() {
		if e.Crashes >= quarantineCrashes {
			quarantined++
		}
	}
	if quarantined != MaxQuarantined {
		t.Errorf("%d quarantined, want %d", quarantined, MaxQuarantined)
	}
}
