package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
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

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	w     *bufio.Writer
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{f: f, w: bufio.NewWriter(f), began: time.Now()}, nil
}

func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}

// daemon is one process of the project with the addresses that the platform gave it.
type daemon struct {
	name, ip              string
	front, ready, control string
	settings              string
	bed                   *bed
	cmd                   *exec.Cmd
	exited                chan struct{}
}

// bed is an installation: the store, replicas and daemons.
type bed struct {
	dir, root string
	rec       *record
	store     *store
	storeAt   string
	daemons   []*daemon
	replicas  []*replica
	grace     time.Duration
	slack     int

	mu      sync.Mutex
	failure string
	// onPiece is called for each piece that arrives, onArrival for each request, onCrash
	// for each crash.
	onPiece   func(p *replica, it stageItem, at time.Time)
	onArrival func(p *replica, r *http.Request, body []byte)
	onCrash   func(p *replica, id string)
	// onForeign is called when a replica is given a result of another request as an input.
	onForeign func(p *replica, id, owner string)
}

// fetch fetches the inputs of a request's piece, or of the request itself. It returns "gone"
// if a result isn't there any more, and "foreign" if one belongs to another request.
func (b *bed) fetch(by *replica, id string, inputs []string) string {
	result := ""
	for _, h := range inputs {
		address, _, _ := strings.Cut(h, "/")
		owner, found := "", false
		for _, p := range b.replicas {
			if p.address == address {
				p.mu.Lock()
				if p.up {
					owner, found = p.handles[h]
				}
				p.mu.Unlock()
			}
		}
		switch {
		case !found:
			b.rec.write("%s at %s: input %s is gone", id, by.name, h)
			return "gone"
		case owner != id:
			b.rec.write("%s at %s: input %s is a result of %s", id, by.name, h, owner)
			b.onForeign(by, id, owner)
			result = "foreign"
		}
	}
	return result
}

func (b *bed) fail(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failure == "" {
		b.failure = fmt.Sprintf(format, args...)
	}
}

// newBed starts the store. root is the repository, rec the record.
func newBed(root, recordPath string) (*bed, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	b := &bed{dir: dir, root: root, rec: rec, store: newStore(), grace: 8 * time.Second, slack: 56,
		onPiece: func(*replica, stageItem, time.Time) {}, onArrival: func(*replica, *http.Request, []byte) {}, onCrash: func(*replica, string) {}, onForeign: func(*replica, string, string) {}}
	l, err := net.Listen("tcp", b.ip(200)+":0")
	if err != nil {
		return nil, err
	}
	b.storeAt = l.Addr().String()
	go func() { _ = http.Serve(l, b.store) }()
	return b, nil
}

// ip returns a loopback address of this run.
func (b *bed) ip(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, n)
}

// freePort returns a free port of an address.
func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// addReplica adds a replica; start starts it.
func (b *bed) addReplica(p *replica) error {
	address, err := freePort(b.ip(100 + len(b.replicas)))
	if err != nil {
		return err
	}
	p.bed, p.address = b, address
	b.replicas = append(b.replicas, p)
	return nil
}

