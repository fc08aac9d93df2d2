package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
)

// configSource returns an empty configuration that differs by a comment.
func configSource(text string) []byte { return []byte("// " + text + "\n{}") }

func mustApply(t *testing.T, d *node, base config.Version, text string) {
	t.Helper()
	a, err := d.cfg().Apply(context.Background(), base, "test", configSource(text))
	if err != nil || a.PeersAcknowledged < 2 {
		t.Fatalf("%d acknowledgements, %v", a.PeersAcknowledged, err)
	}
}

// checkInstalledVersions checks that the versions put in force by each daemon increase, and
// that a restart does not bring back an earlier version.
func checkInstalledVersions(t *testing.T, n *network) {
	t.Helper()
	for _, d := range n.nodes {
		var last config.Version
		for run, versions := range d.installedVersions {
			for i, v := range versions {
				if v < last || i > 0 && v <= last {
					t.Errorf("%s: version %d after %d in run %d: %v", d.instance.ID, v, last, run, d.installedVersions)
				}
				last = v
			}
		}
	}
}

// Guards against a configuration that stays on the daemon that accepted it, or
// that reaches the others only by polling.
func TestConfigurationReachesAllDaemons(t *testing.T) {
	simulate(t, 1, 64, func(t *testing.T, n *network) {
		mustApply(t, n.nodes[7], 0, "a")
		// Pushes may miss a few daemons; those get the version by exchanges.
		for _, want := range []struct {
			wait       time.Duration
			minDaemons int
		}{{300 * time.Millisecond, 56}, {leaveLimit, 64}} {
			time.Sleep(want.wait)
			have := 0
			for _, d := range n.nodes {
				if d.version() == 1 {
					have++
				}
			}
			if have < want.minDaemons {
				t.Errorf("%d daemons have the version, want at least %d", have, want.minDaemons)
			}
		}
	})
}

// Guards against accepting the changes of two operators to the same base version,
// also when answers of the table service are lost.
func TestOneOfTwoConcurrentAppliesIsAccepted(t *testing.T) {
	for lostAnswers := range 3 {
		simulate(t, 2, 8, func(t *testing.T, n *network) {
			n.platform.withLock(func() { n.platform.loseWriteAnswers = lostAnswers })
			errs := make([]error, 2)
			var wg sync.WaitGroup
			for i := range errs {
				wg.Go(func() {
					_, errs[i] = n.nodes[i].cfg().Apply(context.Background(), 0, fmt.Sprint(i), configSource(fmt.Sprint(i)))
				})
			}
			wg.Wait()
			if (errs[0] == nil) == (errs[1] == nil) {
				t.Fatalf("lost answers %d: %v", lostAnswers, errs)
			}
			for _, err := range errs {
				if err != nil && core.AsError(err, "").Kind != core.Conflict {
					t.Errorf("the other operator got no conflict error: %v", err)
				}
			}
		})
	}
}

// Guards against a restarted daemon that, while the store does not answer, puts an
// outdated version in force because one lagging peer has it.
func TestRestartIgnoresLaggingPeer(t *testing.T) {
	for _, seed := range seeds(10) {
		simulate(t, seed, 3, func(t *testing.T, n *network) {
			lagging, healthy, d := n.nodes[0], n.nodes[1], n.nodes[2]
			mustApply(t, healthy, 0, "a")
			n.setCut(healthy, lagging, true)
			lagging.withLock(func() { lagging.tableUnreachable = true })
			d.kill()
			if _, err := healthy.cfg().Apply(context.Background(), 1, "test", configSource("b")); err != nil {
				t.Fatal(err)
			}
			n.platform.withLock(func() { n.platform.hanging = true })
			d.start()
			time.Sleep(leaveLimit)
			n.withLock(func() {
				if run := d.installedVersions[1]; len(run) != 1 || run[0] != 2 {
					t.Errorf("seed %d: versions %v after the restart", seed, run)
				}
			})
		})
	}
}

// Guards against a daemon that misses pushes because no peer can reach it, and does
// not fetch the newer version that its own exchanges reveal.
func TestExchangeTriggersConfigurationFetch(t *testing.T) {
	simulate(t, 4, 8, func(t *testing.T, n *network) {
		d := n.nodes[5]
		mustApply(t, n.nodes[0], 0, "a")
		time.Sleep(settleTime)
		n.withLock(func() {
			d.tableUnreachable = true
			for _, x := range n.nodes {
				n.cut[[2]string{x.instance.Address, d.instance.Address}] = true
			}
		})
		mustApply(t, n.nodes[0], 1, "b")
		time.Sleep(leaveLimit)
		if d.version() != 2 {
			t.Errorf("the daemon has version %d, want 2", d.version())
		}
	})
}

