package forward

import (
	"slices"
	"time"

	"eelgrassgrade/internal/decide/catalog"
)

const (
	// defaultFirstEventTime is the assumed time from sending a request to its first
	// event on a route without measurements.
	defaultFirstEventTime = 200 * time.Millisecond
	// transferTime is the assumed time for sending the pieces of a stage and getting
	// their results.
	transferTime = 15 * time.Millisecond
	// minAllowedQueueing is the queueing time up to which a request is admitted even if
	// its answer then starts after its target. Daemons learn of each other's queues only
	// a few times a second, and endpoints would be idle in between if the queues were
	// kept empty.
	minAllowedQueueing = 500 * time.Millisecond
	// minRemaining is the remaining time below which no work is started.
	minRemaining = 30 * time.Millisecond
)

// plan holds the expected times of a request's stages.
type plan struct {
	// callTimes holds the expected time of each stage's call, timesToFirstEvent the time
	// from the start of each stage's call to the first event of the answer. The latter
	// includes the waits of later stages.
	callTimes, timesToFirstEvent []time.Duration
	// laterStages holds the length of the longest chain of stages after each stage.
	laterStages []int
	// firstEventTime is the expected time from the end of the last stage to the first
	// event.
	firstEventTime time.Duration
	// expectedTime is the time to the first event along the longest path through the
	// stages, including waits in queues; unqueuedTime is the same without waits.
	expectedTime, unqueuedTime time.Duration
	// longestWait is the longest of the stages' waits.
	longestWait time.Duration
}

// newPlan computes the plan of a request. pieceCounts holds its number of pieces by
// stage, and firstEventTime is the expected time from the end of the last stage to the
// first event. wait returns the present queueing time of a stage.
func newPlan(r *catalog.Route, s *catalog.Snapshot, pieceCounts []int, firstEventTime time.Duration, wait func(stage int) time.Duration) plan {
	n := len(r.Stages)
	p := plan{callTimes: make([]time.Duration, n), timesToFirstEvent: make([]time.Duration, n), laterStages: make([]int, n), firstEventTime: firstEventTime, expectedTime: firstEventTime, unqueuedTime: firstEventTime}
	endWithWaits, endWithoutWaits := make([]time.Duration, n), make([]time.Duration, n)
	order := r.StageOrder()
	for _, i := range slices.Backward(order) {
		p.callTimes[i] = expectedCallTime(s, r.Stages[i], pieceCount(pieceCounts, i))
		untilFirstEvent := firstEventTime
		for j := range r.Stages {
			for _, dep := range r.Stages[j].DependsOn {
				if dep == i && pieceCount(pieceCounts, j) > 0 {
					p.laterStages[i] = max(p.laterStages[i], p.laterStages[j]+1)
				}
				if dep == i {
					// On average the next stage waits for half of a call in progress.
					untilFirstEvent = max(untilFirstEvent, p.timesToFirstEvent[j]+max(p.callTimes[j]/2, wait(j))+transferTime)
				}
			}
		}
		p.timesToFirstEvent[i] = p.callTimes[i] + untilFirstEvent
	}
	for _, i := range order {
		st := r.Stages[i]
		if pieceCount(pieceCounts, i) == 0 {
			continue
		}
		startWithWaits, startWithoutWaits := time.Duration(0), time.Duration(0)
		for _, dep := range st.DependsOn {
			startWithWaits, startWithoutWaits = max(startWithWaits, endWithWaits[dep]), max(startWithoutWaits, endWithoutWaits[dep])
		}
		stageWait := wait(i)
		p.longestWait = max(p.longestWait, stageWait)
		endWithWaits[i] = startWithWaits + stageWait + p.callTimes[i] + transferTime
		endWithoutWaits[i] = startWithoutWaits + p.callTimes[i] + transferTime
		p.expectedTime, p.unqueuedTime = max(p.expectedTime, endWithWaits[i]+firstEventTime), max(p.unqueuedTime, endWithoutWaits[i]+firstEventTime)
	}
	return p
}

// stagesTime returns the expected time until the stages are done.
func (p *plan) stagesTime() time.Duration { return p.expectedTime - p.firstEventTime }

// expectedCallTime returns the expected time of a call with as many of a stage's pieces
// as fit, or 0 if there are no pieces or the pool does no batching.
func expectedCallTime(s *catalog.Snapshot, st catalog.Stage, pieces int) time.Duration {
	pool := s.Pool(st.Pool)
	if pieces == 0 || pool == nil || pool.Batching == nil {
		return 0
	}
	b := pool.Batching
	return b.CallTime + time.Duration(min(pieces, b.MaxPieces))*b.PieceTime
}

// pieceCount returns the number of pieces of a stage, or 0 if the request does not say.
func pieceCount(pieceCounts []int, stage int) int {
	if stage < len(pieceCounts) {
		return pieceCounts[stage]
	}
	return 0
}

// admits reports whether a request is admitted whose answer must start within
// untilDeadline and should start within untilTarget. If requests were admitted whose
// queueing makes them miss their target, the queue would grow until all requests
// missed theirs. Requests that miss their deadline waste the work of earlier stages.
func (p *plan) admits(untilDeadline, untilTarget time.Duration) bool {
	return p.expectedTime <= untilDeadline && p.expectedTime-p.unqueuedTime <= max(untilTarget-p.unqueuedTime, minAllowedQueueing)
}
