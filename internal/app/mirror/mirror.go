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

	"eelgrassgrade/internal/core"
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
	// Version is the version of the store with which the row was written or deleted. It
	// can be compared only with versions since the same restoration.
	Version int64
	Deleted bool
}

// Batch is a set of rows as of a state of the store.
type Batch struct {
	Rows     []Row
	Position core.CopyPosition
	// Full says that the batch holds all rows of the table.
	Full bool
	// Held is set in a batch from another daemon. It holds the rows and deletions from
	// before the last restoration that the daemon keeps in place of the store's rows.
	Held []Row
	// OutageEnd is set in a batch from another daemon. It is the end of the last
	// outage of the store as that daemon saw it: the time of the pull if the outage
	// goes on, the zero time if there was none.
	OutageEnd time.Time
}

// Store reads tables of the platform's store.
type Store interface {
	// Read returns all rows of a table.
	Read(ctx context.Context, table string) (Batch, error)
	// Changes returns the rows that changed after a revision, in the order of the
	// changes. If there are none, it waits for the first one, for at most wait. If the
	// store has been restored since, the batch shows it by its position, or the error is
	// ErrHistoryLost.
	Changes(ctx context.Context, table string, after core.StoreRevision, wait time.Duration) (Batch, error)
}

// Peers reads the copies of other daemons.
type Peers interface {
	// Newest returns the newest Snapshot.LastChange of the table among the live daemons.
	Newest(table string) core.CopyPosition
	// Pull returns the changes after a position from a daemon that has the newest one.
	Pull(ctx context.Context, table string, after core.CopyPosition) (Batch, error)
}

// Snapshot is an immutable copy of a table.
type Snapshot struct {
	Rows map[string]Row
	// Position is the state of the store up to which the copy is complete. It also
	// grows when other tables change.
	Position core.CopyPosition
	// LastChange is the position of the last known change of this table.
	LastChange core.CopyPosition
}

// Table is the copy of one table.
type Table struct {
	name     string
	snapshot atomic.Pointer[Snapshot]
	// onChange is called after each change, by one goroutine at a time.
	onChange func(*Snapshot)

	mu sync.Mutex
	// stored holds the rows that the store has. It is the map of the snapshot unless rows
	// are held in their place.
	stored map[string]Row
	// held holds the rows and deletions from before the last restoration that are kept in
	// place of the store's rows, and policy decides on them.
	held   map[string]heldRow
	policy RestorePolicy
	// tombstones holds the rows that were deleted since the last restoration.
	tombstones []Row
	// tombstonesDroppedTo is the version of the newest tombstone that was dropped.
	tombstonesDroppedTo int64

	storeOK atomic.Bool
	// restoredAt is when this daemon noticed the last restoration of the store,
	// recoveredAt when it last saw an outage of the store end,
	// peerOutageEnd the latest end of an outage that another daemon reported, and
	// answeredAt when the store last answered a call of this daemon.
	restoredAt, recoveredAt, peerOutageEnd, answeredAt atomicTime
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
	t := &Table{name: name, onChange: onChange, stored: map[string]Row{}, held: map[string]heldRow{}}
	t.snapshot.Store(&Snapshot{Rows: t.stored})
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
// is the one reported by the daemons from which it pulls. A restoration counts as an
// outage that ended when this daemon noticed it.
func (t *Table) OutageEnd(now time.Time) time.Time {
	end := t.recoveredAt.Load()
	switch {
	case !t.readsStore.Load():
		end = t.peerOutageEnd.Load()
	case !t.storeOK.Load():
		return now
	}
	if restored := t.restoredAt.Load(); restored.After(end) {
		end = restored
	}
	return end
}

// Apply applies a batch and reports whether rows changed. It ignores a batch with an
// older position than the copy, so that the copy never goes back to an older state, and
// a batch since a later restoration unless it is full.
func (t *Table) Apply(b Batch) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.snapshot.Load()
	next := *s
	changed := false
	switch {
	case b.Position.Restorations < s.Position.Restorations && s.Position.Version > 0:
		return false
	case b.Position.Restorations > s.Position.Restorations && s.Position.Version > 0:
		if !b.Full {
			return false
		}
		t.restore(&next, b)
		changed = true
	default:
		if b.Position.Version > s.Position.Version || b.Position.Version == s.Position.Version && len(t.stored) == 0 {
			changed = t.applyRows(&next, b)
			next.Position.StoreRevision = b.Position.StoreRevision
		}
		changed = t.replaceHeld(&next, b) || changed
	}
	next.LastChange.Restorations, next.LastChange.Prior = next.Position.Restorations, next.Position.Prior
	t.publish(&next, changed)
	return changed
}

