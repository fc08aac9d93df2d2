package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	coldTime = 3 * time.Second
	// coldPerS, coldOverage and coldSlack are cold-per-s of the manifest and cold-overage and
	// cold-slack of the settings.
	coldPerS, coldOverage, coldSlack = 7.3, 1.5, 5.0
	heartbeat                        = 1200 * time.Millisecond
)

// machine is a listener whose machine can lose power for a while.
type machine struct {
	*net.TCPListener
	mu      sync.Mutex
	dark    bool
	held    []net.Conn
	fillers []net.Conn
}

// Accept implements net.Listener. Channels that come while the machine is dark are not
// served.
func (m *machine) Accept() (net.Conn, error) {
	for {
		c, err := m.TCPListener.Accept()
		if err != nil {
			return nil, err
		}
		m.mu.Lock()
		dark := m.dark
		if dark {
			m.held = append(m.held, c)
		}
		m.mu.Unlock()
		if !dark {
			return c, nil
		}
		for m.isDark() {
			time.Sleep(time.Millisecond)
		}
	}
}

func (m *machine) isDark() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dark
}

func (m *machine) setBacklog(n int) {
	raw, err := m.SyscallConn()
	check(err)
	check(raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) }))
}

// losePower makes the machine silent: it neither answers on its channels nor to new ones.
func (m *machine) losePower() {
	m.mu.Lock()
	m.dark = true
	m.mu.Unlock()
	m.setBacklog(0)
	m.fillers = nil
	for range 8 {
		c, err := net.DialTimeout("tcp", m.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return
		}
		m.fillers = append(m.fillers, c)
	}
	giveUp("the machine does not go dark")
}

// regainPower ends that. Channels from before are closed.
func (m *machine) regainPower() {
	for _, c := range m.fillers {
		c.Close()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.held {
		c.Close()
	}
	m.held = nil
	m.setBacklog(128)
	m.dark = false
}

// caseCold: a replica's machine loses power for a second and starts again under its id, cold.
// All machines together must send it no more than a cold replica bears.
func caseCold() {
	b := newBed()
	b.bounds = map[string]any{"bounds.cold-overage": coldOverage, "bounds.cold-slack": coldSlack}
	warm := time.Now().Add(-time.Minute)
	var servants []*servant
	var first *machine
	for i := range 3 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.32.%d:0", i+1))
		check(err)
		m := &machine{TCPListener: l.(*net.TCPListener)}
		s := &servant{id: fmt.Sprintf("i-7f3a91c%d", i), address: l.Addr().String(), ended: make(chan struct{})}
		go func() { _ = http.Serve(m, s) }()
		if first == nil {
			first = m
		}
		servants = append(servants, s)
		b.store.put("servers", s.id, entry("orders", s.address, "quimper-a", "ready", 6, warm))
	}
	b.store.put("op", "config", manifest(1, []map[string]any{{"name": "lookup", "hostname": "orders.example", "prefix": "/book/", "route-type": "safe",
		"timeout-ms": 1200, "target-latency-ms": 200, "priority": 1, "attempts": 2, "backend": "orders"}},
		[]map[string]any{{"name": "orders", "health-check": "/health", "cold-s": coldTime.Seconds(), "cold-per-s": coldPerS}}))
	daemons := b.startDaemons(3)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]int{}
	for i, d := range daemons {
		for j := range 7 {
			clients.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(30*time.Millisecond + rand.N(90*time.Millisecond)):
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
	time.Sleep(3 * time.Second)
	x := servants[0]
	back := time.Now()
	if b.trouble {
		first.losePower()
		b.log("the machine of %s has lost power", x.id)
		time.Sleep(time.Until(back.Add(time.Second)))
		close(x.ended)
		x.mu.Lock()
		x.ended, x.arrivals = make(chan struct{}), nil
		x.mu.Unlock()
		back = time.Now()
		first.regainPower()
		b.log("%s has started again under its id; it is cold", x.id)
		time.Sleep(heartbeat)
		e := entry("orders", x.address, "quimper-a", "ready", 6, back)
		e["cold-remaining-ms"] = (coldTime - heartbeat).Milliseconds()
		b.store.put("servers", x.id, e)
		b.log("store: %s has written its entry, cold for %v more", x.id, coldTime-heartbeat)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	bound := coldPerS*coldOverage + coldSlack
	most := 0
	x.mu.Lock()
	defer x.mu.Unlock()
	var times []time.Duration
	for _, a := range x.arrivals {
		if d := a.at.Sub(back); b.trouble && d >= 0 && d < coldTime {
			times = append(times, d)
		}
	}
	slices.Sort(times)
	for i, from := range times {
		n := 0
		for _, d := range times[i:] {
			if d-from < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	b.log("arrivals at %s while it was cold: %v", x.id, times)
	b.log("clients got %v", statuses)
	b.finish(float64(most) > bound, "%d requests reached the cold replica in one second; the bound is %.1f", most, bound)
}
