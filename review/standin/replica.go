package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replicaSpec describes a replica.
type replicaSpec struct {
	ID      string
	Address string
	// Slots is the number of requests that run at once; the others wait.
	Slots int
	// WorkMs is the time that a request takes which is no stream.
	WorkMs int
	// StepMs is the time between two events of a stream. An event holds stride tokens.
	StepMs int
	// RereadMs is the time in which a preempted request is read in again.
	RereadMs int
	// TokensPerMs is the number of prompt tokens that are read in a millisecond, and FirstMs
	// the rest of the time to the first event. 0 tokens mean that prompts take no time.
	TokensPerMs float64
	FirstMs     int
	// CallMs and PieceMs are the times of a call that runs pieces of a stage.
	CallMs, PieceMs int
}

// pathSlow is a path of the stand-in's own: its body is the factor by which all work takes
// longer from now on.
const pathSlow = "/standin/slow"

// stride is the number of tokens of an event of a stream.
const stride = 3

// replica runs requests. Streams run in the order of their priority, then of their
// arrival: if a more urgent one arrives and there is no room for all, the newest of the
// least urgent ones is preempted, also in the middle of its stream, and goes on when
// there is room again.
type replica struct {
	spec     replicaSpec
	outputMu sync.Mutex

	mu       sync.Mutex
	admitted []*run
	arrivals int
	// changed is closed and replaced when a run begins or ends.
	changed chan struct{}
	// slowness is the factor by which work takes longer.
	slowness float64
	handles  int
	// stageMu is held during a call that runs pieces: one runs at a time.
	stageMu sync.Mutex
}

type run struct{ priority, arrival int }

// runReplica serves until the process is killed.
func runReplica(specJSON string) error {
	p := &replica{changed: make(chan struct{}), slowness: 1}
	if err := json.Unmarshal([]byte(specJSON), &p.spec); err != nil {
		return err
	}
	l, err := net.Listen("tcp", p.spec.Address)
	if err != nil {
		return err
	}
	go exitOnOrphan(os.Getppid())
	p.record("listening", "-")
	return http.Serve(l, p)
}

// record writes a line about a request to standard output.
func (p *replica) record(event, request string) {
	p.outputMu.Lock()
	defer p.outputMu.Unlock()
	fmt.Printf("%s %s\n", event, request)
}

// ServeHTTP implements http.Handler.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == pathSlow {
		p.setSlowness(r)
		return
	}
	id := r.Header.Get(names.RequestID)
	if expected := r.Header.Get(names.ExpectInstance); expected != "" && expected != p.spec.ID {
		w.Header().Set(names.InstanceID, p.spec.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case names.PathStageRun:
		p.runPieces(w, r)
		return
	case names.PathStageFree:
		return
	}
	if id == "" {
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var start bytes.Buffer
	size, err := io.Copy(io.Discard, io.TeeReader(r.Body, &limitedWriter{&start, len(crashingBody)}))
	if err != nil {
		return
	}
	p.record(fmt.Sprintf("arrived %s %s", r.Method, r.RequestURI), id)
	if r.Header.Get(names.TokenCount) != "" {
		p.stream(w, r, id)
		return
	}
	current := p.begin(r)
	defer p.end(current)
	if !p.waitForRoom(r, current) {
		return
	}
	p.record("ran", id)
	if start.String() == crashingBody {
		p.record("crashes", id)
		os.Exit(crashStatus)
	}
	p.work(r, time.Duration(p.spec.WorkMs)*time.Millisecond)
	answer := fmt.Sprintf("answer to %s of %d bytes", id, size)
	w.Header().Set(names.RequestID, id)
	w.Header().Set(names.Seal, "seal."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
	p.record("answered", id)
}

// A request whose body begins with crashingBody ends each replica that begins to run it.
const (
	crashingBody = "crash:"
	crashStatus  = 7
)

// limitedWriter passes the first bytes on and drops the others.
type limitedWriter struct {
	w    io.Writer
	left int
}

func (l *limitedWriter) Write(b []byte) (int, error) {
	n := min(len(b), l.left)
	l.left -= n
	if _, err := l.w.Write(b[:n]); err != nil {
		return 0, err
	}
	return len(b), nil
}

// begin adds a request to those that want to run.
func (p *replica) begin(r *http.Request) *run {
	priority, err := strconv.Atoi(r.Header.Get(names.RequestPriority))
	if err != nil {
		priority = 5
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals++
	x := &run{priority, p.arrivals}
	p.admitted = append(p.admitted, x)
	slices.SortFunc(p.admitted, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrival, b.arrival))
	})
	p.notify()
	return x
}

func (p *replica) end(x *run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.admitted = slices.DeleteFunc(p.admitted, func(y *run) bool { return x == y })
	p.notify()
}

func (p *replica) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// hasRoom reports whether a request runs, and returns a channel that is closed when that
// may have changed.
func (p *replica) hasRoom(x *run) (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.admitted, x)
	return i >= 0 && i < p.spec.Slots, p.changed
}

