package catalog

import (
	"slices"

	"eelgrassgrade/internal/core"
)

// Homes holds the regions to which requests are restricted. nil restricts nothing; an empty
// list that is not nil allows no region.
type Homes []core.RegionID

// Allow reports whether requests may go to a region. An unknown region, which is empty, is
// allowed only without a restriction.
func (h Homes) Allow(r core.RegionID) bool {
	return h == nil || r != "" && slices.Contains(h, r)
}

// Intersect returns the regions that both h and other allow.
func (h Homes) Intersect(other Homes) Homes {
	switch {
	case h == nil:
		return other
	case other == nil:
		return h
	}
	both := Homes{}
	for _, r := range h {
		if slices.Contains(other, r) {
			both = append(both, r)
		}
	}
	return both
}
