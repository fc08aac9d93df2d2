package forward

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassgrade/internal/core"
)

// withColdPool runs f with a pool of which the first n of two endpoints are cold for eight
// seconds, and their permits.
func withColdPool(t *testing.T, n int, f func(p *fakePlatform, limits []*fakeLimit)) {
	t.Helper()
	withFakePlatform(t, 2, func(p *fakePlatform) {
		p.limits = map[core.InstanceID]*fakeLimit{}
		var limits []*fakeLimit
		for i := range n {
			limits = append(limits, &fakeLimit{perSecond: 2, coldUntil: time.Now().Add(8 * time.Second)})
			p.limits[core.InstanceID(fmt.Sprint("e", i))] = limits[i]
		}
		p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior { return endpointBehavior{body: "ok"} }
		f(p, limits)
	})
}

// Guards against requests that use up the permits of a cold endpoint, or wait for them,
// while a warm one has a free slot.
func TestWarmEndpointsComeFirst(t *testing.T) {
	withColdPool(t, 1, func(p *fakePlatform, limits []*fakeLimit) {
		limits[0].permits = 10
		for range 5 {
			if status, err := p.get(t, "/safe/x"); status != 200 || err != nil {
				t.Fatal(status, err)
			}
		}
		if limits[0].asked != 0 {
			t.Errorf("%d requests for a permit while a warm endpoint is idle; sent to %v", limits[0].asked, p.sentTo)
		}
	})
}

// Guards against requests to a pool whose endpoints are all cold that are refused although
// a permit is near, held although none is, or told to come back too soon or all at once.
func TestAColdPoolRefusesWhatCannotWait(t *testing.T) {
	withColdPool(t, 2, func(p *fakePlatform, limits []*fakeLimit) {
		for _, l := range limits {
			l.wait = 300 * time.Millisecond
		}
		time.AfterFunc(100*time.Millisecond, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			limits[1].permits = 1
		})
		began := time.Now()
		status, err := p.get(t, "/once/x")
		if took := time.Since(began); status != 200 || err != nil || took < 300*time.Millisecond || took > 400*time.Millisecond {
			t.Errorf("status %d, %v after %v, want an answer with the permit after 300 ms", status, err, took)
		}
		time.Sleep(time.Second)
		for _, l := range limits {
			l.wait = 1500 * time.Millisecond
		}
		var after []time.Duration
		for range 20 {
			began = time.Now()
			_, err := p.get(t, "/once/x")
			if took := time.Since(began); err == nil || err.Kind != core.Unavailable || err.Ran != core.RanNot || err.Step != coldStep || took != 0 {
				t.Fatalf("%+v after %v", err, took)
			}
			after = append(after, err.RetryAfter)
		}
		for i, d := range after {
			// Four permits a second, each for another caller. At most five seconds are told.
			if earliest := min(1500*time.Millisecond+time.Duration(i)*250*time.Millisecond, maxRetryAfter); d < earliest {
				t.Errorf("caller %d is told to come back after %v, its permit is due after %v", i, d, earliest)
			}
		}
	})
}

// Guards against requests without bound that wait for the permits of a cold pool.
func TestFewRequestsWaitForColdEndpoints(t *testing.T) {
	withColdPool(t, 2, func(p *fakePlatform, limits []*fakeLimit) {
		for _, l := range limits {
			l.wait = 200 * time.Millisecond
		}
		began := time.Now()
		var mu sync.Mutex
		refusedAtOnce, held := 0, 0
		var all sync.WaitGroup
		for range 500 {
			all.Go(func() {
				_, err := p.get(t, "/once/x")
				took := time.Since(began)
				mu.Lock()
				defer mu.Unlock()
				if err != nil && took == 0 {
					refusedAtOnce++
				}
				if took > 1500*time.Millisecond {
					held++
				}
			})
		}
		all.Wait()
		synctest.Wait()
		if refusedAtOnce < 400 || held > 0 {
			t.Errorf("%d of 500 refused at once, want all but some dozens; %d held for longer than 1.5 s", refusedAtOnce, held)
		}
	})
}
