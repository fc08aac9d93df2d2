package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

func endpoints(n int, dc core.DataCenterID) []core.Endpoint {
	list := make([]core.Endpoint, n)
	for i := range list {
		list[i] = core.Endpoint{ID: core.InstanceID(fmt.Sprintf("%s-%03d", dc, i)), DataCenter: dc}
	}
	return list
}

// idle returns n endpoints of the local data centre without load.
func idle(n int) []Candidate {
	c := make([]Candidate, n)
	for i := range c {
		c[i] = Candidate{Hash: HashOf(core.InstanceID(fmt.Sprint("e", i))), Slots: 8, Latency: 20 * time.Millisecond, SlowStartFactor: 1, Local: true, ReportAge: time.Hour}
	}
	return c
}

// Guards against a subset that is too large, and against one that drops endpoints
// which are still in the pool when another one leaves.
func TestSubsetChangesOnlyForTheEndpointThatLeft(t *testing.T) {
	all := append(endpoints(300, "a"), endpoints(300, "b")...)
	before := Subset("daemon-1", "a", all)
	if len(before) != MaxLocal+MaxRemote {
		t.Fatalf("%d endpoints, want %d", len(before), MaxLocal+MaxRemote)
	}
	removed := before[0]
	var remaining []core.Endpoint
	for _, e := range all {
		if e != removed {
			remaining = append(remaining, e)
		}
	}
	kept := map[core.Endpoint]bool{}
	for _, e := range Subset("daemon-1", "a", remaining) {
		kept[e] = true
	}
	for _, e := range before[1:] {
		if !kept[e] {
			t.Errorf("%s left the subset although only %s left the pool", e.ID, removed.ID)
		}
	}
}

// Guards against endpoints that far fewer or far more daemons use than others.
func TestSubsetsSpreadOverThePool(t *testing.T) {
	all := endpoints(200, "a")
	used := map[core.InstanceID]float64{}
	for d := range 330 {
		for _, e := range Subset(core.InstanceID(fmt.Sprint("daemon-", d)), "a", all) {
			used[e.ID]++
		}
	}
	mean, variance := 330.0*MaxLocal/200, 0.0
	for _, e := range all {
		variance += (used[e.ID] - mean) * (used[e.ID] - mean) / 200
	}
	// A binomial spread has a standard deviation of about sqrt(mean).
	if sd := math.Sqrt(variance); sd > 1.3*math.Sqrt(mean) {
		t.Errorf("standard deviation %.1f around %.1f daemons per endpoint", sd, mean)
	}
}

// Guards against a frequent prefix that overloads its affinity endpoint instead of
// spilling to others.
func TestHotPrefixSpillsAtTheLoadBound(t *testing.T) {
	c := idle(8)
	affinity := Choose(c, Request{Key: 7, Prefix: true}).Index
	for n := range 40 {
		d := Choose(c, Request{Key: 7, Prefix: true, Random: uint64(n)})
		c[d.Index].InFlight++
		if bound := math.Ceil(loadBoundFactor * float64(n+1) / 8); float64(c[d.Index].InFlight) > bound {
			t.Fatalf("call %d: load %d above the bound %.0f", n, c[d.Index].InFlight, bound)
		}
	}
	if c[affinity].InFlight < 5 {
		t.Errorf("the affinity endpoint holds %d of 40 calls, want at least the mean", c[affinity].InFlight)
	}
}

// Guards against daemons that together overload the affinity endpoint of a key
// before reported load shows them each other's calls, and against calls of distinct
// content that pile up on one endpoint by chance.
func TestCallsOfThisDaemonHaveASeparateBound(t *testing.T) {
	for _, prefix := range []bool{true, false} {
		c := idle(6)
		affinity := Choose(c, Request{Key: 7, Prefix: prefix}).Index
		for i := range c {
			if i != affinity {
				c[i].OthersInFlight, c[i].ReportAge = 4, 0
			}
		}
		c[affinity].InFlight = 2
		if d := Choose(c, Request{Key: 7, Prefix: prefix}); d.Index == affinity {
			t.Errorf("prefix %v: the affinity endpoint gets a third call of this daemon while the others have none", prefix)
		}
	}
}

