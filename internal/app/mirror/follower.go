package mirror

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/core"
)

const (
	// callGrace is how much longer than the requested wait a call may take.
	callGrace = 900 * time.Millisecond
	// readTimeout is the timeout of a read of a whole table.
	readTimeout = 2 * time.Second
	// retryDelay is the pause after a failed call to the store. It permits several
	// tries within the time in which a new configuration must be in force and a
	// leaving endpoint must get no more work.
	retryDelay = 400 * time.Millisecond
	// minCallInterval is the lower limit of Follower.MinInterval.
	minCallInterval = 100 * time.Millisecond
	// peerPollInterval is how often the versions that peers have are checked.
	peerPollInterval = 100 * time.Millisecond
	// emptyPullPause is the pause after a pull that brought nothing new.
	emptyPullPause = time.Second
	// pullTimeout is the timeout of a pull, and failedPullPause the pause after one
	// that failed. Then another daemon is asked, or the store, so a daemon that does
	// not answer must not use up the time in which a new configuration must be in
	// force.
	pullTimeout     = 500 * time.Millisecond
	failedPullPause = 200 * time.Millisecond
	// fallbackRetryDelay is the retryDelay of daemons that read the store only
	// because of NoRecentAnswer. In an outage of the store, these are all daemons.
	fallbackRetryDelay = time.Second
)

// Events is notified when the store stops answering and when it answers again.
type Events interface {
	// StoreLost reports the first failed call of an outage.
	StoreLost(table string, err error)
	// StoreRestored reports that the copy has followed a restoration of the store from the
	// revision copied to answered, and keeps held rows and deletions in place of the
	// store's.
	StoreRestored(table string, copied, answered core.StoreRevision, held int)
	// RestoredRowsWritten reports that no row is held any more, and how long that took.
	RestoredRowsWritten(table string, took time.Duration)
	// AnswerIgnored reports an answer of the store that is older than the copy and was not
	// used, once for each count of restorations.
	AnswerIgnored(table string, copied, answered core.StoreRevision)
	// StoreRegained reports the end of an outage and how long it took.
	StoreRegained(table string, outage time.Duration)
}

// Follower keeps the copy of one table up to date.
type Follower struct {
	Table  *Table
	Store  Store
	Peers  Peers
	Events Events
	// Wait is how long a call may wait for a change. A connection that no longer
	// delivers anything, or an outage, goes unnoticed for as long.
	Wait time.Duration
	// LongWait replaces Wait if UsesShortWait returns false. 0 means Wait.
	LongWait time.Duration
	// MinInterval is the shortest time between the starts of two calls, at least
	// minCallInterval. Changes that follow each other faster share a call.
	MinInterval time.Duration
	// ReadsStore reports whether this daemon reads the store. Other daemons pull
	// the changes from those that do. nil means true.
	ReadsStore func() bool
	// FollowPeers says that a newer version is pulled from a peer as soon as the
	// peer has it. Otherwise this is done only while the store fails.
	FollowPeers bool
	// UsesShortWait reports whether this daemon is one of those that detect early,
	// by a short Wait, that the connection to the store delivers nothing. Other
	// daemons learn from them that there is a newer version. nil means true.
	UsesShortWait func() bool
	// NoRecentAnswer reports that no daemon known to this one has had an answer from
	// the store recently. Then this daemon reads the store, with the short Wait,
	// whatever ReadsStore and UsesShortWait return. nil means false.
	NoRecentAnswer func() bool

	// ignored is the count of restorations of the last answer that was reported as
	// ignored, -1 if there was none.
	ignored int64

	// restoredAt is when the last restoration was reported; zero if no row is held since.
	restoredAt time.Time

	// pullFailed says that a pull failed since Run last checked. A daemon that does
	// not read the store otherwise then reads it once.
	pullFailed atomic.Bool
}

func (f *Follower) noRecentAnswer() bool { return f.NoRecentAnswer != nil && f.NoRecentAnswer() }

