package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["silence"] = runSilence }

// runSilence sends resumable streams of the lowest priority to replicas with room for six
// requests. Waves of urgent streams preempt them in the middle; the replicas go on with them
// after each wave. Each stream would be complete within 5.5 s of its 6 s.
func runSilence(b *bed) ([]string, error) {
	const replicas, slots, streams = 3, 6, 18
	service := map[string]any{"name": "model-bench", "health-check": "/health", "max-connections": 620, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": slots, "kv-capacity": 135000, "models": []any{map[string]any{"name": "m"}}}}
	b.writeManifest(1, []any{
		route("digest", "stream", "model-bench", map[string]any{"timeout-ms": 6000, "target-latency-ms": 4000, "gap-target-ms": 250, "attempts": 2, "stream-resume": true}),
		route("motif", "stream", "model-bench", map[string]any{"timeout-ms": 8000, "target-latency-ms": 1200, "gap-target-ms": 250, "priority": 0}),
	}, []any{service})
	for i := range replicas {
		if _, err := b.addReplica("model-bench", replicaSpec{ID: fmt.Sprintf("i-%d", i+1), Slots: slots, StepMs: 100, RereadMs: 100}); err != nil {
			return nil, err
		}
	}
	d, err := b.addDaemon()
	if err != nil {
		return nil, err
	}
	if err := b.waitReady(); err != nil {
		return nil, err
	}
	go func() {
		// Planned work: the rule covers requests sent up to config-apply-ms after it.
		time.Sleep(time.Until(b.phase(-500 * time.Millisecond)))
		_ = d.cmd.Process.Signal(syscall.SIGHUP)
		b.record("SIGHUP to %s", d.name)
	}()
	var mu sync.Mutex
	var broken []string
	var digests, urgents sync.WaitGroup
	for i := range streams {
		digests.Go(func() {
			c, err := dial(d.callers)
			if err != nil {
				b.record("client %d: %v", i, err)
				return
			}
			defer c.close()
			// The first request makes the channel a kept one.
			for n, outputTokens := range []int{1 * stride, 14 * stride} {
				id := fmt.Sprintf("d16e57%02d%02d", i, n)
				if n == 1 {
					time.Sleep(time.Until(b.phase(0)))
				}
				a := c.send(streamRequest("digest", id, outputTokens, 6*time.Second))
				b.record("digest %s: %s", id, a)
				want := ""
				for e := 1; e <= outputTokens/stride; e++ {
					want += streamEvent(id, e)
				}
				if a.err != nil && a.took < 4200*time.Millisecond || a.err == nil && a.status == 200 && a.body != want {
					mu.Lock()
					broken = append(broken, fmt.Sprintf("%s: its channel was closed after %d ms of %d ms with %d of %d events, though its replicas were sound", id,
						a.took.Milliseconds(), 6000, strings.Count(a.body, "\n\n"), outputTokens/stride))
					mu.Unlock()
				}
			}
		})
	}
	if b.trouble {
		for wave, at := range []time.Duration{300 * time.Millisecond, 2500 * time.Millisecond} {
			for i := range replicas * slots {
				urgents.Go(func() {
					time.Sleep(time.Until(b.phase(at)))
					c, err := dial(d.callers)
					if err != nil {
						b.record("client: %v", err)
						return
					}
					defer c.close()
					id := fmt.Sprintf("3071f%02d%02d", wave, i)
					b.record("motif %s: %s", id, c.send(streamRequest("motif", id, 19*stride, 8*time.Second)))
				})
			}
		}
	}
	digests.Wait()
	urgents.Wait()
	if len(broken) <= 3 {
		for _, line := range broken {
			b.record("counted: %s", line)
		}
		return nil, nil
	}
	return broken, nil
}

// phase returns the time of a step of a case, counted from 6 s after the start.
func (b *bed) phase(at time.Duration) time.Time { return b.started.Add(6*time.Second + at) }

// streamRequest returns a request for a stream.
func streamRequest(routeName, id string, outputTokens int, deadline time.Duration) *clientRequest {
	return &clientRequest{id: id, method: "POST", target: "/" + routeName + "/2f", deadline: deadline,
		header: map[string]string{names.Model: "m", names.TokenCount: fmt.Sprintf("20000,%d", outputTokens), names.PromptPrefix: id + ":20000"}, body: []byte("prompt of " + id)}
}
