package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

var t0 = time.Now()

func list(ids ...core.InstanceID) []core.Instance {
	var instances []core.Instance
	for _, id := range ids {
		instances = append(instances, core.Instance{ID: id, Role: core.RoleEndpoint, Pool: "p", State: core.Live})
	}
	return instances
}

func announce(ids ...core.InstanceID) []Leave {
	var leaves []Leave
	for _, id := range ids {
		leaves = append(leaves, Leave{Instance: id})
	}
	return leaves
}

// Guards against an outdated instance list that undoes a leave.
func TestLeaveIsFinal(t *testing.T) {
	s := NewState("self", "a")
	leaving := list("e")
	leaving[0].State = core.Leaving
	s.ApplyList(t0, leaving)
	s.ApplyList(t0.Add(time.Second), list("e"))
	if v := s.View(nil); !v.Leaving["e"] || len(v.Endpoints["p"]) != 0 {
		t.Errorf("the endpoint is used again: %+v", v)
	}
}

// Guards against a leave that no daemon forgets after its instance is gone, because
// each daemon that has forgotten it learns it again from another one.
func TestAllDaemonsForgetALeaveTogether(t *testing.T) {
	a, b := NewState("a", "a"), NewState("b", "b")
	a.ApplyLeaves(t0, announce("e"))
	a.ApplyList(t0, list())
	// b learns the leave from a just before a forgets it.
	now := t0.Add(ForgetAfter - time.Second)
	b.ApplyList(now, list())
	b.ApplyLeaves(now, a.Leaves(now))
	now = now.Add(2 * time.Second)
	a.ApplyList(now, list())
	b.ApplyList(now, list())
	b.ApplyLeaves(now, a.Leaves(now))
	a.ApplyLeaves(now, b.Leaves(now))
	if len(a.Leaves(now))+len(b.Leaves(now)) != 0 || a.Hash() != 0 {
		t.Errorf("a %v, b %v", a.Leaves(now), b.Leaves(now))
	}
	// The record in the table service is kept for longer. It counts again only if
	// the instance is listed again.
	if added := a.ApplyRecords(now, []LeaveRecord{{Instance: "e", Age: time.Hour}}); len(added) != 0 {
		t.Errorf("an old record restores the leave: %v", added)
	}
	a.ApplyList(now.Add(time.Second), list("e"))
	if added := a.ApplyRecords(now.Add(time.Second), []LeaveRecord{{Instance: "e", Age: time.Hour}}); len(added) != 1 {
		t.Error("the record of a listed instance is ignored")
	}
}

// Guards against forgetting the leave of an instance that is still listed, and
// against forgetting leaves while the list cannot be read.
func TestLeaveOfListedInstanceIsKept(t *testing.T) {
	s := NewState("self", "a")
	s.ApplyLeaves(t0, announce("e", "gone"))
	s.ApplyList(t0, list("e"))
	s.ApplyRecords(t0.Add(time.Hour), nil)
	if len(s.Leaves(t0)) != 2 {
		t.Error("a leave was forgotten although the list was not read")
	}
	s.ApplyList(t0.Add(time.Hour), list("e"))
	if got := s.Leaves(t0.Add(time.Hour)); len(got) != 1 || got[0].Instance != "e" {
		t.Errorf("leaves %v", got)
	}
}

// Guards against a set of leaves that grows without bound, and against dropping the
// leave of an instance that is still listed in favour of a new one.
func TestLeavesAreBounded(t *testing.T) {
	s := NewState("self", "a")
	var ids []core.InstanceID
	for i := range MaxLeaves {
		ids = append(ids, core.InstanceID(fmt.Sprint("e", i)))
	}
	s.ApplyList(t0, list(ids[1:]...))
	s.ApplyLeaves(t0, announce(ids...))
	if s.ApplyLeaves(t0, announce("new")); !s.IsLeaving("new") || s.IsLeaving("e0") {
		t.Error("the new leave did not replace that of the absent instance")
	}
	s.ApplyList(t0.Add(1), list(append(ids, "new")...))
	if s.ApplyLeaves(t0, announce("other")); s.IsLeaving("other") || len(s.Leaves(t0)) != MaxLeaves {
		t.Errorf("%d leaves", len(s.Leaves(t0)))
	}
}

