package fleet

import (
	"testing"
	"time"

	"eelgrassgrade/internal/decide/ratelimit"
)

// Guards against statuses that carry all limits of endpoints each time, which with
// hundreds of limited endpoints would use up a daemon's bandwidth for control traffic, and
// against daemons that just started and are not told of limits that began long ago.
func TestStatusesListRecentLimits(t *testing.T) {
	now := time.Unix(1000, 0)
	var limits []EndpointLimit
	for range 64 {
		limits = append(limits, EndpointLimit{Endpoint: "e", Observation: ratelimit.Observation{PerSecond: 2, SentAt: now, ReceivedAt: now}})
	}
	f := New(Options{Self: Member{ID: "self", Address: "self"}, Events: noEvents{}, OnStatus: func(*Status) {},
		Source: func() *Status { return &Status{Limits: limits, RecentLimits: 3} }, Now: func() time.Time { return now }})
	now = now.Add(knownListWarmUp + time.Second)
	if got := f.HandleExchange(&Status{Member: member(1), Incarnation: 1}); len(got.Limits) != len(limits) {
		t.Errorf("a daemon that was not alive before is told of %d limits, want %d", len(got.Limits), len(limits))
	}
	lists := map[int]int{}
	for range 8 * knownListEvery {
		lists[len(f.HandleExchange(&Status{Member: member(1), Incarnation: 1}).Limits)]++
	}
	if lists[3] != 7*knownListEvery || lists[64] != knownListEvery {
		t.Errorf("statuses by the number of limits: %v, want all of them in one of %d", lists, knownListEvery)
	}
}
