package dispatch

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/retry"
)

// Guards against sound streams that are cut because their engine pauses them, and against
// stalled ones that stay although another endpoint can go on, or that never end: a stream
// leaves its endpoint only if it can be resumed and a healthy endpoint has room for it.
func TestAStalledStreamMovesOnlyToSomethingBetter(t *testing.T) {
	const pause, limit = 2 * time.Second, 5 * time.Second
	useAllRetries := func(w *world) {
		p := w.d.pool(resumingPool)
		p.mu.Lock()
		defer p.mu.Unlock()
		for p.budget.MayRetry() {
			p.budget.Retry(retry.FailedAttempt{Number: 1, MaxAttempts: 2, Repeatable: true, Now: time.Now(), Deadline: time.Now().Add(time.Hour)})
		}
	}
	occupy := func(w *world) {
		p := w.d.pool(resumingPool)
		for _, e := range p.currentMembers().endpoints {
			e.inFlight.Add(8)
		}
	}
	for _, c := range []struct {
		name      string
		pool      core.PoolID
		endpoints int
		prepare   func(*world) // called while the first attempt runs
		pause     time.Duration
		attempts  int
		end       time.Duration
		cut       bool
	}{
		{"another endpoint takes it", resumingPool, 3, nil, pause, 2, defaultGapLimit, false},
		{"it cannot be resumed", testPool, 3, nil, pause, 1, pause, false},
		{"no other endpoint", resumingPool, 1, nil, pause, 1, pause, false},
		{"no retry left", resumingPool, 3, useAllRetries, pause, 1, pause, false},
		{"all slots in use", resumingPool, 3, occupy, pause, 1, pause, false},
		{"a slot becomes free", resumingPool, 2, func(w *world) {
			occupy(w)
			time.AfterFunc(1200*time.Millisecond, func() {
				for _, e := range w.d.pool(resumingPool).currentMembers().endpoints {
					e.inFlight.Add(-8)
				}
			})
		}, pause, 2, defaultGapLimit + stallRecheck, false},
		{"silent for good", testPool, 3, nil, time.Hour, 1, limit, true},
	} {
		runWorld(t, c.endpoints, nil, func(w *world) {
			calls := 0
			w.stream = func(ctx context.Context, call core.Call, emit func(core.Event) error) error {
				if calls++; calls > 1 {
					return emitTokens(ctx, call, emit, indexRange(2, 4), nil)
				}
				if err := emitTokens(ctx, call, emit, indexRange(0, 2), nil); err != nil {
					return err
				}
				if c.prepare != nil {
					c.prepare(w)
				}
				select {
				case <-time.After(c.pause):
				case <-ctx.Done():
					return upstreamError(call, core.RanUnknown, ctx.Err())
				}
				return emitTokens(ctx, call, emit, indexRange(2, 4), nil)
			}
			var got []int
			tk := task(1, `{"prompt":"p","stream":true,"max_tokens":4}`)
			tk.Pool, tk.Deadline = c.pool, time.Now().Add(limit)
			began := time.Now()
			err := w.d.Stream(w.t.Context(), tk, func(ev core.Event) error {
				var e tokenEvent
				if err := json.Unmarshal(ev.Data, &e); err != nil {
					return err
				}
				got = append(got, *e.Index)
				return nil
			})
			took := time.Since(began)
			want := indexRange(0, 4)
			if c.cut {
				want = indexRange(0, 2)
			}
			if (err != nil) != c.cut || !slices.Equal(got, want) || calls != c.attempts || took < c.end || took > c.end+200*time.Millisecond {
				t.Errorf("%s: tokens %v after %v in %d attempts (%v); want %v after %v in %d", c.name, got, took, calls, err, want, c.end, c.attempts)
			}
		})
	}
}

// Guards against sound streams that are cut although their engine goes on: each is given up
// for an endpoint that then does not take it, with no attempt or retry left for another.
func TestAStalledStreamStaysUnlessTheNextEndpointTakesIt(t *testing.T) {
	const pause = 2 * time.Second
	fail := func(ran core.Ran, err error) func(context.Context, core.Call) error {
		return func(_ context.Context, c core.Call) error { return upstreamError(c, ran, err) }
	}
	hang := func(ctx context.Context, c core.Call) error {
		<-ctx.Done()
		return upstreamError(c, core.RanUnknown, ctx.Err())
	}
	wait := func(context.Context, core.Call) error {
		time.Sleep(refusalTime + 100*time.Millisecond)
		return nil
	}
	for _, c := range []struct {
		name      string
		body      string
		pause     time.Duration // of the first engine
		breaks    bool          // the first engine breaks off after its pause
		staleView bool
		next      func(context.Context, core.Call) error // before it sends the rest
		sent      int32                                  // calls that reach an endpoint
		end       time.Duration
	}{
		{"refused as busy", "", pause, false, false, fail(core.RanUnknown, &StatusError{Status: 503}), 3, pause},
		{"no connection", "", pause, false, false, fail(core.RanNot, ErrConnectionRefused), 3, pause},
		{"connection closed", "", pause, false, false, fail(core.RanUnknown, ErrConnectionCut), 3, pause},
		{"old list of instances", "", pause, false, true, wait, 1, pause},
		{"no body to resume with", "not JSON", pause, false, false, wait, 1, pause},
		{"the first engine goes on meanwhile", "", defaultGapLimit + 50*time.Millisecond, false, false, hang, 2, defaultGapLimit + 50*time.Millisecond},
		{"the first engine breaks off meanwhile", "", defaultGapLimit + 50*time.Millisecond, true, false, wait, 2, defaultGapLimit + refusalTime},
		{"taken without an event", "", pause, false, false, wait, 2, defaultGapLimit + refusalTime},
	} {
		var stale atomic.Bool
		runWorld(t, 3, func(o *Options) { o.ViewIsFresh = func() bool { return !stale.Load() } }, func(w *world) {
			var sent atomic.Int32
			w.stream = func(ctx context.Context, call core.Call, emit func(core.Event) error) error {
				if sent.Add(1) > 1 {
					if err := c.next(ctx, call); err != nil {
						return err
					}
					return emitTokens(ctx, call, emit, indexRange(2, 4), nil)
				}
				if err := emitTokens(ctx, call, emit, indexRange(0, 2), nil); err != nil {
					return err
				}
				stale.Store(c.staleView)
				select {
				case <-time.After(c.pause):
				case <-ctx.Done():
					return upstreamError(call, core.RanUnknown, ctx.Err())
				}
				if c.breaks {
					return upstreamError(call, core.RanUnknown, ErrConnectionCut)
				}
				return emitTokens(ctx, call, emit, indexRange(2, 4), nil)
			}
			tk := task(1, cmp.Or(c.body, `{"prompt":"p","stream":true,"max_tokens":4}`))
			tk.Pool, tk.Deadline = resumingPool, time.Now().Add(5*time.Second)
			began, got := time.Now(), []int(nil)
			err := w.d.Stream(w.t.Context(), tk, func(ev core.Event) error {
				var e tokenEvent
				err := json.Unmarshal(ev.Data, &e)
				got = append(got, *e.Index)
				return err
			})
			took := time.Since(began)
			if err != nil || !slices.Equal(got, indexRange(0, 4)) || sent.Load() != c.sent || took < c.end || took > c.end+200*time.Millisecond {
				t.Errorf("%s: tokens %v after %v in %d calls (%v); want all after %v in %d", c.name, got, took, sent.Load(), err, c.end, c.sent)
			}
		})
	}
}
