package once

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassgrade/internal/app/gateway"
	"eelgrassgrade/internal/core"
)

// faultAt injects f into the nth call of an operation, or into each of its calls
// if n is 0.
func faultAt(op string, n int, f fault) func(string, int) fault {
	return func(o string, i int) fault {
		if o == op && (n == 0 || n == i) {
			return f
		}
		return fault{}
	}
}

// outageFrom injects f into the nth write and all calls after it.
func outageFrom(n int, f fault) func(string, int) fault {
	down := false
	return func(op string, i int) fault {
		down = down || op == "write" && i >= n
		if down {
			return f
		}
		return fault{}
	}
}

const (
	ranNot     = "not run"
	ranYes     = "answered"
	ranUnknown = "unknown"
)

func reportedRan(err *core.Error) string {
	if err == nil {
		return ranYes
	}
	return err.Ran.String()
}

// Guards against a table fault, at any of the three writes of a call, that leads
// to a second execution, to a wrong "not run", or to a key that stays blocked
// although nothing was sent. Write 1 is the claim, 2 the dispatch, 3 the outcome.
func TestTableFaultAtEachStep(t *testing.T) {
	refused, requestLost := fault{refused: true}, fault{requestLost: true}
	cases := []struct {
		name   string
		faults func(string, int) fault
		// wantFirst is what the first request reports, and wantSecond what a request
		// with the same key reports at another daemon 10 s later.
		wantFirst, wantSecond string
		effects               int
	}{
		{"no fault", nil, ranYes, ranYes, 1},
		{"claim response lost", faultAt("write", 1, fault{responseLost: true}), ranYes, ranYes, 1},
		{"claim request lost", faultAt("write", 1, requestLost), ranYes, ranYes, 1},
		{"claim takes effect late", faultAt("write", 1, fault{requestLost: true, lateEffect: time.Second}), ranYes, ranYes, 1},
		{"outage before claim", outageFrom(1, refused), ranUnknown, ranYes, 0},
		{"silent outage before claim", outageFrom(1, requestLost), ranUnknown, ranYes, 0},
		{"claim response lost, then outage", func(op string, n int) fault {
			if op == "write" && n == 1 {
				return fault{responseLost: true}
			}
			return refused
		}, ranUnknown, ranYes, 0},
		{"dispatch response lost", faultAt("write", 2, fault{responseLost: true}), ranYes, ranYes, 1},
		{"dispatch request lost", faultAt("write", 2, requestLost), ranYes, ranYes, 1},
		{"dispatch takes effect late", faultAt("write", 2, fault{requestLost: true, lateEffect: time.Second}), ranYes, ranYes, 1},
		{"outage between claim and dispatch", outageFrom(2, refused), ranNot, ranYes, 0},
		{"silent outage between claim and dispatch", outageFrom(2, requestLost), ranNot, ranYes, 0},
		{"dispatch slower than the deadline", faultAt("write", 2, fault{before: 4 * time.Second}), ranNot, ranYes, 0},
		{"outcome response lost", faultAt("write", 3, fault{responseLost: true}), ranYes, ranYes, 1},
		{"outcome request lost", faultAt("write", 3, requestLost), ranYes, ranYes, 1},
		{"outage after the answer", outageFrom(3, refused), ranYes, ranUnknown, 1},
		{"silent outage after the answer", outageFrom(3, requestLost), ranYes, ranUnknown, 1},
		{"slow writes", faultAt("write", 0, fault{before: 500 * time.Millisecond}), ranYes, ranYes, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st, svc := newStore(), &service{}
				first := st.newDaemon(c.faults)
				_, _, err := svc.do(first, "a", "k", "body", "1")
				if got := reportedRan(err); got != c.wantFirst || len(svc.effects) != c.effects {
					t.Errorf("first request: %s (%v) with %d effects, want %s with %d", got, err, len(svc.effects), c.wantFirst, c.effects)
				}
				time.Sleep(10 * time.Second)
				_, _, err = svc.do(st.newDaemon(nil), "a", "k", "body", "2")
				if got := reportedRan(err); got != c.wantSecond {
					t.Errorf("second request: %s (%v), want %s", got, err, c.wantSecond)
				}
				if n := len(svc.effects); n > 1 {
					t.Errorf("%d effects", n)
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				first.Close(ctx)
			})
		})
	}
}

