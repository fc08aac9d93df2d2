// Package fleet tracks the other daemons: which are alive, what work each has in
// progress and which table versions each has. Daemons exchange their statuses
// periodically; none of this state is durable.
package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/quarantine"
	"eelgrassgrade/internal/decide/ratelimit"
)

const (
	// exchangeInterval is the time between two exchanges with a peer.
	exchangeInterval = 300 * time.Millisecond
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 400 * time.Millisecond
	// aliveTimeout is how long a daemon counts as alive after its last status arrived:
	// one interval and the timeouts of two failed exchanges. In fleets whose peers
	// exchange in rotation, the length of a rotation is added.
	aliveTimeout = 1100 * time.Millisecond
	// Every status contains the list of known daemons during knownListWarmUp after the
	// start, so that daemons that start together find each other; after that, one
	// status in knownListEvery does. A daemon that was not alive before always gets
	// the list.
	knownListEvery  = 8
	knownListWarmUp = 3 * time.Second
	// exchangeWarmUp is how long after its start a daemon in a large fleet starts
	// exchangesPerInterval instead of exchangesInLargeFleet, so that it reaches
	// hundreds of peers quickly.
	exchangeWarmUp = 6 * time.Second
	// reconnectAfter is the number of consecutive failed exchanges after which the
	// connection is replaced: an open connection may be dead while new ones work.
	reconnectAfter = 2
	// watchedPeerInterval is the time within which an exchange with a watched peer is
	// started although the peer starts exchanges itself: these do not show whether the
	// connection to it, on which work waits, is dead.
	watchedPeerInterval = 2 * exchangeInterval
	// forgetUnlistedAfter is how long a silent daemon that is not in the platform's
	// list is still tried.
	forgetUnlistedAfter = time.Minute
	// minExchangeGap is the time after a contact with a peer in which no exchange with
	// it is started.
	minExchangeGap = 6 * exchangeInterval / 10
	// exchangesPerInterval bounds the regular exchanges that a daemon starts in one
	// interval; its peers start about as many with it.
	exchangesPerInterval = 12
	// exchangesWhileJoining replaces exchangesPerInterval until a daemon has joined a
	// fleet of up to mediumFleet peers.
	exchangesWhileJoining = 64
	// leaveExchanges bounds the exchanges that a daemon which leaves starts in one interval
	// to tell the others. It tells 330 daemons in 1.5 s, before the load balancer has noticed.
	leaveExchanges = 64
	// mediumFleet is the number of peers up to which a daemon contacts all peers at its
	// start and announces long prompts to all of them. The total cost of this grows
	// with the square of the number of daemons: with 195 it is a quarter of their
	// processor time.
	mediumFleet = 100
	// With up to fullMeshPeers peers, a daemon exchanges with each of them in every
	// interval. With more, it exchanges with peersPerInterval of them in rotation and
	// starts up to exchangesInLargeFleet, because exchanges are most of what a daemon
	// in a fleet of hundreds spends. fullMeshPeers and peersPerInterval are less than
	// twice the exchanges that a daemon may start, which leaves room for repeats of
	// failed ones.
	fullMeshPeers         = 2*exchangesPerInterval - 4
	exchangesInLargeFleet = 5
	peersPerInterval      = 2*exchangesInLargeFleet - 2
	// queuedPeerInterval is the time between two exchanges with a daemon that has work
	// in its queues: its waits decide where work is sent and what is refused.
	queuedPeerInterval = 900 * time.Millisecond
	// maxUrgentExchanges bounds the exchanges that a daemon starts in one interval in
	// addition to the regular ones.
	maxUrgentExchanges = 24
	// maxKnownInStatus bounds the known daemons that a status lists.
	maxKnownInStatus = 48
	// maxPeers bounds the peers that are tracked.
	maxPeers = 1024
	// maxFormerIncarnations bounds the earlier incarnations that are remembered per
	// peer in order to ignore their late statuses. Incarnations are compared only for
	// equality: an instance's time of day may be set back between two starts.
	maxFormerIncarnations = 4
	// maxViewAge bounds the age of a view whose sums are outdated, and maxStatusAge the
	// age of the status that this daemon sends. Both are short compared to
	// exchangeInterval. They spare rebuilds, since a daemon in a fleet of hundreds
	// takes part in many exchanges in this time.
	maxViewAge   = 50 * time.Millisecond
	maxStatusAge = 50 * time.Millisecond
)