var placeholder = regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`)

// startDaemons starts n daemons with the run line and the template of the deploy file.
func (b *bed) startDaemons(n int) error {
	var seeds []string
	for i := range n {
		d := &daemon{name: fmt.Sprintf("edge-a-%d", i+1), ip: b.ip(1 + i), bed: b}
		for _, a := range []*string{&d.front, &d.ready, &d.control} {
			var err error
			if *a, err = freePort(d.ip); err != nil {
				return err
			}
		}
		b.daemons = append(b.daemons, d)
		if i < 3 {
			seeds = append(seeds, d.control)
		}
	}
	for _, d := range b.daemons {
		if err := d.writeSettings(seeds); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings fills in the template of the deploy file.
func (d *daemon) writeSettings(seeds []string) error {
	template, err := os.ReadFile(filepath.Join(d.bed.root, "deploy", "eelgrassd.jsonc"))
	if err != nil {
		return err
	}
	values := map[string]any{"node-name": d.name, "zone": "a", "listen.front": d.front, "listen.ready": d.ready, "listen.control": d.control, "ip": d.ip,
		"provider.address": d.bed.storeAt, "seeds": seeds, "limits.cores": 1, "limits.cpu-share": 0.4, "limits.memory-mb": 284, "heartbeat-ms": heartbeat.Milliseconds(),
		"bounds.grace-s": d.bed.grace.Seconds(), "bounds.retry-budget-ratio": 0.2, "bounds.retry-slack": d.bed.slack, "bounds.budget-window-s": 10}
	var missing []string
	text := placeholder.ReplaceAllStringFunc(string(template), func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		v, ok := values[m[1]]
		if !ok {
			missing = append(missing, m[1])
			return ""
		}
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		out, err := json.Marshal(v)
		if err != nil {
			missing = append(missing, m[1])
		}
		return string(out)
	})
	if len(missing) > 0 {
		return fmt.Errorf("the template has placeholders that this stand-in does not know: %v", missing)
	}
	d.settings = filepath.Join(d.bed.dir, d.name+".jsonc")
	return os.WriteFile(d.settings, []byte(text), 0o600)
}

// start starts the process.
func (d *daemon) start() error {
	cmd := exec.Command(filepath.Join(d.bed.root, "target", "eelgrassd"), "-hosted", "-max-fds=4100", "-cold-overage=", "-cold-slack=", `-regions={"a":"r"}`)
	cmd.Dir = d.bed.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "EELGRASSGRADE_SETTINGS=" + d.settings}
	log, err := os.OpenFile(filepath.Join(d.bed.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.cmd, d.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	d.bed.rec.write("daemon %s starts, clients at %s", d.name, d.front)
	return nil
}

// signal sends a signal to the process if it runs.
func (d *daemon) signal(s syscall.Signal) {
	select {
	case <-d.exited:
	default:
		_ = d.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	<-d.exited
}

func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + d.ready + names["ready"])
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all daemons are ready.
func (b *bed) waitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, d := range b.daemons {
		for !d.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("daemon %s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes and replicas, and removes the temporary folder.
func (b *bed) close() {
	for _, d := range b.daemons {
		if d.cmd != nil {
			d.signal(syscall.SIGCONT)
			d.kill()
		}
	}
	for _, p := range b.replicas {
		p.end()
	}
	b.rec.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("kept:", b.dir)
	}
}

// request is one client attempt.
type request struct {
	daemon                   *daemon
	method, host, path, key  string
	id, body                 string
	deadline                 time.Duration
	header                   map[string]string
	status                   int
	retryAfter, answer, seal string
	err                      error
	sent, ended              time.Time
	transport                http.RoundTripper
}

// send sends a request on a new channel and waits for its answer.
func (q *request) send(b *bed) *request {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+q.daemon.front+q.path, strings.NewReader(q.body))
	if err != nil {
		q.err = err
		return q
	}
	r.Host = q.host
	r.Header.Set(names["id"], q.id)
	r.Header.Set(names["deadline"], fmt.Sprint(q.deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+q.key)
	for k, v := range q.header {
		r.Header.Set(k, v)
	}
	t := q.transport
	if t == nil {
		t = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	}
	q.sent = time.Now()
	b.rec.write("sent %s %s to %s", q.id, q.path, q.daemon.name)
	resp, err := t.RoundTrip(r)
	if err == nil {
		var buf strings.Builder
		_, err = bufio.NewReader(resp.Body).WriteTo(&buf)
		_ = resp.Body.Close()
		q.status, q.answer, q.retryAfter, q.seal = resp.StatusCode, buf.String(), resp.Header.Get("Retry-After"), resp.Header.Get(names["seal"])
	}
	q.err, q.ended = err, time.Now()
	b.rec.write("answered %s: status %d, retry after %q, %d bytes, error %v", q.id, q.status, q.retryAfter, len(q.answer), err)
	return q
}
