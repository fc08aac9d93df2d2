package telemetry

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"eelgrassgrade/internal/app/forward"
	"eelgrassgrade/internal/core"
)

const (
	// closeLinesPerSecond and closeLinesBurst bound the connection_closed lines.
	closeLinesPerSecond = 20
	closeLinesBurst     = 100
	// maxLoggedTasks bounds the stage tasks that a line names.
	maxLoggedTasks = 16
)

// stopOutcome is what became of a request that ended while its daemon was stopping.
type stopOutcome string

const (
	stopAnswered   stopOutcome = "answered"
	stopRefused    stopOutcome = "refused"
	stopFailed     stopOutcome = "failed"
	stopCut        stopOutcome = "cut"
	stopCallerLeft stopOutcome = "caller_left"
)

// outcomeOf classifies a request by what its caller got.
func outcomeOf(o *forward.Outcome) stopOutcome {
	switch {
	case o.Err != nil && o.CallerLeft:
		return stopCallerLeft
	case o.Cut:
		return stopCut
	case o.Err == nil:
		return stopAnswered
	case o.Err.Ran == core.RanNot:
		return stopRefused
	}
	return stopFailed
}

// stopTally counts what became of requests and connections since the daemon began to stop.
type stopTally struct {
	// began is when the stop began; nil unless the daemon is stopping.
	began atomic.Pointer[time.Time]
	// endLines bounds the request_ended lines beyond the sampled ones, closeLines the
	// connection_closed and request_unread lines.
	endLines, closeLines *rate.Limiter
	closeLinesDropped    atomic.Int64

	mu       sync.Mutex
	outcomes map[stopOutcome]int
	// refusals counts refused requests by step, unread those that were refused before they
	// were read, by limit.
	refusals, unread map[string]int
	closed           map[string]int
	// unanswered counts closed connections whose request had no complete answer.
	unanswered map[string]int
}

func newStopTally(linesPerSecond int) *stopTally {
	return &stopTally{endLines: rate.NewLimiter(rate.Limit(linesPerSecond), linesPerSecond), closeLines: rate.NewLimiter(closeLinesPerSecond, closeLinesBurst),
		outcomes: map[stopOutcome]int{}, refusals: map[string]int{}, unread: map[string]int{}, closed: map[string]int{}, unanswered: map[string]int{}}
}

// age returns the time since the stop began, or ok false if the daemon is not stopping.
func (s *stopTally) age() (d time.Duration, ok bool) {
	if began := s.began.Load(); began != nil {
		return time.Since(*began), true
	}
	return 0, false
}

// count changes the tally if the daemon is stopping.
func (s *stopTally) count(change func()) {
	if s.began.Load() == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// addUnread counts requests that were refused before they were read.
func (s *stopTally) addUnread(byReason map[string]int) {
	s.count(func() {
		for reason, n := range byReason {
			s.unread[reason] += n
		}
	})
}

// recordStopOutcome counts a request that ended while the daemon is stopping and returns
// the time since the stop began.
func (h *HostedRecorder) recordStopOutcome(o *forward.Outcome, e *core.Error) (age time.Duration, stopping bool) {
	if age, stopping = h.stop.age(); !stopping {
		return 0, false
	}
	outcome := outcomeOf(o)
	h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_stop_requests_total{phase=%q,outcome=%q}`, o.Phase, outcome)).Inc()
	h.stop.count(func() {
		h.stop.outcomes[outcome]++
		if outcome == stopRefused {
			h.stop.refusals[e.Step]++
		}
	})
	return age, true
}

// ConnectionClosed reports a caller's connection that was closed. head is set if it had
// carried a head that was not passed on; unanswered is the request that has no complete
// answer, or nil. There is a line for each such request that this daemon left, and while it
// is stopping also for those whose callers left.
func (h *HostedRecorder) ConnectionClosed(reason, client string, byCaller, head bool, unanswered *forward.InProgress) {
	phase := "none"
	switch {
	case unanswered != nil:
		phase = unanswered.Phase().String()
	case head:
		phase = "head"
	}
	h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_connections_closed_total{reason=%q,phase=%q}`, reason, phase)).Inc()
	h.stop.count(func() {
		h.stop.closed[reason]++
		if unanswered != nil {
			h.stop.unanswered[reason]++
		}
	})
	age, stopping := h.stop.age()
	if unanswered == nil || byCaller && !stopping {
		return
	}
	if !h.stop.closeLines.Allow() {
		h.stop.closeLinesDropped.Add(1)
		return
	}
	line := h.log.Warn()
	if byCaller {
		line = h.log.Info()
	}
	if stopping {
		line = line.Int64("stop_ms", age.Milliseconds())
	}
	addInProgress(line, "", unanswered, time.Now()).Str("reason", reason).Str("client", client).
		Int64("lines_dropped", h.stop.closeLinesDropped.Swap(0)).Msg("connection_closed")
}

