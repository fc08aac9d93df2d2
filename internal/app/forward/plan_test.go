package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
)

// Guards against admitting requests whose target is missed because of the stages'
// queues, and against refusing requests with a tight target while the queues are short.
func TestAdmissionByQueueAndTarget(t *testing.T) {
	for _, c := range []struct {
		wait, target time.Duration
		admitted     bool
	}{
		{0, time.Second, true},
		{200 * time.Millisecond, time.Second, true},
		{200 * time.Millisecond, 100 * time.Millisecond, true},
		{400 * time.Millisecond, 100 * time.Millisecond, false},
		{400 * time.Millisecond, 1500 * time.Millisecond, true},
		{600 * time.Millisecond, time.Second, false},
	} {
		withFakePlatform(t, 1, func(p *fakePlatform) {
			p.respond = func(_ core.Endpoint, _ *EndpointRequest, _ int) endpointBehavior {
				return endpointBehavior{body: "id: 1\ndata: a\n\n"}
			}
			p.queueWait = c.wait
			p.snapshot.Match("h", "/staged/1").LatencyTarget = c.target
			got := p.serve(context.Background(), "staged", func(r *Request) { r.PieceCounts = []int{1, 1} })
			if admitted := got.err == nil; admitted != c.admitted {
				t.Errorf("wait %v at each of two stages, target %v: %v", c.wait, c.target, got.err)
			}
		})
	}
}

// Guards against a wrong number of later stages, which need a part of the time that is
// left.
func TestPlanCountsLaterStages(t *testing.T) {
	withFakePlatform(t, 1, func(p *fakePlatform) {
		r := p.snapshot.Match("h", "/staged/1")
		noWait := func(int) time.Duration { return 0 }
		for _, c := range []struct{ pieces, want []int }{{[]int{1, 1}, []int{1, 0}}, {[]int{1, 0}, []int{0, 0}}} {
			if got := newPlan(r, p.snapshot, c.pieces, 0, noWait).laterStages; !slices.Equal(got, c.want) {
				t.Errorf("pieces %v: %v later stages, want %v", c.pieces, got, c.want)
			}
		}
	})
}

// Guards against times and counts of later stages that depend on the order in which a route
// lists its stages.
func TestPlanDoesNotDependOnTheOrderOfStages(t *testing.T) {
	withFakePlatform(t, 1, func(p *fakePlatform) {
		graph := [][]int{{}, {0}, {0}, {1, 2}, {}, {3, 4}}
		plans := func(place []int) (plan, *catalog.Snapshot) {
			route := &catalog.Route{Name: "r", Host: "h", Prefix: "/r/", Split: []catalog.WeightedPool{{Pool: "p", Weight: 1}}, LatencyTarget: time.Second, Stages: make([]catalog.Stage, len(graph))}
			counts := make([]int, len(graph))
			for i, after := range graph {
				stage := catalog.Stage{Pool: "s"}
				for _, d := range after {
					stage.DependsOn = append(stage.DependsOn, place[d])
				}
				route.Stages[place[i]], counts[place[i]] = stage, i+1
			}
			snapshot := newSnapshot(t, p.snapshot, route)
			return newPlan(route, snapshot, counts, 200*time.Millisecond, func(stage int) time.Duration {
				return time.Duration(slices.Index(place, stage)) * 100 * time.Millisecond
			}), snapshot
		}
		want, wantSnapshot := plans([]int{0, 1, 2, 3, 4, 5})
		random := rand.New(rand.NewPCG(1, 2))
		for range 200 {
			place := random.Perm(len(graph))
			got, snapshot := plans(place)
			if got.expectedTime != want.expectedTime || got.unqueuedTime != want.unqueuedTime || snapshot.Tight() != wantSnapshot.Tight() {
				t.Fatalf("stages at %v: expected %v, %v without queues, tight %v; want %v, %v, %v", place, got.expectedTime, got.unqueuedTime, snapshot.Tight(), want.expectedTime, want.unqueuedTime, wantSnapshot.Tight())
			}
			for i, at := range place {
				if got.callTimes[at] != want.callTimes[i] || got.timesToFirstEvent[at] != want.timesToFirstEvent[i] || got.laterStages[at] != want.laterStages[i] {
					t.Fatalf("stages at %v: stage %d is planned differently", place, i)
				}
			}
		}
	})
}