// applyRows applies the rows of a batch since the same restoration as the copy and reports
// whether rows changed.
func (t *Table) applyRows(next *Snapshot, b Batch) bool {
	changed := b.Full && next.Position.Version == 0
	if changed {
		// Deletions before the first full batch are not known.
		t.tombstonesDroppedTo = b.Position.Version
	}
	old := t.stored
	rows := make(map[string]Row, len(old)+len(b.Rows))
	if !b.Full {
		maps.Copy(rows, old)
	}
	for _, r := range b.Rows {
		next.LastChange.Version = max(next.LastChange.Version, r.Version)
		known, ok := old[r.Key]
		if !ok || known.Version < r.Version {
			changed = true
			t.releaseHeld(r)
		} else if b.Full {
			r = known
		}
		if newer, ok := rows[r.Key]; ok && newer.Version > r.Version {
			continue
		}
		if r.Deleted {
			delete(rows, r.Key)
			t.addTombstone(r)
			continue
		}
		rows[r.Key] = r
	}
	if b.Full {
		for key, r := range old {
			if _, ok := rows[key]; !ok {
				changed = true
				next.LastChange.Version = b.Position.Version
				deleted := Row{Key: key, Version: max(r.Version, b.Position.Version), Deleted: true}
				t.addTombstone(deleted)
				t.releaseHeld(deleted)
			}
		}
	}
	t.stored = rows
	return changed
}

// publish stores the snapshot with the rows of the copy, and calls onChange if they have
// changed. The caller holds t.mu.
func (t *Table) publish(next *Snapshot, changed bool) {
	next.Rows = t.rows()
	t.snapshot.Store(next)
	if changed {
		t.onChange(next)
	}
}

// Reapply calls onChange with the current snapshot, as after a change. A caller that passed
// on a snapshot itself could be overtaken by a change, and put an older list into use.
func (t *Table) Reapply() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onChange(t.Snapshot())
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

// ChangesSince returns the rows that changed after a position, or all rows if not all
// deletions since then are known or the store has been restored since. A daemon of an
// earlier version, whose position has UnknownRestorations, gets the rows as this daemon
// uses them.
func (t *Table) ChangesSince(after core.CopyPosition) Batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.snapshot.Load()
	rows, earlierVersion := t.stored, after.Restorations == core.UnknownRestorations
	sameStore := after.Restorations == s.Position.Restorations
	if earlierVersion {
		rows, sameStore = s.Rows, s.Position.Prior == core.StoreRevision{}
	}
	b := Batch{Position: s.Position, Full: !sameStore || after.Version == 0 || after.Version < t.tombstonesDroppedTo, OutageEnd: t.OutageEnd(time.Now())}
	for _, r := range rows {
		if b.Full || r.Version > after.Version {
			b.Rows = append(b.Rows, r)
		}
	}
	if !b.Full {
		for _, r := range t.tombstones {
			// A row that was written again after its deletion is in the batch already.
			if _, exists := rows[r.Key]; r.Version > after.Version && !exists {
				b.Rows = append(b.Rows, r)
			}
		}
	}
	if !earlierVersion && (b.Full || after.Prior.Compare(s.Position.Prior) < 0) {
		for _, h := range t.held {
			b.Held = append(b.Held, h.Row)
		}
	}
	return b
}
