package forward

import (
	"context"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

// Guards against a stopping daemon that gives up a request which has begun, or may have run,
// because an estimate says that the next try will not end in time: the caller's connection
// is cut, or its answer left unknown, although the next endpoint would have answered.
func TestAStoppingDaemonTriesAgainWhatHasBegun(t *testing.T) {
	const first, rest = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	const usual = 1000 * time.Millisecond
	for _, c := range []struct {
		name, route string
		// left is the time until the daemon ends, from the request on.
		left, stageTime time.Duration
		// answers are those of the endpoints that the request is sent to, in their order.
		answers []endpointBehavior
		want    string
	}{
		{"a stream that breaks off", "resume", 2 * time.Second, 0, []endpointBehavior{
			{body: first, breaksOff: true, breakDelay: time.Second}, {body: rest}}, first + rest},
		{"an endpoint that refuses a stream that has begun", "resume", 2 * time.Second, 0, []endpointBehavior{
			{body: first, breaksOff: true, breakDelay: time.Second}, {status: 503, notStarted: true}, {body: rest}}, first + rest},
		{"a stream without an event yet", "resume", 2 * time.Second, 0, []endpointBehavior{
			{delay: time.Second, err: unknownOutcomeError()}, {body: first}}, first},
		{"an answer that is no stream", "safe", 2 * time.Second, 0, []endpointBehavior{
			{delay: time.Second, err: unknownOutcomeError()}, {body: "whole"}}, "whole"},
		{"a stream whose stages run again", "staged-resume", 3100 * time.Millisecond, 400 * time.Millisecond, []endpointBehavior{
			{body: first, breaksOff: true, breakDelay: 500 * time.Millisecond}, {body: rest}}, first + rest},
		{"a silent stream whose stages would take the time that is left", "staged-resume", 4000 * time.Millisecond, 400 * time.Millisecond, []endpointBehavior{
			{body: first, pause: 2500 * time.Millisecond, rest: rest}}, first + rest},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFakePlatform(t, 4, func(p *fakePlatform) {
				p.snapshot.Match("h", "/"+c.route+"/1").Timeout = 10 * time.Second
				measured := time.Now()
				p.forwarder.latencies.observeStreamDuration(c.route, usual)
				p.forwarder.latencies.observeWholeAnswer(c.route, usual)
				p.respond = func(_ core.Endpoint, _ *EndpointRequest, n int) endpointBehavior {
					return c.answers[min(n, len(c.answers))-1]
				}
				p.stageTime, p.stopsAt = c.stageTime, measured.Add(c.left)
				got := p.serve(context.Background(), c.route, func(r *Request) { onePiecePerStage(r); r.Timeout = 10 * time.Second })
				if got.err != nil || got.cut || got.body != c.want || len(p.sentTo) != len(c.answers) {
					t.Errorf("%q, cut %v, error %v after %d sends", got.body, got.cut, got.err, len(p.sentTo))
				}
			})
		})
	}
}
