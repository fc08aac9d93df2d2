package permits

import (
	"fmt"
	"testing"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/ratelimit"
)

// BenchmarkUnlimited measures what a request to an endpoint without a limit costs while
// others name one, with the count of what is sent and the look at the answer.
func BenchmarkUnlimited(b *testing.B) {
	r, e := newLimited(600)
	b.ReportAllocs()
	for b.Loop() {
		if !r.Acquire(b.Context(), e, 0, "r") || !r.BlockedUntil(e, 0).IsZero() {
			b.Fatal("blocked")
		}
		r.RecordSend(e.Endpoint)
		now := time.Now()
		r.Observe(e.Endpoint, ratelimit.Observation{PerSecond: ratelimit.Unlimited, SentAt: now, ReceivedAt: now})
	}
}

// BenchmarkObserve measures an answer that names a limit again while 600 endpoints do.
func BenchmarkObserve(b *testing.B) {
	r, _ := newLimited(600)
	e := r.View().ByID["e7"].Endpoint
	b.ReportAllocs()
	for b.Loop() {
		now := time.Now()
		r.Observe(e, ratelimit.Observation{PerSecond: 2, SentAt: now, ReceivedAt: now})
	}
}

// newLimited returns a registry in which n endpoints name a limit, and one that names none.
func newLimited(n int) (*Registry, endpoints.Entry) {
	rec := newRecorder("free")
	rec.now = time.Now()
	for i := range n {
		id := core.InstanceID(fmt.Sprint("e", i))
		rec.view.ByID[id] = endpoints.Entry{Endpoint: core.Endpoint{ID: id, Address: "a-" + string(id)}, StartedMs: 1}
	}
	r := rec.registry()
	r.Now = time.Now
	for i := range n {
		r.Observe(rec.view.ByID[core.InstanceID(fmt.Sprint("e", i))].Endpoint, ratelimit.Observation{PerSecond: 2, SentAt: time.Now(), ReceivedAt: time.Now()})
	}
	return r, rec.view.ByID["free"]
}
