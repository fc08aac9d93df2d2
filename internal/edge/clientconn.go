package edge

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"eelgrassgrade/internal/app/holding"
	"eelgrassgrade/internal/decide/clients"
	"eelgrassgrade/internal/graceful"
)

const (
	// freeHeadBytes is the part of a head that is not counted. Longer ones are counted with
	// headWeight bytes for each byte: a parsed head of very short lines takes as much.
	freeHeadBytes = 1 << 10
	headWeight    = 16
	// headSlack is how many bytes after a head may have been read with it.
	headSlack = 4 << 10
	// refusalTime is how long a client that still sends may take to read a refusal.
	refusalTime = 500 * time.Millisecond
	// headTooLarge answers a client whose head is over the limit.
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// clientConn is a connection of a client. The server reports the phases of its requests;
// the connection itself sees when a head begins.
type clientConn struct {
	net.Conn
	set *clientConns
	// full is true if all other connections were in use when it was accepted.
	full bool

	mu       sync.Mutex
	state    clients.Connection
	headSize int
	headHold *holding.Hold
	// overdue is set when a limit has ended the connection's use. A body that is being
	// read is refused, any other connection is closed.
	overdue bool
	closed  bool
	use     connUse
}

// Read implements net.Conn.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.noteRead(err)
	if n == 0 {
		return n, err
	}
	if refusal := c.received(n); refusal != "" {
		if refusal != refusedIdle {
			c.set.refused(refusal)
		}
		if refusal == refusedHeadSize {
			c.refuseHead()
		}
		// The server closes the connection without a response of its own.
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// received records that the client has sent n bytes. It returns the reason if the
// connection is to be closed.
func (c *clientConn) received(n int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.set.clock.now()
	c.state.LastByte = now
	switch c.state.Phase {
	case clients.Idle:
		if c.overdue {
			return refusedIdle
		}
		c.state.Phase, c.state.Since, c.headSize = clients.ReadingHead, now, n
	case clients.ReadingHead:
		c.headSize += n
	default:
		return ""
	}
	return c.checkHead()
}

// checkHead applies the limits of a head that is being read.
func (c *clientConn) checkHead() string {
	if c.headSize > c.set.limits().MaxHeaderBytes+headSlack {
		return refusedHeadSize
	}
	if c.headSize <= freeHeadBytes || c.set.memory == nil {
		return ""
	}
	weight := int64(c.headSize-freeHeadBytes) * headWeight
	if c.headHold == nil {
		hold, d := c.set.memory.Take(clients.Ask{Kind: clients.Head, Bytes: weight})
		if !d.Allowed {
			return refusedHeadRoom
		}
		c.headHold = hold
		return ""
	}
	if d := c.headHold.Resize(weight); !d.Allowed {
		return refusedHeadRoom
	}
	return ""
}

// refuseHead answers a head that is too large and gives the client some time to read the
// answer: closing a connection with unread bytes resets it.
func (c *clientConn) refuseHead() {
	deadline := time.Now().Add(refusalTime)
	if c.Conn.SetDeadline(deadline) != nil {
		return
	}
	if _, err := io.WriteString(c.Conn, headTooLarge); err != nil || c.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, maxHeaderBytes)
}

// Write implements net.Conn.
func (c *clientConn) Write(b []byte) (int, error) {
	c.setWriting(c.set.clock.now())
	defer c.setWriting(0)
	n, err := c.Conn.Write(b)
	c.noteWrite(err)
	return n, err
}

func (c *clientConn) setWriting(since time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Writing = since
}

// CloseWrite closes the sending side, which net/http does after a refusal.
func (c *clientConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// SetLinger sets how Close treats data that is not sent yet.
func (c *clientConn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return conn.SetLinger(seconds)
	}
	return nil
}

// NetConn returns the connection below c, as the method of tls.Conn does.
func (c *clientConn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.mu.Lock()
	first, hold := !c.closed, c.headHold
	c.closed, c.headHold = true, nil
	closing := c.describeClose()
	c.mu.Unlock()
	if first {
		hold.Release()
		c.set.remove(c)
		c.set.reportClose(closing)
	}
	return c.Conn.Close()
}

// Full implements platform.Connection.
func (c *clientConn) Full() bool { return c.full }

// BodyRead implements platform.Connection. From now on the client waits for its answer.
// It returns false if the body took too long.
func (c *clientConn) BodyRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.overdue {
		return false
	}
	c.state.Phase, c.state.Since = clients.Serving, c.set.clock.now()
	return true
}

// serverState is the hook that the server calls when a request's head was read and when
// its answer is complete.
func (c *clientConn) serverState(s http.ConnState) {
	phase := clients.ReadingBody
	switch s {
	case http.StateActive:
	case http.StateIdle:
		phase = clients.Idle
	default:
		return
	}
	c.mu.Lock()
	now := c.set.clock.now()
	c.state.Phase, c.state.Since, c.state.LastByte = phase, now, now
	if phase == clients.Idle {
		c.use.request = nil
	}
	hold := c.headHold
	c.headHold = nil
	c.mu.Unlock()
	hold.Release()
}

// end ends the use of the connection if the reason still holds, and reports whether it
// does so. A connection that waits for a request is closed unless one has arrived. A client
// that sends a body gets a refusal, since its request certainly did not run.
func (c *clientConn) end(overdue func(clients.Connection) bool) bool {
	c.mu.Lock()
	if c.overdue || c.closed || !overdue(c.state) {
		c.mu.Unlock()
		return false
	}
	if conn := graceful.FromConn(c.Conn); conn != nil && c.state.Phase == clients.Idle {
		c.mu.Unlock()
		return conn.CloseIfIdle()
	}
	c.overdue = true
	reading := c.state.Phase == clients.ReadingBody && c.state.Writing == 0
	unread := c.state.Writing > 0
	c.mu.Unlock()
	switch {
	case reading && c.Conn.SetReadDeadline(time.Unix(1, 0)) == nil:
		return true
	case unread:
		// The rest of the answer must not look like its end, and must not stay in the
		// system's buffers.
		_ = c.SetLinger(0)
	}
	_ = c.Close()
	return true
}
