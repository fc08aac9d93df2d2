package forward

import (
	"context"
	"strings"
	"testing"
	"time"

	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/placement"
)

// Pattern: a burst of many seconds. Guards against refused callers that come back while
// it lasts and are refused again, and against long times to come back after it.
func TestTheLongerAnOverloadTheLaterCallersReturn(t *testing.T) {
	start(t, 1, func(w *world) {
		w.script = func(core.Endpoint, *Outgoing, int) act { return act{body: "id: 1\ndata: a\n\n"} }
		w.wait = 900 * time.Millisecond
		ask := func() time.Duration {
			got := w.ask(context.Background(), "staged", func(r *Request) { r.Pieces = []int{1, 1} })
			if got.err == nil {
				t.Fatal("a request was let in")
			}
			return got.err.RetryAfter
		}
		if first := ask(); first > 1500*time.Millisecond {
			t.Errorf("the first refusal says to come back after %v", first)
		}
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			ask()
		}
		if late := ask(); late < 2500*time.Millisecond || late > maxRetryAfter*3/2 {
			t.Errorf("after 4 s of overload a refusal says to come back after %v", late)
		}
		time.Sleep(2 * time.Second)
		if again := ask(); again > 1500*time.Millisecond {
			t.Errorf("the first refusal of another overload says to come back after %v", again)
		}
	})
}

// Guards against work that may not be repeated being sent to a second endpoint
// after the first may have run it, and against "not run" being said of it.
func TestWorkThatMayHaveRunIsNotSentAgain(t *testing.T) {
	for name, a := range map[string]act{
		"no answer":     {err: unknown()},
		"broken answer": {body: "half", breaks: true},
		"forged answer": {body: "x", forged: true},
		"silence":       {wait: time.Hour},
	} {
		for _, route := range []string{"once", "stream"} {
			start(t, 3, func(w *world) {
				w.script = func(core.Endpoint, *Outgoing, int) act { return a }
				got := w.ask(context.Background(), route, nil)
				if len(w.sends) != 1 {
					t.Errorf("%s, %s: sent %d times", route, name, len(w.sends))
				}
				if got.err == nil && !got.cut {
					t.Errorf("%s, %s: answered %d %q", route, name, got.status, got.body)
				}
				if got.err != nil && got.err.Ran == core.RanNot {
					t.Errorf("%s, %s: said not to have run", route, name)
				}
			})
		}
	}
}

// Guards against giving up on work that provably did not start, and against a
// refusal that does not say when to come back.
func TestWorkThatDidNotStartGoesToAnotherEndpoint(t *testing.T) {
	for name, a := range map[string]act{
		"no connection": {err: noConnection()},
		"refused":       {status: 503, notStarted: true},
		"other owner":   {status: 421, notStarted: true},
	} {
		start(t, 3, func(w *world) {
			w.script = func(_ core.Endpoint, _ *Outgoing, n int) act {
				if n == 1 {
					return a
				}
				return act{body: "done"}
			}
			if got := w.ask(context.Background(), "once", nil); got.body != "done" || len(w.sends) != 2 || w.sends[0] == w.sends[1] {
				t.Errorf("%s: answer %q after sends to %v", name, got.body, w.sends)
			}
		})
		start(t, 3, func(w *world) {
			w.script = func(core.Endpoint, *Outgoing, int) act { return a }
			got := w.ask(context.Background(), "once", nil)
			if got.err == nil || got.err.Ran != core.RanNot || got.err.Kind != core.Unavailable || got.err.RetryAfter <= 0 {
				t.Errorf("%s everywhere: %v", name, got.err)
			}
		})
	}
}

