package fleet

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"eelgrassgrade/internal/core"
)

// idle returns a fleet that exchanges with no one, on a clock of its own.
func idle() (*Fleet, *time.Time) {
	now := time.Unix(1000, 0)
	f := New(Options{Self: Member{ID: "self", Address: "self"}, Events: noEvents{}, OnStatus: func(*Status) {},
		Source: func() *Status { return &Status{} }, Now: func() time.Time { return now }})
	return f, &now
}

// summed is a view's sums, added up from the statuses themselves.
func summed(live map[string]*Status) *View {
	v := &View{Loads: map[core.InstanceID]EndpointLoad{}, Waits: map[StageGroup]map[core.InstanceID][]time.Duration{}, Newest: map[string]Holder{}}
	for _, s := range live {
		for _, l := range s.Loads {
			sum := v.Loads[l.Endpoint]
			v.Loads[l.Endpoint] = EndpointLoad{Endpoint: l.Endpoint, Running: sum.Running + l.Running,
				PrefillTokens: sum.PrefillTokens + l.PrefillTokens, Failing: sum.Failing || l.Failing}
		}
		for _, w := range s.Waits {
			if v.Waits[w.StageGroup] == nil {
				v.Waits[w.StageGroup] = map[core.InstanceID][]time.Duration{}
			}
			v.Waits[w.StageGroup][s.Member.ID] = w.Wait
		}
		for table, version := range s.Tables {
			if version > v.Newest[table].Version {
				v.Newest[table] = Holder{Version: version}
			}
		}
		if !s.Leaving {
			v.Alive = append(v.Alive, s.Member)
		}
	}
	return v
}

// Guards against sums that drift from what the live daemons told last: after
// statuses that replace each other, restarts, losses and returns, a view holds
// what adding up all statuses gives.
func TestTotalsAreTheSumOfTheLastStatuses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, now := idle()
		live, heard := map[string]*Status{}, map[string]time.Time{}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			*now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 5).Draw(t, "daemon")
			s := &Status{Member: member(i), Incarnation: int64(rapid.IntRange(1, 3).Draw(t, "incarnation")), Leaving: rapid.Bool().Draw(t, "leaving"),
				Tables: map[string]int64{"t": int64(rapid.IntRange(0, 9).Draw(t, "version"))}}
			for e := range rapid.IntRange(0, 3).Draw(t, "loads") {
				s.Loads = append(s.Loads, EndpointLoad{Endpoint: core.InstanceID(fmt.Sprint("e", e)), Running: rapid.IntRange(0, 3).Draw(t, "running"),
					PrefillTokens: rapid.IntRange(0, 9).Draw(t, "tokens"), Failing: rapid.Bool().Draw(t, "failing")})
			}
			for g := range rapid.IntRange(0, 2).Draw(t, "groups") {
				s.Waits = append(s.Waits, GroupWait{StageGroup{"p", g}, []time.Duration{time.Duration(g + 1)}})
			}
			f.refresh()
			for a := range live {
				if now.Sub(heard[a]) >= aliveFor {
					delete(live, a)
				}
			}
			f.heard(s)
			if f.peers[s.Member.Address].status == s {
				live[s.Member.Address], heard[s.Member.Address] = s, *now
			}
			f.refresh()
			got, want := f.View(), summed(live)
			newest := map[string]Holder{}
			for table, h := range got.Newest {
				if h.Version > 0 {
					newest[table] = Holder{Version: h.Version}
					if live[h.Address].Tables[table] != h.Version {
						t.Fatalf("%s does not have version %d", h.Address, h.Version)
					}
				}
			}
			if !maps.Equal(got.Loads, want.Loads) || !maps.Equal(newest, want.Newest) || len(got.Alive) != len(want.Alive)+1 {
				t.Fatalf("the view is %+v, the statuses add up to %+v", got, want)
			}
			if !maps.EqualFunc(got.Waits, want.Waits, func(a, b map[core.InstanceID][]time.Duration) bool {
				return maps.EqualFunc(a, b, slices.Equal[[]time.Duration])
			}) {
				t.Fatalf("waits are %v, want %v", got.Waits, want.Waits)
			}
		}
	})
}

// large returns a fleet that knows n peers, and a status of one of them.
func large(n int) (*Fleet, *time.Time, func(i int) *Status) {
	f, now := idle()
	status := func(i int) *Status {
		s := &Status{Member: member(i % n), Incarnation: 1, Tables: map[string]int64{"t": 1}}
		for e := range 10 {
			s.Loads = append(s.Loads, EndpointLoad{Endpoint: core.InstanceID(fmt.Sprint("e", (i+e)%200)), Running: e})
		}
		return s
	}
	for i := range n {
		f.heard(status(i))
	}
	return f, now, status
}

// Pattern: 195 and more daemons, each of which hears 80 statuses a second. What a
// status costs must not grow with the number of daemons, or the work of all grows
// with its third power.
func TestAStatusCostsTheSameInALargeFleet(t *testing.T) {
	cost := func(n int) float64 {
		f, _, status := large(n)
		s := status(1)
		return testing.AllocsPerRun(100, func() { f.heard(s) })
	}
	if small, many := cost(8), cost(330); many > small+2 {
		t.Errorf("a status makes %.0f allocations among 330 daemons, %.0f among 8", many, small)
	}
}

// Guards against sums that are old when they are read: work would go to endpoints
// that are full by now.
func TestSumsAreCurrentWhenRead(t *testing.T) {
	f, now, _ := large(20)
	f.refresh()
	f.heard(&Status{Member: member(3), Incarnation: 1, Tables: map[string]int64{"t": 1}, Loads: []EndpointLoad{{Endpoint: "new", Running: 7}}})
	*now = now.Add(viewAge)
	if got := f.View().Loads["new"].Running; got != 7 {
		t.Errorf("%v after a daemon told of 7 requests the view has %d", viewAge, got)
	}
}

func BenchmarkHeard(b *testing.B) {
	for _, n := range []int{8, 62, 195, 330} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, now, status := large(n)
			list := make([]*Status, n)
			for i := range list {
				list[i] = status(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				*now = now.Add(12 * time.Millisecond)
				f.heard(list[i%n])
				f.View()
			}
		})
	}
}
