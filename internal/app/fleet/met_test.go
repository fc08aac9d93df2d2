package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// listed starts n fleets at the same moment, as after a loss of power, each of which
// knows one other and reads the list of all shortly afterwards.
func listed(t *testing.T, n int, f func(net *network, list []*Fleet)) {
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

// Pattern: all daemons of a large fleet start at once. Each that takes itself for the
// coordinator of all groups sends calls of its own, and endpoints refuse them as full.
// Guards against a daemon that counts as having met the others while it does not know
// them, and against one that takes long to meet them.
func TestADaemonMeetsTheOthersAtItsStart(t *testing.T) {
	const n = 62
	listed(t, n, func(_ *network, list []*Fleet) {
		for i, x := range list {
			go func() {
				began := time.Now()
				<-x.Met()
				if alive := len(x.View().Alive); alive != n {
					t.Errorf("daemon %d has met the others and knows %d of %d", i, alive, n)
				}
				if took := time.Since(began); took > 100*time.Millisecond {
					t.Errorf("daemon %d met the others after %v", i, took)
				}
			}()
		}
	})
}

// Guards against a daemon that waits without end for others that are gone, and that
// presses those it has not heard.
func TestADaemonThatCannotMeetAllGoesOn(t *testing.T) {
	const n = 20
	listed(t, n, func(net *network, list []*Fleet) {
		for _, i := range []int{1, 7, 13} {
			net.set(member(i).Address, true)
		}
		began := time.Now()
		go func() {
			<-list[0].Met()
			if took := time.Since(began); took > exchangeTimeout+100*time.Millisecond {
				t.Errorf("met the others after %v", took)
			}
			if most := int32(3 * n * n); net.exchanges.Load() > most {
				t.Errorf("%d exchanges, want %d at most", net.exchanges.Load(), most)
			}
		}()
	})
}

// Guards against a daemon without a list that never counts as having met the others.
func TestADaemonWithoutAListGoesOn(t *testing.T) {
	start(t, 2, func(_ *network, list []*Fleet) {
		select {
		case <-list[1].Met():
		default:
			t.Error("1.5 s after its start the daemon has not met the others")
		}
	})
	alone := New(Options{Self: member(0), Transport: &network{}, Events: noEvents{}, Now: time.Now})
	select {
	case <-alone.Met():
	default:
		t.Error("a daemon that knows no other waits for them")
	}
}
