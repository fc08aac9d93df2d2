package forward

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
)

// stageShapes are graphs of stages by what each stage depends on, with the choices of
// stages that can be run: 1 for a stage with pieces, 0 for an omitted one.
var stageShapes = []struct {
	name     string
	after    [][]int
	runnable string
}{
	{"one", [][]int{{}}, "0 1"},
	{"two", [][]int{{}, {0}}, "00 11"},
	{"chain", [][]int{{}, {0}, {1}}, "000 111"},
	{"diamond", [][]int{{}, {0}, {0}, {1, 2}}, "0000 1111 1101 1011"},
	{"two roots", [][]int{{}, {}, {0, 1}}, "000 111 101 011"},
	{"beside a chain", [][]int{{}, {}, {1}}, "000 100 011 111 110"},
	{"two ends", [][]int{{}, {0}, {0}}, "000 111 110 101"},
	{"reversed chain", [][]int{{1}, {2}, {}}, "000 111"},
	{"named twice", [][]int{{}, {0, 0}, {1, 0, 1}}, "000 111 101"},
	{"mixed diamond", [][]int{{2}, {0, 3}, {}, {2}}, "0000 1111 1110 0111"},
}

// Guards against a stage that is asked for with the request's key and without inputs since
// all stages that it depends on are omitted, and against an endpoint that gets a request
// without the results that were made for it.
func TestOmittedStages(t *testing.T) {
	for _, shape := range stageShapes {
		for chosen := range 1 << len(shape.after) {
			counts, mask := make([]int, len(shape.after)), ""
			for i := range counts {
				counts[i] = (i + 1) * (chosen >> i & 1)
				mask += fmt.Sprint(chosen >> i & 1)
			}
			withFakePlatform(t, 2, func(p *fakePlatform) {
				p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
					return endpointBehavior{body: "id: 1\ndata: a\n\n"}
				}
				route := &catalog.Route{Name: "shape", Host: "h", Prefix: "/shape/", Stream: true, Attempts: 1, Timeout: 2 * time.Second, Split: []catalog.WeightedPool{{Pool: "p", Weight: 1}}}
				for _, after := range shape.after {
					route.Stages = append(route.Stages, catalog.Stage{Pool: "s", DependsOn: after, ResultBytes: 10})
				}
				p.snapshot = newSnapshot(t, p.snapshot, route)
				got := p.serve(context.Background(), "shape", func(r *Request) { r.PieceCounts, r.PieceKey = counts, "pk" })
				if !slices.Contains(strings.Fields(shape.runnable), mask) {
					if got.err == nil || got.err.Kind != core.Invalid || got.err.Ran != core.RanNot || len(p.tasks)+len(p.requests) > 0 {
						t.Errorf("%s with stages %s: got %+v after %d tasks and %d sends, want a refusal at once", shape.name, mask, got, len(p.tasks), len(p.requests))
					}
					return
				}
				if got.err != nil || len(p.requests) != 1 || len(p.tasks) != strings.Count(mask, "1") {
					t.Fatalf("%s with stages %s: got %+v after %d tasks and %d sends", shape.name, mask, got, len(p.tasks), len(p.requests))
				}
				checkInputs(t, shape.name+" "+mask, p, shape.after, counts)
			})
		}
	}
}

// newSnapshot returns a snapshot with the pools and accounts of another one and one route.
func newSnapshot(t *testing.T, s *catalog.Snapshot, r *catalog.Route) *catalog.Snapshot {
	t.Helper()
	account, _ := s.Account("key")
	changed := catalog.New(s.Version, []*catalog.Route{r}, []*catalog.Pool{s.Pool("s")}, map[string]*catalog.Account{"key": account})
	if r.Unusable != "" {
		t.Fatal(r.Unusable)
	}
	return changed
}

// checkInputs fails the test unless the key went to the stages without dependencies only,
// and all pieces that a stage or the endpoint depends on were its inputs, each once.
func checkInputs(t *testing.T, name string, p *fakePlatform, after [][]int, counts []int) {
	t.Helper()
	made, final := func(inputs []string, stages []int) bool {
		want := 0
		for _, s := range slices.Compact(slices.Sorted(slices.Values(stages))) {
			want += counts[s]
			for piece := range counts[s] {
				if !slices.ContainsFunc(inputs, func(h string) bool { return strings.HasPrefix(h, fmt.Sprintf("r-%d-%d-", s, piece)) }) {
					return false
				}
			}
		}
		return len(inputs) == want
	}, []int(nil)
	for i := range after {
		if !slices.ContainsFunc(after, func(deps []int) bool { return slices.Contains(deps, i) }) {
			final = append(final, i)
		}
	}
	for _, task := range p.tasks {
		if deps := after[task.Stage]; (task.Key == "pk") != (len(deps) == 0) || (len(task.Inputs) == 0) != (len(deps) == 0) || !made(task.Inputs, deps) {
			t.Errorf("%s: stage %d after %v was asked for with key %q and inputs %v", name, task.Stage, deps, task.Key, task.Inputs)
		}
	}
	if inputs := p.requests[0].Inputs; len(inputs) == 0 && len(p.tasks) > 0 || !made(inputs, final) {
		t.Errorf("%s: the endpoint got the inputs %v", name, inputs)
	}
}
