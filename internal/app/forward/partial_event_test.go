package forward

import (
	"context"
	"testing"

	"eelgrassgrade/internal/core"
)

// Guards against a stream that ends with its connection in the middle of an event and
// looks complete to the caller: such a stream has been broken off. It goes on elsewhere if
// it may be resumed, otherwise the caller's connection is cut.
func TestAStreamThatEndsWithinAnEventIsBrokenOff(t *testing.T) {
	const first, second = "id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"
	for _, c := range []struct {
		name, route, body string
		wantBody          string
		wantCut           bool
	}{
		{"within the data", "stream", first + "id: 2\nda", first + "id: 2\nda", true},
		{"before the blank line", "stream", first + "id: 2\ndata: y\n", first + "id: 2\ndata: y\n", true},
		{"within the first event", "stream", "id: 1\nda", "id: 1\nda", true},
		{"after an event", "stream", first, first, false},
		{"after an event with carriage returns", "stream", "id: 1\r\ndata: x\r\n\r\n", "id: 1\r\ndata: x\r\n\r\n", false},
		{"without any event", "stream", "", "", false},
		{"resumable, within the data", "resume", first + "id: 2\nda", first + second, false},
		{"resumable, within the first event", "resume", "id: 1\nda", second, false},
		{"resumable, without any event", "resume", "", second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFakePlatform(t, 3, func(p *fakePlatform) {
				p.respond = func(_ core.Endpoint, _ *EndpointRequest, n int) endpointBehavior {
					if n == 1 {
						return endpointBehavior{body: c.body, length: -1}
					}
					return endpointBehavior{body: second, length: -1}
				}
				got := p.serve(context.Background(), c.route, nil)
				// Without any event nothing was sent yet, so the caller gets an error instead.
				wantErr := c.wantCut || c.wantBody == ""
				if got.body != c.wantBody || got.cut != c.wantCut || (got.err != nil) != wantErr {
					t.Errorf("the caller got %q, cut %v, error %v; want %q, cut %v", got.body, got.cut, got.err, c.wantBody, c.wantCut)
				}
			})
		})
	}
}

// Guards against an error for a caller that resumes a stream of which it has got all
// events.
func TestAResumedStreamMayHaveNoEventLeft(t *testing.T) {
	withFakePlatform(t, 1, func(p *fakePlatform) {
		p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior { return endpointBehavior{length: -1} }
		got := p.serve(context.Background(), "resume", func(r *Request) { r.ResumeAfter = "5" })
		if got.err != nil || got.status != 200 || got.body != "" {
			t.Errorf("the caller got %+v", got)
		}
	})
}
