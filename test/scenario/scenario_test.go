package scenario

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"eelgrassgrade/internal/localrun"
)

// binDir holds the programs that TestMain built.
var binDir string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the programs into a temporary directory and runs the tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "scenario")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1
	}
	return m.Run()
}

var knownRed = flag.Bool("known-red", false, "run the scripts that KNOWN-RED.txt lists instead of the others")

// scriptsToRun returns the scripts to run. The scripts in KNOWN-RED.txt fail
// because of a known fault: they are printed and skipped. With the flag
// -known-red, only they are run.
func scriptsToRun(t *testing.T) []string {
	all, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(all) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	knownFailures, err := os.ReadFile("../../KNOWN-RED.txt")
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	var files []string
	for _, f := range all {
		name := strings.TrimSuffix(filepath.Base(f), ".txtar")
		listed := strings.Contains(string(knownFailures), "test: Scenarios/"+name+"\n")
		if listed && !*knownRed {
			fmt.Printf("known red, passed over: Scenarios/%s\n", name)
		}
		if listed == *knownRed {
			files = append(files, f)
		}
	}
	return files
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Files: scriptsToRun(t),
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start": start, "apply": apply, "send": send, "background": background, "join": join, "expect": expect,
			"fault": fault, "list": setListed, "crash": crash, "pause": pause, "continue": resume, "terminate": terminate, "restart": restart,
			"effects": effects, "mark": mark, "unchanged": unchanged, "traffic": traffic, "traffic-stop": trafficStop, "status": status, "leave": leave,
			"sleep": sleep, "alive": alive, "commands": commands, "race": race, "in-force": inForce, "watch": watch,
		},
		Setup: func(env *testscript.Env) error {
			st := &scriptState{dir: env.WorkDir, answers: map[string]*pendingAnswer{}, traffic: map[string]*localrun.Traffic{}, markedCalls: map[string]int{}}
			env.Values[scriptStateKey{}] = st
			env.Defer(st.close)
			lists, err := os.ReadFile("testdata/lists.jsonc")
			if err != nil {
				return err
			}
			return os.WriteFile(filepath.Join(env.WorkDir, "lists.jsonc"), lists, 0o644)
		},
	})
}

type scriptStateKey struct{}

// scriptState is the state of one running script.
type scriptState struct {
	dir      string
	cluster  *localrun.Cluster
	ctx      context.Context
	cancel   context.CancelFunc
	balancer *localrun.Balancer
	answers  map[string]*pendingAnswer
	traffic  map[string]*localrun.Traffic
	// listsVersion is the version of the lists that the next edit is based on.
	listsVersion int
	// markedCalls holds the numbers of calls that the command mark recorded.
	markedCalls map[string]int
	watcher     *versionWatcher
}

// pendingAnswer is the answer of a background request. It is set when done is
// closed.
type pendingAnswer struct {
	done   chan struct{}
	answer localrun.Answer
}

func (st *scriptState) close() {
	for _, t := range st.traffic {
		t.Stop()
	}
	if st.cluster != nil {
		st.cancel()
		if st.watcher != nil {
			st.watcher.wg.Wait()
		}
		for _, p := range st.cluster.AllProcesses() {
			p.Signal(syscall.SIGCONT)
		}
		st.cluster.Stop()
	}
}

func stateOf(ts *testscript.TestScript) *scriptState {
	return ts.Value(scriptStateKey{}).(*scriptState)
}

func (st *scriptState) processByID(ts *testscript.TestScript, id string) *localrun.Process {
	for _, p := range st.cluster.AllProcesses() {
		if string(p.ID) == id {
			return p
		}
	}
	ts.Fatalf("no process %q", id)
	return nil
}

// matchProcesses returns the process whose ID is pattern or, if pattern ends with
// "*", all processes whose ID begins with the text before it.
func (st *scriptState) matchProcesses(ts *testscript.TestScript, pattern string) []*localrun.Process {
	prefix, wild := strings.CutSuffix(pattern, "*")
	if !wild {
		return []*localrun.Process{st.processByID(ts, pattern)}
	}
	var found []*localrun.Process
	for _, p := range st.cluster.AllProcesses() {
		if strings.HasPrefix(string(p.ID), prefix) {
			found = append(found, p)
		}
	}
	return found
}

// parseOptions separates the arguments of the form NAME=VALUE from the positional
// ones.
func parseOptions(args []string) (opts map[string]string, positional []string) {
	opts = map[string]string{}
	for _, a := range args {
		if k, v, ok := strings.Cut(a, "="); ok && !strings.ContainsAny(k, "{/ ") {
			opts[k] = v
			continue
		}
		positional = append(positional, a)
	}
	return opts, positional
}

// intOption returns the integer value of an option, or defaultValue without it.
func intOption(ts *testscript.TestScript, opts map[string]string, name string, defaultValue int) int {
	if opts[name] == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(opts[name])
	ts.Check(err)
	return n
}

