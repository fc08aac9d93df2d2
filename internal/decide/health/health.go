package health

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// maxConsecutiveFailures is the number of failures in a row that ejects an
	// endpoint.
	maxConsecutiveFailures = 3
	// maxRecentFailures is the number of failures among the last 16 outcomes that
	// ejects an endpoint. It catches endpoints that fail often but never several
	// times in a row.
	maxRecentFailures = 8
	// keptLatencies is the number of call times kept per endpoint and call kind.
	keptLatencies = 8
	// stragglerMinSamples is the number of call times that an endpoint must have
	// before it can be ejected as a straggler.
	stragglerMinSamples = 4
	// stragglerFactor is the multiple of the other endpoints' median call time
	// above which an endpoint is a straggler. Stragglers that must be caught are
	// 10 times slower.
	stragglerFactor = 4
	// maxLostRaces is the number of calls in a row that an endpoint loses to their
	// hedges before it is ejected. A healthy endpoint loses a call with a
	// probability of about 5%.
	maxLostRaces = 3
	// frozenFactor is the multiple of the pool's 99th percentile at which a call
	// counts as stuck if its endpoint finished no other call meanwhile.
	frozenFactor = 1.5
	// frozenMinSamples is the number of call times that a pool must have before
	// its endpoints can be ejected as frozen.
	frozenMinSamples = 20
	// minExcess is the time by which a call must exceed the median to count as
	// slow. Among very short calls, scheduling noise alone exceeds the factors above.
	minExcess = 5 * time.Millisecond

	// baseEjection is the length of the first ejection. Each further one takes
	// twice as long as the one before, up to maxEjection.
	baseEjection = time.Second
	maxEjection  = 30 * time.Second
	// ejectionJitter is the fraction of the ejection time that varies at random.
	ejectionJitter = 0.2
	// ejectionResetAfter is how long an endpoint must serve after an ejection
	// before the length of the next one starts at baseEjection again.
	ejectionResetAfter = time.Minute
	// unrepeatableProbeAfter is how much later than by a request that may be repeated an
	// endpoint is probed by one that may not. Without it, an endpoint of a pool that gets no
	// others would never be probed.
	unrepeatableProbeAfter = 5 * time.Second

	// slowStartDuration is how long a restored endpoint takes to get back to its
	// full capacity; it starts with the fraction initialRamp.
	slowStartDuration = 5 * time.Second
	initialRamp       = 0.1
)

// Reason says why an endpoint was ejected.
type Reason string

// The reasons of an ejection.
const (
	NotEjected            Reason = ""
	ByConsecutiveFailures Reason = "consecutive_failures"
	ByFailureRate         Reason = "failure_rate"
	ByLatency             Reason = "latency"
	ByLostRaces           Reason = "lost_races"
	ByFrozenCall          Reason = "frozen"
	ByCrash               Reason = "crash"
	ByFailedProbe         Reason = "failed_probe"
)

// Phase says whether an endpoint may be sent calls.
type Phase uint8

// The phases of an endpoint.
const (
	Serving Phase = iota
	Ejected
	// Probing endpoints get one call at a time. Its outcome ends the ejection or
	// starts the next one.
	Probing
)

// Status is a copy of the state of an endpoint's health. Readers can use it
// without the lock that guards the Endpoint.
type Status struct {
	// EjectedUntil is the end of the ejection. It is zero while the endpoint serves.
	EjectedUntil time.Time
	// RestoredAt is when a successful probe ended the last ejection.
	RestoredAt time.Time
	// Failing says that the endpoint met a condition for ejection but still
	// serves, because at most half of the pool may be ejected. It gets calls only
	// when no other endpoint has free capacity, and a probe at ProbeAt or later.
	Failing bool
	ProbeAt time.Time
	// Reason is the reason of the ejection or of Failing.
	Reason Reason
}

// Phase returns the endpoint's phase at now.
func (s Status) Phase(now time.Time) Phase {
	switch {
	case s.EjectedUntil.IsZero():
		return Serving
	case now.Before(s.EjectedUntil):
		return Ejected
	default:
		return Probing
	}
}

// ProbeDue reports whether an endpoint that does not serve, or is failing, may get a call
// that finds out whether it serves again. repeatable says that the call may be repeated
// elsewhere if it fails.
func (s Status) ProbeDue(now time.Time, repeatable bool) bool {
	due := s.EjectedUntil
	if due.IsZero() {
		due = s.ProbeAt
	}
	if !repeatable {
		due = due.Add(unrepeatableProbeAfter)
	}
	return (s.Failing || !s.EjectedUntil.IsZero()) && !now.Before(due)
}

