package edge

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/app/mirror"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/platform"
)

// Guards against an entry of this daemon that stays lost, after a restoration of the store
// or because others took the daemon for ended, and against writes of an entry that is only
// missing in a copy that lags behind.
func TestALostEntryIsWrittenAgain(t *testing.T) {
	const id, entry = "d0", `{"address":"a:1"}`
	start := time.Unix(1000, 0)
	listed := func(restorations, version int64, value string) *mirror.Snapshot {
		s := &mirror.Snapshot{Rows: map[string]mirror.Row{"d1": {}}, Position: core.CopyPosition{StoreRevision: core.StoreRevision{Restorations: restorations, Version: version}}}
		if value != "" {
			s.Rows[id] = mirror.Row{Key: id, Value: []byte(value)}
		}
		return s
	}
	registered := func() *registration {
		r := &registration{}
		r.written(listed(1, 7, ""))
		return r
	}
	for _, c := range []struct {
		name   string
		r      *registration
		after  time.Duration
		listed *mirror.Snapshot
		want   bool
	}{
		{"never written", &registration{}, 0, listed(0, 0, ""), true},
		{"listed", registered(), time.Hour, listed(1, 9, entry), false},
		{"listed after a restoration", registered(), time.Hour, listed(2, 3, entry), false},
		{"no copy of the table", registered(), time.Hour, listed(0, 0, ""), false},
		{"missing in a copy that lags behind", registered(), missingEntryDelay - time.Second, listed(1, 6, ""), false},
		{"missing for long", registered(), missingEntryDelay, listed(1, 9, ""), true},
		{"missing since a restoration", registered(), 0, listed(2, 3, ""), true},
		{"another entry since a restoration", registered(), 0, listed(2, 3, `{"address":"b:2"}`), true},
	} {
		c.r.isDue(start, c.listed, id, []byte(entry))
		if got := c.r.isDue(start.Add(c.after), c.listed, id, []byte(entry)); got != c.want {
			t.Errorf("%s: due %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a daemon that hears of no change while the fleet is updated: daemons of
// the earlier version read the store for all, and nothing can be pulled from them.
func TestDaemonsOfEarlierVersionsDoNotReadForOthers(t *testing.T) {
	member := func(id core.InstanceID, counts bool) fleet.Member {
		return fleet.Member{ID: id, CountsRestorations: counts}
	}
	ranked := []fleet.Member{member("old1", false), member("old2", false), member("new1", true), member("old3", false), member("new2", true), member("new3", true)}
	for id, want := range map[core.InstanceID]bool{"new1": true, "new2": true, "new3": false, "missing": false} {
		if got := isAmongFirst(id, ranked, 2); got != want {
			t.Errorf("%s reads the store: %v, want %v", id, got, want)
		}
	}
}

// Guards against a store that never answers one write and so keeps entries of daemons that
// have ended, which take a part of the retry budgets, for good.
func TestAWriteWithoutAnAnswerHoldsUpNoRemoval(t *testing.T) {
	removed, ended := make(chan string, 8), make(chan struct{})
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if strings.Contains(string(body), "silent") {
			<-ended
			return
		}
		removed <- string(body)
		fmt.Fprint(w, "{}")
	}))
	defer store.Close()
	defer close(ended)
	d := &Daemon{store: platform.NewStore(strings.TrimPrefix(store.URL, "http://"))}
	go d.removeDaemonEntries(t.Context(), []string{"silent", "d7"})
	select {
	case body := <-removed:
		if !strings.Contains(body, `"d7"`) {
			t.Errorf("removed %s", body)
		}
	case <-time.After(3 * registrationTimeout):
		t.Error("the other entry is kept")
	}
}