// poolKinds maps the pools of the scenarios to their kinds.
var poolKinds = map[string]string{"encoder": "encoder", "retriever": "retriever", "reranker": "reranker", "generator": "engine", "desk": "service", "ledger": "service"}

// start [daemons=N] [POOL=N] [POOL-args=FLAGS] [list-lag-ms=MS]: starts the
// platform, the endpoints and the daemons.
func start(ts *testscript.TestScript, _ bool, args []string) {
	st := stateOf(ts)
	opts, _ := parseOptions(args)
	spec := localrun.Spec{Dir: filepath.Join(st.dir, "run"), BinDir: binDir, DataCenters: []string{"north", "south"}, Daemons: intOption(ts, opts, "daemons", 3)}
	for _, pool := range []string{"encoder", "retriever", "reranker", "generator", "desk", "ledger"} {
		spec.Pools = append(spec.Pools, localrun.Pool{ID: localrun.PoolID(pool), Kind: poolKinds[pool], Count: intOption(ts, opts, pool, 2), Args: strings.Fields(strings.ReplaceAll(opts[pool+"-args"], ",", " "))})
	}
	spec.InstanceListLag = time.Duration(intOption(ts, opts, "list-lag-ms", 0)) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c, err := localrun.Start(ctx, spec)
	ts.Check(err)
	st.cluster = c
	st.ctx, st.cancel = context.WithCancel(context.Background())
	st.balancer = localrun.NewBalancer(st.ctx, c.Daemons)
}

// apply FILE [version=V] [daemon=D]: applies lists, with V as the version of the
// engines' model. The first apply of a script waits until all daemons are ready.
func apply(ts *testscript.TestScript, neg bool, args []string) {
	st := stateOf(ts)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	opts, positional := parseOptions(args)
	lists := ts.ReadFile(positional[0])
	if v := opts["version"]; v != "" {
		lists = strings.Replace(lists, `"text-7b"`, `"text-7b", "version": "`+v+`"`, 1)
	}
	daemon := st.cluster.Daemons[0]
	if opts["daemon"] != "" {
		daemon = st.processByID(ts, opts["daemon"])
	}
	err := st.applyLists(ctx, daemon, lists)
	if neg != (err != nil) {
		ts.Fatalf("apply: %v", err)
	}
	if err == nil {
		st.listsVersion++
	}
}

// applyLists applies lists. The first lists go to the first daemon, and applyLists
// waits until all daemons are ready. Later lists go to daemon d without a wait.
func (st *scriptState) applyLists(ctx context.Context, d *localrun.Process, lists string) error {
	if st.listsVersion == 0 {
		// The balancer checks the daemons at intervals; without this refresh it could
		// skip daemons that have just become ready.
		defer st.balancer.Refresh()
		return st.cluster.ApplyLists(ctx, 0, []byte(lists))
	}
	path := fmt.Sprintf("/v1/lists?base=%d&author=script", st.listsVersion)
	_, err := st.cluster.CallOperatorAPI(ctx, d, http.MethodPost, path, lists)
	return err
}

// parseRequest builds a request from the arguments DAEMON PATH [account=A] [key=K]
// [attempt=N] [body=JSON] [deadline=MS]. The address is empty if DAEMON is
// "balancer".
func parseRequest(ts *testscript.TestScript, args []string) (addr string, r localrun.Request) {
	opts, positional := parseOptions(args)
	if len(positional) < 2 {
		ts.Fatalf("usage: send NAME DAEMON PATH [account=A] [key=K] [attempt=N] [body=JSON] [deadline=MS]")
	}
	r = localrun.Request{Path: positional[1], Account: opts["account"], Key: opts["key"], Body: opts["body"], Header: map[string]string{}}
	if r.Account == "" {
		r.Account = "shop"
	}
	if r.Body == "" {
		r.Body = "{}"
	}
	if opts["deadline"] != "" {
		r.Header["X-Deadline-Ms"] = opts["deadline"]
	}
	if opts["attempt"] != "" {
		r.Header["Idempotency-Attempt"] = opts["attempt"]
	}
	if positional[0] == "balancer" {
		return "", r
	}
	return stateOf(ts).processByID(ts, positional[0]).Address, r
}

// background NAME DAEMON PATH [OPTIONS]: sends a request without waiting for its
// answer.
func background(ts *testscript.TestScript, _ bool, args []string) {
	st := stateOf(ts)
	addr, r := parseRequest(ts, args[1:])
	p := &pendingAnswer{done: make(chan struct{})}
	st.answers[args[0]] = p
	go func() {
		defer close(p.done)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		if addr == "" {
			p.answer = st.balancer.Send(ctx, r)
			return
		}
		p.answer = localrun.Send(ctx, addr, r)
	}()
}

// send NAME DAEMON PATH [OPTIONS]: sends a request and waits for its answer.
func send(ts *testscript.TestScript, neg bool, args []string) {
	background(ts, neg, args)
	join(ts, neg, args[:1])
}

