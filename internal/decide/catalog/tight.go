package catalog

import "time"

const (
	// tightFactor is the share of a route's stage path below which its latency target
	// leaves no time for a queue.
	tightFactor = 1.5
	// assumedFirstEvent is the assumed time from the last stage to the first event, and
	// assumedTransfer that for the results of a stage.
	assumedFirstEvent = 200 * time.Millisecond
	assumedTransfer   = 15 * time.Millisecond
)

// isTight reports whether the configuration has routes with stages and none of them has a
// target that leaves time for a queue: each is shorter than tightFactor times the route's
// path with full calls. Where one kind of request can wait, a burst of it is absorbed by
// its queue; in a tight configuration each queue makes answers late.
func isTight(routes []*Route, pools map[string]*Batching) bool {
	staged := 0
	for _, r := range routes {
		if len(r.Stages) == 0 {
			continue
		}
		staged++
		if r.LatencyTarget <= 0 || float64(r.LatencyTarget) >= tightFactor*float64(fullCallPath(r, pools)) {
			return false
		}
	}
	return staged > 0
}

// fullCallPath returns the time to the first event along the longest path through the
// route's stages if all calls are full and each is preceded by the wait for half a call.
func fullCallPath(r *Route, pools map[string]*Batching) time.Duration {
	ends := make([]time.Duration, len(r.Stages))
	longest := time.Duration(0)
	for _, i := range r.StageOrder() {
		s := r.Stages[i]
		for _, dep := range s.DependsOn {
			ends[i] = max(ends[i], ends[dep])
		}
		if b := pools[string(s.Pool)]; b != nil {
			full := b.CallTime + time.Duration(b.MaxPieces)*b.PieceTime
			ends[i] += full + full/2 + assumedTransfer
		}
		longest = max(longest, ends[i])
	}
	return longest + assumedFirstEvent
}

// Tight reports whether no route with stages has a target that leaves time for a queue.
func (s *Snapshot) Tight() bool { return s.tight }
