// Package shutdown decides which requests a stopping daemon takes on, and when it gives up
// those that wait. It answers the pattern "requests that are taken late in a stop outlast
// it": their estimates are missing, old or too short, and the end of the process cuts them.
// A caller that is refused goes to another daemon at once, while one that is cut has lost
// all its time, and its request may have run. So the later a request comes, the more certain
// its end must be. The package does no I/O and reads no clock.
package shutdown

import "time"

const (
	// MinLeft is the time before the end from which on requests are refused that could
	// outlast it. The load balancer has long noticed the stop by then, unless the daemon was
	// paused.
	MinLeft = 1500 * time.Millisecond
	// earlyTime is how long after the begin of a stop requests are taken that are expected
	// to end before it does: load balancers need 2 s and more to notice a stop, and refusals
	// would cost all these callers a retry. In a short stop it is earlyShare of the time.
	earlyTime  = 3 * time.Second
	earlyShare = 0.4
	// Later an estimate counts only if minSamples answers stand behind it, the latest of
	// them at most maxAge ago: engines may have turned slow since.
	minSamples = 20
	maxAge     = 3 * time.Second
	// lateFactor is applied to the longest recent answer time late in a stop.
	lateFactor = 1.5
	// A stream without an event is given up streamGiveUp before the end, another request
	// without an answer answerGiveUp before. A process with a small share of a processor
	// cannot write hundreds of refusals in its last 200 ms.
	streamGiveUp = 500 * time.Millisecond
	answerGiveUp = 250 * time.Millisecond
)

// Stop is the stop of a daemon. Its zero value means that the daemon is not stopping.
type Stop struct{ Began, End time.Time }

// early reports whether callers may not have heard of the stop.
func (s Stop) early(now time.Time) bool {
	share := time.Duration(earlyShare * float64(s.End.Sub(s.Began)))
	return !now.After(s.Began.Add(min(earlyTime, share)))
}

// State says what has become of a request.
type State int

const (
	// NotRun requests were sent to no endpoint that may have run them.
	NotRun State = iota
	// Unanswered requests are at an endpoint, and callers have no part of an answer.
	Unanswered
	// Moving requests are at an endpoint that may still answer, and could be sent to another.
	Moving
	// Begun requests may have run, or their answer has begun, and no endpoint has them.
	Begun
	// Answering requests are at an endpoint, and callers have a part of the answer.
	Answering
)

// Estimate is what is known of the time from sending a request to the end of its answer.
type Estimate struct {
	// Expected is a time within which most answers end, Longest that of the longest recent
	// answer or of the oldest one in progress. Both are 0 if there is none.
	Expected, Longest time.Duration
	// Samples is the number of recent answers, Age the time since the latest.
	Samples int
	Age     time.Duration
}

// Request is a request to decide on.
type Request struct {
	State State
	// Deadline is the time at which the request ends in any case.
	Deadline time.Time
	// Before is the expected time until the request is sent.
	Before time.Duration
	Answer Estimate
	Stream bool
	// EndsWithConnection says that the caller takes the end of the process for the end of its
	// answer.
	EndsWithConnection bool
}

// Decision is a decision with its reason and, if the daemon is stopping, the time that is
// left and the time that the request was expected to need.
type Decision struct {
	Allowed      bool
	Reason       string
	Left, Needed time.Duration
}

// Decide reports whether a request may be sent to an endpoint.
func Decide(now time.Time, s Stop, r Request) Decision {
	if s.End.IsZero() {
		return Decision{Allowed: true, Reason: "not stopping"}
	}
	d := Decision{Left: s.End.Sub(now), Needed: r.Before + r.Answer.Expected}
	switch {
	case d.Left <= 0:
		d.Reason = "the stop has ended"
	case r.State == Begun:
		// Its caller has lost the answer for certain without another try.
		d.Allowed, d.Reason = true, "has begun"
	case !r.Deadline.After(s.End):
		d.Allowed, d.Reason = true, "its time ends before the stop"
	case d.Left < MinLeft:
		d.Reason = "the stop is about to end"
	case r.State == NotRun && !s.early(now):
		d.Needed = r.Before + time.Duration(lateFactor*float64(max(r.Answer.Expected, r.Answer.Longest)))
		if r.Answer.Samples < minSamples || r.Answer.Age > maxAge {
			d.Reason = "too few recent answers late in the stop"
			break
		}
		d.allowIfEnough()
	default:
		d.allowIfEnough()
	}
	return d
}

func (d *Decision) allowIfEnough() {
	if d.Allowed = d.Left >= d.Needed; d.Allowed {
		d.Reason = "expected to end before the stop"
	} else {
		d.Reason = "expected to outlast the stop"
	}
}

// GiveUp reports whether a request in progress is ended now, so that its caller surely gets
// an answer: one that waits and would be refused when it is sent, or one that cannot end in
// the last moments. Others keep what is left of the stop.
func GiveUp(now time.Time, s Stop, r Request) bool {
	if s.End.IsZero() {
		return false
	}
	left := s.End.Sub(now)
	switch {
	case r.State == NotRun:
		return !Decide(now, s, r).Allowed
	case r.State == Unanswered && r.Stream:
		return left < streamGiveUp
	case r.State == Unanswered || r.State == Begun || r.EndsWithConnection:
		return left < answerGiveUp
	}
	return false
}