// RequestUnread logs a request that was refused before it was read, if the daemon is
// stopping. ClientsRefused counts all of them.
func (h *HostedRecorder) RequestUnread(r *forward.InProgress, reason string) {
	age, stopping := h.stop.age()
	if !stopping || !h.stop.closeLines.Allow() {
		return
	}
	addInProgress(h.log.Info().Int64("stop_ms", age.Milliseconds()), "", r, time.Now()).Str("reason", reason).Msg("request_unread")
}

// addInProgress adds a request in progress to a line, in fields that begin with prefix.
func addInProgress(line *zerolog.Event, prefix string, r *forward.InProgress, now time.Time) *zerolog.Event {
	line = line.Str(prefix+"request", string(r.ID)).Stringer(prefix+"phase", r.Phase()).Int64(prefix+"age_ms", now.Sub(r.Arrived).Milliseconds())
	if left, ok := r.Remaining(now); ok {
		line = line.Int64(prefix+"left_ms", left.Milliseconds())
	}
	return line
}

// StopProgress is what a stopping daemon still has in progress.
type StopProgress struct {
	Requests forward.ProgressSummary
	// Connections is the number of callers' connections.
	Connections int
	// PeerTasks are the requests of other daemons whose stage tasks wait or run here.
	PeerTasks []core.RequestID
	// Remaining is the time until requests are cut.
	Remaining time.Duration
	// Late is how late the report is: the time by which the process was held up before it.
	Late time.Duration
}

// StopBegan reports that the daemon begins to stop. Requests without an answer end within
// unanswered.
func (h *HostedRecorder) StopBegan(at time.Time, unanswered time.Duration, p *StopProgress) {
	h.stop.began.Store(&at)
	h.log.Info().Int("in_progress", p.Requests.Total).Int64("late_ms", p.Late.Milliseconds()).Int64("within_ms", p.Remaining.Milliseconds()).Int64("unanswered_within_ms", unanswered.Milliseconds()).Msg("stopping")
	h.StopProgress(p)
}

// StopProgress reports what a stopping daemon still has in progress.
func (h *HostedRecorder) StopProgress(p *StopProgress) {
	age, _ := h.stop.age()
	line := h.log.Info().Int64("stop_ms", age.Milliseconds()).Int64("left_ms", p.Remaining.Milliseconds()).Int64("late_ms", p.Late.Milliseconds()).
		Int("requests", p.Requests.Total).Int("unlisted", p.Requests.Unlisted).Int("connections", p.Connections)
	for phase, n := range p.Requests.ByPhase {
		line = line.Int(forward.Phase(phase).String(), n)
	}
	if oldest := p.Requests.Oldest; oldest != nil {
		line = addInProgress(line, "longest_", oldest, time.Now())
	}
	addPeerTasks(line, p.PeerTasks).Msg("stop_progress")
}

// StopEnded reports what became of all requests and connections since the stop began, and
// what is left.
func (h *HostedRecorder) StopEnded(p *StopProgress) {
	age, _ := h.stop.age()
	s := h.stop
	s.mu.Lock()
	defer s.mu.Unlock()
	for phase, n := range p.Requests.ByPhase {
		if n > 0 {
			h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_stop_requests_total{phase=%q,outcome="abandoned"}`, forward.Phase(phase))).Add(n)
		}
	}
	level := zerolog.InfoLevel
	if p.Requests.Total > 0 || s.outcomes[stopCut] > 0 {
		level = zerolog.WarnLevel
	}
	line := h.log.WithLevel(level).Int64("took_ms", age.Milliseconds()).Int64("left_ms", p.Remaining.Milliseconds())
	for _, o := range []stopOutcome{stopAnswered, stopRefused, stopFailed, stopCut, stopCallerLeft} {
		line = line.Int(string(o), s.outcomes[o])
	}
	line = line.Int("abandoned", p.Requests.Total).Strs("refused_at", countList(s.refusals)).Strs("unread", countList(s.unread)).
		Strs("closed", countList(s.closed)).Strs("closed_unanswered", countList(s.unanswered)).Int64("lines_dropped", s.closeLinesDropped.Load())
	addPeerTasks(line, p.PeerTasks).Msg("stopped")
}

// addPeerTasks adds the number of other daemons' stage tasks and the first of their requests.
func addPeerTasks(line *zerolog.Event, tasks []core.RequestID) *zerolog.Event {
	line = line.Int("peer_tasks", len(tasks))
	if len(tasks) == 0 {
		return line
	}
	ids := make([]string, 0, maxLoggedTasks)
	for _, id := range tasks[:min(len(tasks), maxLoggedTasks)] {
		ids = append(ids, string(id))
	}
	return line.Strs("peer_task_requests", ids)
}

// countList returns counts as texts, ordered by name.
func countList(counts map[string]int) []string {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, fmt.Sprintf("%s: %d", name, counts[name]))
	}
	return list
}
