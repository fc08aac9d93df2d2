package placement

import (
	"fmt"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

func candidates(n int) []Candidate {
	var out []Candidate
	for i := range n {
		out = append(out, Candidate{Endpoint: core.Endpoint{ID: core.InstanceID(fmt.Sprintf("e%d", i))}, Slots: 8, Slow: 1})
	}
	return out
}

func parts(shared string) []Part { return []Part{{"system", 2500}, {shared, 3800}, {"own", 2900}} }

// Guards against shared prompt parts that are read on many engines: an idle
// fleet sends all requests with a part to one engine, and the parts spread.
func TestASharedPartHasOneHome(t *testing.T) {
	homes := map[core.InstanceID]int{}
	for i := range 120 {
		first := Order(Prompt{Parts: parts(fmt.Sprint("p", i))}, candidates(12))[0].Endpoint.ID
		reversed := candidates(12)
		for a, b := 0, len(reversed)-1; a < b; a, b = a+1, b-1 {
			reversed[a], reversed[b] = reversed[b], reversed[a]
		}
		if again := Order(Prompt{Parts: parts(fmt.Sprint("p", i))}, reversed)[0].Endpoint.ID; again != first {
			t.Fatalf("part %d has the homes %s and %s", i, first, again)
		}
		homes[first]++
	}
	if len(homes) < 10 {
		t.Errorf("120 parts have %d homes of 12", len(homes))
	}
}

// Pattern: one prompt part gets much of the traffic. Its home must not be
// loaded without bound while other engines are idle.
func TestALoadedHomeYields(t *testing.T) {
	list := candidates(4)
	used := map[core.InstanceID]int{}
	for range 40 {
		best := Order(Prompt{Parts: parts("hot")}, list)[0]
		used[best.Endpoint.ID]++
		for i := range list {
			if list[i].Endpoint.ID == best.Endpoint.ID {
				list[i].Running++
				list[i].PrefillTokens += best.Unread
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

// Pattern: a long shared part whose home has a queue. Guards against a request that is
// in time at the home and has the part read once more at the expense of the requests
// beside it, and against one that waits there until it is late.
func TestARequestWithTimeToSpareStaysAtItsHome(t *testing.T) {
	p := []Part{{"long", 8000}, {"own", 1000}}
	home := Order(Prompt{Parts: p}, candidates(6))[0].Endpoint.ID
	for _, c := range []struct {
		spare time.Duration
		stays bool
	}{{0, false}, {200 * time.Millisecond, false}, {time.Second, true}} {
		list := candidates(6)
		for i := range list {
			if list[i].Endpoint.ID == home {
				// 500 ms of reading.
				list[i].PrefillTokens = 20_000
			}
		}
		got := Order(Prompt{Parts: p, Spare: c.spare}, list)[0]
		if stays := got.Endpoint.ID == home; stays != c.stays {
			t.Errorf("%v to spare: the request goes to %s, home %d", c.spare, got.Endpoint.ID, got.Home)
		}
	}
}

// Pattern: heavy-tailed prompts, two long ones with the same shared part one after the
// other. Guards against an engine that reads both in a row while all requests beside them
// pause, and against a single one that is sent away from its home.
func TestLongPromptsDoNotPileUp(t *testing.T) {
	p := []Part{{"shared", 5000}, {"own", 20_000}}
	home := Order(Prompt{Parts: p, Spare: time.Second}, candidates(6))[0].Endpoint.ID
	for _, c := range []struct {
		running, prefill int
		pause            time.Duration
		stays            bool
	}{
		{0, 0, 500 * time.Millisecond, true},
		{6, 0, 500 * time.Millisecond, true},
		{6, 12_000, 500 * time.Millisecond, false},
		{0, 12_000, 500 * time.Millisecond, true},
		{6, 12_000, time.Second, true},
	} {
		list := candidates(6)
		for i := range list {
			if list[i].Endpoint.ID == home {
				list[i].Running, list[i].PrefillTokens = c.running, c.prefill
			}
		}
		if stays := Order(Prompt{Parts: p, Spare: time.Second, Pause: c.pause}, list)[0].Endpoint.ID == home; stays != c.stays {
			t.Errorf("%d requests run at the home and %d tokens wait there: stays %t, want %t", c.running, c.prefill, stays, c.stays)
		}
	}
}

// Guards against requests for engines without a free slot, and against slow ones
// while others are as good.
func TestFullAndSlowEnginesComeLast(t *testing.T) {
	list := candidates(3)
	list[0].Running = 8
	list[1].Slow = 5
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

// Guards against inputs that are fetched from far away by an engine no better
// than one beside them.
func TestCostOfInputsCounts(t *testing.T) {
	list := candidates(2)
	list[0].Cost = 80 * time.Millisecond
	if got := Order(Prompt{Parts: nil}, list)[0].Endpoint.ID; got != "e1" {
		t.Errorf("chose %s", got)
	}
}