// Guards against repeats of repeatable work beyond the route's attempts or the
// budget, and against none at all.
func TestRepeatableWorkIsRepeatedWithinItsBounds(t *testing.T) {
	start(t, 4, func(w *world) {
		w.script = func(core.Endpoint, *Outgoing, int) act { return act{err: unknown()} }
		if w.ask(context.Background(), "safe", nil); len(w.sends) != 2 {
			t.Errorf("sent %d times, the route allows 2", len(w.sends))
		}
	})
	start(t, 4, func(w *world) {
		w.allowed = false
		w.script = func(core.Endpoint, *Outgoing, int) act { return act{err: unknown()} }
		if w.ask(context.Background(), "safe", nil); len(w.sends) != 1 {
			t.Errorf("sent %d times without a budget", len(w.sends))
		}
	})
	start(t, 4, func(w *world) {
		w.script = func(_ core.Endpoint, _ *Outgoing, n int) act {
			if n == 1 {
				return act{status: 500, body: "failed"}
			}
			return act{body: "done"}
		}
		if got := w.ask(context.Background(), "safe", nil); got.body != "done" || got.status != 200 {
			t.Errorf("answer %d %q", got.status, got.body)
		}
	})
	start(t, 4, func(w *world) {
		w.script = func(_ core.Endpoint, _ *Outgoing, n int) act {
			if n == 1 {
				return act{status: 500, body: "failed"}
			}
			return act{err: unknown()}
		}
		if got := w.ask(context.Background(), "safe", nil); got.status != 500 || got.body != "failed" {
			t.Errorf("the endpoint's own failure became %d %q", got.status, got.body)
		}
	})
}

// Guards against a stream that looks complete although it broke off, and against
// pieces of two runs in one stream that may not be resumed.
func TestABrokenStreamIsCut(t *testing.T) {
	start(t, 3, func(w *world) {
		w.script = func(core.Endpoint, *Outgoing, int) act { return act{body: "id: 1\ndata: a\n\n", breaks: true} }
		got := w.ask(context.Background(), "stream", nil)
		if !got.cut || len(w.sends) != 1 {
			t.Errorf("cut %t after %d sends", got.cut, len(w.sends))
		}
	})
}

// Guards against events that are missing, doubled or joined when a stream is
// resumed after it stopped in the middle of an event.
func TestAResumedStreamIsWhole(t *testing.T) {
	start(t, 3, func(w *world) {
		w.script = func(_ core.Endpoint, o *Outgoing, n int) act {
			switch {
			case n == 1:
				return act{body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", breaks: true}
			case o.After == "2":
				return act{body: "id: 3\ndata: c\n\n"}
			}
			return act{body: "wrong"}
		}
		got := w.ask(context.Background(), "resume", nil)
		if got.cut || got.body != "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n" {
			t.Errorf("cut %t, stream %q", got.cut, got.body)
		}
	})
	start(t, 3, func(w *world) {
		w.script = func(_ core.Endpoint, _ *Outgoing, n int) act {
			if n == 1 {
				return act{body: "id: 1\ndata: a\n\n", breaks: true}
			}
			return act{status: 500, body: "failed"}
		}
		got := w.ask(context.Background(), "resume", nil)
		if !got.cut || got.body != "id: 1\ndata: a\n\n" {
			t.Errorf("an endpoint that does not resume: cut %t, stream %q", got.cut, got.body)
		}
	})
}

// Guards against requests that reach endpoints without a known key, route or
// configuration, and against an account set by the caller.
func TestAccessAndRoutes(t *testing.T) {
	start(t, 1, func(w *world) {
		w.script = func(core.Endpoint, *Outgoing, int) act { return act{body: "done"} }
		for _, c := range []struct {
			route string
			key   string
			want  core.Kind
		}{{"once", "other", core.Unauthorized}, {"once", "", core.Unauthorized}, {"none", "key", core.NotFound}} {
			got := w.ask(context.Background(), c.route, func(r *Request) { r.Key = c.key })
			if got.err == nil || got.err.Kind != c.want || got.err.Ran != core.RanNot {
				t.Errorf("route %s with key %q: %v", c.route, c.key, got.err)
			}
		}
		if len(w.sends) != 0 {
			t.Errorf("%d refused requests reached an endpoint", len(w.sends))
		}
		if got := w.ask(context.Background(), "public", func(r *Request) { r.Key = "" }); got.err != nil {
			t.Errorf("a public route: %v", got.err)
		}
		w.ask(context.Background(), "once", nil)
		if w.outs[0].Account != "" || w.outs[1].Account != "acc" {
			t.Errorf("accounts %q and %q", w.outs[0].Account, w.outs[1].Account)
		}
		w.snap = nil
		if got := w.ask(context.Background(), "once", nil); got.err == nil || got.err.Kind != core.Unavailable || got.err.RetryAfter == 0 {
			t.Errorf("without a configuration: %v", got.err)
		}
	})
}

// Guards against endpoints that work for a caller that left.
func TestTheEndpointIsToldWhenTheCallerLeaves(t *testing.T) {
	start(t, 2, func(w *world) {
		w.script = func(core.Endpoint, *Outgoing, int) act { return act{wait: time.Hour} }
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			time.Sleep(100 * time.Millisecond)
			cancel()
		}()
		began := time.Now()
		w.ask(ctx, "safe", nil)
		if took := time.Since(began); took > 200*time.Millisecond || w.cancels != 1 || len(w.sends) != 1 {
			t.Errorf("after %v: %d cancels, %d sends", took, w.cancels, len(w.sends))
		}
	})
}

