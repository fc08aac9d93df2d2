package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// slowWriter takes a moment for each line.
type slowWriter struct{ bytes.Buffer }

func (s *slowWriter) Write(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return s.Buffer.Write(p)
}

// Guards against lines that were written just before the end of the process and are lost.
func TestTheLastLinesAreWrittenBeforeTheEnd(t *testing.T) {
	var out slowWriter
	w := NewLineWriter(&out)
	log := NewLogger(w)
	for i := range 100 {
		log.Info().Int("line", i).Msg("event")
	}
	if err := w.Close(); err != nil {
		t.Error(err)
	}
	if n := strings.Count(out.String(), "event=event"); n != 100 {
		t.Errorf("%d of 100 lines written", n)
	}
}

// Guards against a process that does not end because nobody reads its log.
func TestAnUnreadLogDoesNotKeepTheProcessAlive(t *testing.T) {
	blocked := &blockedWriter{make(chan struct{})}
	w := NewLineWriter(blocked)
	fmt.Fprintln(w, "line")
	began := time.Now()
	err := w.Close()
	if took := time.Since(began); err == nil || took > 10*closeTimeout {
		t.Errorf("Close took %v and returned %v", took, err)
	}
	close(blocked.release)
}
