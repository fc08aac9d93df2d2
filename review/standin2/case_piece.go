package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	contact = 3 * time.Second
	key     = "k-carvers"
	host    = "h.example"
)

// stagedManifest is a manifest with a model service behind one stage, and a plain service.
func stagedManifest(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "draft", "hostname": host, "prefix": "/draft/", "route-type": "stream", "timeout-ms": 6000, "target-latency-ms": 2000, "priority": 0, "backend": "models", "attempts": 2,
				"stages": []any{map[string]any{"backend": "encoders", "after": []int{}, "length": 8000}}, "public": false, "affinity": true, "stream-resume": true, "gap-target-ms": 250},
			map[string]any{"name": "book", "hostname": host, "prefix": "/book/", "route-type": "unsafe", "timeout-ms": 2500, "target-latency-ms": 200, "priority": 2, "backend": "desk", "attempts": 1, "public": false},
			map[string]any{"name": "look", "hostname": host, "prefix": "/look/", "route-type": "safe", "timeout-ms": 2500, "target-latency-ms": 200, "priority": 2, "backend": "desk", "attempts": 2, "public": false},
		},
		"services": []any{
			map[string]any{"name": "models", "health-check": "/health", "max-connections": 620, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 128, "kv-capacity": 262380}},
			map[string]any{"name": "encoders", "health-check": "/health", "max-connections": 620, "protocol": "h1", "tls": false,
				"pieces": map[string]any{"slots": 1, "queue": 2, "batch": 8, "call-ms": 100.0, "item-ms": 10.0, "headroom-mb": 18.0, "handle-s": 4.0, "link-mbps": 10000}},
			map[string]any{"name": "desk", "health-check": "/health", "max-connections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "workshop", "api-keys": []string{key}, "priority": 1}},
	}
}

// addStagedReplicas adds the replicas of stagedManifest, with the given number for models.
func addStagedReplicas(b *bed, models int, change func(p *replica)) error {
	add := func(service string, n int, create func() *replica) error {
		for i := range n {
			p := create()
			p.service, p.name, p.zone, p.restartAfter = service, fmt.Sprintf("%s%d", service, i+1), "a", 2*time.Second
			change(p)
			if err := b.addReplica(p); err != nil {
				return err
			}
			p.start()
		}
		return nil
	}
	err := add("models", models, func() *replica {
		return &replica{slots: 128, work: 60 * time.Millisecond, events: 8, eventGap: 20 * time.Millisecond}
	})
	if err == nil {
		err = add("encoders", 4, func() *replica {
			return &replica{slots: 1, callTime: 100 * time.Millisecond, itemTime: 10 * time.Millisecond}
		})
	}
	if err == nil {
		err = add("desk", 3, func() *replica { return &replica{slots: 6, work: 30 * time.Millisecond} })
	}
	return err
}

// draft returns a request of the route with a stage.
func draft(d *daemon, id, pieceKey string, pieces int) *request {
	return &request{daemon: d, method: http.MethodPost, host: host, path: "/draft/sheet", key: key, id: id, body: "motif of " + pieceKey, deadline: 5 * time.Second,
		header: map[string]string{names["model"]: "m", names["tokens"]: "600,40", names["prompt"]: "5c1e07a2:400,own" + pieceKey + ":200", names["pieces"]: fmt.Sprint(pieces), names["pieceKey"]: pieceKey}}
}

// casePiece: a request crashes each replica that begins to run a piece of it, and comes
// again. Counted are its retries that reach replicas later than the contact time after the
// third crash.
func casePiece(b *bed, trouble bool) (string, error) {
	const bad = "bad0bad0bad0"
	var mu sync.Mutex
	var crashes []time.Time
	type arrival struct {
		at time.Time
		id string
	}
	var arrivals []arrival
	b.onPiece = func(p *replica, it stageItem, at time.Time) {
		if it.Key != bad {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, arrival{at, it.ID})
		b.rec.write("a piece of %s reaches %s", it.ID, p.name)
	}
	b.onCrash = func(p *replica, id string) {
		mu.Lock()
		defer mu.Unlock()
		crashes = append(crashes, time.Now())
		b.rec.write("replica %s crashes as it begins to run a piece of %s", p.name, id)
	}
	b.store.put("op", "config", stagedManifest(7))
	err := addStagedReplicas(b, 3, func(p *replica) {
		if trouble {
			p.crashOn = func(k string) bool { return k == bad }
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
	// Sound requests of other clients, all the while.
	stop := make(chan struct{})
	var wg sync.WaitGroup
	served, failed := 0, 0
	for c := range 6 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(500 * time.Millisecond):
				}
				id := fmt.Sprintf("sound-%d-%d", c, i)
				q := draft(b.daemons[c%3], id, id, 2).send(b)
				mu.Lock()
				if q.status == 200 && q.err == nil && q.answer == wholeStream(id, 8) {
					served++
				} else {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	// The request comes again every two seconds, at any daemon.
	for i := range 14 {
		wg.Go(func() { draft(b.daemons[i%3], fmt.Sprintf("bad-%d", i), bad, 1).send(b) })
		time.Sleep(2 * time.Second)
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	b.rec.write("%d crashes, %d pieces of the request arrived; of the sound requests %d were served, %d not", len(crashes), len(arrivals), served, failed)
	fmt.Printf("%d crashes, %d arrivals, sound: %d served, %d not\n", len(crashes), len(arrivals), served, failed)
	if len(crashes) < 3 {
		if !trouble && served == 0 {
			return "", fmt.Errorf("no sound request was served")
		}
		return "", nil
	}
	late := map[string]bool{}
	lateArrivals := 0
	for _, a := range arrivals {
		if a.at.Sub(crashes[2]) > contact {
			late[a.id] = true
			lateArrivals++
		}
	}
	if len(late) > 3 {
		return fmt.Sprintf("BUDGET: the request reached replicas in %d retries (%d times) later than %v after the third crash; 3 are allowed", len(late), lateArrivals, contact), nil
	}
	return "", nil
}