// Guards against calls that leave the endpoint with their prefix cached because of a
// single call in flight, and against calls that go there at any load.
func TestCachedPrefixIsWorthOneMoreCall(t *testing.T) {
	c := idle(6)
	c[4].Cached = true
	for inFlight, want := range []Reason{ByCache, ByCache, ByPrefix} {
		c[4].InFlight = int32(inFlight)
		if d := Choose(c, Request{Key: 7, Prefix: true}); d.Reason != want {
			t.Errorf("with %d calls in flight: %+v, want %s", inFlight, d, want)
		}
	}
}

// Guards against calls with equal content that go to several endpoints: content
// that crashes endpoints would take down each of them.
func TestEqualContentGoesToOneEndpoint(t *testing.T) {
	c := idle(12)
	first := Choose(c, Request{Key: 99, Random: 1})
	if first.Reason != ByContent {
		t.Errorf("reason %s, want %s", first.Reason, ByContent)
	}
	c[first.Index].InFlight, c[first.Index].SameContent = 4, true
	for n := range 20 {
		if d := Choose(c, Request{Key: 99, Random: uint64(n)}); d.Index != first.Index {
			t.Errorf("a copy went to endpoint %d, the first call to %d", d.Index, first.Index)
		}
	}
}

// Guards against calls that leave the data centre while it has a free slot, and
// against a full data centre that spills none.
func TestStaysLocalWhileThereIsAFreeSlot(t *testing.T) {
	c := idle(4)
	c[0].Local = false
	for i := 1; i < 4; i++ {
		c[i].InFlight = 7
	}
	if d := Choose(c, Request{}); d.Reason != ByLoad || !c[d.Index].Local {
		t.Errorf("with a free local slot: %+v", d)
	}
	for i := 1; i < 4; i++ {
		c[i].InFlight = 8
	}
	if d := Choose(c, Request{}); d.Reason != BySpill || d.Index != 0 {
		t.Errorf("with all local slots taken: %+v", d)
	}
}

// Guards against decisions based on expired load reports.
func TestExpiredReportIsIgnored(t *testing.T) {
	c := idle(2)
	c[0].OthersInFlight, c[0].ReportAge = 50, ReportedLoadTTL
	c[1].InFlight = 1
	if d := Choose(c, Request{}); d.Index != 0 {
		t.Errorf("an expired report kept the call from the endpoint")
	}
	c[0].ReportAge = time.Second
	if d := Choose(c, Request{}); d.Index != 1 {
		t.Errorf("a fresh report of 50 calls had no effect")
	}
}

// Guards against an endpoint that gets its full share of calls as soon as it returns.
func TestSlowStartLimitsTheShare(t *testing.T) {
	c := idle(4)
	c[0].SlowStartFactor = 0.25
	for n := range 26 {
		c[Choose(c, Request{Random: uint64(n)}).Index].InFlight++
	}
	if c[0].InFlight > 2 {
		t.Errorf("%d calls on an endpoint with a quarter of 8 slots", c[0].InFlight)
	}
}

// loaded returns n endpoints with random load, every tenth in another data centre.
func loaded(n int) []Candidate {
	rng := rand.New(rand.NewPCG(1, 2))
	c := idle(n)
	for i := range c {
		c[i].InFlight, c[i].OthersInFlight, c[i].ReportAge = int32(rng.IntN(8)), int32(rng.IntN(4)), time.Duration(rng.IntN(6))*time.Second
		c[i].Local = i%10 != 0
	}
	return c
}

// Guards against allocations on the request path.
func TestChooseAllocatesNothing(t *testing.T) {
	c := loaded(600)
	if n := testing.AllocsPerRun(100, func() { Choose(c, Request{Key: 5, Prefix: true}) }); n != 0 {
		t.Errorf("%v allocations per decision", n)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := loaded(n)
			b.ReportAllocs()
			k := uint64(0)
			for b.Loop() {
				k += 0x9e3779b97f4a7c15
				Choose(c, Request{Key: k, Prefix: true, Random: k})
			}
		})
	}
}

func BenchmarkSubset600(b *testing.B) {
	all := append(endpoints(60, "a"), endpoints(540, "b")...)
	for b.Loop() {
		Subset("daemon-1", "a", all)
	}
}
