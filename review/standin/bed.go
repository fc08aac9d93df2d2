package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bed holds what one case runs: a store, daemons and replicas on loopback addresses.
type bed struct {
	// trouble says whether the disruption happens.
	trouble bool
	dir     string
	store   *store
	started time.Time

	recordMu   sync.Mutex
	recordFile *os.File

	storeServer  *http.Server
	storeAddress string
	daemons      []*daemon
	replicas     []*replicaProcess

	mu sync.Mutex
	// replicaLines holds what the replicas have recorded.
	replicaLines []string
}

// daemon is one daemon's process.
type daemon struct {
	name                  string
	callers, ready, peers string
	settings              string
	cmd                   *exec.Cmd
	ended                 chan struct{}
}

// replicaProcess is one replica's process.
type replicaProcess struct {
	spec    replicaSpec
	service string
	cmd     *exec.Cmd
	ended   chan struct{}
}

const (
	memoryMB = 284
	graceS   = 8
	zone     = "quimper-a"
)

func newBed(recordPath string) (*bed, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	b := &bed{trouble: os.Getenv("TROUBLE") != "0", dir: dir, store: newStore(), started: time.Now()}
	if b.recordFile, err = os.Create(recordPath); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b.storeAddress = l.Addr().String()
	b.storeServer = &http.Server{Handler: b.store}
	go func() { _ = b.storeServer.Serve(l) }()
	b.record("trouble: %t", b.trouble)
	return b, nil
}

