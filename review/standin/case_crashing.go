package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["crashing"] = runCrashing }

// runCrashing sends a request that crashes each replica, again and again with the same path,
// caller and body, beside sound ones, while two daemons are restarted in turn.
func runCrashing(b *bed) ([]string, error) {
	const (
		restarts = 6
		contact  = 3 * time.Second
		backIn   = 2 * time.Second
	)
	b.writeManifest(1, []any{route("book", "unsafe", "orders-desk", nil)},
		[]any{map[string]any{"name": "orders-desk", "health-check": "/health", "max-connections": 110, "protocol": "h1", "tls": false}})
	stop := make(chan struct{})
	for i := range 3 {
		r, err := b.addReplica("orders-desk", replicaSpec{ID: fmt.Sprintf("i-%d-1", i+1), Slots: 6, WorkMs: 100})
		if err != nil {
			return nil, err
		}
		go b.keepBack(r, i+1, backIn, stop)
	}
	for range 2 {
		if _, err := b.addDaemon(); err != nil {
			return nil, err
		}
	}
	if err := b.waitReady(); err != nil {
		return nil, err
	}
	// stopping is the index of the daemon that stops or starts and gets no new requests; -1
	// if none does.
	var mu sync.Mutex
	stopping, sound, lost := -1, 0, 0
	var clients sync.WaitGroup
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(65 * time.Millisecond):
			}
			clients.Go(func() {
				mu.Lock()
				d := i % 2
				if d == stopping {
					d = 1 - d
				}
				mu.Unlock()
				id := fmt.Sprintf("50%06d", i)
				a := b.sendBooking(b.daemons[d], id, "deposit of "+id)
				mu.Lock()
				defer mu.Unlock()
				if sound++; a.err != nil || a.status != 200 {
					lost++
					b.record("sound request %s to %s: %s%s", id, b.daemons[d].name, a, refusalDetail(a))
				}
			})
		}
	})
	// crashes holds when the requests were sent that crashed a replica.
	var crashes []time.Time
	sent := 0
	sendCrashing := func(d *daemon) {
		sent++
		id := fmt.Sprintf("dead%04d", sent)
		sentAt := time.Now()
		a := b.sendBooking(d, id, crashingBody+" the same each time")
		b.record("crashing request %s to %s: %s%s", id, d.name, a, refusalDetail(a))
		// What the replica has written arrives a little later.
		time.Sleep(50 * time.Millisecond)
		for _, line := range b.linesOf(id) {
			if strings.Contains(line, ": crashes ") {
				crashes = append(crashes, sentAt)
			}
		}
	}
	for i := range 4 {
		sendCrashing(b.daemons[i%2])
		time.Sleep(400 * time.Millisecond)
	}
	b.record("%d crashes before the first restart", len(crashes))
	for n := range restarts {
		d := b.daemons[n%2]
		if b.trouble {
			mu.Lock()
			stopping = n % 2
			mu.Unlock()
			_ = d.cmd.Process.Signal(syscall.SIGTERM)
			b.record("SIGTERM to %s", d.name)
			<-d.ended
			if err := b.startDaemon(d); err != nil {
				return nil, err
			}
			for !d.isReady() {
				time.Sleep(20 * time.Millisecond)
			}
			b.record("%s is ready", d.name)
			mu.Lock()
			stopping = -1
			mu.Unlock()
		} else {
			time.Sleep(3 * time.Second)
		}
		time.Sleep(contact + 500*time.Millisecond)
		for i := range 4 {
			sendCrashing(b.daemons[(n+i)%2])
			time.Sleep(300 * time.Millisecond)
		}
	}
	close(stop)
	clients.Wait()
	retries := 0
	for i, at := range crashes {
		if i >= 3 && at.Sub(crashes[2]) > contact {
			retries++
		}
	}
	b.record("%d crashes in all, %d of them in retries sent later than %v after the third; %d of %d sound requests were not served", len(crashes), retries, contact, lost, sound)
	if retries <= 3 {
		return nil, nil
	}
	return []string{fmt.Sprintf("the request reached and crashed replicas in %d retries that machines in touch sent later than %v after the third crash; allowed are 3", retries, contact)}, nil
}

func (b *bed) sendBooking(d *daemon, id, body string) *clientAnswer {
	c, err := dial(d.callers)
	if err != nil {
		return &clientAnswer{err: err}
	}
	defer c.close()
	return c.send(&clientRequest{id: id, method: "POST", target: "/book/2f", deadline: 2500 * time.Millisecond, body: []byte(body)})
}

// keepBack starts a replica again under a new ID some time after it has crashed.
func (b *bed) keepBack(r *replicaProcess, number int, backIn time.Duration, stop <-chan struct{}) {
	for lifetime := 2; ; lifetime++ {
		select {
		case <-stop:
			return
		case <-r.ended:
		}
		time.Sleep(backIn)
		b.store.remove("servers", r.spec.ID)
		spec := r.spec
		spec.ID = fmt.Sprintf("i-%d-%d", number, lifetime)
		next, err := b.addReplica(r.service, spec)
		if err != nil {
			b.record("replica %s cannot be started: %v", spec.ID, err)
			return
		}
		r = next
	}
}
