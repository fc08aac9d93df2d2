// Package mirror keeps read-only copies of tables of the platform's store. A
// copy follows the store's feed of changes; while the store does not answer
// this daemon, it follows the copies of other daemons.
package mirror

import (
	"context"
	"maps"
	"sync"
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
	// maxTombstones bounds the deletions that are kept for other daemons.
	maxTombstones = 1024
)

// ErrHistoryLost is returned by a Store that no longer has the changes asked for.
var ErrHistoryLost = errors.New("history is no longer available")

// Row is one row of a table.
type Row struct {
	Key     string
	Value   []byte
	Version int64
	Deleted bool
}

// Batch is a set of rows as of a version of the store.
type Batch struct {
	Rows    []Row
	Version int64
	// Full says that rows which are missing from the batch do not exist.
	Full bool
	// OutageEnd is, in a batch of another daemon, when the store last came back to
	// it after an outage: the time of the pull if it has not, the zero time if
	// there was none.
	OutageEnd time.Time
}

// Store reads tables of the platform's store.
type Store interface {
	// Read returns all rows of a table.
	Read(ctx context.Context, table string) (Batch, error)
	// Changes returns the rows that changed after a version, in order. It waits
	// up to wait for a first one.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Batch, error)
}

// Peers reads the copies of other daemons.
type Peers interface {
	// Newest returns the version of the last change of the table that a live daemon
	// knows.
	Newest(table string) int64
	// Pull returns what a daemon that has the newest version knows beyond after.
	Pull(ctx context.Context, table string, after int64) (Batch, error)
}

// Snapshot is an immutable copy of a table.
type Snapshot struct {
	Rows    map[string]Row
	Version int64
	// Changed is the version of the last change that the copy knows. Version grows
	// with other tables' changes too.
	Changed int64
}

// Table is the copy of one table.
type Table struct {
	name string
	snap atomic.Pointer[Snapshot]
	// changed is called after each change, one call at a time.
	changed func(*Snapshot)

	mu         sync.Mutex
	tombstones []Row
	// forgotten is the version up to which deletions are no longer known.
	forgotten int64

	storeOK atomic.Bool
	// recovered is when the store last came back, told the end of an outage that
	// another daemon told, and answered when the store last answered this daemon.
	recovered, told, answered moment
	// asks says that this daemon reads the store itself.
	asks atomic.Bool
}

// moment is a time that is read and replaced without a lock. It keeps the
// monotonic reading: the time of day may be set while ages are told by it.
type moment struct{ p atomic.Pointer[time.Time] }

// Load returns the zero time before the first Store.
func (m *moment) Load() time.Time {
	if t := m.p.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

func (m *moment) Store(t time.Time) { m.p.Store(&t) }

// NewTable returns an empty copy. changed may be nil.
func NewTable(name string, changed func(*Snapshot)) *Table {
	if changed == nil {
		changed = func(*Snapshot) {}
	}
	t := &Table{name: name, changed: changed}
	t.snap.Store(&Snapshot{Rows: map[string]Row{}})
	t.storeOK.Store(true)
	t.asks.Store(true)
	return t
}

// Name returns the table's name.
func (t *Table) Name() string { return t.name }

// Snapshot returns the current copy.
func (t *Table) Snapshot() *Snapshot { return t.snap.Load() }

// StoreOK says whether the last call to the store succeeded.
func (t *Table) StoreOK() bool { return t.storeOK.Load() }

// Answered returns when the store last answered a call of this daemon for the
// table, the zero time if it has not.
func (t *Table) Answered() time.Time { return t.answered.Load() }

// OutageEnd returns when the store last came back after an outage: now if it has
// not, the zero time if there was none. A daemon that does not read the store
// itself goes by what the daemon told from which it has its rows.
func (t *Table) OutageEnd(now time.Time) time.Time {
	if !t.asks.Load() {
		return t.told.Load()
	}
	if !t.storeOK.Load() {
		return now
	}
	return t.recovered.Load()
}

// Apply takes in a batch and says whether the copy changed. A batch that is
// older than the copy is ignored: a copy never goes back.
func (t *Table) Apply(b Batch) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.snap.Load()
	if b.Version < old.Version || (b.Version == old.Version && len(old.Rows) > 0) {
		return false
	}
	next := &Snapshot{Version: b.Version, Changed: old.Changed, Rows: make(map[string]Row, len(old.Rows)+len(b.Rows))}
	if !b.Full {
		maps.Copy(next.Rows, old.Rows)
	}
	changed := b.Full && old.Version == 0
	for _, r := range b.Rows {
		next.Changed = max(next.Changed, r.Version)
		if was, ok := old.Rows[r.Key]; !ok || was.Version < r.Version {
			changed = true
		} else if b.Full {
			r = was
		}
		if newer, ok := next.Rows[r.Key]; ok && newer.Version > r.Version {
			continue
		}
		if r.Deleted {
			delete(next.Rows, r.Key)
			t.bury(r)
			continue
		}
		next.Rows[r.Key] = r
	}
	if b.Full {
		for key, r := range old.Rows {
			if _, ok := next.Rows[key]; !ok {
				changed = true
				next.Changed = b.Version
				t.bury(Row{Key: key, Version: max(r.Version, b.Version), Deleted: true})
			}
		}
	}
	t.snap.Store(next)
	if changed {
		t.changed(next)
	}
	return changed
}

// tell notes the end of an outage that another daemon told.
func (t *Table) tell(end time.Time) {
	if end.After(t.told.Load()) {
		t.told.Store(end)
	}
}

func (t *Table) bury(r Row) {
	r.Value = nil
	t.tombstones = append(t.tombstones, r)
	if n := len(t.tombstones) - maxTombstones; n > 0 {
		t.forgotten = t.tombstones[n-1].Version
		t.tombstones = append([]Row(nil), t.tombstones[n:]...)
	}
}

// Since returns the rows that changed after a version, or all rows if the
// deletions since then are not all known.
func (t *Table) Since(after int64) Batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.snap.Load()
	b := Batch{Version: s.Version, Full: after == 0 || after < t.forgotten, OutageEnd: t.OutageEnd(time.Now())}
	for _, r := range s.Rows {
		if b.Full || r.Version > after {
			b.Rows = append(b.Rows, r)
		}
	}
	if !b.Full {
		for _, r := range t.tombstones {
			// A row that came back after its deletion is in the batch already.
			if _, back := s.Rows[r.Key]; r.Version > after && !back {
				b.Rows = append(b.Rows, r)
			}
		}
	}
	return b
}

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
