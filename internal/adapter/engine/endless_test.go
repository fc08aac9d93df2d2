package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

// Guards against sound answers that are cut, repeated or refused by the bound.
func TestAnswersOfEachSizeAreRead(t *testing.T) {
	for _, n := range []int{0, 1, freeAnswerBytes - 1, freeAnswerBytes, freeAnswerBytes + 1, 3 * freeAnswerBytes, defaultMaxAnswerBytes, defaultMaxAnswerBytes + 1} {
		for _, withLength := range []bool{false, true} {
			answer := strings.Repeat("0123456789abcdef", n/16+1)[:n]
			c := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				if withLength {
					w.Header().Set("Content-Length", fmt.Sprint(n))
				}
				http.NewResponseController(w).Flush()
				_, _ = io.WriteString(w, answer)
			})
			r, err := New(nil).Do(t.Context(), c)
			if tooLarge := n > defaultMaxAnswerBytes; (err != nil) != tooLarge || !tooLarge && string(r.Body) != answer {
				t.Errorf("an answer of %d bytes, length announced %v: %d bytes, %v", n, withLength, len(r.Body), err)
			}
		}
	}
}

// Guards against an endpoint whose endless or unfinished answers to many calls at once fill
// the daemon's memory, and against answers of other endpoints that fail meanwhile.
func TestEndlessAnswersAreBoundedTogether(t *testing.T) {
	const calls, room = 60, 16 << 20
	const maxBytes = room + calls*(freeAnswerBytes+256<<10)
	sound := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(CallHeader, r.Header.Get(CallHeader))
		fmt.Fprint(w, strings.Repeat("a", freeAnswerBytes/2))
	})
	// All endpoints share the bytes that they send, which are in the heap of the test too.
	filler := strings.Repeat("f", 32<<10)
	shortLines := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "%x:\r\n", 0x1000+i)
		}
		return b.String()
	}
	for name, c := range map[string]struct {
		stream bool
		begin  string
		filler int // bytes that follow
	}{
		"head of long lines":  {false, "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: "+strings.Repeat("y", 8000)+"\r\n", 1000), 0},
		"head of short lines": {false, "HTTP/1.1 200 OK\r\n" + shortLines(8000) + "\r\n", 0},
		"body":                {false, "HTTP/1.1 200 OK\r\n\r\n", 7 << 20},
		"body with a length":  {false, "HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n", 7 << 20},
		"event":               {true, "HTTP/1.1 200 OK\r\n\r\ndata: ", 1000 << 10},
	} {
		transport := New(nil)
		transport.memory = newAnswerMemory(room)
		faulty := serve(t, func(w http.ResponseWriter, r *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			_, err = io.WriteString(conn, c.begin)
			for sent := 0; err == nil && sent < c.filler; sent += len(filler) {
				_, err = io.WriteString(conn, filler)
			}
			if err == nil {
				_, _ = io.Copy(io.Discard, conn)
			}
		})
		ctx, cancel := context.WithCancel(t.Context())
		var before, during runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var wg sync.WaitGroup
		for range calls {
			wg.Go(func() {
				var err error
				if c.stream {
					err = transport.Stream(ctx, faulty, func(core.Event) error { return nil })
				} else {
					_, err = transport.Do(ctx, faulty)
				}
				if err == nil {
					t.Errorf("%s: a call succeeded", name)
				}
			})
		}
		time.Sleep(time.Second)
		if r, err := transport.Do(ctx, sound); err != nil || len(r.Body) != freeAnswerBytes/2 {
			t.Errorf("%s: another endpoint's answer: %d bytes, %v", name, len(r.Body), err)
		}
		runtime.GC()
		runtime.ReadMemStats(&during)
		if held := int64(during.HeapAlloc) - int64(before.HeapAlloc); held > maxBytes {
			t.Errorf("%s: %d calls hold %d MB, allowed %d", name, calls, held>>20, maxBytes>>20)
		}
		cancel()
		wg.Wait()
		if held := transport.memory.Held(); held[0]+held[1]+held[2]+held[3] != 0 {
			t.Errorf("%s: %v bytes are held at the end", name, held)
		}
	}
}
