package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassgrade/internal/core"
)

// network is a Transport that connects fleets in memory.
type network struct {
	mu     sync.Mutex
	fleets map[string]*Fleet
	// cut holds the addresses that are cut off in both directions.
	cut map[string]bool
	// mute holds the addresses whose outgoing exchanges fail.
	mute       map[string]bool
	reconnects atomic.Int32
	exchanges  atomic.Int32
	announced  atomic.Int32
	// loads is the load that the first fleet reports.
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
	r := f.HandleExchange(s)
	if r == nil {
		return nil, errors.New("no status")
	}
	return r, nil
}

func (n *network) Announce(_ context.Context, address string, r Prefill) error {
	time.Sleep(5 * time.Millisecond)
	n.announced.Add(1)
	n.mu.Lock()
	f := n.fleets[address]
	n.mu.Unlock()
	f.HandleAnnounce(r)
	return nil
}

func (n *network) Reconnect(string) int {
	n.reconnects.Add(1)
	return 0
}

func (n *network) setCut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

func (n *network) setMute(address string, mute bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mute[address] = mute
}

type noEvents struct{}

func (noEvents) PeerAlive(Member)                       {}
func (noEvents) PeerLost(Member, Loss)                  {}
func (noEvents) PeerLeaving(Member)                     {}
func (noEvents) ConnectionReplaced(Member, Replacement) {}

func member(i int) Member {
	return Member{ID: core.InstanceID(fmt.Sprint("d", i)), Address: fmt.Sprint("a", i)}
}

