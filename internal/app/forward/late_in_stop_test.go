package forward

import (
	"cmp"
	"context"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

// Guards against requests that are sent to an endpoint late in a stop and cut at its end,
// since their estimate is missing, old or hides the rare long answers; and against those that
// are held until the end although it is certain before that they cannot be served. A stop of
// 7.7 s began before the request was read.
func TestRequestsLateInAStop(t *testing.T) {
	const limit, stop = 10 * time.Second, 7700 * time.Millisecond
	quick := func(n int) (times []time.Duration) {
		for range n {
			times = append(times, 300*time.Millisecond)
		}
		return times
	}
	for _, c := range []struct {
		name, route string
		// since is how long the stop has lasted when the request has been read, reading how
		// long that took.
		since, reading time.Duration
		// measured are earlier answers, the latest of which ended measuredAgo before.
		measured             []time.Duration
		measuredAgo, timeout time.Duration
		stageTime            time.Duration
		answers              []endpointBehavior
		// want is the status, and wantAt the time since the stop began.
		want, wantSent int
		wantAt         time.Duration
	}{
		{name: "no estimate, early", route: "stream", since: time.Second, want: 200, wantSent: 1, wantAt: time.Second},
		{name: "no estimate, late", route: "stream", since: 4 * time.Second, want: 503, wantAt: 4 * time.Second},
		{name: "no estimate, a body that took long to read", route: "stream", since: 4 * time.Second, reading: 3500 * time.Millisecond, want: 503, wantAt: 4 * time.Second},
		{name: "no estimate, ends by its own time", route: "stream", since: 4 * time.Second, timeout: 3 * time.Second, want: 200, wantSent: 1, wantAt: 4 * time.Second},
		{name: "recent estimate", route: "stream", since: 4 * time.Second, measured: quick(20), want: 200, wantSent: 1, wantAt: 4 * time.Second},
		{name: "old estimate", route: "stream", since: 4 * time.Second, measured: quick(20), measuredAgo: 5 * time.Second, want: 503, wantAt: 4 * time.Second},
		{name: "one long answer among quick ones", route: "stream", since: 4 * time.Second, measured: append(quick(20), 3*time.Second), want: 503, wantAt: 4 * time.Second},
		{name: "no stream, may run once", route: "once", since: 4 * time.Second, want: 503, wantAt: 4 * time.Second},
		{name: "no stream, may run again", route: "safe", since: 4 * time.Second, want: 503, wantAt: 4 * time.Second},
		{name: "waits for stages", route: "staged", since: 2 * time.Second, stageTime: 2 * time.Second, want: 503, wantAt: 3 * time.Second},
		{name: "stages would run again", route: "staged", since: 2700 * time.Millisecond, stageTime: 100 * time.Millisecond, answers: []endpointBehavior{{delay: 200 * time.Millisecond, status: 409, notStarted: true, inputsGone: true}}, want: 503, wantSent: 1, wantAt: 3100 * time.Millisecond},
		{name: "stream without an event", route: "stream", since: time.Second, answers: []endpointBehavior{{delay: time.Minute}}, want: 502, wantSent: 1, wantAt: stop - 500*time.Millisecond},
		{name: "no answer, may run once", route: "once", since: time.Second, answers: []endpointBehavior{{delay: time.Minute}}, want: 502, wantSent: 1, wantAt: stop - 250*time.Millisecond},
		{name: "no answer, may run again", route: "safe", since: time.Second, answers: []endpointBehavior{{delay: time.Minute}}, want: 502, wantSent: 1, wantAt: stop - 250*time.Millisecond},
		{name: "stream that goes on until the end", route: "stream", since: time.Second, answers: []endpointBehavior{{body: "id: 1\ndata: x\n\n", endDelay: stop - time.Second - 50*time.Millisecond}}, want: 200, wantSent: 1, wantAt: stop - 50*time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFakePlatform(t, 1, func(p *fakePlatform) {
				timeout := cmp.Or(c.timeout, limit)
				p.snapshot.Match("h", "/"+c.route+"/1").Timeout = timeout
				for _, d := range c.measured {
					p.forwarder.stopStates.ended(c.route, time.Now(), d)
					p.forwarder.latencies.observeStreamDuration(c.route, d)
				}
				time.Sleep(c.measuredAgo + time.Second)
				p.stopBegan = time.Now().Add(-c.since)
				p.stopsAt, p.stageTime = p.stopBegan.Add(stop), c.stageTime
				p.respond = func(_ core.Endpoint, _ *EndpointRequest, n int) endpointBehavior {
					if n <= len(c.answers) {
						return c.answers[n-1]
					}
					return endpointBehavior{body: "id: 1\ndata: x\n\n"}
				}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go p.forwarder.GiveUpWaiting(ctx)
				got := p.serve(context.Background(), c.route, func(r *Request) {
					onePiecePerStage(r)
					r.Timeout, r.Arrived = timeout, time.Now().Add(-c.reading)
				})
				status, ran := got.status, core.RanNot
				if got.err != nil {
					status, ran = 502, got.err.Ran
					if got.err.Kind == core.Unavailable && ran == core.RanNot && got.err.RetryAfter > 0 {
						status = 503
					}
				}
				at := time.Since(p.stopBegan)
				if status != c.want || got.cut || len(p.sentTo) != c.wantSent || at < c.wantAt || at > c.wantAt+2*giveUpInterval {
					t.Errorf("status %d (%v), cut %v, %d sends, %v after the stop began; want %d, %d sends, %v", status, got.err, got.cut, len(p.sentTo), at, c.want, c.wantSent, c.wantAt)
				}
			})
		})
	}
}
