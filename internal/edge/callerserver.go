package edge

import (
	"context"
	"net"
	"net/http"
)

// callerServer serves callers' connections and stops without losing a request.
type callerServer struct {
	*http.Server
	conns *clientConns
}

// Serve serves the connections of l, which become connections of s.conns.
func (s *callerServer) Serve(l net.Listener) error {
	return s.Server.Serve(&clientListener{Listener: l, set: s.conns})
}

// announceStop closes connections that wait for a request. Others are closed after the
// answer in progress.
func (s *callerServer) announceStop() {
	s.SetKeepAlivesEnabled(false)
}

// finish closes the listeners and returns when all requests in progress are answered, or
// the error of ctx when that ends before.
func (s *callerServer) finish(ctx context.Context) error {
	return s.Shutdown(ctx)
}
