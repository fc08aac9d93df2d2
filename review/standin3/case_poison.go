package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// poisonPath is the path of the request that crashes the replicas that run it.
const poisonPath = "/book/poison"

// poisoned is a replica whose machine crashes when it begins to run the request.
type poisoned struct {
	*servant
	machine *machine
	bed     *bed
	crashed func(id, request string)
	// crashing is held while the machine is dark.
	crashing sync.Mutex
}

// ServeHTTP implements http.Handler.
func (p *poisoned) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.RequestID)
	if r.URL.Path != poisonPath || r.Header.Get(names.Expect) != p.id || !p.bed.trouble {
		p.servant.ServeHTTP(w, r)
		return
	}
	p.crashing.Lock()
	defer p.crashing.Unlock()
	p.crashed(p.id, id)
	p.machine.losePower()
	time.Sleep(2 * time.Second)
	p.mu.Lock()
	close(p.ended)
	p.ended = make(chan struct{})
	p.mu.Unlock()
	p.bed.store.put("servers", p.id, entry("orders", p.address, "quimper-a", "ready", 6, time.Now()))
	p.machine.regainPower()
	panic(http.ErrAbortHandler)
}

// casePoison: a request crashes the machine of each replica that begins to run it. It comes
// again and again, and must be kept from the replicas after a few crashes.
func casePoison() {
	b := newBed()
	type crash struct {
		at      time.Time
		replica string
	}
	var mu sync.Mutex
	var crashes []crash
	sentAt := map[string]time.Time{}
	var late []string
	crashed := func(replica, request string) {
		mu.Lock()
		defer mu.Unlock()
		crashes = append(crashes, crash{time.Now(), replica})
		note := ""
		if n := len(crashes); n > 3 && sentAt[request].Sub(crashes[2].at) > contact+slack {
			late = append(late, request)
			note = fmt.Sprintf(", sent %d ms after the third", sentAt[request].Sub(crashes[2].at).Milliseconds())
		}
		b.log("crash %d: request %s has crashed %s%s", len(crashes), request, replica, note)
	}
	for i := range 4 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.32.%d:0", i+1))
		check(err)
		m := &machine{TCPListener: l.(*net.TCPListener)}
		s := &servant{id: fmt.Sprintf("i-7f3a91c%d", i), address: l.Addr().String(), ended: make(chan struct{})}
		p := &poisoned{servant: s, machine: m, bed: b, crashed: crashed}
		go func() { _ = http.Serve(m, p) }()
		b.store.put("servers", s.id, entry("orders", s.address, "quimper-a", "ready", 6, time.Now().Add(-time.Minute)))
	}
	b.store.put("op", "config", manifest(1, []map[string]any{{"name": "book", "hostname": "orders.example", "prefix": "/book/", "route-type": "unsafe",
		"timeout-ms": 1200, "target-latency-ms": 200, "priority": 1, "attempts": 1, "backend": "orders"}},
		[]map[string]any{{"name": "orders", "health-check": "/health"}}))
	daemons := b.startDaemons(3)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	statuses, poison := map[string]int{}, map[string]int{}
	for i, d := range daemons {
		for j := range 3 {
			clients.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(100*time.Millisecond + rand.N(200*time.Millisecond)):
					}
					id := fmt.Sprintf("%04x%04x%08x", i, j, n)
					status := book(d.front, id)
					b.note("%s to %s: %s", id, d.name, status)
					mu.Lock()
					statuses[status]++
					mu.Unlock()
				}
			})
		}
	}
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(800 * time.Millisecond):
			}
			id := fmt.Sprintf("dead%012x", n)
			mu.Lock()
			sentAt[id] = time.Now()
			mu.Unlock()
			d := daemons[n%len(daemons)]
			status := send(d.front, id, poisonPath)
			b.note("%s to %s: %s", id, d.name, status)
			mu.Lock()
			poison[status]++
			mu.Unlock()
		}
	})
	time.Sleep(22 * time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	b.log("answers to the request: %v; to others: %v", poison, statuses)
	b.finish(len(late) > 3, "%d retries reached replicas that were sent over %d ms after the request had crashed the third; the bound is 3", len(late), contact.Milliseconds())
}
