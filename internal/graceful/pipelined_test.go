package graceful

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a pipelined request that the server has read together with the one before:
// no read of its own tells that the connection is in use, and a stop that was announced
// meanwhile cancelled it as if its caller had left.
func TestAPipelinedRequestInProgressSurvivesTheAnnouncement(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	second := make(chan struct{})
	s := New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/second" {
			close(second)
			select {
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			case <-time.After(300 * time.Millisecond):
			}
		}
		w.WriteHeader(http.StatusOK)
	})})
	wrapped := s.Listener(l)
	go func() { _ = s.Serve(wrapped) }()
	t.Cleanup(func() { s.Close() })
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	c := &testClient{t, conn, bufio.NewReader(conn)}
	c.write("GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	<-second
	s.AnnounceStop()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := s.Finish(ctx); err != nil {
		t.Errorf("finish: %v", err)
	}
	if status, _ := c.status(); status != http.StatusOK {
		t.Errorf("first request: status %d", status)
	}
	if status, closes := c.status(); status != http.StatusOK || !closes {
		t.Errorf("second request: status %d, closes %t", status, closes)
	}
}
