package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// HandleExchange records another daemon's status and returns this daemon's.
func (f *Fleet) HandleExchange(s *Status) *Status {
	reply := f.status(f.receive(s))
	if reply.Leaving {
		f.mu.Lock()
		defer f.mu.Unlock()
		if p := f.peers[s.Member.Address]; p != nil {
			p.toldLeave = true
		}
	}
	return reply
}

// StoreAnswered returns the time of the store's latest answer that peers have reported,
// directly or relayed by other daemons; the zero time means that none was reported.
func (f *Fleet) StoreAnswered() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeAnswered
}

// Running returns the number of daemons that run, including this one and those that are
// leaving and still serve, and the highest number of daemons that a peer reports.
func (f *Fleet) Running() (running, reported int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	running = 1
	for _, p := range f.peers {
		if p.alive {
			running++
			reported = max(reported, min(p.status.Daemons, maxPeers))
		}
	}
	return running, reported
}

// Status returns the status that this daemon sends to its peers.
func (f *Fleet) Status() *Status { return f.status(false) }

// status implements Status. If newcomer is set, the status always contains the list of
// known daemons, all limits and all parts.
func (f *Fleet) status(newcomer bool) *Status {
	f.mu.Lock()
	base := f.lastStatus
	if base != nil && f.now().Sub(f.lastStatusAt) >= maxStatusAge {
		base = nil
	}
	f.mu.Unlock()
	if base == nil {
		base = f.source()
	}
	s := *base
	s.Member, s.Incarnation, s.Leaving = f.self, f.startedAt.UnixNano(), f.leaving.Load()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastStatus != base {
		f.lastStatus, f.lastStatusAt = base, f.now()
	}
	if f.storeAnswered.After(s.StoreAnswered) {
		s.StoreAnswered = f.storeAnswered
	}
	if f.statusesSent++; !newcomer && f.now().Sub(f.startedAt) > knownListWarmUp && f.statusesSent%knownListEvery != 1 {
		s.Limits, s.Parts = s.Limits[:s.RecentLimits], s.RecentParts
		return &s
	}
	for _, p := range f.peers {
		if p.alive && len(s.Known) < maxKnownInStatus {
			s.Known = append(s.Known, p.member)
		}
	}
	return &s
}

// receive records a status and says whether its sender was not alive before.
func (f *Fleet) receive(s *Status) (newcomer bool) {
	if s.Member.Address == f.self.Address {
		return false
	}
	f.mu.Lock()
	newcomer = f.updatePeer(s)
	for _, m := range s.Known {
		f.add(m, false)
	}
	if s.StoreAnswered.After(f.storeAnswered) {
		f.storeAnswered = s.StoreAnswered
	}
	f.mu.Unlock()
	f.onStatus(s)
	return newcomer
}

// updatePeer replaces a peer's status and says whether the peer was not alive before.
// It builds a new view at once if members or newest versions have changed. The caller
// holds mu.
func (f *Fleet) updatePeer(s *Status) (newcomer bool) {
	p := f.add(s.Member, false)
	if p == nil || slices.Contains(p.formerIncarnations, s.Incarnation) {
		return false
	}
	before, beforeMs, changed := p.status, f.sinceStart(p.receivedAt), false
	if !p.alive {
		before = nil
	} else if s.Incarnation != p.status.Incarnation {
		// The daemon was restarted, so the work it had in progress is gone.
		f.markLost(p, LossRestarted)
		before, changed = nil, true
	}
	changed = changed || !p.alive || before.Leaving != s.Leaving || p.member != s.Member
	if p.status != nil && p.status.Incarnation != s.Incarnation {
		p.formerIncarnations = append(p.formerIncarnations, p.status.Incarnation)
		p.formerIncarnations = p.formerIncarnations[max(len(p.formerIncarnations)-maxFormerIncarnations, 0):]
	}
	p.member, p.status, p.receivedAt, p.contacted = s.Member, s, f.now(), true
	f.dropReportedPrefills(p)
	changedLoad := before == nil || !sameLoad(before, s)
	if changedLoad || f.loadAges && len(s.Loads) > 0 {
		f.totals.replace(before, beforeMs, s, f.sinceStart(p.receivedAt))
	}
	if changedLoad {
		// A report that repeats the load waits for the next view, which costs more than
		// its age is worth.
		f.viewOutdated.Store(true)
	}
	f.noteLeaving(p)
	if newcomer = !p.alive; newcomer {
		p.alive = true
		f.events.PeerAlive(p.member)
	}
	for table, position := range s.Tables {
		h := f.newest[table]
		switch c := position.Compare(h.Position); {
		case c > 0:
			f.newest[table] = Holder{position, s.Member.Address}
			changed = true
		case c < 0 && h.Address == s.Member.Address:
			f.findNewest()
			changed = true
		}
	}
	if changed {
		f.publishView()
	}
	return newcomer
}

// sinceStart returns the milliseconds from the fleet's start to t.
func (f *Fleet) sinceStart(t time.Time) int64 { return t.Sub(f.startedAt).Milliseconds() }

// markLost marks a daemon as lost and removes it from the totals. The caller holds mu
// and publishes a view afterwards.
func (f *Fleet) markLost(p *peer, reason LossReason) {
	close(p.lost)
	p.lost = make(chan struct{})
	if !p.alive {
		return
	}
	p.alive, p.prefills = false, nil
	f.totals.replace(p.status, f.sinceStart(p.receivedAt), nil, 0)
	f.findNewest()
	f.events.PeerLost(p.member, f.lossOf(p, reason))
}

// findNewest recomputes the newest position of each table from all live peers. The caller
// holds mu.
func (f *Fleet) findNewest() {
	clear(f.newest)
	for _, p := range f.peers {
		if !p.alive {
			continue
		}
		for table, position := range p.status.Tables {
			if position.Compare(f.newest[table].Position) > 0 {
				f.newest[table] = Holder{position, p.member.Address}
			}
		}
	}
}

// expirePeers marks silent daemons as lost and publishes a view if it is outdated.
func (f *Fleet) expirePeers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for _, p := range f.peers {
		if p.alive && f.isSilent(p, now) {
			f.markLost(p, LossSilent)
			f.viewOutdated.Store(true)
		}
	}
	if f.leaving.Load() == slices.Contains(f.view.Load().Alive, f.self) {
		f.viewOutdated.Store(true)
	}
	if f.viewOutdated.Load() {
		f.publishView()
	}
}

// publishView builds and stores a new view. The caller holds mu.
func (f *Fleet) publishView() {
	f.viewOutdated.Store(false)
	v := &View{Newest: maps.Clone(f.newest), BuiltAt: f.now()}
	f.totals.fillView(v)
	if f.loadAges {
		f.totals.fillAges(v, f.sinceStart(v.BuiltAt))
	}
	f.addPrefills(v, v.BuiltAt)
	if !f.leaving.Load() {
		v.Alive = append(v.Alive, f.self)
	}
	for _, p := range f.peers {
		if p.alive && !p.status.Leaving {
			v.Alive = append(v.Alive, p.member)
		}
	}
	slices.SortFunc(v.Alive, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	v.rankings = &rankCache{}
	if old := f.view.Load(); old.rankings != nil && slices.Equal(old.Alive, v.Alive) {
		v.Alive, v.rankings = old.Alive, old.rankings
	}
	f.view.Store(v)
}
