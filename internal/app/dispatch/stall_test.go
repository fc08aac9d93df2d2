package dispatch

import (
	"context"
	"encoding/json"
	"slices"
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
