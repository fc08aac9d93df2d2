package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// startWithList starts n fleets at the same time, as after a power failure. Each knows
// the first two at its start and reads the list of all daemons shortly afterwards.
func startWithList(t *testing.T, n int, f func(net *network, list []*Fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		net := &network{fleets: map[string]*Fleet{}, cut: map[string]bool{}, mute: map[string]bool{}}
		var list []*Fleet
		var members []Member
		for i := range n {
			x := New(Options{Self: member(i), Transport: net, Events: noEvents{}, OnStatus: func(*Status) {}, Now: time.Now,
				Source: func() *Status { return &Status{} }})
			x.Add([]Member{{Address: "a0"}, {Address: "a1"}}, false)
			net.fleets[member(i).Address] = x
			list, members = append(list, x), append(members, member(i))
		}
		f(net, list)
		for _, x := range list {
			go x.Run(ctx)
		}
		time.Sleep(20 * time.Millisecond)
		for _, x := range list {
			x.Add(members, true)
		}
		time.Sleep(2 * time.Second)
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

// Guards against a daemon that counts as joined before it knows the others, and against
// one that takes long to join. When all daemons of a large fleet start at once, each
// daemon that takes itself for the coordinator of all groups sends calls to the
// endpoints, and these refuse them as full.
func TestADaemonJoinsQuickly(t *testing.T) {
	const n = 62
	startWithList(t, n, func(_ *network, list []*Fleet) {
		for i, x := range list {
			go func() {
				began := time.Now()
				<-x.Joined()
				if alive := len(x.View().Alive); alive != n {
					t.Errorf("daemon %d has joined and knows %d of %d", i, alive, n)
				}
				if took := time.Since(began); took > 100*time.Millisecond {
					t.Errorf("daemon %d joined after %v", i, took)
				}
			}()
		}
	})
}

// Guards against a daemon that waits forever for peers that are gone, and that floods
// unreachable peers with exchanges.
func TestUnreachablePeersDoNotBlockJoining(t *testing.T) {
	const n = 20
	startWithList(t, n, func(net *network, list []*Fleet) {
		for _, i := range []int{1, 7, 13} {
			net.setCut(member(i).Address, true)
		}
		began := time.Now()
		go func() {
			<-list[0].Joined()
			if took := time.Since(began); took > exchangeTimeout+100*time.Millisecond {
				t.Errorf("joined after %v", took)
			}
			if most := int32(3 * n * n); net.exchanges.Load() > most {
				t.Errorf("%d exchanges, want %d at most", net.exchanges.Load(), most)
			}
		}()
	})
}

// Guards against a daemon that never counts as joined because it cannot read the list of
// daemons.
func TestJoiningEndsWithoutAList(t *testing.T) {
	startFleets(t, 2, func(_ *network, list []*Fleet) {
		select {
		case <-list[1].Joined():
		default:
			t.Error("1.5 s after its start the daemon has not joined")
		}
	})
	alone := New(Options{Self: member(0), Transport: &network{}, Events: noEvents{}, Now: time.Now})
	select {
	case <-alone.Joined():
	default:
		t.Error("a daemon without peers does not count as joined")
	}
}
