package forward

import (
	"context"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

// Guards against a caller of HTTP/1.0 that takes a stream for complete because the process is
// killed before it could reset the connection: the signal to stop was noticed late.
func TestAnAnswerThatEndsWithItsConnectionEndsBeforeTheStop(t *testing.T) {
	const first, rest = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	const stop, long = 3 * time.Second, 5 * time.Second
	for _, endsWithConnection := range []bool{true, false} {
		withFakePlatform(t, 1, func(p *fakePlatform) {
			p.snapshot.Match("h", "/stream/1").Timeout = 2 * long
			p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
				return endpointBehavior{body: first, pause: long, rest: rest}
			}
			p.stopsAt = time.Now().Add(stop)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go p.forwarder.GiveUpWaiting(ctx)
			began := time.Now()
			got := p.serve(context.Background(), "stream", func(r *Request) { r.Timeout, r.EndsWithConnection = 2*long, endsWithConnection })
			if took := time.Since(began); got.cut != endsWithConnection || took < long != endsWithConnection || got.cut && took > stop-200*time.Millisecond {
				t.Errorf("ends with its connection %v: cut %v after %v (%v)", endsWithConnection, got.cut, took, got.err)
			}
		})
	}
}
