package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"eelgrassgrade/internal/decide/catalog"
	"eelgrassgrade/internal/decide/clients"
	"eelgrassgrade/internal/graceful"
)

// sweepingListener checks the idle times of all connections after each read that returned
// bytes, before the server gets them.
type sweepingListener struct {
	net.Listener
	set *clientConns
}

func (l *sweepingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &sweepingConn{conn.(*net.TCPConn), l.set}, nil
}

type sweepingConn struct {
	*net.TCPConn
	set *clientConns
}

func (c *sweepingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.set.sweep(false)
	}
	return n, err
}

// Guards against a request whose bytes the process has read in the moment in which its
// connection is closed for having been idle: it got no answer.
func TestARequestThatIsReadAtTheEndOfTheIdleTimeIsAnswered(t *testing.T) {
	clock := newRunClock()
	set := &clientConns{max: 10, clock: clock, limits: func() catalog.Limits { return defaultLimits }, times: func() clients.Times { return clients.Times{Head: time.Minute} },
		conns: map[*clientConn]struct{}{}, refusals: map[string]int{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := graceful.New(&http.Server{ConnState: connStateHook, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
	defer s.Close()
	wrapped := &clientListener{Listener: s.Listener(&sweepingListener{l, set}), set: set}
	go func() { _ = s.Serve(wrapped) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for set.count() == 0 {
		time.Sleep(time.Millisecond)
	}
	// The idle time of 0 is over once the clock has moved.
	clock.advance(time.Now())
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if resp.Body.Close(); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}
