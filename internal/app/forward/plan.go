package forward

import (
	"time"

	"eelgrassgrade/internal/decide/catalog"
)

const (
	// firstEventTime is assumed from the arrival of a request at an engine to its
	// first event before any was measured.
	firstEventTime = 200 * time.Millisecond
	// transferTime is assumed for handing pieces on and back.
	transferTime = 15 * time.Millisecond
	// minQueue is the wait in the stages' queues that a request is let in with, even
	// if it takes the answer past its target: waits are told a few times a second,
	// and with none in the queues endpoints would stand idle.
	minQueue = 500 * time.Millisecond
	// minRemaining is the time below which no work is started.
	minRemaining = 30 * time.Millisecond
)

// plan holds the expected times of a request's stages.
type plan struct {
	// own is the expected time of each stage's call, tail the time from the start
	// of the call to the first event of the answer when nothing waits.
	own, tail []time.Duration
	// later is the number of stages that follow each stage, one after the other.
	later []int
	// last is the time from the last stage to the first event.
	last time.Duration
	// total is the longest way through all stages to the first event, waits included,
	// idle the longest one without waits.
	total, idle time.Duration
	// waits is the longest wait of a stage.
	waits time.Duration
}

// makePlan works out the times of a route's stages. last is the time from the
// last stage to the first event, wait tells the present wait of a stage.
func makePlan(r *catalog.Route, s *catalog.Snapshot, pieces []int, last time.Duration, wait func(stage int) time.Duration) plan {
	n := len(r.Stages)
	p := plan{own: make([]time.Duration, n), tail: make([]time.Duration, n), later: make([]int, n), last: last, total: last, idle: last}
	reach, idle := make([]time.Duration, n), make([]time.Duration, n)
	for i := n - 1; i >= 0; i-- {
		p.own[i] = callTime(s, r.Stages[i], count(pieces, i))
		after := last
		for j := i + 1; j < n; j++ {
			for _, a := range r.Stages[j].DependsOn {
				if a == i && count(pieces, j) > 0 {
					p.later[i] = max(p.later[i], p.later[j]+1)
				}
				if a == i {
					// A call that is in progress delays the next stage by half its time on average.
					after = max(after, p.tail[j]+max(p.own[j]/2, wait(j))+transferTime)
				}
			}
		}
		p.tail[i] = p.own[i] + after
	}
	for i, st := range r.Stages {
		if count(pieces, i) == 0 {
			continue
		}
		begin, free := time.Duration(0), time.Duration(0)
		for _, a := range st.DependsOn {
			begin, free = max(begin, reach[a]), max(free, idle[a])
		}
		w := wait(i)
		p.waits = max(p.waits, w)
		reach[i] = begin + w + p.own[i] + transferTime
		idle[i] = free + p.own[i] + transferTime
		p.total, p.idle = max(p.total, reach[i]+last), max(p.idle, idle[i]+last)
	}
	return p
}

func callTime(s *catalog.Snapshot, st catalog.Stage, pieces int) time.Duration {
	pool := s.Pool(st.Pool)
	if pieces == 0 || pool == nil || pool.Batching == nil {
		return 0
	}
	b := pool.Batching
	return b.CallTime + time.Duration(min(pieces, b.MaxPieces))*b.PieceTime
}

func count(pieces []int, i int) int {
	if i < len(pieces) {
		return pieces[i]
	}
	return 0
}

// admits says whether a request is let in that has left until its answer must
// begin and inTime until it should. A queue that takes the answer past its target
// would grow with such requests until it takes all past theirs, and those that it
// takes past their limit cost earlier stages work for nothing.
func (p *plan) admits(left, inTime time.Duration) bool {
	return p.total <= left && p.total-p.idle <= max(inTime-p.idle, minQueue)
}
