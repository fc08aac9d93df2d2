package peer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

// settleTime is enough for all daemons to have fresh views after a start or a fault.
const settleTime = 2 * time.Second

// leaveLimit is the time after an announcement from which on a leaving endpoint must
// get no new work.
const leaveLimit = 3 * time.Second

// simulate starts a network of daemons, waits until their views are fresh, and runs f.
func simulate(t *testing.T, seed uint64, daemons int, f func(t *testing.T, n *network)) {
	t.Helper()
	runInBubble(t, func(t *testing.T) {
		reportSeed(t, seed)
		n := newNetwork(seed, daemons, 2)
		n.startAll()
		defer n.stopAll()
		time.Sleep(settleTime)
		for _, d := range n.nodes {
			if !d.ctl().ViewIsFresh(time.Now()) {
				t.Fatalf("%s is not fresh after its start", d.instance.ID)
			}
		}
		f(t, n)
	})
}

func mustLeave(t *testing.T, d *node, id core.InstanceID) {
	t.Helper()
	if _, err := d.ctl().Leave(context.Background(), id); err != nil {
		t.Fatal(err)
	}
}

// checkNoNewWork runs for the given duration. From leaveLimit after the announcement
// on it checks, every 10 ms, that no daemon would give work to the leaving instance.
func checkNoNewWork(t *testing.T, n *network, id core.InstanceID, announced time.Time, duration time.Duration) {
	t.Helper()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if time.Since(announced) < leaveLimit {
			continue
		}
		for _, d := range n.nodes {
			if !d.avoids(id) {
				t.Fatalf("%s would use the leaving instance %s, %s after the announcement", d.instance.ID, id, time.Since(announced))
			}
		}
	}
}

// Guards against a leave that is announced on one daemon and missed by others, with
// and without an outage of the table service that records leaves.
func TestLeaveReachesAllDaemons(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		simulate(t, 1, 32, func(t *testing.T, n *network) {
			n.platform.withLock(func() { n.platform.storeDown = storeDown })
			res, err := n.nodes[0].ctl().Leave(context.Background(), "e0")
			if err != nil || res.Durable == storeDown || res.DaemonsInformed != 32 || res.DaemonsKnown != 32 {
				t.Fatalf("outage %v: %+v, %v", storeDown, res, err)
			}
			for _, d := range n.nodes {
				if !d.ctl().View().Leaving["e0"] {
					t.Errorf("outage %v: %s does not know the leave", storeDown, d.instance.ID)
				}
			}
		})
	}
}

// Guards against a daemon that missed pushes while it was paused and then dispatches
// by its old view. The instance list lags behind announcements, so reading it must
// not suffice before a slower peer has answered.
func TestPausedDaemonLearnsLeaveBeforeItDispatches(t *testing.T) {
	for _, pause := range []time.Duration{700 * time.Millisecond, 1900 * time.Millisecond, 5 * time.Second, 10 * time.Second} {
		for _, slow := range []time.Duration{0, 100 * time.Millisecond} {
			simulate(t, 2, 8, func(t *testing.T, n *network) {
				d := n.nodes[3]
				d.pause()
				announced := time.Now()
				mustLeave(t, n.nodes[0], "e1")
				time.Sleep(pause)
				n.withLock(func() { n.extraLatency, d.tableUnreachable = slow, slow > 0 })
				d.resume()
				time.Sleep(time.Millisecond)
				checkNoNewWork(t, n, "e1", announced, 4*time.Second)
				if !d.ctl().ViewIsFresh(time.Now()) || !d.ctl().View().Leaving["e1"] {
					t.Errorf("fresh: %v after a pause of %s, want a fresh view with the leave", d.ctl().ViewIsFresh(time.Now()), pause)
				}
			})
		}
	}
}

// Guards against an undetected pause that is shorter than the age limit of a view.
// Leaves announced during the pause may be known only to peers, which have not
// answered yet.
func TestShortPauseIsNoticed(t *testing.T) {
	simulate(t, 9, 8, func(t *testing.T, n *network) {
		d := n.nodes[3]
		d.pause()
		time.Sleep(time.Second)
		n.withLock(func() { n.extraLatency = 100 * time.Millisecond; d.tableUnreachable = true })
		d.resume()
		for range 10 {
			time.Sleep(10 * time.Millisecond)
			if d.ctl().ViewIsFresh(time.Now()) {
				t.Fatal("the daemon dispatches after a pause before a peer or the table service has answered")
			}
		}
		time.Sleep(time.Second)
		if !d.ctl().ViewIsFresh(time.Now()) {
			t.Error("the daemon does not dispatch again 1 s after the pause")
		}
	})
}

