package forward

import (
	"context"
	"strings"
	"testing"
	"time"

	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/placement"
	"eelgrassgrade/internal/decide/quarantine"
)

// Guards against refused callers that return while an overload of several seconds still
// lasts and are refused again, and against long RetryAfter times once it is over.
func TestRetryAfterGrowsDuringOverload(t *testing.T) {
	withFakePlatform(t, 1, func(p *fakePlatform) {
		p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
			return endpointBehavior{body: "id: 1\ndata: a\n\n"}
		}
		p.queueWait = 900 * time.Millisecond
		refusedRetryAfter := func() time.Duration {
			got := p.serve(context.Background(), "staged", func(r *Request) { r.PieceCounts = []int{1, 1} })
			if got.err == nil {
				t.Fatal("a request was admitted")
			}
			return got.err.RetryAfter
		}
		if first := refusedRetryAfter(); first > 1500*time.Millisecond {
			t.Errorf("first refusal: RetryAfter %v", first)
		}
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			refusedRetryAfter()
		}
		if late := refusedRetryAfter(); late < 2500*time.Millisecond || late > maxRetryAfter*3/2 {
			t.Errorf("refusal after 4 s of overload: RetryAfter %v", late)
		}
		time.Sleep(2 * time.Second)
		if again := refusedRetryAfter(); again > 1500*time.Millisecond {
			t.Errorf("first refusal of the next overload: RetryAfter %v", again)
		}
	})
}

// Guards against sending a request that may run only once to a second endpoint after
// the first may have run it, and against reporting it as not run.
func TestRequestThatMayHaveRunIsNotRetried(t *testing.T) {
	for name, behavior := range map[string]endpointBehavior{
		"no answer":     {err: unknownOutcomeError()},
		"broken answer": {body: "half", breaksOff: true},
		"forged answer": {body: "x", forged: true},
		"silence":       {delay: time.Hour},
	} {
		for _, route := range []string{"once", "stream"} {
			withFakePlatform(t, 3, func(p *fakePlatform) {
				p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior { return behavior }
				got := p.serve(context.Background(), route, nil)
				if len(p.sentTo) != 1 {
					t.Errorf("%s, %s: sent %d times", route, name, len(p.sentTo))
				}
				if got.err == nil && !got.cut {
					t.Errorf("%s, %s: answered %d %q", route, name, got.status, got.body)
				}
				if got.err != nil && got.err.Ran == core.RanNot {
					t.Errorf("%s, %s: reported as not run", route, name)
				}
			})
		}
	}
}

// Guards against giving up a request that provably did not start, and against a refusal
// without a RetryAfter.
func TestRequestThatDidNotStartIsRetried(t *testing.T) {
	for name, behavior := range map[string]endpointBehavior{
		"no connection": {err: connectionError()},
		"refused":       {status: 503, notStarted: true},
		"other owner":   {status: 421, notStarted: true},
	} {
		withFakePlatform(t, 3, func(p *fakePlatform) {
			p.respond = func(_ core.Endpoint, _ *EndpointRequest, n int) endpointBehavior {
				if n == 1 {
					return behavior
				}
				return endpointBehavior{body: "done"}
			}
			if got := p.serve(context.Background(), "once", nil); got.body != "done" || len(p.sentTo) != 2 || p.sentTo[0] == p.sentTo[1] {
				t.Errorf("%s: answer %q after sends to %v", name, got.body, p.sentTo)
			}
		})
		withFakePlatform(t, 3, func(p *fakePlatform) {
			p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior { return behavior }
			got := p.serve(context.Background(), "once", nil)
			if got.err == nil || got.err.Ran != core.RanNot || got.err.Kind != core.Unavailable || got.err.RetryAfter <= 0 {
				t.Errorf("%s everywhere: %v", name, got.err)
			}
		})
	}
}

