package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// check ends a case that cannot run.
func check(err error) {
	if err != nil {
		giveUp(err.Error())
	}
}

// bed is what a case runs in: the store, the processes that it started, and its record.
type bed struct {
	store   *store
	trouble bool
	dir     string
	record  *os.File
	began   time.Time
	// bounds holds bounds of the settings beside those of all cases.
	bounds map[string]any
	// killing is set when the processes are ended at the end of the case.
	killing bool

	mu    sync.Mutex
	procs []*process
}

// process is a process that the case started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// theBed is the bed of the case, so that the processes end however the case ends.
var theBed *bed

func newBed() *bed {
	dir, err := os.MkdirTemp("", "review-3-")
	check(err)
	record, err := os.Create(os.Getenv("RECORD"))
	check(err)
	b := &bed{store: newStore(), trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: record, began: time.Now()}
	theBed = b
	time.AfterFunc(110*time.Second, func() { giveUp("the case took too long") })
	return b
}

// log writes a line to the record.
func (b *bed) log(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(b.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(b.record, line)
	fmt.Println(line)
}

// note writes a line to the record alone.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f s  "+format+"\n", append([]any{time.Since(b.began).Seconds()}, args...)...)
}

// end ends all processes and the case.
func (b *bed) end(code int) {
	b.mu.Lock()
	b.killing = true
	procs := b.procs
	b.mu.Unlock()
	for _, p := range procs {
		// A process that has ended already is left alone.
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range procs {
		<-p.done
	}
	b.record.Close()
	os.RemoveAll(b.dir)
	os.Exit(code)
}

// giveUp ends a case that could not run.
func giveUp(reason string) {
	if theBed == nil {
		fmt.Fprintln(os.Stderr, reason)
		os.Exit(2)
	}
	theBed.log("cannot run: %s", reason)
	theBed.end(2)
}

// finish ends a case with its result.
func (b *bed) finish(broken bool, format string, args ...any) {
	verdict, code := "HELD: ", 0
	if broken {
		verdict, code = "BROKEN: ", 1
	}
	b.log(verdict+format, args...)
	b.end(code)
}

// start starts a process. onLine gets its lines of standard output.
func (b *bed) start(name string, onLine func(string), cmd *exec.Cmd) *process {
	out, err := cmd.StdoutPipe()
	check(err)
	cmd.Stderr = os.Stderr
	check(cmd.Start())
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	b.mu.Lock()
	b.procs = append(b.procs, p)
	b.mu.Unlock()
	go func() {
		defer close(p.done)
		lines := bufio.NewScanner(out)
		lines.Buffer(make([]byte, 64<<10), 4<<20)
		for lines.Scan() {
			onLine(lines.Text())
		}
		err := cmd.Wait()
		b.mu.Lock()
		killing := b.killing
		b.mu.Unlock()
		if !killing {
			b.log("process %s ended: %v", name, err)
		}
	}()
	return p
}

// freePorts returns addresses with free ports on a loopback IP.
func freePorts(ip string, n int) []string {
	var list []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		check(err)
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list
}

// daemon is a daemon that the case started.
type daemon struct {
	*process
	name, front, ready, control string
}

// startDaemons starts daemons with the run line and the template of the deploy file, with
// the settings of a small deployment.
func (b *bed) startDaemons(n int) []*daemon {
	storeAddress := b.store.serve()
	deploy, err := os.ReadFile("deploy/system.toml")
	check(err)
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	template, err := os.ReadFile("deploy/eelgrassd.jsonc")
	check(err)
	if run == nil {
		giveUp("no run line in the deploy file")
	}
	var list []*daemon
	var seeds []string
	zones := []string{"quimper-a", "locronan-b", "douarnenez-c"}
	for i := range n {
		ip := fmt.Sprintf("127.0.31.%d", i+1)
		a := freePorts(ip, 3)
		d := &daemon{name: fmt.Sprintf("edge-%s-%d", zones[i%3], i+1), front: a[0], ready: a[1], control: a[2]}
		list, seeds = append(list, d), append(seeds, d.control)
	}
	for i, d := range list {
		ip, _, _ := strings.Cut(d.front, ":")
		values := map[string]any{
			"node-name": d.name, "zone": zones[i%3], "ip": ip, "heartbeat-ms": 1200, "seeds": seeds[:min(3, len(seeds))],
			"listen.front": d.front, "listen.ready": d.ready, "listen.control": d.control,
			"limits.cores": 1, "limits.cpu-share": 0.4, "limits.memory-mb": 284, "limits.max-fds": 4100,
			"bounds.grace-s": 8, "bounds.retry-budget-ratio": 0.2, "bounds.retry-slack": 56, "bounds.budget-window-s": 10,
			"provider.address": storeAddress, "zones": map[string]string{zones[0]: "finistere", zones[1]: "finistere", zones[2]: "finistere"},
		}
		maps.Copy(values, b.bounds)
		settings := filepath.Join(b.dir, d.name+".jsonc")
		check(os.WriteFile(settings, []byte(fill(string(template), values)), 0o600))
		words := strings.Fields(string(run[1]))
		for j := range words {
			words[j] = fill(words[j], values)
		}
		cmd := exec.Command(words[0], words[1:]...)
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + b.dir, "EELGRASSGRADE_SETTINGS=" + settings}
		logFile, err := os.Create(filepath.Join(cmp.Or(os.Getenv("KEEP"), b.dir), d.name+".log"))
		check(err)
		d.process = b.start(d.name, func(line string) { fmt.Fprintln(logFile, line) }, cmd)
	}
	for _, d := range list {
		b.awaitReady(d)
	}
	// The daemons have been in touch for contact-ms from here on.
	time.Sleep(3 * time.Second)
	return list
}

// awaitReady waits until a daemon says that it is ready.
func (b *bed) awaitReady(d *daemon) {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + d.ready + names.Ready)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	giveUp(d.name + " is not ready")
}

var placeholder = regexp.MustCompile(`\{\{([a-z.-]+)(\|json)?\}\}`)

// fill fills in the placeholders of a text as the platform does.
func fill(text string, values map[string]any) string {
	return placeholder.ReplaceAllStringFunc(text, func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		v, ok := values[m[1]]
		if !ok {
			return ""
		}
		if s, isText := v.(string); isText && m[2] == "" {
			return s
		}
		data, err := json.Marshal(v)
		check(err)
		return string(data)
	})
}

// entry is a replica's entry in the list.
func entry(backend, address, zone, state string, slots int, born time.Time) map[string]any {
	return map[string]any{"backend": backend, "address": address, "zone": zone, "version": "1", "slots": slots, "state": state,
		"cold-remaining-ms": 0, "seq": 1, "born": born.UnixMilli()}
}

// testKey is the key of the only tenant.
const testKey = "9dnn2ctnfzs989anu6ws"

// manifest returns a manifest with one tenant.
func manifest(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{"version": version, "routes": routes, "services": services,
		"tenants": []map[string]any{{"name": "bozi300", "api-keys": []string{testKey}}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 20000}}
}
