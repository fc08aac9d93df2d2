package core

import "cmp"

// UnknownRestorations is the count of restorations in what comes from a daemon of an
// earlier version, which does not count them.
const UnknownRestorations = -1

// StoreRevision is a state of the platform's store. The store's versions grow until it is
// restored from a copy: then they go back and are given out again.
type StoreRevision struct {
	// Restorations counts how often the store had been restored.
	Restorations int64
	// Version is the version of the store since then.
	Version int64
}

// Compare returns -1, 0 or 1 if r is older than, the same as or newer than o.
func (r StoreRevision) Compare(o StoreRevision) int {
	return cmp.Or(cmp.Compare(r.Restorations, o.Restorations), cmp.Compare(r.Version, o.Version))
}

// CopyPosition is the state that a copy of a table of the store has reached.
type CopyPosition struct {
	StoreRevision
	// Prior is the newest revision from before the last restoration whose changes the copy
	// accounts for, although the store has lost them. It is zero if the copy knows of none.
	Prior StoreRevision
}

// Compare returns -1, 0 or 1 if p is older than, the same as or newer than o. Of two copies
// since the same restoration, the one that accounts for more changes from before it is the
// newer one: what the store has lost can be had only from such a copy, what it has got
// since also from the store.
func (p CopyPosition) Compare(o CopyPosition) int {
	return cmp.Or(cmp.Compare(p.Restorations, o.Restorations), p.Prior.Compare(o.Prior), cmp.Compare(p.Version, o.Version))
}