// Guards against requests that are held beyond the route's timeout or the
// caller's own limit, and against endpoints that are given more time.
func TestTimeLimits(t *testing.T) {
	start(t, 2, func(w *world) {
		w.script = func(core.Endpoint, *Outgoing, int) act { return act{wait: time.Hour} }
		for _, c := range []struct{ limit, want time.Duration }{{10 * time.Second, 2 * time.Second}, {500 * time.Millisecond, 500 * time.Millisecond}} {
			began := time.Now()
			got := w.ask(context.Background(), "once", func(r *Request) { r.Limit = c.limit })
			if took := time.Since(began); took != c.want {
				t.Errorf("limit %v: answered after %v", c.limit, took)
			}
			if got.err.Kind != core.DeadlineExceeded || got.err.Ran == core.RanNot {
				t.Errorf("limit %v: %v", c.limit, got.err)
			}
			if r := w.outs[len(w.outs)-1].Remaining; r > c.want {
				t.Errorf("the endpoint got %v", r)
			}
		}
	})
}

// Guards against inputs of another stage or request, and against results that
// are never freed.
func TestStagesFeedTheRequest(t *testing.T) {
	start(t, 2, func(w *world) {
		w.script = func(core.Endpoint, *Outgoing, int) act { return act{body: "id: 1\ndata: a\n\n"} }
		got := w.ask(context.Background(), "staged", func(r *Request) { r.Pieces, r.PieceKey = []int{2, 3}, "pk" })
		if got.err != nil || got.body == "" {
			t.Fatalf("answer %+v", got)
		}
		if len(w.tasks) != 2 || w.tasks[0].Key != "pk" || len(w.tasks[1].Inputs) != 2 || w.tasks[1].Key != "" {
			t.Errorf("tasks %+v", w.tasks)
		}
		if in := w.outs[0].Inputs; len(in) != 3 || in[0] != "r-1-0-2" {
			t.Errorf("inputs %v", in)
		}
		if w.released != 5 {
			t.Errorf("%d of 5 results freed", w.released)
		}
	})
}

// Guards against other daemons that hear of a long prompt only with an exchange, and
// against an announcement for each request.
func TestLongPromptsAreAnnounced(t *testing.T) {
	start(t, 2, func(w *world) {
		w.script = func(core.Endpoint, *Outgoing, int) act { return act{body: "id: 1\ndata: a\n\n"} }
		var told []fleet.Prefill
		w.f.announce = func(r fleet.Prefill) { told = append(told, r) }
		w.snap.Match("h", "/stream/1").PromptAffinity = true
		for _, tokens := range []int{500, 20_000} {
			w.ask(context.Background(), "stream", func(r *Request) {
				r.Prompt, r.PromptTokens = []placement.Part{{ID: "shared", Tokens: 10}, {ID: "own", Tokens: tokens}}, tokens
			})
		}
		if len(told) != 1 || told[0].Tokens != 20_000 || told[0].Remaining <= 0 || told[0].Endpoint == "" {
			t.Errorf("announced %+v", told)
		}
	})
}

