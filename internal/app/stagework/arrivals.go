package stagework

import (
	"math"
	"time"
)

// arrivalTimeConstant is the time constant of the exponential decay with which
// arrivals are averaged.
const arrivalTimeConstant = 1500 * time.Millisecond

// arrivalRates measures the arrival rate of pieces for each rank. It is guarded by
// endpointGroup.mu.
type arrivalRates struct {
	// weightedCount holds exponentially decayed counts as of updatedAt.
	weightedCount [maxRank + 1]float64
	updatedAt     [maxRank + 1]time.Time
}

func (a *arrivalRates) add(now time.Time, rank, pieces int) {
	rank = min(max(rank, 0), maxRank)
	a.weightedCount[rank] = a.countAt(now, rank) + float64(pieces)
	a.updatedAt[rank] = now
}

// countAt returns the count of a rank, decayed to the given time.
func (a *arrivalRates) countAt(now time.Time, rank int) float64 {
	if a.updatedAt[rank].IsZero() {
		return 0
	}
	return a.weightedCount[rank] * math.Exp(-float64(now.Sub(a.updatedAt[rank]))/float64(arrivalTimeConstant))
}

// rate returns the number of pieces of a rank that arrive per second.
func (a *arrivalRates) rate(now time.Time, rank int) float64 {
	return a.countAt(now, rank) / arrivalTimeConstant.Seconds()
}
