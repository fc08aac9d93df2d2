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
	// the first startRounds, in which daemons that started together find each other.
	knownEach   = 8
	startRounds = 128
	// dropAfter failed exchanges in a row the connection is replaced, since an
	// open one may be silent while new ones work.
	dropAfter = 2
	// forgetAfter is how long a daemon that is in no list is still tried.
	forgetAfter = time.Minute
	// freshFor is how long a peer that was heard gets no exchange.
	freshFor = 6 * interval / 10
	// maxStarted bounds the exchanges that a daemon starts in an interval. It gets
	// as many from others. maxPeers of them are planned for; the rest makes up for
	// exchanges that fail.
	maxStarted = 12
	maxPeers   = 2*maxStarted - 4
	// maxTold bounds the daemons that a status lists.
	maxTold = 48
	// maxKnown bounds the daemons that are remembered.
	maxKnown = 1024
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
	// Incarnation is the daemon's start, Unix nanoseconds.
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
}

// Fleet is the membership of one daemon.
type Fleet struct {
	self      Member
	born      int64
	transport Transport
	source    Source
	events    Events
	onStatus  func(*Status)
	now       func() time.Time

	view    atomic.Pointer[View]
	leaving atomic.Bool

	mu    sync.Mutex
	peers map[string]*peer // by address
	// rounds counts the statuses that this daemon told.
	rounds int
	// storeAnswered is the latest answer of the store that others told of.
	storeAnswered time.Time
}

// turns returns the number of intervals in which each peer is due once. The
// caller holds mu.
func (f *Fleet) turns() time.Duration {
	return time.Duration(max((len(f.peers)+maxPeers-1)/maxPeers, 1))
}

// silence returns how long a daemon may be silent and count as alive. The caller
// holds mu.
func (f *Fleet) silence() time.Duration {
	return aliveFor + (f.turns()-1)*interval*5/4
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
	f := &Fleet{self: o.Self, born: o.Now().UnixNano(), transport: o.Transport, source: o.Source, events: o.Events,
		onStatus: o.OnStatus, now: o.Now, peers: map[string]*peer{}}
	f.view.Store(&View{Alive: []Member{o.Self}})
	return f
}

// View returns the current view.
func (f *Fleet) View() *View { return f.view.Load() }

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
		f.peers[m.Address] = p
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

// due returns the peers to exchange with in this interval: those that were not
// heard or tried for the longest time, at most maxStarted. An exchange tells both
// sides, so one of each two daemons starts it; the other one does when that is
// overdue.
func (f *Fleet) due() []*peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	starts := f.starts()
	overdue := f.turns()*interval + interval/2
	var list []*peer
	for addr, p := range f.peers {
		if !p.listed && now.Sub(p.added) > forgetAfter && now.Sub(p.heard) > forgetAfter {
			delete(f.peers, addr)
			continue
		}
		wait := freshFor
		if !starts[addr] {
			wait = overdue
		}
		if !p.busy && now.Sub(p.last()) >= wait {
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
	list = list[:min(len(list), maxStarted)]
	for _, p := range list {
		p.busy, p.tried = true, now
	}
	return list
}

// starts returns the peers with which this daemon starts the exchanges: the half
// of the daemons that follow it in the order of addresses, taken as a ring. Each
// daemon so starts as many as the others. The caller holds mu.
func (f *Fleet) starts() map[string]bool {
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
	f.heard(s)
	return f.Status()
}

// StoreAnswered returns when the store last answered another daemon, as far as
// this one heard, through others too. The zero time means that it heard of none.
func (f *Fleet) StoreAnswered() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeAnswered
}

// Status returns what this daemon tells the others.
func (f *Fleet) Status() *Status {
	s := f.source()
	s.Member, s.Incarnation, s.Leaving = f.self, f.born, f.leaving.Load()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeAnswered.After(s.StoreAnswered) {
		s.StoreAnswered = f.storeAnswered
	}
	if f.rounds++; f.rounds > startRounds && f.rounds%knownEach != 1 {
		return s
	}
	for _, p := range f.peers {
		if p.alive && len(s.Known) < maxTold {
			s.Known = append(s.Known, p.member)
		}
	}
	return s
}

func (f *Fleet) heard(s *Status) {
	if s.Member.Address == f.self.Address {
		return
	}
	f.mu.Lock()
	p := f.add(s.Member, false)
	if p != nil && (p.status == nil || s.Incarnation >= p.status.Incarnation) {
		if p.status != nil && s.Incarnation > p.status.Incarnation {
			// The daemon was restarted: what it had in progress is gone.
			f.lost(p)
		}
		p.member, p.status, p.heard = s.Member, s, f.now()
	}
	for _, m := range s.Known {
		f.add(m, false)
	}
	if s.StoreAnswered.After(f.storeAnswered) {
		f.storeAnswered = s.StoreAnswered
	}
	f.mu.Unlock()
	f.onStatus(s)
	f.refresh()
}

func (f *Fleet) lost(p *peer) {
	close(p.died)
	p.died = make(chan struct{})
	if p.alive {
		p.alive = false
		f.events.PeerLost(p.member, f.now().Sub(p.heard))
	}
}

// refresh rebuilds the view.
func (f *Fleet) refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	v := &View{Loads: map[core.InstanceID]EndpointLoad{}, Waits: map[StageGroup]map[core.InstanceID][]time.Duration{}, Newest: map[string]Holder{}}
	if !f.leaving.Load() {
		v.Alive = append(v.Alive, f.self)
	}
	silence := f.silence()
	for _, p := range f.peers {
		fresh := p.status != nil && now.Sub(p.heard) < silence
		if !fresh {
			if p.alive {
				f.lost(p)
			}
			continue
		}
		if !p.alive {
			p.alive = true
			f.events.PeerAlive(p.member)
		}
		if !p.status.Leaving {
			v.Alive = append(v.Alive, p.member)
		}
		v.take(p.status)
	}
	slices.SortFunc(v.Alive, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	v.ranks = &ranks{}
	if old := f.view.Load(); old.ranks != nil && slices.Equal(old.Alive, v.Alive) {
		v.ranks = old.ranks
	}
	f.view.Store(v)
}

// Died returns a channel that is closed when the daemon is lost or restarted. A
// daemon that is not alive has a closed channel.
func (f *Fleet) Died(address string) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.peers[address]; p != nil && p.alive {
		return p.died
	}
	c := make(chan struct{})
	close(c)
	return c
}
