package httplimit

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

// pipeConn is a connection that reads from a string, a few bytes at a time.
type pipeConn struct {
	net.Conn
	io.Reader
}

func (c pipeConn) Read(b []byte) (int, error) { return c.Reader.Read(b) }

// Guards against heads of very many short lines, which take far more memory than bytes, and
// against bodies whose lines are counted as those of a head.
func TestLinesOfHeadsAreBounded(t *testing.T) {
	const status, ending = "HTTP/1.1 200 OK\r\n", "\r\n"
	lines := func(n int) string { return strings.Repeat("a:\r\n", n) }
	interim := "HTTP/1.1 103 Early Hints\r\n" + lines(100) + "\r\n"
	for name, c := range map[string]struct {
		response string
		tooMany  bool
	}{
		"few":                 {status + lines(100) + ending, false},
		"too many":            {status + lines(maxHeadLines) + ending, true},
		"without an end":      {status + lines(maxHeadLines+1), true},
		"line feeds only":     {strings.ReplaceAll(status+lines(maxHeadLines)+ending, "\r", ""), true},
		"body of short lines": {status + lines(10) + ending + strings.Repeat("\n", 10000), false},
		"interim":             {interim + status + lines(100) + ending + strings.Repeat("\n", 10000), false},
		"many interim":        {strings.Repeat(interim, 3) + status + ending, true},
		"empty lines first":   {strings.Repeat("\r\n", 1000) + status + ending, true},
	} {
		for _, split := range []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.OneByteReader} {
			conn := NewConn(pipeConn{Reader: split(strings.NewReader(c.response))})
			got, err := io.ReadAll(conn)
			if errors.Is(err, ErrTooManyLines) != c.tooMany || !c.tooMany && string(got) != c.response {
				t.Errorf("%s: %d bytes, error %v; too many lines expected: %v", name, len(got), err, c.tooMany)
			}
		}
	}
}

// Guards against a bound that holds for the first response of a connection only.
func TestLinesAreBoundedOnKeptConnections(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n\n\n"
	server, client := net.Pipe()
	defer server.Close()
	requests := bufio.NewReader(server)
	go func() {
		for i := 0; ; i++ {
			if _, err := http.ReadRequest(requests); err != nil {
				return
			}
			response := whole
			if i == 2 {
				response = "HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", 1000) + "\r\n"
			}
			if _, err := io.WriteString(server, response); err != nil {
				return
			}
		}
	}()
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return NewConn(client), nil }}
	for i := range 3 {
		req, err := http.NewRequest("GET", "http://h/", nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := transport.RoundTrip(req.WithContext(WithTrace(t.Context())))
		if (err != nil) != (i == 2) {
			t.Fatalf("request %d: error %v", i, err)
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
}
