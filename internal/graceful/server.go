// Package graceful stops an HTTP server without losing a request that it has read.
//
// The shutdown of net/http takes a connection for idle until the head of a request is
// parsed, forgets the connections that it closes, and drops each request that is read after
// the shutdown began. Here the read in progress on a connection decides whether it is idle.
package graceful

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// newConnTime is how long a connection that has carried no request yet stays open during
	// a stop, counted from its acceptance: its client is probably about to send one.
	newConnTime = time.Second
	// finishPollInterval is the interval at which a stopping server looks for connections
	// that are no longer in use.
	finishPollInterval = 20 * time.Millisecond
)

// Server is an HTTP/1 server with a graceful stop: AnnounceStop, then Finish. Its listeners
// are served through Serve, with connections that Listener returns.
type Server struct {
	*http.Server
	stopping atomic.Bool
	conns    connSet
	// listeners holds the listeners that Finish closes.
	listeners []net.Listener
	// handling counts the requests whose handler runs, also after their connection is gone.
	handling atomic.Int64
}

// New returns a server that serves as s does.
func New(s *http.Server) *Server {
	server := &Server{Server: s}
	server.conns = connSet{stopping: &server.stopping, conns: map[*Conn]struct{}{}}
	handler, hook, connContext := s.Handler, s.ConnState, s.ConnContext
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		return context.WithValue(ctx, connKey{}, FromConn(conn))
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.handling.Add(1)
		defer server.handling.Add(-1)
		if c, _ := r.Context().Value(connKey{}).(*Conn); c != nil {
			// A pipelined request may have been read together with the one before.
			c.markBusy()
		}
		handler.ServeHTTP(&closingWriter{ResponseWriter: w, stopping: &server.stopping}, r)
	})
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		if hook != nil {
			hook(conn, state)
		}
		if c := FromConn(conn); c != nil && state == http.StateIdle {
			c.requestEnded()
		}
	}
	return server
}

// connKey is the key of a connection's Conn in the contexts of its requests.
type connKey struct{}

// FromConn returns the Conn of which conn is made, or nil.
func FromConn(conn net.Conn) *Conn {
	for conn != nil {
		if c, ok := conn.(*Conn); ok {
			return c
		}
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = outer.NetConn()
	}
	return nil
}

// Listener returns a listener that accepts the connections of l for Serve. They may be
// wrapped in types whose method NetConn returns them. All listeners have to be made before
// the stop.
func (s *Server) Listener(l net.Listener) net.Listener {
	s.listeners = append(s.listeners, l)
	return &listener{l, &s.conns}
}

type listener struct {
	net.Listener
	conns *connSet
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := l.conns.add(conn)
	if _, ok := conn.(*tls.Conn); ok {
		return tlsConn{c}, nil
	}
	return c, nil
}

// Serve serves a listener made of one that Listener returned. It returns
// http.ErrServerClosed after Finish or Close.
func (s *Server) Serve(l net.Listener) error {
	err := s.Server.Serve(l)
	if s.stopping.Load() && errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

// AnnounceStop closes the connections that wait for a request, unless one has arrived.
// Others are closed after the answer in progress. New ones are still accepted.
func (s *Server) AnnounceStop() {
	s.stopping.Store(true)
	s.conns.closeIdle()
}

// Finish closes the listeners and returns when all requests are answered, or the error of
// ctx when that ends before.
func (s *Server) Finish(ctx context.Context) error {
	s.stopping.Store(true)
	for _, l := range s.listeners {
		// A listener that is closed already has the same effect.
		_ = l.Close()
	}
	t := time.NewTicker(finishPollInterval)
	defer t.Stop()
	for {
		s.conns.closeIdle()
		if s.conns.count() == 0 && s.handling.Load() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// closingWriter tells the client of an answer that begins after the announcement of the
// stop that its connection is closed.
type closingWriter struct {
	http.ResponseWriter
	stopping *atomic.Bool
	begun    bool
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.begun = true
	if w.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(b []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Flush implements http.Flusher.
func (w *closingWriter) Flush() {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	// The server's writers can all be flushed.
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap lets an http.ResponseController reach the server's writer.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
