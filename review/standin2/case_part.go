package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// casePart: one part of prompts crashes each model replica that begins an answer on it, in
// requests of which no two are alike. Sound requests share their other parts.
func casePart(b *bed, trouble bool) (string, error) {
	const replicas, part = 12, "bad0bad0"
	var mu sync.Mutex
	var crashes []time.Time
	arrivals := map[string]time.Time{}
	b.onArrival = func(p *replica, r *http.Request, _ []byte) {
		if !strings.Contains(r.Header.Get(names["prompt"]), part) {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get(names["id"])
		arrivals[id] = time.Now()
		b.rec.write("%s reaches %s", id, p.name)
	}
	b.onCrash = func(p *replica, id string) {
		mu.Lock()
		defer mu.Unlock()
		crashes = append(crashes, time.Now())
		b.rec.write("replica %s crashes as it begins to run %s", p.name, id)
	}
	m := stagedManifest(7)
	m["routes"] = append(m["routes"].([]any), map[string]any{"name": "quick", "hostname": host, "prefix": "/quick/", "route-type": "stream", "timeout-ms": 9000, "target-latency-ms": 2000,
		"priority": 1, "backend": "models", "attempts": 2, "public": false, "affinity": true, "stream-resume": true, "gap-target-ms": 500})
	b.store.put("op", "config", m)
	err := addStagedReplicas(b, replicas, func(p *replica) {
		p.restartAfter = 3500 * time.Millisecond
		if p.service == "models" && trouble {
			p.crashOn = func(body string) bool { return strings.HasPrefix(body, "bad") }
		}
	})
	if err != nil {
		return "", err
	}
	if err := b.startDaemons(6); err != nil {
		return "", err
	}
	if err := b.waitReady(10 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(contact)
	var wg sync.WaitGroup
	served, sound := 0, 0
	began := time.Now()
	for i := 0; time.Since(began) < 25*time.Second; i++ {
		time.Sleep(40 * time.Millisecond)
		kind := "bad"
		prompt := fmt.Sprintf("a1:100,%s:60,own%d:50", part, i)
		if i%4 == 3 {
			kind, prompt = "sound", fmt.Sprintf("a1:100,c%d:60,own%d:50", i%7, i)
		}
		wg.Go(func() {
			id := fmt.Sprintf("%s-%d", kind, i)
			q := (&request{daemon: b.daemons[i%6], method: http.MethodPost, host: host, path: "/quick/ask", key: key, id: id, body: kind + " " + id, deadline: 6 * time.Second,
				header: map[string]string{names["model"]: "m", names["tokens"]: "210,40", names["prompt"]: prompt}}).send(b)
			mu.Lock()
			defer mu.Unlock()
			if kind == "sound" {
				sound++
				if q.status == 200 && q.answer == wholeStream(id, 8) {
					served++
				}
			}
		})
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range arrivals {
		if len(crashes) >= 5 && at.Sub(crashes[4]) > contact {
			late++
		}
	}
	fmt.Printf("%d crashes, %d requests with the part reached replicas, %d of them later than %v after the fifth crash; %d of %d sound requests served\n", len(crashes), len(arrivals), late, contact, served, sound)
	if late > 3 {
		return fmt.Sprintf("BUDGET: %d requests with the part reached replicas later than %v after the fifth crash; 3 are allowed", late, contact), nil
	}
	return "", nil
}
