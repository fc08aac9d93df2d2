// Package fleet keeps track of the other daemons: who is alive, what each has
// in progress and which versions each knows. Daemons tell each other by
// periodic exchanges; nothing of it is durable.
package fleet

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"eelgrassgrade/internal/core"
)

const (
	// interval is the time between two exchanges with a peer.
	interval = 300 * time.Millisecond
	// exchangeTimeout bounds an exchange.
	exchangeTimeout = 400 * time.Millisecond
	// aliveFor is how long a daemon counts as alive after it was last heard: two
	// lost exchanges and their timeouts. Where peers take turns, the time between
	// two exchanges comes on top.
	aliveFor = 1100 * time.Millisecond
	// knownEach is how many statuses apart the list of known daemons is told after
	// startTime, in which daemons that started together find each other. Daemons
	// that were not alive before are always told it.
	knownEach = 8
	startTime = 3 * time.Second
	// meetTime is the time in which a daemon starts as many exchanges as it may, in
	// order to meet hundreds of others.
	meetTime = 6 * time.Second
	// dropAfter failed exchanges in a row the connection is replaced, since an
	// open one may be silent while new ones work.
	dropAfter = 2
	// forgetAfter is how long a daemon that is in no list is still tried.
	forgetAfter = time.Minute
	// freshFor is how long a peer that was heard gets no exchange.
	freshFor = 6 * interval / 10
	// maxStarted bounds the exchanges that a daemon starts in an interval by turns. It
	// gets as many from others. Up to allPeers others, all are heard in an interval;
	// above, plannedEach in each: exchanges are most of what a daemon of hundreds
	// spends. The rest makes up for exchanges that fail.
	maxStarted  = 12
	allPeers    = 2*maxStarted - 4
	manyStarted = 5
	plannedEach = 2*manyStarted - 2
	// loadedEach is the time between two exchanges with a daemon in whose queues work
	// waits: where work goes and what is refused depends on it.
	loadedEach = 900 * time.Millisecond
	// maxUrgent bounds the exchanges beside those by turns.
	maxUrgent = 24
	// maxTold bounds the daemons that a status lists.
	maxTold = 48
	// maxKnown bounds the daemons that are remembered.
	maxKnown = 1024
	// maxFormer bounds the incarnations of a daemon whose late words are known as such.
	// They are compared for equality alone: a machine's time of day may be set back
	// between two starts.
	maxFormer = 4
	// viewAge is how old the sums of a view may be while newer ones are known, and
	// statusAge the same for what this daemon tells. Both are small beside the time
	// between two exchanges, and hundreds of daemons exchange many times in them.
	viewAge   = 50 * time.Millisecond
	statusAge = 50 * time.Millisecond
)

// Member is a daemon.
type Member struct {
	ID         core.InstanceID
	Address    string
	DataCenter core.DataCenterID
	// Millicores is what its process may use, in thousandths of a core; 0 counts as
	// a whole core.
	Millicores int
}

// EndpointLoad is what one daemon has in progress on an endpoint.
type EndpointLoad struct {
	Endpoint core.InstanceID
	Running  int
	// PrefillTokens are prompt tokens of requests without a first event yet.
	PrefillTokens int
	// Failing says that the daemon has taken the endpoint out of rotation.
	Failing bool
}

// StageGroup is a group of a pool's endpoints that one daemon coordinates.
type StageGroup struct {
	Pool  core.PoolID
	Group int
}

// GroupWait is how long new pieces wait in a coordinator's queue, by rank.
type GroupWait struct {
	StageGroup
	Wait []time.Duration
}

// Suspect is a request content that may crash endpoints.
type Suspect struct {
	Fingerprint uint64
	Crashes     int
}

// Status is what a daemon tells the others.
type Status struct {
	Member Member
	// Incarnation tells the starts of a daemon apart. It is the time of the start,
	// which may be before that of an earlier one.
	Incarnation int64
	Leaving     bool
	// Tables holds the version of the last change of each mirrored table.
	Tables   map[string]int64
	Loads    []EndpointLoad
	Waits    []GroupWait
	Suspects []Suspect
	// Known lists other daemons.
	Known []Member
	// StoreAnswered is when the store last answered a daemon, as far as the sender
	// knows, by the receiver's clock.
	StoreAnswered time.Time
}