// Ramp returns the fraction of the endpoint's capacity, 0.1 to 1, that may be
// used during the slow start after an ejection.
func (s Status) Ramp(now time.Time) float64 {
	if !s.EjectedUntil.IsZero() {
		return initialRamp
	}
	if s.RestoredAt.IsZero() {
		return 1
	}
	return min(1, max(initialRamp, float64(now.Sub(s.RestoredAt))/float64(slowStartDuration)))
}

// CallKind is the kind of a call. Call times of different kinds are not
// comparable and are kept apart.
type CallKind uint8

// The kinds of a call.
const (
	// Unary calls return one response and are timed to its last byte.
	Unary CallKind = iota
	// Streaming calls return a stream and are timed to its first event.
	Streaming
	numCallKinds
)

// Sample is the outcome of one call.
type Sample struct {
	OK      bool
	Kind    CallKind
	Elapsed time.Duration
	// LostRace says that the call was cancelled because the other attempt of a
	// hedged call answered first. Elapsed is then a lower bound of the call time.
	LostRace bool
}

// Endpoint holds the health of one endpoint.
type Endpoint struct {
	status              Status
	consecutiveFailures int
	lostRaces           int // in a row
	lastLostRace        time.Time
	ejections           int    // since the length of ejections was last reset
	outcomes            uint16 // 1 is a failure, the newest in bit 0
	outcomeCount        int
	latencies           [numCallKinds][keptLatencies]time.Duration
	latencyCount        [numCallKinds]int
	lastFinished        time.Time
}

// Status returns a copy of the endpoint's state.
func (e *Endpoint) Status() Status { return e.status }

// MedianLatency returns the median of the endpoint's recent call times, or 0.
func (e *Endpoint) MedianLatency(kind CallKind) time.Duration {
	n := min(e.latencyCount[kind], keptLatencies)
	if n == 0 {
		return 0
	}
	sorted := e.latencies[kind]
	slices.Sort(sorted[:n])
	return sorted[n/2]
}

// Pool holds the health of those endpoints of one pool that a daemon uses.
type Pool struct {
	latency [numCallKinds]LatencyWindow
	members []*Endpoint
}

// Quantiles returns quantiles of the pool's recent call times.
func (p *Pool) Quantiles(kind CallKind) Quantiles { return p.latency[kind].Quantiles() }

// SetMembers replaces the endpoints of the pool. The caller passes the same
// Endpoint again for an endpoint that stays.
func (p *Pool) SetMembers(members []*Endpoint) { p.members = members }

// Observe records the outcome of a call to e, and ejects or restores endpoints
// accordingly. random is uniform in [0, 1). It reports whether the status of any
// member changed.
func (p *Pool) Observe(now time.Time, e *Endpoint, s Sample, random float64) bool {
	before := e.status
	switch {
	case s.LostRace:
		// The cancelled attempt may be the hedge itself, which started late and
		// need not have been slow; its elapsed time is then short. Calls that are
		// sent together are also hedged together and say the same thing about the
		// endpoint, so only a call sent after the last lost race counts.
		sent := now.Add(-s.Elapsed)
		if s.Elapsed >= p.Quantiles(s.Kind).P95 && sent.After(e.lastLostRace) {
			e.lostRaces++
			e.lastLostRace = now
		}
		if e.lostRaces >= maxLostRaces {
			p.eject(now, e, ByLostRaces, random)
		}
	case s.OK:
		return p.recordSuccess(now, e, s, random) || e.status != before
	default:
		p.recordFailure(now, e, random)
	}
	return e.status != before
}

func (p *Pool) recordFailure(now time.Time, e *Endpoint, random float64) {
	e.consecutiveFailures++
	e.outcomes = e.outcomes<<1 | 1
	e.outcomeCount++
	e.lastFinished = now
	switch {
	case e.status.Phase(now) == Probing:
		p.eject(now, e, ByFailedProbe, random)
	case e.status.Failing || e.consecutiveFailures >= maxConsecutiveFailures:
		p.eject(now, e, ByConsecutiveFailures, random)
	case e.outcomeCount >= maxRecentFailures && bits.OnesCount16(e.outcomes) >= maxRecentFailures:
		p.eject(now, e, ByFailureRate, random)
	}
}

