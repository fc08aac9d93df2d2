package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// eventGap is the time between two events, and events the number of a stream's events.
	eventGap = 150 * time.Millisecond
	events   = 24
	// preemptedAfter is the event after which a replica preempts a stream, for preemptedFor.
	preemptedAfter = 5
	preemptedFor   = 1700 * time.Millisecond
	// handOver is the time for which two replicas may work on a request.
	handOver = 400 * time.Millisecond
)

// work is the work of a replica on a request.
type work struct {
	replica, request string
	from, to         time.Time
}

// streamer is a model replica. It preempts each stream that begins there once, and goes on
// with it also after its channel was closed.
type streamer struct {
	id   string
	bed  *bed
	done func(work)
}

// ServeHTTP implements http.Handler.
func (s *streamer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	if r.Header.Get(names.Expect) != s.id {
		w.Header().Set(names.Instance, s.id)
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get(names.LastEvent))
	this := work{replica: s.id, request: id, from: time.Now()}
	s.bed.log("%s begins to work on %s after event %d", s.id, id, last)
	w.Header().Set(names.Seal, "3e1b.07."+s.id)
	w.Header().Set("Content-Type", "text/event-stream")
	preempts := s.bed.trouble && last == 0
	closed := r.Context().Done()
	for n := last + 1; n <= events; n++ {
		if preempts && n == preemptedAfter+1 {
			s.bed.log("%s preempts %s", s.id, id)
			time.Sleep(preemptedFor)
			s.bed.log("%s goes on with %s", s.id, id)
		}
		time.Sleep(eventGap)
		select {
		case <-closed:
			s.bed.log("the channel of %s to %s is closed; it goes on working", id, s.id)
			closed = nil
		default:
		}
		// Nobody reads what is written after the close.
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		_ = http.NewResponseController(w).Flush()
	}
	this.to = time.Now()
	s.bed.log("%s has ended its work on %s", s.id, id)
	s.done(this)
}

// caseTwice: model replicas preempt streams, as they do when their memory runs out, and don't
// drop a request when its channel closes. A request must not go on at another replica while
// the one before still works on it.
func caseTwice() {
	b := newBed()
	var mu sync.Mutex
	var list []work
	done := func(w work) {
		mu.Lock()
		defer mu.Unlock()
		list = append(list, w)
	}
	for i := range 3 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.32.%d:0", i+1))
		check(err)
		s := &streamer{id: fmt.Sprintf("i-7f3a91c%d", i), bed: b, done: done}
		go func() { _ = http.Serve(l, s) }()
		b.store.put("servers", s.id, entry("bench", l.Addr().String(), "quimper-a", "ready", 128, time.Now().Add(-time.Minute)))
	}
	b.store.put("op", "config", manifest(1, []map[string]any{{"name": "digest", "hostname": "bench.example", "prefix": "/digest/", "route-type": "stream", "stream-resume": true,
		"timeout-ms": 20000, "target-latency-ms": 2000, "gap-target-ms": 250, "priority": 1, "attempts": 2, "backend": "bench"}},
		[]map[string]any{{"name": "bench", "health-check": "/health"}}))
	daemons := b.startDaemons(3)
	// The retry budget of a daemon grows in its first window.
	time.Sleep(8 * time.Second)
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Go(func() {
			id := fmt.Sprintf("9c41d07be2a35f%02x", i)
			b.log("client: %s got %s", id, stream(daemons[i%len(daemons)].front, id))
		})
		time.Sleep(time.Second)
	}
	clients.Wait()
	time.Sleep(preemptedFor + events*eventGap)
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for _, x := range list {
		for _, y := range list {
			if x.request != y.request || !y.from.After(x.from) {
				continue
			}
			both := x.to.Sub(y.from)
			b.log("%s: %s still worked on it %d ms after it had begun at %s", x.request, x.replica, both.Milliseconds(), y.replica)
			if both > handOver+slack {
				twice++
			}
		}
	}
	b.finish(twice > 0, "%d of 4 requests went on at another replica while the one before worked on it for over %d ms more", twice, handOver.Milliseconds())
}

// stream sends one request for a stream on a new channel and describes what came.
func stream(address, id string) string {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintf(c, "POST /digest/2f HTTP/1.1\r\nHost: bench.example\r\n%s: %s\r\n%s: 20000\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", names.RequestID, id, names.Deadline, testKey)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	return fmt.Sprintf("status %d, %d bytes, complete %v", resp.StatusCode, len(body), err == nil)
}
