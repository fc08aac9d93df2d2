package graceful

import (
	"crypto/tls"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// lastReadTime bounds the last read of a connection whose descriptor cannot be read without
// waiting, before it is closed as idle.
const lastReadTime = 5 * time.Millisecond

// Conn is a connection that can be closed unless a request has arrived on it. The read in
// progress decides that, so that no request is lost that the process has read.
type Conn struct {
	net.Conn
	set        *connSet
	acceptedAt time.Time

	mu sync.Mutex
	// busy is set from the first byte of a request until it is answered.
	busy bool
	// closing is set on a connection that is closed unless a request has arrived.
	closing bool
	// reopened is set once such a connection stays open, until a read in progress has seen it.
	reopened bool
	answered bool
}

// Read implements net.Conn. On a connection that is being closed it returns what has
// arrived, or os.ErrDeadlineExceeded, upon which the server closes the connection without
// a response.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		n, err := 0, error(nil)
		if !c.isClosing() {
			n, err = c.Conn.Read(b)
		}
		if n == 0 && c.isClosing() {
			n, err = c.readArrived(b)
		}
		if n > 0 {
			c.markBusy()
		}
		if n > 0 || !c.takeReopened() {
			return n, err
		}
	}
}

func (c *Conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

func (c *Conn) markBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	if c.closing {
		c.closing, c.reopened = false, true
		// If this fails, the next read does too.
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// takeReopened reports whether a read may have failed only because the connection was being
// closed, which it no longer is.
func (c *Conn) takeReopened() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	reopened := c.reopened
	c.reopened = false
	return reopened
}

// readArrived reads what has arrived without waiting for more.
func (c *Conn) readArrived(b []byte) (int, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		if err := c.Conn.SetReadDeadline(time.Now().Add(lastReadTime)); err != nil {
			return 0, err
		}
		return c.Conn.Read(b)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	n := 0
	// The descriptor is in non-blocking mode.
	err = raw.Control(func(fd uintptr) { n, _ = syscall.Read(int(fd), b) })
	if err != nil || n <= 0 {
		return 0, os.ErrDeadlineExceeded
	}
	return n, nil
}

// CloseIfIdle makes the server close the connection, unless a request has arrived on it. It
// returns false if one has, or if the connection is being closed already.
func (c *Conn) CloseIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.closing {
		return false
	}
	c.closing = true
	// On a connection that is broken the read ends as well.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// requestEnded records that the server waits for the next request.
func (c *Conn) requestEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.answered, c.closing = false, true, c.set.stopping.Load()
}

// isNew says whether the connection has carried no request yet and was accepted less than
// newConnTime ago.
func (c *Conn) isNew() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.answered && time.Since(c.acceptedAt) < newConnTime
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.set.remove(c)
	return c.Conn.Close()
}

// CloseWrite closes the sending side, which net/http does after some refusals.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// SetLinger sets how Close treats data that is not sent yet.
func (c *Conn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return conn.SetLinger(seconds)
	}
	return nil
}

// NetConn returns the connection below c, as the method of tls.Conn does.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// tlsConn is a Conn over TLS. net/http takes the state for the requests from it.
type tlsConn struct{ *Conn }

func (c tlsConn) ConnectionState() tls.ConnectionState {
	return c.Conn.Conn.(*tls.Conn).ConnectionState()
}

// NetConn returns the Conn.
func (c tlsConn) NetConn() net.Conn { return c.Conn }

// connSet holds the open connections of a server.
type connSet struct {
	stopping *atomic.Bool
	mu       sync.Mutex
	conns    map[*Conn]struct{}
}

func (s *connSet) add(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, set: s, acceptedAt: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c
}

func (s *connSet) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *connSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// closeIdle closes the connections that wait for a request, except new ones.
func (s *connSet) closeIdle() {
	s.mu.Lock()
	var idle []*Conn
	for c := range s.conns {
		if !c.isNew() {
			idle = append(idle, c)
		}
	}
	s.mu.Unlock()
	for _, c := range idle {
		c.CloseIfIdle()
	}
}
