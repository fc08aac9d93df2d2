package fairqueue

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"eelgrassgrade/internal/core"
)

var epoch = time.Unix(0, 0)

func account(i int) core.AccountID { return core.AccountID(fmt.Sprint("a", i)) }

// Guards against entries that are lost, served twice or dropped twice, against
// counters that differ from the queue's content, and against memory that grows
// with accounts that no longer have entries.
func TestEveryEntryLeavesOnceAndMemoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{MaxPerRank: rapid.IntRange(1, 12).Draw(t, "per_rank"), MaxPerAccount: rapid.IntRange(1, 6).Draw(t, "per_account")}
		c.MaxTotal = rapid.IntRange(c.MaxPerRank, 3*c.MaxPerRank).Draw(t, "total")
		c.Floors = [core.NumRanks]float64{0.2, 0.2, 0.05}
		queued, expiry := map[int]Handle[int]{}, map[int]time.Time{}
		now, next, arriving := epoch, 0, 0
		markLeft := func(v int) {
			if _, ok := queued[v]; !ok {
				t.Fatalf("entry %d left the queue but was not in it", v)
			}
			delete(queued, v)
		}
		q := New(c, func(it Item[int], r Reason) {
			if it.Value == arriving {
				return // refused at arrival
			}
			if r == Expired && now.Before(expiry[it.Value]) {
				t.Fatalf("entry %d dropped before it expired", it.Value)
			}
			markLeft(it.Value)
		})
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				next++
				arriving = next
				expiry[next] = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "expires")) * time.Millisecond)
				h, r := q.Push(now, Item[int]{
					Account: account(rapid.IntRange(0, 5000).Draw(t, "account") % (1 + 2*c.MaxPerRank)),
					Weight:  rapid.Float64Range(0.1, 10).Draw(t, "weight"), Rank: core.Rank(rapid.IntRange(0, 2).Draw(t, "rank")),
					Cost: rapid.Float64Range(0.001, 1).Draw(t, "cost"), Expires: expiry[next], Value: next,
				})
				if r == Queued {
					queued[next] = h
				}
				arriving = 0
			case 2:
				if it, _, ok := q.Pop(now); ok {
					if !now.Before(expiry[it.Value]) {
						t.Fatalf("entry %d served after it expired", it.Value)
					}
					markLeft(it.Value)
				}
			case 3:
				for v := 1; v <= next; v++ {
					if h, ok := queued[v]; ok {
						if got := q.Remove(now, h).Value; got != v {
							t.Fatalf("removed %d instead of %d", got, v)
						}
						delete(queued, v)
						break
					}
				}
			}
			checkCounters(t, q, c, len(queued))
		}
	})
}

// checkCounters compares the counters and heaps of q, which has want entries, with its
// content.
func checkCounters(t *rapid.T, q *Queue[int], c Config, want int) {
	sum, nodes := 0, q.Len()+len(q.freeNodes)
	for r, b := range q.ranks {
		flows, cost, weight := 0, 0.0, 0.0
		for _, f := range b.flows {
			if f.length > 0 {
				flows++
				weight += f.weight
			}
			n := 0
			for e := f.head; e != nil; e = e.next {
				n++
				cost += e.item.Cost
			}
			if n != f.length || n > c.MaxPerAccount {
				t.Fatalf("rank %d: flow has %d entries, counter %d, bound %d", r, n, f.length, c.MaxPerAccount)
			}
			sum += n
		}
		if flows != len(b.byStartTag.items) || flows != len(b.byBacklog.items) || len(b.flows)-flows != len(b.byFinishTag.items) || len(b.byFinishTag.items) > MaxIdleAccounts {
			t.Fatalf("rank %d: %d flows with entries, %d by start tag, %d by backlog, %d idle", r, flows, len(b.byStartTag.items), len(b.byBacklog.items), len(b.byFinishTag.items))
		}
		if math.Abs(cost-b.cost) > 1e-6 || math.Abs(weight-b.weight) > 1e-6 || b.length > c.MaxPerRank {
			t.Fatalf("rank %d: cost %g want %g, weight %g want %g, length %d", r, b.cost, cost, b.weight, weight, b.length)
		}
	}
	if sum != want || q.Len() != want || want > c.MaxTotal || nodes > c.MaxTotal+1 {
		t.Fatalf("%d entries, counter %d, want %d of at most %d, %d nodes", sum, q.Len(), want, c.MaxTotal, nodes)
	}
}

