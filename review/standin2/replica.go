package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// replica is a stand-in for one server of a service. A crash resets its channels and
// closes its port.
type replica struct {
	bed     *bed
	service string
	name    string
	address string
	zone    string
	slots   int
	// restartAfter is how long it is away after a crash.
	restartAfter time.Duration
	// crashOn says whether it crashes as it begins to run the work with a key.
	crashOn func(key string) bool
	// work is how long a request runs, callTime and itemTime the parts of a stage call.
	work, callTime, itemTime time.Duration
	// sameID replicas start again under the id that they had, and number their results anew.
	sameID bool
	// events is the number of events of a stream, eventGap the time between two.
	events   int
	eventGap time.Duration

	mu       sync.Mutex
	id       string
	lives    int
	server   *http.Server
	up       bool
	handles  map[string]string // handle to the request's id
	made     int
	stageMu  sync.Mutex // one call at a time
	inCall   int
	stopped  bool
	stopBeat context.CancelFunc
}

// start begins a lifetime.
func (p *replica) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", p.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		p.bed.fail("replica %s: %v", p.name, err)
		return
	}
	p.lives++
	p.id = fmt.Sprintf("i-%s-%d", p.name, p.lives)
	if p.sameID {
		p.id, p.made = "i-"+p.name, 0
	}
	p.handles, p.up = map[string]string{}, true
	id, lives, born := p.id, p.lives, time.Now().UnixMilli()
	p.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.serve(w, r, id, lives) }),
	}
	go func() { _ = p.server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	p.stopBeat = cancel
	p.bed.store.put("servers", id, p.entry(born))
	// An entry without a change is not written again by this stand-in's store: the daemons
	// are told of changes only.
	go func() {
		<-ctx.Done()
		p.mu.Lock()
		again := p.id == id && p.lives != lives
		p.mu.Unlock()
		if !again {
			p.bed.store.remove("servers", id)
		}
	}()
	p.bed.rec.write("replica %s (%s) starts as %s at %s", p.name, p.service, id, p.address)
}

func (p *replica) entry(born int64) map[string]any {
	return map[string]any{"backend": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots, "state": "ready", "cold-remaining-ms": 0, "seq": 1, "born": born}
}

// crash ends the present lifetime at once, because of the request id. The next begins after
// restartAfter; the entry lapses after three heartbeats of silence.
func (p *replica) crash(id string) {
	p.mu.Lock()
	if !p.up {
		p.mu.Unlock()
		return
	}
	p.up = false
	p.bed.onCrash(p, id)
	server, lapse := p.server, p.stopBeat
	p.mu.Unlock()
	// Close closes the port first, then the channels, as the end of a process does.
	_ = server.Close()
	time.AfterFunc(3*heartbeat, lapse)
	time.AfterFunc(p.restartAfter, p.start)
}

// end ends the replica for good.
func (p *replica) end() {
	p.mu.Lock()
	p.stopped = true
	server := p.server
	p.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

func (p *replica) serve(w http.ResponseWriter, r *http.Request, id string, life int) {
	w.Header().Set(names["instance"], id)
	if x := r.Header.Get(names["expect"]); x != "" && x != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case "/health":
		return
	case names["stageRun"]:
		p.runStage(w, r, body, life)
	case names["stageFree"]:
		p.free(body)
	default:
		p.runRequest(w, r, body, life)
	}
}

type stageItem struct {
	ID        string   `json:"id"`
	Stage     int      `json:"stage"`
	Piece     int      `json:"piece"`
	Remaining int64    `json:"remaining-ms"`
	Key       string   `json:"key"`
	Inputs    []string `json:"inputs"`
}

// runStage runs the pieces of one call, one call after the other.
func (p *replica) runStage(w http.ResponseWriter, r *http.Request, body []byte, life int) {
	arrived := time.Now()
	var call struct {
		Items []stageItem `json:"items"`
	}
	if json.Unmarshal(body, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	if p.inCall > 2 {
		p.mu.Unlock()
		w.Header().Set(names["notRun"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.inCall++
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.inCall--
	}()
	for _, it := range call.Items {
		p.bed.onPiece(p, it, arrived)
	}
	p.stageMu.Lock()
	defer p.stageMu.Unlock()
	if r.Context().Err() != nil || !p.goesOn(life) {
		return
	}
	for _, it := range call.Items {
		if p.crashOn != nil && p.crashOn(it.Key) {
			p.crash(it.ID)
			return
		}
	}
	started := time.Now()
	time.Sleep(p.callTime + time.Duration(len(call.Items))*p.itemTime)
	if !p.goesOn(life) {
		return
	}
	items := make([]map[string]string, len(call.Items))
	for i, it := range call.Items {
		if p.bed.fetch(p, it.ID, it.Inputs) == "gone" {
			items[i] = map[string]string{"reason": "gone"}
			continue
		}
		if it.Remaining > 0 && started.Sub(arrived) > time.Duration(it.Remaining)*time.Millisecond {
			items[i] = map[string]string{"reason": "late"}
			continue
		}
		p.mu.Lock()
		p.made++
		h := fmt.Sprintf("%s/%s-%d-%06x", p.address, p.name, life, p.made)
		if p.sameID {
			h = fmt.Sprintf("%s/%011x", p.address, p.made)
		}
		p.handles[h] = it.ID
		p.mu.Unlock()
		items[i] = map[string]string{"handle": h}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items})
}

// goesOn reports whether the lifetime goes on.
func (p *replica) goesOn(life int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.up && p.lives == life
}

func (p *replica) free(body []byte) {
	var call struct {
		Handles []string `json:"handles"`
	}
	_ = json.Unmarshal(body, &call)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range call.Handles {
		delete(p.handles, h)
	}
}

// runRequest runs a client's request.
func (p *replica) runRequest(w http.ResponseWriter, r *http.Request, body []byte, life int) {
	id := r.Header.Get(names["id"])
	p.bed.onArrival(p, r, body)
	w.Header().Set(names["id"], id)
	if in := r.Header.Get(names["inputs"]); in != "" && p.bed.fetch(p, id, strings.Split(in, ",")) == "gone" {
		w.Header().Set(names["notRun"], "1")
		w.WriteHeader(http.StatusConflict)
		return
	}
	if p.crashOn != nil && p.crashOn(string(body)) {
		p.crash(id)
		return
	}
	select {
	case <-r.Context().Done():
		return
	case <-time.After(p.work):
	}
	if !p.goesOn(life) {
		return
	}
	w.Header().Set(names["seal"], "seal."+id)
	if p.events == 0 {
		_, _ = io.WriteString(w, answerTo(id, body))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if n, err := strconv.Atoi(r.Header.Get(names["lastEvent"])); err == nil {
		first = n + 1
	}
	p.writeEvents(w, r, id, first)
}

// writeEvents writes a stream from an event on.
func (p *replica) writeEvents(w http.ResponseWriter, r *http.Request, id string, first int) {
	for i := first; i <= p.events; i++ {
		_, _ = io.WriteString(w, eventOf(id, i))
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(p.eventGap):
		}
	}
}

func answerTo(id string, body []byte) string { return "answer to " + id + ": " + string(body) }

func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, id) }

func wholeStream(id string, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(eventOf(id, i))
	}
	return b.String()
}
