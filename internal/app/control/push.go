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
	// maxHops is the number of times that an event is relayed. Reaching 330 daemons
	// takes 4.2 rounds; the remaining hops compensate for lost messages.
	maxHops     = 8
	pushTimeout = 500 * time.Millisecond
	// configBodyTimeout limits a call that carries a configuration body.
	configBodyTimeout = time.Second
	// pushRetryDelay is the delay before an event is pushed again to a daemon that
	// did not accept it: it may be starting, or its connection is being replaced.
	pushRetryDelay = 50 * time.Millisecond
	// configReplicas is the number of peers that must hold a version before the
	// accepting daemon puts it into force.
	configReplicas = 2
	// maxConfigFetches is the number of concurrent fetches of a configuration body.
	// With two, a fetch from a daemon that hangs does not block the other.
	maxConfigFetches = 2
)

func (e Events) empty() bool { return e.Config == nil && len(e.Leaving) == 0 && len(e.Suspects) == 0 }

// push sends events to one daemon and returns the configuration version that the
// daemon then has.
func (c *Control) push(ctx context.Context, addr string, e Events) (config.Version, error) {
	timeout := pushTimeout
	if e.Config != nil && e.Config.Source != nil {
		timeout = configBodyTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	e.Instance, e.Address = c.opts.Self, c.opts.Address
	return c.opts.Peers.Push(ctx, addr, e)
}

// relay sends events to random relay targets without waiting for their replies.
func (c *Control) relay(e Events) {
	if e.empty() {
		return
	}
	peers := c.peerList()
	c.mu.Lock()
	targets := membership.RelayTargets(c.rng, c.opts.DataCenter, peers)
	c.mu.Unlock()
	for _, t := range targets {
		c.tasks.start(func() { c.push(c.ctx, t.Address, e) })
	}
}

// HandlePush implements Handler. It relays only the events that are new to this
// daemon.
func (c *Control) HandlePush(e Events) config.Version {
	if e.Stopping {
		c.usage.forgetDaemon(e.Instance)
	}
	relayed := Events{HopsLeft: e.HopsLeft - 1}
	relayed.Leaving = c.updateView(func(now time.Time) []membership.Leave { return c.state.ApplyLeaves(now, e.Leaving) })
	relayed.Suspects = c.mergeSuspects(e.Suspects)
	if e.Config != nil && e.Config.Version > c.configVersion() && c.opts.Configs.Started() {
		if e.Config.Source != nil {
			relayed.Config = c.installConfig(e.Config)
		} else {
			c.tasks.start(func() { c.fetchConfig(e.Address, e.Config.Version, e.HopsLeft-1) })
		}
	}
	if e.HopsLeft > 0 {
		c.relay(relayed)
	}
	return c.configVersion()
}

// AnnounceStop informs the daemons of this data centre, which aggregate the usage
// of its accounts, that this daemon stops. They then drop its usage at once rather
// than when its last reports expire, so that other daemons can use its share of
// the limits. It returns at the latest when ctx ends.
func (c *Control) AnnounceStop(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxParallelCalls)
	for _, p := range c.peerList() {
		if p.DataCenter != c.opts.DataCenter {
			continue
		}
		g.Go(func() error {
			// On a peer that does not respond, the reports expire.
			_, _ = c.push(ctx, p.Address, Events{Stopping: true})
			return nil
		})
	}
	_ = g.Wait() // the functions return no error
}

// installConfig puts a version into force. It returns the announcement to relay, or
// nil if the version was refused or is not newer than the current one.
func (c *Control) installConfig(b *ConfigBody) *ConfigBody {
	ok, err := c.opts.Configs.InstallSource(b.Version, b.SHA256, b.Source)
	if err != nil {
		c.log.Error().Err(err).Uint64("version", uint64(b.Version)).Msg("configuration_from_peer_refused")
		return nil
	}
	if !ok {
		return nil
	}
	return &ConfigBody{Version: b.Version, SHA256: b.SHA256}
}

// fetchConfig fetches version v from the daemon that announced it, installs it and
// relays the announcement.
func (c *Control) fetchConfig(addr string, v config.Version, hopsLeft int) {
	have := c.configVersion()
	c.mu.Lock()
	atLimit := c.configFetches >= maxConfigFetches
	if !atLimit {
		c.configFetches++
	}
	c.mu.Unlock()
	if atLimit || have >= v {
		if !atLimit {
			c.endConfigFetch()
		}
		return
	}
	defer c.endConfigFetch()
	ctx, cancel := context.WithTimeout(c.ctx, configBodyTimeout)
	defer cancel()
	body, err := c.opts.Peers.Configuration(ctx, addr, have)
	if err != nil || body == nil {
		return
	}
	if announcement := c.installConfig(body); announcement != nil && hopsLeft > 0 {
		c.relay(Events{Config: announcement, HopsLeft: hopsLeft})
	}
}

func (c *Control) endConfigFetch() {
	c.mu.Lock()
	c.configFetches--
	c.mu.Unlock()
}

// AnnounceConfig announces to peers the version in force on this daemon.
func (c *Control) AnnounceConfig() {
	if s := c.opts.Configs.Current(); s != nil {
		c.relay(Events{Config: &ConfigBody{Version: s.Version, SHA256: s.SHA256}, HopsLeft: maxHops})
	}
}

// ReplicateConfig sends a version with its body to peers until configReplicas of
// them (or all, if there are fewer) hold it, or ctx ends. It returns the number of
// peers that hold it. If a push fails, or the peer does not hold the version yet
// because it is still starting, the push is retried and the version is also sent
// to a further peer.
func (c *Control) ReplicateConfig(ctx context.Context, s *config.Snapshot) int {
	peers := c.peerList()
	c.mu.Lock()
	order := membership.SpreadOrder(c.rng, c.opts.DataCenter, peers)
	c.mu.Unlock()
	e := Events{Config: &ConfigBody{Version: s.Version, SHA256: s.SHA256, Source: s.Source}, HopsLeft: maxHops}
	answers, returned := make(chan bool), make(chan struct{})
	defer close(returned)
	sent, acks := 0, 0
	send := func() {
		target := order[sent]
		sent++
		c.tasks.start(func() {
			for {
				v, err := c.push(c.ctx, target.Address, e)
				holds := err == nil && v >= s.Version
				select {
				case answers <- holds:
				case <-returned:
					return
				}
				if holds || sleep(ctx, pushRetryDelay) != nil {
					return
				}
			}
		})
	}
	for sent < min(membership.LocalRelays+membership.RemoteRelays, len(order)) {
		send()
	}
	for acks < min(configReplicas, len(order)) {
		select {
		case holds := <-answers:
			if holds {
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

// gather calls f for each daemon, at most limit at a time, and returns the results
// in the order of the daemons.
func gather[R any](daemons []core.Instance, limit int, f func(core.Instance) R) []R {
	results := make([]R, len(daemons))
	var g errgroup.Group
	g.SetLimit(limit)
	for i, d := range daemons {
		g.Go(func() error {
			results[i] = f(d)
			return nil
		})
	}
	g.Wait()
	return results
}
