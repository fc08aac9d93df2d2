package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// lineBufferSize is the number of lines buffered for a slow log reader; when
	// the buffer is full, lines are dropped and counted.
	lineBufferSize   = 4096
	linePollInterval = 20 * time.Millisecond
)

// NewLineWriter returns a writer to w that never blocks its callers: lines are
// buffered up to a bound, lines beyond it are dropped, and the number of dropped
// lines is written to w as a log_lines_lost line.
func NewLineWriter(w io.Writer) io.WriteCloser {
	return diode.NewWriter(w, lineBufferSize, linePollInterval, func(missed int) {
		fmt.Fprintf(w, "time=%s level=warn event=log_lines_lost lines=%d\n", time.Now().UTC().Format(time.RFC3339Nano), missed)
	})
}