// faults are the faults of the random test. Each call injects one and returns a
// function that removes it.
var faults = []func(n *network, r *rand.Rand) (undo func()){
	func(n *network, r *rand.Rand) func() { // The store refuses or hangs.
		hang := r.IntN(2) == 0
		n.platform.withLock(func() { n.platform.storeDown = !hang; n.platform.hanging = hang })
		return func() { n.platform.withLock(func() { n.platform.storeDown, n.platform.hanging = false, false }) }
	},
	func(n *network, r *rand.Rand) func() { // A daemon restarts.
		d := n.nodes[r.IntN(len(n.nodes))]
		if !d.isRunning() {
			return func() {}
		}
		d.kill()
		t := time.AfterFunc(time.Duration(r.IntN(1000))*time.Millisecond, d.start)
		return func() {
			if t.Stop() {
				d.start()
			}
		}
	},
	func(n *network, r *rand.Rand) func() { // A daemon is paused.
		d := n.nodes[r.IntN(len(n.nodes))]
		select {
		case d.pauseGate <- struct{}{}:
		default:
			return func() {}
		}
		var once sync.Once
		time.AfterFunc(time.Duration(300+r.IntN(5000))*time.Millisecond, func() { once.Do(d.resume) })
		return func() { once.Do(d.resume) }
	},
	func(n *network, r *rand.Rand) func() { // Pairs of daemons cannot reach each other.
		var pairs [][2]*node
		for range 1 + r.IntN(len(n.nodes)/2) {
			pairs = append(pairs, [2]*node{n.nodes[r.IntN(len(n.nodes))], n.nodes[r.IntN(len(n.nodes))]})
			n.setCut(pairs[len(pairs)-1][0], pairs[len(pairs)-1][1], true)
		}
		return func() {
			for _, p := range pairs {
				n.setCut(p[0], p[1], false)
			}
		}
	},
	func(n *network, r *rand.Rand) func() { // Answers of writes are lost.
		n.platform.withLock(func() { n.platform.loseWriteAnswers = 1 + r.IntN(3) })
		return func() { n.platform.withLock(func() { n.platform.loseWriteAnswers = 0 }) }
	},
	func(n *network, r *rand.Rand) func() { // The instance list is unavailable.
		n.platform.withLock(func() { n.platform.listDown = true })
		return func() { n.platform.withLock(func() { n.platform.listDown = false }) }
	},
	func(n *network, r *rand.Rand) func() { // Messages between daemons are lost.
		n.withLock(func() { n.dropRate = 0.2 })
		return func() { n.withLock(func() { n.dropRate = 0 }) }
	},
}

// Guards, under two random faults at a time, against configurations that revert,
// have two contents under one version or take too long to reach a daemon, and
// against daemons that miss leaves.
func TestRandomFaults(t *testing.T) {
	const rounds = 12
	for _, seed := range seeds(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				reportSeed(t, seed)
				r := rand.New(rand.NewPCG(seed, 2))
				n := newNetwork(seed, 8, 2)
				n.startAll()
				defer n.stopAll()
				time.Sleep(settleTime)
				bodies := map[config.Version]string{}
				for round := range rounds {
					runRound(t, n, r, fmt.Sprintf("%d/%d", seed, round), bodies)
				}
				checkInstalledVersions(t, n)
			})
		})
	}
}

// runRound injects two faults, lets two operators apply configurations at the same
// time and announces a leave on a random daemon. After leaveLimit it checks that the
// daemons follow the leave and have the accepted version.
func runRound(t *testing.T, n *network, r *rand.Rand, name string, bodies map[config.Version]string) {
	var undo []func()
	chosen := r.Perm(len(faults))[:2]
	for _, i := range chosen {
		time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
		undo = append(undo, faults[i](n, r))
	}
	t.Logf("round %s: faults %v", name, chosen)
	leaving := core.InstanceID("leaver-" + name)
	var mu sync.Mutex
	var accepted []config.Version
	var wg sync.WaitGroup
	announced := false
	for op := range 2 {
		applier, announcer := n.nodes[r.IntN(len(n.nodes))], n.nodes[r.IntN(len(n.nodes))]
		wg.Go(func() {
			applier.waitWhilePaused()
			if !applier.isRunning() {
				return
			}
			text := fmt.Sprint(name, "/", op)
			res, err := applier.cfg().Apply(context.Background(), applier.version(), text, configSource(text))
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				accepted = append(accepted, res.Info.Version)
			}
		})
		if op == 0 && announcer.isRunning() {
			wg.Go(func() {
				announcer.waitWhilePaused()
				_, err := announcer.ctl().Leave(context.Background(), leaving)
				announced = err == nil
			})
		}
	}
	wg.Wait()
	time.Sleep(leaveLimit)
	slices.Sort(accepted)
	if len(slices.Compact(slices.Clone(accepted))) != len(accepted) {
		t.Errorf("%s: a version was accepted twice: %v", name, accepted)
	}
	if !announced {
		leaving = ""
	}
	checkRound(t, n, name, chosen, leaving, accepted)
	for _, f := range undo {
		f()
	}
	time.Sleep(settleTime)
	for _, d := range n.nodes {
		s := d.cfg().Current()
		if s == nil {
			continue
		}
		if b, ok := bodies[s.Version]; ok && b != s.SHA256 {
			t.Errorf("%s: version %d has two contents", name, s.Version)
		}
		bodies[s.Version] = s.SHA256
	}
}

// checkRound checks every daemon that is not paused. One that has just resumed must
// refuse requests until it has caught up.
func checkRound(t *testing.T, n *network, name string, chosen []int, leaving core.InstanceID, accepted []config.Version) {
	for _, d := range n.nodes {
		select {
		case d.pauseGate <- struct{}{}:
			<-d.pauseGate
		default:
			continue
		}
		if leaving != "" && !d.avoids(leaving) {
			t.Errorf("%s, faults %v: %s uses the leaving instance", name, chosen, d.instance.ID)
		}
		// A resumed daemon has the full limit to catch up, and a daemon without a
		// version refuses all requests.
		catchingUp := false
		d.withLock(func() { catchingUp = time.Since(d.resumed) < leaveLimit })
		if len(accepted) > 0 && d.isRunning() && !catchingUp && d.version() > 0 && d.version() < accepted[len(accepted)-1] {
			t.Errorf("%s, faults %v: %s has version %d, accepted were %v", name, chosen, d.instance.ID, d.version(), accepted)
		}
	}
}
