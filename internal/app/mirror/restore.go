package mirror

import (
	"maps"
	"time"

	"eelgrassgrade/internal/core"
)

// RestorePolicy says which rows of a copy are kept in place of those of a store that was
// restored from an older copy of its own, until what was lost is written again. The zero
// value keeps none.
type RestorePolicy struct {
	// Newer reports whether the value a of a row was written after its value b, as far as
	// the values show it. nil means that no row is kept.
	Newer func(a, b []byte) bool
	// HoldFor is how long rows and deletions are kept at most. By then the owner of a row
	// has written it again, or the store shows its owner's end. A row that the store does
	// not have is not kept.
	HoldFor time.Duration
	// Permanent keeps rows, also those that the store does not have, until the store has
	// a value that is not older. Deletions are not kept.
	Permanent bool
}

// heldRow is a row from before the last restoration, or the deletion of one, that is kept
// in place of the store's row.
type heldRow struct {
	Row
	heldAt time.Time
}

// SetRestorePolicy sets the policy. It must be called before the table is used.
func (t *Table) SetRestorePolicy(p RestorePolicy) { t.policy = p }

// Held returns the number of rows and deletions that are kept in place of the store's.
func (t *Table) Held() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.held)
}

// restore applies a full batch since a later restoration. What the copy knows from before
// it, or the sender of the batch if that knows of later changes, is held where it is newer
// than the restored rows. The caller holds t.mu.
func (t *Table) restore(next *Snapshot, b Batch) {
	own := next.Position.StoreRevision
	known := t.knownBefore(next, b.Rows)
	t.stored = make(map[string]Row, len(b.Rows))
	for _, r := range b.Rows {
		if !r.Deleted {
			t.stored[r.Key] = r
		}
	}
	t.tombstones, t.tombstonesDroppedTo = nil, b.Position.Version
	t.held = map[string]heldRow{}
	t.restoredAt.Store(time.Now())
	t.holdRows(known, b.Position.Version)
	next.Position = core.CopyPosition{StoreRevision: b.Position.StoreRevision, Prior: own}
	next.LastChange.Version = b.Position.Version
	t.replaceHeld(next, b)
}

// replaceHeld replaces what is held by what the sender of a batch holds, if that accounts
// for later changes from before the last restoration. Permanent rows are kept beside it if
// they are newer. It reports whether it did so.
func (t *Table) replaceHeld(next *Snapshot, b Batch) bool {
	if b.Position.Prior.Compare(next.Position.Prior) <= 0 {
		return false
	}
	if !t.policy.Permanent {
		clear(t.held)
	}
	t.holdRows(b.Held, b.Position.Version)
	next.Position.Prior = b.Position.Prior
	return true
}

// knownBefore returns the rows of the copy, and the deletion of each restored row that the
// copy lacks although it has reached the row's version. Such a row may also have been
// written since the restoration, with a version that is given out again.
func (t *Table) knownBefore(s *Snapshot, restored []Row) []Row {
	known := make([]Row, 0, len(s.Rows))
	for _, r := range s.Rows {
		known = append(known, r)
	}
	for _, r := range restored {
		if _, exists := s.Rows[r.Key]; !exists && r.Version <= s.Position.Version {
			known = append(known, Row{Key: r.Key, Deleted: true})
		}
	}
	return known
}

// holdRows holds those of the rows and deletions from before the last restoration that are
// newer than the store's rows. since is the version of the store at which they were last
// known to be lost.
func (t *Table) holdRows(rows []Row, since int64) {
	if t.policy.Newer == nil {
		return
	}
	for _, r := range rows {
		if h, exists := t.held[r.Key]; exists && !t.policy.Newer(r.Value, h.Value) || !t.isLost(r, since) {
			continue
		}
		t.held[r.Key] = heldRow{Row: r, heldAt: time.Now()}
	}
}

// isLost reports whether the store has lost a row or a deletion from before the last
// restoration and has not got it again.
func (t *Table) isLost(r Row, since int64) bool {
	stored, exists := t.stored[r.Key]
	switch {
	case exists && stored.Version > since && !t.policy.Permanent:
		// It has been written again.
		return false
	case r.Deleted:
		return exists && !t.policy.Permanent
	case !exists:
		return t.policy.Permanent
	}
	return t.policy.Newer(r.Value, stored.Value)
}

// releaseHeld ends the holding of a row that the store has written or deleted since.
func (t *Table) releaseHeld(written Row) {
	h, ok := t.held[written.Key]
	if !ok || t.policy.Permanent && (written.Deleted || t.policy.Newer(h.Value, written.Value)) {
		return
	}
	delete(t.held, written.Key)
}

// expireHeld ends the holding of rows and deletions after RestorePolicy.HoldFor.
func (t *Table) expireHeld(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.policy.Permanent {
		return
	}
	changed := false
	for key, h := range t.held {
		if now.Sub(h.heldAt) >= t.policy.HoldFor {
			delete(t.held, key)
			changed = true
		}
	}
	if changed {
		next := *t.snapshot.Load()
		t.publish(&next, true)
	}
}

// rows returns the rows of the copy: those of the store with the held ones in their place.
func (t *Table) rows() map[string]Row {
	if len(t.held) == 0 {
		return t.stored
	}
	rows := maps.Clone(t.stored)
	for key, h := range t.held {
		if h.Deleted {
			delete(rows, key)
			continue
		}
		rows[key] = h.Row
	}
	return rows
}
