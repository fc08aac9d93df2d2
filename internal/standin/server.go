package standin

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Serve serves h at serveAddr and control at controlAddr until ctx ends.
func Serve(ctx context.Context, serveAddr, controlAddr string, h, control http.Handler) error {
	return newServer(serveAddr, h).run(ctx, controlAddr, control)
}

// ServeEndpoint serves the endpoint and its control port until ctx ends. A crash
// of the endpoint closes its serving port only, or ends the process.
func ServeEndpoint(ctx context.Context, serveAddr, controlAddr string, e *Endpoint) error {
	s := newServer(serveAddr, e.Handler())
	e.crashServer = s.crash
	return s.run(ctx, controlAddr, e.ControlHandler())
}

// exitCodeCrashed is the exit code of a process that ended by a simulated crash.
const exitCodeCrashed = 3

// server is an HTTP server that can simulate a crash: it resets its connections,
// closes its port and listens again later.
type server struct {
	addr        string
	handler     http.Handler
	serveErrors chan error

	mu    sync.Mutex
	srv   *http.Server
	down  bool
	conns map[net.Conn]struct{}
}

func newServer(addr string, h http.Handler) *server {
	return &server{addr: addr, handler: h, serveErrors: make(chan error, 2), conns: map[net.Conn]struct{}{}}
}

func (s *server) run(ctx context.Context, controlAddr string, control http.Handler) error {
	if err := s.listen(); err != nil {
		return err
	}
	defer s.close()
	ln, err := net.Listen("tcp", controlAddr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: control}
	go func() { s.serveErrors <- srv.Serve(ln) }()
	defer srv.Close()
	select {
	case err := <-s.serveErrors:
		return err
	case <-ctx.Done():
		return nil
	}
}

func (s *server) listen() error {
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: s.handler, ConnState: s.trackConn}
	s.mu.Lock()
	s.srv, s.addr, s.down = srv, ln.Addr().String(), false
	s.mu.Unlock()
	go func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			s.serveErrors <- err
		}
	}()
	return nil
}

// trackConn keeps the set of open connections; it is the server's ConnState hook.
func (s *server) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

func (s *server) close() {
	s.mu.Lock()
	srv := s.srv
	s.mu.Unlock()
	srv.Close()
}

// crash resets all connections and closes the port for the time down. If down is
// 0, it ends the process.
func (s *server) crash(down time.Duration) {
	if down == 0 {
		os.Exit(exitCodeCrashed)
	}
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return
	}
	srv := s.srv
	s.down = true
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			// With a linger time of 0, Close sends a reset, as the kernel does for a
			// process that ends with unread data.
			t.SetLinger(0)
		}
	}
	s.mu.Unlock()
	srv.Close()
	time.AfterFunc(down, func() {
		if err := s.listen(); err != nil {
			s.serveErrors <- err
		}
	})
}
