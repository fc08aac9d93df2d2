package batching

import "time"

// Backlogged reports whether so many pieces that can still be in time wait that a shorter
// call would only pass lateness on: more than half a call for each usable endpoint, and one
// call at least.
func Backlogged(now time.Time, pieces []*Piece, usableEndpoints, maxPieces int) bool {
	inTime := 0
	for _, p := range pieces {
		if !p.LatestStart.Before(now) {
			inTime++
		}
	}
	return inTime > max(usableEndpoints*maxPieces/2, maxPieces)
}
