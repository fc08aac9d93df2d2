package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// stillWorks is the time after which the replica before may not work on a request any more
// that goes on at another one.
const stillWorks = 400 * time.Millisecond

// caseTwice: one of four model replicas goes on with a request whose channel was closed, and
// preempts the requests that it runs for a while, in the middle of their streams.
func caseTwice(b *bed, trouble bool) (string, error) {
	const streams, events = 24, 50
	var mu sync.Mutex
	began := map[string]map[string]time.Time{} // by request, by replica
	last := map[string]map[string]time.Time{}  // the latest event
	note := func(m map[string]map[string]time.Time, id, name string, first bool) {
		mu.Lock()
		defer mu.Unlock()
		if m[id] == nil {
			m[id] = map[string]time.Time{}
		}
		if _, known := m[id][name]; !known || !first {
			m[id][name] = time.Now()
		}
	}
	b.onArrival = func(p *replica, r *http.Request, _ []byte) {
		note(began, r.Header.Get(names["id"]), p.name, true)
		b.rec.write("%s reaches %s, last event %q", r.Header.Get(names["id"]), p.name, r.Header.Get(names["lastEvent"]))
	}
	b.onEvent = func(p *replica, id string, n int) { note(last, id, p.name, false) }
	m := stagedManifest(7)
	m["routes"] = append(m["routes"].([]any), map[string]any{"name": "quick", "hostname": host, "prefix": "/quick/", "route-type": "stream", "timeout-ms": 20000, "target-latency-ms": 2000,
		"priority": 1, "backend": "models", "attempts": 2, "public": false, "affinity": false, "stream-resume": true, "gap-target-ms": 250})
	b.store.put("op", "config", m)
	err := addStagedReplicas(b, 4, func(p *replica) {
		if p.service != "models" {
			return
		}
		p.events, p.eventGap = events, 80*time.Millisecond
		if p.name == "models1" {
			p.keepsRunning = true
			if trouble {
				p.preempts = func(string) (int, time.Duration) { return 10, 2500 * time.Millisecond }
			}
		}
	})
	if err != nil {
		return "", err
	}
	if err := b.startDaemons(3); err != nil {
		return "", err
	}
	if err := b.waitReady(10 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(contact)
	var wg sync.WaitGroup
	whole := 0
	for i := range streams {
		wg.Go(func() {
			id := fmt.Sprintf("stream-%d", i)
			q := (&request{daemon: b.daemons[i%3], method: http.MethodPost, host: host, path: "/quick/ask", key: key, id: id, body: "question " + id, deadline: 18 * time.Second,
				header: map[string]string{names["model"]: "m", names["tokens"]: "200,80", names["prompt"]: fmt.Sprintf("a1:100,b%d:100", i)}}).send(b)
			mu.Lock()
			defer mu.Unlock()
			if q.answer == wholeStream(id, events) {
				whole++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(5 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for id, at := range began {
		for next, t := range at {
			for before, u := range last[id] {
				if before != next && at[before].Before(t) && u.Sub(t) > stillWorks {
					twice++
					b.rec.write("%s went on at %s, while %s worked on it until %d ms later", id, next, before, u.Sub(t).Milliseconds())
				}
			}
		}
	}
	fmt.Printf("%d of %d streams whole; %d went on at another replica while the one before worked on\n", whole, streams, twice)
	if twice > 0 {
		return fmt.Sprintf("TWICE: %d requests went on at another replica while the replica before still worked on them %v later", twice, stillWorks), nil
	}
	return "", nil
}