// wait returns how long a call may wait for a change, and whether that is LongWait.
func (f *Follower) wait() (wait time.Duration, long bool) {
	if f.LongWait > 0 && f.UsesShortWait != nil && !f.UsesShortWait() && !f.noRecentAnswer() {
		return f.LongWait, true
	}
	return f.Wait, false
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	go f.followPeers(ctx)
	f.ignored = -1
	var lost time.Time
	regained := func() {
		f.Table.recoveredAt.Store(time.Now())
		f.Table.storeOK.Store(true)
		f.Events.StoreRegained(f.Table.name, time.Since(lost))
		lost = time.Time{}
	}
	for ctx.Err() == nil {
		reads := f.ReadsStore == nil || f.ReadsStore()
		isReader := reads
		reads = reads || f.noRecentAnswer()
		f.Table.readsStore.Store(reads)
		if !reads && f.Table.Snapshot().Position.Version > 0 {
			if !lost.IsZero() {
				// Other daemons have answers from the store again and pass them on.
				regained()
			}
			if f.pullFailed.Swap(false) {
				// A failure is ignored: outages are reported only by daemons that
				// read the store regularly.
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
		case err != nil && !isReader:
			sleep(ctx, fallbackRetryDelay)
		case err != nil:
			sleep(ctx, retryDelay)
		default:
			// The pause also limits the calls if the store answers at once although
			// nothing changed.
			sleep(ctx, max(f.MinInterval, minCallInterval)-time.Since(began))
		}
	}
}

// readStore reads the changes of the table, or the whole table if the copy is empty, or
// the store no longer has the changes or was restored. If recovering is set, the call does not
// wait for a change, so that the end of an outage is noticed when it happens. That
// time decides whether a missing endpoint counts as gone.
func (f *Follower) readStore(ctx context.Context, recovering bool) error {
	s := f.Table.Snapshot()
	if s.Position.Version > 0 {
		wait, long := f.wait()
		if recovering {
			wait = 0
		}
		call, cancel := context.WithTimeout(ctx, wait+callGrace)
		if long {
			go f.cancelWithoutRecentAnswer(call, cancel)
		}
		b, err := f.Store.Changes(call, f.Table.name, s.Position.StoreRevision, wait)
		cancel()
		if err == nil && b.Position.Restorations <= s.Position.Restorations {
			f.applyAnswer(b)
			return nil
		}
		if err == nil {
			err = ErrHistoryLost
		}
		if long && f.noRecentAnswer() {
			// The call was cancelled; the next one uses the short Wait.
			return nil
		}
		if errors.Cause(err) != ErrHistoryLost {
			return errors.Annotatef(err, "reading changes of table %q from the store", f.Table.name)
		}
	}
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	b, err := f.Store.Read(call, f.Table.name)
	if err != nil {
		return errors.Annotatef(err, "reading table %q from the store", f.Table.name)
	}
	b.Full = true
	f.applyAnswer(b)
	return nil
}

func (f *Follower) applyAnswer(b Batch) {
	f.Table.answeredAt.Store(time.Now())
	if copied := f.Table.Snapshot().Position.StoreRevision; b.Position.StoreRevision.Compare(copied) < 0 && b.Position.Restorations != f.ignored {
		f.ignored = b.Position.Restorations
		f.Events.AnswerIgnored(f.Table.name, copied, b.Position.StoreRevision)
	}
	f.Table.Apply(b)
}

// reportRestorations reports restorations that the copy has followed, by itself or with
// rows from a peer. copied is the position of the copy at the last call, which the result
// replaces.
func (f *Follower) reportRestorations(copied core.CopyPosition) core.CopyPosition {
	position, held := f.Table.Snapshot().Position, f.Table.Held()
	if copied.Version > 0 && position.Restorations != copied.Restorations {
		f.restoredAt = time.Now()
		f.Events.StoreRestored(f.Table.name, copied.StoreRevision, position.StoreRevision, held)
	}
	if held == 0 && !f.restoredAt.IsZero() {
		f.Events.RestoredRowsWritten(f.Table.name, time.Since(f.restoredAt))
		f.restoredAt = time.Time{}
	}
	return position
}

// cancelWithoutRecentAnswer cancels a call with LongWait once NoRecentAnswer returns
// true: the call's own connection may not deliver anything either.
func (f *Follower) cancelWithoutRecentAnswer(call context.Context, cancel context.CancelFunc) {
	for call.Err() == nil {
		if f.noRecentAnswer() {
			cancel()
			return
		}
		sleep(call, peerPollInterval)
	}
}

// followPeers pulls what is newer than the copy from other daemons, and ends the holding of
// rows since a restoration.
func (f *Follower) followPeers(ctx context.Context) {
	var pausedUntil time.Time
	var reported core.CopyPosition
	for ctx.Err() == nil {
		sleep(ctx, peerPollInterval)
		f.Table.expireHeld(time.Now())
		reported = f.reportRestorations(reported)
		have := f.Table.Snapshot().Position
		if f.Peers.Newest(f.Table.name).Compare(have) <= 0 || (f.Table.StoreOK() && have.Version > 0 && !f.FollowPeers) || time.Now().Before(pausedUntil) {
			continue
		}
		call, cancel := context.WithTimeout(ctx, pullTimeout)
		b, err := f.Peers.Pull(call, f.Table.name, have)
		cancel()
		if err != nil {
			f.pullFailed.Store(true)
			pausedUntil = time.Now().Add(failedPullPause)
			continue
		}
		f.Table.notePeerOutageEnd(b.OutageEnd)
		f.Table.Apply(b)
		if f.Table.Snapshot().Position == have {
			// The peer no longer has the version, for instance after a restart.
			pausedUntil = time.Now().Add(emptyPullPause)
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
