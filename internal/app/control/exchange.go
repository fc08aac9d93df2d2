package control

import (
	"context"
	"time"

	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/membership"
	"eelgrassgrade/internal/decide/quarantine"
)

// exchangeTimeout limits the duration of one exchange.
const exchangeTimeout = 500 * time.Millisecond

func (c *Control) configVersion() config.Version {
	if s := c.opts.Configs.Current(); s != nil {
		return s.Version
	}
	return 0
}

func (c *Control) suspectHash() uint64 {
	if c.opts.Suspects == nil {
		return 0
	}
	return c.opts.Suspects.Hash()
}

// viewAge returns the age of the view, or NoAge if it is not fresh enough for
// dispatching. c.mu is held.
func (c *Control) viewAge(now time.Time) time.Duration {
	if !c.ViewIsFresh(now) {
		return NoAge
	}
	return now.Sub(c.state.ViewAsOf())
}

// exchangeRandom exchanges state with a random daemon; with sameDataCenter set, it
// prefers the daemons of this data centre.
func (c *Control) exchangeRandom(sameDataCenter bool) {
	peers := c.peerList()
	c.mu.Lock()
	p, ok := membership.RandomPeer(c.rng, c.opts.DataCenter, peers, sameDataCenter)
	c.mu.Unlock()
	if ok {
		c.exchange(p.Address)
	}
}

// exchange compares state with one daemon and merges the reply.
func (c *Control) exchange(addr string) {
	ctx, cancel := context.WithTimeout(c.ctx, exchangeTimeout)
	defer cancel()
	c.mu.Lock()
	requestedAt := time.Now()
	req := ExchangeRequest{Instance: c.opts.Self, Version: c.configVersion(), LeavingHash: c.state.Hash(), SuspectHash: c.suspectHash(),
		ViewAge: c.viewAge(requestedAt), WantInstances: !c.state.HasList() || c.wantPeerList}
	c.mu.Unlock()
	rep, err := c.opts.Peers.Exchange(ctx, addr, req)
	if err != nil {
		return
	}
	c.mergeReply(requestedAt, addr, rep)
}

// mergeReply merges a peer's reply into the local state and sends the peer the
// events that it lacks. requestedAt is the time at which the request was sent.
func (c *Control) mergeReply(requestedAt time.Time, addr string, rep ExchangeReply) {
	newLeaves := c.updateView(func(now time.Time) []membership.Leave {
		c.lastPeerReplyAt = now
		newLeaves := c.state.ApplyLeaves(now, rep.Leaving)
		newLeaves = append(newLeaves, c.state.ApplyPeer(requestedAt, rep.ViewAge, rep.ListAge, rep.Instances)...)
		if rep.ViewAge >= 0 {
			c.confirmLeaves(requestedAt)
		}
		c.wantPeerList = rep.ListAge >= 0 && requestedAt.Add(-rep.ListAge).Sub(c.state.ListAsOf()) > listLagToRequest
		return newLeaves
	})
	c.relay(Events{Leaving: newLeaves, Suspects: c.mergeSuspects(rep.Suspects), HopsLeft: maxHops})
	if rep.Version > c.configVersion() && c.opts.Configs.Started() {
		c.tasks.start(func() { c.fetchConfig(addr, rep.Version, maxHops) })
	}
	if e, lacks := c.missingAtPeer(rep); lacks {
		c.tasks.start(func() { c.push(c.ctx, addr, e) })
	}
}

// missingAtPeer returns the events that the sender of rep lacks, and whether there
// are any. It is called after rep was merged.
func (c *Control) missingAtPeer(rep ExchangeReply) (Events, bool) {
	e := Events{HopsLeft: maxHops}
	c.mu.Lock()
	if c.state.Hash() != rep.LeavingHash {
		e.Leaving = c.state.Leaves(time.Now())
	}
	c.mu.Unlock()
	if c.suspectHash() != rep.SuspectHash {
		e.Suspects = c.opts.Suspects.Entries()
	}
	if s := c.opts.Configs.Current(); s != nil && s.Version > rep.Version {
		e.Config = &ConfigBody{Version: s.Version, SHA256: s.SHA256}
	}
	return e, !e.empty()
}

// HandleExchange implements Handler.
func (c *Control) HandleExchange(r ExchangeRequest) ExchangeReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.checkPause(now) {
		defer c.startRefresh()
	}
	rep := ExchangeReply{Instance: c.opts.Self, Version: c.configVersion(), LeavingHash: c.state.Hash(), SuspectHash: c.suspectHash(),
		ViewAge: c.viewAge(now), ListAge: NoAge}
	if r.LeavingHash != rep.LeavingHash {
		rep.Leaving = c.state.Leaves(now)
	}
	if r.SuspectHash != rep.SuspectHash && c.opts.Suspects != nil {
		rep.Suspects = c.opts.Suspects.Entries()
	}
	if c.state.HasList() {
		rep.ListAge = now.Sub(c.state.ListAsOf())
		if r.WantInstances {
			rep.Instances = c.state.List()
		}
	}
	return rep
}

// mergeSuspects adds entries to the suspect set and returns those that changed it.
func (c *Control) mergeSuspects(entries []quarantine.Entry) []quarantine.Entry {
	if c.opts.Suspects == nil || len(entries) == 0 {
		return nil
	}
	return c.opts.Suspects.Merge(entries)
}

// PushSuspects sends changed entries of the suspect set to other daemons.
func (c *Control) PushSuspects(entries []quarantine.Entry) {
	c.relay(Events{Suspects: entries, HopsLeft: maxHops})
}

// HandleConfiguration implements Handler.
func (c *Control) HandleConfiguration(have config.Version) *ConfigBody {
	s := c.opts.Configs.Current()
	if s == nil || s.Version <= have {
		return nil
	}
	return &ConfigBody{Version: s.Version, SHA256: s.SHA256, Source: s.Source}
}

// maxConfigPeers is the number of peers that are asked for the configuration at
// start. They are in at least two data centres, so that the newest version is
// found even if one data centre is lost.
const maxConfigPeers = 8

// PeerConfigs asks up to maxConfigPeers peers, in at least two data centres, for a
// version above have, and returns the replies that arrive before ctx ends.
func (c *Control) PeerConfigs(ctx context.Context, have config.Version) []ConfigBody {
	peers := c.peerList()
	c.mu.Lock()
	targets := membership.StartupPeers(c.rng, c.opts.DataCenter, peers, maxConfigPeers)
	c.mu.Unlock()
	answers := gather(targets, maxConfigPeers, func(p core.Instance) *ConfigBody {
		body, err := c.opts.Peers.Configuration(ctx, p.Address, have)
		if err != nil {
			return nil
		}
		return body
	})
	var bodies []ConfigBody
	for _, b := range answers {
		if b != nil {
			bodies = append(bodies, *b)
		}
	}
	return bodies
}
