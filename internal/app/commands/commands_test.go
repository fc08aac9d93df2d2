package commands

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/lease"
	"eelgrassgrade/internal/decide/membership"
)

// fakeCluster is a table with one lease, the engines of one pool and the
// configuration, all shared by two daemons.
type fakeCluster struct {
	mu           sync.Mutex
	lease        core.Record
	leaseTakenAt time.Time
	// loseWriteResponses fails every lease write after its effect.
	loseWriteResponses bool
	// checksFencing makes the engines refuse commands with old tokens.
	checksFencing bool
	// loadTime is how long an engine takes for a command, which it gives up if its
	// connection is closed.
	loadTime     time.Duration
	engines      map[core.InstanceID]*EngineState
	highestToken uint64
	// commands lists the commands carried out: daemon, token and version.
	commands []string
	// firstCommandAt is the time of the first command with each token.
	firstCommandAt map[uint64]time.Time
	cfg            *config.Snapshot
}

func newFakeCluster(checks bool) *fakeCluster {
	cluster := &fakeCluster{checksFencing: checks, engines: map[core.InstanceID]*EngineState{}, firstCommandAt: map[uint64]time.Time{}}
	for i := range 3 {
		cluster.engines[core.InstanceID(fmt.Sprint("e", i))] = &EngineState{Model: "m", Version: "v0", Role: "decode"}
	}
	cluster.configure("v1")
	return cluster
}

func (cluster *fakeCluster) configure(version string) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.cfg = &config.Snapshot{Lists: &config.Lists{Pools: map[core.PoolID]config.Pool{
		"p": {Kind: config.KindEngine, Model: "m", Version: version, Adapters: []string{"x", "y"}, ChecksFencing: cluster.checksFencing}}}}
}

// loaded reports whether all engines have loaded the version.
func (cluster *fakeCluster) loaded(version string) bool {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	for _, e := range cluster.engines {
		if e.Version != version || len(e.Adapters) != 2 || e.Role != "decode" {
			return false
		}
	}
	return true
}

// daemon is one daemon's access to the cluster. While it is paused, its calls
// wait and take effect only after the pause.
type daemon struct {
	*fakeCluster
	id      core.InstanceID
	cancel  context.CancelFunc
	done    chan struct{}
	pauseMu sync.Mutex
	// pauseIn names the call at whose start the daemon is paused for 20 s, once.
	pauseIn string
	wakeAt  time.Time
}

// pauseIfDue starts the pause if call is pauseIn, and waits until it ends.
func (d *daemon) pauseIfDue(call string) {
	d.pauseMu.Lock()
	if d.pauseIn == call && d.wakeAt.IsZero() {
		d.wakeAt = time.Now().Add(20 * time.Second)
	}
	wait := time.Until(d.wakeAt)
	d.pauseMu.Unlock()
	time.Sleep(wait)
}

func (d *daemon) Get(context.Context, core.RecordKey) (core.Record, error) {
	d.pauseIfDue("get")
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lease.Revision == 0 {
		return d.lease, core.ErrNoRecord
	}
	return d.lease, nil
}

func (d *daemon) Transact(_ context.Context, ws ...core.Write) error {
	d.pauseIfDue("write")
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lease.Revision != ws[0].ExpectRevision {
		return core.ErrRevisionMismatch
	}
	before, _ := lease.Decode(d.lease.Body)
	after, _ := lease.Decode(ws[0].Body)
	if before.Token != after.Token {
		d.leaseTakenAt = time.Now()
	}
	d.lease = core.Record{Revision: ws[0].ExpectRevision + 1, Body: ws[0].Body}
	if d.loseWriteResponses {
		return &core.Error{Kind: core.Unavailable, Err: errors.New("answer lost")}
	}
	return nil
}

func (d *daemon) State(_ context.Context, e core.Endpoint) (EngineState, error) {
	d.pauseIfDue("state")
	d.mu.Lock()
	defer d.mu.Unlock()
	return *d.engines[e.ID], nil
}

