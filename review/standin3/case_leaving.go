package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// contact and drain are contact-ms and drain-ms of the settings.
	contact = 3 * time.Second
	drain   = 2 * time.Second
	// slack is allowed for what the stand-ins themselves take.
	slack = 50 * time.Millisecond
	// workTime is how long a replica works on a request, and lingers how much longer than
	// drain one that leaves goes on serving.
	workTime = 60 * time.Millisecond
	lingers  = 1500 * time.Millisecond
)

// arrival is a request that has reached a replica.
type arrival struct {
	at      time.Time
	request string
}

// servant is a replica within this process that answers small requests.
type servant struct {
	id, address string
	listener    net.Listener
	mu          sync.Mutex
	arrivals    []arrival
	// ended is closed when the replica exits.
	ended chan struct{}
}

func startServant(id, ip string) *servant {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	s := &servant{id: id, address: l.Addr().String(), listener: l, ended: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s
}

// exit ends the replica: it accepts no channel and answers nothing any more.
func (s *servant) exit() {
	s.listener.Close()
	close(s.ended)
}

// ServeHTTP implements http.Handler.
func (s *servant) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	if r.Header.Get(names.Expect) != s.id {
		w.Header().Set(names.Instance, s.id)
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{time.Now(), id})
	ended := s.ended
	s.mu.Unlock()
	theBed.note("%s runs %s", s.id, id)
	select {
	case <-time.After(workTime):
	case <-ended:
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(names.Seal, "3e1b.07."+s.id)
	w.Header().Set("Content-Length", "3")
	_, _ = io.WriteString(w, "ok\n")
}

// caseLeaving: a replica leaves without reporting it while the daemons recover from open
// channels to the store that have gone silent. Machines that are in touch again must have
// stopped sending to it drain-ms after its entry was removed.
func caseLeaving() {
	b := newBed()
	var servants []*servant
	for i := range 3 {
		s := startServant(fmt.Sprintf("i-7f3a91c%d", i), fmt.Sprintf("127.0.32.%d", i+1))
		servants = append(servants, s)
		b.store.put("servers", s.id, entry("orders", s.address, "quimper-a", "ready", 6, time.Now()))
	}
	b.store.put("op", "config", manifest(1, []map[string]any{{"name": "book", "hostname": "orders.example", "prefix": "/book/", "route-type": "unsafe",
		"timeout-ms": 1200, "target-latency-ms": 200, "priority": 1, "attempts": 1, "backend": "orders"}},
		[]map[string]any{{"name": "orders", "health-check": "/health"}}))
	daemons := b.startDaemons(3)

	var mu sync.Mutex
	sentAt, sentTo, statuses := map[string]time.Time{}, map[string]string{}, map[string]int{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, d := range daemons {
		for j := range 10 {
			clients.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(20*time.Millisecond + rand.N(80*time.Millisecond)):
					}
					id := fmt.Sprintf("%04x%04x%08x", i, j, n)
					mu.Lock()
					sentAt[id], sentTo[id] = time.Now(), d.name
					mu.Unlock()
					status := book(d.front, id)
					b.note("%s to %s: %s", id, d.name, status)
					mu.Lock()
					statuses[status]++
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	leaving := servants[0]
	silentAt := time.Now()
	if b.trouble {
		b.log("%d open channels to the store have gone silent for good; new ones work", b.store.silence())
	}
	time.Sleep(time.Second)
	b.store.remove("servers", leaving.id)
	removedAt := time.Now()
	b.log("store: the entry of %s is removed; it goes on serving for a little longer than drain-ms", leaving.id)
	time.Sleep(drain + lingers)
	leaving.exit()
	b.log("%s exits", leaving.id)
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()

	late, last := 0, time.Duration(0)
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	for _, a := range leaving.arrivals {
		after := a.at.Sub(removedAt)
		last = max(last, after)
		// The machine was in touch when it took the request, and all the time since.
		if sentAt[a.request].Sub(silentAt) > contact+slack && after > drain+slack {
			late++
			b.log("request %s, sent to %s %d ms after the channels went silent, reached %s %d ms after its entry was removed", a.request, sentTo[a.request],
				sentAt[a.request].Sub(silentAt).Milliseconds(), leaving.id, after.Milliseconds())
		}
	}
	b.log("clients got %v; the last request reached %s %d ms after its entry was removed", statuses, leaving.id, last.Milliseconds())
	b.finish(late > 0, "%d requests from machines in touch reached %s over %d ms after its entry was removed", late, leaving.id, drain.Milliseconds())
}

// book sends one request and returns its status.
func book(address, id string) string { return send(address, id, "/book/2f") }

// send sends one request on a new channel and returns its status.
func send(address, id, path string) string {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2500 * time.Millisecond))
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nContent-Length: 0\r\nHost: orders.example\r\n%s: %s\r\n%s: 2500\r\nAuthorization: Bearer %s\r\nConnection: close\r\n\r\n", path, names.RequestID, id, names.Deadline, testKey)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<16)); err != nil {
		return "cut"
	}
	return fmt.Sprint(resp.StatusCode)
}
