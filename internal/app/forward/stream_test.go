package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
)

// Guards against taking a stream for stalled when the process resumes after a pause: the
// timer fires before the data that arrived during the pause is read.
func TestProcessPauseIsNotAStall(t *testing.T) {
	for _, processPause := range []time.Duration{0, 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			var clockJump atomic.Int64
			s := &streamRelay{forwarder: &Forwarder{now: func() time.Time { return time.Now().Add(time.Duration(clockJump.Load())) }}, state: &requestState{route: &catalog.Route{}}, lastEventID: "1", mayMove: func(context.Context) bool { return true }, startNext: func() *attempt { return &attempt{} }}
			chunks := make(chan chunk, 1)
			time.AfterFunc(time.Second, func() { clockJump.Store(int64(processPause)) })
			time.AfterFunc(minStallTimeout+processPauseGrace/2, func() { chunks <- chunk{data: []byte("x")} })
			if c, ok := s.nextChunk(context.Background(), chunks, true, time.Now()); ok != (processPause > 0) {
				t.Errorf("after a pause of %v: chunk %q, %t", processPause, c.data, ok)
			}
		})
	}
}

// silentBody returns one event and then blocks until ctx ends.
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

// Guards against waiting for a silent endpoint beyond the request's deadline. The caller
// would be kept until it leaves, and the endpoint's slot would stay occupied.
func TestSilentStreamEndsAtDeadline(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			began := time.Now()
			s := &streamRelay{forwarder: &Forwarder{now: time.Now}, state: &requestState{req: &Request{Arrived: began}, route: &catalog.Route{Stream: true}},
				w: httptest.NewRecorder(), onFirstEvent: func() {}}
			err := s.relay(ctx, &Answer{Status: 200, Body: io.NopCloser(&silentBody{ctx: ctx})})
			if took := time.Since(began); err == nil || took != time.Second {
				t.Errorf("ended after %v with %v", took, err)
			}
		})
	}
}

// slowBody returns its parts one at a time, with an interval between them.
type slowBody struct {
	parts    []string
	interval time.Duration
	sent     int
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.sent == len(b.parts) {
		return 0, io.EOF
	}
	if b.sent > 0 {
		time.Sleep(b.interval)
	}
	b.sent++
	return copy(p, b.parts[b.sent-1]), nil
}

// slowWriter is a caller that takes a second to read each write.
type slowWriter struct{ *httptest.ResponseRecorder }

func (w slowWriter) Write(p []byte) (int, error) {
	time.Sleep(time.Second)
	return w.ResponseRecorder.Write(p)
}

func (w slowWriter) Flush() {}

// relayParts relays a resumable stream that consists of parts to w.
// It may go on at another endpoint if mayMove is true.
func relayParts(ctx context.Context, w http.ResponseWriter, interval time.Duration, parts []string, mayMove bool) *core.Error {
	s := &streamRelay{forwarder: &Forwarder{now: time.Now}, w: w, onFirstEvent: func() {}, mayMove: func(context.Context) bool { return mayMove }, startNext: func() *attempt { return &attempt{} },
		state: &requestState{req: &Request{Arrived: time.Now()}, route: &catalog.Route{Stream: true, Repeat: catalog.Resumable, GapTarget: 250 * time.Millisecond}}}
	return s.relay(ctx, &Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(&slowBody{parts: parts, interval: interval})})
}

// Guards against a stalled stream that never ends because its endpoint occasionally
// sends a byte or a comment: it leaves the endpoint after the stall timeout if another one
// takes it, and else ends with the time of the request.
func TestDataWithoutEventsIsAStall(t *testing.T) {
	const deadline = 6 * time.Second
	for name, part := range map[string]string{"bytes": "d", "comments": ": still here\n\n"} {
		for mayMove, end := range map[bool]time.Duration{true: minStallTimeout, false: deadline} {
			synctest.Test(t, func(t *testing.T) {
				parts := []string{"id: 1\ndata: a\n\n"}
				for range 100 {
					parts = append(parts, part)
				}
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				began := time.Now()
				err := relayParts(ctx, httptest.NewRecorder(), 400*time.Millisecond, parts, mayMove)
				if took := time.Since(began); err == nil || took < end || took > end+400*time.Millisecond {
					t.Errorf("%s without an event, may move %v: %v after %v", name, mayMove, err, took)
				}
				time.Sleep(time.Minute)
			})
		}
	}
}

// Guards against cutting a stream that is slow but works: events that arrive late but
// within the stall timeout, events that arrive in several parts, and events that wait
// for a caller that reads slowly.
func TestSlowStreamsAreNotCut(t *testing.T) {
	var events, halfEvents []string
	want := ""
	for i := range 40 {
		e := fmt.Sprintf("id: %d\ndata: x\n\n", i+1)
		want += e
		events = append(events, e)
		halfEvents = append(halfEvents, e[:7], e[7:])
	}
	for name, c := range map[string]struct {
		interval time.Duration
		parts    []string
		slow     bool
	}{
		"late events": {interval: 1400 * time.Millisecond, parts: events},
		"parts":       {interval: 700 * time.Millisecond, parts: halfEvents},
		"slow caller": {interval: 1400 * time.Millisecond, parts: events, slow: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			rec := httptest.NewRecorder()
			var w http.ResponseWriter = rec
			if c.slow {
				w = slowWriter{rec}
			}
			if err := relayParts(t.Context(), w, c.interval, c.parts, true); err != nil || rec.Body.String() != want {
				t.Errorf("%s: %v after %d bytes of %d", name, err, rec.Body.Len(), len(want))
			}
		})
	}
}

// Guards against an endpoint that goes on with an answer that was given up, and against a
// second connection beside it, while the endpoint is checked.
func TestAnAnswerIsClosedBeforeItsEndpointIsChecked(t *testing.T) {
	for _, route := range []string{"once", "safe", "stream", "resume"} {
		withFakePlatform(t, 2, func(p *fakePlatform) {
			p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
				return endpointBehavior{body: "id: 1\ndata: x\n\n", length: -1, breaksOff: true}
			}
			p.serve(context.Background(), route, nil)
			if p.openAtCheck > 0 || p.openAnswers > 0 {
				t.Errorf("route %s: %d answers were open at checks of their endpoints, %d at the end", route, p.openAtCheck, p.openAnswers)
			}
		})
	}
}