// startFleets runs n fleets, each of which knows only the first one, and calls f 1.5 s
// after their start.
func startFleets(t *testing.T, n int, f func(*network, []*Fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		net := &network{fleets: map[string]*Fleet{}, cut: map[string]bool{}, mute: map[string]bool{}}
		var list []*Fleet
		for i := range n {
			x := New(Options{Self: member(i), Transport: net, Events: noEvents{}, OnStatus: func(*Status) {}, Now: time.Now,
				Source: func() *Status {
					s := &Status{Tables: map[string]core.CopyPosition{"t": at(int64(i))}}
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

func aliveIDs(f *Fleet) string {
	ids := ""
	for _, m := range f.View().Alive {
		ids += string(m.ID) + " "
	}
	return ids
}

// Guards against daemons that find only the peers in their settings, and against
// daemons that disagree on which are alive and so on which coordinates what.
func TestAllDaemonsFindEachOther(t *testing.T) {
	startFleets(t, 6, func(_ *network, list []*Fleet) {
		for i, f := range list {
			if got := aliveIDs(f); got != "d0 d1 d2 d3 d4 d5 " {
				t.Errorf("daemon %d sees %s", i, got)
			}
			if a, b := list[0].View().Ranked("k", "")[0], f.View().Ranked("k", "")[0]; a != b {
				t.Errorf("daemon %d ranks %s first, daemon 0 %s", i, b.ID, a.ID)
			}
		}
		if got := list[0].View().Newest["t"]; got.Position != at(5) || got.Address != "a5" {
			t.Errorf("the newest copy is %v", got)
		}
	})
}

// With more peers than a daemon exchanges with in one interval, peers must not count as
// lost only because the rotation has not reached them.
func TestManyDaemonsStayAlive(t *testing.T) {
	startFleets(t, 144, func(_ *network, list []*Fleet) {
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

// Guards against exchanges that both sides start. One exchange informs both, and with
// hundreds of daemons the exchanges are most of what a daemon spends on control.
func TestOneOfTwoDaemonsStartsTheirExchange(t *testing.T) {
	startFleets(t, 8, func(net *network, list []*Fleet) {
		time.Sleep(2 * time.Second)
		before := net.exchanges.Load()
		time.Sleep(3 * time.Second)
		pairs := int32(len(list) * (len(list) - 1) / 2)
		if n, most := net.exchanges.Load()-before, 11*pairs; n > most {
			t.Errorf("%d exchanges in ten intervals, at most %d for %d pairs", n, most, pairs)
		}
	})
}

// Guards against two daemons that count each other as lost because the one that starts
// their exchanges cannot reach the other, although the other can reach it.
func TestTheOtherSideStartsAnOverdueExchange(t *testing.T) {
	startFleets(t, 2, func(net *network, list []*Fleet) {
		for i, f := range list {
			net.setMute(member(i).Address, true)
			time.Sleep(4 * time.Second)
			if got := aliveIDs(f); got != "d0 d1 " {
				t.Errorf("all exchanges that d%d starts fail, and it sees %s", i, got)
			}
			net.setMute(member(i).Address, false)
			time.Sleep(time.Second)
		}
	})
}

// Guards against a daemon that still counts as alive after it was cut off, since work
// waits for it until its loss is noticed, and against one that is not found again.
func TestALostDaemonIsNoticedAndFoundAgain(t *testing.T) {
	startFleets(t, 3, func(net *network, list []*Fleet) {
		lost, _ := list[0].Watch("a2")
		net.setCut("a2", true)
		time.Sleep(1600 * time.Millisecond)
		if got := aliveIDs(list[0]); got != "d0 d1 " {
			t.Errorf("1.6 s after the cut d0 sees %s", got)
		}
		select {
		case <-lost:
		default:
			t.Error("the channel from Watch is open after the loss of d2")
		}
		if net.reconnects.Load() == 0 {
			t.Error("the dead connection is not dropped")
		}
		net.setCut("a2", false)
		time.Sleep(time.Second)
		if got := aliveIDs(list[0]); got != "d0 d1 d2 " {
			t.Errorf("a second after the end of the cut d0 sees %s", got)
		}
	})
}

// Guards against a leave that others hear of only when their turn comes, after the daemon has
// ended: they ask it for permits and submit tasks to it until it counts as lost.
func TestALeaveIsKnownBeforeTheEnd(t *testing.T) {
	for _, c := range []struct {
		daemons int
		within  time.Duration
	}{{3, 50 * time.Millisecond}, {144, time.Second}} {
		startFleets(t, c.daemons, func(net *network, list []*Fleet) {
			time.Sleep(6 * time.Second)
			before := net.exchanges.Load()
			list[1].Leave()
			time.Sleep(c.within)
			for i, f := range list {
				if ids := aliveIDs(f); strings.Contains(ids, "d1 ") {
					t.Fatalf("%v after the leave, daemon %d of %d counts the leaving one as alive", c.within, i, c.daemons)
				}
			}
			t.Logf("%d daemons: %d exchanges in %v", c.daemons, net.exchanges.Load()-before, c.within)
		})
	}
}

// Guards against work that is handed to a daemon that is stopping.
func TestALeavingDaemonIsNotAlive(t *testing.T) {
	startFleets(t, 3, func(_ *network, list []*Fleet) {
		list[1].Leave()
		time.Sleep(700 * time.Millisecond)
		for i, f := range list {
			if got := aliveIDs(f); got != "d0 d2 " {
				t.Errorf("daemon %d sees %s", i, got)
			}
		}
	})
}

// Guards against waiting for work that a daemon has lost by a restart.
func TestARestartIsNoticed(t *testing.T) {
	startFleets(t, 2, func(_ *network, list []*Fleet) {
		lost, _ := list[0].Watch("a1")
		list[0].HandleExchange(&Status{Member: member(1), Incarnation: time.Now().UnixNano()})
		select {
		case <-lost:
		default:
			t.Error("the channel from Watch is open after a restart")
		}
	})
}

// Guards against a daemon that takes the store's latest answer for newer than it is
// because peers relay its own report back to it, and against one that does not learn of
// an answer because it has no direct contact with the daemon that reads the store.
func TestTheLastAnswerOfTheStoreIsPassedOn(t *testing.T) {
	startFleets(t, 30, func(net *network, list []*Fleet) {
		answered := time.Now()
		list[29].receive(&Status{Member: member(99), Incarnation: 1, StoreAnswered: answered})
		time.Sleep(900 * time.Millisecond)
		for i, f := range list {
			if got := f.StoreAnswered(); !got.Equal(answered) {
				t.Errorf("daemon %d knows of an answer at %v, want %v", i, got, answered)
			}
		}
		time.Sleep(3 * time.Second)
		if got := list[0].StoreAnswered(); !got.Equal(answered) {
			t.Errorf("the answer is reported as %v newer than it is", got.Sub(answered))
		}
	})
}

// Guards against small instances that coordinate as often as large ones, against
// coordinators in another data centre than their endpoints, and against the loss of a
// daemon that moves keys of other daemons.
func TestDaemonsAreWeightedByCapacityAndDataCenter(t *testing.T) {
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

// Guards against a cached ranking that is used after the live daemons have changed.
func TestARankingFollowsTheDaemons(t *testing.T) {
	startFleets(t, 4, func(net *network, list []*Fleet) {
		first := list[0].View().Ranked("k", "")[0]
		if first.ID == "d0" {
			first = list[0].View().Ranked("k", "")[1]
		}
		net.setCut(first.Address, true)
		time.Sleep(3 * time.Second)
		for _, m := range list[0].View().Ranked("k", "") {
			if m.ID == first.ID {
				t.Errorf("%s is lost and still ranked", m.ID)
			}
		}
	})
}

// After a start without the store, all daemons of a fleet may know only one daemon at
// first, and that one has already sent many statuses. A new daemon must get the list of
// known daemons in its first reply and not seconds later.
func TestANewDaemonLearnsThePeersAtOnce(t *testing.T) {
	f, now, status := newLargeFleet(195)
	*now = now.Add(knownListWarmUp + time.Second)
	for i := range 300 {
		f.HandleExchange(status(i))
	}
	for i := range knownListEvery {
		if s := f.HandleExchange(&Status{Member: member(1000 + i), Incarnation: 1}); len(s.Known) == 0 {
			t.Errorf("the reply to new daemon %d lists no known daemons", i)
		}
	}
}

// Guards against ignoring a daemon that was restarted after its instance's time of day
// was set back. The others would coordinate the same work as that daemon does.
func TestARestartWithAnEarlierClockIsNoticed(t *testing.T) {
	f, _ := newIdleFleet()
	before, after := &Status{Member: member(1), Incarnation: 9_000}, &Status{Member: member(1), Incarnation: 4_000, Loads: []EndpointLoad{{Endpoint: "e", Running: 1}}}
	f.receive(before)
	lost, _ := f.Watch("a1")
	f.receive(after)
	select {
	case <-lost:
	default:
		t.Error("the channel from Watch is open after a restart")
	}
	f.receive(before)
	f.expirePeers()
	if v := f.View(); len(v.Alive) != 2 || v.Loads["e"].Running != 1 {
		t.Errorf("after a late status of the earlier incarnation the view is %+v", v)
	}
}

// Among 195 daemons, regular exchanges with a given peer are seconds apart. The loss of a
// watched peer must still be detected as quickly as among eight daemons.
func TestTheLossOfAWatchedDaemonShowsAtOnceInALargeFleet(t *testing.T) {
	startFleets(t, 195, func(net *network, list []*Fleet) {
		time.Sleep(12 * time.Second)
		if n := len(list[0].View().Alive); n != 195 {
			t.Fatalf("sees %d of 195", n)
		}
		lost, stop := list[0].Watch("a100")
		time.Sleep(5 * time.Second)
		select {
		case <-lost:
			t.Fatal("a daemon that is alive counts as lost")
		default:
		}
		net.setCut("a100", true)
		began := time.Now()
		<-lost
		if took := time.Since(began); took > aliveTimeout+2*exchangeInterval {
			t.Errorf("the loss is detected after %v", took)
		}
		stop()
		net.setCut("a100", false)
		time.Sleep(10 * time.Second)
		if n := len(list[0].View().Alive); n != 195 {
			t.Errorf("sees %d of 195 after its return", n)
		}
	})
}

// Guards against waits that are as old as a whole rotation among hundreds of daemons.
func TestDaemonsWithQueuedWorkExchangeMoreOften(t *testing.T) {
	f, now, status := newLargeFleet(195)
	loaded := status(7)
	loaded.Waits = []GroupWait{{StageGroup{"p", 1}, []time.Duration{time.Second}}}
	f.receive(loaded)
	*now = now.Add(queuedPeerInterval)
	found := false
	for _, p := range f.duePeers() {
		found = found || p.address == "a7"
	}
	if !found {
		t.Errorf("the daemon is not due %v after it reported waits", queuedPeerInterval)
	}
}
