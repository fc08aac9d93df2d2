package lease

import (
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

// Guards against a holder that commands past its term: after a pause of the
// process, after one that the monotonic clock does not show, and through a
// renewal whose answer came late.
func TestTermIsCountedFromBeforeTheWrite(t *testing.T) {
	now := time.Now()
	var s State
	s.Observe(Record{}, 0, now)
	r, rev := s.Propose(s.Next(now), "a", "m1", now)
	s.Observe(r, rev+1, now.Add(2*time.Second))
	last := now.Add(Term - Margin - MaxCommandTime)
	if token, ok := s.MayCommand(last, true); !ok || token != 1 {
		t.Errorf("token %d, %v within the term", token, ok)
	}
	if _, ok := s.MayCommand(last.Add(time.Millisecond), true); ok {
		t.Error("a command may outlast the term")
	}
	if _, ok := s.MayCommand(last, false); ok {
		t.Error("no wait before the first command to engines that ignore tokens")
	}
	s.grantedWall = s.grantedWall.Add(-time.Hour)
	if _, ok := s.MayCommand(now, true); ok {
		t.Error("a pause that only the wall clock shows is not seen")
	}
}

// Guards against two holders: for every delay of a renewal and of the
// candidate's reads, the candidate may take over only after the holder's last
// command has ended.
func TestTakeoverComesAfterTheLastCommand(t *testing.T) {
	start := time.Now()
	for delay := time.Duration(0); delay <= 3*time.Second; delay += 100 * time.Millisecond {
		var holder, other State
		holder.Observe(Record{}, 0, start)
		r, rev := holder.Propose(Acquire, "a", "m1", start)
		// The write takes effect at once or late, and the candidate reads it then.
		holder.Observe(r, rev+1, start.Add(delay))
		other.Observe(r, rev+1, start.Add(delay))
		for at := start.Add(delay); ; at = at.Add(10 * time.Millisecond) {
			_, may := holder.MayCommand(at.Add(-MaxCommandTime), true)
			if other.Next(at) == Acquire {
				if may || at.Sub(start) < Term {
					t.Errorf("delay %s: takeover after %s", delay, at.Sub(start))
				}
				break
			}
		}
		if r, _ := other.Propose(Acquire, "b", "m2", start); r.Token != 2 {
			t.Errorf("token %d after a takeover", r.Token)
		}
	}
}

// Guards against candidates that move when an unrelated daemon comes or goes.
func TestCandidatesAreStable(t *testing.T) {
	all := []core.InstanceID{"a", "b", "c", "d", "e"}
	first := Candidates("pool", all)
	for i, d := range all {
		if d == first[0] || d == first[1] {
			continue
		}
		rest := append(append([]core.InstanceID{}, all[:i]...), all[i+1:]...)
		if got := Candidates("pool", rest); got[0] != first[0] || got[1] != first[1] {
			t.Errorf("without %s: %v, before %v", d, got, first)
		}
	}
}
