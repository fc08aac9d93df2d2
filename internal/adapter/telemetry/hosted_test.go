package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"eelgrassgrade/internal/app/forward"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
)

func newOutcome(id string, err *core.Error) *forward.Outcome {
	return &forward.Outcome{Request: &forward.Request{ID: core.RequestID(id)}, Route: &catalog.Route{Name: "r"}, Account: "a", Err: err, FirstByte: time.Millisecond}
}

// Guards against a log volume that grows with the load without bound, and against
// sampling that also drops the lines of failed requests.
func TestRequestLinesAreSampledAboveTheRate(t *testing.T) {
	// The lines of one second decide on those of the next: the clock stands still but for
	// the sleeps of the test.
	synctest.Test(t, func(t *testing.T) {
		var b bytes.Buffer
		h := NewHostedRecorder(NewLogger(&b), metrics.NewSet(), 10)
		count := func(n int) int {
			b.Reset()
			for i := range n {
				h.RequestEnded(newOutcome(fmt.Sprint("id", i), nil))
			}
			return strings.Count(b.String(), "event=request_ended")
		}
		count(1000) // sets the sample share of the next second
		time.Sleep(time.Second)
		if n := count(1000); n > 60 {
			t.Errorf("%d of 1000 lines written where 10 a second are allowed", n)
		}
		b.Reset()
		for i := range 50 {
			h.RequestEnded(newOutcome(fmt.Sprint("id", i), &core.Error{Kind: core.Upstream, Step: "send"}))
		}
		if n := strings.Count(b.String(), "outcome=upstream"); n != 50 {
			t.Errorf("%d of 50 failures written", n)
		}
		time.Sleep(time.Second)
		b.Reset()
		h.RequestEnded(newOutcome("last", nil))
		if !strings.Contains(b.String(), "event=log_lines_dropped") {
			t.Error("no log_lines_dropped line after lines were dropped")
		}
	})
}

// Guards against sampling that keeps only some of the lines of one request.
func TestLinesOfARequestAreSampledTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHostedRecorder(NewLogger(io.Discard), metrics.NewSet(), 10)
		h.currentSecond.Store(time.Now().Unix())
		h.sampleShare.Store(100)
		kept := 0
		for i := range 200 {
			id := core.RequestID(fmt.Sprint("id", i))
			first := h.sampled(id)
			if first {
				kept++
			}
			if h.sampled(id) != first {
				t.Errorf("request %s: one line is written and one is not", id)
			}
		}
		if kept == 0 || kept == 200 {
			t.Errorf("the lines of %d of 200 requests are written, want a sample", kept)
		}
	})
}

// blockedWriter blocks each write until release is closed, like a pipe whose
// reader has stopped reading.
type blockedWriter struct{ release chan struct{} }

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against requests that block because nothing reads the log output.
func TestUnreadLogDoesNotBlockCallers(t *testing.T) {
	b := &blockedWriter{make(chan struct{})}
	w := NewLineWriter(b)
	log := NewLogger(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * lineBufferSize {
			log.Info().Msg("event")
		}
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Error("logging blocks on a writer that is not read")
	}
	close(b.release)
	w.Close()
}
