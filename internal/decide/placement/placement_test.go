package placement

import (
	"fmt"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

func candidates(n int) []Candidate {
	var list []Candidate
	for i := range n {
		list = append(list, Candidate{Endpoint: core.Endpoint{ID: core.InstanceID(fmt.Sprintf("e%d", i))}, Slots: 8, SlowFactor: 1})
	}
	return list
}

func parts(shared string) []Part { return []Part{{"system", 2500}, {shared, 3800}, {"own", 2900}} }

// Guards against a shared prompt part that is read on many engines, and against
// parts that all use the same one: in an idle fleet, requests with the same part go
// to one engine, whatever the order of the list, and different parts spread.
func TestASharedPartHasOneAffinityEndpoint(t *testing.T) {
	partsByEndpoint := map[core.InstanceID]int{}
	for i := range 120 {
		first := Order(Prompt{Parts: parts(fmt.Sprint("p", i))}, candidates(12))[0].Endpoint.ID
		reversed := candidates(12)
		for a, b := 0, len(reversed)-1; a < b; a, b = a+1, b-1 {
			reversed[a], reversed[b] = reversed[b], reversed[a]
		}
		if again := Order(Prompt{Parts: parts(fmt.Sprint("p", i))}, reversed)[0].Endpoint.ID; again != first {
			t.Fatalf("part %d has the affinity endpoints %s and %s, depending on the order of the list", i, first, again)
		}
		partsByEndpoint[first]++
	}
	if len(partsByEndpoint) < 10 {
		t.Errorf("120 parts use %d of 12 endpoints", len(partsByEndpoint))
	}
}

// When one prompt part gets most of the traffic, the load of its affinity endpoint
// must not grow without bound while other engines are idle.
func TestRequestsLeaveALoadedAffinityEndpoint(t *testing.T) {
	list := candidates(4)
	used := map[core.InstanceID]int{}
	for range 40 {
		best := Order(Prompt{Parts: parts("hot")}, list)[0]
		used[best.Endpoint.ID]++
		for i := range list {
			if list[i].Endpoint.ID == best.Endpoint.ID {
				list[i].Running++
				list[i].PrefillTokens += best.UncachedTokens
			}
		}
	}
	for id, n := range used {
		if n > 20 {
			t.Errorf("%s got %d of 40 requests", id, n)
		}
	}
	if len(used) < 4 {
		t.Errorf("%d of 4 engines used", len(used))
	}
}

// The affinity endpoint of a long shared part has a queue. Guards against a request
// that would be in time there but has another engine read the part again, which
// delays the requests on that engine, and against one that waits until it is late.
func TestARequestWithSlackWaitsForItsAffinityEndpoint(t *testing.T) {
	p := []Part{{"long", 8000}, {"own", 1000}}
	affinity := Order(Prompt{Parts: p}, candidates(6))[0].Endpoint.ID
	for _, c := range []struct {
		slack time.Duration
		stays bool
	}{{0, false}, {200 * time.Millisecond, false}, {time.Second, true}} {
		list := candidates(6)
		for i := range list {
			if list[i].Endpoint.ID == affinity {
				// 500 ms of reading.
				list[i].PrefillTokens = 20_000
			}
		}
		got := Order(Prompt{Parts: p, Slack: c.slack}, list)[0]
		if stays := got.Endpoint.ID == affinity; stays != c.stays {
			t.Errorf("slack %v: the request goes to %s, affinity rank %d", c.slack, got.Endpoint.ID, got.AffinityRank)
		}
	}
}

// Two long prompts with the same shared part arrive one after the other. Guards
// against an engine that reads both in a row while all its running streams pause,
// and against a single long prompt that is sent away from its affinity endpoint.
func TestLongPromptsDoNotPileUp(t *testing.T) {
	p := []Part{{"shared", 5000}, {"own", 20_000}}
	affinity := Order(Prompt{Parts: p, Slack: time.Second}, candidates(6))[0].Endpoint.ID
	for _, c := range []struct {
		running, prefillTokens int
		gapTarget              time.Duration
		stays                  bool
	}{
		{0, 0, 500 * time.Millisecond, true},
		{6, 0, 500 * time.Millisecond, true},
		{6, 12_000, 500 * time.Millisecond, false},
		{0, 12_000, 500 * time.Millisecond, true},
		{6, 12_000, time.Second, true},
	} {
		list := candidates(6)
		for i := range list {
			if list[i].Endpoint.ID == affinity {
				list[i].Running, list[i].PrefillTokens = c.running, c.prefillTokens
			}
		}
		if stays := Order(Prompt{Parts: p, Slack: time.Second, GapTarget: c.gapTarget}, list)[0].Endpoint.ID == affinity; stays != c.stays {
			t.Errorf("affinity endpoint with %d running requests and %d tokens to read: request stays %t, want %t", c.running, c.prefillTokens, stays, c.stays)
		}
	}
}

// Guards against requests that go to engines without a free slot, or to slow ones,
// while other engines are available.
func TestFullAndSlowEnginesComeLast(t *testing.T) {
	list := candidates(3)
	list[0].Running = 8
	list[1].SlowFactor = 5
	got := Order(Prompt{Parts: nil}, list)
	if got[2].Endpoint.ID != "e0" {
		t.Errorf("the full engine is not last: %v", got)
	}
	p := []Part{{"only", 4000}}
	for _, c := range Order(Prompt{Parts: p}, list)[:1] {
		if c.Endpoint.ID == "e1" {
			t.Error("the slow engine is first")
		}
	}
}

// Guards against a request that goes to an engine far from its inputs although an
// equally loaded one is in the same data centre as the inputs.
func TestExtraCostCounts(t *testing.T) {
	list := candidates(2)
	list[0].ExtraCost = 80 * time.Millisecond
	if got := Order(Prompt{Parts: nil}, list)[0].Endpoint.ID; got != "e1" {
		t.Errorf("chose %s", got)
	}
}