// Guards against a claimant that dies at one of its writes and leaves a key that
// runs twice, or that never runs although nothing was sent.
func TestClaimantKilledAtEachStep(t *testing.T) {
	for n, wantLater := range map[int][2]string{1: {ranYes, ranYes}, 2: {ranYes, ranUnknown}, 3: {ranUnknown, ranYes}} {
		for i, f := range []fault{{killBefore: true}, {killAfter: true}} {
			t.Run(fmt.Sprintf("write %d, after %v", n, f.killAfter), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					st, svc := newStore(), &service{}
					var wg sync.WaitGroup
					wg.Go(func() { svc.do(st.newDaemon(faultAt("write", n, f)), "a", "k", "body", "1") })
					wg.Wait()
					if _, _, err := svc.do(st.newDaemon(nil), "a", "k", "body", "2"); reportedRan(err) == ranNot && len(svc.effects) > 0 {
						t.Errorf("not run with %d effects", len(svc.effects))
					}
					time.Sleep(timeout + 2*time.Second)
					_, _, err := svc.do(st.newDaemon(nil), "a", "k", "body", "3")
					if got := reportedRan(err); got != wantLater[i] || len(svc.effects) > 1 {
						t.Errorf("later request: %s (%v), want %s; %d effects", got, err, wantLater[i], len(svc.effects))
					}
				})
			})
		}
	}
}

// Guards against a claimant that is paused before its dispatch write reaches the
// table, is taken over in the meantime, and sends the call when it resumes; and
// against one that is paused after that write and sends after its deadline.
func TestPausedClaimantDoesNotSend(t *testing.T) {
	for _, c := range []struct {
		name    string
		f       fault
		want    string
		effects int
	}{
		{"before the write", fault{before: 20 * time.Second}, ranUnknown, 1},
		{"after the write", fault{after: 20 * time.Second}, ranNot, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st, svc := newStore(), &service{}
				paused := make(chan *core.Error)
				go func() {
					_, _, err := svc.do(st.newDaemon(faultAt("write", 2, c.f)), "a", "k", "body", "paused")
					paused <- err
				}()
				time.Sleep(10 * time.Second)
				_, _, err := svc.do(st.newDaemon(nil), "a", "k", "body", "other")
				if c.effects == 1 && err != nil {
					t.Errorf("the abandoned claim was not taken over: %v", err)
				}
				if err := <-paused; reportedRan(err) != c.want || len(svc.effects) != c.effects {
					t.Errorf("resumed claimant: %v with effects %v, want %s with %d effects", err, svc.effects, c.want, c.effects)
				}
				if c.effects == 0 {
					if _, _, err := svc.do(st.newDaemon(nil), "a", "k", "body", "third"); err != nil {
						t.Errorf("a later retry is refused: %v", err)
					}
				}
			})
		})
	}
}

// Guards against executions on several daemons that run the same key at once.
func TestEightConcurrentExecutions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st, svc := newStore(), &service{}
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				slow := time.Duration(i%3) * 10 * time.Millisecond
				_, _, err := svc.do(st.newDaemon(faultAt("write", 0, fault{before: slow, after: slow})), "a", "k", "body", fmt.Sprint(i))
				if reportedRan(err) == ranNot {
					t.Errorf("execution %d: reported as not run, although the key runs", i)
				}
			})
		}
		wg.Wait()
		if len(svc.effects) != 1 {
			t.Errorf("%d effects", len(svc.effects))
		}
	})
}

// Guards against a key that is reused with another request body, and against an
// account that gets the outcome of another account's key.
func TestKeyIsBoundToBodyAndAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st, svc := newStore(), &service{}
		o := st.newDaemon(nil)
		svc.do(o, "a", "k", "body", "1")
		if _, _, err := svc.do(o, "a", "k", "other body", "2"); err == nil || err.Kind != core.Mismatch || len(svc.effects) != 1 {
			t.Errorf("another body: %v, %d effects", err, len(svc.effects))
		}
		res, replayed, err := svc.do(o, "b", "k", "body", "3")
		if err != nil || replayed || string(res.Body) != "answer 2" {
			t.Errorf("another account got %q, replayed %v, %v", res.Body, replayed, err)
		}
	})
}