// Guards against a rank that gets less than its floor, and against floors that
// take more than their fraction from urgent work, for any costs and arrivals.
func TestFloorsHoldUnderFlood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var floors [core.NumRanks]float64
		left := 1.0
		for r := range floors {
			floors[r] = rapid.Float64Range(0, left).Draw(t, "floor")
			left -= floors[r]
		}
		q := New(Config{Floors: floors}, func(Item[int], Reason) { t.Fatal("nothing may be dropped") })
		const maxCost = 1.0
		var served [core.NumRanks]float64
		push := func(r int) {
			q.Push(epoch, Item[int]{Account: "x", Rank: core.Rank(r), Cost: rapid.Float64Range(0.01, maxCost).Draw(t, "cost")})
		}
		for r := range floors {
			push(r)
			push(r)
		}
		total := 0.0
		for range rapid.IntRange(1, 300).Draw(t, "served") {
			it, _, _ := q.Pop(epoch)
			served[it.Rank] += it.Cost
			total += it.Cost
			push(int(it.Rank))
			for r, f := range floors {
				// A rank waits at most until its credit covers one entry and the
				// more urgent ranks have used their credit.
				if served[r] < f*total-3*maxCost {
					t.Fatalf("rank %d got %g of %g, floor %g", r, served[r], total, f)
				}
			}
			lower := served[core.Normal] + served[core.Bulk]
			if most := (floors[core.Normal] + floors[core.Bulk]) * total; lower > most+1e-9 {
				t.Fatalf("less urgent ranks got %g while urgent work waited, want at most %g by their floors", lower, most)
			}
		}
	})
}

// Guards against an account with a backlog that gets more or less than its weight
// entitles it to. The bound is that of start-time fair queueing.
func TestWeightedFairnessBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "accounts")
		weights, served := make([]float64, n), make([]float64, n)
		q := New(Config{}, func(Item[int], Reason) {})
		const maxCost = 2.0
		push := func(i int) {
			q.Push(epoch, Item[int]{Account: account(i), Weight: weights[i], Cost: rapid.Float64Range(0.01, maxCost).Draw(t, "cost"), Value: i})
		}
		for i := range n {
			weights[i] = rapid.Float64Range(0.1, 10).Draw(t, "weight")
			push(i)
			push(i)
		}
		for range rapid.IntRange(1, 200).Draw(t, "served") {
			it, _, _ := q.Pop(epoch)
			served[it.Value] += it.Cost
			push(it.Value)
			for i := range n {
				for j := range i {
					bound := maxCost/weights[i] + maxCost/weights[j]
					if d := math.Abs(served[i]/weights[i] - served[j]/weights[j]); d > bound+1e-9 {
						t.Fatalf("accounts %d and %d differ by %g, bound %g", i, j, d, bound)
					}
				}
			}
		}
	})
}

// Guards against a flood from one account that evicts entries of small accounts or
// other ranks from a full queue.
func TestTheLongestBacklogIsEvicted(t *testing.T) {
	var dropped []core.AccountID
	q := New(Config{MaxPerRank: 8, MaxPerAccount: 8, MaxTotal: 12, Floors: [core.NumRanks]float64{0.2, 0.2, 0.5}},
		func(it Item[int], r Reason) {
			dropped = append(dropped, core.AccountID(r.String()+" "+string(it.Account)))
		})
	push := func(a core.AccountID, w float64, r core.Rank) Reason {
		_, reason := q.Push(epoch, Item[int]{Account: a, Weight: w, Rank: r})
		return reason
	}
	for range 8 {
		push("large", 1, core.Normal)
	}
	if r, small := push("large", 1, core.Normal), push("small", 1, core.Normal); r != AccountFull || small != Queued {
		t.Errorf("ninth entry of one account: %v, first entry of another: %v", r, small)
	}
	for range 3 {
		push("heavy", 10, core.Normal)
	}
	for range 5 {
		push("bulk", 1, core.Bulk)
	}
	// Twelve entries are queued. Five of them are bulk, which is within its floor of
	// six, so an entry of the next more urgent rank is evicted.
	if r := push("urgent", 1, core.Urgent); r != Queued {
		t.Errorf("urgent entry: %v", r)
	}
	want := "[account_full large longest_backlog large longest_backlog large longest_backlog large longest_backlog large longest_backlog large longest_backlog large]"
	if got := fmt.Sprint(dropped); got != want {
		t.Errorf("dropped:\n%s\nwant\n%s", got, want)
	}
	if q.AccountLen(core.Normal, "small") != 1 || q.AccountLen(core.Normal, "heavy") != 3 || q.RankLen(core.Bulk) != 5 {
		t.Error("an account or rank within its share lost an entry")
	}
}