// recordSuccess reports whether the status of other members may have changed.
func (p *Pool) recordSuccess(now time.Time, e *Endpoint, s Sample, random float64) bool {
	e.consecutiveFailures, e.lostRaces = 0, 0
	e.outcomes <<= 1
	e.outcomeCount++
	e.lastFinished = now
	kind := s.Kind
	e.latencies[kind][e.latencyCount[kind]%keptLatencies] = s.Elapsed
	e.latencyCount[kind]++
	wasFailing := e.status.Failing
	e.status.Failing = false
	p.latency[kind].Record(now, s.Elapsed)
	median := p.medianOfOthers(e, kind)
	slow := func(d time.Duration) bool {
		return median > 0 && d > stragglerFactor*median && d > median+minExcess
	}
	if !e.status.EjectedUntil.IsZero() {
		if slow(s.Elapsed) {
			// A call that was sent before the ejection may end during it. Only
			// a call that ends after the ejection time counts as a failed probe.
			if e.status.Phase(now) == Probing {
				p.eject(now, e, ByFailedProbe, random)
			}
			return false
		}
		if e.status.Phase(now) == Probing {
			e.restore(now)
		}
	} else if e.latencyCount[kind] >= stragglerMinSamples && slow(e.MedianLatency(kind)) {
		p.eject(now, e, ByLatency, random)
	}
	if wasFailing {
		return p.endOutage(now)
	}
	return false
}

// endOutage lets the ejected and failing endpoints be probed at once. It is
// called when an endpoint succeeds again that was failing but not ejected. More
// endpoints than may be ejected failed, so they likely had a common cause, and
// waiting for the ends of long ejections would prolong the outage.
func (p *Pool) endOutage(now time.Time) bool {
	for _, m := range p.members {
		m.ejections = min(m.ejections, 1)
		if m.status.Phase(now) == Ejected {
			m.status.EjectedUntil = now
		}
		if m.status.Failing {
			m.status.ProbeAt = now
		}
	}
	return true
}

// restore ends an ejection after a successful probe.
func (e *Endpoint) restore(now time.Time) {
	e.status = Status{RestoredAt: now}
	e.latencyCount, e.outcomeCount, e.outcomes = [numCallKinds]int{}, 0, 0
}

// Eject ejects e for a reason that the caller found, such as a crash. It reports
// whether the endpoint's status changed.
func (p *Pool) Eject(now time.Time, e *Endpoint, reason Reason, random float64) bool {
	before := e.status
	p.eject(now, e, reason, random)
	return e.status != before
}

// eject ejects e, or marks it as failing if more than half of the pool would be
// ejected.
func (p *Pool) eject(now time.Time, e *Endpoint, reason Reason, random float64) {
	if e.status.Phase(now) == Ejected {
		return
	}
	if !e.status.RestoredAt.IsZero() && now.Sub(e.status.RestoredAt) > ejectionResetAfter {
		e.ejections = 0
	}
	d := min(baseEjection<<min(e.ejections, 5), maxEjection)
	d = time.Duration(float64(d) * (1 - ejectionJitter/2 + ejectionJitter*random))
	e.ejections++
	e.consecutiveFailures, e.lostRaces = 0, 0
	if e.status.EjectedUntil.IsZero() && 2*(p.countEjected()+1) > len(p.members) {
		e.status.Failing, e.status.ProbeAt, e.status.Reason = true, now.Add(d), reason
		return
	}
	e.status = Status{EjectedUntil: now.Add(d), RestoredAt: e.status.RestoredAt, Reason: reason}
}

// countEjected counts the members that are ejected or probing.
func (p *Pool) countEjected() int {
	n := 0
	for _, m := range p.members {
		if !m.status.EjectedUntil.IsZero() {
			n++
		}
	}
	return n
}

// CheckFrozen ejects e if its oldest call in flight, which began at oldestStart,
// takes far longer than the pool's 99th percentile and the endpoint finished no
// call since then. It reports whether the endpoint's status changed.
func (p *Pool) CheckFrozen(now time.Time, e *Endpoint, oldestStart time.Time, kind CallKind, random float64) bool {
	q := p.Quantiles(kind)
	age := now.Sub(oldestStart)
	if q.Samples < frozenMinSamples || e.lastFinished.After(oldestStart) || age < q.P50+minExcess ||
		float64(age) < max(frozenFactor*float64(q.P99), stragglerFactor*float64(q.P50)) {
		return false
	}
	return p.Eject(now, e, ByFrozenCall, random)
}

// medianOfOthers returns the median of the other members' median call times, or
// 0 if fewer than two of them have any. It looks at up to 32 members.
func (p *Pool) medianOfOthers(e *Endpoint, kind CallKind) time.Duration {
	var buf [32]time.Duration
	known := buf[:0]
	for _, m := range p.members {
		if m != e && m.latencyCount[kind] > 0 && len(known) < cap(known) {
			known = append(known, m.MedianLatency(kind))
		}
	}
	if len(known) < 2 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}
