package edge

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"eelgrassgrade/internal/app/forward"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
	"eelgrassgrade/internal/decide/clients"
	"eelgrassgrade/internal/graceful"
	"eelgrassgrade/platform"
)

// pathService does with a request what its path says.
type pathService struct{}

func (pathService) Serve(ctx context.Context, r *forward.Request, w http.ResponseWriter) (*core.Error, bool) {
	switch r.Path {
	case "/answer":
		r.InProgress.Enter(forward.PhaseDone)
		return nil, false
	case "/break":
		r.InProgress.Enter(forward.PhaseStream)
		return &core.Error{Kind: core.Upstream}, true
	}
	r.InProgress.Enter(forward.PhaseStages)
	<-ctx.Done()
	return &core.Error{Kind: core.Upstream}, true
}

// testServer is a server with its connections.
type testServer struct {
	*graceful.Server
	conns *clientConns
}

// Guards against a connection that ends with an unanswered request and leaves no trace, or
// one that blames the wrong side.
func TestAClosedConnectionTellsWhy(t *testing.T) {
	const head = " HTTP/1.1\r\nHost: h\r\nRequest-Id: id1\r\nContent-Length: 4\r\n"
	for _, c := range []struct {
		name, sent string
		// end ends the connection in another way than by the request itself.
		end    func(s *testServer, c net.Conn)
		reason closeReason
		phase  string
	}{
		{"idle at the stop", "POST /answer" + head + "\r\nbody", func(s *testServer, _ net.Conn) { s.AnnounceStop() }, closedIdle, ""},
		{"last answer", "POST /answer" + head + "Connection: close\r\n\r\nbody", nil, closedAnswered, ""},
		{"answer cannot be completed", "POST /break" + head + "\r\nbody", nil, closedBroken, "stream"},
		{"caller leaves in the stages", "POST /hang" + head + "\r\nbody", func(_ *testServer, c net.Conn) { c.Close() }, closedByCaller, "stages"},
		// The body that breaks off is refused, which is an answer.
		{"caller leaves in its body", "POST /hang" + head + "\r\nbo", func(_ *testServer, c net.Conn) { c.Close() }, closedByCaller, ""},
		{"caller leaves in its head", "POST /hang" + head, func(_ *testServer, c net.Conn) { c.Close() }, closedByCaller, "head"},
		{"cut at the end of the stop", "POST /hang" + head + "\r\nbody", func(s *testServer, _ net.Conn) {
			s.conns.cutting.Store(true)
			s.Close()
		}, closedByStop, "stages"},
		{"malformed head", "POST\r\n\r\n", nil, closedRefused, "head"},
		{"body too slow", "POST /hang" + head + "\r\nbo", func(s *testServer, _ net.Conn) {
			conns, _ := s.conns.snapshot()
			conns[0].end(func(clients.Connection) bool { return true })
		}, closedAnswered, ""},
		{"answer not read", "POST /hang" + head + "\r\nbody", func(s *testServer, _ net.Conn) {
			conns, _ := s.conns.snapshot()
			conns[0].end(func(clients.Connection) bool { return true })
		}, closedOverdue, "stages"},
	} {
		t.Run(c.name, func(t *testing.T) {
			closed := make(chan connClose, 1)
			conns := &clientConns{max: 10, clock: newRunClock(), limits: func() catalog.Limits { return defaultLimits }, times: func() clients.Times { return clients.Times{} },
				closed: func(d connClose) { closed <- d }, conns: map[*clientConn]struct{}{}, refusals: map[string]int{}}
			s := &testServer{graceful.New(&http.Server{ConnState: connStateHook, Handler: &platform.CallerHandler{Service: pathService{}, MaxBody: 100, Now: time.Now},
				ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
					return platform.WithConnection(ctx, conn.(*clientConn))
				}}), conns}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			wrapped := &clientListener{Listener: s.Listener(l), set: conns}
			go func() { _ = s.Serve(wrapped) }()
			defer s.Close()
			conn, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, c.sent); err != nil {
				t.Fatal(err)
			}
			if strings.Contains(c.sent, "/answer") {
				if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
					t.Fatal(err)
				}
			} else if c.end != nil {
				waitUntilUsed(conns)
			}
			if c.end != nil {
				c.end(s, conn)
			}
			select {
			case d := <-closed:
				phase := ""
				if d.head {
					phase = "head"
				}
				if d.unanswered != nil {
					phase = d.unanswered.Phase().String()
				}
				if d.reason != c.reason || phase != c.phase {
					t.Errorf("reason %q, phase %q, want %q, %q", d.reason, phase, c.reason, c.phase)
				}
			case <-time.After(5 * time.Second):
				t.Error("no connection was reported")
			}
		})
	}
}

// waitUntilUsed waits until the only connection of a set has carried bytes and the request
// on it, if any, has reached the point where it stays.
func waitUntilUsed(s *clientConns) {
	for {
		if _, states := s.snapshot(); len(states) == 1 && states[0].Phase != clients.Idle {
			time.Sleep(50 * time.Millisecond)
			return
		}
		time.Sleep(time.Millisecond)
	}
}
