package forward

import (
	"context"
	"io"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassgrade/internal/decide/catalog"
)

// Guards against a stream that is taken to be stalled when the process wakes from
// a pause: the timer is over before what came in the pause is read.
func TestAPauseIsNoStall(t *testing.T) {
	for _, pause := range []time.Duration{0, 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			var jump time.Duration
			s := &stream{f: &Forwarder{now: func() time.Time { return time.Now().Add(jump) }}, x: &exchange{route: &catalog.Route{}}, last: "1"}
			chunks := make(chan chunk, 1)
			time.AfterFunc(time.Second, func() { jump = pause })
			time.AfterFunc(stallBase+pauseGrace/2, func() { chunks <- chunk{data: []byte("x")} })
			if c, ok := s.next(context.Background(), chunks, true); ok != (pause > 0) {
				t.Errorf("after a pause of %v: chunk %q, %t", pause, c.data, ok)
			}
		})
	}
}

// silentBody gives an event and then nothing until its request has ended.
type silentBody struct {
	ctx  context.Context
	sent bool
}

func (b *silentBody) Read(p []byte) (int, error) {
	if !b.sent {
		b.sent = true
		return copy(p, "id: 1\ndata: x\n\n"), nil
	}
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

// Guards against a stream that waits for ever for an endpoint which went silent,
// although the request's time is over: the caller was held until it left, and the
// endpoint's place stayed taken.
func TestASilentStreamEndsWithItsTime(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			began := time.Now()
			s := &stream{f: &Forwarder{now: time.Now}, x: &exchange{req: &Request{Arrived: began}, route: &catalog.Route{Stream: true}},
				w: httptest.NewRecorder(), first: func() {}}
			err := s.pass(ctx, &Answer{Status: 200, Body: io.NopCloser(&silentBody{ctx: ctx})})
			if took := time.Since(began); err == nil || took != time.Second {
				t.Errorf("ended after %v with %v", took, err)
			}
		})
	}
}
