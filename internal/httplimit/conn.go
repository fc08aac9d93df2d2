// Package httplimit bounds what the head of an HTTP/1 response may take. net/http bounds
// the bytes of a head only, and a head of short lines takes over twenty times its bytes once
// it is parsed.
package httplimit

import (
	"context"
	"fmt"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

const (
	// MaxHeadBytes is the size of a response's head up to which a client should read it, for
	// http.Transport.MaxResponseHeaderBytes.
	MaxHeadBytes = 64 << 10
	// maxHeadLines bounds the lines of a response's head, those of interim responses before
	// it included.
	maxHeadLines = 256
)

// ErrTooManyLines is the error of a read from a connection on which a response's head has
// more lines than are allowed.
var ErrTooManyLines = fmt.Errorf("httplimit: the response's head has more than %d lines", maxHeadLines)

// Conn is a client's connection that fails once a response's head has too many lines. On a
// connection for several requests, ExpectHead must be called before each of them.
type Conn struct {
	net.Conn
	// expectHead is set when another response follows. Only Read clears it.
	expectHead atomic.Bool
	head       headCounter
}

// NewConn returns a connection whose first bytes from the peer are a response's head.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// ExpectHead says that the next bytes from the peer begin the head of another response.
func (c *Conn) ExpectHead() { c.expectHead.Store(true) }

// Read implements net.Conn. It returns ErrTooManyLines if a head has too many lines.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.expectHead.Swap(false) {
		c.head = headCounter{}
	}
	if !c.head.count(b[:n]) {
		return 0, ErrTooManyLines
	}
	return n, err
}

// headExpecter is a connection that has to know where a response begins.
type headExpecter interface{ ExpectHead() }

// WithTrace returns a context for a request of an http.Transport whose connections are
// Conns or embed them: it calls ExpectHead on the request's connection.
func WithTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(headExpecter); ok {
			c.ExpectHead()
		}
	}})
}

// statusDigit is the index of the first digit of the status in "HTTP/1.1 200 OK".
const statusDigit = len("HTTP/1.1 ")

// headCounter counts the lines of a response's head as its bytes arrive.
type headCounter struct {
	// ended is true once the head of the final response was read.
	ended bool
	lines int
	// lineBytes is the length of the present line so far, without its end.
	lineBytes int
	// inFields is true once the first line of the present head has ended; interim says that
	// the head is that of an interim response, which another head follows.
	inFields, interim bool
}

// count counts the lines that data ends. It returns false if there are too many.
func (h *headCounter) count(data []byte) bool {
	for _, b := range data {
		if h.ended {
			return true
		}
		switch {
		case b == '\n':
			h.endLine()
		case b == '\r':
		default:
			if !h.inFields && h.lineBytes == statusDigit {
				h.interim = b == '1'
			}
			h.lineBytes++
		}
		if h.lines > maxHeadLines {
			return false
		}
	}
	return true
}

// endLine ends the present line. An empty one ends a head.
func (h *headCounter) endLine() {
	h.lines++
	switch {
	case h.lineBytes > 0:
		h.inFields = true
	case h.inFields && h.interim:
		h.inFields = false
	case h.inFields:
		h.ended = true
	}
	h.lineBytes = 0
}
