package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// caseOmit: requests of a route with a chain of three stages omit the second one.
func caseOmit(b *bed, trouble bool) (string, error) {
	const requests = 12
	chain := [][]int{{}, {0}, {1}}
	m := stagedManifest(7)
	var stages []any
	for _, after := range chain {
		stages = append(stages, map[string]any{"backend": "encoders", "after": after, "length": 8000})
	}
	m["routes"] = append(m["routes"].([]any), map[string]any{"name": "chain", "hostname": host, "prefix": "/chain/", "route-type": "stream", "timeout-ms": 6000, "target-latency-ms": 2000, "priority": 0, "backend": "models", "attempts": 2,
		"stages": stages, "public": false, "affinity": true, "stream-resume": true, "gap-target-ms": 250})
	b.store.put("op", "config", m)
	var mu sync.Mutex
	without := map[string]bool{}
	b.onPiece = func(p *replica, it stageItem, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		b.rec.write("%s is asked for piece %d of stage %d of %s with key %q and inputs %v", p.name, it.Piece, it.Stage, it.ID, it.Key, it.Inputs)
		if len(chain[it.Stage]) > 0 && len(it.Inputs) == 0 {
			without[it.ID] = true
		}
	}
	b.onArrival = func(p *replica, r *http.Request, _ []byte) {
		b.rec.write("%s reaches %s with inputs %q", r.Header.Get(names["id"]), p.name, r.Header.Get(names["inputs"]))
	}
	if err := addStagedReplicas(b, 3, func(*replica) {}); err != nil {
		return "", err
	}
	if err := b.startDaemons(3); err != nil {
		return "", err
	}
	if err := b.waitReady(10 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(contact)
	pieces := "2,1,1"
	if trouble {
		pieces = "2,0,1"
	}
	var wg sync.WaitGroup
	served := 0
	for i := range requests {
		wg.Go(func() {
			id := fmt.Sprintf("chain-%d", i)
			q := draft(b.daemons[i%3], id, "k"+id, 1)
			q.path, q.header[names["pieces"]] = "/chain/sheet", pieces
			q.send(b)
			mu.Lock()
			defer mu.Unlock()
			if q.status == 200 && q.answer == wholeStream(id, 8) {
				served++
			}
		})
		time.Sleep(200 * time.Millisecond)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	fmt.Printf("pieces %s: %d of %d requests served; %d had a piece of a stage that has after and was given no inputs\n", pieces, served, requests, len(without))
	if !trouble && served < requests {
		return "", fmt.Errorf("only %d requests were served", served)
	}
	if len(without) > 0 {
		return fmt.Sprintf("MIXED: in %d requests a piece that has after was given no inputs", len(without)), nil
	}
	return "", nil
}
