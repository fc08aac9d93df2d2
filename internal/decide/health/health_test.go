package health

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// poolFixture is a pool of n endpoints with a clock that the test moves.
type poolFixture struct {
	*testing.T
	Pool
	members []*Endpoint
	now     time.Time
}

func newPoolFixture(t *testing.T, n int) *poolFixture {
	f := &poolFixture{T: t, now: time.Unix(1000, 0)}
	for range n {
		f.members = append(f.members, &Endpoint{})
	}
	f.SetMembers(f.members)
	return f
}

// call records the outcome of a call to endpoint i, a millisecond later.
func (f *poolFixture) call(i int, ok bool, d time.Duration) {
	f.now = f.now.Add(ms)
	f.Observe(f.now, f.members[i], Sample{OK: ok, Elapsed: d}, 0.5)
}

func (f *poolFixture) phase(i int) Phase { return f.members[i].Status().Phase(f.now) }

// Guards against a straggler that stays in use.
func TestStragglerIsEjected(t *testing.T) {
	f := newPoolFixture(t, 12)
	for range stragglerMinSamples {
		for i := range f.members {
			d := 20 * ms
			if i == 5 {
				d *= 10
			}
			f.call(i, true, d)
		}
	}
	for i := range f.members {
		if want := i == 5; (f.phase(i) == Ejected) != want {
			t.Errorf("endpoint %d: phase %d", i, f.phase(i))
		}
	}
}

// loseRace records a call to endpoint 0 that was cancelled because its hedge
// answered first.
func (f *poolFixture) loseRace(d time.Duration) {
	f.Observe(f.now, f.members[0], Sample{LostRace: true, Elapsed: d}, 0.5)
}

// Guards against a slow endpoint that stays in use because all its slow calls are
// cancelled when their hedges answer, so that no call times are recorded for it.
func TestLostRacesEject(t *testing.T) {
	f := newPoolFixture(t, 4)
	for n := range maxLostRaces {
		if f.phase(0) != Serving {
			t.Fatalf("ejected after %d lost races", n)
		}
		f.now = f.now.Add(60 * ms)
		f.loseRace(50 * ms)
	}
	if f.phase(0) != Ejected {
		t.Error("not ejected")
	}
}

// Guards against the ejection of a healthy endpoint by lost races that prove
// nothing: of calls that were sent, hedged and cancelled together; of hedges that
// are cancelled early because the first attempt answered; and of single calls
// between successful ones.
func TestInconclusiveLostRacesDoNotEject(t *testing.T) {
	f := newPoolFixture(t, 4)
	for range 2 * maxLostRaces {
		f.now = f.now.Add(ms)
		f.loseRace(50 * ms)
	}
	if f.phase(0) != Serving {
		t.Error("ejected for lost races of calls that were sent together")
	}
	f.call(1, true, 20*ms)
	for range 2 * maxLostRaces {
		f.now = f.now.Add(10 * ms)
		f.loseRace(ms)
	}
	if f.phase(0) != Serving {
		t.Error("ejected for hedges that lost to the first attempt")
	}
	for range 2 * maxLostRaces {
		f.now = f.now.Add(40 * ms)
		f.call(0, true, 20*ms)
		f.now = f.now.Add(20 * ms)
		f.loseRace(50 * ms)
	}
	if f.phase(0) != Serving {
		t.Error("ejected for lost races between successful calls")
	}
}

// Guards against a frozen endpoint that stays in use because its calls neither
// fail nor end.
func TestFrozenIsEjected(t *testing.T) {
	f := newPoolFixture(t, 4)
	for range 10 {
		for i := range f.members {
			f.call(i, true, 20*ms)
		}
	}
	sent := f.now.Add(ms)
	if f.CheckFrozen(sent.Add(70*ms), f.members[0], sent, Unary, 0.5) {
		t.Error("ejected for a call that is not yet unusually old")
	}
	if !f.CheckFrozen(sent.Add(90*ms), f.members[0], sent, Unary, 0.5) {
		t.Error("not ejected")
	}
}

// Guards against ejecting more than half of the pool, and against endpoints that
// stay ejected after another one has shown that the outage is over.
func TestOutageEjectsHalfAndEndsWithTheFirstSuccess(t *testing.T) {
	f := newPoolFixture(t, 5)
	for range 20 {
		for i := range f.members {
			if f.phase(i) != Ejected {
				f.call(i, false, ms)
			}
		}
	}
	ejected, last := 0, 0
	for i := range f.members {
		if f.phase(i) == Ejected {
			ejected++
		} else {
			last = i
		}
	}
	if ejected != 2 {
		t.Fatalf("%d of 5 ejected, want 2", ejected)
	}
	f.call(last, true, 20*ms)
	for i, m := range f.members {
		if st := m.Status(); f.phase(i) == Ejected || st.Failing && st.ProbeAt.After(f.now) {
			t.Errorf("endpoint %d is still out of use after the outage", i)
		}
	}
}

// Guards against a broken endpoint that is probed at a constant, high rate, and
// against a restored one that gets its full load at once.
func TestEjectionsGrowAndRestoredEndpointsStartSlowly(t *testing.T) {
	f := newPoolFixture(t, 4)
	for range maxConsecutiveFailures {
		f.call(0, false, ms)
	}
	var before time.Duration
	for n := range 4 {
		left := f.members[0].Status().EjectedUntil.Sub(f.now)
		if left <= before {
			t.Fatalf("ejection %d lasts %s, the one before %s", n, left, before)
		}
		before = left
		f.now = f.members[0].Status().EjectedUntil
		f.call(0, false, ms)
	}
	f.now = f.members[0].Status().EjectedUntil
	f.call(0, true, 20*ms)
	st := f.members[0].Status()
	if st.Phase(f.now) != Serving || st.Ramp(f.now) > 0.2 || st.Ramp(f.now.Add(slowStartDuration)) != 1 {
		t.Errorf("after a successful probe: phase %d, ramp %.2f", st.Phase(f.now), st.Ramp(f.now))
	}
}
