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
	// NewestVersion returns the version of the last change of the table that a live daemon
	// knows.
	NewestVersion(table string) int64
	// Pull returns what a daemon that has the newest version knows beyond after.
	Pull(ctx context.Context, table string, after int64) (Batch, error)
}

// Snapshot is an immutable copy of a table.
type Snapshot struct {
	Rows    map[string]Row
	Version int64
	// LastChange is the version of the last change that the copy knows. Version grows
	// with other tables' changes too.
	LastChange int64
}

// Table is the copy of one table.
type Table struct {
	name     string
	snapshot atomic.Pointer[Snapshot]
	// onChange is called after each change, one call at a time.
	onChange func(*Snapshot)

	mu         sync.Mutex
	tombstones []Row
	// tombstonesDroppedTo is the version up to which deletions are no longer known.
	tombstonesDroppedTo int64

	storeOK atomic.Bool
	// recoveredAt is when the store last came back, told the end of an outage that
	// another daemon told, and answered when the store last answered this daemon.
	recoveredAt, peerOutageEnd, answeredAt atomicTime
	// readsStore says that this daemon reads the store itself.
	readsStore atomic.Bool
}

// atomicTime is a time that is read and replaced without a lock. It keeps the
// monotonic reading: the time of day may be set while ages are told by it.
type atomicTime struct{ p atomic.Pointer[time.Time] }

// Load returns the zero time before the first Store.
func (m *atomicTime) Load() time.Time {
	if t := m.p.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

func (m *atomicTime) Store(t time.Time) { m.p.Store(&t) }

// NewTable returns an empty copy. changed may be nil.
func NewTable(name string, changed func(*Snapshot)) *Table {
	if changed == nil {
		changed = func(*Snapshot) {}
	}
	t := &Table{name: name, onChange: changed}
	t.snapshot.Store(&Snapshot{Rows: map[string]Row{}})
	t.storeOK.Store(true)
	t.readsStore.Store(true)
	return t
}

// Name returns the table's name.
func (t *Table) Name() string { return t.name }

// Snapshot returns the current copy.
func (t *Table) Snapshot() *Snapshot { return t.snapshot.Load() }

// StoreOK says whether the last call to the store succeeded.
func (t *Table) StoreOK() bool { return t.storeOK.Load() }

// LastAnswer returns when the store last answered a call of this daemon for the
// table, the zero time if it has not.
func (t *Table) LastAnswer() time.Time { return t.answeredAt.Load() }

// OutageEnd returns when the store last came back after an outage: now if it has
// not, the zero time if there was none. A daemon that does not read the store
// itself goes by what the daemon told from which it has its rows.
func (t *Table) OutageEnd(now time.Time) time.Time {
	if !t.readsStore.Load() {
		return t.peerOutageEnd.Load()
	}
	if !t.storeOK.Load() {
		return now
	}
	return t.recoveredAt.Load()
}

// Apply takes in a batch and says whether the copy changed. A batch that is
// older than the copy is ignored: a copy never goes back.
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

// notePeerOutageEnd notes the end of an outage that another daemon told.
func (t *Table) notePeerOutageEnd(end time.Time) {
	if end.After(t.peerOutageEnd.Load()) {
		t.peerOutageEnd.Store(end)
	}
}

func (t *Table) addTombstone(r Row) {
	r.Value = nil
	t.tombstones = append(t.tombstones, r)
	if n := len(t.tombstones) - maxTombstones; n > 0 {
		t.tombstonesDroppedTo = t.tombstones[n-1].Version
		t.tombstones = append([]Row(nil), t.tombstones[n:]...)
	}
}

// ChangesSince returns the rows that changed after a version, or all rows if the
// deletions since then are not all known.
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
			// A row that came back after its deletion is in the batch already.
			if _, back := s.Rows[r.Key]; r.Version > after && !back {
				b.Rows = append(b.Rows, r)
			}
		}
	}
	return b
}