// waitForRoom waits until a request runs. It returns false if its channel was closed.
func (p *replica) waitForRoom(r *http.Request, x *run) bool {
	for {
		room, changed := p.hasRoom(x)
		if room {
			return r.Context().Err() == nil
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

// eventCount returns the number of events of a request's whole stream.
func eventCount(tokenCount string) int {
	_, output, _ := strings.Cut(tokenCount, ",")
	n, _ := strconv.Atoi(strings.TrimSpace(output))
	return n / stride
}

// streamEvent returns an event of a request's stream, counted from 1.
func streamEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s.%d\n\n", n, id, n) }

// stream answers with a stream of events, from the one after the last that the sender has.
func (p *replica) stream(w http.ResponseWriter, r *http.Request, id string) {
	last, _ := strconv.Atoi(r.Header.Get(names.LastEventID))
	current := p.begin(r)
	defer p.end(current)
	out := &eventWriter{w: w, id: id}
	for n := last + 1; n <= eventCount(r.Header.Get(names.TokenCount)); n++ {
		if room, _ := p.hasRoom(current); !room && n > last+1 {
			p.record(fmt.Sprintf("preempted after event %d", n-1), id)
			if !p.waitForRoom(r, current) {
				p.record(fmt.Sprintf("its channel was closed after event %d", n-1), id)
				return
			}
			time.Sleep(time.Duration(p.spec.RereadMs) * time.Millisecond)
			p.record(fmt.Sprintf("goes on with event %d", n), id)
		} else if !p.waitForRoom(r, current) {
			p.record(fmt.Sprintf("its channel was closed after event %d", n-1), id)
			return
		}
		if n == last+1 {
			if !p.work(r, p.prefillTime(r)) {
				p.record("its channel was closed before its first event", id)
				return
			}
			p.record(fmt.Sprintf("ran from event %d", n), id)
		}
		if err := out.write(streamEvent(id, n)); err != nil {
			p.record(fmt.Sprintf("its channel was closed before event %d", n), id)
			return
		}
		time.Sleep(time.Duration(p.spec.StepMs) * time.Millisecond)
	}
	// A stream of which the sender has all events gets its head here.
	_ = out.write("")
	p.record("answered", id)
}

// eventWriter writes the head and the events of a stream.
type eventWriter struct {
	w     http.ResponseWriter
	id    string
	begun bool
}

func (e *eventWriter) write(text string) error {
	if !e.begun {
		e.begun = true
		h := e.w.Header()
		h.Set(names.RequestID, e.id)
		h.Set(names.Seal, "seal."+e.id)
		h.Set("Content-Type", "text/event-stream")
	}
	if _, err := io.WriteString(e.w, text); err != nil {
		return err
	}
	return http.NewResponseController(e.w).Flush()
}

// setSlowness sets the factor in the body of a request of the case.
func (p *replica) setSlowness(r *http.Request) {
	text, _ := io.ReadAll(r.Body)
	factor, err := strconv.ParseFloat(string(text), 64)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slowness = factor
}

// work takes d, or longer while the replica is slow. It returns false if the channel of the
// request was closed.
func (p *replica) work(r *http.Request, d time.Duration) bool {
	const step = 10 * time.Millisecond
	for last := time.Now(); d > 0; {
		if r.Context().Err() != nil {
			return false
		}
		p.mu.Lock()
		slowness := p.slowness
		p.mu.Unlock()
		time.Sleep(min(step, time.Duration(float64(d)*slowness)))
		now := time.Now()
		d -= time.Duration(float64(now.Sub(last)) / slowness)
		last = now
	}
	return true
}

// prefillTime returns the time from the start of a request to its first event.
func (p *replica) prefillTime(r *http.Request) time.Duration {
	if p.spec.TokensPerMs == 0 {
		return 0
	}
	prompt, _, _ := strings.Cut(r.Header.Get(names.TokenCount), ",")
	tokens, _ := strconv.Atoi(strings.TrimSpace(prompt))
	return time.Duration((float64(tokens)/p.spec.TokensPerMs + float64(p.spec.FirstMs)) * float64(time.Millisecond))
}

// runPieces answers a call that runs pieces of a stage.
func (p *replica) runPieces(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Items []struct {
			ID string `json:"id"`
		} `json:"items"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.stageMu.Lock()
	defer p.stageMu.Unlock()
	p.work(r, time.Duration(p.spec.CallMs+len(call.Items)*p.spec.PieceMs)*time.Millisecond)
	items := []map[string]string{}
	for _, item := range call.Items {
		p.handles++
		p.record("made a piece of", item.ID)
		items = append(items, map[string]string{"handle": fmt.Sprintf("%s/%s%x", p.spec.Address, item.ID, p.handles)})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items})
}

// exitOnOrphan ends the process when its parent has ended.
func exitOnOrphan(parent int) {
	for range time.Tick(500 * time.Millisecond) {
		if os.Getppid() != parent {
			os.Exit(3)
		}
	}
}
