package sched

import (
	"math"
	"time"

	"eelgrassgrade/internal/decide/limits"
)

const (
	// defaultCapacity is used until SetCapacity is first called: the default
	// number of slots of one endpoint.
	defaultCapacity = 8
	// overloadFactor multiplies the scale after an endpoint answered that it is
	// overloaded.
	overloadFactor = 0.7
	// overloadReductionPause and reportReductionPause are the shortest times
	// between two reductions of the scale after overloaded answers and load
	// reports, so that several signs of the same congestion count once.
	overloadReductionPause = 100 * time.Millisecond
	reportReductionPause   = 500 * time.Millisecond
	// waitingTolerance is the fraction of calls that may wait at the endpoints
	// without a reduction of the scale.
	waitingTolerance = 0.05
	minScale         = 0.01
	// boostBusyFraction is the fraction of the time in which the queue must not
	// be empty for the boost to grow.
	boostBusyFraction = 0.3
	// newestReportWeight is the weight of the newest report in a moving average.
	newestReportWeight = 0.3
)

// window limits the calls in progress of one pool to the daemon's share of the
// endpoints' slots. The share is scaled down while endpoints are congested
// (additive increase, multiplicative decrease).
type window struct {
	capacity int // slots of the endpoints in service
	daemons  int // live daemons, this one included
	// reportedBacklog is the backlog weight of this daemon in its last usage
	// report, a mean over time. othersBacklog is the smoothed sum for the other
	// daemons.
	reportedBacklog, othersBacklog float64
	// busyBacklog is this daemon's smoothed mean backlog weight over the time in
	// which its queue was not empty, and busyFraction the fraction of that time in
	// the last report.
	busyBacklog, busyFraction float64
	// boost limits the daemon's share to a multiple of an equal share.
	boost float64
	// peakInProgress is the largest number of calls in progress since the last
	// totals.
	peakInProgress int
	// unreachableSince is when totals ceased to arrive, or zero.
	unreachableSince time.Time
	// scale is the factor by which congestion reduces the share, up to 1.
	scale     float64
	reducedAt time.Time
}

func newWindow() window { return window{capacity: defaultCapacity, daemons: 1, scale: 1, boost: 1} }

// size returns the number of calls that may be in progress. queuedWeight is the
// weight of the accounts that are queued here now.
func (w *window) size(now time.Time, queuedWeight float64) float64 {
	if w.capacity == 0 {
		return 0
	}
	return max(1, math.Round(w.capacityShare(now, queuedWeight)*w.scale))
}

// capacityShare returns the daemon's share of the capacity, in slots. It is
// proportional to the daemon's fraction of the backlogged weight, but at most an
// equal share times the boost. Without the boost's limit, every daemon could use
// the whole capacity when a flood reaches all of them, and the endpoints would
// get many times their capacity until the next report.
func (w *window) capacityShare(now time.Time, queuedWeight float64) float64 {
	equal := 1 / float64(max(w.daemons, 1))
	fraction := min(1, equal*w.boost)
	if w.othersBacklog > 0 {
		// The daemon's weight is its mean over the time in which its queue was not
		// empty. With the mean over all time, a small account that is alone on a
		// daemon would get its share only if it were queued most of the time.
		ownBacklog := w.busyBacklog
		if ownBacklog == 0 {
			ownBacklog = queuedWeight * equal
		}
		fraction = min(fraction, ownBacklog/(ownBacklog+w.othersBacklog))
	}
	if !w.unreachableSince.IsZero() {
		decayed := min(1, now.Sub(w.unreachableSince).Seconds()/limits.DecayTime.Seconds())
		fraction += (equal - fraction) * decayed
	}
	return float64(w.capacity) * fraction
}

// setReport takes this daemon's values in a usage report: its mean backlog
// weight and the fraction of the time in which it had a backlog.
func (w *window) setReport(backlog, busyFraction float64) {
	w.reportedBacklog, w.busyFraction = backlog, busyFraction
	if busyFraction > 0 {
		w.busyBacklog = smooth(w.busyBacklog, backlog/busyFraction)
	}
}

// setTotals takes the backlog weight of all daemons. The boost doubles with each
// report while the daemon has a backlog, and halves if the daemon used less than
// half of its share.
func (w *window) setTotals(now time.Time, totalBacklog float64, inProgress int) {
	others := max(0, totalBacklog-w.reportedBacklog)
	if others < 1e-9 { // a rounding error of the sum
		others = 0
	}
	w.othersBacklog = smooth(w.othersBacklog, others)
	w.unreachableSince = time.Time{}
	switch {
	case w.busyFraction >= boostBusyFraction:
		w.boost = min(2*w.boost, float64(max(w.daemons, 1)))
	case 2*float64(w.peakInProgress) < w.capacityShare(now, 0):
		w.boost = max(1, w.boost/2)
	}
	w.peakInProgress = inProgress
}

// smooth returns the moving average of reports. The figures of one interval are
// small on each daemon, and a share that followed them directly would vary by a
// slot or more.
func smooth(old, latest float64) float64 {
	if old == 0 || latest == 0 {
		return latest
	}
	return old + newestReportWeight*(latest-old)
}

// reduce multiplies the scale by factor, unless it was reduced less than pause
// ago.
func (w *window) reduce(now time.Time, factor float64, pause time.Duration) {
	if !w.reducedAt.IsZero() && now.Sub(w.reducedAt) < pause {
		return
	}
	w.reducedAt = now
	w.scale = max(minScale, w.scale*factor)
}

// reportLoad reduces the scale if too many calls wait at the endpoints.
func (w *window) reportLoad(now time.Time, waiting, slots int) {
	if waiting <= 0 || slots <= 0 {
		return
	}
	if r := float64(waiting) / float64(waiting+slots); r > waitingTolerance {
		w.reduce(now, max(0.5, 1-r), reportReductionPause)
	}
}

// grow increases the scale after a successful call, so that a full window of
// successful calls adds one call to the window.
func (w *window) grow(now time.Time, queuedWeight float64) {
	if w.scale >= 1 {
		return
	}
	share := max(1, w.capacityShare(now, queuedWeight))
	w.scale = min(1, w.scale+1/(share*max(1, share*w.scale)))
}
