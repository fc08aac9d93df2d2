package control

import (
	"context"
	"time"

	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/membership"
	"eelgrassgrade/internal/decide/quarantine"
)

// exchangeTimeout bounds one exchange.
const exchangeTimeout = 500 * time.Millisecond

func (c *Control) version() config.Version {
	if s := c.o.Configs.Current(); s != nil {
		return s.Version
	}
	return 0
}

func (c *Control) suspectHash() uint64 {
	if c.o.Suspects == nil {
		return 0
	}
	return c.o.Suspects.Hash()
}

// viewAge returns the age of a view that may be dispatched by, or NoAge. c.mu is held.
func (c *Control) viewAge(now time.Time) time.Duration {
	if !c.Fresh(now) {
		return NoAge
	}
	return now.Sub(c.state.ViewAsOf())
}

// exchangeRandom exchanges with a random daemon, of this data centre if near is set.
func (c *Control) exchangeRandom(near bool) {
	peers := c.peerList()
	c.mu.Lock()
	p, ok := membership.RandomPeer(c.rng, c.o.DataCenter, peers, near)
	c.mu.Unlock()
	if ok {
		c.exchange(p.Address)
	}
}

func (c *Control) exchange(addr string) {
	ctx, cancel := context.WithTimeout(c.ctx, exchangeTimeout)
	defer cancel()
	c.mu.Lock()
	asked := time.Now()
	req := ExchangeRequest{Instance: c.o.Self, Version: c.version(), LeavingHash: c.state.Hash(), SuspectHash: c.suspectHash(),
		ViewAge: c.viewAge(asked), WantInstances: !c.state.HasList() || c.wantList}
	c.mu.Unlock()
	rep, err := c.o.Peers.Exchange(ctx, addr, req)
	if err != nil {
		return
	}
	c.merge(asked, addr, rep)
}

// merge takes a peer's answer and sends the peer what it lacks.
func (c *Control) merge(asked time.Time, addr string, rep ExchangeReply) {
	fresh := c.update(func(now time.Time) []membership.Leave {
		c.peerAt = now
		fresh := c.state.ApplyLeaves(now, rep.Leaving)
		fresh = append(fresh, c.state.ApplyPeer(asked, rep.ViewAge, rep.ListAge, rep.Instances)...)
		if rep.ViewAge >= 0 {
			c.confirm(asked)
		}
		c.wantList = rep.ListAge >= 0 && asked.Add(-rep.ListAge).Sub(c.state.ListAsOf()) > oldList
		return fresh
	})
	c.relay(Events{Leaving: fresh, Suspects: c.mergeSuspects(rep.Suspects), HopsLeft: maxHops})
	if rep.Version > c.version() && c.o.Configs.Started() {
		c.tasks.start(func() { c.fetchConfig(addr, rep.Version, maxHops) })
	}
	if e, lacks := c.lacking(rep); lacks {
		c.tasks.start(func() { c.push(c.ctx, addr, e) })
	}
}

// lacking returns what a peer lacks after its answer was merged.
func (c *Control) lacking(rep ExchangeReply) (Events, bool) {
	e := Events{HopsLeft: maxHops}
	c.mu.Lock()
	if c.state.Hash() != rep.LeavingHash {
		e.Leaving = c.state.Leaves(time.Now())
	}
	c.mu.Unlock()
	if c.suspectHash() != rep.SuspectHash {
		e.Suspects = c.o.Suspects.Entries()
	}
	if s := c.o.Configs.Current(); s != nil && s.Version > rep.Version {
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
		defer c.refreshSoon()
	}
	rep := ExchangeReply{Instance: c.o.Self, Version: c.version(), LeavingHash: c.state.Hash(), SuspectHash: c.suspectHash(),
		ViewAge: c.viewAge(now), ListAge: NoAge}
	if r.LeavingHash != rep.LeavingHash {
		rep.Leaving = c.state.Leaves(now)
	}
	if r.SuspectHash != rep.SuspectHash && c.o.Suspects != nil {
		rep.Suspects = c.o.Suspects.Entries()
	}
	if c.state.HasList() {
		rep.ListAge = now.Sub(c.state.ListAsOf())
		if r.WantInstances {
			rep.Instances = c.state.List()
		}
	}
	return rep
}

func (c *Control) mergeSuspects(in []quarantine.Entry) []quarantine.Entry {
	if c.o.Suspects == nil || len(in) == 0 {
		return nil
	}
	return c.o.Suspects.Merge(in)
}

// PushSuspects sends changed entries of the suspect set to other daemons.
func (c *Control) PushSuspects(entries []quarantine.Entry) {
	c.relay(Events{Suspects: entries, HopsLeft: maxHops})
}

// HandleConfiguration implements Handler.
func (c *Control) HandleConfiguration(have config.Version) *ConfigBody {
	s := c.o.Configs.Current()
	if s == nil || s.Version <= have {
		return nil
	}
	return &ConfigBody{Version: s.Version, SHA256: s.SHA256, Source: s.Source}
}

// startPeers is the number of peers that are asked for the configuration at
// start; they are of at least two data centres, so that one lost data centre
// does not hide the newest version.
const startPeers = 8

// OfferedConfigs asks up to 8 peers of at least two data centres for a version
// above have, and returns the answers that come before ctx ends.
func (c *Control) OfferedConfigs(ctx context.Context, have config.Version) []ConfigBody {
	peers := c.peerList()
	c.mu.Lock()
	ask := membership.StartupPeers(c.rng, c.o.DataCenter, peers, startPeers)
	c.mu.Unlock()
	answers := gather(ask, startPeers, func(p core.Instance) *ConfigBody {
		body, err := c.o.Peers.Configuration(ctx, p.Address, have)
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
