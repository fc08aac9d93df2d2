package control

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/membership"
)

const (
	// maxHops bounds the relays of an event. Reaching 330 daemons takes 4.2
	// rounds; the rest is reserve for lost messages.
	maxHops     = 8
	pushTimeout = 500 * time.Millisecond
	// bodyTimeout bounds a call that carries a configuration body.
	bodyTimeout = time.Second
	// pushPause is the time before an event is pushed again to a daemon that did
	// not take it in: it may be starting, or its connection is being replaced.
	pushPause = 50 * time.Millisecond
	// spreadAcks is the number of peers that must hold a version before the
	// accepting daemon puts it into effect.
	spreadAcks = 2
	// maxFetching bounds the bodies fetched at a time: a second source covers a
	// first one that hangs.
	maxFetching = 2
)

func (e Events) empty() bool { return e.Config == nil && len(e.Leaving) == 0 && len(e.Suspects) == 0 }

// push sends events to one daemon.
func (c *Control) push(ctx context.Context, addr string, e Events) (config.Version, error) {
	limit := pushTimeout
	if e.Config != nil && e.Config.Source != nil {
		limit = bodyTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	e.Instance, e.Address = c.o.Self, c.o.Address
	return c.o.Peers.Push(ctx, addr, e)
}

// relay sends events to the relay targets without waiting for them.
func (c *Control) relay(e Events) {
	if e.empty() {
		return
	}
	peers := c.peerList()
	c.mu.Lock()
	targets := membership.RelayTargets(c.rng, c.o.DataCenter, peers)
	c.mu.Unlock()
	for _, t := range targets {
		c.tasks.start(func() { c.push(c.ctx, t.Address, e) })
	}
}

// HandlePush implements Handler. Only what is new here is relayed.
func (c *Control) HandlePush(e Events) config.Version {
	if e.Stopping {
		c.usage.forget(e.Instance)
	}
	next := Events{HopsLeft: e.HopsLeft - 1}
	next.Leaving = c.update(func(now time.Time) []membership.Leave { return c.state.ApplyLeaves(now, e.Leaving) })
	next.Suspects = c.mergeSuspects(e.Suspects)
	if e.Config != nil && e.Config.Version > c.version() && c.o.Configs.Started() {
		if e.Config.Source != nil {
			next.Config = c.install(e.Config)
		} else {
			c.tasks.start(func() { c.fetchConfig(e.Address, e.Config.Version, e.HopsLeft-1) })
		}
	}
	if e.HopsLeft > 0 {
		c.relay(next)
	}
	return c.version()
}

// Stopping tells the daemons of this data centre, which are the homes of its
// accounts, that this daemon stops: its share of limits is free at once and
// not only when its last reports have lapsed. It returns at the latest when
// ctx ends.
func (c *Control) Stopping(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(leaveParallel)
	for _, p := range c.peerList() {
		if p.DataCenter != c.o.DataCenter {
			continue
		}
		g.Go(func() error {
			// A peer that does not answer learns it by the lapse of the reports.
			_, _ = c.push(ctx, p.Address, Events{Stopping: true})
			return nil
		})
	}
	_ = g.Wait() // the functions return no error
}

// install puts a version into effect and returns its announcement, or nil if
// it was not newer.
func (c *Control) install(b *ConfigBody) *ConfigBody {
	ok, err := c.o.Configs.InstallSource(b.Version, b.SHA256, b.Source)
	if err != nil {
		c.log.Error().Err(err).Uint64("version", uint64(b.Version)).Msg("configuration_from_peer_refused")
		return nil
	}
	if !ok {
		return nil
	}
	return &ConfigBody{Version: b.Version, SHA256: b.SHA256}
}

// fetchConfig fetches a version from the daemon that announced it and
// announces it in turn.
func (c *Control) fetchConfig(addr string, v config.Version, hops int) {
	have := c.version()
	c.mu.Lock()
	busy := c.fetching >= maxFetching
	if !busy {
		c.fetching++
	}
	c.mu.Unlock()
	if busy || have >= v {
		if !busy {
			c.fetchDone()
		}
		return
	}
	defer c.fetchDone()
	ctx, cancel := context.WithTimeout(c.ctx, bodyTimeout)
	defer cancel()
	body, err := c.o.Peers.Configuration(ctx, addr, have)
	if err != nil || body == nil {
		return
	}
	if a := c.install(body); a != nil && hops > 0 {
		c.relay(Events{Config: a, HopsLeft: hops})
	}
}

func (c *Control) fetchDone() {
	c.mu.Lock()
	c.fetching--
	c.mu.Unlock()
}

// AnnounceConfig tells peers that this daemon holds the version in force.
func (c *Control) AnnounceConfig() {
	if s := c.o.Configs.Current(); s != nil {
		c.relay(Events{Config: &ConfigBody{Version: s.Version, SHA256: s.SHA256}, HopsLeft: maxHops})
	}
}

// SpreadConfig sends a version with its body to peers until two hold it, or
// all if there are fewer, or ctx ends. It returns how many hold it. A peer that
// fails or does not hold the version yet, because it is still starting, is
// joined by another one and asked again.
func (c *Control) SpreadConfig(ctx context.Context, s *config.Snapshot) int {
	peers := c.peerList()
	c.mu.Lock()
	order := membership.SpreadOrder(c.rng, c.o.DataCenter, peers)
	c.mu.Unlock()
	e := Events{Config: &ConfigBody{Version: s.Version, SHA256: s.SHA256, Source: s.Source}, HopsLeft: maxHops}
	answers, returned := make(chan bool), make(chan struct{})
	defer close(returned)
	sent, acks := 0, 0
	send := func() {
		t := order[sent]
		sent++
		c.tasks.start(func() {
			for {
				v, err := c.push(c.ctx, t.Address, e)
				held := err == nil && v >= s.Version
				select {
				case answers <- held:
				case <-returned:
					return
				}
				if held || wait(ctx, pushPause) != nil {
					return
				}
			}
		})
	}
	for sent < min(membership.LocalRelays+membership.RemoteRelays, len(order)) {
		send()
	}
	for acks < min(spreadAcks, len(order)) {
		select {
		case held := <-answers:
			if held {
				acks++
			} else if sent < len(order) {
				send()
			}
		case <-ctx.Done():
			return acks
		}
	}
	return acks
}

// gather calls f for each daemon, up to limit at a time, and returns the
// answers in the order of the daemons.
func gather[R any](daemons []core.Instance, limit int, f func(core.Instance) R) []R {
	out := make([]R, len(daemons))
	var g errgroup.Group
	g.SetLimit(limit)
	for i, d := range daemons {
		g.Go(func() error {
			out[i] = f(d)
			return nil
		})
	}
	g.Wait()
	return out
}
