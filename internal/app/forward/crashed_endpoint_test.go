package forward

import (
	"context"
	"strings"
	"testing"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/core"
)

// Guards against an answer of an endpoint that ended in the middle of it and looks complete
// to the caller: the operating system closes the connections of a process that ends, so that
// an answer without length or chunks ends in order, at the end of an event too. Only an
// endpoint whose run goes on has ended such an answer, whether it is leaving or not; one
// that leaves may be killed meanwhile.
func TestACloseByACrashedEndpointEndsNoAnswer(t *testing.T) {
	const event, half, rest = "id: 1\ndata: x\n\n", "id: 1\ndata: x", "id: 2\ndata: y\n\n"
	long := strings.Repeat("x", maxBufferedAnswerBytes+1)
	sound := func(*fakePlatform, core.InstanceID) {}
	left := func(p *fakePlatform, id core.InstanceID) {
		p.changeView(func(v *endpoints.View) { delete(v.ByID, id) })
	}
	startedAgain := func(p *fakePlatform, id core.InstanceID) {
		p.startAgain(id, p.view.ByID[id].StartedMs+1)
	}
	addressReused := func(p *fakePlatform, id core.InstanceID) {
		p.changeView(func(v *endpoints.View) {
			e := v.ByID[id]
			delete(v.ByID, id)
			e.ID = "other"
			v.ByID[e.ID] = e
		})
	}
	for _, c := range []struct {
		name, route, body string
		framing           Framing
		reach             Reachability
		// change is what the list says of the endpoint after it got the request.
		change   func(*fakePlatform, core.InstanceID)
		wantBody string
		wantErr  bool
	}{
		{"stream", "stream", event, FramedByClose, Refusing, sound, event, true},
		{"resumable stream", "resume", event, FramedByClose, Refusing, sound, event + rest, false},
		{"whole answer", "once", "half", FramedByClose, Refusing, sound, "", true},
		{"whole answer that may be repeated", "safe", "half", FramedByClose, Refusing, sound, rest, false},
		{"long answer", "once", long, FramedByClose, Refusing, sound, long, true},
		{"stream, the endpoint still runs", "stream", event, FramedByClose, Reachable, sound, event, false},
		{"half an event, the endpoint still runs", "stream", half, FramedByClose, Reachable, sound, half, true},
		{"stream, the endpoint cannot be reached", "stream", event, FramedByClose, Unreachable, sound, event, false},
		{"stream, the endpoint leaves and still runs", "stream", event, FramedByClose, Reachable, left, event, false},
		{"half an event, the endpoint leaves and still runs", "stream", half, FramedByClose, Reachable, left, half, true},
		{"stream, the endpoint has left", "stream", event, FramedByClose, Refusing, left, event, true},
		{"resumable stream, the endpoint has left", "resume", event, FramedByClose, Refusing, left, event + rest, false},
		{"long answer, the endpoint has left", "once", long, FramedByClose, Refusing, left, long, true},
		{"whole answer, the endpoint still runs", "once", "whole", FramedByClose, Reachable, sound, "whole", false},
		{"whole answer, the endpoint leaves and still runs", "once", "whole", FramedByClose, Reachable, left, "whole", false},
		{"whole answer, the endpoint has left", "once", "half", FramedByClose, Refusing, left, "", true},
		{"whole answer that may be repeated, the endpoint has left", "safe", "half", FramedByClose, Refusing, left, rest, false},
		{"stream, the endpoint has started again", "stream", event, FramedByClose, Reachable, startedAgain, event, true},
		{"whole answer, the endpoint has started again", "once", "half", FramedByClose, Reachable, startedAgain, "", true},
		{"stream, the address has another endpoint", "stream", event, FramedByClose, Reachable, addressReused, event, true},
		{"stream in chunks", "stream", event, FramedByChunks, Refusing, left, event, false},
		{"whole answer with a length", "once", "whole", FramedByLength, Refusing, startedAgain, "whole", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFakePlatform(t, 3, func(p *fakePlatform) {
				p.reach = &c.reach
				p.respond = func(e core.Endpoint, _ *EndpointRequest, n int) endpointBehavior {
					if n == 1 {
						c.change(p, e.ID)
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
