package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassgrade/internal/core"
)

// network connects fleets; cut holds the addresses that nothing reaches.
type network struct {
	mu     sync.Mutex
	fleets map[string]*Fleet
	cut    map[string]bool
	// mute holds the addresses whose own exchanges reach nothing.
	mute      map[string]bool
	drops     atomic.Int32
	exchanges atomic.Int32
	announced atomic.Int32
	// loads is what the first fleet tells.
	loads atomic.Pointer[EndpointLoad]
}

func (n *network) Exchange(ctx context.Context, address string, s *Status) (*Status, error) {
	time.Sleep(5 * time.Millisecond)
	n.mu.Lock()
	f, cut := n.fleets[address], n.cut[address] || n.cut[s.Member.Address] || n.mute[s.Member.Address]
	n.mu.Unlock()
	n.exchanges.Add(1)
	if cut || f == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	r := f.Receive(s)
	if r == nil {
		return nil, errors.New("no status")
	}
	return r, nil
}

func (n *network) Announce(_ context.Context, address string, r Reading) error {
	time.Sleep(5 * time.Millisecond)
	n.announced.Add(1)
	n.mu.Lock()
	f := n.fleets[address]
	n.mu.Unlock()
	f.Announced(r)
	return nil
}

func (n *network) Drop(string) {
	n.drops.Add(1)
}

