package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["spot"] = runSpot }

// runSpot sends streams to two replicas whose answers end with their channels. One replica
// is taken away, two seconds after its notice if there is trouble, and later otherwise.
func runSpot(b *bed) ([]string, error) {
	const streams = 10
	b.writeManifest(1, []any{
		route("query", "stream", "model-bench", map[string]any{"timeout-ms": 20000, "target-latency-ms": 2000, "gap-target-ms": 250, "priority": 1}),
	}, []any{map[string]any{"name": "model-bench", "health-check": "/health", "max-connections": 620, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 128, "kv-capacity": 262380, "models": []any{map[string]any{"name": "m"}}}}})
	var leaving *replicaProcess
	for i := range 2 {
		r, err := b.addReplica("model-bench", replicaSpec{ID: fmt.Sprintf("i-%d", i+1), Slots: 128, StepMs: 100, Unframed: true})
		if err != nil {
			return nil, err
		}
		leaving = r
	}
	d, err := b.addDaemon()
	if err != nil {
		return nil, err
	}
	if err := b.waitReady(); err != nil {
		return nil, err
	}
	go func() {
		time.Sleep(time.Until(b.phase(500 * time.Millisecond)))
		b.list(leaving, "draining")
		b.record("%s reports that it leaves", leaving.spec.ID)
		wait := 2 * time.Second
		if !b.trouble {
			wait = 6 * time.Second
		}
		time.Sleep(wait)
		b.store.remove("servers", leaving.spec.ID)
		leaving.kill()
		b.record("%s is gone", leaving.spec.ID)
	}()
	var mu sync.Mutex
	var broken []string
	var clients sync.WaitGroup
	for i := range streams {
		clients.Go(func() {
			time.Sleep(time.Until(b.phase(0)))
			c, err := dial(d.callers)
			if err != nil {
				b.record("client %d: %v", i, err)
				return
			}
			defer c.close()
			id := fmt.Sprintf("5b07%02d", i)
			const events = 50
			a := c.send(streamRequest("query", id, events*stride, 20*time.Second))
			b.record("query %s: %s", id, a)
			if n := strings.Count(a.body, "\n\n"); a.err == nil && a.status == 200 && n < events {
				mu.Lock()
				broken = append(broken, fmt.Sprintf("%s: the client got %d of %d events as a complete answer", id, n, events))
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	time.Sleep(time.Until(b.phase(7 * time.Second)))
	return broken, nil
}
