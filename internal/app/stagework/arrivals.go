package stagework

import (
	"math"
	"time"
)

// arrivalTime is the time constant over which arrivals are averaged.
const arrivalTime = 1500 * time.Millisecond

// arrivals measures the pieces that come in, by rank. The pool's lock guards it.
type arrivals struct {
	count [lastRank + 1]float64
	at    [lastRank + 1]time.Time
}

func (a *arrivals) add(now time.Time, rank, pieces int) {
	rank = min(max(rank, 0), lastRank)
	a.count[rank] = a.decayed(now, rank) + float64(pieces)
	a.at[rank] = now
}

func (a *arrivals) decayed(now time.Time, rank int) float64 {
	if a.at[rank].IsZero() {
		return 0
	}
	return a.count[rank] * math.Exp(-float64(now.Sub(a.at[rank]))/float64(arrivalTime))
}

// rate returns the pieces of a rank that come in in a second.
func (a *arrivals) rate(now time.Time, rank int) float64 {
	return a.decayed(now, rank) / arrivalTime.Seconds()
}
