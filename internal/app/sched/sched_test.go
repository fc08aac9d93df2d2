package sched

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/limits"
)

func newScheduler(t testing.TB, o Options) *Scheduler {
	s, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func ticket(a core.AccountID, r core.Rank, budget time.Duration) Ticket {
	return Ticket{Pool: "p", Stage: "s", Account: a, Weight: 1, Rank: r, Deadline: time.Now().Add(budget)}
}

func acquire(t *testing.T, s *Scheduler, tk Ticket) Grant {
	t.Helper()
	g, err := s.Acquire(context.Background(), tk)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func refusal(t *testing.T, err error) *core.Error {
	t.Helper()
	var e *core.Error
	if !errors.As(err, &e) || e.Ran != core.RanNot || e.RetryAfter <= 0 {
		t.Fatalf("error %v, want a *core.Error that says not run and has a Retry-After", err)
	}
	return e
}

// Guards against a misspelt policy name in the settings that silently selects
// another policy.
func TestUnknownPolicyIsRefused(t *testing.T) {
	if _, err := New(Options{Policy: "lifo"}); err == nil {
		t.Error("policy lifo was accepted")
	}
}

// Guards against refusals that are delayed until the deadline. A call must be
// refused as soon as it cannot finish in time, its caller leaves or its pool
// loses its last endpoint.
func TestRefusalsAreImmediate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(t, Options{})
		s.SetCapacity("p", 1)
		g := acquire(t, s, ticket("a", core.Normal, time.Second))
		time.Sleep(100 * time.Millisecond)
		g.Release(Outcome{Elapsed: 100 * time.Millisecond, OK: true})
		if p := s.Predict("p", "s", core.Normal); p != 100*time.Millisecond {
			t.Errorf("predicted service time %v, want 100ms", p)
		}
		held := acquire(t, s, ticket("a", core.Normal, time.Minute))
		start := time.Now()
		expectRefusal := func(tk Ticket, ctx context.Context, want time.Duration, step string) {
			t.Helper()
			start := time.Now()
			_, err := s.Acquire(ctx, tk)
			if e := refusal(t, err); e.Step != step || time.Since(start) != want {
				t.Errorf("refused at step %s after %v: %v; want step %s after %v", e.Step, time.Since(start), e, step, want)
			}
		}
		bg := context.Background()
		expectRefusal(ticket("a", core.Normal, 100*time.Millisecond), bg, 0, "admission")
		later := ticket("a", core.Normal, time.Second)
		later.LaterStagesTime = time.Second
		expectRefusal(later, bg, 0, "admission")
		// The call expires when less than 150 ms remain: the mean of 100 ms and two
		// mean deviations of 25 ms.
		expectRefusal(ticket("a", core.Normal, time.Second), bg, 850*time.Millisecond, "queue")
		ctx, cancel := context.WithTimeout(bg, 10*time.Millisecond)
		defer cancel()
		expectRefusal(ticket("a", core.Normal, time.Second), ctx, 10*time.Millisecond, "queue")
		time.AfterFunc(20*time.Millisecond, func() { s.SetCapacity("p", 0) })
		expectRefusal(ticket("a", core.Normal, time.Second), bg, 20*time.Millisecond, "queue")
		expectRefusal(ticket("a", core.Normal, time.Second), bg, 0, "queue")
		s.SetCapacity("p", 1)
		held.Release(Outcome{Elapsed: time.Since(start), OK: true})
		held.Release(Outcome{})
		if n := s.pool("p").inProgress; n != 0 {
			t.Errorf("%d calls in progress after two releases of one grant, want 0", n)
		}
	})
}

// Guards against an estimated service time that is longer than every deadline
// and keeps all calls from a pool that has become fast again.
func TestPoolRecoversFromASlowSpell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(t, Options{})
		s.SetCapacity("p", 4)
		for range 10 {
			acquire(t, s, ticket("a", core.Normal, time.Hour)).Release(Outcome{Elapsed: time.Minute, OK: true})
		}
		var admitted time.Duration
		for start := time.Now(); admitted == 0 && time.Since(start) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
			if g, err := s.Acquire(context.Background(), ticket("a", core.Normal, time.Second)); err == nil {
				admitted = time.Since(start)
				time.Sleep(100 * time.Millisecond)
				g.Release(Outcome{Elapsed: 100 * time.Millisecond, OK: true})
			}
		}
		if admitted == 0 || admitted > time.Second {
			t.Errorf("first call admitted after %v, want within 1s (0s: never)", admitted)
		}
		for range 4 {
			acquire(t, s, ticket("a", core.Normal, time.Second))
		}
	})
}

