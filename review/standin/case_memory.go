package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = runMemory }

const (
	// streamTime is the length of a stream, normalStreams the number of streams that are in
	// progress at once, burstStreams that of a burst of 2.6 times the traffic.
	streamTime    = 7500 * time.Millisecond
	normalStreams = 54
	burstStreams  = 140
	// streamBody is the size of a request's body in bytes, below max-body-bytes.
	streamBody = 4_000_000
	sendFor    = 60 * time.Second
)

// runMemory sends streams with large bodies to two daemons, at an even rate at which a link
// of the site's machines is a third full. The platform ends a process that exceeds its memory,
// as DEPLOY.md says, and starts it again.
func runMemory(b *bed) ([]string, error) {
	b.writeManifest(1, []any{
		route("query", "stream", "model-bench", map[string]any{"timeout-ms": 20000, "target-latency-ms": 2000, "gap-target-ms": 250, "priority": 1}),
	}, []any{map[string]any{"name": "model-bench", "health-check": "/health", "max-connections": 620, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 128, "kv-capacity": 262380, "models": []any{map[string]any{"name": "m"}}}}})
	for i := range 2 {
		if _, err := b.addReplica("model-bench", replicaSpec{ID: fmt.Sprintf("i-%d", i+1), Slots: 128, StepMs: 250}); err != nil {
			return nil, err
		}
	}
	for range 2 {
		if _, err := b.addDaemon(); err != nil {
			return nil, err
		}
	}
	if err := b.waitReady(); err != nil {
		return nil, err
	}
	ends := make([]int, len(b.daemons))
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	for i, d := range b.daemons {
		watchers.Go(func() { ends[i] = b.enforceMemory(d, stop) })
	}
	streams := normalStreams
	if b.trouble {
		streams = burstStreams
	}
	body := bytes.Repeat([]byte("page of a pattern book "), streamBody/23)
	lost := 0
	var mu sync.Mutex
	var clients sync.WaitGroup
	began := time.Now()
	for i := 0; ; i++ {
		sentAt := began.Add(time.Duration(i) * streamTime / time.Duration(streams))
		if sentAt.Sub(began) >= sendFor {
			break
		}
		time.Sleep(time.Until(sentAt))
		clients.Go(func() {
			c, err := dial(b.daemons[i%len(b.daemons)].callers)
			if err != nil {
				b.record("client %d: %v", i, err)
				return
			}
			defer c.close()
			r := streamRequest("query", fmt.Sprintf("3e0%05d", i), 30*stride, 20*time.Second)
			r.body = body
			a := c.send(r)
			b.record("query %s: %s", r.id, a)
			if a.err != nil {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	close(stop)
	watchers.Wait()
	b.record("%d requests ended without a complete answer; the daemons' processes ended %v times", lost, ends)
	if ends[0] < 3 || ends[1] < 3 {
		return nil, nil
	}
	return []string{fmt.Sprintf("the processes of both machines ended %v times because their memory exceeded %d MB; %d requests were lost", ends, memoryMB, lost)}, nil
}

// enforceMemory ends the daemon's process when it exceeds its memory, and starts it again
// after half a second, until stop is closed. It returns how often it did so.
func (b *bed) enforceMemory(d *daemon, stop <-chan struct{}) (ends int) {
	most := 0
	for {
		select {
		case <-stop:
			b.record("%s used %d MB at most", d.name, most)
			return ends
		case <-time.After(10 * time.Millisecond):
		}
		mb := residentMB(d.cmd.Process.Pid)
		if most = max(most, mb); mb <= memoryMB {
			continue
		}
		d.kill()
		ends++
		b.record("%s used %d MB of %d MB and was ended", d.name, mb, memoryMB)
		time.Sleep(500 * time.Millisecond)
		if err := b.startDaemon(d); err != nil {
			b.record("%s cannot be started: %v", d.name, err)
			return ends
		}
	}
}

// residentMB returns the memory of a process in megabytes, 0 if it has ended.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			return kb / 1024
		}
	}
	return 0
}
