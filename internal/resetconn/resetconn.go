// Package resetconn makes clients see the reset of a connection. The operating system
// reports a reset to one call only: if that is a write of a request's body, a later read
// returns io.EOF, which ends an HTTP/1 answer without length or chunks as if it were whole.
package resetconn

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// resetReportWait bounds how long a read that saw an orderly end waits for a write in
// progress to return, which may have received a reset instead.
const resetReportWait = 20 * time.Millisecond

// Conn is a client's connection on which a reset is never read as an orderly end.
type Conn struct {
	net.Conn
	// writing is held during a write.
	writing sync.Mutex
	reset   atomic.Bool
}

var _ net.Conn = (*Conn)(nil)

// New returns a connection that remembers the reset of c.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if errors.Is(err, syscall.ECONNRESET) {
		c.reset.Store(true)
	}
	return n, err
}

// Read implements net.Conn. It returns io.ErrUnexpectedEOF at the end of a connection that
// was reset.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF && c.wasReset() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// wasReset reports whether a write received a reset.
func (c *Conn) wasReset() bool {
	const step = time.Millisecond
	for waited := time.Duration(0); !c.reset.Load() && waited < resetReportWait; waited += step {
		if c.writing.TryLock() {
			c.writing.Unlock()
			break
		}
		time.Sleep(step)
	}
	return c.reset.Load()
}
