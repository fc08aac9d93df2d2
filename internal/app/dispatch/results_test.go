package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/membership"
)

// Guards against answers that reach another caller, or reach their caller
// incomplete, when endpoints swap, double, cut or delay them.
func TestFaultyAnswersReachNobody(t *testing.T) {
	start(t, 8, nil, func(w *world) {
		var last []core.Result
		w.do = func(ctx context.Context, c core.Call) (core.Result, error) {
			res, err := w.serve(ctx, c)
			if err != nil {
				return res, err
			}
			w.mu.Lock()
			kind := w.rng.IntN(120) // bad answers to 4 in 120, within the retry budget
			own := res
			if kind == 0 && len(last) > 0 { // another call's answer
				res = last[w.rng.IntN(len(last))]
			}
			last = append(last[max(0, len(last)-20):], own)
			w.mu.Unlock()
			switch kind {
			case 1: // an earlier attempt's answer, a second time
				before := c
				before.Attempt--
				res.CallID = before.ID()
			case 2:
				res.Body = res.Body[:len(res.Body)/2]
			case 3:
				res.CallID = ""
			case 4: // late, and deaf to cancellation
				time.Sleep(100 * time.Millisecond)
			}
			return res, nil
		}
		var wg sync.WaitGroup
		var mu sync.Mutex
		good, failed := 0, 0
		for caller := range 64 {
			wg.Go(func() {
				for n := range 50 {
					tk := task(caller*1000+n, fmt.Sprintf("content %d of caller %d", n, caller))
					res, err := w.d.Do(w.t.Context(), tk)
					mu.Lock()
					if err != nil {
						failed++
					} else if good++; !bytes.Equal(res.Body, []byte(answerTo(tk.Body))) {
						t.Errorf("%q got %q", tk.Body, res.Body)
					}
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		t.Logf("%d answered, %d failed, %d dropped, %d late", good, failed, w.count("dropped_results"), w.count("late_answers"))
		if failed > 10 {
			t.Errorf("%d of %d calls failed although they could be repeated", failed, good+failed)
		}
		for _, name := range []string{`dropped_results_total{pool="p",reason="foreign"`, `dropped_results_total{pool="p",reason="duplicate"`,
			`dropped_results_total{pool="p",reason="short"`, `dropped_results_total{pool="p",reason="unnamed"`, "late_answers"} {
			if w.count(name) == 0 {
				t.Errorf("%s is 0", name)
			}
		}
	})
}

// answers is what the fake endpoint does with the n-th attempt.
type answers func(n int, c core.Call) (core.Result, error)

func status(code int) answers {
	return func(_ int, c core.Call) (core.Result, error) {
		return core.Result{Status: code, CallID: c.ID(), Body: []byte("x")}, nil
	}
}

func broken(ran core.Ran, cause error) answers {
	return func(_ int, c core.Call) (core.Result, error) { return core.Result{}, fail(c, ran, cause) }
}

// each in turn; the last one repeats.
func inTurn(list ...answers) answers {
	return func(n int, c core.Call) (core.Result, error) { return list[min(n, len(list))-1](n, c) }
}

// Guards against a refusal as "not run" of work that an endpoint may have run,
// against errors that do not name stage and endpoint, and against a second run
// of work that may not be repeated.
func TestRanIsTrueAtEachFailurePoint(t *testing.T) {
	refused := broken(core.RanNot, ErrRefused)
	cut := broken(core.RanUnknown, ErrCut)
	foreign := func(_ int, c core.Call) (core.Result, error) {
		return core.Result{Status: 429, CallID: "other/s/1"}, nil
	}
	short := func(_ int, c core.Call) (core.Result, error) {
		return core.Result{Status: 200, CallID: c.ID(), Body: []byte("x"), AnnouncedBytes: 9}, nil
	}
	hang := func(int, core.Call) (core.Result, error) { time.Sleep(time.Minute); return core.Result{}, nil }
	stale := func(o *Options) { o.Fresh = func() bool { return false } }
	for _, c := range []struct {
		name       string
		answer     answers
		repeatable bool
		change     func(*Options)
		before     error
		want       core.Ran
		maxSends   int
	}{
		{name: "refused connection", answer: refused, want: core.RanNot, maxSends: 3},
		{name: "cut connection", answer: cut, want: core.RanUnknown, maxSends: 1},
		{name: "refused, then cut", answer: inTurn(refused, cut), want: core.RanUnknown, maxSends: 2},
		{name: "repeatable: cut, then refused", answer: inTurn(cut, refused), repeatable: true, want: core.RanUnknown, maxSends: 3},
		{name: "status 500", answer: status(500), want: core.RanUnknown, maxSends: 1},
		{name: "status that proves no start", answer: status(429), want: core.RanNot, maxSends: 3},
		{name: "no start, then 500", answer: inTurn(status(429), status(500)), want: core.RanUnknown, maxSends: 2},
		{name: "foreign answer with a no-start status", answer: foreign, want: core.RanUnknown, maxSends: 1},
		{name: "short answer", answer: short, want: core.RanUnknown, maxSends: 1},
		{name: "deadline during the call", answer: hang, want: core.RanUnknown, maxSends: 1},
		{name: "stale view", answer: status(200), change: stale, want: core.RanNot},
		{name: "before send fails", answer: status(200), before: &core.Error{Kind: core.Conflict, Step: "claim", Ran: core.RanNot}, want: core.RanNot},
		{name: "before send fails untyped", answer: status(200), before: errors.New("x"), want: core.RanUnknown},
		{name: "no endpoint", answer: status(200), change: func(o *Options) {
			o.View = func() *membership.View { return &membership.View{} }
		}, want: core.RanNot},
	} {
		t.Run(c.name, func(t *testing.T) {
			start(t, 4, c.change, func(w *world) {
				var sends, befores atomic.Int32
				w.do = func(_ context.Context, call core.Call) (core.Result, error) {
					return c.answer(int(sends.Add(1)), call)
				}
				tk := task(1, "body")
				tk.Repeatable, tk.NotStartedStatus = c.repeatable, []int{429}
				tk.BeforeSend = func(context.Context, core.Endpoint) error { befores.Add(1); return c.before }
				begun := time.Now()
				_, err := w.d.Do(w.t.Context(), tk)
				e := coreError(t, err)
				if e.Ran != c.want {
					t.Errorf("ran: %s, want %s (%v)", e.Ran, c.want, e)
				}
				if e.Step == "" || e.Peer == "" {
					t.Errorf("step %q, peer %q", e.Step, e.Peer)
				}
				if n, b := int(sends.Load()), int(befores.Load()); n > c.maxSends || b < n {
					t.Errorf("%d sends, want at most %d; %d checks before them", n, c.maxSends, b)
				}
				if took := time.Since(begun); took > 3100*time.Millisecond {
					t.Errorf("ended after %s, want the deadline of 3 s + 100 ms at most", took)
				}
			})
		})
	}
}

// Guards against an answer after the deadline that nobody counts.
func TestAnswerAfterTheDeadlineIsLate(t *testing.T) {
	start(t, 1, nil, func(w *world) {
		w.do = func(ctx context.Context, c core.Call) (core.Result, error) {
			time.Sleep(10 * time.Second)
			return w.serve(context.WithoutCancel(ctx), c)
		}
		_, err := w.d.Do(w.t.Context(), task(1, "x"))
		if e := coreError(t, err); e.Kind != core.DeadlineExceeded || e.Ran != core.RanUnknown {
			t.Errorf("%v", e)
		}
		time.Sleep(20 * time.Second)
		if w.count("late_answers") != 1 {
			t.Errorf("%d late answers counted, want 1", w.count("late_answers"))
		}
	})
}

// Guards against hedging work that may not be repeated.
func TestNonRepeatableIsNeverHedged(t *testing.T) {
	start(t, 4, nil, func(w *world) {
		w.load(100, 2*time.Second, time.Second)
		w.each(func(b *backend) { b.factor = 20; b.sends = 0 })
		for n := range 10 {
			tk := task(n, fmt.Sprint("once ", n))
			tk.Repeatable = false
			if _, err := w.d.Do(w.t.Context(), tk); err != nil {
				t.Error(err)
			}
		}
		total := 0
		w.each(func(b *backend) { total += b.sends })
		if total != 10 {
			t.Errorf("%d sends for 10 calls", total)
		}
	})
}

// Guards against new work for an endpoint that leaves, before the choice and
// between the choice and the send.
func TestLeavingEndpointGetsNothing(t *testing.T) {
	for _, policy := range []string{PolicyDefault, PolicyRoundRobin} {
		t.Run(policy, func(t *testing.T) {
			start(t, 4, func(o *Options) { o.Policy = policy }, func(w *world) {
				leave := func(id core.InstanceID) {
					v := *w.view.Load()
					v.Leaving = map[core.InstanceID]bool{id: true}
					w.view.Store(&v)
					w.locked(func() { w.backends[id].sends = 0 })
				}
				tk := task(1, "x")
				var left core.InstanceID
				tk.BeforeSend = func(_ context.Context, e core.Endpoint) error {
					if left == "" {
						left = e.ID
						leave(left)
					}
					return nil
				}
				if _, err := w.d.Do(w.t.Context(), tk); err != nil {
					t.Error(err)
				}
				if _, good := w.load(200, 5*time.Second, time.Second); good != 1000 {
					t.Errorf("%d of 1000 answered", good)
				}
				if n := w.backends[left].sends; n != 0 {
					t.Errorf("the leaving endpoint got %d calls", n)
				}
			})
		})
	}
}