// Guards against retries beyond the route's attempts or the budget, and against no
// retries at all.
func TestRepeatableRequestsAreRetriedWithinLimits(t *testing.T) {
	withFakePlatform(t, 4, func(p *fakePlatform) {
		p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
			return endpointBehavior{err: unknownOutcomeError()}
		}
		if p.serve(context.Background(), "safe", nil); len(p.sentTo) != 2 {
			t.Errorf("sent %d times, the route allows 2", len(p.sentTo))
		}
	})
	withFakePlatform(t, 4, func(p *fakePlatform) {
		p.retriesAllowed = false
		p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
			return endpointBehavior{err: unknownOutcomeError()}
		}
		if p.serve(context.Background(), "safe", nil); len(p.sentTo) != 1 {
			t.Errorf("sent %d times without a budget", len(p.sentTo))
		}
	})
	withFakePlatform(t, 4, func(p *fakePlatform) {
		p.respond = func(_ core.Endpoint, _ *EndpointRequest, n int) endpointBehavior {
			if n == 1 {
				return endpointBehavior{status: 500, body: "failed"}
			}
			return endpointBehavior{body: "done"}
		}
		if got := p.serve(context.Background(), "safe", nil); got.body != "done" || got.status != 200 {
			t.Errorf("answer %d %q", got.status, got.body)
		}
	})
	withFakePlatform(t, 4, func(p *fakePlatform) {
		p.respond = func(_ core.Endpoint, _ *EndpointRequest, n int) endpointBehavior {
			if n == 1 {
				return endpointBehavior{status: 500, body: "failed"}
			}
			return endpointBehavior{err: unknownOutcomeError()}
		}
		if got := p.serve(context.Background(), "safe", nil); got.status != 500 || got.body != "failed" {
			t.Errorf("the endpoint's own failure was delivered as %d %q", got.status, got.body)
		}
	})
}

// Guards against a stream that looks complete although it broke off, and against
// events of two runs in a stream that may not be resumed.
func TestBrokenStreamIsCut(t *testing.T) {
	withFakePlatform(t, 3, func(p *fakePlatform) {
		p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
			return endpointBehavior{body: "id: 1\ndata: a\n\n", breaksOff: true}
		}
		got := p.serve(context.Background(), "stream", nil)
		if !got.cut || len(p.sentTo) != 1 {
			t.Errorf("cut %t after %d sends", got.cut, len(p.sentTo))
		}
	})
}

// Guards against lost, duplicated or merged events when a stream is resumed after it
// broke off in the middle of an event.
func TestResumedStreamIsComplete(t *testing.T) {
	withFakePlatform(t, 3, func(p *fakePlatform) {
		p.respond = func(_ core.Endpoint, r *EndpointRequest, n int) endpointBehavior {
			switch {
			case n == 1:
				return endpointBehavior{body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", breaksOff: true}
			case r.LastEventID == "2":
				return endpointBehavior{body: "id: 3\ndata: c\n\n"}
			}
			return endpointBehavior{body: "wrong"}
		}
		got := p.serve(context.Background(), "resume", nil)
		if got.cut || got.body != "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n" {
			t.Errorf("cut %t, stream %q", got.cut, got.body)
		}
	})
	withFakePlatform(t, 3, func(p *fakePlatform) {
		p.respond = func(_ core.Endpoint, _ *EndpointRequest, n int) endpointBehavior {
			if n == 1 {
				return endpointBehavior{body: "id: 1\ndata: a\n\n", breaksOff: true}
			}
			return endpointBehavior{status: 500, body: "failed"}
		}
		got := p.serve(context.Background(), "resume", nil)
		if !got.cut || got.body != "id: 1\ndata: a\n\n" {
			t.Errorf("an endpoint that does not resume: cut %t, stream %q", got.cut, got.body)
		}
	})
}

// Guards against requests that reach endpoints without a known API key, a route or a
// configuration, and against an account other than that of the key.
func TestAccessAndRoutes(t *testing.T) {
	withFakePlatform(t, 1, func(p *fakePlatform) {
		p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior { return endpointBehavior{body: "done"} }
		for _, c := range []struct {
			route string
			key   string
			want  core.Kind
		}{{"once", "other", core.Unauthorized}, {"once", "", core.Unauthorized}, {"none", "key", core.NotFound}} {
			got := p.serve(context.Background(), c.route, func(r *Request) { r.APIKey = c.key })
			if got.err == nil || got.err.Kind != c.want || got.err.Ran != core.RanNot {
				t.Errorf("route %s with key %q: %v", c.route, c.key, got.err)
			}
		}
		if len(p.sentTo) != 0 {
			t.Errorf("%d refused requests reached an endpoint", len(p.sentTo))
		}
		if got := p.serve(context.Background(), "public", func(r *Request) { r.APIKey = "" }); got.err != nil {
			t.Errorf("a public route: %v", got.err)
		}
		p.serve(context.Background(), "once", nil)
		if p.requests[0].Account != "" || p.requests[1].Account != "acc" {
			t.Errorf("accounts %q and %q", p.requests[0].Account, p.requests[1].Account)
		}
		p.snapshot = nil
		if got := p.serve(context.Background(), "once", nil); got.err == nil || got.err.Kind != core.Unavailable || got.err.RetryAfter == 0 {
			t.Errorf("without a configuration: %v", got.err)
		}
	})
}

// Guards against endpoints that go on working for a caller that has left.
func TestCallIsCancelledWhenCallerLeaves(t *testing.T) {
	withFakePlatform(t, 2, func(p *fakePlatform) {
		p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior { return endpointBehavior{delay: time.Hour} }
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			time.Sleep(100 * time.Millisecond)
			cancel()
		}()
		began := time.Now()
		p.serve(ctx, "safe", nil)
		if took := time.Since(began); took > 200*time.Millisecond || p.cancellations != 1 || len(p.sentTo) != 1 {
			t.Errorf("after %v: %d cancellations, %d sends", took, p.cancellations, len(p.sentTo))
		}
	})
}

