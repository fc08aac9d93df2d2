package catalog

import (
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

// Guards against new decisions on configurations that have a kind of request which can
// wait, such as those before the first tight one.
func TestTightConfigurations(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	pools := func() (list []*Pool) {
		for _, id := range []core.PoolID{"a", "b", "c"} {
			list = append(list, &Pool{ID: id, Batching: &Batching{MaxPieces: 14, CallTime: ms(200), PieceTime: ms(12)}})
		}
		return list
	}
	one := []Stage{{Pool: "a"}}
	chain := []Stage{{Pool: "a"}, {Pool: "b", DependsOn: []int{0}}, {Pool: "c", DependsOn: []int{1}}}
	for _, c := range []struct {
		name   string
		routes []*Route
		tight  bool
	}{
		{"no stages", []*Route{{LatencyTarget: ms(200)}}, false},
		{"all targets short", []*Route{{Stages: one, LatencyTarget: ms(1100)}, {Stages: chain, LatencyTarget: ms(1800)}, {LatencyTarget: ms(120)}}, true},
		{"one kind can wait", []*Route{{Stages: one, LatencyTarget: ms(1000)}, {Stages: chain, LatencyTarget: ms(4000)}, {LatencyTarget: ms(150)}}, false},
		{"a short chain with time to spare", []*Route{{Stages: one, LatencyTarget: ms(1500)}, {Stages: chain, LatencyTarget: ms(2500)}, {LatencyTarget: ms(300)}}, false},
		{"no target", []*Route{{Stages: one}}, false},
	} {
		list := pools()
		s := New(1, c.routes, list, nil)
		if s.Tight() != c.tight || list[0].Batching.Tight != c.tight {
			t.Errorf("%s: tight %v, pools %v", c.name, s.Tight(), list[0].Batching.Tight)
		}
	}
}
