package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"eelgrassgrade/internal/app/forward"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
)

func outcome(id string, err *core.Error) *forward.Outcome {
	return &forward.Outcome{Request: &forward.Request{ID: core.RequestID(id)}, Route: &catalog.Route{Name: "r"}, Account: "a", Err: err, FirstByte: time.Millisecond}
}

// Guards against a log that grows with the load without bound, and against lines
// of failures that are left out with the others.
func TestLinesOfRequestsAreBounded(t *testing.T) {
	var b bytes.Buffer
	h := NewHosted(NewLogger(&b), metrics.NewSet(), 10)
	count := func(n int) int {
		b.Reset()
		for i := range n {
			h.RequestEnded(outcome(fmt.Sprint("id", i), nil))
		}
		return strings.Count(b.String(), "event=request_ended")
	}
	count(1000) // teaches the rate
	h.second.Store(0)
	if n := count(1000); n > 60 {
		t.Errorf("%d of 1000 lines written where 10 a second are allowed", n)
	}
	b.Reset()
	for i := range 50 {
		h.RequestEnded(outcome(fmt.Sprint("id", i), &core.Error{Kind: core.Upstream, Step: "send"}))
	}
	if n := strings.Count(b.String(), "outcome=upstream"); n != 50 {
		t.Errorf("%d of 50 failures written", n)
	}
	h.second.Store(0)
	b.Reset()
	h.RequestEnded(outcome("last", nil))
	if !strings.Contains(b.String(), "event=log_lines_dropped") {
		t.Error("dropped lines are not told")
	}
}

// Guards against lines of one request of which some are written and others not.
func TestTheLinesOfARequestStayTogether(t *testing.T) {
	h := NewHosted(NewLogger(io.Discard), metrics.NewSet(), 10)
	h.keep.Store(100)
	h.second.Store(time.Now().Unix())
	for i := range 200 {
		id := core.RequestID(fmt.Sprint("id", i))
		first := h.sampled(id)
		h.second.Store(time.Now().Unix())
		h.keep.Store(100)
		if h.sampled(id) != first {
			t.Errorf("request %s: one line is written and one is not", id)
		}
	}
}

// blocked is a reader of the log that has stopped reading.
type blocked struct{ release chan struct{} }

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against requests that wait for a log nobody reads.
func TestALogThatIsNotReadBlocksNobody(t *testing.T) {
	b := &blocked{make(chan struct{})}
	w := NewLineWriter(b)
	log := NewLogger(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * lineBuffer {
			log.Info().Msg("event")
		}
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Error("writing lines blocks")
	}
	close(b.release)
	w.Close()
}
