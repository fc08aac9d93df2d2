package endpoints

import (
	"slices"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

// Guards against a sound endpoint that gets no work because of an entry of another writer:
// it has the same address, a later start, and a pool that the configuration does not name.
func TestEntriesOfUnnamedPoolsHideNoEndpoint(t *testing.T) {
	f := newFixture()
	stray := entry("stray", "1:1", 9)
	stray.Pool = "unnamed"
	other := entry("other", "2:2", 9)
	other.Pool = "q"
	f.set.Update([]Entry{entry("sound", "1:1", 1), entry("old", "2:2", 1), other, stray}, time.Time{})
	f.set.SetNamedPools(map[core.PoolID]bool{"p": true, "q": true})
	if !f.has("sound") || f.has("stray") || !f.has("other") || f.has("old") {
		t.Errorf("the view holds %v", f.set.View().ByID)
	}
	if !slices.Contains(f.changes, "sound shown") || !slices.Contains(f.changes, "stray hidden") {
		t.Errorf("changes %q", f.changes)
	}
	before := len(f.changes)
	f.set.SetNamedPools(map[core.PoolID]bool{"p": true, "q": true})
	if len(f.changes) != before {
		t.Errorf("an unchanged configuration changed %q", f.changes[before:])
	}
	f.set.Update([]Entry{entry("sound", "1:1", 1), stray}, time.Time{})
	if !f.has("sound") {
		t.Error("the next list hides the endpoint again")
	}
	f.set.SetNamedPools(map[core.PoolID]bool{"p": true, "unnamed": true})
	if f.has("sound") || !f.has("stray") {
		t.Error("an address that was given to an endpoint of a new pool still counts for the former one")
	}
}