// Guards against a large answer that is recorded without its body, and against
// an outage of the object store that hides that the call ran.
func TestLargeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		large := strings.Repeat("x", maxInlineAnswerBytes+1)
		st, svc := newStore(), &service{answer: func(int) string { return large }}
		o := st.newDaemon(faultAt("put", 1, fault{requestLost: true}))
		svc.do(o, "a", "k", "body", "1")
		if err := o.Close(t.Context()); err != nil {
			t.Fatal(err)
		}
		res, replayed, err := svc.do(st.newDaemon(nil), "a", "k", "body", "2")
		if err != nil || !replayed || string(res.Body) != large || res.Status != 200 || res.ContentType != "text/plain" {
			t.Errorf("%d bytes, replayed %v, %v", len(res.Body), replayed, err)
		}
		if _, _, err = svc.do(st.newDaemon(faultAt("get", 0, fault{requestLost: true})), "a", "k", "body", "3"); err == nil || err.Ran != core.RanYes || len(svc.effects) != 1 {
			t.Errorf("object store down: %v, %d effects", err, len(svc.effects))
		}
	})
}

// Guards against a shutdown that drops outcomes, and against more than
// MaxPendingOutcomes of them in memory.
func TestCloseFlushesBoundedOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		st, svc := newStore(), &service{behave: func() (bool, time.Duration, error) {
			time.Sleep(time.Second)
			return true, 0, nil
		}}
		o := st.newDaemon(func(op string, _ int) fault { return fault{refused: down.Load() && op == "write"} })
		time.AfterFunc(500*time.Millisecond, func() { down.Store(true) })
		answered, wg := 0, sync.WaitGroup{}
		var mu sync.Mutex
		for i := range MaxPendingOutcomes + 10 {
			wg.Go(func() {
				_, _, err := svc.do(o, "a", fmt.Sprint(i), "body", "1")
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					answered++
				} else if err.Ran != core.RanNot || err.RetryAfter == 0 {
					t.Errorf("refusal at the bound: %v", err)
				}
			})
		}
		wg.Wait()
		if answered != MaxPendingOutcomes || len(o.slots) != MaxPendingOutcomes {
			t.Errorf("%d answered, %d pending", answered, len(o.slots))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		time.AfterFunc(500*time.Millisecond, func() { down.Store(false) })
		if err := o.Close(ctx); err != nil {
			t.Error(err)
		}
		if _, replayed, err := svc.do(st.newDaemon(nil), "a", strings.TrimPrefix(svc.effects[0].key, "a/"), "body", "2"); !replayed {
			t.Errorf("after the flush: %v", err)
		}
	})
}

// Guards against a daemon that exceeds its share of the table writes, and
// against a refusal that hides the outcome of a key that ran.
func TestWriteShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st, svc := newStore(), &service{}
		o := st.newDaemon(nil)
		o.SetWriteShare(30)
		time.Sleep(time.Second)
		ran := 0
		for i := range 100 {
			switch _, _, err := svc.do(o, "a", fmt.Sprint(i), "body", "1"); {
			case err == nil:
				ran++
			case err.Ran != core.RanNot || err.Kind != core.RateLimited || err.RetryAfter <= 0:
				t.Errorf("request %d: %v", i, err)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if maxWrites := 30 + 30; st.writes > maxWrites || ran < 15 {
			t.Errorf("%d writes in 1 s, %d calls ran", st.writes, ran)
		}
		time.Sleep(time.Second)
		o.writeLimit.ReserveN(time.Now(), 30)
		if _, replayed, err := svc.do(o, "a", "0", "body", "2"); !replayed {
			t.Errorf("a recorded answer is refused at the bound: %v", err)
		}
	})
}

// Guards against a request that ends in a queue with an error that does not say
// whether the call ran, and whose key stays blocked or outcome unknown.
func TestRequestEndedBeforeDispatchIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st, svc := newStore(), &service{}
		r := gateway.OnceRequest{Account: "a", Service: "ledger", Operation: "append", Key: "k", Body: []byte("body"), Timeout: timeout}
		_, _, err := st.newDaemon(nil).Run(t.Context(), r, func(context.Context, func(context.Context, core.Endpoint) error) (core.Result, error) {
			return core.Result{}, context.DeadlineExceeded
		})
		if got := core.AsError(err, "").Ran; got != core.RanNot {
			t.Errorf("reported %s", got)
		}
		if _, _, err := svc.do(st.newDaemon(nil), "a", "k", "body", "2"); err != nil {
			t.Errorf("a retry is refused: %v", err)
		}
	})
}