// join NAME...: waits for the answers of background requests.
func join(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		<-stateOf(ts).answers[name].done
	}
}

// expect NAME [status=200|409] [ran=...] [step=...] [replayed=true] [cut=false]
// [within=MS] [retry-after=yes] [contains=TEXT]: checks the answer to a request.
// Alternatives are separated by "|".
func expect(ts *testscript.TestScript, _ bool, args []string) {
	opts, positional := parseOptions(args)
	a := stateOf(ts).answers[positional[0]].answer
	got := map[string]string{
		"status": strconv.Itoa(a.Status), "ran": strings.ReplaceAll(a.Problem().Ran, " ", "-"), "step": a.Problem().Step,
		"replayed": a.Header.Get("Idempotent-Replayed"), "body": string(a.Body), "cut": strconv.FormatBool(a.Err != nil),
	}
	for k, want := range opts {
		switch k {
		case "within":
			if ms := intOption(ts, opts, k, 0); a.Elapsed > time.Duration(ms)*time.Millisecond {
				ts.Fatalf("%s took %s", positional[0], a.Elapsed)
			}
		case "contains":
			if !strings.Contains(string(a.Body), want) {
				ts.Fatalf("%s: body %q does not contain %q", positional[0], a.Body, want)
			}
		case "retry-after":
			if (a.Header.Get("Retry-After") != "") != (want == "yes") {
				ts.Fatalf("%s: Retry-After is %q", positional[0], a.Header.Get("Retry-After"))
			}
		default:
			if !slices.Contains(strings.Split(want, "|"), got[k]) {
				ts.Fatalf("%s: %s is %q, want %q (%d %s %v)", positional[0], k, got[k], want, a.Status, a.Body, a.Err)
			}
		}
	}
}

// traffic NAME pipeline=P [account=A] [rate=N] [stream=true]: sends requests to a
// pipeline through the balancer and checks each answer, until traffic-stop.
func traffic(ts *testscript.TestScript, _ bool, args []string) {
	st := stateOf(ts)
	opts, positional := parseOptions(args)
	account := opts["account"]
	if account == "" {
		account = "shop"
	}
	t := &localrun.Traffic{Send: st.balancer.Send, Rate: float64(intOption(ts, opts, "rate", 50)),
		NewRequest: func(n int) localrun.Request {
			return localrun.PipelineRequest(opts["pipeline"], account, n, opts["stream"] == "true")
		},
		CheckAnswer: func(n int, a localrun.Answer) error { return localrun.CheckPipeline(localrun.PipelineInput(n), a) },
	}
	st.traffic[positional[0]] = t
	t.Start()
}

// traffic-stop NAME [cut=0] [wrong=0] [refused=0] [min-ok-percent=99]: stops the
// traffic and checks its counts. The first three options are upper limits.
func trafficStop(ts *testscript.TestScript, _ bool, args []string) {
	st := stateOf(ts)
	opts, positional := parseOptions(args)
	summary := st.traffic[positional[0]].Stop()
	delete(st.traffic, positional[0])
	refused := summary.Refused["not run"] + summary.Refused["ran"] + summary.Refused["unknown"] + summary.Refused[""]
	ts.Logf("%s: sent %d, ok %d, refused %v, cut %d, wrong %d, longest %s %v", positional[0], summary.Sent, summary.OK, summary.Refused, summary.Cut, summary.Wrong, summary.MaxElapsed, summary.Failures)
	for name, got := range map[string]int{"cut": summary.Cut, "wrong": summary.Wrong, "refused": refused} {
		if got > intOption(ts, opts, name, got) {
			ts.Fatalf("%s: %d %s, want at most %s", positional[0], got, name, opts[name])
		}
	}
	if p := intOption(ts, opts, "min-ok-percent", 0); summary.Sent == 0 || summary.OK*100 < summary.Sent*p {
		ts.Fatalf("%s: %d of %d requests got a correct answer, want at least %d%%", positional[0], summary.OK, summary.Sent, p)
	}
}

func sleep(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// status DAEMON: prints the status of the fleet, as the daemon sees it, as JSON.
func status(ts *testscript.TestScript, _ bool, args []string) {
	st := stateOf(ts)
	body, err := st.cluster.CallOperatorAPI(context.Background(), st.processByID(ts, args[0]), http.MethodGet, "/v1/status", "")
	ts.Check(err)
	fmt.Fprintln(ts.Stdout(), string(body))
}

// leave DAEMON INSTANCE: announces through the daemon that the instance is leaving.
func leave(ts *testscript.TestScript, neg bool, args []string) {
	st := stateOf(ts)
	body, err := st.cluster.CallOperatorAPI(context.Background(), st.processByID(ts, args[0]), http.MethodPost, "/v1/instances/"+args[1]+"/leave", "{}")
	fmt.Fprintln(ts.Stdout(), string(body))
	if neg != (err != nil) {
		ts.Fatalf("leave: %v", err)
	}
}
