package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"eelgrassgrade/internal/config"
)

// rawCall sends a call on conn and reads a single response.
func rawCall(conn net.Conn, r *bufio.Reader, id, query string) (answeredCall string, body string, err error) {
	b := fmt.Sprintf(`{"query":%q,"top_k":1}`, query)
	fmt.Fprintf(conn, "POST /v1/retrieve HTTP/1.1\r\nHost: e\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", callHeader, id, len(b), b)
	return rawResponse(r)
}

func rawResponse(r *bufio.Reader) (answeredCall, body string, err error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return "", "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.Header.Get(callHeader), string(b), err
}

// Guards against answer faults that have no effect. Tests of how the daemon
// handles swapped, duplicated and truncated answers would then pass without
// testing anything.
func TestAnswerFaults(t *testing.T) {
	e := NewEndpoint(EndpointOptions{Kind: config.KindRetriever, Slots: 1})
	srv := httptest.NewServer(e.Handler())
	defer srv.Close()
	var conn net.Conn
	var r *bufio.Reader
	dial := func() {
		var err error
		if conn, err = net.Dial("tcp", srv.Listener.Addr().String()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		r = bufio.NewReader(conn)
	}
	dial()
	if id, body, err := rawCall(conn, r, "a/s/1", "first"); id != "a/s/1" || !strings.Contains(body, "on first") || err != nil {
		t.Fatalf("healthy: %q %q %v", id, body, err)
	}
	e.faults.set(Faults{SwapAnswers: 1})
	if id, body, _ := rawCall(conn, r, "b/s/1", "second"); id != "a/s/1" || !strings.Contains(body, "on first") {
		t.Errorf("swapped: %q %q", id, body)
	}
	e.faults.set(Faults{Truncate: 1})
	if _, body, err := rawCall(conn, r, "c/s/1", "third"); !errors.Is(err, io.ErrUnexpectedEOF) || body == "" {
		t.Errorf("truncated: %q %v", body, err)
	}
	dial()
	e.faults.set(Faults{Duplicate: 1})
	first, body, _ := rawCall(conn, r, "d/s/1", "fourth")
	second, again, err := rawResponse(r)
	if first != "d/s/1" || second != first || again != body || err != nil {
		t.Errorf("duplicated: %q and %q, %v", first, second, err)
	}
	if n := e.Counts(); n.Swaps != 1 || n.Truncated != 1 || n.Duplicates != 1 || n.Finished != 4 {
		t.Errorf("counts %+v", n)
	}
}
