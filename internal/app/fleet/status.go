package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Receive takes in another daemon's status and returns this daemon's.
func (f *Fleet) Receive(s *Status) *Status {
	return f.status(f.heard(s))
}

// StoreAnswered returns when the store last answered another daemon, as far as
// this one heard, through others too. The zero time means that it heard of none.
func (f *Fleet) StoreAnswered() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeAnswered
}

// Status returns what this daemon tells the others.
func (f *Fleet) Status() *Status { return f.status(false) }

// status is Status. With newcomer the other known daemons are told in any case.
func (f *Fleet) status(newcomer bool) *Status {
	f.mu.Lock()
	told := f.told
	if told != nil && f.now().Sub(f.toldAt) >= statusAge {
		told = nil
	}
	f.mu.Unlock()
	if told == nil {
		told = f.source()
	}
	s := *told
	s.Member, s.Incarnation, s.Leaving = f.self, f.born.UnixNano(), f.leaving.Load()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.told != told {
		f.told, f.toldAt = told, f.now()
	}
	if f.storeAnswered.After(s.StoreAnswered) {
		s.StoreAnswered = f.storeAnswered
	}
	if f.rounds++; !newcomer && f.now().Sub(f.born) > startTime && f.rounds%knownEach != 1 {
		return &s
	}
	for _, p := range f.peers {
		if p.alive && len(s.Known) < maxTold {
			s.Known = append(s.Known, p.member)
		}
	}
	return &s
}

// heard takes in a status and says whether its sender was not alive before.
func (f *Fleet) heard(s *Status) (newcomer bool) {
	if s.Member.Address == f.self.Address {
		return false
	}
	f.mu.Lock()
	newcomer = f.take(s)
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

// take replaces a peer's status and says whether the peer was not alive before. A
// view is built at once if daemons or newest versions change. The caller holds mu.
func (f *Fleet) take(s *Status) (newcomer bool) {
	p := f.add(s.Member, false)
	if p == nil || slices.Contains(p.former, s.Incarnation) {
		return false
	}
	before, changed := p.status, false
	if !p.alive {
		before = nil
	} else if s.Incarnation != p.status.Incarnation {
		// The daemon was restarted: what it had in progress is gone.
		f.lost(p)
		before, changed = nil, true
	}
	changed = changed || !p.alive || before.Leaving != s.Leaving || p.member != s.Member
	if p.status != nil && p.status.Incarnation != s.Incarnation {
		p.former = append(p.former, p.status.Incarnation)
		p.former = p.former[max(len(p.former)-maxFormer, 0):]
	}
	p.member, p.status, p.heard, p.met = s.Member, s, f.now(), true
	f.dropReadings(p)
	if before == nil || !sameWork(before, s) {
		f.totals.replace(before, s)
		f.outdated.Store(true)
	}
	if newcomer = !p.alive; newcomer {
		p.alive = true
		f.events.PeerAlive(p.member)
	}
	for table, version := range s.Tables {
		switch h := f.newest[table]; {
		case version > h.Version:
			f.newest[table] = Holder{version, s.Member.Address}
			changed = true
		case version < h.Version && h.Address == s.Member.Address:
			f.findNewest()
			changed = true
		}
	}
	if changed {
		f.publish()
	}
	return newcomer
}

// lost takes a daemon that is not alive any more out of the totals. The caller
// holds mu and publishes a view.
func (f *Fleet) lost(p *peer) {
	close(p.died)
	p.died = make(chan struct{})
	if !p.alive {
		return
	}
	p.alive, p.readings = false, nil
	f.totals.replace(p.status, nil)
	f.findNewest()
	f.events.PeerLost(p.member, f.now().Sub(p.heard))
}

// findNewest goes through all live peers for the newest version of each table.
func (f *Fleet) findNewest() {
	clear(f.newest)
	for _, p := range f.peers {
		if !p.alive {
			continue
		}
		for table, version := range p.status.Tables {
			if version > f.newest[table].Version {
				f.newest[table] = Holder{version, p.member.Address}
			}
		}
	}
}

// refresh takes silent daemons out of the view.
func (f *Fleet) refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for _, p := range f.peers {
		if p.alive && f.lapsed(p, now) {
			f.lost(p)
			f.outdated.Store(true)
		}
	}
	if f.leaving.Load() == slices.Contains(f.view.Load().Alive, f.self) {
		f.outdated.Store(true)
	}
	if f.outdated.Load() {
		f.publish()
	}
}

// publish builds the view anew. The caller holds mu.
func (f *Fleet) publish() {
	f.outdated.Store(false)
	v := &View{Newest: maps.Clone(f.newest), built: f.now()}
	f.totals.fill(v)
	f.addReadings(v, v.built)
	if !f.leaving.Load() {
		v.Alive = append(v.Alive, f.self)
	}
	for _, p := range f.peers {
		if p.alive && !p.status.Leaving {
			v.Alive = append(v.Alive, p.member)
		}
	}
	slices.SortFunc(v.Alive, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	v.ranks = &ranks{}
	if old := f.view.Load(); old.ranks != nil && slices.Equal(old.Alive, v.Alive) {
		v.Alive, v.ranks = old.Alive, old.ranks
	}
	f.view.Store(v)
}
