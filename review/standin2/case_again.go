package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// poison plays a request that crashes each replica that runs it and comes again: in waves, in
// each at every daemon once. Counted are the retries that reach replicas later than the
// contact time after the third crash.
type poison struct {
	bed *bed

	mu       sync.Mutex
	crashes  []time.Time
	arrivals map[string]time.Time
	sent     int
}

const poisonBody = "price of mould 4711"

// prepare starts an installation with n daemons.
func (p *poison) prepare(daemons int, trouble bool) error {
	b := p.bed
	p.arrivals = map[string]time.Time{}
	b.onArrival = func(r *replica, q *http.Request, body []byte) {
		if string(body) != poisonBody {
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		id := q.Header.Get(names["id"])
		p.arrivals[id] = time.Now()
		b.rec.write("%s reaches %s", id, r.name)
	}
	b.onCrash = func(r *replica, id string) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.crashes = append(p.crashes, time.Now())
		b.rec.write("replica %s crashes as it begins to run %s", r.name, id)
	}
	b.store.put("op", "config", stagedManifest(7))
	err := addStagedReplicas(b, 3, func(r *replica) {
		if trouble && r.service == "desk" {
			r.crashOn = func(body string) bool { return body == poisonBody }
		}
	})
	for i := 3; i < 5 && err == nil; i++ {
		r := &replica{service: "desk", name: fmt.Sprintf("desk%d", i+1), zone: "a", slots: 6, work: 30 * time.Millisecond, restartAfter: 2 * time.Second}
		if trouble {
			r.crashOn = func(body string) bool { return body == poisonBody }
		}
		if err = b.addReplica(r); err == nil {
			r.start()
		}
	}
	if err == nil {
		err = b.startDaemons(daemons)
	}
	if err == nil {
		err = b.waitReady(10 * time.Second)
	}
	time.Sleep(contact)
	return err
}

// wave sends the request to each daemon once.
func (p *poison) wave() {
	var wg sync.WaitGroup
	for _, d := range p.bed.daemons {
		p.sent++
		id := fmt.Sprintf("again-%d", p.sent)
		wg.Go(func() {
			(&request{daemon: d, method: http.MethodPost, host: host, path: "/look/price", key: key, id: id, body: poisonBody, deadline: 2500 * time.Millisecond}).send(p.bed)
		})
	}
	wg.Wait()
}

// result returns what broke the rule, or "".
func (p *poison) result() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	for _, at := range p.arrivals {
		if len(p.crashes) >= 3 && at.Sub(p.crashes[2]) > contact {
			late++
		}
	}
	fmt.Printf("%d requests, %d reached replicas, %d crashes, %d retries that reached replicas late\n", p.sent, len(p.arrivals), len(p.crashes), late)
	if late > 3 {
		return fmt.Sprintf("BUDGET: the request reached replicas in %d retries later than %v after the third crash; 3 are allowed", late, contact)
	}
	return ""
}

// caseExpire: the request comes again every 12 s.
func caseExpire(b *bed, trouble bool) (string, error) {
	p := &poison{bed: b}
	if err := p.prepare(8, trouble); err != nil {
		return "", err
	}
	for i := range 9 {
		if i > 0 {
			time.Sleep(12 * time.Second)
		}
		p.wave()
	}
	return p.result(), nil
}

// caseKillAll: all daemons are killed at the same moment and start again.
func caseKillAll(b *bed, trouble bool) (string, error) {
	p := &poison{bed: b}
	if err := p.prepare(8, true); err != nil {
		return "", err
	}
	p.wave()
	time.Sleep(4 * time.Second)
	p.wave()
	if trouble {
		for _, d := range b.daemons {
			d.signal(9)
		}
		b.rec.write("all daemons are killed")
		time.Sleep(time.Second)
		for _, d := range b.daemons {
			<-d.exited
			if err := d.start(); err != nil {
				return "", err
			}
		}
		if err := b.waitReady(10 * time.Second); err != nil {
			return "", err
		}
	}
	time.Sleep(contact + time.Second)
	p.wave()
	time.Sleep(4 * time.Second)
	p.wave()
	return p.result(), nil
}