// Guards against small results that wait for an endpoint in the data centre of the
// engine: moving them costs nothing, and the wait is lost to the stages that follow.
func TestOnlyLargeResultsHaveAPlace(t *testing.T) {
	start(t, 2, func(w *world) {
		w.script = func(core.Endpoint, *Outgoing, int) act { return act{body: "id: 1\ndata: a\n\n"} }
		for _, c := range []struct {
			pieces int
			near   core.DataCenterID
		}{{2, ""}, {100, "a"}} {
			w.tasks = nil
			if got := w.ask(context.Background(), "staged", func(r *Request) { r.Pieces = []int{c.pieces, 1} }); got.err != nil {
				t.Fatal(got.err)
			}
			if n := w.tasks[0].PreferredDataCenter; n != c.near {
				t.Errorf("%d results of 1,000 bytes are to be made in %q, want %q", c.pieces, n, c.near)
			}
		}
	})
}

// Guards against a request that fails because the endpoint which kept a result
// is gone, and against making results again without end.
func TestLostResultsAreMadeAgainOnce(t *testing.T) {
	start(t, 3, func(w *world) {
		w.script = func(_ core.Endpoint, _ *Outgoing, n int) act {
			if n == 1 {
				return act{status: 409, notStarted: true, inputsGone: true}
			}
			return act{body: "id: 1\ndata: a\n\n"}
		}
		if got := w.ask(context.Background(), "staged", func(r *Request) { r.Pieces = []int{1, 1} }); got.err != nil {
			t.Errorf("answer %v", got.err)
		}
	})
	start(t, 3, func(w *world) {
		w.script = func(core.Endpoint, *Outgoing, int) act { return act{status: 409, notStarted: true, inputsGone: true} }
		got := w.ask(context.Background(), "staged", func(r *Request) { r.Pieces = []int{1, 1} })
		if got.err == nil || got.err.Ran != core.RanNot || len(w.tasks) > 4 {
			t.Errorf("%v after %d tasks", got.err, len(w.tasks))
		}
		if w.released != len(w.tasks) {
			t.Errorf("%d of %d results freed", w.released, len(w.tasks))
		}
	})
}

// Pattern: streams that go on for seconds after their first event, while the room
// for stages' results is scarce. Their inputs must be freed at the first event, also
// where the stream may be resumed; one that breaks off later gets new ones, and its
// caller the whole answer.
func TestInputsAreFreedAtTheFirstEvent(t *testing.T) {
	for _, route := range []string{"staged", "staged-resume"} {
		start(t, 2, func(w *world) {
			w.script = func(core.Endpoint, *Outgoing, int) act { return act{body: "id: 1\ndata: a\n\n", rest: time.Second} }
			time.AfterFunc(700*time.Millisecond, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if w.released != 5 {
					t.Errorf("%s: %d of 5 results freed while the stream goes on", route, w.released)
				}
			})
			began := time.Now()
			if got := w.ask(context.Background(), route, func(r *Request) { r.Pieces = []int{2, 3} }); got.err != nil || time.Since(began) < 800*time.Millisecond {
				t.Errorf("%s: %v after %v", route, got.err, time.Since(began))
			}
		})
	}
	start(t, 2, func(w *world) {
		w.script = func(_ core.Endpoint, o *Outgoing, n int) act {
			if n == 1 {
				return act{body: "id: 1\ndata: a\n\n", breaks: true}
			}
			return act{body: "id: 2\ndata: b\n\n"}
		}
		got := w.ask(context.Background(), "staged-resume", func(r *Request) { r.Pieces = []int{2, 3} })
		if got.err != nil || got.cut || got.body != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
			t.Fatalf("answer %+v", got)
		}
		if len(w.outs) != 2 || w.outs[1].After != "1" || w.outs[1].Inputs[0] == w.outs[0].Inputs[0] || len(w.outs[1].Inputs) != 3 {
			t.Errorf("%d sends, the last with %+v", len(w.outs), w.outs[len(w.outs)-1])
		}
		for _, task := range w.tasks[2:] {
			if !task.MayHaveRun || task.Deadline.Before(time.Now()) {
				t.Errorf("stage made again with %+v", task)
			}
		}
		if w.released != 10 {
			t.Errorf("%d of 10 results freed", w.released)
		}
	})
}

