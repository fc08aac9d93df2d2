// Package control runs a daemon's background loops: it refreshes the membership
// view, relays urgent events to other daemons, aggregates account usage and
// detects pauses of the process.
package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/membership"
)

// Options configures a Control. Suspects, Usage, Totals, Limit, Status and Sleep
// may be nil.
type Options struct {
	Self core.InstanceID
	// Address is this daemon's peer address.
	Address    string
	DataCenter core.DataCenterID
	// Seeds are the peer addresses used until the first instance list is read.
	Seeds    []string
	List     InstanceLister
	Table    Table
	Configs  Configs
	Peers    Peers
	Suspects SuspectSet
	Usage    UsageSource
	Totals   TotalsSink
	// Limit returns the limits of an account; 0 means no limit.
	Limit LimitFunc
	// Status returns those fields of this daemon's status that Control does not
	// fill in itself.
	Status func() PeerStatus
	// Seed seeds the random choice of peers.
	Seed uint64
	Log  zerolog.Logger
	// Sleep waits for d or until ctx ends; nil means a timer. Tests replace it to
	// simulate a paused process.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Control maintains the membership view and exchanges state with other daemons.
type Control struct {
	opts Options
	log  zerolog.Logger
	// epoch is the time at which the Control was created.
	epoch time.Time
	view  atomic.Pointer[membership.View]
	// freshUntil is the time from which the view is too old for dispatching, in
	// nanoseconds after epoch; negative means that the view must be refreshed first.
	freshUntil atomic.Int64

	ctx    context.Context
	cancel context.CancelFunc
	tasks  taskGroup

	// mu guards the fields from state to failingSources. It is never held across
	// I/O.
	mu    sync.Mutex
	state *membership.State
	rng   *rand.Rand
	pause membership.PauseDetector
	// unconfirmed is set while leaves may have been missed: at start, after a
	// pause, and after the view became too old. It is cleared by a read of the leave
	// records, or by a reply of a peer with a fresh view, that was requested at
	// unconfirmedSince or later.
	unconfirmed      bool
	unconfirmedSince time.Time
	// lastPeerReplyAt is the time of the last reply from a peer.
	lastPeerReplyAt time.Time
	// lastLeaveReadAt is the start of the last read of the leave records.
	lastLeaveReadAt time.Time
	// lastRefreshAt is the start of the last refresh outside the regular loops.
	lastRefreshAt time.Time
	// unrecordedLeaves holds the leaves announced through this daemon that the
	// table service has not recorded yet, with the time of the announcement.
	unrecordedLeaves map[core.InstanceID]time.Time
	// configFetches is the number of configuration fetches in progress.
	configFetches int
	// wantPeerList is set if a peer has a much newer instance list; the next
	// exchange then requests the list.
	wantPeerList bool
	// failingSources holds the sources whose last call failed.
	failingSources map[string]bool

	refreshing atomic.Bool
	usage      usageState
}

// New returns a Control; Run starts its loops.
func New(o Options) *Control {
	if o.Sleep == nil {
		o.Sleep = sleep
	}
	now := time.Now()
	c := &Control{opts: o, log: o.Log, epoch: now, state: membership.NewState(o.Self, o.Address), rng: rand.New(rand.NewPCG(o.Seed, 0)),
		unconfirmed: true, unconfirmedSince: now, unrecordedLeaves: map[core.InstanceID]time.Time{}, failingSources: map[string]bool{}}
	c.freshUntil.Store(-1)
	c.usage.init()
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// View returns the current membership view, or nil before the first one.
func (c *Control) View() *membership.View { return c.view.Load() }

// ViewIsFresh reports whether new work may be dispatched: the view is at most
// membership.MaxViewAge old and was refreshed after the last pause.
func (c *Control) ViewIsFresh(now time.Time) bool {
	return int64(now.Sub(c.epoch)) <= c.freshUntil.Load()
}

// Daemons returns the number of live daemons in the view, including this one.
func (c *Control) Daemons() int {
	if v := c.view.Load(); v != nil {
		return len(v.Daemons) + 1
	}
	return 1
}

// exchangeInterval is the interval between exchanges with random daemons.
const exchangeInterval = 500 * time.Millisecond

// Run runs the loops until ctx ends, and returns after all their calls have ended.
func (c *Control) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, c.cancel)
	defer stop()
	sameDataCenter := false
	c.loop(0, func() time.Duration { return membership.TickInterval }, c.tick)
	c.loop(0, func() time.Duration { return membership.ListInterval(c.Daemons()) }, func() { c.readList(c.ctx) })
	c.loop(c.randomPhase(exchangeInterval), func() time.Duration { return exchangeInterval }, func() {
		sameDataCenter = !sameDataCenter
		c.exchangeRandom(sameDataCenter)
	})
	c.loop(c.randomPhase(leaveReadCheckInterval), func() time.Duration { return leaveReadCheckInterval }, c.pollLeaveRecords)
	c.loop(c.randomPhase(time.Second), func() time.Duration { return membership.UsageInterval(c.Daemons()) }, c.reportUsage)
	<-c.ctx.Done()
	c.tasks.wait()
}

// randomPhase returns a random fraction of the interval d, used as the first
// delay of a loop so that daemons that start together do not poll together.
func (c *Control) randomPhase(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.rng.Int64N(int64(d)))
}

// loop runs f after the delay first, and then repeatedly with the delay that
// interval returns.
func (c *Control) loop(first time.Duration, interval func() time.Duration, f func()) {
	c.tasks.start(func() {
		for d := first; c.opts.Sleep(c.ctx, d) == nil; d = interval() {
			f()
		}
	})
}

// taskGroup tracks the goroutines that must end before Run returns.
type taskGroup struct {
	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
}

// start runs f in a goroutine, unless wait has been called.
func (t *taskGroup) start(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.wg.Go(f)
	}
}

// wait rejects further tasks and waits for the running ones.
func (t *taskGroup) wait() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.wg.Wait()
}

// logSourceState logs when a source starts to fail and when it recovers.
func (c *Control) logSourceState(source string, err error) {
	c.mu.Lock()
	wasFailing := c.failingSources[source]
	c.failingSources[source] = err != nil
	c.mu.Unlock()
	switch {
	case err != nil && !wasFailing:
		c.log.Warn().Str("source", source).Err(err).Msg("source_failed")
	case err == nil && wasFailing:
		c.log.Info().Str("source", source).Msg("source_recovered")
	}
}

// peerList returns the other daemons: those in the view, or the seeds while
// there is no view.
func (c *Control) peerList() []core.Instance {
	if v := c.view.Load(); v != nil {
		return v.Daemons
	}
	var seeds []core.Instance
	for _, a := range c.opts.Seeds {
		if a != c.opts.Address {
			seeds = append(seeds, core.Instance{Address: a, Role: core.RoleDaemon})
		}
	}
	return seeds
}
