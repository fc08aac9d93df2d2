package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// lineBuffer is the number of lines that wait for a slow reader of the log;
	// further ones are dropped and counted.
	lineBuffer = 4096
	linePoll   = 20 * time.Millisecond
)

// NewLineWriter returns a writer that never blocks its callers: lines wait in a
// bounded buffer, and lines that do not fit are dropped and counted in a line of
// their own.
func NewLineWriter(w io.Writer) io.WriteCloser {
	return diode.NewWriter(w, lineBuffer, linePoll, func(missed int) {
		fmt.Fprintf(w, "time=%s level=warn event=log_lines_lost lines=%d\n", time.Now().UTC().Format(time.RFC3339Nano), missed)
	})
}