// record writes a line with the time since the start to the record.
func (b *bed) record(format string, args ...any) {
	b.recordMu.Lock()
	defer b.recordMu.Unlock()
	fmt.Fprintf(b.recordFile, "%8.3f  %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes.
func (b *bed) close() {
	for _, d := range b.daemons {
		d.kill()
	}
	for _, r := range b.replicas {
		r.kill()
	}
	b.storeServer.Close()
	b.recordFile.Close()
	os.RemoveAll(b.dir)
}

func kill(cmd *exec.Cmd, ended chan struct{}) {
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

func (d *daemon) kill()         { kill(d.cmd, d.ended) }
func (r *replicaProcess) kill() { kill(r.cmd, r.ended) }

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// addDaemon starts a daemon with the command and the settings template of the deploy file.
// Peers are the daemons that were added before.
func (b *bed) addDaemon() (*daemon, error) {
	d := &daemon{name: fmt.Sprintf("edge-%s-%d", zone, len(b.daemons)+1)}
	var metrics string
	for _, a := range []*string{&d.callers, &d.ready, &d.peers, &metrics} {
		var err error
		if *a, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	seeds := []string{}
	for _, other := range b.daemons {
		seeds = append(seeds, other.peers)
	}
	values := map[string]any{"node-name": d.name, "zone": zone, "listen.front": d.callers, "listen.ready": d.ready, "listen.control": d.peers,
		"provider.address": b.storeAddress, "seeds": seeds, "limits.cores": 1, "limits.cpu-share": 0.4, "limits.memory-mb": memoryMB,
		"heartbeat-ms": 1200, "bounds.grace-s": graceS, "bounds.retry-budget-ratio": 0.2, "bounds.retry-slack": 56, "bounds.budget-window-s": 10}
	template, err := os.ReadFile("deploy/eelgrassd.jsonc")
	if err != nil {
		return nil, err
	}
	text := strings.ReplaceAll(string(template), "{{ip}}:9464", metrics)
	for name, value := range values {
		raw, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		text = strings.ReplaceAll(text, "{{"+name+"|json}}", string(raw))
	}
	d.settings = filepath.Join(b.dir, d.name+".jsonc")
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	b.daemons = append(b.daemons, d)
	return d, b.startDaemon(d)
}

// startDaemon starts a daemon's process and waits until it is ready.
func (b *bed) startDaemon(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(b.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.cmd = exec.Command("target/eelgrassd", "-hosted")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "EELGRASSGRADE_SETTINGS=" + d.settings}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	// A daemon does not outlive a case that is killed.
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(d.cmd, d.ended)
	b.record("%s started, process %d", d.name, d.cmd.Process.Pid)
	return nil
}

// waitReady waits until all daemons are ready and have met each other.
func (b *bed) waitReady() error {
	for _, d := range b.daemons {
		for end := time.Now().Add(15 * time.Second); !d.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", d.name)
			}
		}
	}
	// Clients come 10 s after the machines at the site; 3 s suffice here.
	time.Sleep(3 * time.Second)
	b.record("all daemons are ready")
	return nil
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.ready + names.PathReady)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// addReplica starts a replica and registers it.
func (b *bed) addReplica(service string, spec replicaSpec) (*replicaProcess, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	spec.Address = address
	r := &replicaProcess{spec: spec, service: service, ended: make(chan struct{})}
	raw, err := json.Marshal(spec)
	if err != nil {
		return nil, err
	}
	r.cmd = exec.Command(os.Args[0], "replica", string(raw))
	r.cmd.Stderr = os.Stderr
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := r.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	b.replicas = append(b.replicas, r)
	lines := bufio.NewReader(output)
	if _, err := lines.ReadString('\n'); err != nil {
		return nil, fmt.Errorf("replica %s did not start: %w", spec.ID, err)
	}
	go func() {
		defer close(r.ended)
		for {
			line, err := lines.ReadString('\n')
			if err != nil {
				break
			}
			b.noteReplica(spec.ID + ": " + strings.TrimSpace(line))
		}
		_ = r.cmd.Wait()
	}()
	b.list(r, "ready")
	return r, nil
}

func (b *bed) noteReplica(line string) {
	b.mu.Lock()
	b.replicaLines = append(b.replicaLines, line)
	b.mu.Unlock()
	b.record("replica %s", line)
}

// list writes a replica's entry.
func (b *bed) list(r *replicaProcess, state string) {
	b.store.put("servers", r.spec.ID, map[string]any{"backend": r.service, "address": r.spec.Address, "zone": zone, "version": "v1", "slots": r.spec.Slots,
		"state": state, "cold-remaining-ms": 0, "seq": 1, "born": b.started.UnixMilli()})
}

// route returns a route of the manifest.
func route(name, routeType, service string, extra map[string]any) map[string]any {
	r := map[string]any{"name": name, "hostname": host, "prefix": "/" + name + "/", "route-type": routeType, "backend": service, "public": false,
		"attempts": 1, "priority": 2, "timeout-ms": 1200, "target-latency-ms": 200, "affinity": false, "stream-resume": false, "stages": []any{}}
	for k, v := range extra {
		r[k] = v
	}
	return r
}

const (
	host   = "pule25.example"
	apiKey = "9dnn2ctnfzs989anu6ws"
)

// writeManifest writes the operator's manifest with one tenant.
func (b *bed) writeManifest(version int, routes, services []any) {
	b.store.put("op", "config", map[string]any{"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "bozi300", "api-keys": []string{apiKey}, "priority": 1}}})
}

// channel is a client's connection to a daemon.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn, bufio.NewReader(conn)}, nil
}

func (c *channel) close() { c.conn.Close() }

// clientRequest is one client attempt.
type clientRequest struct {
	id, method, target string
	deadline           time.Duration
	header             map[string]string
	body               []byte
}

// clientAnswer is what a client got.
type clientAnswer struct {
	status int
	header http.Header
	body   string
	// err is set if there was no answer or it is incomplete.
	err  error
	took time.Duration
}

func (a *clientAnswer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, %d bytes, then %v, after %d ms", a.status, len(a.body), a.err, a.took.Milliseconds())
	}
	return fmt.Sprintf("status %d, %d bytes, complete, after %d ms", a.status, len(a.body), a.took.Milliseconds())
}

// send sends a request and reads the answer until its end or the client's time limit.
func (c *channel) send(r *clientRequest) *clientAnswer {
	began := time.Now()
	a := &clientAnswer{}
	defer func() { a.took = time.Since(began) }()
	_ = c.conn.SetDeadline(began.Add(r.deadline))
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n", r.method, r.target, host,
		names.RequestID, r.id, names.Deadline, r.deadline.Milliseconds(), apiKey)
	for k, v := range r.header {
		fmt.Fprintf(&text, "%s: %s\r\n", k, v)
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.body))
	}
	text.WriteString("\r\n")
	if _, err := c.conn.Write(append([]byte(text.String()), r.body...)); err != nil {
		a.err = err
		return a
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.header = resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	a.body, a.err = string(body), err
	return a
}

// linesOf returns what replicas have recorded of a request.
func (b *bed) linesOf(id string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var lines []string
	for _, line := range b.replicaLines {
		if strings.HasSuffix(line, " "+id) {
			lines = append(lines, line)
		}
	}
	return lines
}
