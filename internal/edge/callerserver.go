package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// newConnectionTime is how long a connection that has carried no request yet stays open
	// after the listener was closed: clients may have opened it for a request that they are
	// about to send.
	newConnectionTime = time.Second
	// finishPollInterval is the interval at which a stopping server looks for connections
	// that are no longer in use.
	finishPollInterval = 20 * time.Millisecond
)

// callerServer serves callers' connections and stops without losing a request. It does not
// use the shutdown of http.Server, which closes connections as idle until the head of a
// request is parsed, and drops requests that are read after it began.
type callerServer struct {
	*http.Server
	conns    *clientConns
	listener atomic.Pointer[net.Listener]
	// handling counts the requests whose handler runs, also after their connection is gone.
	handling atomic.Int64
}

// newCallerServer returns a server that counts the requests of s and keeps their
// connections in conns.
func newCallerServer(s *http.Server, conns *clientConns) *callerServer {
	server := &callerServer{Server: s, conns: conns}
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.handling.Add(1)
		defer server.handling.Add(-1)
		handler.ServeHTTP(&closingWriter{ResponseWriter: w, stopping: &conns.stopping}, r)
	})
	s.ConnState = connStateHook
	return server
}

// Serve serves the connections of l, which become connections of s.conns. It returns
// http.ErrServerClosed after finish or Close.
func (s *callerServer) Serve(l net.Listener) error {
	l = &clientListener{Listener: l, set: s.conns}
	s.listener.Store(&l)
	err := s.Server.Serve(l)
	if s.conns.stopping.Load() && errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

// announceStop closes the connections that wait for a request, unless one has arrived.
// Others are closed after the answer in progress.
func (s *callerServer) announceStop() {
	s.conns.stopping.Store(true)
	s.conns.closeIdle(newConnectionTime)
}

// finish closes the listener and returns when all requests are answered, or the error of
// ctx when that ends before.
func (s *callerServer) finish(ctx context.Context) error {
	if l := s.listener.Load(); l != nil {
		// A listener that is closed already has the same effect.
		_ = (*l).Close()
	}
	began := time.Now()
	t := time.NewTicker(finishPollInterval)
	defer t.Stop()
	for {
		s.conns.closeIdle(newConnectionTime - time.Since(began))
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
