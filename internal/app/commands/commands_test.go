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

// world is a table, engines and the configuration that two daemons share.
type world struct {
	mu      sync.Mutex
	rec     core.Record
	takenAt time.Time
	// loseAnswers fails every lease write after its effect.
	loseAnswers bool
	checks      bool
	engines     map[core.InstanceID]*EngineState
	highest     uint64
	commands    []string
	commandAt   map[uint64]time.Time
	cfg         *config.Snapshot
}

func newWorld(checks bool) *world {
	w := &world{checks: checks, engines: map[core.InstanceID]*EngineState{}, commandAt: map[uint64]time.Time{}}
	for i := range 3 {
		w.engines[core.InstanceID(fmt.Sprint("e", i))] = &EngineState{Model: "m", Version: "v0", Role: "decode"}
	}
	w.configure("v1")
	return w
}

func (w *world) configure(version string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cfg = &config.Snapshot{Lists: &config.Lists{Pools: map[core.PoolID]config.Pool{
		"p": {Kind: config.KindEngine, Model: "m", Version: version, Adapters: []string{"x", "y"}, ChecksFencing: w.checks}}}}
}

// loaded says whether all engines have the version.
func (w *world) loaded(version string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.engines {
		if e.Version != version || len(e.Adapters) != 2 || e.Role != "decode" {
			return false
		}
	}
	return true
}

// daemon is one daemon's access to the world. A paused daemon's calls have
// their effect only after it wakes.
type daemon struct {
	*world
	id     core.InstanceID
	cancel context.CancelFunc
	done   chan struct{}
	gate   sync.Mutex
	// pauseIn names the call after whose start the daemon is paused for 20 s.
	pauseIn string
	wakeAt  time.Time
}

func (d *daemon) enter(call string) {
	d.gate.Lock()
	if d.pauseIn == call && d.wakeAt.IsZero() {
		d.wakeAt = time.Now().Add(20 * time.Second)
	}
	wait := time.Until(d.wakeAt)
	d.gate.Unlock()
	time.Sleep(wait)
}

func (d *daemon) Get(context.Context, core.RecordKey) (core.Record, error) {
	d.enter("get")
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rec.Revision == 0 {
		return d.rec, core.ErrNoRecord
	}
	return d.rec, nil
}

func (d *daemon) Transact(_ context.Context, ws ...core.Write) error {
	d.enter("write")
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rec.Revision != ws[0].ExpectRevision {
		return core.ErrRevisionMismatch
	}
	before, _ := lease.Decode(d.rec.Body)
	after, _ := lease.Decode(ws[0].Body)
	if before.Token != after.Token {
		d.takenAt = time.Now()
	}
	d.rec = core.Record{Revision: ws[0].ExpectRevision + 1, Body: ws[0].Body}
	if d.loseAnswers {
		return &core.Error{Kind: core.Unavailable, Err: errors.New("answer lost")}
	}
	return nil
}

func (d *daemon) State(_ context.Context, e core.Endpoint) (EngineState, error) {
	d.enter("state")
	d.mu.Lock()
	defer d.mu.Unlock()
	return *d.engines[e.ID], nil
}

func (d *daemon) Load(_ context.Context, e core.Endpoint, c Command, token uint64) error {
	d.enter("load")
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.checks && token < d.highest {
		return &core.Error{Kind: core.Upstream, Detail: "old token"}
	}
	d.highest = max(d.highest, token)
	if d.commandAt[token].IsZero() {
		d.commandAt[token] = time.Now()
	}
	d.commands = append(d.commands, fmt.Sprintf("%s %d %s", d.id, token, c.Version))
	*d.engines[e.ID] = EngineState{Model: c.Model, Version: c.Version, Adapters: c.Adapters, Role: c.Role}
	if d.checks {
		d.engines[e.ID].FencingToken = token
	}
	return nil
}

func (w *world) start(id, other core.InstanceID, pauseIn string) *daemon {
	d := &daemon{world: w, id: id, pauseIn: pauseIn, done: make(chan struct{})}
	view := &membership.View{Daemons: []core.Instance{{ID: other}}, Endpoints: map[core.PoolID][]core.Endpoint{"p": {{ID: "e0"}, {ID: "e1"}, {ID: "e2"}}}}
	o := New(Options{Self: id, Table: d, Engines: d, Metrics: metrics.NewSet(), Log: zerolog.Nop(),
		View: func() *membership.View { return view },
		Config: func() *config.Snapshot {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.cfg
		}})
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go func() {
		defer close(d.done)
		o.Run(ctx)
	}()
	return d
}

func (d *daemon) stop() {
	d.cancel()
	<-d.done
}

// Guards against a holder that is paused past the end of its term and commands
// engines when it wakes, on engines that check tokens and on those that do not.
// A pause inside the command itself cannot be seen: engines that check tokens
// refuse the stale command, on others the successor repairs its effect.
func TestHolderPausedAndWoken(t *testing.T) {
	for _, checks := range []bool{true, false} {
		for _, pauseIn := range []string{"state", "load"} {
			t.Run(fmt.Sprintf("checks %v, paused in %s", checks, pauseIn), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(checks)
					old := w.start("old", "new", pauseIn)
					time.Sleep(3 * time.Second)
					next := w.start("new", "old", "")
					defer old.stop()
					defer next.stop()
					time.Sleep(time.Second)
					w.configure("v2")
					time.Sleep(14500 * time.Millisecond)
					if !w.loaded("v2") {
						t.Errorf("the successor has not loaded v2: %v", w.commands)
					}
					w.mu.Lock()
					wait := w.commandAt[2].Sub(w.takenAt)
					w.mu.Unlock()
					if !checks && wait < lease.MaxCommandTime {
						t.Errorf("first command %s after the takeover", wait)
					}
					time.Sleep(16 * time.Second)
					if !w.loaded("v2") {
						t.Errorf("the stale command was not repaired: %v", w.commands)
					}
					w.mu.Lock()
					defer w.mu.Unlock()
					for _, c := range w.commands {
						if c == "old 1 v1" && (checks || pauseIn == "state") {
							t.Errorf("a stale command was carried out: %v", w.commands)
						}
					}
				})
			})
		}
	}
}

// Guards against a holder that loses its lease when answers of renewals are
// lost, and against a shutdown that makes the successor wait for the term.
func TestLostAnswersAndRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(true)
		w.loseAnswers = true
		first := w.start("a", "b", "")
		time.Sleep(time.Second)
		second := w.start("b", "a", "")
		defer second.stop()
		time.Sleep(time.Minute)
		synctest.Wait()
		if r, _ := lease.Decode(w.rec.Body); r.Holder != "a" || r.Token != 1 || !w.loaded("v1") {
			t.Errorf("lease %+v, commands %v", r, w.commands)
		}
		first.stop()
		time.Sleep(2*lease.RenewInterval + time.Second)
		synctest.Wait()
		if r, _ := lease.Decode(w.rec.Body); r.Holder != "b" || r.Token != 2 {
			t.Errorf("after the release: %+v", r)
		}
	})
}