// Member identifies a daemon and describes where it runs.
type Member struct {
	ID         core.InstanceID
	Address    string
	DataCenter core.DataCenterID
	// Millicores is the processor share of the daemon's process, in thousandths of a
	// core; 0 counts as a whole core.
	Millicores int
	// GrantsPermits says that the daemon grants permits for endpoints that name a limit,
	// which earlier versions do not.
	GrantsPermits bool
	// CountsRestorations says that the daemon knows how often the platform's store was
	// restored, which earlier versions do not.
	CountsRestorations bool
}

// EndpointLoad is what one daemon has in progress on an endpoint.
type EndpointLoad struct {
	Endpoint core.InstanceID
	Running  int
	// PrefillTokens is the number of prompt tokens of requests whose first event has
	// not arrived yet.
	PrefillTokens int
	// Failing is set if the daemon has taken the endpoint out of rotation.
	Failing bool
}

// StageGroup is a group of a pool's endpoints that one daemon coordinates.
type StageGroup struct {
	Pool  core.PoolID
	Group int
}

// GroupWait is how long new pieces wait in a coordinator's queue, indexed by rank.
type GroupWait struct {
	StageGroup
	Wait []time.Duration
}

// EndpointLimit is a limit that an endpoint has named, or has ceased to name.
type EndpointLimit struct {
	Endpoint core.InstanceID
	// StartedMs identifies the incarnation of the endpoint, see endpoints.Entry.
	StartedMs int64
	ratelimit.Observation
	// ColdFor is how much longer the endpoint counts as cold, 0 if it does not.
	ColdFor time.Duration
}

// Status is the state that a daemon sends to its peers.
type Status struct {
	Member Member
	// Incarnation identifies one run of a daemon. It is the time of the start, which
	// is not necessarily later than that of the previous run.
	Incarnation int64
	Leaving     bool
	// Tables holds the position of the last change of each mirrored table.
	Tables   map[string]core.CopyPosition
	Loads    []EndpointLoad
	Waits    []GroupWait
	Suspects []quarantine.ContentReport
	// Limits lists the limits that endpoints have named, those that changed last first.
	// The first RecentLimits of them changed lately. The others are left out of statuses
	// that do not list the known daemons.
	Limits       []EndpointLimit
	RecentLimits int
	// Parts lists the parts of prompts that endpoints crashed on. RecentParts, those that
	// changed lately, takes its place in statuses that do not list the known daemons, and
	// is not sent itself.
	Parts, RecentParts []quarantine.PartReport
	// Daemons is the highest number of daemons that the sender has known to run lately,
	// see repeats.FleetSize; 0 if it does not say.
	Daemons int
	// Known lists other daemons that are alive.
	Known []Member
	// StoreAnswered is the time of the store's latest answer to any daemon that the
	// sender knows of, by the receiver's clock.
	StoreAnswered time.Time
}

// Transport sends messages to other daemons.
type Transport interface {
	Exchange(ctx context.Context, address string, s *Status) (*Status, error)
	// Reconnect makes later calls to the address open another connection. Calls in progress
	// go on unless the daemon answers only on the new connection. It returns their number.
	Reconnect(address string) (calls int)
	// Announce announces a long prompt to the daemon at the address.
	Announce(ctx context.Context, address string, r Prefill) error
}

// Source returns this daemon's status without Member, Incarnation, Leaving and
// Known. StoreAnswered covers only the store's answers to this daemon.
type Source func() *Status

// Events receives membership changes.
type Events interface {
	PeerAlive(m Member)
	// PeerLost reports that a peer is no longer alive.
	PeerLost(m Member, l Loss)
	// PeerLeaving reports that a peer has announced its planned stop.
	PeerLeaving(m Member)
	// ConnectionReplaced reports that new calls to a peer use another connection, because
	// exchanges with it fail.
	ConnectionReplaced(m Member, r Replacement)
}

type peer struct {
	// address is the peer's key in Fleet.peers; it does not change.
	address    string
	member     Member
	status     *Status
	receivedAt time.Time
	// triedAt is when the last exchange was started. The first failure in a row resets
	// it.
	triedAt time.Time
	addedAt time.Time
	// answeredAt is when an exchange that this daemon started was last answered.
	answeredAt time.Time
	failures   int
	inExchange bool
	// contacted is set once an exchange with the peer has ended, successfully or not,
	// or a status of the peer has arrived.
	contacted bool
	alive     bool
	listed    bool
	// toldLeave says that the peer has a status that says that this daemon leaves.
	toldLeave bool
	// leavingSince is when a status first announced the peer's planned stop; zero if none
	// has.
	leavingSince time.Time
	lost         chan struct{}
	// watchers counts the unstopped Watch calls, and watchedAt is the time of the first
	// of them.
	watchers  int
	watchedAt time.Time
	// prefills holds the prompts that the peer has announced and its statuses do not
	// cover yet.
	prefills []announcedPrefill
	// formerIncarnations holds the incarnations before that of status, the latest last.
	formerIncarnations []int64
}

