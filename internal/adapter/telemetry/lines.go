package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// lineBufferSize is the number of lines buffered for a slow log reader; when
	// the buffer is full, lines are dropped and counted.
	lineBufferSize   = 4096
	linePollInterval = 20 * time.Millisecond
	// closeTimeout bounds the time in which buffered lines are written at the end of the
	// process. A reader that has stopped must not keep the process alive.
	closeTimeout      = 500 * time.Millisecond
	closePollInterval = 5 * time.Millisecond
)

// lineWriter writes buffered lines to w in the background.
type lineWriter struct {
	w      io.Writer
	buffer diode.Writer
	// accepted counts the lines that were written to the buffer, finished those that have
	// left it: written to w or dropped.
	accepted, finished atomic.Int64
}

// NewLineWriter returns a writer to w that never blocks its callers: lines are
// buffered up to a bound, lines beyond it are dropped, and the number of dropped
// lines is written to w as a log_lines_lost line. Close writes what is buffered, within
// closeTimeout, and leaves w open. Lines that were written within linePollInterval are lost
// if the process ends without Close.
func NewLineWriter(w io.Writer) io.WriteCloser {
	l := &lineWriter{w: w}
	l.buffer = diode.NewWriter(lineSink{l}, lineBufferSize, linePollInterval, func(missed int) {
		l.finished.Add(int64(missed))
		fmt.Fprintf(w, "time=%s level=warn event=log_lines_lost lines=%d\n", time.Now().UTC().Format(time.RFC3339Nano), missed)
	})
	return l
}

// Write implements io.Writer.
func (l *lineWriter) Write(p []byte) (int, error) {
	n, err := l.buffer.Write(p)
	l.accepted.Add(1)
	return n, err
}

// Close implements io.Closer. The buffer itself ends at the first gap, which a writer leaves
// that was interrupted within Write, so the lines behind it are waited for here.
func (l *lineWriter) Close() error {
	end := time.Now().Add(closeTimeout)
	for l.finished.Load() < l.accepted.Load() && time.Now().Before(end) {
		time.Sleep(closePollInterval)
	}
	closed := make(chan error, 1)
	go func() { closed <- l.buffer.Close() }()
	select {
	case err := <-closed:
		return err
	case <-time.After(max(time.Until(end), linePollInterval)):
		return fmt.Errorf("%d lines of the log were not written within %v", l.accepted.Load()-l.finished.Load(), closeTimeout)
	}
}

// lineSink passes lines from the buffer on.
type lineSink struct{ l *lineWriter }

// Write implements io.Writer.
func (s lineSink) Write(p []byte) (int, error) {
	defer s.l.finished.Add(1)
	return s.l.w.Write(p)
}
