package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

// emitTokens emits an event for each token index in the list, one every 10 ms,
// and returns end.
func emitTokens(ctx context.Context, c core.Call, emit func(core.Event) error, list []int, end error) error {
	for _, n := range list {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return upstreamError(c, core.RanUnknown, ctx.Err())
		}
		if err := emit(core.Event{CallID: c.ID(), Data: fmt.Appendf(nil, `{"index":%d,"choices":[{"text":"t%d"}]}`, n, n)}); err != nil {
			return err
		}
	}
	return end
}

// indexRange returns from, ..., to-1.
func indexRange(from, to int) (list []int) {
	for n := from; n < to; n++ {
		list = append(list, n)
	}
	return list
}

// Guards against broken streams that lose, repeat or reorder tokens, or that are
// reported as complete.
func TestBrokenStreams(t *testing.T) {
	cut := func(c core.Call) error { return upstreamError(c, core.RanUnknown, ErrConnectionCut) }
	type attempt struct {
		list []int
		cut  bool
		hang bool
	}
	for _, c := range []struct {
		name     string
		pool     core.PoolID
		attempts []attempt
		want     []int
		fails    bool
		offsets  []int // resume_from of each attempt
	}{
		{"whole", testPool, []attempt{{list: indexRange(0, 5)}}, indexRange(0, 5), false, []int{0}},
		{"resumed", resumingPool, []attempt{{list: indexRange(0, 3), cut: true}, {list: indexRange(3, 5)}}, indexRange(0, 5), false, []int{0, 3}},
		{"resumed twice", resumingPool, []attempt{{list: indexRange(0, 2), cut: true}, {list: indexRange(2, 3), cut: true}, {list: indexRange(3, 5)}}, indexRange(0, 5), false, []int{0, 2, 3}},
		{"restarted before the first token", testPool, []attempt{{cut: true}, {list: indexRange(0, 5)}}, indexRange(0, 5), false, []int{0, 0}},
		{"ended where it cannot resume", testPool, []attempt{{list: indexRange(0, 3), cut: true}}, indexRange(0, 3), true, []int{0}},
		{"repeated tokens", testPool, []attempt{{list: []int{0, 1, 1, 0, 2, 2, 3, 4}}}, indexRange(0, 5), false, []int{0}},
		{"resumed too early", resumingPool, []attempt{{list: indexRange(0, 3), cut: true}, {list: indexRange(1, 5)}}, indexRange(0, 5), false, []int{0, 3}},
		{"cut after the last token", resumingPool, []attempt{{list: indexRange(0, 5), cut: true}, {list: indexRange(4, 5)}}, indexRange(0, 5), false, []int{0, 4}},
		{"gap", resumingPool, []attempt{{list: []int{0, 1, 3, 4}}, {list: indexRange(2, 5)}}, indexRange(0, 5), false, []int{0, 2}},
		{"gap where it cannot resume", testPool, []attempt{{list: []int{0, 1, 3}}}, indexRange(0, 2), true, []int{0}},
		{"frozen engine", resumingPool, []attempt{{list: indexRange(0, 3), hang: true}, {list: indexRange(3, 5)}}, indexRange(0, 5), false, []int{0, 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWorld(t, 4, nil, func(w *world) {
				var offsets []int
				w.stream = func(ctx context.Context, call core.Call, emit func(core.Event) error) error {
					var body struct {
						ResumeFrom int `json:"resume_from"`
						Prompt     string
					}
					if err := json.Unmarshal(call.Body, &body); err != nil || body.Prompt != "p" {
						t.Errorf("body %s: %v", call.Body, err)
					}
					a := c.attempts[min(len(offsets), len(c.attempts)-1)]
					offsets = append(offsets, body.ResumeFrom)
					var end error
					if a.cut {
						end = cut(call)
					}
					err := emitTokens(ctx, call, emit, a.list, end)
					if a.hang {
						<-ctx.Done()
						return upstreamError(call, core.RanUnknown, ctx.Err())
					}
					return err
				}
				var got []int
				tk := task(1, `{"prompt":"p","stream":true,"max_tokens":5}`)
				tk.Pool = c.pool
				err := w.d.Stream(w.t.Context(), tk, func(ev core.Event) error {
					var e tokenEvent
					if err := json.Unmarshal(ev.Data, &e); err != nil {
						return err
					}
					got = append(got, *e.Index)
					return nil
				})
				if !slices.Equal(got, c.want) {
					t.Errorf("tokens %v, want %v", got, c.want)
				}
				if !slices.Equal(offsets, c.offsets) {
					t.Errorf("resumed from %v, want %v", offsets, c.offsets)
				}
				if (err != nil) != c.fails {
					t.Errorf("unexpected outcome of the stream: error %v", err)
				}
				if err != nil && coreError(t, err).Ran != core.RanYes {
					t.Errorf("ran: %s after forwarded tokens, want ran", coreError(t, err).Ran)
				}
			})
		})
	}
}

// Guards against an engine that continues to generate after the caller left, and
// against retries of a stream that the caller ended.
func TestCallerEndsTheStream(t *testing.T) {
	runWorld(t, 4, nil, func(w *world) {
		calls, ended := 0, false
		w.stream = func(ctx context.Context, c core.Call, emit func(core.Event) error) error {
			calls++
			err := emitTokens(ctx, c, emit, indexRange(0, 1000), nil)
			ended = err != nil
			return err
		}
		gone := errors.New("the caller is gone")
		tk := task(1, `{"prompt":"p"}`)
		tk.Pool = resumingPool
		n := 0
		err := w.d.Stream(w.t.Context(), tk, func(core.Event) error {
			if n++; n == 3 {
				return gone
			}
			return nil
		})
		if !errors.Is(err, gone) || calls != 1 || !ended {
			t.Errorf("error %v, %d calls, stream ended %v; want the caller's error, 1, true", err, calls, ended)
		}
		ctx, cancel := context.WithTimeout(w.t.Context(), 25*time.Millisecond)
		defer cancel()
		tk.Deadline = time.Now().Add(time.Second)
		begun := time.Now()
		if err := w.d.Stream(ctx, tk, func(core.Event) error { return nil }); err == nil || time.Since(begun) > 50*time.Millisecond || !ended {
			t.Errorf("after cancellation: error %v after %s, stream ended %v; want an error within 50 ms, true", err, time.Since(begun), ended)
		}
	})
}

// Guards against taking a slow reader for a frozen engine.
func TestSlowReaderIsNotAStall(t *testing.T) {
	runWorld(t, 4, nil, func(w *world) {
		w.stream = func(ctx context.Context, c core.Call, emit func(core.Event) error) error {
			return emitTokens(ctx, c, emit, indexRange(0, 4), nil)
		}
		tk := task(1, `{"prompt":"p"}`)
		tk.Deadline = time.Now().Add(time.Minute)
		if err := w.d.Stream(w.t.Context(), tk, func(core.Event) error { time.Sleep(5 * time.Second); return nil }); err != nil {
			t.Error(err)
		}
	})
}