// Guards against requests that take longer than the route's or the caller's timeout,
// and against endpoints that are given more time.
func TestTimeLimits(t *testing.T) {
	withFakePlatform(t, 2, func(p *fakePlatform) {
		p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior { return endpointBehavior{delay: time.Hour} }
		for _, c := range []struct{ limit, want time.Duration }{{10 * time.Second, 2 * time.Second}, {500 * time.Millisecond, 500 * time.Millisecond}} {
			began := time.Now()
			got := p.serve(context.Background(), "once", func(r *Request) { r.Timeout = c.limit })
			if took := time.Since(began); took != c.want {
				t.Errorf("limit %v: answered after %v", c.limit, took)
			}
			if got.err.Kind != core.DeadlineExceeded || got.err.Ran == core.RanNot {
				t.Errorf("limit %v: %v", c.limit, got.err)
			}
			if r := p.requests[len(p.requests)-1].Remaining; r > c.want {
				t.Errorf("the endpoint was given %v", r)
			}
		}
	})
}

// Guards against inputs that belong to another stage or request, and against results
// that are never released.
func TestStageResultsBecomeInputs(t *testing.T) {
	withFakePlatform(t, 2, func(p *fakePlatform) {
		p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
			return endpointBehavior{body: "id: 1\ndata: a\n\n"}
		}
		got := p.serve(context.Background(), "staged", func(r *Request) { r.PieceCounts, r.PieceKey = []int{2, 3}, "pk" })
		if got.err != nil || got.body == "" {
			t.Fatalf("answer %+v", got)
		}
		if len(p.tasks) != 2 || p.tasks[0].Key != "pk" || len(p.tasks[1].Inputs) != 2 || p.tasks[1].Key != "" {
			t.Errorf("tasks %+v", p.tasks)
		}
		if inputs := p.requests[0].Inputs; len(inputs) != 3 || inputs[0] != "r-1-0-2" {
			t.Errorf("inputs %v", inputs)
		}
		if p.released != 5 {
			t.Errorf("%d of 5 results released", p.released)
		}
	})
}

// Guards against other daemons that learn of a long prompt only at the next exchange of
// loads, and against an announcement for every request.
func TestLongPromptsAreAnnounced(t *testing.T) {
	withFakePlatform(t, 2, func(p *fakePlatform) {
		p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
			return endpointBehavior{body: "id: 1\ndata: a\n\n"}
		}
		var announced []fleet.Prefill
		p.forwarder.announce = func(r fleet.Prefill) { announced = append(announced, r) }
		p.snapshot.Match("h", "/stream/1").PromptAffinity = true
		for _, tokens := range []int{500, 20_000} {
			p.serve(context.Background(), "stream", func(r *Request) {
				r.Prompt, r.PromptTokens = []placement.Part{{ID: "shared", Tokens: 10}, {ID: "own", Tokens: tokens}}, tokens
			})
		}
		if len(announced) != 1 || announced[0].Tokens != 20_000 || announced[0].Remaining <= 0 || announced[0].Endpoint == "" {
			t.Errorf("announced %+v", announced)
		}
	})
}

