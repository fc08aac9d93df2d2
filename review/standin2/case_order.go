package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// caseOrder: a manifest adds a route whose first stage needs the results of its second one,
// takes a key away and moves a route to another service.
func caseOrder(b *bed, trouble bool) (string, error) {
	const dropped, configApply = "k-dropped", 2 * time.Second
	manifest := func(version int, changed bool) map[string]any {
		m := stagedManifest(version)
		m["services"] = append(m["services"].([]any), map[string]any{"name": "newdesk", "health-check": "/health", "max-connections": 110, "protocol": "h1", "tls": false})
		keys := []string{key, dropped}
		routes := m["routes"].([]any)
		if changed {
			keys = []string{key}
			routes[2].(map[string]any)["backend"] = "newdesk"
			encode := map[string]any{"backend": "encoders", "after": []int{}, "length": 8000}
			rank := map[string]any{"backend": "encoders", "after": []int{1}, "length": 4000}
			stages := []any{rank, encode}
			if !trouble {
				rank["after"] = []int{0}
				stages = []any{encode, rank}
			}
			routes = append(routes, map[string]any{"name": "rank", "hostname": host, "prefix": "/rank/", "route-type": "stream", "timeout-ms": 6000, "target-latency-ms": 2000, "priority": 1, "backend": "models", "attempts": 1,
				"stages": stages, "public": false, "affinity": true, "stream-resume": false, "gap-target-ms": 250})
		}
		m["routes"], m["tenants"] = routes, []any{map[string]any{"name": "workshop", "api-keys": keys, "priority": 1}}
		return m
	}
	var mu sync.Mutex
	ranAt := map[string]string{}
	b.onArrival = func(p *replica, r *http.Request, _ []byte) {
		mu.Lock()
		defer mu.Unlock()
		ranAt[r.Header.Get(names["id"])] = p.service
		b.rec.write("%s runs at %s (%s)", r.Header.Get(names["id"]), p.name, p.service)
	}
	b.store.put("op", "config", manifest(7, false))
	if err := addStagedReplicas(b, 3, func(*replica) {}); err != nil {
		return "", err
	}
	desk := &replica{service: "newdesk", name: "newdesk1", zone: "a", slots: 6, work: 30 * time.Millisecond}
	if err := b.addReplica(desk); err != nil {
		return "", err
	}
	desk.start()
	if err := b.startDaemons(3); err != nil {
		return "", err
	}
	if err := b.waitReady(10 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(contact)
	look := func(id, k string, i int) *request {
		return (&request{daemon: b.daemons[i%3], method: http.MethodGet, host: host, path: "/look/up", key: k, id: id, deadline: 2500 * time.Millisecond}).send(b)
	}
	for i := range 6 {
		if q := look(fmt.Sprintf("before-%d", i), dropped, i); q.status != 200 {
			return "", fmt.Errorf("before the change a request got %d %v", q.status, q.err)
		}
	}
	b.store.put("op", "config", manifest(12, true))
	b.rec.write("the store has confirmed version 12: the key %s is gone, /look/ goes to newdesk, the route /rank/ is new", dropped)
	confirmed := time.Now()
	time.Sleep(configApply + 500*time.Millisecond)
	withDropped, atOld := 0, 0
	for i := range 45 {
		a, c := look(fmt.Sprintf("dropped-%d", i), dropped, i), look(fmt.Sprintf("moved-%d", i), key, i)
		mu.Lock()
		if ranAt[a.id] != "" {
			withDropped++
		}
		if ranAt[c.id] == "desk" {
			atOld++
		}
		mu.Unlock()
		time.Sleep(200 * time.Millisecond)
	}
	judged := time.Since(confirmed)
	// What a daemon does that starts now is told beside; it doesn't count for the rule.
	d := b.daemons[2]
	d.signal(syscall.SIGTERM)
	<-d.exited
	if err := d.start(); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	b.rec.write("5 s after its start, daemon %s is ready: %v", d.name, d.isReady())
	fmt.Printf("a daemon that starts now is ready after 5 s: %v\n", d.isReady())
	fmt.Printf("until %.1f s after the confirmation %d of 45 requests with the dropped key ran, and %d of 45 at the old service\n", judged.Seconds(), withDropped, atOld)
	if withDropped+atOld > 0 {
		return fmt.Sprintf("CONFIG: of requests sent 2.5 s and more after the confirmation, with a bound of 2 s, %d ran with a dropped key and %d at the old service", withDropped, atOld), nil
	}
	return "", nil
}
