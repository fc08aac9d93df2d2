// Package mirror keeps read-only copies of tables of the platform's store. A copy
// is updated from the store's feed of changes, and from the copies of other daemons
// if this daemon does not read the store or gets no answer from it.
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
	// maxTombstones is the limit on deleted rows that a copy remembers, to pass the
	// deletions on to other daemons.
	maxTombstones = 1024
)

// ErrHistoryLost is returned by a Store that no longer has all changes after the
// given version. The table must then be read as a whole.
var ErrHistoryLost = errors.New("history is no longer available")

// Row is one row of a table.
type Row struct {
	Key   string
	Value []byte
	// Version is the version of the store with which the row was written or deleted.
	Version int64
	Deleted bool
}

// Batch is a set of rows as of a version of the store.
type Batch struct {
	Rows    []Row
	Version int64
	// Restorations is how often the store had been restored when it gave the rows.
	Restorations int64
	// Full says that the batch holds all rows of the table.
	Full bool
	// OutageEnd is set in a batch from another daemon. It is the end of the last
	// outage of the store as that daemon saw it: the time of the pull if the outage
	// goes on, the zero time if there was none.
	OutageEnd time.Time
}

// Store reads tables of the platform's store.
type Store interface {
	// Read returns all rows of a table.
	Read(ctx context.Context, table string) (Batch, error)
	// Changes returns the rows that changed after a version, in the order of the
	// changes. If there are none, it waits for the first one, for at most wait.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Batch, error)
}

// Peers reads the copies of other daemons.
type Peers interface {
	// NewestVersion returns the highest Snapshot.LastChange of the table among the
	// live daemons.
	NewestVersion(table string) int64
	// Pull returns the changes after a version from a daemon that has the newest
	// version.
	Pull(ctx context.Context, table string, after int64) (Batch, error)
}

// Snapshot is an immutable copy of a table.
type Snapshot struct {
	Rows map[string]Row
	// Version is the version of the store up to which the copy is complete. It also
	// grows when other tables change.
	Version int64
	// LastChange is the version of the last known change of this table.
	LastChange int64
}

// Table is the copy of one table.
type Table struct {
	name     string
	snapshot atomic.Pointer[Snapshot]
	// onChange is called after each change, by one goroutine at a time.
	onChange func(*Snapshot)

	mu         sync.Mutex
	tombstones []Row
	// tombstonesDroppedTo is the version of the newest tombstone that was dropped.
	tombstonesDroppedTo int64

	storeOK atomic.Bool
	// recoveredAt is when this daemon last saw an outage of the store end,
	// peerOutageEnd the latest end of an outage that another daemon reported, and
	// answeredAt when the store last answered a call of this daemon.
	recoveredAt, peerOutageEnd, answeredAt atomicTime
	// readsStore says that this daemon currently reads the store.
	readsStore atomic.Bool
}

// atomicTime is a time that is loaded and stored atomically. It keeps the monotonic
// clock reading, so that ages computed from it stay right if the wall clock is set.
type atomicTime struct{ p atomic.Pointer[time.Time] }

// Load returns the stored time, or the zero time before the first Store.
func (m *atomicTime) Load() time.Time {
	if t := m.p.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

func (m *atomicTime) Store(t time.Time) { m.p.Store(&t) }

// NewTable returns an empty copy of the table called name. onChange is called with
// the new snapshot after each change of rows and after the first full batch. It may
// be nil.
func NewTable(name string, onChange func(*Snapshot)) *Table {
	if onChange == nil {
		onChange = func(*Snapshot) {}
	}
	t := &Table{name: name, onChange: onChange}
	t.snapshot.Store(&Snapshot{Rows: map[string]Row{}})
	t.storeOK.Store(true)
	t.readsStore.Store(true)
	return t
}

// Name returns the table's name.
func (t *Table) Name() string { return t.name }

// Snapshot returns the current copy.
func (t *Table) Snapshot() *Snapshot { return t.snapshot.Load() }

// StoreOK reports whether the last call to the store succeeded.
func (t *Table) StoreOK() bool { return t.storeOK.Load() }

// LastAnswer returns when the store last answered a call of this daemon for the
// table, or the zero time if it never did.
func (t *Table) LastAnswer() time.Time { return t.answeredAt.Load() }

// OutageEnd returns the end of the last outage of the store: now if the outage goes
// on, the zero time if there was none. On a daemon that does not read the store, it
// is the one reported by the daemons from which it pulls.
func (t *Table) OutageEnd(now time.Time) time.Time {
	if !t.readsStore.Load() {
		return t.peerOutageEnd.Load()
	}
	if !t.storeOK.Load() {
		return now
	}
	return t.recoveredAt.Load()
}

// Apply applies a batch and reports whether rows changed. It ignores a batch with an
// older version than the copy, so that the copy never goes back to an older state.
func (t *Table) Apply(b Batch) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.snapshot.Load()
	if b.Version < old.Version || (b.Version == old.Version && len(old.Rows) > 0) {
		return false
	}
	next := &Snapshot{Version: b.Version, LastChange: old.LastChange, Rows: make(map[string]Row, len(old.Rows)+len(b.Rows))}
	if !b.Full {
		maps.Copy(next.Rows, old.Rows)
	}
	changed := b.Full && old.Version == 0
	for _, r := range b.Rows {
		next.LastChange = max(next.LastChange, r.Version)
		if known, ok := old.Rows[r.Key]; !ok || known.Version < r.Version {
			changed = true
		} else if b.Full {
			r = known
		}
		if newer, ok := next.Rows[r.Key]; ok && newer.Version > r.Version {
			continue
		}
		if r.Deleted {
			delete(next.Rows, r.Key)
			t.addTombstone(r)
			continue
		}
		next.Rows[r.Key] = r
	}
	if b.Full {
		for key, r := range old.Rows {
			if _, ok := next.Rows[key]; !ok {
				changed = true
				next.LastChange = b.Version
				t.addTombstone(Row{Key: key, Version: max(r.Version, b.Version), Deleted: true})
			}
		}
	}
	t.snapshot.Store(next)
	if changed {
		t.onChange(next)
	}
	return changed
}

// notePeerOutageEnd records the end of an outage as another daemon reported it.
func (t *Table) notePeerOutageEnd(end time.Time) {
	if end.After(t.peerOutageEnd.Load()) {
		t.peerOutageEnd.Store(end)
	}
}

// addTombstone remembers the deletion of a row and drops the oldest tombstones above
// the limit.
func (t *Table) addTombstone(r Row) {
	r.Value = nil
	t.tombstones = append(t.tombstones, r)
	if n := len(t.tombstones) - maxTombstones; n > 0 {
		t.tombstonesDroppedTo = t.tombstones[n-1].Version
		t.tombstones = append([]Row(nil), t.tombstones[n:]...)
	}
}

// ChangesSince returns the rows that changed after a version, or all rows if not all
// deletions since then are known.
func (t *Table) ChangesSince(after int64) Batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.snapshot.Load()
	b := Batch{Version: s.Version, Full: after == 0 || after < t.tombstonesDroppedTo, OutageEnd: t.OutageEnd(time.Now())}
	for _, r := range s.Rows {
		if b.Full || r.Version > after {
			b.Rows = append(b.Rows, r)
		}
	}
	if !b.Full {
		for _, r := range t.tombstones {
			// A row that was written again after its deletion is in the batch already.
			if _, exists := s.Rows[r.Key]; r.Version > after && !exists {
				b.Rows = append(b.Rows, r)
			}
		}
	}
	return b
}
