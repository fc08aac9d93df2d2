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

// startingPeers are daemons that do not take in events until a time.
type startingPeers struct {
	Peers
	until map[string]time.Time
	fails bool

	mu    sync.Mutex
	calls map[string]int
}

func (p *startingPeers) Push(_ context.Context, addr string, e Events) (config.Version, error) {
	p.mu.Lock()
	p.calls[addr]++
	p.mu.Unlock()
	if time.Now().Before(p.until[addr]) {
		if p.fails {
			return 0, errors.New("no connection")
		}
		return 0, nil
	}
	if e.Config == nil {
		return 0, nil
	}
	return e.Config.Version, nil
}

type noTable struct{ Table }

func (noTable) Transact(context.Context, ...core.Write) error { return nil }

func controlWith(p Peers, addresses ...string) *Control {
	c := New(Options{Self: "d0", DataCenter: "dc", Configs: noConfigs{}, Peers: p, Table: noTable{}, Log: zerolog.Nop()})
	v := &membership.View{}
	for _, a := range addresses {
		v.Daemons = append(v.Daemons, core.Instance{ID: core.InstanceID(a), Role: core.RoleDaemon, DataCenter: "dc", Address: a})
	}
	c.view.Store(v)
	return c
}

// Guards against a version that fewer peers hold than are alive, because one was
// starting and did not take it in yet: a restart of the accepting daemon and the
// one peer could then lose it during an outage of the platform.
func TestStartingPeerIsAskedAgainToHoldAVersion(t *testing.T) {
	for _, fails := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := &startingPeers{until: map[string]time.Time{"b": time.Now().Add(200 * time.Millisecond)}, fails: fails, calls: map[string]int{}}
			c := controlWith(p, "a", "b")
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if acks := c.SpreadConfig(ctx, &config.Snapshot{Version: 1}); acks != 2 {
				t.Errorf("%d of 2 peers hold the version (pushes fail: %v)", acks, fails)
			}
			if p.calls["a"] != 1 {
				t.Errorf("a peer that holds the version was asked %d times", p.calls["a"])
			}
			c.tasks.wait()
		})
	}
}

// Guards against waits beyond the time that is given for a peer that never holds
// the version, and against pushes to it after that.
func TestSpreadEndsWithItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &startingPeers{until: map[string]time.Time{"b": time.Now().Add(time.Hour)}, fails: true, calls: map[string]int{}}
		c := controlWith(p, "a", "b")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		if acks := c.SpreadConfig(ctx, &config.Snapshot{Version: 1}); acks != 1 {
			t.Errorf("%d peers hold the version, one never does", acks)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("took %v of 1 s", took)
		}
		c.tasks.wait()
		calls := p.calls["b"]
		time.Sleep(time.Minute)
		if p.calls["b"] != calls {
			t.Error("pushes go on after the time")
		}
	})
}

// Guards against a leave that a daemon does not hear of at once, because the
// connection to it was just being replaced.
func TestLeaveIsPushedAgainToADaemonThatFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &startingPeers{until: map[string]time.Time{"b": time.Now().Add(200 * time.Millisecond)}, fails: true, calls: map[string]int{}}
		c := controlWith(p, "a", "b")
		if r, err := c.Leave(t.Context(), "endpoint"); err != nil || r.Informed != 3 || r.Known != 3 {
			t.Errorf("%+v, %v", r, err)
		}
	})
}