// Guards against stages with small results that wait for an endpoint in the engine's
// data centre: moving the results costs nothing, while the wait delays later stages.
func TestOnlyLargeResultsPreferADataCenter(t *testing.T) {
	withFakePlatform(t, 2, func(p *fakePlatform) {
		p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
			return endpointBehavior{body: "id: 1\ndata: a\n\n"}
		}
		for _, c := range []struct {
			pieces int
			near   core.DataCenterID
		}{{2, ""}, {100, "a"}} {
			p.tasks = nil
			if got := p.serve(context.Background(), "staged", func(r *Request) { r.PieceCounts = []int{c.pieces, 1} }); got.err != nil {
				t.Fatal(got.err)
			}
			if near := p.tasks[0].PreferredDataCenter; near != c.near {
				t.Errorf("%d results of 1,000 bytes: preferred data centre %q, want %q", c.pieces, near, c.near)
			}
		}
	})
}

// Guards against a request that fails because the endpoint that held a result is gone,
// and against recomputing results without end.
func TestLostResultsAreRecomputedOnce(t *testing.T) {
	withFakePlatform(t, 3, func(p *fakePlatform) {
		p.respond = func(_ core.Endpoint, _ *EndpointRequest, n int) endpointBehavior {
			if n == 1 {
				return endpointBehavior{status: 409, notStarted: true, inputsGone: true}
			}
			return endpointBehavior{body: "id: 1\ndata: a\n\n"}
		}
		if got := p.serve(context.Background(), "staged", func(r *Request) { r.PieceCounts = []int{1, 1} }); got.err != nil {
			t.Errorf("answer %v", got.err)
		}
	})
	withFakePlatform(t, 3, func(p *fakePlatform) {
		p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
			return endpointBehavior{status: 409, notStarted: true, inputsGone: true}
		}
		got := p.serve(context.Background(), "staged", func(r *Request) { r.PieceCounts = []int{1, 1} })
		if got.err == nil || got.err.Ran != core.RanNot || len(p.tasks) > 4 {
			t.Errorf("%v after %d tasks", got.err, len(p.tasks))
		}
		if p.released != len(p.tasks) {
			t.Errorf("%d of %d results released", p.released, len(p.tasks))
		}
	})
}

// Guards against streams that hold their inputs for seconds after their first event, so
// that the stages' endpoints run out of result capacity. Streams that may be resumed
// release their inputs too; after a failure the stages run again, and the caller still
// gets the whole answer.
func TestInputsAreReleasedAtFirstEvent(t *testing.T) {
	for _, route := range []string{"staged", "staged-resume"} {
		withFakePlatform(t, 2, func(p *fakePlatform) {
			p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
				return endpointBehavior{body: "id: 1\ndata: a\n\n", endDelay: time.Second}
			}
			time.AfterFunc(700*time.Millisecond, func() {
				p.mu.Lock()
				defer p.mu.Unlock()
				if p.released != 5 {
					t.Errorf("%s: %d of 5 results released during the stream", route, p.released)
				}
			})
			began := time.Now()
			if got := p.serve(context.Background(), route, func(r *Request) { r.PieceCounts = []int{2, 3} }); got.err != nil || time.Since(began) < 800*time.Millisecond {
				t.Errorf("%s: %v after %v", route, got.err, time.Since(began))
			}
		})
	}
	withFakePlatform(t, 2, func(p *fakePlatform) {
		p.respond = func(_ core.Endpoint, r *EndpointRequest, n int) endpointBehavior {
			if n == 1 {
				return endpointBehavior{body: "id: 1\ndata: a\n\n", breaksOff: true}
			}
			return endpointBehavior{body: "id: 2\ndata: b\n\n"}
		}
		got := p.serve(context.Background(), "staged-resume", func(r *Request) { r.PieceCounts = []int{2, 3} })
		if got.err != nil || got.cut || got.body != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
			t.Fatalf("answer %+v", got)
		}
		if len(p.requests) != 2 || p.requests[1].LastEventID != "1" || p.requests[1].Inputs[0] == p.requests[0].Inputs[0] || len(p.requests[1].Inputs) != 3 {
			t.Errorf("%d sends, the last with %+v", len(p.requests), p.requests[len(p.requests)-1])
		}
		for _, task := range p.tasks[2:] {
			if !task.MayHaveRun || task.Deadline.Before(time.Now()) {
				t.Errorf("task of the second run: %+v", task)
			}
		}
		if p.released != 10 {
			t.Errorf("%d of 10 results released", p.released)
		}
	})
}

