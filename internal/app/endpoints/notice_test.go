package endpoints

import (
	"testing"
	"time"
)

// Guards against new work for an endpoint that stated in an answer that it is leaving,
// while the platform's list lags behind and after an outage in which its entry
// disappears and is listed again. Also guards against excluding its next incarnation.
func TestAnEndpointWithALeavingNoticeIsInNoView(t *testing.T) {
	f := newFixture()
	a, b := entry("a", "1:1", 1), entry("b", "2:2", 1)
	f.set.Update([]Entry{a, b}, time.Time{})
	f.set.HandleNotice(a.Endpoint, Notice{Leaving: true})
	if f.has("a") || !f.has("b") {
		t.Fatal("the view holds the leaving endpoint or lacks the other one")
	}
	if got := f.changes[len(f.changes)-1]; got != "a says that it leaves" {
		t.Errorf("last change %q, want \"a says that it leaves\"", got)
	}
	numChanges := len(f.changes)
	f.set.HandleNotice(a.Endpoint, Notice{Leaving: true})
	if len(f.changes) != numChanges {
		t.Error("a repeated notice is reported as a change")
	}
	for _, list := range [][]Entry{{a, b}, {b}, {a, b}, {b}} {
		f.now = f.now.Add(time.Second)
		f.set.Update(list, f.now)
		if f.has("a") {
			t.Fatal("the view holds the leaving endpoint again, which did not restart")
		}
	}
	a.StartedMs = 2
	f.set.Update([]Entry{a, b}, time.Time{})
	if !f.has("a") {
		t.Error("the next incarnation gets no work")
	}
}

// Guards against applying a notice that came from another address than the one at
// which the endpoint is listed now.
func TestANoticeFromAnotherAddressIsIgnored(t *testing.T) {
	f := newFixture()
	earlier := entry("a", "1:1", 1)
	f.set.Update([]Entry{entry("a", "2:2", 1)}, time.Time{})
	f.set.HandleNotice(earlier.Endpoint, Notice{Leaving: true, Pause: time.Minute})
	if !f.has("a") || !f.set.PausedUntil(entry("a", "2:2", 1)).IsZero() {
		t.Error("the notice from another address was applied")
	}
}

// Guards against a pause that is lost, cut short by a shorter one, longer than
// MaxPause, or applied to the next incarnation.
func TestAPauseAppliesForItsTimeToItsIncarnation(t *testing.T) {
	f := newFixture()
	a := entry("a", "1:1", 1)
	f.set.Update([]Entry{a}, time.Time{})
	f.set.HandleNotice(a.Endpoint, Notice{Pause: 3 * time.Second})
	end := f.now.Add(3 * time.Second)
	f.now = f.now.Add(time.Second)
	f.set.HandleNotice(a.Endpoint, Notice{Pause: time.Second})
	if got := f.changes[len(f.changes)-1]; len(f.changes) != 2 || got != "a asks for a pause" {
		t.Errorf("%d changes, the last is %q; the pause must be reported once", len(f.changes), got)
	}
	if got := f.set.PausedUntil(a); !got.Equal(end) {
		t.Errorf("the pause ends at %v, want %v", got, end)
	}
	next := a
	next.StartedMs = 2
	if got := f.set.PausedUntil(next); !got.IsZero() {
		t.Error("the pause applies to the next incarnation")
	}
	f.set.HandleNotice(a.Endpoint, Notice{Pause: 100 * MaxPause})
	if got := f.set.PausedUntil(a).Sub(f.now); got != MaxPause {
		t.Errorf("a pause of %v, want %v", got, MaxPause)
	}
}
