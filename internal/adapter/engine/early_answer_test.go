package engine

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"eelgrassgrade/internal/app/commands"
	"eelgrassgrade/internal/app/dispatch"
	"eelgrassgrade/internal/core"
)

// serveRaw answers each request with bytes and then resets the connection, without reading
// the request's body. In the text, CALL stands for the ID of the call.
func serveRaw(t *testing.T, answer string) core.Endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = conn.Write(bytes.ReplaceAll([]byte(answer), []byte("CALL"), []byte(req.Header.Get(CallHeader))))
				// What was written must arrive before the reset, which overtakes it otherwise.
				time.Sleep(30 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return core.Endpoint{ID: "e", Address: l.Addr().String()}
}

// Guards against a part of an answer that counts as the whole one: the answer has no length
// and comes before the request was sent, and the sending of the request receives the reset.
func TestAResetDuringTheUploadBreaksTheAnswer(t *testing.T) {
	e := serveRaw(t, "HTTP/1.1 200 OK\r\n"+CallHeader+": CALL\r\n\r\n{\"part\":")
	tr := New(nil)
	for i := range 40 {
		c := core.Call{Request: core.RequestID(fmt.Sprint("r", i)), Stage: "s", Attempt: 1, Path: "/x", Body: bytes.Repeat([]byte("b"), 6<<20), Endpoint: e}
		if r, err := tr.Do(t.Context(), c); err == nil {
			t.Errorf("upload %d: %q with status %d counts as a whole answer", i, r.Body, r.Status)
		}
	}
}

// Guards against bytes of another request where the rest of a body is due: an endpoint
// answers before it has read the body, keeps the connection and reads on later.
func TestAnEarlyAnswerLeavesTheRestOfTheBodyInPlace(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	read := make(chan string, 100)
	serve := func(conn net.Conn) {
		defer conn.Close()
		for r := bufio.NewReader(conn); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\n{}", CallHeader, req.Header.Get(CallHeader))
			time.Sleep(100 * time.Millisecond)
			body, _ := io.ReadAll(req.Body)
			read <- string(bytes.Trim(body, "b"))
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	const calls = 10
	tr := New(nil)
	for i := range calls {
		c := core.Call{Request: core.RequestID(fmt.Sprint("r", i)), Stage: "s", Attempt: 1, Path: "/x", Body: bytes.Repeat([]byte("b"), 6<<20), Endpoint: core.Endpoint{ID: "e", Address: l.Addr().String()}}
		if r, err := tr.Do(t.Context(), c); err != nil || r.CallID != c.ID() {
			t.Errorf("call %d: %+v, %v", i, r, err)
		}
	}
	for range calls {
		if other := <-read; other != "" {
			t.Errorf("the endpoint read %d other bytes in a body, beginning with %.40q", len(other), other)
		}
	}
}

// Guards against an answer without a valid status that counts as one or as a refusal, after
// which no other endpoint is tried, and against a command that counts as accepted.
func TestAnswersWithoutAStatusAreFailures(t *testing.T) {
	for _, status := range []string{"000", "001", "099"} {
		e := serveRaw(t, "HTTP/1.1 "+status+" OK\r\n"+CallHeader+": CALL\r\nContent-Length: 2\r\n\r\n{}")
		tr := New(nil)
		c := core.Call{Request: "r", Stage: "s", Attempt: 1, Path: "/x", Body: []byte("{}"), Endpoint: e}
		if r, err := tr.Do(t.Context(), c); core.AsError(err, "").Ran != core.RanUnknown || err == nil {
			t.Errorf("status %s: got %+v, %v", status, r, err)
		}
		var refusal *dispatch.StatusError
		if err := tr.Stream(t.Context(), c, func(core.Event) error { return nil }); core.AsError(err, "").Ran != core.RanUnknown || err == nil || errors.As(err, &refusal) {
			t.Errorf("stream with status %s: %v", status, err)
		}
		if err := (&Admin{transport: tr}).Load(t.Context(), e, commands.Command{}, 1); err == nil {
			t.Errorf("a command that was answered with status %s counts as accepted", status)
		}
	}
}
