package mirror

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// callSlack is the time a call may take beyond the wait that it asks for.
	callSlack = 900 * time.Millisecond
	// readTimeout bounds a read of a whole table.
	readTimeout = 2 * time.Second
	// retryDelay spaces calls to a store that fails. Half a second leaves room
	// for several tries within the bounds on configuration and leaving endpoints.
	retryDelay = 400 * time.Millisecond
	// minPace is the least time between two calls for a table whose Follower names
	// none.
	minPace = 100 * time.Millisecond
	// peerPoll is how often the versions of peers are looked at.
	peerPoll = 100 * time.Millisecond
	// emptyPause is the time after a pull that brought nothing, pullTimeout bounds a
	// pull and pullPause is the time after one that failed. Another daemon is asked
	// then, or the store, so a silent one must not take up the bound on configuration.
	emptyPause  = time.Second
	pullTimeout = 500 * time.Millisecond
	pullPause   = 200 * time.Millisecond
	// aloneDelay spaces the calls to a failing store of daemons that read it only
	// because they hear of no answer: in an outage these are all daemons.
	aloneDelay = time.Second
)

// Events is told of lost and regained dependencies.
type Events interface {
	StoreLost(table string, err error)
	StoreRegained(table string, outage time.Duration)
}

// Follower keeps one table up to date.
type Follower struct {
	Table  *Table
	Store  Store
	Peers  Peers
	Events Events
	// Wait is how long a call may wait for a change. It bounds for how long a
	// silent connection or an outage goes unnoticed.
	Wait time.Duration
	// IdleWait replaces Wait on daemons that are no readers; 0 keeps Wait.
	IdleWait time.Duration
	// Pace is the least time between two calls; 0 means minPace. Changes that come
	// closer together share a call.
	Pace time.Duration
	// Asks says whether this daemon reads the store at all; nil means that it does.
	// The others have their rows from those that do.
	Asks func() bool
	// FollowPeers says that a newer version at a peer is fetched at once, not only
	// while the store fails.
	FollowPeers bool
	// Reader says whether this daemon is one of those that notice a silent
	// connection to the store early, by a short Wait; nil means that it is. The
	// others hear of a newer version from the readers.
	Reader func() bool
	// Alone says that no daemon is heard of which the store answers, so that this
	// daemon reads the store as a reader does; nil means that it never is.
	Alone func() bool

	// overdue says that a daemon that does not read the store did not get a change
	// from the daemon that has it.
	overdue atomic.Bool
}

func (f *Follower) alone() bool { return f.Alone != nil && f.Alone() }

// wait returns how long a call may wait for a change, and whether this daemon
// leaves it to others to notice a silent connection.
func (f *Follower) wait() (wait time.Duration, idle bool) {
	if f.IdleWait > 0 && f.Reader != nil && !f.Reader() && !f.alone() {
		return f.IdleWait, true
	}
	return f.Wait, false
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	go f.followPeers(ctx)
	var lost time.Time
	regained := func() {
		f.Table.recovered.Store(time.Now())
		f.Table.storeOK.Store(true)
		f.Events.StoreRegained(f.Table.name, time.Since(lost))
		lost = time.Time{}
	}
	for ctx.Err() == nil {
		asks := f.Asks == nil || f.Asks()
		turn := asks
		asks = asks || f.alone()
		f.Table.asks.Store(asks)
		if !asks && f.Table.Snapshot().Version > 0 {
			if !lost.IsZero() {
				// The store answers others again, which tell what they read.
				regained()
			}
			if f.overdue.Swap(false) {
				// Whether the store answers this daemon, only its readers tell.
				_ = f.step(ctx, true)
			}
			sleep(ctx, peerPoll)
			continue
		}
		began := time.Now()
		err := f.step(ctx, !lost.IsZero())
		switch {
		case ctx.Err() != nil:
			return
		case err != nil && lost.IsZero():
			lost = time.Now()
			f.Table.storeOK.Store(false)
			f.Events.StoreLost(f.Table.name, err)
		case err == nil && !lost.IsZero():
			regained()
		}
		switch {
		case err != nil && !turn:
			sleep(ctx, aloneDelay)
		case err != nil:
			sleep(ctx, retryDelay)
		default:
			// A store that answers at once although nothing changed is not pressed.
			sleep(ctx, max(f.Pace, minPace)-time.Since(began))
		}
	}
}

// step reads the store once. After a failure it does not wait for a change, so
// that the store's return is noticed when it happens: what counts as gone
// depends on that time.
func (f *Follower) step(ctx context.Context, recovering bool) error {
	s := f.Table.Snapshot()
	if s.Version > 0 {
		wait, idle := f.wait()
		if recovering {
			wait = 0
		}
		call, cancel := context.WithTimeout(ctx, wait+callSlack)
		if idle {
			go f.endWhenAlone(call, cancel)
		}
		b, err := f.Store.Changes(call, f.Table.name, s.Version, wait)
		cancel()
		if err == nil {
			f.answered(b)
			return nil
		}
		if idle && f.alone() {
			return nil
		}
		if errors.Cause(err) != ErrHistoryLost {
			return errors.Annotatef(err, "changes of table %s", f.Table.name)
		}
	}
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	b, err := f.Store.Read(call, f.Table.name)
	if err != nil {
		return errors.Annotatef(err, "read of table %s", f.Table.name)
	}
	b.Full = true
	f.answered(b)
	return nil
}

func (f *Follower) answered(b Batch) {
	f.Table.answered.Store(time.Now())
	f.Table.Apply(b)
}

// endWhenAlone ends a long call when this daemon hears of no answer of the store
// any more: its own connection may be silent too.
func (f *Follower) endWhenAlone(call context.Context, cancel context.CancelFunc) {
	for call.Err() == nil {
		if f.alone() {
			cancel()
			return
		}
		sleep(call, peerPoll)
	}
}

// followPeers fetches versions that other daemons have and this one lacks.
func (f *Follower) followPeers(ctx context.Context) {
	var again time.Time
	for ctx.Err() == nil {
		sleep(ctx, peerPoll)
		have := f.Table.Snapshot().Version
		if f.Peers.Newest(f.Table.name) <= have || (f.Table.StoreOK() && have > 0 && !f.FollowPeers) || time.Now().Before(again) {
			continue
		}
		call, cancel := context.WithTimeout(ctx, pullTimeout)
		b, err := f.Peers.Pull(call, f.Table.name, have)
		cancel()
		if err != nil {
			f.overdue.Store(true)
			again = time.Now().Add(pullPause)
			continue
		}
		f.Table.tell(b.OutageEnd)
		f.Table.Apply(b)
		if f.Table.Snapshot().Version == have {
			// The peer has forgotten what it knew.
			again = time.Now().Add(emptyPause)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