// Guards against a view learnt from a peer that counts as newer than it is.
func TestPeerViewAgeIsAdded(t *testing.T) {
	s := NewState("self", "a")
	s.ApplyList(t0, list())
	s.ApplyPeer(t0.Add(5*time.Second), 2*time.Second, -1, nil)
	if got := s.View(nil).Age(t0.Add(6 * time.Second)); got != 3*time.Second {
		t.Errorf("age %s, want 3 s", got)
	}
	s.ApplyPeer(t0.Add(6*time.Second), -1, -1, nil)
	s.ApplyPeer(t0.Add(6*time.Second), 5*time.Second, -1, nil)
	if got := s.View(nil).Age(t0.Add(6 * time.Second)); got != 3*time.Second {
		t.Errorf("a peer with an older view or none set the age to %s", got)
	}
}

// Guards against missed pauses and against normal ticks that count as pauses.
func TestPauseDetector(t *testing.T) {
	for _, c := range []struct {
		mono, wall time.Duration
		want       bool
	}{
		{TickInterval, TickInterval, false}, {MaxTickGap, MaxTickGap, false}, {MaxTickGap + 1, MaxTickGap + 1, true},
		{TickInterval, time.Hour, true}, {TickInterval, -time.Hour, true}, // the machine was suspended or its clock set
	} {
		var p PauseDetector
		if p.Tick(0, t0) {
			t.Error("the first tick counts as a pause")
		}
		if got := p.Tick(c.mono, t0.Add(c.wall)); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// Guards against more than 40 reads of a record per second, at any number of daemons.
func TestPollInterval(t *testing.T) {
	for _, n := range []int{1, 8, 40, 41, 330, 5000} {
		d := PollInterval(n)
		if d < time.Second || float64(n)/d.Seconds() > maxPollsPerS+1e-9 {
			t.Errorf("%d daemons poll every %s", n, d)
		}
	}
}

func daemonsPerCenter(perCenter ...int) []core.Instance {
	var instances []core.Instance
	for dc, n := range perCenter {
		for i := range n {
			instances = append(instances, core.Instance{ID: core.InstanceID(fmt.Sprintf("d%d-%d", dc, i)), DataCenter: core.DataCenterID(fmt.Sprint("dc", dc))})
		}
	}
	return instances
}

// Guards against events that are not relayed to other data centres, targets that
// are chosen twice, and starting daemons that ask only one data centre.
func TestTargets(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct {
		all                                      []core.Instance
		relay, relayRemote, start, startupRemote int
	}{{daemonsPerCenter(10, 10, 10), 4, 1, 8, 4}, {daemonsPerCenter(10), 4, 0, 8, 0}, {daemonsPerCenter(1, 10), 4, 3, 8, 7}, {daemonsPerCenter(0, 2), 2, 2, 2, 2}, {nil, 0, 0, 0, 0}} {
		relay, start := RelayTargets(rng, "dc0", c.all), StartupPeers(rng, "dc0", c.all, 8)
		if len(relay) != c.relay || countRemote(relay) != c.relayRemote || len(start) != c.start || countRemote(start) != c.startupRemote {
			t.Errorf("%d daemons: %d relay targets, %d of them remote; %d startup peers, %d of them remote", len(c.all), len(relay), countRemote(relay), len(start), countRemote(start))
		}
		seen := map[core.InstanceID]bool{}
		for _, r := range relay {
			if seen[r.ID] {
				t.Errorf("%s is chosen twice", r.ID)
			}
			seen[r.ID] = true
		}
	}
}

func countRemote(list []core.Instance) int {
	n := 0
	for _, i := range list {
		if i.DataCenter != "dc0" {
			n++
		}
	}
	return n
}

// Guards against keys whose aggregator changes when another daemon leaves.
func TestUsageAggregatorIsStable(t *testing.T) {
	all := daemonsPerCenter(10)
	moved := 0
	for i := range 1000 {
		key := fmt.Sprint("account", i)
		before, _ := UsageAggregator(key, "dc0", all)
		after, _ := UsageAggregator(key, "dc0", all[1:])
		if before.ID != after.ID {
			moved++
			if before.ID != all[0].ID {
				t.Fatalf("%s moved from %s to %s", key, before.ID, after.ID)
			}
		}
	}
	if moved < 50 || moved > 200 {
		t.Errorf("one of 10 daemons aggregated %d of 1000 keys", moved)
	}
}
