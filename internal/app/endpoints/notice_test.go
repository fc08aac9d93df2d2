package endpoints

import (
	"testing"
	"time"
)

// Guards against new work for an endpoint that has said in an answer that it
// leaves, while the platform's list lags behind, through an outage in which its
// entry vanishes and comes back, and against keeping out its next incarnation.
func TestAnEndpointThatSaysItLeavesIsInNoView(t *testing.T) {
	f := newFixture()
	a, b := entry("a", "1:1", 1), entry("b", "2:2", 1)
	f.set.Update([]Entry{a, b}, time.Time{})
	f.set.HandleNotice(a.Endpoint, Notice{Leaving: true})
	if f.has("a") || !f.has("b") {
		t.Fatal("the view has the endpoint that leaves, or lacks the other")
	}
	if got := f.changes[len(f.changes)-1]; got != "a says that it leaves" {
		t.Errorf("last change %q", got)
	}
	n := len(f.changes)
	f.set.HandleNotice(a.Endpoint, Notice{Leaving: true})
	if len(f.changes) != n {
		t.Error("the same word is told twice")
	}
	for _, list := range [][]Entry{{a, b}, {b}, {a, b}, {b}} {
		f.now = f.now.Add(time.Second)
		f.set.Update(list, f.now)
		if f.has("a") {
			t.Fatal("the endpoint is back in the view without having started anew")
		}
	}
	a.StartedMs = 2
	f.set.Update([]Entry{a, b}, time.Time{})
	if !f.has("a") {
		t.Error("the next incarnation gets no work")
	}
}

// Guards against the word of an address's earlier owner being taken for that of
// the endpoint which has the address now.
func TestTheWordOfAnotherAddressDoesNotCount(t *testing.T) {
	f := newFixture()
	old := entry("a", "1:1", 1)
	f.set.Update([]Entry{entry("a", "2:2", 1)}, time.Time{})
	f.set.HandleNotice(old.Endpoint, Notice{Leaving: true, Pause: time.Minute})
	if !f.has("a") || !f.set.PausedUntil(entry("a", "2:2", 1)).IsZero() {
		t.Error("the endpoint is kept out by what another one said")
	}
}

// Guards against a pause that is forgotten, cut short by a shorter one, longer
// than any sensible one, or kept for the next incarnation.
func TestAPauseHoldsForItsTimeAndIncarnation(t *testing.T) {
	f := newFixture()
	a := entry("a", "1:1", 1)
	f.set.Update([]Entry{a}, time.Time{})
	f.set.HandleNotice(a.Endpoint, Notice{Pause: 3 * time.Second})
	end := f.now.Add(3 * time.Second)
	f.now = f.now.Add(time.Second)
	f.set.HandleNotice(a.Endpoint, Notice{Pause: time.Second})
	if got := f.changes[len(f.changes)-1]; len(f.changes) != 2 || got != "a asks for a pause" {
		t.Errorf("%d changes, the last is %q; the pause is to be told once", len(f.changes), got)
	}
	if got := f.set.PausedUntil(a); !got.Equal(end) {
		t.Errorf("the pause ends at %v, want %v", got, end)
	}
	next := a
	next.StartedMs = 2
	if got := f.set.PausedUntil(next); !got.IsZero() {
		t.Error("the next incarnation gets no work")
	}
	f.set.HandleNotice(a.Endpoint, Notice{Pause: 100 * MaxPause})
	if got := f.set.PausedUntil(a).Sub(f.now); got != MaxPause {
		t.Errorf("a pause of %v", got)
	}
}
