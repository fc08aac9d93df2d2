package fleet

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"
)

// turns returns the number of intervals in which each peer is due once. The
// caller holds mu.
func (f *Fleet) turns() time.Duration {
	if len(f.peers) <= allPeers {
		return 1
	}
	return time.Duration((len(f.peers) + plannedEach - 1) / plannedEach)
}

// started returns how many exchanges this daemon starts in an interval by turns: more
// while it is new, until it has met the others. The caller holds mu.
func (f *Fleet) started() int {
	if !f.hasMet && len(f.peers) <= midSize {
		return firstStarted
	}
	if len(f.peers) <= allPeers || f.now().Sub(f.born) < meetTime {
		return maxStarted
	}
	return manyStarted
}

// lapsed says whether a peer has been silent for too long to count as alive. One on
// which work waits is heard in each interval. The caller holds mu.
func (f *Fleet) lapsed(p *peer, now time.Time) bool {
	if p.watches > 0 && now.Sub(p.heard) >= aliveFor && now.Sub(p.watchedAt) >= aliveFor {
		return true
	}
	return now.Sub(p.heard) >= aliveFor+(f.turns()-1)*interval*5/4
}

// Run exchanges with the other daemons until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	t := time.NewTicker(interval)
	defer t.Stop()
	time.AfterFunc(metWithin, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.setMet()
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

func (f *Fleet) round(ctx context.Context) {
	status := f.Status()
	for _, p := range f.due() {
		go f.exchange(ctx, p, status)
	}
	f.refresh()
}

// due returns the peers to exchange with in this interval: those on which work
// waits, those that told of waits, and those that were not heard or tried for the
// longest time. An exchange tells both sides, so one of each two daemons starts it;
// the other one does when that is overdue.
func (f *Fleet) due() []*peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	starts := f.starts()
	overdue := f.turns()*interval + interval/2
	var list, urgent []*peer
	for addr, p := range f.peers {
		if !p.listed && now.Sub(p.added) > forgetAfter && now.Sub(p.heard) > forgetAfter {
			delete(f.peers, addr)
			f.starting = nil
			continue
		}
		wait := freshFor
		if !starts[addr] {
			wait = overdue
		}
		last := now.Sub(p.last())
		switch {
		case p.busy:
		case p.watches > 0 && last >= freshFor, p.alive && len(p.status.Waits) > 0 && last >= loadedEach:
			urgent = append(urgent, p)
		case last >= wait:
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *peer) int {
		if starts[a.address] != starts[b.address] {
			if starts[a.address] {
				return -1
			}
			return 1
		}
		return cmp.Or(a.last().Compare(b.last()), cmp.Compare(a.address, b.address))
	})
	list = list[:min(len(list), f.started())]
	slices.SortFunc(urgent, func(a, b *peer) int { return cmp.Or(a.last().Compare(b.last()), cmp.Compare(a.address, b.address)) })
	list = append(list, urgent[:min(len(urgent), maxUrgent)]...)
	for _, p := range list {
		p.busy, p.tried = true, now
	}
	return list
}

// starts returns the peers with which this daemon starts the exchanges: the half
// of the daemons that follow it in the order of addresses, taken as a ring. Each
// daemon so starts as many as the others. The caller holds mu.
func (f *Fleet) starts() map[string]bool {
	if f.starting != nil {
		return f.starting
	}
	ring := append(slices.Collect(maps.Keys(f.peers)), f.self.Address)
	slices.Sort(ring)
	at, n := slices.Index(ring, f.self.Address), len(ring)
	out := make(map[string]bool, n/2)
	for i := 1; 2*i <= n; i++ {
		// Of two daemons opposite each other the first starts.
		if 2*i < n || at < n/2 {
			out[ring[(at+i)%n]] = true
		}
	}
	f.starting = out
	return out
}

// last returns when the peer was last heard or tried.
func (p *peer) last() time.Time {
	if p.tried.After(p.heard) {
		return p.tried
	}
	return p.heard
}

func (f *Fleet) exchange(ctx context.Context, p *peer, s *Status) {
	call, cancel := context.WithTimeout(ctx, exchangeTimeout)
	reply, err := f.transport.Exchange(call, p.address, s)
	cancel()
	f.mu.Lock()
	p.busy = false
	drop := false
	if err != nil {
		if p.failures++; p.failures == 1 {
			// A single exchange may fail for a lost packet: the next one is not put behind
			// those with all other peers.
			p.tried = time.Time{}
		}
		drop = p.failures%dropAfter == 0
	} else {
		p.failures = 0
	}
	f.mu.Unlock()
	if drop {
		f.transport.Drop(p.address)
	}
	if err == nil {
		f.heard(reply)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p.met = true
	f.checkMet()
}
