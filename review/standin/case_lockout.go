package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["lockout"] = runLockout }

// runLockout sends streams with one stage to two daemons, one a second to each. If there is
// trouble, all daemons are killed and started again, and all model replicas are slow from
// the start of the daemons on for some seconds. The time limit of RECOVER counts from the
// end of the slow time.
func runLockout(b *bed) ([]string, error) {
	const (
		slowFactor   = 5
		slowFor      = 6500 * time.Millisecond
		killAt       = 8 * time.Second
		downFor      = time.Second
		recovery     = 12 * time.Second
		measuredFor  = 20 * time.Second
		promptTokens = 24000
		deadline     = 8 * time.Second
	)
	b.writeManifest(1, []any{
		route("motif", "stream", "model-bench", map[string]any{"timeout-ms": deadline.Milliseconds(), "target-latency-ms": 1200, "gap-target-ms": 250, "priority": 0,
			"stages": []any{map[string]any{"backend": "stock-ledger", "after": []int{}, "length": 1500000}}}),
	}, []any{
		map[string]any{"name": "model-bench", "health-check": "/health", "max-connections": 620, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 128, "kv-capacity": 262380, "models": []any{map[string]any{"name": "m"}}}},
		map[string]any{"name": "stock-ledger", "health-check": "/health", "max-connections": 620, "protocol": "h1", "tls": false,
			"pieces": map[string]any{"slots": 1, "queue": 2, "batch": 8, "call-ms": 200, "item-ms": 21, "headroom-mb": 18, "handle-s": 4, "link-mbps": 10000}},
	})
	var engines []*replicaProcess
	for i := range 4 {
		r, err := b.addReplica("model-bench", replicaSpec{ID: fmt.Sprintf("i-e%d", i+1), Slots: 128, StepMs: 20, TokensPerMs: 32.4, FirstMs: 64})
		if err != nil {
			return nil, err
		}
		engines = append(engines, r)
		if _, err := b.addReplica("stock-ledger", replicaSpec{ID: fmt.Sprintf("i-s%d", i+1), Slots: 1, CallMs: 200, PieceMs: 21}); err != nil {
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
	began := time.Now()
	backAt := began.Add(killAt + downFor)
	if b.trouble {
		go func() {
			time.Sleep(time.Until(began.Add(killAt)))
			for _, d := range b.daemons {
				d.kill()
				b.record("%s killed", d.name)
			}
			time.Sleep(time.Until(backAt))
			for _, d := range b.daemons {
				if err := b.startDaemon(d); err != nil {
					b.record("%s cannot be started: %v", d.name, err)
				}
			}
			b.setSlowness(engines, slowFactor)
			time.Sleep(slowFor)
			b.setSlowness(engines, 1)
		}()
	}
	measureFrom := backAt.Add(slowFor + recovery)
	var mu sync.Mutex
	before, after := tally{}, tally{}
	var clients sync.WaitGroup
	for i := 0; ; i++ {
		sentAt := began.Add(time.Duration(i) * 500 * time.Millisecond)
		if sentAt.After(measureFrom.Add(measuredFor)) {
			break
		}
		time.Sleep(time.Until(sentAt))
		clients.Go(func() {
			served := b.sendMotif(b.daemons[i%len(b.daemons)], i, promptTokens, deadline)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case sentAt.Before(began.Add(killAt - time.Second)):
				before.add(served)
			case sentAt.After(measureFrom):
				after.add(served)
			}
		})
	}
	clients.Wait()
	b.record("served before the fault: %d of %d; later than %v after the end of it: %d of %d", before.served, before.sent, recovery, after.served, after.sent)
	if 4*before.served < before.sent || 4*after.served >= after.sent {
		return nil, nil
	}
	return []string{fmt.Sprintf("of the requests sent later than %v after machines and replicas were back, %d of %d were served; before the fault %d of %d",
		recovery, after.served, after.sent, before.served, before.sent)}, nil
}

// tally counts requests.
type tally struct{ sent, served int }

func (t *tally) add(served bool) {
	if t.sent++; served {
		t.served++
	}
}

// sendMotif sends a request, once more after a promise that it did not run, as the site's
// clients do, and reports whether it was served.
func (b *bed) sendMotif(d *daemon, n, promptTokens int, deadline time.Duration) bool {
	began := time.Now()
	for try := range 2 {
		left := deadline - time.Since(began)
		if left <= 0 {
			return false
		}
		c, err := dial(d.callers)
		if err != nil {
			b.record("motif %d: %v", n, err)
			return false
		}
		r := streamRequest("motif", fmt.Sprintf("307e%04d%d", n, try), 17*stride, left)
		r.header[names.TokenCount] = fmt.Sprintf("%d,%d", promptTokens, 17*stride)
		r.header[names.PromptPrefix] = fmt.Sprintf("%s:%d", r.id, promptTokens)
		r.header[names.Pieces], r.header[names.PieceKey] = "2", r.id
		a := c.send(r)
		c.close()
		b.record("motif %s to %s: %s%s", r.id, d.name, a, refusalDetail(a))
		if a.err == nil && a.status == http.StatusOK {
			return true
		}
		if a.err != nil || a.status != http.StatusServiceUnavailable {
			return false
		}
		wait, err := time.ParseDuration(a.header.Get("Retry-After") + "s")
		if err != nil || wait > (deadline-time.Since(began))/3 {
			wait = (deadline - time.Since(began)) / 3
		}
		time.Sleep(wait)
	}
	return false
}

// refusalDetail returns the body of a refusal for the record.
func refusalDetail(a *clientAnswer) string {
	if a.status != http.StatusServiceUnavailable {
		return ""
	}
	return ": " + strings.TrimSpace(a.body)
}

// setSlowness makes the work of replicas take longer by a factor.
func (b *bed) setSlowness(replicas []*replicaProcess, factor float64) {
	for _, r := range replicas {
		resp, err := http.Post("http://"+r.spec.Address+pathSlow, "text/plain", strings.NewReader(fmt.Sprint(factor)))
		if err != nil {
			b.record("%s: %v", r.spec.ID, err)
			continue
		}
		resp.Body.Close()
	}
	b.record("work takes %v times as long at the model replicas", factor)
}
