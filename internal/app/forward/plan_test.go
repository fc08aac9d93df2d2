package forward

import (
	"context"
	"slices"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
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
