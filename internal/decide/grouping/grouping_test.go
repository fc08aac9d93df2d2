package grouping

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func members(perDC ...int) []Member {
	var out []Member
	for dc, n := range perDC {
		for i := range n {
			out = append(out, Member{ID: fmt.Sprintf("e%d-%d", dc, i), DataCenter: fmt.Sprint("dc", dc)})
		}
	}
	return out
}

// Guards against small pools that are split: calls of few endpoints are not full,
// and one slow endpoint decides the time of its group.
func TestASmallPoolIsOneGroup(t *testing.T) {
	for _, list := range [][]Member{nil, members(1), members(3, 3, 2)} {
		if got := Divide(list); len(got) != 1 || got[0].ID != 0 || len(got[0].Members) != len(list) {
			t.Errorf("%d endpoints: %v", len(list), got)
		}
	}
	for _, g := range Divide(members(6, 1, 5, 1)) {
		if len(g.Members) < minGroupSize {
			t.Errorf("a group of %d endpoints", len(g.Members))
		}
	}
}

// Guards against endpoints in no group or in two, daemons that disagree because
// their lists are ordered differently, and groups that change when an endpoint
// comes or goes: their coordinators would lose what they know of room.
func TestGroupsAreStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := members(rapid.SliceOfN(rapid.IntRange(3, 20), 1, 5).Draw(t, "endpoints")...)
		of := func(list []Member) map[string]int {
			out := map[string]int{}
			for _, g := range Divide(list) {
				for _, m := range g.Members {
					if _, twice := out[m]; twice {
						t.Fatalf("%s is in two groups", m)
					}
					out[m] = g.ID
				}
			}
			return out
		}
		was := of(list)
		if len(was) != len(list) {
			t.Fatalf("%d of %d endpoints are in groups", len(was), len(list))
		}
		for m, g := range of(rapid.Permutation(list).Draw(t, "order")) {
			if was[m] != g {
				t.Fatalf("%s is in group %d or %d", m, was[m], g)
			}
		}
		if len(list) > GroupSize && len(list)%GroupSize != 0 {
			counts := map[string]int{}
			for _, m := range list {
				counts[m.DataCenter]++
			}
			if counts["dc0"]%GroupSize != 0 {
				for m, g := range of(append(list, Member{ID: "new", DataCenter: "dc0"})) {
					if m != "new" && was[m] != g {
						t.Fatalf("a new endpoint moves %s from group %d to %d", m, was[m], g)
					}
				}
			}
		}
	})
}

// Pattern: 17 endpoints in three data centres. Tasks stay where their inputs are,
// spread by the groups' sizes where nothing is near, and go elsewhere only for a
// wait that is longer by more than the margin.
func TestTasksStayNearTheirInputs(t *testing.T) {
	groups := Divide(members(6, 6, 5))
	if len(groups) != 3 {
		t.Fatalf("groups %v", groups)
	}
	none := func(Group) time.Duration { return 0 }
	spread := map[int]int{}
	for i := range 3000 {
		key := fmt.Sprint("r", i)
		if g := Choose(key, "dc1", groups, none); g.DataCenters[0] != "dc1" {
			t.Fatalf("a task with inputs in dc1 goes to %v", g.DataCenters)
		}
		spread[Choose(key, "", groups, none).ID]++
	}
	for _, g := range groups {
		if want := 3000 * len(g.Members) / 17; spread[g.ID] < want*8/10 || spread[g.ID] > want*12/10 {
			t.Errorf("%d tasks for a group of %d, want about %d", spread[g.ID], len(g.Members), want)
		}
	}
	away := 0
	for i := range 3000 {
		g := Choose(fmt.Sprint("r", i), "dc1", groups, func(g Group) time.Duration {
			if g.DataCenters[0] == "dc1" {
				return maxExtraLocalWait + time.Millisecond
			}
			return 0
		})
		if g.DataCenters[0] != "dc1" {
			away++
		}
	}
	if away < 1500 || away > 2400 {
		t.Errorf("%d of 3000 tasks leave a group that waits longer; about 11 of 17 should", away)
	}
}

// Guards against requests that are let in because some group of a stage has a
// short queue, and then wait in the long one near their inputs.
func TestWaitIsThatOfTheGroupsInReach(t *testing.T) {
	groups := Divide(members(6, 6, 5))
	waits := map[string]time.Duration{"dc0": 0, "dc1": 100 * time.Millisecond, "dc2": 3 * time.Second}
	wait := func(g Group) time.Duration { return waits[g.DataCenters[0]] }
	for near, want := range map[string]time.Duration{"dc0": 0, "dc1": 100 * time.Millisecond, "dc2": maxExtraLocalWait, "other": 0} {
		if got := EstimateWait(near, groups, wait); got != want {
			t.Errorf("near %s: %v, want %v", near, got, want)
		}
	}
	if got := EstimateWait("dc0", nil, wait); got != 0 {
		t.Errorf("without groups: %v", got)
	}
}
