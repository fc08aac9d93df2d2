package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"eelgrassgrade/internal/app/sched"
	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/membership"
	"eelgrassgrade/internal/decide/routing"
)

// fakeScheduler grants every call, or refuses every call if refuse is not nil.
// It is the grant too.
type fakeScheduler struct {
	mu                sync.Mutex
	refuse            error
	granted, released int
	outcomes          []sched.Outcome
	capacity          []int
}

func (s *fakeScheduler) Acquire(_ context.Context, t sched.Ticket) (sched.Grant, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse != nil {
		return nil, s.refuse
	}
	s.granted++
	return s, nil
}

func (s *fakeScheduler) Release(o sched.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released++
	s.outcomes = append(s.outcomes, o)
}

func (s *fakeScheduler) Predict(core.PoolID, string, core.Rank) time.Duration { return serviceTime }
func (s *fakeScheduler) SetCapacity(_ core.PoolID, n int)                     { s.capacity = append(s.capacity, n) }
func (s *fakeScheduler) ReportLoad(core.PoolID, int, int)                     {}

// Guards against a grant that a failed attempt does not release, and against a
// refusal by the scheduler that is not reported as "not run".
func TestSchedulerGrantsEachAttempt(t *testing.T) {
	s := &fakeScheduler{}
	runWorld(t, 4, func(o *Options) { o.Scheduler = s }, func(w *world) {
		w.do = func(_ context.Context, c core.Call) (core.Result, error) {
			if c.Attempt == 1 {
				return core.Result{Status: 503, CallID: c.ID()}, nil
			}
			return core.Result{Status: 200, CallID: c.ID()}, nil
		}
		if _, err := w.d.Do(w.t.Context(), task(1, "x")); err != nil {
			t.Fatal(err)
		}
		if s.granted != 2 || s.released != 2 || !s.outcomes[0].Overloaded || !s.outcomes[1].OK {
			t.Errorf("%d grants, %d released, outcomes %+v; want 2, 2, overloaded and then OK", s.granted, s.released, s.outcomes)
		}
		if len(s.capacity) == 0 || s.capacity[0] != 32 {
			t.Errorf("capacity %v, want first 32 (4 endpoints of 8 slots)", s.capacity)
		}
		s.refuse = &core.Error{Kind: core.Unavailable, Step: "queue", Ran: core.RanNot, RetryAfter: time.Second}
		_, err := w.d.Do(w.t.Context(), task(2, "y"))
		if e := coreError(t, err); e.Ran != core.RanNot || e.Step != "queue" || w.counterSum("attempts") != 2 {
			t.Errorf("refused by the scheduler: %v, %d attempts; want not run at step queue, 2 attempts", e, w.counterSum("attempts"))
		}
	})
}

// fakeLoadReports answers load polls from a table.
type fakeLoadReports map[core.InstanceID]Load

func (r fakeLoadReports) Load(_ context.Context, e core.Endpoint) (Load, error) {
	l, ok := r[e.ID]
	if !ok {
		return Load{}, errors.New("no report")
	}
	return l, nil
}

func (r fakeLoadReports) CacheEvents(context.Context, core.Endpoint, uint64) ([]CacheEvent, error) {
	return nil, nil
}

// Guards against reported load that is not polled or does not affect routing.
// Other daemons keep one of two endpoints busy.
func TestReportedLoadOfOthersIsAvoided(t *testing.T) {
	r := fakeLoadReports{"e00": {Running: 8, Waiting: 20, Slots: 8}, "e01": {Slots: 8}}
	runWorld(t, 2, func(o *Options) {
		o.Loads = r
		snap := &config.Snapshot{Lists: &config.Lists{Pools: map[core.PoolID]config.Pool{testPool: {Slots: 8, ReportsLoad: true}}}}
		o.Config = func() *config.Snapshot { return snap }
	}, func(w *world) {
		time.Sleep(1500 * time.Millisecond)
		w.sendLoad(100, 2*time.Second, time.Second)
		if n := w.endpoints["e00"].sends; n > 5 {
			t.Errorf("the busy endpoint got %d of 200 calls, want at most 5", n)
		}
	})
}

// Guards against an estimate of the cached prefixes that is still used after
// events were lost.
func TestCacheEventGapMakesTheEstimateUnreliable(t *testing.T) {
	var c prefixCache
	if c.apply([]CacheEvent{{Seq: 5, Prefix: 1}, {Seq: 6, Prefix: 2}, {Seq: 7, Prefix: 2, Evict: true}}) || !c.has(1) || c.has(2) {
		t.Error("events without a gap are not applied")
	}
	if !c.apply([]CacheEvent{{Seq: 9, Prefix: 3}}) || c.has(1) || c.has(3) {
		t.Error("after a gap the estimate is still used")
	}
	if c.apply([]CacheEvent{{Seq: 10, Prefix: 4}}) || c.has(1) || !c.has(3) || !c.has(4) {
		t.Error("the estimate does not recover")
	}
}

// BenchmarkChoose600 measures the choice of an endpoint in a pool of 600,
// including reading the state of the daemon's subset.
func BenchmarkChoose600(b *testing.B) {
	v := &membership.View{Endpoints: map[core.PoolID][]core.Endpoint{}}
	for i := range 600 {
		v.Endpoints[testPool] = append(v.Endpoints[testPool], core.Endpoint{ID: core.InstanceID(fmt.Sprint("e", i)), Pool: testPool,
			DataCenter: core.DataCenterID(fmt.Sprint("dc", i%10))})
	}
	snap := &config.Snapshot{Lists: &config.Lists{Pools: map[core.PoolID]config.Pool{testPool: {Slots: 8}}}}
	d := New(Options{Self: "d", DataCenter: "dc0", View: func() *membership.View { return v }, Config: func() *config.Snapshot { return snap }})
	p := d.pool(testPool)
	t := task(1, "x")
	t.PrefixKey = 7
	j := newJob(p, t, 0)
	if n := len(p.currentMembers().endpoints); n != routing.MaxLocal+routing.MaxRemote {
		b.Fatalf("%d endpoints", n)
	}
	b.ReportAllocs()
	for b.Loop() {
		p.choose(j, p.currentMembers(), false, nil)
	}
}
