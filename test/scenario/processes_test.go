package scenario

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"eelgrassgrade/internal/localrun"
	"eelgrassgrade/internal/standin"
)

// fault PROCESSES JSON: sets the faults of the stand-ins.
func fault(ts *testscript.TestScript, _ bool, args []string) {
	for _, p := range stateOf(ts).matchProcesses(ts, args[0]) {
		ts.Check(p.ControlPost("/faults", json.RawMessage(args[1])))
	}
}

// list PROCESS live|leaving|gone: sets the state of a process in the platform's
// instance list, or removes the process from it.
func setListed(ts *testscript.TestScript, _ bool, args []string) {
	st := stateOf(ts)
	ts.Check(st.cluster.SetListedState(st.processByID(ts, args[0]), args[1]))
}

func sendSignal(ts *testscript.TestScript, s syscall.Signal, args []string) {
	for _, pattern := range args {
		for _, p := range stateOf(ts).matchProcesses(ts, pattern) {
			ts.Check(p.Signal(s))
		}
	}
}

// crash PROCESSES...: ends the processes with SIGKILL.
func crash(ts *testscript.TestScript, _ bool, args []string) {
	for _, pattern := range args {
		for _, p := range stateOf(ts).matchProcesses(ts, pattern) {
			p.Kill()
		}
	}
}

// pause PROCESSES...: suspends the processes with SIGSTOP.
func pause(ts *testscript.TestScript, _ bool, args []string) { sendSignal(ts, syscall.SIGSTOP, args) }

// continue PROCESSES...: resumes the processes with SIGCONT.
func resume(ts *testscript.TestScript, _ bool, args []string) { sendSignal(ts, syscall.SIGCONT, args) }

// terminate PROCESS...: stops the processes one after the other with SIGTERM and
// requires exit code 0.
func terminate(ts *testscript.TestScript, _ bool, args []string) {
	for _, id := range args {
		ts.Check(stateOf(ts).processByID(ts, id).Terminate(20 * time.Second))
	}
}

// restart PROCESS [not-ready]: starts an ended process again and waits until it
// accepts connections. It also waits until a daemon is ready, unless a second
// argument is given.
func restart(ts *testscript.TestScript, _ bool, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	p := stateOf(ts).processByID(ts, args[0])
	ts.Check(p.Start())
	ts.Check(p.WaitListening(ctx))
	if strings.HasPrefix(args[0], "daemon") && len(args) == 1 {
		ts.Check(p.WaitReady(ctx))
	}
}

func getJSON(ts *testscript.TestScript, p *localrun.Process, path string, into any) {
	resp, err := http.Get("http://" + p.ControlAddress + path)
	ts.Check(err)
	defer resp.Body.Close()
	ts.Check(json.NewDecoder(resp.Body).Decode(into))
}

// effects PROCESSES KEY COUNT: requires that the processes have recorded COUNT
// effects in total for the idempotency key. Alternatives are separated by "|".
func effects(ts *testscript.TestScript, _ bool, args []string) {
	n := 0
	for _, p := range stateOf(ts).matchProcesses(ts, args[0]) {
		var recorded []standin.Effect
		getJSON(ts, p, "/effects", &recorded)
		for _, e := range recorded {
			if e.Key == args[1] {
				n++
			}
		}
	}
	if !slices.Contains(strings.Split(args[2], "|"), strconv.Itoa(n)) {
		ts.Fatalf("%d effects with key %s, want %s", n, args[1], args[2])
	}
}

// callCount returns the number of calls that the endpoints have received.
func callCount(ts *testscript.TestScript, pattern string) int {
	n := 0.0
	for _, p := range stateOf(ts).matchProcesses(ts, pattern) {
		var counts map[string]any
		getJSON(ts, p, "/counts", &counts)
		v, _ := counts["calls"].(float64)
		n += v
	}
	return int(n)
}

// mark PROCESS: records the number of calls that the endpoint has received.
func mark(ts *testscript.TestScript, _ bool, args []string) {
	stateOf(ts).markedCalls[args[0]] = callCount(ts, args[0])
}

// unchanged PROCESS: requires that the endpoint has received no call since mark.
func unchanged(ts *testscript.TestScript, neg bool, args []string) {
	before, now := stateOf(ts).markedCalls[args[0]], callCount(ts, args[0])
	if neg == (before == now) {
		ts.Fatalf("%s had %d calls at mark and has %d now", args[0], before, now)
	}
}

// alive PROCESSES N: requires that at least N of the processes are running.
func alive(ts *testscript.TestScript, _ bool, args []string) {
	n := 0
	for _, p := range stateOf(ts).matchProcesses(ts, args[0]) {
		if p.Running() {
			n++
		}
	}
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	if n < want {
		ts.Fatalf("%d processes of %s are running, want at least %d", n, args[0], want)
	}
}

// commands PROCESSES VERSION: waits until the last command that each engine
// accepted loads the version, and requires that no engine accepted a lower fencing
// token after a higher one.
func commands(ts *testscript.TestScript, _ bool, args []string) {
	for _, p := range stateOf(ts).matchProcesses(ts, args[0]) {
		var accepted []engineCommand
		for start := time.Now(); ; time.Sleep(100 * time.Millisecond) {
			getJSON(ts, p, "/commands", &accepted)
			if len(accepted) > 0 && accepted[len(accepted)-1].Load.Version == args[1] {
				break
			}
			if time.Since(start) > commandTimeout {
				ts.Fatalf("%s accepted %+v, want version %s", p.ID, accepted, args[1])
			}
		}
		for i := 1; i < len(accepted); i++ {
			if accepted[i].Token < accepted[i-1].Token {
				ts.Fatalf("%s accepted token %d after %d", p.ID, accepted[i].Token, accepted[i-1].Token)
			}
		}
		ts.Logf("%s accepted %+v", p.ID, accepted)
	}
}

// engineCommand is a command that an engine stand-in accepted.
type engineCommand struct {
	Token uint64
	Load  struct{ Version string }
}

// commandTimeout is well above the time in which another daemon takes over the
// commands to engines: the 6 s term of the lease and a wait of 2 s.
const commandTimeout = 25 * time.Second
