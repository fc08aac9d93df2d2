package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

// Guards against one straggler among 12 endpoints, first 10 times slower and
// then frozen, that makes the calls sent to it late, and against hedges and
// retries that add more than 5% to the attempts.
func TestStragglerAndFrozenEndpoint(t *testing.T) {
	runWorld(t, 12, nil, func(w *world) {
		w.sendLoad(200, 5*time.Second, time.Second)
		for _, fault := range []struct {
			name string
			set  func(*fakeEndpoint)
		}{
			{"slow", func(b *fakeEndpoint) { b.slowFactor = 10 }},
			{"frozen", func(b *fakeEndpoint) { b.frozen = true }},
		} {
			w.locked(func() { fault.set(w.endpoints["e03"]) })
			attempts := w.counterSum("attempts")
			sent, good := w.sendLoad(200, 20*time.Second, 120*time.Millisecond)
			attempts = w.counterSum("attempts") - attempts
			t.Logf("%s: %d sent, %d in time, %d attempts", fault.name, sent, good, attempts)
			if float64(good) < 0.99*float64(sent) {
				t.Errorf("%s: %d of %d in time, want 99%%", fault.name, good, sent)
			}
			if float64(attempts) > 1.05*float64(sent) {
				t.Errorf("%s: %d attempts for %d calls, want at most 5%% more", fault.name, attempts, sent)
			}
			w.locked(func() { w.endpoints["e03"].slowFactor, w.endpoints["e03"].frozen = 1, false })
			w.sendLoad(200, 10*time.Second, time.Second)
		}
	})
}

// Guards against a retry storm during the outage of a whole pool, and against
// late or unevenly routed calls more than 5 s after its end.
func TestPoolOutage(t *testing.T) {
	for _, refused := range []bool{false, true} {
		t.Run(fmt.Sprintf("refused=%v", refused), func(t *testing.T) {
			runWorld(t, 6, nil, func(w *world) {
				w.sendLoad(100, 10*time.Second, time.Second)
				set := func(on bool) {
					w.eachEndpoint(func(b *fakeEndpoint) {
						if refused {
							b.down = on
						} else {
							b.outage = on
						}
					})
				}
				set(true)
				attempts := w.counterSum("attempts")
				sent, _ := w.sendLoad(100, 20*time.Second, time.Second)
				attempts = w.counterSum("attempts") - attempts
				t.Logf("outage: %d attempts for %d calls", attempts, sent)
				if float64(attempts) > 1.1*float64(sent) {
					t.Errorf("%d attempts for %d calls, want at most 1.1 times as many", attempts, sent)
				}
				set(false)
				sent, good := w.sendLoad(100, 5*time.Second, time.Second)
				t.Logf("first 5 s after the outage: %d of %d in time", good, sent)
				w.eachEndpoint(func(b *fakeEndpoint) { b.sends = 0 })
				if sent, good = w.sendLoad(100, 5*time.Second, 100*time.Millisecond); good < sent {
					t.Errorf("from 5 s after the outage: %d of %d in time", good, sent)
				}
				w.eachEndpoint(func(b *fakeEndpoint) {
					if b.sends < sent/6/2 {
						t.Errorf("from 5 s after the outage: an endpoint got %d of %d calls, want at least half of its equal share", b.sends, sent)
					}
				})
			})
		})
	}
}

// Guards against a request that crashes one endpoint after another, and against
// harmless calls that are lost or quarantined with it. A few copies run on one
// endpoint and become a suspect after its crash; many copies overflow to a
// second endpoint before the first crash is detected.
func TestPoisonRequestCrashesAtMostTwoEndpoints(t *testing.T) {
	for _, copies := range []int{1, 4, 20} {
		t.Run(fmt.Sprint(copies), func(t *testing.T) {
			runWorld(t, 12, nil, func(w *world) { sendPoison(t, w, copies) })
		})
	}
}

