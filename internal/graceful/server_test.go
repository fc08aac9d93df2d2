package graceful

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// hookedListener calls onRead after each read that returned bytes, before the server gets
// them.
type hookedListener struct {
	net.Listener
	onRead atomic.Pointer[func()]
}

func (l *hookedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookedConn{conn.(*net.TCPConn), l}, nil
}

type hookedConn struct {
	*net.TCPConn
	listener *hookedListener
}

func (c *hookedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if f := c.listener.onRead.Load(); f != nil && n > 0 {
		(*f)()
	}
	return n, err
}

// testClient is a client with one connection to a Server.
type testClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (c *testClient) write(text string) {
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Errorf("write: %v", err)
	}
}

// status returns the status of the next answer, or 0 if there is no whole one.
func (c *testClient) status() (status int, closes bool) {
	_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, false
	}
	return resp.StatusCode, resp.Close
}

// startServer starts a server whose handler takes a moment for an answer.
func startServer(t *testing.T) (*Server, *hookedListener, func() *testClient) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hooked := &hookedListener{Listener: l}
	s := New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-r.Context().Done():
		case <-time.After(50 * time.Millisecond):
			w.WriteHeader(http.StatusOK)
		}
	})})
	wrapped := s.Listener(hooked)
	go func() { _ = s.Serve(wrapped) }()
	t.Cleanup(func() { s.Close() })
	return s, hooked, func() *testClient {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return &testClient{t, conn, bufio.NewReader(conn)}
	}
}

const testRequest = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"

// Guards against a request whose bytes the process has read in the moment in which its stop
// is announced: the connection was closed as idle, and the end did not wait for the request.
func TestARequestThatIsReadWhileTheStopIsAnnouncedIsAnswered(t *testing.T) {
	s, hooked, dial := startServer(t)
	kept, idle := dial(), dial()
	for _, c := range []*testClient{kept, idle} {
		c.write(testRequest)
		if status, closes := c.status(); status != http.StatusOK || closes {
			t.Fatalf("before the stop: status %d, closes %t", status, closes)
		}
	}
	announced := make(chan struct{})
	announce := func() {
		if hooked.onRead.Swap(nil) != nil {
			s.AnnounceStop()
			close(announced)
		}
	}
	hooked.onRead.Store(&announce)
	kept.write(testRequest)
	<-announced
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := s.Finish(ctx); err != nil {
		t.Errorf("finish: %v", err)
	}
	if status, closes := kept.status(); status != http.StatusOK || !closes {
		t.Errorf("the request that was read: status %d, closes %t", status, closes)
	}
	if status, _ := idle.status(); status != 0 {
		t.Errorf("an idle connection got status %d", status)
	}
}

// Guards against a client that connected before the listener of a stopping daemon was
// closed, and whose request is dropped without an answer because it comes after that.
func TestARequestOnANewConnectionAfterTheListenerWasClosedIsAnswered(t *testing.T) {
	s, _, dial := startServer(t)
	c := dial()
	for s.conns.count() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.AnnounceStop()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	finished := make(chan error, 1)
	go func() { finished <- s.Finish(ctx) }()
	time.Sleep(100 * time.Millisecond)
	c.write(testRequest)
	if status, closes := c.status(); status != http.StatusOK || !closes {
		t.Errorf("status %d, closes %t", status, closes)
	}
	if err := <-finished; err != nil {
		t.Errorf("finish: %v", err)
	}
}
