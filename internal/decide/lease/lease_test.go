package lease

import (
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

// Guards against a holder that sends commands after its term: after a pause of the
// process, also one that the monotonic clock does not show, and after a write whose
// answer came late.
func TestTermStartsBeforeTheWriteIsSent(t *testing.T) {
	now := time.Now()
	var s State
	s.Observe(Record{}, 0, now)
	r, revision := s.Propose(s.Next(now), "a", "m1", now)
	s.Observe(r, revision+1, now.Add(2*time.Second))
	last := now.Add(Term - Margin - MaxCommandTime)
	if token, ok := s.MayCommand(last, true); !ok || token != 1 {
		t.Errorf("token %d, %v within the term", token, ok)
	}
	if _, ok := s.MayCommand(last.Add(time.Millisecond), true); ok {
		t.Error("a command may end after the term")
	}
	if _, ok := s.MayCommand(last, false); ok {
		t.Error("no wait before the first command to engines that do not check fencing tokens")
	}
	s.grantedWall = s.grantedWall.Add(-time.Hour)
	if _, ok := s.MayCommand(now, true); ok {
		t.Error("a pause that only the wall clock shows is not noticed")
	}
}

// Guards against two holders at a time. Whatever the delay of the holder's write
// and of the candidate's read, the candidate may take over only after the holder's
// last command has ended.
func TestTakeoverFollowsTheLastCommand(t *testing.T) {
	start := time.Now()
	for delay := time.Duration(0); delay <= 3*time.Second; delay += 100 * time.Millisecond {
		var holder, candidate State
		holder.Observe(Record{}, 0, start)
		r, revision := holder.Propose(Acquire, "a", "m1", start)
		// The write takes effect after the delay, and the candidate reads it then.
		holder.Observe(r, revision+1, start.Add(delay))
		candidate.Observe(r, revision+1, start.Add(delay))
		for at := start.Add(delay); ; at = at.Add(10 * time.Millisecond) {
			_, mayCommand := holder.MayCommand(at.Add(-MaxCommandTime), true)
			if candidate.Next(at) == Acquire {
				if mayCommand || at.Sub(start) < Term {
					t.Errorf("delay %s: takeover after %s", delay, at.Sub(start))
				}
				break
			}
		}
		if r, _ := candidate.Propose(Acquire, "b", "m2", start); r.Token != 2 {
			t.Errorf("token %d after a takeover", r.Token)
		}
	}
}

// Guards against candidates that change when another daemon joins or leaves.
func TestCandidatesAreStable(t *testing.T) {
	all := []core.InstanceID{"a", "b", "c", "d", "e"}
	first := Candidates("pool", all)
	for i, d := range all {
		if d == first[0] || d == first[1] {
			continue
		}
		others := append(append([]core.InstanceID{}, all[:i]...), all[i+1:]...)
		if got := Candidates("pool", others); got[0] != first[0] || got[1] != first[1] {
			t.Errorf("without daemon %s the candidates are %v, want %v", d, got, first)
		}
	}
}
