package mirror

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// callGrace is the time a call may take beyond the wait that it asks for.
	callGrace = 900 * time.Millisecond
	// readTimeout bounds a read of a whole table.
	readTimeout = 2 * time.Second
	// retryDelay spaces calls to a store that fails. Half a second leaves room
	// for several tries within the bounds on configuration and leaving endpoints.
	retryDelay = 400 * time.Millisecond
	// minCallInterval is the least time between two calls for a table whose Follower names
	// none.
	minCallInterval = 100 * time.Millisecond
	// peerPollInterval is how often the versions of peers are looked at.
	peerPollInterval = 100 * time.Millisecond
	// emptyPullPause is the time after a pull that brought nothing, pullTimeout bounds a
	// pull and pullPause is the time after one that failed. Another daemon is asked
	// then, or the store, so a silent one must not take up the bound on configuration.
	emptyPullPause  = time.Second
	pullTimeout     = 500 * time.Millisecond
	failedPullPause = 200 * time.Millisecond
	// fallbackRetryDelay spaces the calls to a failing store of daemons that read it only
	// because they hear of no answer: in an outage these are all daemons.
	fallbackRetryDelay = time.Second
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
	// LongWait replaces Wait on daemons that are no readers; 0 keeps Wait.
	LongWait time.Duration
	// MinInterval is the least time between two calls; 0 means minPace. Changes that come
	// closer together share a call.
	MinInterval time.Duration
	// ReadsStore says whether this daemon reads the store at all; nil means that it does.
	// The others have their rows from those that do.
	ReadsStore func() bool
	// FollowPeers says that a newer version at a peer is fetched at once, not only
	// while the store fails.
	FollowPeers bool
	// UsesShortWait says whether this daemon is one of those that notice a silent
	// connection to the store early, by a short Wait; nil means that it is. The
	// others hear of a newer version from the readers.
	UsesShortWait func() bool
	// NoRecentAnswer says that no daemon is heard of which the store answers, so that this
	// daemon reads the store as a reader does; nil means that it never is.
	NoRecentAnswer func() bool

	// pullFailed says that a daemon that does not read the store did not get a change
	// from the daemon that has it.
	pullFailed atomic.Bool
}

func (f *Follower) noRecentAnswer() bool { return f.NoRecentAnswer != nil && f.NoRecentAnswer() }

// wait returns how long a call may wait for a change, and whether this daemon
// leaves it to others to notice a silent connection.
func (f *Follower) wait() (wait time.Duration, idle bool) {
	if f.LongWait > 0 && f.UsesShortWait != nil && !f.UsesShortWait() && !f.noRecentAnswer() {
		return f.LongWait, true
	}
	return f.Wait, false
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	go f.followPeers(ctx)
	var lost time.Time
	regained := func() {
		f.Table.recoveredAt.Store(time.Now())
		f.Table.storeOK.Store(true)
		f.Events.StoreRegained(f.Table.name, time.Since(lost))
		lost = time.Time{}
	}
	for ctx.Err() == nil {
		asks := f.ReadsStore == nil || f.ReadsStore()
		turn := asks
		asks = asks || f.noRecentAnswer()
		f.Table.readsStore.Store(asks)
		if !asks && f.Table.Snapshot().Version > 0 {
			if !lost.IsZero() {
				// The store answers others again, which tell what they read.
				regained()
			}
			if f.pullFailed.Swap(false) {
				// Whether the store answers this daemon, only its readers tell.
				_ = f.readStore(ctx, true)
			}
			sleep(ctx, peerPollInterval)
			continue
		}
		began := time.Now()
		err := f.readStore(ctx, !lost.IsZero())
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
			sleep(ctx, fallbackRetryDelay)
		case err != nil:
			sleep(ctx, retryDelay)
		default:
			// A store that answers at once although nothing changed is not pressed.
			sleep(ctx, max(f.MinInterval, minCallInterval)-time.Since(began))
		}
	}
}

// readStore reads the store once. After a failure it does not wait for a change, so
// that the store's return is noticed when it happens: what counts as gone
// depends on that time.
func (f *Follower) readStore(ctx context.Context, recovering bool) error {
	s := f.Table.Snapshot()
	if s.Version > 0 {
		wait, idle := f.wait()
		if recovering {
			wait = 0
		}
		call, cancel := context.WithTimeout(ctx, wait+callGrace)
		if idle {
			go f.cancelWithoutRecentAnswer(call, cancel)
		}
		b, err := f.Store.Changes(call, f.Table.name, s.Version, wait)
		cancel()
		if err == nil {
			f.applyAnswer(b)
			return nil
		}
		if idle && f.noRecentAnswer() {
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
	f.applyAnswer(b)
	return nil
}

func (f *Follower) applyAnswer(b Batch) {
	f.Table.answeredAt.Store(time.Now())
	f.Table.Apply(b)
}

// cancelWithoutRecentAnswer ends a long call when this daemon hears of no answer of the store
// any more: its own connection may be silent too.
func (f *Follower) cancelWithoutRecentAnswer(call context.Context, cancel context.CancelFunc) {
	for call.Err() == nil {
		if f.noRecentAnswer() {
			cancel()
			return
		}
		sleep(call, peerPollInterval)
	}
}

// followPeers fetches versions that other daemons have and this one lacks.
func (f *Follower) followPeers(ctx context.Context) {
	var again time.Time
	for ctx.Err() == nil {
		sleep(ctx, peerPollInterval)
		have := f.Table.Snapshot().Version
		if f.Peers.NewestVersion(f.Table.name) <= have || (f.Table.StoreOK() && have > 0 && !f.FollowPeers) || time.Now().Before(again) {
			continue
		}
		call, cancel := context.WithTimeout(ctx, pullTimeout)
		b, err := f.Peers.Pull(call, f.Table.name, have)
		cancel()
		if err != nil {
			f.pullFailed.Store(true)
			again = time.Now().Add(failedPullPause)
			continue
		}
		f.Table.notePeerOutageEnd(b.OutageEnd)
		f.Table.Apply(b)
		if f.Table.Snapshot().Version == have {
			// The peer has forgotten what it knew.
			again = time.Now().Add(emptyPullPause)
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