func sendPoison(t *testing.T, w *world, copies int) {
	w.sendLoad(200, 5*time.Second, time.Second)
	var wg sync.WaitGroup
	for n := range copies {
		wg.Go(func() {
			for range 20 {
				if _, err := w.d.Do(w.t.Context(), task(n, "poison")); err == nil {
					t.Error("the poison request succeeded")
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	// Harmless calls that share endpoints with the poison request.
	sent, good := w.sendLoad(200, 10*time.Second, 3*time.Second)
	wg.Wait()
	crashes := 0
	w.eachEndpoint(func(b *fakeEndpoint) { crashes += b.crashes })
	t.Logf("%d crashes, %d of %d harmless calls answered, %d retries", crashes, good, sent, w.counterSum("retries"))
	if crashes > 2 {
		t.Errorf("%d endpoints crashed, want at most 2", crashes)
	}
	if good != sent {
		t.Errorf("%d of %d harmless calls answered, want all", good, sent)
	}
	_, err := w.d.Do(w.t.Context(), task(0, "poison"))
	if e := coreError(t, err); e.Kind != core.Quarantined || e.Ran != core.RanNot || e.RetryAfter <= 0 {
		t.Errorf("a copy after the quarantine: %v, want quarantined, not run, with a Retry-After", e)
	}
}

// Guards against popular content that stays limited to maxContentEndpoints
// endpoints although it has run successfully.
func TestPopularContentUsesAllEndpoints(t *testing.T) {
	runWorld(t, 12, nil, func(w *world) {
		var wg sync.WaitGroup
		for n := range 96 {
			wg.Go(func() {
				for range 10 {
					if _, err := w.d.Do(w.t.Context(), task(n, "popular")); err != nil {
						t.Error(err)
					}
				}
			})
		}
		wg.Wait()
		w.eachEndpoint(func(b *fakeEndpoint) {
			if b.sends < 40 {
				t.Errorf("an endpoint got %d of 960 calls, want at least 40", b.sends)
			}
		})
	})
}

// Guards against taking a refused connection, with no call in flight, for a
// crash caused by the request.
func TestRefusedConnectionMakesNoSuspect(t *testing.T) {
	runWorld(t, 3, nil, func(w *world) {
		w.eachEndpoint(func(b *fakeEndpoint) { b.down = true })
		w.d.Do(w.t.Context(), task(1, "x"))
		if n := len(w.d.Quarantine.Entries()); n != 0 {
			t.Errorf("%d suspects, want none", n)
		}
	})
}

// Guards against late answers when healthy endpoints are slow for single calls,
// which ejection cannot prevent: 2 in 100 calls take 15 times as long and must
// be hedged.
func TestHedgesCoverSlowCalls(t *testing.T) {
	runWorld(t, 12, nil, func(w *world) {
		w.do = func(ctx context.Context, c core.Call) (core.Result, error) {
			w.mu.Lock()
			slow := w.rng.IntN(50) == 0
			w.mu.Unlock()
			if slow {
				select {
				case <-time.After(15 * serviceTime):
				case <-ctx.Done():
					return core.Result{}, upstreamError(c, core.RanUnknown, ctx.Err())
				}
			}
			return w.serve(ctx, c)
		}
		w.sendLoad(100, 5*time.Second, time.Second)
		attempts := w.counterSum("attempts")
		sent, good := w.sendLoad(100, 30*time.Second, 150*time.Millisecond)
		attempts = w.counterSum("attempts") - attempts
		t.Logf("%d of %d in time, %d attempts", good, sent, attempts)
		if float64(good) < 0.99*float64(sent) || float64(attempts) > 1.05*float64(sent) {
			t.Errorf("%d of %d in time with %d attempts, want 99%% with at most 5%% more attempts than calls", good, sent, attempts)
		}
		if w.counterSum("cancelled_attempts") == 0 {
			t.Error("no cancelled attempt was counted")
		}
	})
}

// Guards against suspects of a crash that are retried on the same endpoint,
// where a second crash would quarantine all of them, and against calls that are
// lost because more were in flight in the crash than the retry budget of a newly
// started daemon has tokens.
func TestSuspectsOfACrashRunOnSeparateEndpoints(t *testing.T) {
	runWorld(t, 6, nil, func(w *world) {
		retried := map[core.InstanceID]int{}
		w.do = func(ctx context.Context, c core.Call) (core.Result, error) {
			if c.Attempt == 1 {
				return w.serve(ctx, c)
			}
			w.locked(func() {
				if retried[c.Endpoint.ID]++; retried[c.Endpoint.ID] > 1 {
					t.Errorf("two suspects on %s", c.Endpoint.ID)
				}
			})
			defer w.locked(func() { retried[c.Endpoint.ID]-- })
			return w.serve(ctx, c)
		}
		w.eachEndpoint(func(b *fakeEndpoint) { b.slowFactor = 10 })
		var wg sync.WaitGroup
		for n := range 24 {
			wg.Go(func() {
				if _, err := w.d.Do(w.t.Context(), task(n, fmt.Sprint("innocent ", n))); err != nil {
					t.Errorf("call %d: %v", n, err)
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		for _, id := range []core.InstanceID{"e00", "e01", "e02", "e03"} {
			w.crash(w.endpoints[id])
		}
		wg.Wait()
		entries := w.d.Quarantine.Entries()
		if len(entries) < 6 {
			t.Errorf("%d suspects of four crashes, want at least 6", len(entries))
		}
		for _, e := range entries {
			if !e.Cleared || e.Crashes != 1 {
				t.Errorf("suspect that ran successfully: %d crashes, cleared %v; want 1, true", e.Crashes, e.Cleared)
			}
		}
	})
}
