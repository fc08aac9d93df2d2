package forward

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/placement"
	"eelgrassgrade/internal/decide/quarantine"
)

// withPrompt returns a change of a request that gives it a prompt with the parts and one
// of its own.
func withPrompt(parts ...string) func(*Request) {
	return func(r *Request) {
		for _, id := range append(parts, "own") {
			r.Prompt = append(r.Prompt, placement.Part{ID: id, Tokens: 10})
		}
		r.Model = "m"
		r.Body = []byte(fmt.Sprint(time.Now().UnixNano()))
		r.PieceCounts, r.PieceKey = []int{1, 1}, "pk"
	}
}

// serveCrashes serves requests with the parts, whose endpoints crash, half a second apart.
func (p *fakePlatform) serveCrashes(n int, parts ...string) {
	for range n {
		p.serve(context.Background(), "stream", withPrompt(parts...))
		time.Sleep(500 * time.Millisecond)
	}
}

// startAgain changes the start of an endpoint's run. The caller holds mu.
func (p *fakePlatform) startAgain(id core.InstanceID, startedMs int64) {
	p.changeView(func(v *endpoints.View) {
		e := v.ByID[id]
		e.StartedMs = startedMs
		v.ByID[id] = e
	})
}

// crashOn makes endpoints crash on requests with a part, before the first event.
func (p *fakePlatform) crashOn(part string) {
	p.unreachable = true
	p.respond = func(e core.Endpoint, r *EndpointRequest, n int) endpointBehavior {
		for _, x := range r.Prompt {
			if x.ID == part {
				// Each crash is one of another run.
				p.startAgain(e.ID, int64(n))
				return endpointBehavior{breaksOff: true}
			}
		}
		return endpointBehavior{body: "id: 1\ndata: x\n\n"}
	}
}

// Guards against requests that are sent although a part of their prompt was quarantined
// after they were accepted: while their stages ran, and before a second try.
func TestQuarantinedPartsAreCheckedBeforeEachSend(t *testing.T) {
	withFakePlatform(t, 6, func(p *fakePlatform) {
		p.crashOn("bad")
		p.serve(context.Background(), "stream", withPrompt("sys", "good"))
		p.sentTo = nil
		p.stageTime = 800 * time.Millisecond
		waiting := make(chan callerAnswer)
		go func() {
			time.Sleep(600 * time.Millisecond)
			waiting <- p.serve(context.Background(), "staged", withPrompt("sys", "bad"))
		}()
		p.serveCrashes(3, "sys", "bad")
		got := <-waiting
		if got.err == nil || got.err.Step != quarantineStep || got.err.Ran != core.RanNot || got.err.RetryAfter <= 0 {
			t.Errorf("a request whose stages ran meanwhile: %+v", got)
		}
		if n := len(p.sentTo); n != 3 {
			t.Errorf("%d requests were sent, want 3", n)
		}
		if got := p.serve(context.Background(), "stream", withPrompt("sys", "good")); got.err != nil {
			t.Errorf("a sound request with the same first part: %v", got.err)
		}
		sent := len(p.sentTo)
		if got := p.serve(context.Background(), "resume", withPrompt("other", "bad")); got.err == nil || len(p.sentTo) != sent {
			t.Errorf("a request with the part was sent: %+v", got)
		}
	})
	withFakePlatform(t, 6, func(p *fakePlatform) {
		p.crashOn("bad")
		p.serveCrashes(2, "sys", "bad")
		time.Sleep(time.Second)
		// The first try of a request that may be resumed is the third crash.
		got := p.serve(context.Background(), "resume", withPrompt("sys", "bad"))
		if n := len(p.sentTo); n != 3 || got.err == nil || got.err.Ran == core.RanNot {
			t.Errorf("%d requests sent, the last ended with %v; want 3, and no promise that it did not run", n, got.err)
		}
	})
}

// Guards against crashes that quarantine a part without evidence: the endpoint cannot be
// reached, but did not end; the answer had been going on; the answer was complete.
func TestWeakEvidenceQuarantinesNoPart(t *testing.T) {
	event := "id: 1\ndata: x\n\n"
	for _, c := range []struct {
		name     string
		behavior endpointBehavior
		reach    Reachability
		want     bool
	}{
		{"ended before the first event", endpointBehavior{breaksOff: true}, Refusing, true},
		{"ended with the first event", endpointBehavior{body: event, breaksOff: true}, Refusing, true},
		{"does not respond", endpointBehavior{breaksOff: true}, Unreachable, false},
		{"still runs", endpointBehavior{breaksOff: true}, Reachable, false},
		{"had answered for a while", endpointBehavior{body: event, breakDelay: 2 * settleTime, breaksOff: true}, Refusing, false},
		{"completed the answer", endpointBehavior{body: event}, Refusing, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFakePlatform(t, 6, func(p *fakePlatform) {
				p.reach = &c.reach
				p.respond = func(e core.Endpoint, _ *EndpointRequest, n int) endpointBehavior {
					p.startAgain(e.ID, int64(n))
					return c.behavior
				}
				p.serveCrashes(4, "sys")
				time.Sleep(time.Second)
				got := p.serve(context.Background(), "stream", withPrompt("sys"))
				if refused := got.err != nil && got.err.Step == quarantineStep; refused != c.want {
					t.Errorf("refused %v, want %v: %v", refused, c.want, got.err)
				}
			})
		})
	}
}

// Guards against the last part of a prompt in the quarantine, which no other request has.
func TestSharedParts(t *testing.T) {
	long := make([]placement.Part, 3*maxCheckedParts)
	for _, c := range []struct {
		prompt []placement.Part
		want   int
	}{{nil, 0}, {long[:1], 0}, {long[:3], 2}, {long, maxCheckedParts}} {
		if got := len(sharedParts("p", c.prompt)); got != c.want {
			t.Errorf("%d parts of %d, want %d", got, len(c.prompt), c.want)
		}
	}
	if quarantine.PartOf("p", "a") == quarantine.PartOf("q", "a") || strings.Contains(quarantine.PartOf("p", "a").String(), "p") {
		t.Error("parts of different pools are the same")
	}
}

// Guards against a failure that an endpoint answers before it looks at the prompt and that
// clears a part which crashes endpoints.
func TestFailuresClearNoPart(t *testing.T) {
	for status, cleared := range map[int]bool{http.StatusOK: true, http.StatusBadRequest: false, http.StatusInternalServerError: false} {
		withFakePlatform(t, 6, func(p *fakePlatform) {
			p.crashOn("bad")
			crash := p.respond
			for range 3 {
				p.respond = crash
				p.serveCrashes(1, "bad")
				p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
					return endpointBehavior{status: status, body: "answer"}
				}
				p.serve(context.Background(), "once", withPrompt("bad"))
			}
			time.Sleep(time.Second)
			got := p.serve(context.Background(), "once", withPrompt("bad"))
			if refused := got.err != nil && got.err.Step == quarantineStep; refused == cleared {
				t.Errorf("after answers with status %d: refused %v", status, refused)
			}
		})
	}
}
