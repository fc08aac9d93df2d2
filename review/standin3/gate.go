package main

import (
	"net"
	"sync/atomic"
	"time"
)

// gatedListener accepts connections that the store can silence.
type gatedListener struct {
	net.Listener
	store *store
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	g := &gatedConn{Conn: c}
	l.store.mu.Lock()
	l.store.conns[g] = true
	l.store.mu.Unlock()
	return g, nil
}

// gatedConn is a connection on which nothing passes once it is silent.
type gatedConn struct {
	net.Conn
	silent atomic.Bool
}

// hold keeps a call on a silent connection until the process ends.
func (c *gatedConn) hold() {
	for c.silent.Load() {
		time.Sleep(time.Hour)
	}
}

func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.hold()
	return n, err
}

func (c *gatedConn) Write(b []byte) (int, error) {
	c.hold()
	return c.Conn.Write(b)
}

func (c *gatedConn) Close() error {
	c.hold()
	return c.Conn.Close()
}
