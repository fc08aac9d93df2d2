package forward

import (
	"context"
	"strings"
	"testing"
	"time"

	"eelgrassgrade/internal/app/holding"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/clients"
)

// Guards against events of resumable streams that are buffered beyond the memory for
// clients, sound streams that are cut because of it, runs that are joined within an event,
// events without end, and memory that is not returned.
func TestEventsAreBufferedOnlyWithMemory(t *testing.T) {
	const ample = 100 << 20
	event := func(id string, n int) string { return "id: " + id + "\ndata: " + strings.Repeat("x", n) + "\n\n" }
	small, large, endless := event("1", 10), event("2", 200<<10), event("2", 2*maxEventBytes)
	half := large[:len(large)/2]
	for _, c := range []struct {
		name string
		room int64
		// body and rest are the answers of the first and the second endpoint.
		body      string
		breaksOff bool
		rest      string
		want      string
		wantCut   bool
	}{
		{"large events", ample, small + large + small, false, "", small + large + small, false},
		{"large events, no room", 0, small + large + small, false, "", small + large + small, false},
		{"breaks off within an event", ample, small + half, true, large, small + large, false},
		{"breaks off within a small event, no room", 0, small + half[:100], true, large, small + large, false},
		{"breaks off within an event, no room", 0, small + half, true, large, small + half, true},
		{"breaks off after a large event, no room", 0, large, true, small, large + small, false},
		{"room for half of the event", 100 << 10, small + large + small, false, "", small + large + small, false},
		{"an event over the limit", ample, small + endless, false, small, small + small, false},
		{"an event over the limit, no room", 0, small + endless, false, small, small, true},
	} {
		withFakePlatform(t, 2, func(p *fakePlatform) {
			memory := holding.New(clients.Room{Total: c.room, Large: c.room, Small: 1}, time.Now)
			p.forwarder.memory = memory
			var held int64
			p.respond = func(_ core.Endpoint, _ *EndpointRequest, n int) endpointBehavior {
				if n > 1 {
					held = memory.Held()[clients.Answer]
					return endpointBehavior{body: c.rest, length: -1}
				}
				return endpointBehavior{body: c.body, length: -1, breaksOff: c.breaksOff}
			}
			got := p.serve(context.Background(), "resume", nil)
			body := got.body
			if c.wantCut {
				// How much of a broken event was relayed does not matter.
				body = body[:min(len(body), len(c.want))]
			}
			if body != c.want || got.cut != c.wantCut {
				t.Errorf("%s: %d bytes, cut %v (%v); want %d bytes, cut %v", c.name, len(got.body), got.cut, got.err, len(c.want), c.wantCut)
			}
			if held += memory.Held()[clients.Answer]; held != 0 {
				t.Errorf("%s: %d bytes are held after an endpoint's answer", c.name, held)
			}
		})
	}
}

// Guards against the end of an event that is missed because it arrives in parts, whether
// the event is buffered or relayed as it arrives.
func TestEventsEndWhereverTheirBytesAreSplit(t *testing.T) {
	for _, separator := range []string{"\n\n", "\r\n\r\n"} {
		long := "data: " + strings.Repeat("x", 3*readBufferSize) + separator
		stream := "id: 1" + separator + long + "id: 2" + separator
		for split := len("id: 1"+separator+long) - 8; split < len(stream); split++ {
			for _, room := range []int64{0, 1 << 30} {
				b := eventBuffer{memory: holding.New(clients.Room{Total: room, Large: room, Small: 1}, time.Now), ask: clients.Ask{Kind: clients.Answer}}
				got := ""
				for _, part := range []string{stream[:split], stream[split:]} {
					for len(part) > 0 {
						n := min(len(part), readBufferSize)
						relay, ok := b.add([]byte(part[:n]))
						if !ok {
							t.Fatal("an event within the limit is over it")
						}
						got, part = got+string(relay), part[n:]
					}
				}
				if got != stream || b.withinEvent() {
					t.Fatalf("split at %d, room %d: %d bytes of %d, within an event: %v", split, room, len(got), len(stream), b.withinEvent())
				}
			}
		}
	}
}