// Fleet is one daemon's knowledge of the other daemons.
type Fleet struct {
	self            Member
	startedAt       time.Time
	transport       Transport
	source          Source
	events          Events
	onStatus        func(*Status)
	now             func() time.Time
	announceLimiter *rate.Limiter
	loadAges        bool

	view atomic.Pointer[View]
	// viewOutdated is set if the totals have changed since the view was built.
	viewOutdated atomic.Bool
	leaving      atomic.Bool
	// joined is closed when the daemon has joined the fleet, see Joined. wake triggers
	// exchanges before the next interval.
	joined chan struct{}
	wake   chan struct{}

	mu    sync.Mutex
	peers map[string]*peer // by address
	// listRead is set once the platform's list of daemons was read, hasJoined once
	// joined is closed.
	listRead, hasJoined bool
	// initiated caches the result of initiatedPeers. It is nil after a change of peers.
	initiated map[string]bool
	totals    *totals
	newest    map[string]Holder
	// lastStatus is the latest status from source, built at lastStatusAt.
	lastStatus   *Status
	lastStatusAt time.Time
	// statusesSent counts the statuses that this daemon has made for its peers.
	statusesSent int
	// storeAnswered is the time of the store's latest answer that peers have reported.
	storeAnswered time.Time
}

// Options of a Fleet.
type Options struct {
	Self      Member
	Transport Transport
	Source    Source
	Events    Events
	// OnStatus is called with each status that arrives.
	OnStatus func(*Status)
	// LoadAges makes views tell the ages of the loads.
	LoadAges bool
	Now      func() time.Time
}

// New returns a fleet that knows only itself.
func New(o Options) *Fleet {
	f := &Fleet{self: o.Self, startedAt: o.Now(), transport: o.Transport, source: o.Source, events: o.Events,
		onStatus: o.OnStatus, loadAges: o.LoadAges, now: o.Now, announceLimiter: rate.NewLimiter(announcementsPerSecond, announcementBurst), joined: make(chan struct{}), wake: make(chan struct{}, 1), peers: map[string]*peer{}, totals: newTotals(), newest: map[string]Holder{}}
	f.view.Store(&View{Alive: []Member{o.Self}})
	return f
}

// View returns the current view. Its members and newest versions are up to date; its
// sums may lag behind the received statuses by maxViewAge.
func (f *Fleet) View() *View {
	v, now := f.view.Load(), f.now()
	outdated := f.viewOutdated.Load() || !v.expiresAt.IsZero() && now.After(v.expiresAt)
	if !outdated || now.Sub(v.BuiltAt) < maxViewAge || !f.mu.TryLock() {
		return v
	}
	defer f.mu.Unlock()
	f.publishView()
	return f.view.Load()
}

// Leave marks this daemon as leaving and tells all live daemons, without waiting for the next
// interval or their turn: until they know, they ask it for permits and submit tasks to it.
func (f *Fleet) Leave() {
	f.leaving.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publishView()
	f.wakeUp()
}

// Add adds daemons as peers. listed says that they are in the platform's list.
func (f *Fleet) Add(members []Member, listed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range members {
		f.add(m, listed)
	}
	f.listRead = f.listRead || listed
	f.checkJoined()
}

func (f *Fleet) add(m Member, listed bool) *peer {
	if m.Address == "" || m.Address == f.self.Address {
		return nil
	}
	p := f.peers[m.Address]
	if p == nil {
		if len(f.peers) >= maxPeers {
			return nil
		}
		p = &peer{address: m.Address, member: m, addedAt: f.now(), lost: make(chan struct{})}
		f.peers[m.Address], f.initiated = p, nil
	}
	if p.member.ID == "" {
		p.member = m
	}
	p.listed = p.listed || listed
	return p
}

// Watch returns a channel that is closed when the daemon at the address is lost or
// restarted, and that is closed already if the daemon is not alive. Until stop is
// called, the daemon is contacted in each interval, so that its loss is detected as
// quickly in a fleet of hundreds as in a small one.
func (f *Fleet) Watch(address string) (lost <-chan struct{}, stop func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[address]
	if p == nil || !p.alive {
		c := make(chan struct{})
		close(c)
		return c, func() {}
	}
	if p.watchers++; p.watchers == 1 {
		p.watchedAt = f.now()
	}
	return p.lost, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		p.watchers--
	}
}