// Pattern: overload of a stage. A request that cannot be in time is refused at
// once, before it costs a stage anything.
func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	start(t, 1, func(w *world) {
		w.script = func(core.Endpoint, *Outgoing, int) act { return act{} }
		w.wait = 5 * time.Second
		began := time.Now()
		got := w.ask(context.Background(), "staged", func(r *Request) { r.Pieces = []int{1, 1} })
		if time.Since(began) > 0 || len(w.tasks) != 0 || got.err == nil || got.err.Ran != core.RanNot {
			t.Errorf("after %v and %d tasks: %v", time.Since(began), len(w.tasks), got.err)
		}
		if got.err.RetryAfter < time.Second {
			t.Errorf("told to come back after %v, the queue takes 5 s", got.err.RetryAfter)
		}
	})
}

// Guards against streams that begin when the time for their rest is no longer
// there, after stages that took long, and are cut in the middle.
func TestAStreamThatCannotEndInTimeDoesNotBegin(t *testing.T) {
	start(t, 1, func(w *world) {
		w.script = func(core.Endpoint, *Outgoing, int) act {
			return act{body: "id: 1\ndata: a\n\n", rest: 600 * time.Millisecond}
		}
		staged := func(r *Request) { r.Pieces = []int{1, 1} }
		for range 3 {
			if got := w.ask(context.Background(), "staged", staged); got.err != nil || got.cut {
				t.Fatalf("with fast stages: cut %t, %v", got.cut, got.err)
			}
		}
		sends := len(w.sends)
		w.stageTime = 850 * time.Millisecond
		got := w.ask(context.Background(), "staged", staged)
		if got.cut || got.err == nil || got.err.Kind != core.Unavailable || got.err.Ran != core.RanNot || got.err.RetryAfter <= 0 || len(w.sends) != sends {
			t.Errorf("with slow stages: cut %t, %v, %d sends", got.cut, got.err, len(w.sends)-sends)
		}
	})
}

// Guards against a rest of streams that was long once and keeps all later requests
// of the route out.
func TestALongRestDoesNotShutTheRoute(t *testing.T) {
	start(t, 1, func(w *world) {
		rest := 1500 * time.Millisecond
		w.script = func(core.Endpoint, *Outgoing, int) act { return act{body: "id: 1\ndata: a\n\n", rest: rest} }
		for range 20 {
			if got := w.ask(context.Background(), "staged", func(r *Request) { r.Pieces = []int{1, 1} }); got.err != nil || got.cut {
				t.Fatalf("cut %t, %v", got.cut, got.err)
			}
		}
	})
}

// Guards against callers that are told to come back after an hour, or all at the
// same moment.
func TestRetryAfterIsBoundedAndSpread(t *testing.T) {
	seen := map[time.Duration]bool{}
	for range 20 {
		start(t, 1, func(w *world) {
			w.script = func(core.Endpoint, *Outgoing, int) act { return act{} }
			w.stageErr = &core.Error{Kind: core.Unavailable, Ran: core.RanNot, RetryAfter: time.Hour, Detail: "too long"}
			got := w.ask(context.Background(), "staged", func(r *Request) { r.Pieces = []int{1, 1} })
			if a := got.err.RetryAfter; a < maxRetryAfter/2 || a > 2*maxRetryAfter {
				t.Errorf("told to come back after %v", a)
			}
			seen[got.err.RetryAfter] = true
		})
	}
	if len(seen) < 10 {
		t.Errorf("20 callers are told %d times", len(seen))
	}
}

// Guards against a content that takes down endpoint after endpoint, and against
// refusing a content whose endpoints crashed by chance.
func TestContentsThatCrashEndpointsAreRefused(t *testing.T) {
	start(t, 6, func(w *world) {
		w.script = func(_ core.Endpoint, o *Outgoing, _ int) act {
			if string(o.Body) == "fine" {
				return act{body: "done"}
			}
			return act{err: unknown()}
		}
		w.crashing = true
		for range 6 {
			w.ask(context.Background(), "safe", nil)
		}
		if n := len(w.sends); n != crashesToRefuse {
			t.Errorf("the content reached %d endpoints", n)
		}
		got := w.ask(context.Background(), "safe", nil)
		if got.err == nil || got.err.Step != "quarantine" || got.err.Ran != core.RanNot {
			t.Errorf("refusal %v", got.err)
		}
		if got := w.ask(context.Background(), "safe", func(r *Request) { r.Body = []byte("fine") }); got.err != nil {
			t.Errorf("another content is refused: %v", got.err)
		}
	})
	start(t, 6, func(w *world) {
		w.crashing = true
		w.script = func(_ core.Endpoint, _ *Outgoing, n int) act {
			if n%2 == 1 {
				return act{err: unknown()}
			}
			return act{body: "done"}
		}
		for range 6 {
			if got := w.ask(context.Background(), "safe", nil); got.err != nil {
				t.Fatalf("a content that also succeeds is refused: %v", got.err)
			}
		}
	})
}

