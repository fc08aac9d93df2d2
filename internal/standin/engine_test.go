package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"eelgrassgrade/internal/config"
)

func submit(b *batch, priority, tokens int) *sequence {
	s := &sequence{priority: priority, tokens: tokens, onAdmit: func() time.Duration { return 0 }}
	b.submit(s)
	return s
}

// Guards against an engine stand-in that ignores priorities or keeps the slot of
// a cancelled call. Either would delay urgent work, and the delay would be
// attributed to the daemon.
func TestBatchOrdersByPriorityThenArrival(t *testing.T) {
	b := newBatch(1, time.Hour, 0, &faultState{})
	running := submit(b, 0, 1000)
	bulk, normal, second := submit(b, 2, 1), submit(b, 1, 1), submit(b, 1, 1)
	cancelled := submit(b, 0, 1)
	b.cancel(cancelled)
	for i, want := range []*sequence{running, normal, second, bulk} {
		b.mu.Lock()
		got := b.running[0]
		b.mu.Unlock()
		if got != want {
			t.Fatalf("sequence %d has priority %d and order %d, want order %d", i, got.priority, got.arrivalOrder, want.arrivalOrder)
		}
		b.cancel(got)
	}
	if r, w := b.queueLengths(); r != 0 || w != 0 {
		t.Errorf("%d running and %d waiting at the end", r, w)
	}
}

// Guards against a cache that evicts a recently used prefix or records no event
// for an eviction, and against an event loss that leaves no gaps in the sequence
// numbers for a reader to detect.
func TestPrefixCacheEvictsLeastRecentlyUsed(t *testing.T) {
	c := newPrefixCache(4*blockBytes, 0, 0, 1)
	block := func(s string) string { return strings.Repeat(s, blockBytes) }
	shared := block("a")
	c.lookUpAndAdd(shared + block("b"))
	c.lookUpAndAdd(block("c"))
	c.lookUpAndAdd(shared)
	c.lookUpAndAdd(block("d") + block("e"))
	if n := c.lookUpAndAdd(shared); n != blockBytes {
		t.Errorf("%d bytes of the prefix in use are cached", n)
	}
	if n := c.lookUpAndAdd(shared + block("b")); n != blockBytes {
		t.Errorf("%d bytes are cached, want the evicted block gone", n)
	}
	ops := map[string][]string{}
	for _, e := range c.events {
		ops[e.Prefix] = append(ops[e.Prefix], e.Op)
	}
	evicted := 0
	for _, o := range ops {
		if slices.Equal(o, []string{"add", "evict", "add"}) {
			evicted++
		}
	}
	if evicted != 1 {
		t.Errorf("events %v, want one block that was evicted and added again", ops)
	}
	lossyCache := newPrefixCache(1<<20, 0, 0.5, 1)
	for i := range 64 {
		lossyCache.lookUpAndAdd(fmt.Sprintf("%064d", i))
	}
	if n := len(lossyCache.events); lossyCache.lastSeq != 64 || n == 0 || n == 64 {
		t.Errorf("%d of %d events published, want gaps", n, lossyCache.lastSeq)
	}
}

// Guards against an engine that executes a command of a former lease holder, or
// whose state doesn't show the last command that it executed. An engine that does
// not check fencing tokens executes every command.
func TestOldFencingTokenIsRefused(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := NewEndpoint(EndpointOptions{Kind: config.KindEngine, Engine: EngineOptions{ChecksFencing: checks}})
		load := func(token, version string) int {
			r := httptest.NewRequest("POST", "/admin/load", strings.NewReader(`{"model":"m","version":"`+version+`"}`))
			r.Header.Set(fencingHeader, token)
			w := httptest.NewRecorder()
			e.Handler().ServeHTTP(w, r)
			return w.Code
		}
		codes := []int{load("7", "new"), load("6", "old"), load("7", "newer")}
		want, accepted := []int{204, 204, 204}, 3
		if checks {
			want, accepted = []int{204, 409, 204}, 2
		}
		if !slices.Equal(codes, want) || len(e.admin.accepted) != accepted || e.admin.state.Version != "newer" {
			t.Errorf("checks %t: statuses %v, %d accepted, state %+v", checks, codes, len(e.admin.accepted), e.admin.state)
		}
	}
}