// Guards against stages that work for a request whose answer can't be in time because
// of their queues. It must be refused immediately.
func TestRequestsThatMissTheDeadlineAreRefusedImmediately(t *testing.T) {
	withFakePlatform(t, 1, func(p *fakePlatform) {
		p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior { return endpointBehavior{} }
		p.queueWait = 5 * time.Second
		began := time.Now()
		got := p.serve(context.Background(), "staged", func(r *Request) { r.PieceCounts = []int{1, 1} })
		if time.Since(began) > 0 || len(p.tasks) != 0 || got.err == nil || got.err.Ran != core.RanNot {
			t.Errorf("after %v and %d tasks: %v", time.Since(began), len(p.tasks), got.err)
		}
		if got.err.RetryAfter < time.Second {
			t.Errorf("RetryAfter %v, the queue takes 5 s", got.err.RetryAfter)
		}
	})
}

// Guards against streams that start after slow stages although the time left is too
// short for them, and are cut at the deadline.
func TestStreamThatCannotEndInTimeIsNotStarted(t *testing.T) {
	withFakePlatform(t, 1, func(p *fakePlatform) {
		p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
			return endpointBehavior{body: "id: 1\ndata: a\n\n", endDelay: 600 * time.Millisecond}
		}
		staged := func(r *Request) { r.PieceCounts = []int{1, 1} }
		for range 3 {
			if got := p.serve(context.Background(), "staged", staged); got.err != nil || got.cut {
				t.Fatalf("with fast stages: cut %t, %v", got.cut, got.err)
			}
		}
		sendsBefore := len(p.sentTo)
		p.stageTime = 850 * time.Millisecond
		got := p.serve(context.Background(), "staged", staged)
		if got.cut || got.err == nil || got.err.Kind != core.Unavailable || got.err.Ran != core.RanNot || got.err.RetryAfter <= 0 || len(p.sentTo) != sendsBefore {
			t.Errorf("with slow stages: cut %t, %v, %d sends", got.cut, got.err, len(p.sentTo)-sendsBefore)
		}
	})
}

// Guards against a long measured stream duration because of which all later requests of
// the route are refused.
func TestLongStreamsDoNotBlockTheRoute(t *testing.T) {
	withFakePlatform(t, 1, func(p *fakePlatform) {
		endDelay := 1500 * time.Millisecond
		p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
			return endpointBehavior{body: "id: 1\ndata: a\n\n", endDelay: endDelay}
		}
		for range 20 {
			if got := p.serve(context.Background(), "staged", func(r *Request) { r.PieceCounts = []int{1, 1} }); got.err != nil || got.cut {
				t.Fatalf("cut %t, %v", got.cut, got.err)
			}
		}
	})
}

// Guards against a RetryAfter of an hour, and against the same RetryAfter for all
// callers.
func TestRetryAfterIsBoundedAndJittered(t *testing.T) {
	seen := map[time.Duration]bool{}
	for range 20 {
		withFakePlatform(t, 1, func(p *fakePlatform) {
			p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior { return endpointBehavior{} }
			p.stageErr = &core.Error{Kind: core.Unavailable, Ran: core.RanNot, RetryAfter: time.Hour, Detail: "too long"}
			got := p.serve(context.Background(), "staged", func(r *Request) { r.PieceCounts = []int{1, 1} })
			if retryAfter := got.err.RetryAfter; retryAfter < maxRetryAfter/2 || retryAfter > 2*maxRetryAfter {
				t.Errorf("RetryAfter %v", retryAfter)
			}
			seen[got.err.RetryAfter] = true
		})
	}
	if len(seen) < 10 {
		t.Errorf("20 callers got %d different RetryAfter values", len(seen))
	}
}