// Guards against suspects that other daemons do not know, and against counts
// that a repeated report adds up.
func TestSuspectsAreShared(t *testing.T) {
	s, o := newSuspects(time.Now), newSuspects(time.Now)
	s.crashed(7, "e1")
	s.crashed(7, "e1")
	for range 3 {
		o.learn("d1", s.report())
	}
	if n := o.crashes(7); n != 1 {
		t.Errorf("the other daemon counts %d crashes of one endpoint", n)
	}
	o.crashed(7, "e2")
	if n := o.crashes(7); n != 2 {
		t.Errorf("two endpoints count as %d", n)
	}
	for i := range maxSuspects + 10 {
		s.crashed(uint64(100+i), "e")
	}
	if len(s.counts) > maxSuspects || len(s.report()) > maxShared {
		t.Errorf("%d suspects kept, %d told", len(s.counts), len(s.report()))
	}
}

// Guards against ranks that mix an account's priority with another's route.
func TestCombinedRank(t *testing.T) {
	last := -1
	for account := range 3 {
		for route := range 3 {
			if r := combinedRank(account, route); r <= last || r > maxRank {
				t.Errorf("account %d, route %d: rank %d after %d", account, route, r, last)
			} else {
				last = r
			}
		}
	}
	if combinedRank(-5, -5) != 0 || combinedRank(100, 100) != maxRank {
		t.Error("ranks out of bounds")
	}
}

// Guards against a stage whose inputs are gone and of which the log does not say
// whose results they were: an operator could not tell the cause.
func TestAStageWithoutItsInputsNamesTheirMakers(t *testing.T) {
	start(t, 1, func(w *world) {
		w.stageErr, w.stageErrFrom = &core.Error{Kind: core.Conflict, Step: "stage", Ran: core.RanNot, Detail: "an input is gone"}, 1
		got := w.ask(context.Background(), "staged", func(r *Request) { r.Pieces, r.PieceKey = []int{2, 1}, "pk" })
		if got.err == nil || !strings.Contains(got.err.Detail, "an input is gone; inputs made by m, the oldest 100 ms ago") {
			t.Errorf("error %v", got.err)
		}
	})
}

// Guards against a daemon that keeps long answers whole until its memory is used up,
// against long answers that are cut or changed, and against one that breaks off and
// looks complete.
func TestLongAnswersAreNotKept(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", maxKept/8)
	for _, c := range []struct {
		act
		cut bool
	}{{act: act{body: long, length: int64(len(long))}}, {act: act{body: long, length: -1}}, {act: act{body: long, length: -1, breaks: true}, cut: true}} {
		for _, route := range []string{"once", "safe"} {
			start(t, 2, func(w *world) {
				w.script = func(core.Endpoint, *Outgoing, int) act { return c.act }
				got := w.ask(context.Background(), route, nil)
				if got.body != long || got.cut != c.cut || (got.err != nil) != c.cut || len(w.sends) != 1 {
					t.Errorf("%s, length %d: %d bytes of %d, cut %t, %v, %d sends", route, c.length, len(got.body), len(long), got.cut, got.err, len(w.sends))
				}
			})
		}
	}
}

// Guards against reading bytes that are no answer of the endpoint: they may come
// without end.
func TestAForgedAnswerIsNotRead(t *testing.T) {
	start(t, 1, func(w *world) {
		w.script = func(core.Endpoint, *Outgoing, int) act { return act{body: "x", forged: true, rest: time.Hour} }
		began := time.Now()
		if got := w.ask(context.Background(), "once", nil); got.err == nil || got.err.Ran == core.RanNot || time.Since(began) > 0 {
			t.Errorf("%v after %v", got.err, time.Since(began))
		}
	})
}
