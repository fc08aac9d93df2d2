package forward

import (
	"io"
	"runtime"
)

// fairReader reads an endpoint's answer and lets other requests run before each read. A
// goroutine whose reads and writes never block otherwise keeps its processor for the
// scheduler's whole time slice of 10 ms, and others wait as often as there are such answers.
type fairReader struct{ io.Reader }

// Read implements io.Reader.
func (r fairReader) Read(b []byte) (int, error) {
	runtime.Gosched()
	return r.Reader.Read(b)
}