// Guards against a request content that crashes one endpoint after the other, and
// against refusing a content whose endpoints crashed for another reason.
func TestCrashingContentIsRefused(t *testing.T) {
	withFakePlatform(t, 6, func(p *fakePlatform) {
		p.respond = func(_ core.Endpoint, r *EndpointRequest, _ int) endpointBehavior {
			if string(r.Body) == "fine" {
				return endpointBehavior{body: "done"}
			}
			return endpointBehavior{err: unknownOutcomeError()}
		}
		p.unreachable = true
		for range 6 {
			p.serve(context.Background(), "safe", nil)
		}
		if n := len(p.sentTo); n != quarantine.ContentCrashes {
			t.Errorf("the content reached %d endpoints", n)
		}
		got := p.serve(context.Background(), "safe", nil)
		if got.err == nil || got.err.Step != "quarantine" || got.err.Ran != core.RanNot {
			t.Errorf("refusal %v", got.err)
		}
		if got := p.serve(context.Background(), "safe", func(r *Request) { r.Body = []byte("fine") }); got.err != nil {
			t.Errorf("another content is refused: %v", got.err)
		}
	})
	withFakePlatform(t, 6, func(p *fakePlatform) {
		p.unreachable = true
		p.respond = func(_ core.Endpoint, _ *EndpointRequest, n int) endpointBehavior {
			if n%2 == 1 {
				return endpointBehavior{err: unknownOutcomeError()}
			}
			return endpointBehavior{body: "done"}
		}
		for range 6 {
			if got := p.serve(context.Background(), "safe", nil); got.err != nil {
				t.Fatalf("a content that also succeeds is refused: %v", got.err)
			}
		}
	})
}

// Guards against a route's priority that outweighs an account's priority.
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

// Guards against an error for lost inputs that does not say which endpoints produced
// them, without which an operator can't find the cause.
func TestLostInputsErrorNamesProducers(t *testing.T) {
	withFakePlatform(t, 1, func(p *fakePlatform) {
		p.stageErr, p.firstFailingStage = &core.Error{Kind: core.Conflict, Step: "stage", Ran: core.RanNot, Detail: "an input is gone"}, 1
		got := p.serve(context.Background(), "staged", func(r *Request) { r.PieceCounts, r.PieceKey = []int{2, 1}, "pk" })
		if got.err == nil || !strings.Contains(got.err.Detail, "an input is gone; inputs made by m, the oldest 100 ms ago") {
			t.Errorf("error %v", got.err)
		}
	})
}

// Guards against running out of memory by buffering long answers, against long answers
// that are cut or changed, and against one that breaks off but looks complete.
func TestLongAnswersAreNotBuffered(t *testing.T) {
	longBody := strings.Repeat("0123456789abcdef", maxBufferedAnswerBytes/8)
	for _, c := range []struct {
		endpointBehavior
		cut bool
	}{{endpointBehavior: endpointBehavior{body: longBody, length: int64(len(longBody))}}, {endpointBehavior: endpointBehavior{body: longBody, length: -1}}, {endpointBehavior: endpointBehavior{body: longBody, length: -1, breaksOff: true}, cut: true}} {
		for _, route := range []string{"once", "safe"} {
			withFakePlatform(t, 2, func(p *fakePlatform) {
				p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior { return c.endpointBehavior }
				got := p.serve(context.Background(), route, nil)
				if got.body != longBody || got.cut != c.cut || (got.err != nil) != c.cut || len(p.sentTo) != 1 {
					t.Errorf("%s, length %d: %d bytes of %d, cut %t, %v, %d sends", route, c.length, len(got.body), len(longBody), got.cut, got.err, len(p.sentTo))
				}
			})
		}
	}
}

// Guards against reading an answer that the endpoint has not confirmed as its own: it
// may never end.
func TestForgedAnswerIsNotRead(t *testing.T) {
	withFakePlatform(t, 1, func(p *fakePlatform) {
		p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
			return endpointBehavior{body: "x", forged: true, endDelay: time.Hour}
		}
		began := time.Now()
		if got := p.serve(context.Background(), "once", nil); got.err == nil || got.err.Ran == core.RanNot || time.Since(began) > 0 {
			t.Errorf("%v after %v", got.err, time.Since(began))
		}
	})
}