// Guards against a resumed stream that repeats or skips a token, and against a
// cut stream that ends with the end mark.
func TestCutStreamResumesAtToken(t *testing.T) {
	e := NewEndpoint(EndpointOptions{Kind: config.KindEngine, Slots: 2, Engine: EngineOptions{TokenTime: time.Millisecond}})
	e.faults.set(Faults{CutStreams: 1, CutAfterTokens: 3})
	srv := httptest.NewServer(e.Handler())
	defer srv.Close()
	var text strings.Builder
	next, sawDone := 0, false
	for range 2 {
		body := fmt.Sprintf(`{"prompt":"one two three four","max_tokens":8,"stream":true,"resume_from":%d}`, next)
		resp, err := http.Post(srv.URL+"/v1/completions", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		for sc := bufio.NewScanner(resp.Body); sc.Scan(); {
			data, ok := strings.CutPrefix(sc.Text(), "data: ")
			sawDone = sawDone || data == "[DONE]"
			var ev struct {
				Index   int
				Choices []struct{ Text string }
			}
			if !ok || json.Unmarshal([]byte(data), &ev) != nil || len(ev.Choices) == 0 {
				continue
			}
			if ev.Index != next {
				t.Fatalf("token %d, want %d", ev.Index, next)
			}
			next++
			text.WriteString(ev.Choices[0].Text)
		}
		resp.Body.Close()
		if sawDone != (next == 8) {
			t.Fatalf("end mark %t after %d tokens", sawDone, next)
		}
	}
	if want := GeneratedText("one two three four", 8); text.String() != want {
		t.Errorf("text %q, want %q", text.String(), want)
	}
}

// Guards against a crash that still answers the calls in progress or leaves the
// port open, and against an engine that does not listen again afterwards.
func TestCrashMarkerResetsConnectionsAndEngineRecovers(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	e := NewEndpoint(EndpointOptions{Kind: config.KindEngine, CrashMarker: "poison", CrashDown: 300 * time.Millisecond})
	go func() { served <- ServeEndpoint(ctx, addr, "127.0.0.1:0", e) }()
	ask := func(prompt string) (string, error) {
		resp, err := http.Post("http://"+addr+"/v1/completions", "application/json", strings.NewReader(`{"prompt":"`+prompt+`","max_tokens":2}`))
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		return string(b), err
	}
	eventually := func(what string, ok func() bool) {
		for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal(what)
			}
		}
	}
	healthy := func() bool { b, err := ask("well"); return err == nil && strings.Contains(b, "well ") }
	eventually("the engine does not answer", healthy)
	if b, err := ask("a poison prompt"); err == nil {
		t.Fatalf("the crashing call was answered: %s", b)
	}
	eventually("the port stays open after the crash", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	eventually("the engine does not answer again after the crash", healthy)
	cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// Guards against a call count that leaves out the calls that a fault refuses or
// blocks: retries during an outage or a freeze would then not show.
func TestCallsUnderFaultsAreCounted(t *testing.T) {
	e := NewEndpoint(EndpointOptions{Kind: config.KindEngine})
	for _, f := range []Faults{{Outage: true}, {RefuseStatus: 429}, {Freeze: true}, {Hang: true}} {
		e.faults.set(f)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		r := httptest.NewRequestWithContext(ctx, "POST", "/v1/completions", strings.NewReader(`{"prompt":"p","max_tokens":1}`))
		func() {
			defer func() { recover() }()
			e.Handler().ServeHTTP(httptest.NewRecorder(), r)
		}()
		cancel()
	}
	if n := e.Counts(); n.Calls != 4 || n.Finished != 0 || n.Tokens != 0 {
		t.Errorf("counts %+v, want 4 calls and no work", n)
	}
}
