package scenario

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"eelgrassgrade/internal/localrun"
)

// race FILE DAEMON DAEMON: two operators apply different edits of the same
// version at the same time, each at one of the daemons. Exactly one edit must be
// accepted, and the other must be refused with status 409.
func race(ts *testscript.TestScript, _ bool, args []string) {
	st := stateOf(ts)
	src := ts.ReadFile(args[0])
	errs := make([]error, 2)
	var wg sync.WaitGroup
	for i := range errs {
		wg.Go(func() {
			path := fmt.Sprintf("/v1/lists?base=%d&author=operator-%d", st.listsVersion, i)
			_, errs[i] = st.cluster.CallOperatorAPI(context.Background(), st.processByID(ts, args[1+i]), http.MethodPost, path, src+fmt.Sprintf("// edit %d\n", i))
		})
	}
	wg.Wait()
	if (errs[0] == nil) == (errs[1] == nil) {
		ts.Fatalf("want exactly one accepted edit, got the errors: %v, %v", errs[0], errs[1])
	}
	for _, err := range errs {
		if err != nil && !strings.Contains(err.Error(), "409") {
			ts.Fatalf("the refused operator got %v, want status 409", err)
		}
	}
	st.listsVersion++
}

// configVersion returns the version of the configuration that is in force on a
// daemon, read from its metrics, or -1 if it is not available.
func configVersion(p *localrun.Process) int {
	client := http.Client{Timeout: 200 * time.Millisecond}
	resp, err := client.Get("http://" + p.ControlAddress + "/metrics")
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return -1
	}
	_, rest, ok := strings.Cut("\n"+string(body), "\neelgrass_config_version ")
	if !ok {
		return -1
	}
	line, _, _ := strings.Cut(rest, "\n")
	n, err := strconv.Atoi(line)
	if err != nil {
		return -1
	}
	return n
}

// in-force VERSION WITHIN [DAEMON...]: waits until the version is in force on the
// given daemons, or on all, for at most the duration WITHIN.
func inForce(ts *testscript.TestScript, _ bool, args []string) {
	st := stateOf(ts)
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	limit, err := time.ParseDuration(args[1])
	ts.Check(err)
	daemons := st.cluster.Daemons
	if len(args) > 2 {
		daemons = nil
		for _, id := range args[2:] {
			daemons = append(daemons, st.processByID(ts, id))
		}
	}
	start := time.Now()
	for _, d := range daemons {
		for configVersion(d) != want {
			if time.Since(start) > limit {
				ts.Fatalf("%s has version %d after %s, want %d", d.ID, configVersion(d), limit, want)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	ts.Logf("version %s in force on %d daemons after %s", args[0], len(daemons), time.Since(start))
}

// versionWatcher records the configuration versions that daemons report.
type versionWatcher struct {
	mu sync.Mutex
	// versions holds the reported versions by daemon, without repetitions.
	versions map[string][]int
	// regressions describes the reports of a version lower than an earlier one.
	regressions string
	wg          sync.WaitGroup
}

// watchInterval is the time between two reads of a daemon's version.
const watchInterval = 20 * time.Millisecond

// watch: starts to record the versions that daemons report. watch verdict:
// requires that no daemon reported a lower version than before, also across
// restarts.
func watch(ts *testscript.TestScript, _ bool, args []string) {
	st := stateOf(ts)
	if len(args) == 1 {
		st.watcher.requireNoRegression(ts)
		return
	}
	st.watcher = &versionWatcher{versions: map[string][]int{}}
	for _, d := range st.cluster.Daemons {
		st.watcher.wg.Go(func() {
			for st.ctx.Err() == nil {
				st.watcher.record(string(d.ID), configVersion(d))
				time.Sleep(watchInterval)
			}
		})
	}
}

func (w *versionWatcher) record(id string, v int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	versions := w.versions[id]
	if v < 1 || (len(versions) > 0 && versions[len(versions)-1] == v) {
		return
	}
	if len(versions) > 0 && v < versions[len(versions)-1] {
		w.regressions += fmt.Sprintf("%s reported version %d after version %d\n", id, v, versions[len(versions)-1])
	}
	w.versions[id] = append(versions, v)
}

func (w *versionWatcher) requireNoRegression(ts *testscript.TestScript) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ts.Logf("reported versions: %v", w.versions)
	if w.regressions != "" || len(w.versions) == 0 {
		ts.Fatalf("a version was reverted or none was reported: %s", w.regressions)
	}
}