func (n *network) set(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

func (n *network) oneWay(address string, mute bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mute[address] = mute
}

type noEvents struct{}

func (noEvents) PeerAlive(Member)               {}
func (noEvents) PeerLost(Member, time.Duration) {}

func member(i int) Member {
	return Member{ID: core.InstanceID(fmt.Sprint("d", i)), Address: fmt.Sprint("a", i)}
}

// start runs n fleets of which each knows only the first.
func start(t *testing.T, n int, f func(*network, []*Fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		net := &network{fleets: map[string]*Fleet{}, cut: map[string]bool{}, mute: map[string]bool{}}
		var list []*Fleet
		for i := range n {
			x := New(Options{Self: member(i), Transport: net, Events: noEvents{}, OnStatus: func(*Status) {}, Now: time.Now,
				Source: func() *Status {
					s := &Status{Tables: map[string]int64{"t": int64(i)}}
					if l := net.loads.Load(); i == 0 && l != nil {
						s.Loads = []EndpointLoad{*l}
					}
					return s
				}})
			x.Add([]Member{{Address: "a0"}}, false)
			net.mu.Lock()
			net.fleets[member(i).Address] = x
			net.mu.Unlock()
			list = append(list, x)
			go x.Run(ctx)
		}
		time.Sleep(1500 * time.Millisecond)
		f(net, list)
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

func alive(f *Fleet) string {
	out := ""
	for _, m := range f.View().Alive {
		out += string(m.ID) + " "
	}
	return out
}

// Guards against daemons that find only those in their settings, and that
// disagree on who is alive and so on who coordinates what.
func TestAllDaemonsFindEachOther(t *testing.T) {
	start(t, 6, func(_ *network, list []*Fleet) {
		for i, f := range list {
			if got := alive(f); got != "d0 d1 d2 d3 d4 d5 " {
				t.Errorf("daemon %d sees %s", i, got)
			}
			if a, b := list[0].View().Ranked("k", "")[0], f.View().Ranked("k", "")[0]; a != b {
				t.Errorf("daemon %d ranks %s first, daemon 0 %s", i, b.ID, a.ID)
			}
		}
		if got := list[0].View().Newest["t"]; got.Version != 5 || got.Address != "a5" {
			t.Errorf("the newest copy is %v", got)
		}
	})
}

// Pattern: more daemons than one exchanges with in an interval. They must not
// count as lost because their turn has not come.
func TestManyDaemonsStayAlive(t *testing.T) {
	start(t, 144, func(_ *network, list []*Fleet) {
		time.Sleep(3 * time.Second)
		for range 4 {
			time.Sleep(300 * time.Millisecond)
			for i, f := range list {
				if n := len(f.View().Alive); n != len(list) {
					t.Fatalf("daemon %d sees %d of %d", i, n, len(list))
				}
			}
		}
	})
}

// Guards against exchanges that both sides start: one tells both, and at hundreds
// of daemons the exchanges are most of what a daemon spends on control.
func TestOneOfTwoDaemonsStartsTheirExchange(t *testing.T) {
	start(t, 8, func(net *network, list []*Fleet) {
		time.Sleep(2 * time.Second)
		before := net.exchanges.Load()
		time.Sleep(3 * time.Second)
		pairs := int32(len(list) * (len(list) - 1) / 2)
		if n, most := net.exchanges.Load()-before, 11*pairs; n > most {
			t.Errorf("%d exchanges in ten intervals, at most %d for %d pairs", n, most, pairs)
		}
	})
}

// Guards against two daemons that lose each other because the one that starts
// their exchanges cannot reach the other, though the other can reach it.
func TestTheOtherSideStartsAnOverdueExchange(t *testing.T) {
	start(t, 2, func(net *network, list []*Fleet) {
		for i, f := range list {
			net.oneWay(member(i).Address, true)
			time.Sleep(4 * time.Second)
			if got := alive(f); got != "d0 d1 " {
				t.Errorf("d%d reaches nothing but is reached, and sees %s", i, got)
			}
			net.oneWay(member(i).Address, false)
			time.Sleep(time.Second)
		}
	})
}

// Guards against a daemon that is cut off and still counts as alive, or that is
// not found again; work waits on it until then.
func TestALostDaemonIsNoticedAndFoundAgain(t *testing.T) {
	start(t, 3, func(net *network, list []*Fleet) {
		died, _ := list[0].Watch("a2")
		net.set("a2", true)
		time.Sleep(1600 * time.Millisecond)
		if got := alive(list[0]); got != "d0 d1 " {
			t.Errorf("1.6 s after the cut d0 sees %s", got)
		}
		select {
		case <-died:
		default:
			t.Error("who waits for d2 is not told")
		}
		if net.drops.Load() == 0 {
			t.Error("the silent connection is kept")
		}
		net.set("a2", false)
		time.Sleep(time.Second)
		if got := alive(list[0]); got != "d0 d1 d2 " {
			t.Errorf("a second after the cut d0 sees %s", got)
		}
	})
}

// Guards against work that is handed to a daemon which stops.
func TestALeavingDaemonIsNotAlive(t *testing.T) {
	start(t, 3, func(_ *network, list []*Fleet) {
		list[1].Leave()
		time.Sleep(700 * time.Millisecond)
		for i, f := range list {
			if got := alive(f); got != "d0 d2 " {
				t.Errorf("daemon %d sees %s", i, got)
			}
		}
	})
}

// Guards against work that waits for a daemon which was restarted and knows
// nothing of it.
func TestARestartIsNoticed(t *testing.T) {
	start(t, 2, func(_ *network, list []*Fleet) {
		died, _ := list[0].Watch("a1")
		list[0].Receive(&Status{Member: member(1), Incarnation: time.Now().UnixNano()})
		select {
		case <-died:
		default:
			t.Error("who waits for the earlier incarnation is not told")
		}
	})
}

// Guards against a daemon that takes the store to have answered a moment ago
// because it hears its own word again, and against one that does not hear of an
// answer because it does not reach the reader itself.
func TestTheLastAnswerOfTheStoreIsToldOn(t *testing.T) {
	start(t, 30, func(net *network, list []*Fleet) {
		answered := time.Now()
		list[29].heard(&Status{Member: member(99), Incarnation: 1, StoreAnswered: answered})
		time.Sleep(900 * time.Millisecond)
		for i, f := range list {
			if got := f.StoreAnswered(); !got.Equal(answered) {
				t.Errorf("daemon %d heard of an answer at %v, want %v", i, got, answered)
			}
		}
		time.Sleep(3 * time.Second)
		if got := list[0].StoreAnswered(); !got.Equal(answered) {
			t.Errorf("the answer is told to be %v younger than it is", got.Sub(answered))
		}
	})
}

// Guards against small instances that coordinate for others as often as large
// ones, against coordinators in another data centre than their endpoints, and
// against a loss that moves more than the lost daemon's own work.
func TestLargeAndNearDaemonsComeFirst(t *testing.T) {
	v := &View{}
	for i := range 87 {
		m := member(i)
		m.DataCenter, m.Millicores = core.DataCenterID(fmt.Sprint("dc", i%5)), 192
		if i < 10 {
			m.Millicores = 800
		}
		v.Alive = append(v.Alive, m)
	}
	const keys = 400
	large, near, largeNear := 0, 0, 0
	for i := range keys {
		key := fmt.Sprint("key", i)
		first := v.Ranked(key, "")
		if first[0].Millicores == 800 {
			large++
		}
		m := v.Ranked(key, "dc2")[0]
		if m.DataCenter == "dc2" {
			near++
			if m.Millicores == 800 {
				largeNear++
			}
		}
		without := &View{Alive: slices.DeleteFunc(slices.Clone(v.Alive), func(m Member) bool { return m.ID == first[1].ID })}
		if got := without.Ranked(key, "")[0]; got != first[0] {
			t.Errorf("%s moves from %s to %s when %s is lost", key, first[0].ID, got.ID, first[1].ID)
		}
	}
	if large < keys*6/10 || large > keys*8/10 {
		t.Errorf("%d of %d keys at the 10 large daemons, want about 70%%", large, keys)
	}
	if near < keys*9/10 || largeNear < keys/2 {
		t.Errorf("%d of %d keys in their data centre, %d at its large daemons", near, keys, largeNear)
	}
}

// Guards against a ranking that is kept after the daemons have changed.
func TestARankingFollowsTheDaemons(t *testing.T) {
	start(t, 4, func(net *network, list []*Fleet) {
		first := list[0].View().Ranked("k", "")[0]
		if first.ID == "d0" {
			first = list[0].View().Ranked("k", "")[1]
		}
		net.set(first.Address, true)
		time.Sleep(3 * time.Second)
		for _, m := range list[0].View().Ranked("k", "") {
			if m.ID == first.ID {
				t.Errorf("%s is lost and ranked", m.ID)
			}
		}
	})
}

// Pattern: a fleet whose members all know one daemon first, as after a start
// without the store. It has told many statuses by then. Who comes new has to hear
// of the others from it at once and not after seconds.
func TestANewDaemonIsToldTheOthersAtOnce(t *testing.T) {
	f, now, status := large(195)
	*now = now.Add(startTime + time.Second)
	for i := range 300 {
		f.Receive(status(i))
	}
	for i := range knownEach {
		if s := f.Receive(&Status{Member: member(1000 + i), Incarnation: 1}); len(s.Known) == 0 {
			t.Errorf("new daemon %d is told of no others", i)
		}
	}
}

// Guards against a daemon that was restarted after its machine's time of day was set
// back: the others would ignore all that it says, and coordinate what it does too.
func TestARestartWithAnEarlierClockIsNoticed(t *testing.T) {
	f, _ := idle()
	before, after := &Status{Member: member(1), Incarnation: 9_000}, &Status{Member: member(1), Incarnation: 4_000, Loads: []EndpointLoad{{Endpoint: "e", Running: 1}}}
	f.heard(before)
	died, _ := f.Watch("a1")
	f.heard(after)
	select {
	case <-died:
	default:
		t.Error("who waits for the earlier incarnation is not told")
	}
	f.heard(before)
	f.refresh()
	if v := f.View(); len(v.Alive) != 2 || v.Loads["e"].Running != 1 {
		t.Errorf("after a late word of the earlier incarnation the view is %+v", v)
	}
}

// Pattern: 195 daemons, of which each is heard every few seconds by turns. The loss of
// one on which work waits must show as soon as among eight, and a daemon with work
// in its queues must be heard of more often than by turns.
func TestTheLossOfAWatchedDaemonShowsAtOnceInALargeFleet(t *testing.T) {
	start(t, 195, func(net *network, list []*Fleet) {
		time.Sleep(12 * time.Second)
		if n := len(list[0].View().Alive); n != 195 {
			t.Fatalf("sees %d of 195", n)
		}
		died, stop := list[0].Watch("a100")
		time.Sleep(5 * time.Second)
		select {
		case <-died:
			t.Fatal("a daemon that is alive counts as lost")
		default:
		}
		net.set("a100", true)
		began := time.Now()
		<-died
		if took := time.Since(began); took > aliveFor+2*interval {
			t.Errorf("the loss shows after %v", took)
		}
		stop()
		net.set("a100", false)
		time.Sleep(10 * time.Second)
		if n := len(list[0].View().Alive); n != 195 {
			t.Errorf("sees %d of 195 after its return", n)
		}
	})
}

// Guards against waits that are as old as a turn among hundreds of daemons.
func TestDaemonsWithWorkWaitingAreHeardMoreOften(t *testing.T) {
	f, now, status := large(195)
	loaded := status(7)
	loaded.Waits = []GroupWait{{StageGroup{"p", 1}, []time.Duration{time.Second}}}
	f.heard(loaded)
	*now = now.Add(loadedEach)
	found := false
	for _, p := range f.due() {
		found = found || p.address == "a7"
	}
	if !found {
		t.Errorf("the daemon is not due %v after it told of waits", loadedEach)
	}
}
