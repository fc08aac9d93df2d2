package forward

import (
	"context"
	"strings"
	"testing"

	"eelgrassgrade/internal/core"
)

// Guards against an answer of an endpoint that crashed in the middle of it and looks
// complete to the caller: the operating system closes the connections of a process that
// ends, so that an answer without length or chunks ends in order, at the end of an event
// too. That the endpoint has ended although it is still listed shows the crash.
func TestACloseByACrashedEndpointEndsNoAnswer(t *testing.T) {
	const event, rest = "id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"
	long := strings.Repeat("x", maxBufferedAnswerBytes+1)
	for _, c := range []struct {
		name, route, body string
		framing           Framing
		reach             Reachability
		// unlisted removes the endpoint from the list while it answers.
		unlisted bool
		wantBody string
		wantErr  bool
	}{
		{"stream", "stream", event, FramedByClose, Refusing, false, event, true},
		{"resumable stream", "resume", event, FramedByClose, Refusing, false, event + rest, false},
		{"whole answer", "once", "half", FramedByClose, Refusing, false, "", true},
		{"whole answer that may be repeated", "safe", "half", FramedByClose, Refusing, false, rest, false},
		{"long answer", "once", long, FramedByClose, Refusing, false, long, true},
		{"stream, the endpoint still runs", "stream", event, FramedByClose, Reachable, false, event, false},
		{"stream, the endpoint cannot be reached", "stream", event, FramedByClose, Unreachable, false, event, false},
		{"stream, the endpoint has left", "stream", event, FramedByClose, Refusing, true, event, false},
		{"whole answer, the endpoint still runs", "once", "whole", FramedByClose, Reachable, false, "whole", false},
		{"whole answer, the endpoint has left", "once", "whole", FramedByClose, Refusing, true, "whole", false},
		{"stream in chunks", "stream", event, FramedByChunks, Refusing, false, event, false},
		{"whole answer with a length", "once", "whole", FramedByLength, Refusing, false, "whole", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFakePlatform(t, 3, func(p *fakePlatform) {
				p.reach = &c.reach
				p.respond = func(e core.Endpoint, _ *EndpointRequest, n int) endpointBehavior {
					if c.unlisted {
						delete(p.view.ByID, e.ID)
					}
					if n == 1 {
						return endpointBehavior{body: c.body, length: -1, framing: c.framing}
					}
					return endpointBehavior{body: rest}
				}
				got := p.serve(context.Background(), c.route, nil)
				if got.body != c.wantBody || (got.err != nil) != c.wantErr || got.cut != (c.wantErr && c.wantBody != "") {
					t.Errorf("the caller got %d bytes %.40q, cut %v, error %v; want %.40q, error %v", len(got.body), got.body, got.cut, got.err, c.wantBody, c.wantErr)
				}
				if got.err != nil && got.err.Ran == core.RanNot {
					t.Error("the request is reported as not run")
				}
			})
		})
	}
}