func (d *daemon) Load(ctx context.Context, e core.Endpoint, c Command, token uint64) error {
	d.pauseIfDue("load")
	if d.loadTime > 0 {
		select {
		case <-time.After(d.loadTime):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.checksFencing && token < d.highestToken {
		return &core.Error{Kind: core.Upstream, Detail: "old token"}
	}
	d.highestToken = max(d.highestToken, token)
	if d.firstCommandAt[token].IsZero() {
		d.firstCommandAt[token] = time.Now()
	}
	d.commands = append(d.commands, fmt.Sprintf("%s %d %s", d.id, token, c.Version))
	*d.engines[e.ID] = EngineState{Model: c.Model, Version: c.Version, Adapters: c.Adapters, Role: c.Role}
	if d.checksFencing {
		d.engines[e.ID].FencingToken = token
	}
	return nil
}

func (cluster *fakeCluster) start(id, other core.InstanceID, pauseIn string) *daemon {
	d := &daemon{fakeCluster: cluster, id: id, pauseIn: pauseIn, done: make(chan struct{})}
	view := &membership.View{Daemons: []core.Instance{{ID: other}}, Endpoints: map[core.PoolID][]core.Endpoint{"p": {{ID: "e0"}, {ID: "e1"}, {ID: "e2"}}}}
	loop := New(Options{Self: id, Table: d, Engines: d, Metrics: metrics.NewSet(), Log: zerolog.Nop(),
		View: func() *membership.View { return view },
		Config: func() *config.Snapshot {
			cluster.mu.Lock()
			defer cluster.mu.Unlock()
			return cluster.cfg
		}})
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go func() {
		defer close(d.done)
		loop.Run(ctx)
	}()
	return d
}

func (d *daemon) stop() {
	d.cancel()
	<-d.done
}

// Guards against a lease holder that is paused until after the end of its term
// and then commands engines, both engines that check fencing tokens and engines
// that do not. The holder cannot detect a pause inside the command itself:
// engines that check tokens refuse the stale command; on others the successor
// repairs its effect.
func TestHolderPausedPastItsTerm(t *testing.T) {
	for _, checks := range []bool{true, false} {
		for _, pauseIn := range []string{"state", "load"} {
			t.Run(fmt.Sprintf("checks %v, paused in %s", checks, pauseIn), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cluster := newFakeCluster(checks)
					paused := cluster.start("old", "new", pauseIn)
					time.Sleep(3 * time.Second)
					successor := cluster.start("new", "old", "")
					defer paused.stop()
					defer successor.stop()
					time.Sleep(time.Second)
					cluster.configure("v2")
					time.Sleep(14500 * time.Millisecond)
					if !cluster.loaded("v2") {
						t.Errorf("the successor has not loaded v2: %v", cluster.commands)
					}
					cluster.mu.Lock()
					wait := cluster.firstCommandAt[2].Sub(cluster.leaseTakenAt)
					cluster.mu.Unlock()
					if !checks && wait < lease.MaxCommandTime {
						t.Errorf("first command %s after the takeover", wait)
					}
					time.Sleep(16 * time.Second)
					if !cluster.loaded("v2") {
						t.Errorf("the stale command was not repaired: %v", cluster.commands)
					}
					cluster.mu.Lock()
					defer cluster.mu.Unlock()
					for _, c := range cluster.commands {
						if c == "old 1 v1" && (checks || pauseIn == "state") {
							t.Errorf("a stale command was carried out: %v", cluster.commands)
						}
					}
				})
			})
		}
	}
}

// Guards against a holder that loses its lease when the responses to its
// renewals are lost, and against a shutdown after which the successor has to
// wait for the end of the term.
func TestLostResponsesAndRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newFakeCluster(true)
		cluster.loseWriteResponses = true
		first := cluster.start("a", "b", "")
		time.Sleep(time.Second)
		second := cluster.start("b", "a", "")
		defer second.stop()
		time.Sleep(time.Minute)
		synctest.Wait()
		if r, _ := lease.Decode(cluster.lease.Body); r.Holder != "a" || r.Token != 1 || !cluster.loaded("v1") {
			t.Errorf("lease %+v, commands %v", r, cluster.commands)
		}
		first.stop()
		time.Sleep(2*lease.RenewInterval + time.Second)
		synctest.Wait()
		if r, _ := lease.Decode(cluster.lease.Body); r.Holder != "b" || r.Token != 2 {
			t.Errorf("after the release: %+v", r)
		}
	})
}

// Guards against commands in progress that are cut by a shutdown.
func TestShutdownWaitsForCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newFakeCluster(true)
		cluster.loadTime = lease.MaxCommandTime / 2
		d := cluster.start("a", "b", "")
		time.Sleep(lease.RenewInterval + cluster.loadTime/2)
		d.stop()
		if !cluster.loaded("v1") {
			t.Errorf("commands %v, want one for each engine", cluster.commands)
		}
	})
}
