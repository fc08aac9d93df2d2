package control

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/membership"
)

// fakePeers simulates peers of which each accepts events only from its time in
// startsAt. Before that, pushes fail or report version 0.
type fakePeers struct {
	Peers
	startsAt         map[string]time.Time
	failUntilStarted bool

	mu    sync.Mutex
	calls map[string]int
}

func (p *fakePeers) Push(_ context.Context, addr string, e Events) (config.Version, error) {
	p.mu.Lock()
	p.calls[addr]++
	p.mu.Unlock()
	if time.Now().Before(p.startsAt[addr]) {
		if p.failUntilStarted {
			return 0, errors.New("no connection")
		}
		return 0, nil
	}
	if e.Config == nil {
		return 0, nil
	}
	return e.Config.Version, nil
}

// fakeTable accepts every write and does not support reads.
type fakeTable struct{ Table }

func (fakeTable) Transact(context.Context, ...core.Write) error { return nil }

// newTestControl returns a Control whose view holds a daemon at each address.
func newTestControl(p Peers, addresses ...string) *Control {
	c := New(Options{Self: "d0", DataCenter: "dc", Configs: emptyConfigs{}, Peers: p, Table: fakeTable{}, Log: zerolog.Nop()})
	v := &membership.View{}
	for _, a := range addresses {
		v.Daemons = append(v.Daemons, core.Instance{ID: core.InstanceID(a), Role: core.RoleDaemon, DataCenter: "dc", Address: a})
	}
	c.view.Store(v)
	return c
}

// Guards against replicating a version to too few peers because one of them was
// still starting and did not accept it. If the accepting daemon and the only other
// holder then restarted during an outage of the platform, the version would be lost.
func TestReplicateConfigRetriesStartingPeer(t *testing.T) {
	for _, fails := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := &fakePeers{startsAt: map[string]time.Time{"b": time.Now().Add(200 * time.Millisecond)}, failUntilStarted: fails, calls: map[string]int{}}
			c := newTestControl(p, "a", "b")
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if acks := c.ReplicateConfig(ctx, &config.Snapshot{Version: 1}); acks != 2 {
				t.Errorf("%d peers hold the version, want 2 (failing pushes: %v)", acks, fails)
			}
			if p.calls["a"] != 1 {
				t.Errorf("%d pushes to a peer that holds the version, want 1", p.calls["a"])
			}
			c.tasks.wait()
		})
	}
}

// Guards against waiting past the deadline for a peer that never holds the version,
// and against pushes to it after the deadline.
func TestReplicateConfigStopsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePeers{startsAt: map[string]time.Time{"b": time.Now().Add(time.Hour)}, failUntilStarted: true, calls: map[string]int{}}
		c := newTestControl(p, "a", "b")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		if acks := c.ReplicateConfig(ctx, &config.Snapshot{Version: 1}); acks != 1 {
			t.Errorf("%d peers hold the version, want 1", acks)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("returned after %v, want at most 1 s", took)
		}
		c.tasks.wait()
		calls := p.calls["b"]
		time.Sleep(time.Minute)
		if p.calls["b"] != calls {
			t.Error("pushes continue after the deadline")
		}
	})
}

// Guards against a leave that reaches a daemon late because the first push failed,
// for instance while the connection was being replaced.
func TestLeaveRetriesFailedPush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePeers{startsAt: map[string]time.Time{"b": time.Now().Add(200 * time.Millisecond)}, failUntilStarted: true, calls: map[string]int{}}
		c := newTestControl(p, "a", "b")
		if r, err := c.Leave(t.Context(), "endpoint"); err != nil || r.DaemonsInformed != 3 || r.DaemonsKnown != 3 {
			t.Errorf("%+v, %v", r, err)
		}
	})
}