// Guards against an account that gets a new start tag because its queue was empty for
// a moment: an account that sends one call at a time must not get more service
// than its weight entitles it to.
func TestIdleAccountsKeepTheirTags(t *testing.T) {
	q := New(Config{}, func(Item[string], Reason) {})
	served := map[string]int{}
	push := func(a string, w float64) {
		q.Push(epoch, Item[string]{Account: core.AccountID(a), Weight: w, Cost: 1, Value: a})
	}
	for range 4 {
		push("backlogged", 9)
	}
	for range 1000 {
		if q.AccountLen(0, "single") == 0 {
			push("single", 1)
		}
		it, _, _ := q.Pop(epoch)
		served[it.Value]++
		if it.Value == "backlogged" {
			push("backlogged", 9)
		}
	}
	if s := served["single"]; s < 98 || s > 102 {
		t.Errorf("weight 1 beside 9 got %d of 1000", s)
	}
}

// Guards against estimated waits that ignore the account's own backlog, the more
// urgent ranks or the floor.
func TestEstimateWaitFollowsTheQueue(t *testing.T) {
	fill := func(floors [core.NumRanks]float64) *Queue[int] {
		q := New(Config{Floors: floors}, func(Item[int], Reason) {})
		for range 100 {
			q.Push(epoch, Item[int]{Account: "large", Rank: core.Normal, Cost: 1})
		}
		return q
	}
	q := fill([core.NumRanks]float64{0, 0, 0.1})
	large, small := q.EstimateWait(core.Normal, "large", 1, 10), q.EstimateWait(core.Normal, "small", 1, 10)
	if large < 9*time.Second || large > 11*time.Second || small > time.Second {
		t.Errorf("wait of the large account %v, of a small one %v", large, small)
	}
	if w := q.EstimateWait(core.Urgent, "large", 1, 10); w != 0 {
		t.Errorf("urgent work waits %v behind normal work", w)
	}
	if w := fill([core.NumRanks]float64{}).EstimateWait(core.Bulk, "small", 1, 10); w < 9*time.Second {
		t.Errorf("bulk work without a floor waits only %v behind normal work", w)
	}
	if w := q.EstimateWait(core.Bulk, "small", 1, 10); w < 900*time.Millisecond || w > 1100*time.Millisecond {
		t.Errorf("bulk work with a floor of one slot waits %v for a call of 1 s", w)
	}
	for range 10 {
		q.Push(epoch, Item[int]{Account: "bulk", Rank: core.Bulk, Cost: 1})
	}
	if w := q.EstimateWait(core.Bulk, "bulk", 1, 10); w < 10*time.Second || w > 12*time.Second {
		t.Errorf("bulk work with a floor of 0.1 waits %v for 10 s of its own work", w)
	}
}

// Guards against usage reports that count an account with a short backlog like one
// that always has a backlog.
func TestReportWeighsByTime(t *testing.T) {
	q := New(Config{}, func(Item[int], Reason) {})
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	q.Push(at(0), Item[int]{Account: "always", Weight: 2, Rank: core.Bulk})
	h, _ := q.Push(at(4), Item[int]{Account: "short", Weight: 2})
	q.Remove(at(6), h)
	for round, want := range []string{"map[always:2 short:0.4] 1", "map[always:1] 0.5", "map[] 0"} {
		if round == 1 {
			q.Pop(at(15))
		}
		got := map[core.AccountID]float64{}
		busy := q.Report(at(10*round+10), func(a core.AccountID, w float64) { got[a] = w })
		if s := fmt.Sprint(got, " ", busy); s != want {
			t.Errorf("report %d: %s, want %s", round, s, want)
		}
	}
}

// BenchmarkDecision measures an estimated wait, a push that evicts an entry of a
// full queue, and a pop for every second push, with 1,300 accounts.
func BenchmarkDecision(b *testing.B) {
	names := make([]core.AccountID, 1300)
	for i := range names {
		names[i] = account(i)
	}
	q := New(Config{Floors: [core.NumRanks]float64{0.2, 0.2, 0.05}}, func(Item[int], Reason) {})
	i := 0
	push := func() {
		i++
		q.Push(epoch, Item[int]{Account: names[i*7%len(names)], Weight: float64(1 + i%3), Rank: core.Rank(i % core.NumRanks),
			Cost: 0.1, Expires: epoch.Add(time.Hour + time.Duration(i%1000)*time.Millisecond)})
	}
	for range 4 * len(names) {
		push()
	}
	b.ReportAllocs()
	for b.Loop() {
		q.EstimateWait(core.Rank(i%core.NumRanks), names[i*7%len(names)], 0.1, 32)
		push()
		if i%2 == 0 { // two arrivals for each call served keep the queue full
			q.Pop(epoch)
		}
	}
}
