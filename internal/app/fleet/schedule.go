package fleet

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"
)

// rotationIntervals returns the number of intervals within which each peer is contacted
// once. The caller holds mu.
func (f *Fleet) rotationIntervals() time.Duration {
	if len(f.peers) <= fullMeshPeers {
		return 1
	}
	return time.Duration((len(f.peers) + peersPerInterval - 1) / peersPerInterval)
}

// exchangeLimit bounds the regular exchanges that this daemon starts in an interval. The
// bound is higher after the daemon's start. The caller holds mu.
func (f *Fleet) exchangeLimit() int {
	if !f.hasJoined && len(f.peers) <= mediumFleet {
		return exchangesWhileJoining
	}
	if len(f.peers) <= fullMeshPeers || f.now().Sub(f.startedAt) < exchangeWarmUp {
		return exchangesPerInterval
	}
	return exchangesInLargeFleet
}

// isSilent says whether a peer has been silent for too long to count as alive. The limit
// is shorter for watched peers, since they are contacted in each interval. The caller
// holds mu.
func (f *Fleet) isSilent(p *peer, now time.Time) bool {
	if p.watchers > 0 && now.Sub(p.receivedAt) >= aliveTimeout && now.Sub(p.watchedAt) >= aliveTimeout {
		return true
	}
	return now.Sub(p.receivedAt) >= aliveTimeout+(f.rotationIntervals()-1)*exchangeInterval*5/4
}

// Run exchanges with the other daemons until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	t := time.NewTicker(exchangeInterval)
	defer t.Stop()
	time.AfterFunc(joinTimeout, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.setJoined()
	})
	for {
		f.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-f.wake:
		}
	}
}

// round contacts the due peers and updates the view.
func (f *Fleet) round(ctx context.Context) {
	status := f.Status()
	for _, p := range f.duePeers() {
		go f.exchange(ctx, p, status)
	}
	f.expirePeers()
}

// duePeers returns the peers to exchange with in this interval: watched peers, peers
// that reported waits, those that do not know yet that this daemon leaves, and those with the
// oldest contact. An exchange informs both sides, so only one daemon of each pair starts it;
// the other one does so when the exchange is overdue.
func (f *Fleet) duePeers() []*peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	initiated := f.initiatedPeers()
	overdue := f.rotationIntervals()*exchangeInterval + exchangeInterval/2
	var due, urgent, untold []*peer
	for addr, p := range f.peers {
		if !p.listed && now.Sub(p.addedAt) > forgetUnlistedAfter && now.Sub(p.receivedAt) > forgetUnlistedAfter {
			delete(f.peers, addr)
			f.initiated = nil
			continue
		}
		minGap := minExchangeGap
		if !initiated[addr] {
			minGap = overdue
		}
		sinceContact := now.Sub(p.lastContact())
		switch {
		case p.inExchange:
		case f.leaving.Load() && p.alive && !p.toldLeave:
			untold = append(untold, p)
		case p.watchers > 0 && (sinceContact >= minExchangeGap || p.connectionUnproven(now)), p.alive && len(p.status.Waits) > 0 && sinceContact >= queuedPeerInterval:
			urgent = append(urgent, p)
		case sinceContact >= minGap:
			due = append(due, p)
		}
	}
	slices.SortFunc(due, func(a, b *peer) int {
		if initiated[a.address] != initiated[b.address] {
			if initiated[a.address] {
				return -1
			}
			return 1
		}
		return cmp.Or(a.lastContact().Compare(b.lastContact()), cmp.Compare(a.address, b.address))
	})
	due = due[:min(len(due), f.exchangeLimit())]
	slices.SortFunc(urgent, func(a, b *peer) int {
		return cmp.Or(a.lastContact().Compare(b.lastContact()), cmp.Compare(a.address, b.address))
	})
	due = append(due, urgent[:min(len(urgent), maxUrgentExchanges)]...)
	due = append(due, untold[:min(len(untold), leaveExchanges)]...)
	for _, p := range due {
		p.inExchange, p.triedAt = true, now
	}
	return due
}

// initiatedPeers returns the peers with which this daemon starts the exchanges: the half
// of the daemons that follow it on a ring ordered by address. That way all daemons
// start about the same number of exchanges. The caller holds mu.
func (f *Fleet) initiatedPeers() map[string]bool {
	if f.initiated != nil {
		return f.initiated
	}
	ring := append(slices.Collect(maps.Keys(f.peers)), f.self.Address)
	slices.Sort(ring)
	selfIndex, n := slices.Index(ring, f.self.Address), len(ring)
	result := make(map[string]bool, n/2)
	for i := 1; 2*i <= n; i++ {
		// Of two daemons opposite each other on the ring, the one with the lower address
		// starts.
		if 2*i < n || selfIndex < n/2 {
			result[ring[(selfIndex+i)%n]] = true
		}
	}
	f.initiated = result
	return result
}

// connectionUnproven reports whether work has waited on a peer for a while in which the
// peer answered no exchange that this daemon started.
func (p *peer) connectionUnproven(now time.Time) bool {
	return now.Sub(p.watchedAt) >= watchedPeerInterval && now.Sub(p.answeredAt) >= watchedPeerInterval && now.Sub(p.triedAt) >= minExchangeGap
}

// lastContact returns when the peer's last status arrived or the last exchange with it
// was started, whichever is later.
func (p *peer) lastContact() time.Time {
	if p.triedAt.After(p.receivedAt) {
		return p.triedAt
	}
	return p.receivedAt
}

func (f *Fleet) exchange(ctx context.Context, p *peer, status *Status) {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	began := f.now()
	reply, err := f.transport.Exchange(callCtx, p.address, status)
	cancel()
	f.mu.Lock()
	p.inExchange = false
	var replaced *Replacement
	if err != nil {
		if p.failures++; p.failures == 1 {
			// One exchange may fail because of a lost packet. Resetting triedAt keeps the
			// retry from being queued behind the exchanges with all other peers.
			p.triedAt = time.Time{}
		}
		if p.failures%reconnectAfter == 0 {
			replaced = &Replacement{Failures: p.failures, Took: f.now().Sub(began), Silent: f.silence(p), Alive: p.alive, Err: err}
		}
	} else {
		p.failures, p.answeredAt = 0, f.now()
		p.toldLeave = status.Leaving
		if f.leaving.Load() && !p.toldLeave {
			f.wakeUp()
		}
	}
	member := p.member
	f.mu.Unlock()
	if replaced != nil {
		replaced.Calls = f.transport.Reconnect(p.address)
		f.events.ConnectionReplaced(member, *replaced)
	}
	if err == nil {
		f.receive(reply)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p.contacted = true
	f.checkJoined()
}
