package core

import "cmp"

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
