package catalog

import (
	"fmt"
	"testing"

	"eelgrassgrade/internal/core"
)

func newSnapshot(routes []*Route, keys map[string]*Account) *Snapshot {
	return New(1, routes, nil, keys)
}

// Guards against a request that matches the route with a shorter prefix or of another
// host.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	s := newSnapshot([]*Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "A.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	}, nil)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/z/1", "long"},
		{"A.EXAMPLE:8080", "/x/y/", "long"},
		{"b.example", "/x/y/z/", "other"},
		{"b.example", "/x/y/", ""},
		{"c.example", "/x/", ""},
		{"a.example", "/x", ""},
	} {
		got := ""
		if r := s.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s goes to %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Guards against unknown keys that are accepted although accounts are configured, and
// against requests that are refused although none are.
func TestKeys(t *testing.T) {
	a := &Account{ID: "one"}
	s := newSnapshot(nil, map[string]*Account{"k": a, "": a})
	if got, ok := s.Account("k"); !ok || got != a {
		t.Errorf("known key: %v, %v", got, ok)
	}
	if _, ok := s.Account("other"); ok {
		t.Error("an unknown key is accepted")
	}
	if _, ok := s.Account(""); ok {
		t.Error("a missing key is accepted")
	}
	if _, ok := newSnapshot(nil, map[string]*Account{}).Account("k"); ok {
		t.Error("a key is accepted although the last account was removed")
	}
	if _, ok := newSnapshot(nil, nil).Account(""); !ok {
		t.Error("a key is required although none are configured")
	}
}

func stagesAfter(after ...[]int) []Stage {
	stages := make([]Stage, len(after))
	for i, d := range after {
		stages[i] = Stage{Pool: "a", DependsOn: d}
	}
	return stages
}

// Guards against stages that would wait for each other forever.
func TestStagesThatCannotBeOrdered(t *testing.T) {
	for _, after := range [][][]int{{{0}}, {{1}}, {{-1}}, {{7}}, {{1}, {0}}, {{}, {2}, {1}}, {{}, {0}, {1, 3}, {2}}, {{2}, {0}, {1}}} {
		r := &Route{Name: "r", Host: "h", Prefix: "/", Split: []WeightedPool{{"a", 1}}, Stages: stagesAfter(after...)}
		if New(1, []*Route{r}, nil, nil); r.Unusable == "" || r.StageOrder() != nil {
			t.Errorf("stages after %v are accepted", after)
		}
	}
}

// Guards against a route that is refused since it lists a stage before one that it depends
// on, and against a changed order of stages that could run as they are listed.
func TestStageOrder(t *testing.T) {
	for _, c := range []struct {
		after [][]int
		want  string
	}{
		{nil, "[]"},
		{[][]int{{}, {0}, {0}, {1, 2}, {}}, "[0 1 2 3 4]"},
		{[][]int{{1}, {}}, "[1 0]"},
		{[][]int{{2}, {0, 3}, {}, {2}}, "[2 0 3 1]"},
		{[][]int{{}, {0, 0}}, "[0 1]"},
	} {
		r := &Route{Name: "r", Host: "h", Prefix: "/", Split: []WeightedPool{{"a", 1}}, Stages: stagesAfter(c.after...)}
		newSnapshot([]*Route{r}, nil)
		if got := fmt.Sprint(r.StageOrder()); got != c.want || r.Unusable != "" {
			t.Errorf("stages after %v run in the order %s, want %s", c.after, got, c.want)
		}
	}
}

// Guards against results that the request itself does not get, and against results
// that it gets although another stage uses them.
func TestFinalStages(t *testing.T) {
	r := &Route{Stages: []Stage{{}, {}, {DependsOn: []int{1}}, {DependsOn: []int{2}}}}
	got := r.FinalStages()
	if len(got) != 2 || got[0] != 0 || got[1] != 3 {
		t.Errorf("final stages %v, want [0 3]", got)
	}
}

// Guards against a split that sends requests to a pool of weight 0 or none to one with
// a weight.
func TestPickFollowsTheWeights(t *testing.T) {
	r := &Route{Split: []WeightedPool{{"a", 90}, {"none", 0}, {"b", 10}}}
	count := map[core.PoolID]int{}
	for i := range 1000 {
		count[r.PickPool(float64(i)/1000)]++
	}
	if count["a"] != 900 || count["b"] != 100 || count["none"] != 0 {
		t.Errorf("picked %v, want 900 of a, 100 of b and none of the pool of weight 0", count)
	}
	if got := (&Route{}).PickPool(0.5); got != "" {
		t.Errorf("a route without pools picks %q", got)
	}
}
