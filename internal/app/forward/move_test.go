package forward

import (
	"context"
	"testing"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/health"
	"eelgrassgrade/internal/decide/placement"
	"eelgrassgrade/internal/decide/quarantine"
)

// sharedPrompt is a prompt with a part that other requests have too.
var sharedPrompt = []placement.Part{{ID: "shared", Tokens: 10}, {ID: "own", Tokens: 10}}

// Guards against sound resumable streams that are cut because their engine pauses them, and
// against stalled ones that stay although another endpoint can go on, or that never end: a
// stream leaves its endpoint only if it may be sent once more and a healthy endpoint has
// room for it.
func TestAStalledStreamMovesOnlyToSomethingBetter(t *testing.T) {
	const first, rest, pause = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", 4 * time.Second
	const limit = 10 * time.Second
	occupy := func(p *fakePlatform) {
		for _, e := range p.view.ByPool["p"] {
			for range e.Slots {
				p.forwarder.tracker.requestStarted("p", e.ID, 0)
			}
		}
	}
	quarantinePart := func(p *fakePlatform) {
		for i := range 3 {
			time.AfterFunc(time.Duration(2+3*i)*100*time.Millisecond, func() {
				p.forwarder.parts.RecordCrash(sharedParts("p", sharedPrompt), quarantine.RunOf("gone", int64(i)), time.Now())
			})
		}
	}
	for _, c := range []struct {
		name                string
		endpoints, attempts int
		// prepare changes the platform when the first event has been sent.
		prepare func(*fakePlatform)
		// pauses is the number of endpoints, in the order of the requests, that pause.
		pauses   int
		pause    time.Duration
		wantSent int
		wantEnd  time.Duration
		wantCut  bool
		// wantAsked is the number of permits that are asked for, if it is not zero.
		wantAsked int
		// refuse makes all endpoints but the first refuse requests.
		refuse bool
		// lastRetry makes the first retry the last one.
		lastRetry bool
	}{
		{name: "another endpoint takes it", endpoints: 3, attempts: 2, pauses: 1, pause: pause, wantSent: 2, wantEnd: minStallTimeout},
		{name: "the last attempt", endpoints: 3, attempts: 1, pauses: 1, pause: pause, wantSent: 1, wantEnd: pause},
		{name: "both endpoints pause", endpoints: 3, attempts: 2, pauses: 2, pause: pause, wantSent: 2, wantEnd: minStallTimeout + pause},
		{name: "no other endpoint", endpoints: 1, attempts: 2, pauses: 1, pause: pause, wantSent: 1, wantEnd: pause},
		{name: "no retry left", endpoints: 3, attempts: 2, pauses: 1, pause: pause, wantSent: 1, wantEnd: pause, prepare: func(p *fakePlatform) { p.retriesAllowed = false }},
		{name: "all slots in use", endpoints: 3, attempts: 2, pauses: 1, pause: pause, wantSent: 1, wantEnd: pause, prepare: occupy},
		{name: "a slot becomes free", endpoints: 3, attempts: 2, pauses: 1, pause: pause, wantSent: 2, wantEnd: 3 * time.Second, prepare: func(p *fakePlatform) {
			_, end := p.forwarder.tracker.requestStarted("p", "e1", 0)
			for range 7 {
				p.forwarder.tracker.requestStarted("p", "e1", 0)
			}
			p.changeView(func(v *endpoints.View) { v.ByPool["p"] = v.ByPool["p"][:2] })
			time.AfterFunc(2800*time.Millisecond, end)
		}},
		{name: "the others are ejected", endpoints: 3, attempts: 2, pauses: 1, pause: pause, wantSent: 1, wantEnd: pause, prepare: func(p *fakePlatform) {
			for range 3 {
				for _, id := range []core.InstanceID{"e1", "e2"} {
					p.forwarder.tracker.observe("p", id, health.Sample{}, false)
				}
			}
			time.AfterFunc(time.Second, func() {
				for _, id := range []core.InstanceID{"e1", "e2"} {
					p.forwarder.tracker.observe("p", id, health.Sample{}, false)
				}
			})
		}},
		{name: "the limits of the others are reached", endpoints: 3, attempts: 2, pauses: 1, pause: pause, wantSent: 1, wantEnd: pause, prepare: func(p *fakePlatform) {
			p.limits = map[core.InstanceID]*fakeLimit{"e1": {perSecond: 1, wait: time.Second}, "e2": {perSecond: 1, wait: time.Second}}
		}},
		{name: "the daemon is about to end", endpoints: 3, attempts: 2, pauses: 1, pause: 2 * time.Second, wantSent: 1, wantEnd: 2 * time.Second, prepare: func(p *fakePlatform) {
			p.stopsAt = time.Now().Add(2500 * time.Millisecond)
		}},
		{name: "no retry left at endpoints with limits", endpoints: 3, attempts: 2, pauses: 1, pause: pause, wantSent: 1, wantEnd: pause, wantAsked: 2, prepare: func(p *fakePlatform) {
			p.retriesAllowed = false
			p.limits = map[core.InstanceID]*fakeLimit{"e1": {perSecond: 1, permits: 9}, "e2": {perSecond: 1, permits: 9}}
		}},
		{name: "the other endpoint refuses it", endpoints: 2, attempts: 2, pauses: 1, pause: pause, refuse: true, wantSent: 2, wantEnd: pause},
		{name: "the other endpoint refuses it and no retry is left", endpoints: 2, attempts: 2, pauses: 1, pause: pause, refuse: true, lastRetry: true, wantSent: 2, wantEnd: pause},
		{name: "all other endpoints refuse it", endpoints: 6, attempts: 2, pauses: 1, pause: pause, refuse: true, wantSent: 4, wantEnd: pause},
		{name: "the other endpoint leaves meanwhile", endpoints: 2, attempts: 2, pauses: 1, pause: pause, wantSent: 2, wantEnd: minStallTimeout, prepare: func(p *fakePlatform) {
			p.checked = func() {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.changeView(func(v *endpoints.View) { v.ByPool["p"] = v.ByPool["p"][:1] })
			}
		}},
		{name: "a part of the prompt is quarantined", endpoints: 3, attempts: 2, pauses: 1, pause: pause, wantSent: 1, wantEnd: pause, prepare: quarantinePart},
		{name: "silent for good", endpoints: 1, attempts: 2, pauses: 1, pause: time.Hour, wantSent: 1, wantEnd: limit, wantCut: true},
	} {
		withFakePlatform(t, c.endpoints, func(p *fakePlatform) {
			route := p.snapshot.Match("h", "/resume/1")
			route.Attempts, route.Timeout = c.attempts, limit
			p.respond = func(e core.Endpoint, r *EndpointRequest, n int) endpointBehavior {
				if n == 1 && c.prepare != nil {
					c.prepare(p)
				}
				switch {
				case n > 1 && c.refuse && string(e.ID) != p.sentTo[0]:
					p.retriesAllowed = !c.lastRetry
					return endpointBehavior{status: 503, notStarted: true}
				case n <= c.pauses && r.LastEventID == "":
					return endpointBehavior{body: first, pause: c.pause, rest: rest}
				case n <= c.pauses:
					return endpointBehavior{pause: c.pause, rest: rest}
				}
				return endpointBehavior{body: rest}
			}
			began := time.Now()
			got := p.serve(context.Background(), "resume", func(r *Request) { r.Timeout, r.Prompt = limit, sharedPrompt })
			want := first + rest
			if c.wantCut {
				want = first
			}
			took := time.Since(began)
			if got.cut != c.wantCut || got.body != want || len(p.sentTo) != c.wantSent || took < c.wantEnd || took > c.wantEnd+100*time.Millisecond {
				t.Errorf("%s: %q after %v, cut %v (%v), sent to %v; want %d sends and the end after %v", c.name, got.body, took, got.cut, got.err, p.sentTo, c.wantSent, c.wantEnd)
			}
			asked := 0
			for _, l := range p.limits {
				asked += l.asked
			}
			if c.wantAsked > 0 && asked != c.wantAsked {
				t.Errorf("%s: asked for %d permits, want %d", c.name, asked, c.wantAsked)
			}
		})
	}
}
