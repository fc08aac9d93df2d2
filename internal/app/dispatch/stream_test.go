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

// tokens emits the tokens of the list as events with an index, each after a
// token time, and then ends the way the given error says.
func tokens(ctx context.Context, c core.Call, emit func(core.Event) error, list []int, end error) error {
	for _, n := range list {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return fail(c, core.RanUnknown, ctx.Err())
		}
		if err := emit(core.Event{CallID: c.ID(), Data: fmt.Appendf(nil, `{"index":%d,"choices":[{"text":"t%d"}]}`, n, n)}); err != nil {
			return err
		}
	}
	return end
}

// upTo returns from, ..., to-1.
func upTo(from, to int) (list []int) {
	for n := from; n < to; n++ {
		list = append(list, n)
	}
	return list
}

// Guards against streams that lose, repeat or reorder tokens when they break,
// and against broken streams that end as if they were whole.
func TestBrokenStreams(t *testing.T) {
	cut := func(c core.Call) error { return fail(c, core.RanUnknown, ErrCut) }
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
		{"whole", testPool, []attempt{{list: upTo(0, 5)}}, upTo(0, 5), false, []int{0}},
		{"resumed", resuming, []attempt{{list: upTo(0, 3), cut: true}, {list: upTo(3, 5)}}, upTo(0, 5), false, []int{0, 3}},
		{"resumed twice", resuming, []attempt{{list: upTo(0, 2), cut: true}, {list: upTo(2, 3), cut: true}, {list: upTo(3, 5)}}, upTo(0, 5), false, []int{0, 2, 3}},
		{"restarted before the first token", testPool, []attempt{{cut: true}, {list: upTo(0, 5)}}, upTo(0, 5), false, []int{0, 0}},
		{"ended where it cannot resume", testPool, []attempt{{list: upTo(0, 3), cut: true}}, upTo(0, 3), true, []int{0}},
		{"repeated tokens", testPool, []attempt{{list: []int{0, 1, 1, 0, 2, 2, 3, 4}}}, upTo(0, 5), false, []int{0}},
		{"resumed too early", resuming, []attempt{{list: upTo(0, 3), cut: true}, {list: upTo(1, 5)}}, upTo(0, 5), false, []int{0, 3}},
		{"cut after the last token", resuming, []attempt{{list: upTo(0, 5), cut: true}, {list: upTo(4, 5)}}, upTo(0, 5), false, []int{0, 4}},
		{"gap", resuming, []attempt{{list: []int{0, 1, 3, 4}}, {list: upTo(2, 5)}}, upTo(0, 5), false, []int{0, 2}},
		{"gap where it cannot resume", testPool, []attempt{{list: []int{0, 1, 3}}}, upTo(0, 2), true, []int{0}},
		{"frozen engine", resuming, []attempt{{list: upTo(0, 3), hang: true}, {list: upTo(3, 5)}}, upTo(0, 5), false, []int{0, 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			start(t, 4, nil, func(w *world) {
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
					err := tokens(ctx, call, emit, a.list, end)
					if a.hang {
						<-ctx.Done()
						return fail(call, core.RanUnknown, ctx.Err())
					}
					return err
				}
				var got []int
				tk := task(1, `{"prompt":"p","stream":true,"max_tokens":5}`)
				tk.Pool = c.pool
				err := w.d.Stream(w.t.Context(), tk, func(ev core.Event) error {
					var e token
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
					t.Errorf("error %v", err)
				}
				if err != nil && coreError(t, err).Ran != core.RanYes {
					t.Errorf("ran %s after forwarded tokens", coreError(t, err).Ran)
				}
			})
		})
	}
}

// Guards against an engine that goes on generating for a caller that is gone,
// and against retries of a stream that the caller ended.
func TestCallerEndsTheStream(t *testing.T) {
	start(t, 4, nil, func(w *world) {
		calls, ended := 0, false
		w.stream = func(ctx context.Context, c core.Call, emit func(core.Event) error) error {
			calls++
			err := tokens(ctx, c, emit, upTo(0, 1000), nil)
			ended = err != nil
			return err
		}
		gone := errors.New("the caller is gone")
		tk := task(1, `{"prompt":"p"}`)
		tk.Pool = resuming
		n := 0
		err := w.d.Stream(w.t.Context(), tk, func(core.Event) error {
			if n++; n == 3 {
				return gone
			}
			return nil
		})
		if !errors.Is(err, gone) || calls != 1 || !ended {
			t.Errorf("error %v, %d calls, ended %v", err, calls, ended)
		}
		ctx, cancel := context.WithTimeout(w.t.Context(), 25*time.Millisecond)
		defer cancel()
		tk.Deadline = time.Now().Add(time.Second)
		begun := time.Now()
		if err := w.d.Stream(ctx, tk, func(core.Event) error { return nil }); err == nil || time.Since(begun) > 50*time.Millisecond || !ended {
			t.Errorf("after cancellation: error %v after %s, ended %v", err, time.Since(begun), ended)
		}
	})
}

// Guards against a slow reader that is taken for a frozen engine.
func TestSlowReaderIsNoStall(t *testing.T) {
	start(t, 4, nil, func(w *world) {
		w.stream = func(ctx context.Context, c core.Call, emit func(core.Event) error) error {
			return tokens(ctx, c, emit, upTo(0, 4), nil)
		}
		tk := task(1, `{"prompt":"p"}`)
		tk.Deadline = time.Now().Add(time.Minute)
		if err := w.d.Stream(w.t.Context(), tk, func(core.Event) error { time.Sleep(5 * time.Second); return nil }); err != nil {
			t.Error(err)
		}
	})
}
