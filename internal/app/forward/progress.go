package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"eelgrassgrade/internal/core"
)

// Phase is how far a request has come.
type Phase int32

const (
	// PhaseBody: its head was read, its body is read.
	PhaseBody Phase = iota
	// PhaseAdmission: it was read, and is refused or planned.
	PhaseAdmission
	PhaseStages
	// PhaseFirstEvent: it waits for an endpoint or for the beginning of its answer.
	PhaseFirstEvent
	// PhaseStream: its answer has begun.
	PhaseStream
	// PhaseDone: its whole answer was handed over for sending.
	PhaseDone
	// Phases is the number of phases.
	Phases
)

var phaseNames = [Phases]string{"body", "admission", "stages", "first_event", "stream", "done"}

// String returns the name that logs and metrics use.
func (p Phase) String() string {
	if p < 0 || p >= Phases {
		return "unknown"
	}
	return phaseNames[p]
}

// InProgress is one request in progress. The goroutine that serves it changes its phase,
// others read it.
type InProgress struct {
	ID      core.RequestID
	Arrived time.Time
	phase   atomic.Int32
	// limit is the time from Arrived to the request's deadline; 0 if it is not known yet.
	limit atomic.Int64
	// unlisted is set if the registry was full.
	unlisted bool
}

// Enter sets the request's phase.
func (r *InProgress) Enter(p Phase) {
	if r != nil {
		r.phase.Store(int32(p))
	}
}

// Phase returns the request's phase.
func (r *InProgress) Phase() Phase { return Phase(r.phase.Load()) }

// Remaining returns the time until the request's deadline, or ok false if that is not known.
func (r *InProgress) Remaining(now time.Time) (left time.Duration, ok bool) {
	limit := time.Duration(r.limit.Load())
	return r.Arrived.Add(limit).Sub(now), limit > 0
}

// maxListed bounds the requests that a Progress lists; the bound on callers' connections is
// lower on all but the largest machines.
const maxListed = 8192

// Progress lists the requests in progress, from the end of their heads to the end of their
// answers. The zero value is ready for use.
type Progress struct {
	mu       sync.Mutex
	listed   map[*InProgress]struct{}
	unlisted int
}

// Begin adds a request in PhaseBody. It must be followed by End. A nil Progress lists
// nothing.
func (p *Progress) Begin(id core.RequestID, arrived time.Time) *InProgress {
	r := &InProgress{ID: id, Arrived: arrived}
	if p == nil {
		return r
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.listed) >= maxListed {
		r.unlisted = true
		p.unlisted++
		return r
	}
	if p.listed == nil {
		p.listed = map[*InProgress]struct{}{}
	}
	p.listed[r] = struct{}{}
	return r
}

// End removes a request.
func (p *Progress) End(r *InProgress) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.unlisted {
		p.unlisted--
		return
	}
	delete(p.listed, r)
}

// ProgressSummary counts the requests in progress.
type ProgressSummary struct {
	// Total includes Unlisted, the requests beyond the bound, whose phases are not counted.
	Total, Unlisted int
	ByPhase         [Phases]int
	// Oldest is the listed request that arrived first, or nil.
	Oldest *InProgress
}

// Summary counts the requests in progress.
func (p *Progress) Summary() ProgressSummary {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := ProgressSummary{Total: len(p.listed) + p.unlisted, Unlisted: p.unlisted}
	for r := range p.listed {
		s.ByPhase[r.Phase()]++
		if s.Oldest == nil || r.Arrived.Before(s.Oldest.Arrived) {
			s.Oldest = r
		}
	}
	return s
}