// Guards against a window that does not shrink while endpoints are congested,
// that never grows again, or that shrinks once for each sign of the same
// congestion.
func TestWindowFollowsCongestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(t, Options{})
		s.SetCapacity("p", 100)
		size := func() float64 { return s.pool("p").window.size(time.Now(), 0) }
		for range 10 {
			acquire(t, s, ticket("a", core.Normal, time.Hour)).Release(Outcome{Elapsed: time.Millisecond, Overloaded: true})
		}
		if n := size(); n != 70 {
			t.Errorf("window %v after ten overloaded answers at once, want 70", n)
		}
		time.Sleep(time.Second)
		s.ReportLoad("p", 2, 100)
		s.ReportLoad("p", 25, 100)
		s.ReportLoad("p", 25, 100)
		if n := size(); n != 56 {
			t.Errorf("window %v after reports of 25 calls waiting at 100 slots, want 56", n)
		}
		for range 100 * 100 {
			acquire(t, s, ticket("a", core.Normal, time.Hour)).Release(Outcome{Elapsed: time.Millisecond, OK: true})
		}
		if n := size(); n != 100 {
			t.Errorf("window %v after 10,000 successful calls, want 100", n)
		}
	})
}

// Guards against windows that ignore the backlog of other daemons, that give a
// daemon the whole capacity before reports show that it alone has a backlog, or
// that do not return to an equal share when peers are unreachable.
func TestWindowIsDividedByWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(t, Options{})
		s.SetDaemons(4)
		s.SetCapacity("p", 40)
		p := s.pool("p")
		check := func(when string, want float64) {
			t.Helper()
			if n := p.window.size(time.Now(), p.queue.BackloggedWeight()); n != want {
				t.Errorf("%s: window %v, want %v", when, n, want)
			}
		}
		check("before the first totals", 10)
		var wg sync.WaitGroup
		for range 60 {
			wg.Go(func() { s.Acquire(context.Background(), ticket("a", core.Normal, time.Hour)) })
		}
		exchange := func(others float64) {
			time.Sleep(time.Second)
			usage := s.Snapshot()
			s.SetTotals(time.Now(), append(usage, limits.AccountUsage{Account: "b", Backlog: map[core.PoolID]float64{"p": others}}))
		}
		exchange(0)
		check("only daemon with a backlog for one report", 20)
		exchange(0)
		check("only daemon with a backlog for two reports", 40)
		exchange(3)
		check("other daemons with a backlog weight of 3", 10)
		exchange(3)
		s.PeersUnreachable(time.Now())
		s.SetDaemons(2)
		time.Sleep(limits.DecayTime / 2)
		check("peers unreachable for 5 s", 15)
		time.Sleep(limits.DecayTime / 2)
		check("peers unreachable for 10 s", 20)
		s.SetCapacity("p", 0)
		wg.Wait()
	})
}

// Guards against slots that are leaked or released twice, and against calls that
// stay queued, when arrivals, releases, cancellations and capacity changes are
// concurrent.
func TestConcurrentUse(t *testing.T) {
	s := newScheduler(t, Options{Floors: floors})
	s.SetCapacity("p", 4)
	var wg sync.WaitGroup
	for i := range 64 {
		wg.Go(func() {
			for n := range 50 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%7)*time.Millisecond)
				if g, err := s.Acquire(ctx, ticket(core.AccountID(fmt.Sprint(i)), core.Rank(i%core.NumRanks), time.Second)); err == nil {
					g.Release(Outcome{Elapsed: time.Millisecond, OK: n%5 > 0})
				}
				cancel()
				if i == 0 {
					s.SetCapacity("p", 1+n%4)
					s.SetTotals(time.Now(), s.Snapshot())
				}
			}
		})
	}
	wg.Wait()
	if p := s.pool("p"); p.inProgress != 0 || p.queue.Len() != 0 {
		t.Errorf("%d calls in progress and %d queued at the end, want 0 and 0", p.inProgress, p.queue.Len())
	}
}

// BenchmarkAcquire measures the admission, queueing and release of one call with
// 1,300 accounts and full queues.
func BenchmarkAcquire(b *testing.B) {
	s := newScheduler(b, Options{Floors: floors})
	s.SetCapacity("p", 32)
	p, i := s.pool("p"), 0
	names := make([]core.AccountID, 1300)
	for n := range names {
		names[n] = core.AccountID(fmt.Sprint("account", n))
	}
	enter := func() *waiter {
		i++
		w := &waiter{ticket: ticket(names[i*7%len(names)], core.Rank(i%core.NumRanks), time.Hour), decided: make(chan struct{})}
		p.submit(w)
		return w
	}
	g := enter().grant
	for p.queue.Len() < core.NumRanks*512 {
		enter()
	}
	b.ReportAllocs()
	for b.Loop() {
		enter()
		g.once = sync.Once{}
		g.Release(Outcome{Elapsed: time.Millisecond, OK: true})
	}
}