// Transport carries exchanges.
type Transport interface {
	Exchange(ctx context.Context, address string, s *Status) (*Status, error)
	// Drop closes the connection to the address; the next call opens another.
	Drop(address string)
}

// Source gives this daemon's status, but for Member, Incarnation and Known, and
// with StoreAnswered as this daemon itself knows it.
type Source func() *Status

// Events is told of changes of membership.
type Events interface {
	PeerAlive(m Member)
	PeerLost(m Member, silent time.Duration)
}

type peer struct {
	// address is the key under which the peer is known; it does not change.
	address string
	member  Member
	status  *Status
	heard   time.Time
	// tried is when the last exchange was started that did not fail for the first
	// time in a row.
	tried    time.Time
	added    time.Time
	failures int
	busy     bool
	alive    bool
	listed   bool
	died     chan struct{}
	// watches counts those that wait for work at the peer, since watchedAt.
	watches   int
	watchedAt time.Time
	// former holds the incarnations before the one of status, the latest last.
	former []int64
}

// Fleet is the membership of one daemon.
type Fleet struct {
	self      Member
	born      time.Time
	transport Transport
	source    Source
	events    Events
	onStatus  func(*Status)
	now       func() time.Time

	view atomic.Pointer[View]
	// outdated says that the totals have changed since the view was built.
	outdated atomic.Bool
	leaving  atomic.Bool

	mu    sync.Mutex
	peers map[string]*peer // by address
	// starting holds the peers with which this daemon starts the exchanges. It is
	// nil after a change of peers.
	starting map[string]bool
	totals   *totals
	newest   map[string]Holder
	// told is the status that this daemon told last, built at toldAt.
	told   *Status
	toldAt time.Time
	// rounds counts the statuses that this daemon told.
	rounds int
	// storeAnswered is the latest answer of the store that others told of.
	storeAnswered time.Time
}

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

// Options of a Fleet.
type Options struct {
	Self      Member
	Transport Transport
	Source    Source
	Events    Events
	// OnStatus is called with each status heard.
	OnStatus func(*Status)
	Now      func() time.Time
}

// New returns a fleet that knows only itself.
func New(o Options) *Fleet {
	f := &Fleet{self: o.Self, born: o.Now(), transport: o.Transport, source: o.Source, events: o.Events,
		onStatus: o.OnStatus, now: o.Now, peers: map[string]*peer{}, totals: newTotals(), newest: map[string]Holder{}}
	f.view.Store(&View{Alive: []Member{o.Self}})
	return f
}

// View returns the current view. Its sums are at most viewAge behind what was
// told, its daemons and newest versions are not behind.
func (f *Fleet) View() *View {
	v := f.view.Load()
	if !f.outdated.Load() || f.now().Sub(v.built) < viewAge || !f.mu.TryLock() {
		return v
	}
	defer f.mu.Unlock()
	f.publish()
	return f.view.Load()
}

// Leave tells the others from the next exchange on that this daemon stops.
func (f *Fleet) Leave() { f.leaving.Store(true) }

// Add makes daemons known. listed says that they stand in the platform's list.
func (f *Fleet) Add(members []Member, listed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range members {
		f.add(m, listed)
	}
}

func (f *Fleet) add(m Member, listed bool) *peer {
	if m.Address == "" || m.Address == f.self.Address {
		return nil
	}
	p := f.peers[m.Address]
	if p == nil {
		if len(f.peers) >= maxKnown {
			return nil
		}
		p = &peer{address: m.Address, member: m, added: f.now(), died: make(chan struct{})}
		f.peers[m.Address], f.starting = p, nil
	}
	if p.member.ID == "" {
		p.member = m
	}
	p.listed = p.listed || listed
	return p
}

// Run exchanges with the other daemons until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		f.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
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
}

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
	p.member, p.status, p.heard = s.Member, s, f.now()
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
	p.alive = false
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

// Watch returns a channel that is closed when the daemon is lost or restarted. A
// daemon that is not alive has a closed channel. Until stop is called the daemon is
// heard in each interval, so that its loss shows as soon among hundreds as among few.
func (f *Fleet) Watch(address string) (died <-chan struct{}, stop func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[address]
	if p == nil || !p.alive {
		c := make(chan struct{})
		close(c)
		return c, func() {}
	}
	if p.watches++; p.watches == 1 {
		p.watchedAt = f.now()
	}
	return p.died, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		p.watches--
	}
}