// Guards against a view that becomes too old because, in a large fleet whose daemons
// read the instance list every 5 s, a daemon that reaches no peer does not read the
// list earlier.
func TestAgingViewIsRefreshed(t *testing.T) {
	simulate(t, 10, 2, func(t *testing.T, n *network) {
		n.platform.withLock(func() {
			for i := range 400 {
				n.platform.list = append(n.platform.list, core.Instance{ID: core.InstanceID(fmt.Sprint("gone", i)), Role: core.RoleDaemon, State: core.Live, DataCenter: "dc0", Address: fmt.Sprint("10.2.0.1:", i)})
			}
		})
		for range 1500 {
			time.Sleep(10 * time.Millisecond)
			if !n.nodes[0].ctl().ViewIsFresh(time.Now()) {
				t.Fatalf("the view is not fresh; its age is %s", n.nodes[0].ctl().View().Age(time.Now()))
			}
		}
	})
}

// Guards against a leave that is missed by a daemon that reaches neither the platform
// nor the announcing daemon, or by one that has just started.
func TestLeaveReachesCutAndNewDaemons(t *testing.T) {
	simulate(t, 4, 8, func(t *testing.T, n *network) {
		cut, restarted := n.nodes[2], n.nodes[5]
		cut.withLock(func() { cut.tableUnreachable, cut.listUnreachable = true, true })
		n.setCut(cut, n.nodes[0], true)
		restarted.kill()
		n.platform.withLock(func() { n.platform.storeDown = true })
		announced := time.Now()
		time.AfterFunc(5*time.Millisecond, restarted.start)
		mustLeave(t, n.nodes[0], "e2")
		checkNoNewWork(t, n, "e2", announced, 6*time.Second)
		for _, d := range []*node{cut, restarted} {
			if !d.ctl().ViewIsFresh(time.Now()) || !d.ctl().View().Leaving["e2"] {
				t.Errorf("%s: fresh: %v, want a fresh view with the leave", d.instance.ID, d.ctl().ViewIsFresh(time.Now()))
			}
		}
	})
}

// Guards against a daemon that keeps dispatching while it reaches neither the platform
// nor any peer.
func TestIsolatedDaemonStopsDispatching(t *testing.T) {
	simulate(t, 5, 8, func(t *testing.T, n *network) {
		d := n.nodes[1]
		d.withLock(func() { d.isolated = true })
		time.Sleep(2*time.Second + 10*time.Millisecond)
		if d.ctl().ViewIsFresh(time.Now()) {
			t.Error("the daemon still dispatches 2 s after it lost every source")
		}
		d.withLock(func() { d.isolated = false })
		time.Sleep(time.Second)
		if !d.ctl().ViewIsFresh(time.Now()) {
			t.Error("the daemon does not dispatch 1 s after it was reconnected")
		}
	})
}

// Guards against daemons that stop dispatching during an outage of the table service
// alone or of the instance list alone.
func TestOneOutageDoesNotStopDispatch(t *testing.T) {
	for _, breakPart := range []func(*platform){func(p *platform) { p.storeDown = true }, func(p *platform) { p.listDown = true }} {
		simulate(t, 6, 8, func(t *testing.T, n *network) {
			n.platform.withLock(func() { breakPart(n.platform) })
			for range 1000 {
				time.Sleep(10 * time.Millisecond)
				for _, d := range n.nodes {
					if !d.ctl().ViewIsFresh(time.Now()) {
						t.Fatalf("%s does not dispatch during an outage", d.instance.ID)
					}
				}
			}
		})
	}
}

// Guards against a daemon that cannot start while it does not reach the platform,
// although its peers know the instances, leaves and configuration.
func TestStartFromPeers(t *testing.T) {
	simulate(t, 7, 8, func(t *testing.T, n *network) {
		mustApply(t, n.nodes[0], 0, "start")
		mustLeave(t, n.nodes[0], "e3")
		d := n.nodes[4]
		d.kill()
		d.withLock(func() { d.tableUnreachable, d.listUnreachable = true, true })
		d.start()
		time.Sleep(time.Second)
		v := d.ctl().View()
		if v == nil || len(v.Endpoints["p"]) != 3 || !v.Leaving["e3"] || d.version() != 1 || !d.ctl().ViewIsFresh(time.Now()) {
			t.Errorf("after a start without the platform: view %+v, version %d", v, d.version())
		}
	})
}

// Guards against a leave that is never recorded because it was announced during an
// outage of the table service, and against one that is reported as not recorded
// because the answer to its write was lost.
func TestLeaveIsRecordedAfterOutage(t *testing.T) {
	simulate(t, 8, 8, func(t *testing.T, n *network) {
		n.platform.withLock(func() { n.platform.storeDown = true })
		mustLeave(t, n.nodes[0], "e0")
		n.platform.withLock(func() { n.platform.storeDown, n.platform.loseWriteAnswers = false, 1 })
		res, err := n.nodes[1].ctl().Leave(context.Background(), "e1")
		if err != nil || !res.Durable {
			t.Errorf("leave with a lost answer: %+v, %v, want it recorded", res, err)
		}
		time.Sleep(3 * time.Second)
		n.platform.withLock(func() {
			for _, id := range []string{"e0", "e1"} {
				if _, ok := n.platform.records[core.RecordKey{Partition: "leave", Sort: id}]; !ok {
					t.Errorf("the leave of %s is not recorded", id)
				}
			}
		})
	})
}
