package endpoints

import (
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

func entry(id, address string, born int64) Entry {
	return Entry{Endpoint: core.Endpoint{ID: core.InstanceID(id), Pool: "p", Address: address}, StartedMs: born}
}

type fixture struct {
	now     time.Time
	changes []string
	set     *Set
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1000, 0)}
	f.set = New(func() time.Time { return f.now }, func(_ *View, changes []Change) {
		for _, c := range changes {
			f.changes = append(f.changes, string(c.Entry.ID)+" "+c.Kind)
		}
	})
	return f
}

func (f *fixture) has(id string) bool {
	_, ok := f.set.View().ByID[core.InstanceID(id)]
	return ok
}

// Guards against new work for endpoints that announced that they leave.
func TestLeavingEndpointsAreNotInTheView(t *testing.T) {
	f := newFixture()
	e := entry("a", "1:1", 1)
	f.set.Update([]Entry{e, entry("b", "2:2", 1)}, time.Time{})
	e.Leaving = true
	f.set.Update([]Entry{e, entry("b", "2:2", 1)}, time.Time{})
	if f.has("a") || !f.has("b") {
		t.Error("the view has the leaving endpoint or lacks the other")
	}
	if got := f.changes[len(f.changes)-1]; got != "a leaving" {
		t.Errorf("last change %q", got)
	}
}

// Guards against endpoints that are dropped because their entries expired while
// the store was down, and against keeping those that do not come back.
func TestEntriesThatExpiredInAnOutageHaveTimeToReturn(t *testing.T) {
	f := newFixture()
	f.set.Update([]Entry{entry("a", "1:1", 1), entry("b", "2:2", 1)}, time.Time{})
	back := f.now
	f.set.Update(nil, back)
	if !f.has("a") || !f.has("b") || !f.set.Pending() {
		t.Fatal("endpoints are dropped as the store returns")
	}
	f.now = f.now.Add(time.Second)
	f.set.Update([]Entry{entry("a", "1:1", 1)}, back)
	f.now = f.now.Add(2 * time.Second)
	f.set.Update([]Entry{entry("a", "1:1", 1)}, back)
	if !f.has("a") || f.has("b") || f.set.Pending() {
		t.Error("the entry that did not come back counts, or the one that did is gone")
	}
}

// Guards against the grace of an outage for entries that vanish on a calm day:
// some endpoints leave without an announcement.
func TestEntriesThatVanishOnACalmDayAreGoneAtOnce(t *testing.T) {
	f := newFixture()
	f.set.Update([]Entry{entry("a", "1:1", 1)}, f.now.Add(-time.Minute))
	f.set.Update(nil, f.now.Add(-time.Minute))
	if f.has("a") {
		t.Error("the endpoint is still in the view")
	}
}

// Guards against work for an endpoint whose address another one has taken over.
func TestAnAddressBelongsToTheNewestIncarnation(t *testing.T) {
	f := newFixture()
	f.set.Update([]Entry{entry("old", "1:1", 1), entry("new", "1:1", 2)}, time.Time{})
	if f.has("old") || !f.has("new") {
		t.Error("the address is not the newest incarnation's")
	}
}
