// Package fleet keeps track of the other daemons: who is alive, what each has
// in progress and which versions each knows. Daemons tell each other by
// periodic exchanges; nothing of it is durable.
package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

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
	maxStarted = 12
	// firstStarted replaces maxStarted until a daemon has met the others.
	firstStarted = 64
	// midSize is the number of others up to which a daemon meets all at its start and
	// announces long prompts to all. What these take of all daemons grows with the
	// square of their number: at 195 a quarter of their processor time.
	midSize     = 100
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
	// Announce tells the daemon at the address of a long prompt.
	Announce(ctx context.Context, address string, r Reading) error
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
	// met says that an exchange with the peer has ended, or that it was heard.
	met    bool
	alive  bool
	listed bool
	died   chan struct{}
	// watches counts those that wait for work at the peer, since watchedAt.
	watches   int
	watchedAt time.Time
	// readings are prompts that the peer announced since its last status.
	readings []reading
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
	announces *rate.Limiter

	view atomic.Pointer[View]
	// outdated says that the totals have changed since the view was built.
	outdated atomic.Bool
	leaving  atomic.Bool
	// met is closed when the daemon has met the others. wake asks for exchanges
	// before the next interval.
	met  chan struct{}
	wake chan struct{}

	mu    sync.Mutex
	peers map[string]*peer // by address
	// listKnown says that the platform's list of daemons was read, hasMet that met is
	// closed.
	listKnown, hasMet bool
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
		onStatus: o.OnStatus, now: o.Now, announces: rate.NewLimiter(announcesPerS, announceBurst), met: make(chan struct{}), wake: make(chan struct{}, 1), peers: map[string]*peer{}, totals: newTotals(), newest: map[string]Holder{}}
	f.view.Store(&View{Alive: []Member{o.Self}})
	return f
}

// View returns the current view. Its sums are at most viewAge behind what was
// told, its daemons and newest versions are not behind.
func (f *Fleet) View() *View {
	v, now := f.view.Load(), f.now()
	outdated := f.outdated.Load() || !v.stale.IsZero() && now.After(v.stale)
	if !outdated || now.Sub(v.built) < viewAge || !f.mu.TryLock() {
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
	f.listKnown = f.listKnown || listed
	f.checkMet()
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
