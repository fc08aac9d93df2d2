// Package ratelimit holds the decisions on limits that endpoints name for all daemons
// together: which of several observations of a limit is in force, and when the daemon
// that grants permits for an endpoint may grant the next one. It does no I/O and reads
// no clock.
package ratelimit

import (
	"math"
	"time"
)

// Unlimited is the PerSecond of an endpoint that names no limit.
var Unlimited = math.Inf(1)

// Observation is what an endpoint's answer said about the endpoint's limit.
type Observation struct {
	// PerSecond is the number of requests per second that the endpoint takes from all
	// daemons together, Unlimited if it named no limit.
	PerSecond float64
	// The endpoint wrote the answer between SentAt, when its request was sent, and
	// ReceivedAt, when the answer's header arrived.
	SentAt, ReceivedAt time.Time
}

// Limited reports whether the endpoint named a limit.
func (o Observation) Limited() bool { return o.PerSecond < Unlimited }

// Merge returns the observation that is in force given the one so far and another one,
// in whatever order they arrive. Answers on different connections overtake each other,
// so an observation replaces another only if its request was sent after the other
// answer was received. Of two that may have been made in either order, the lower limit
// is in force. clockError bounds the error of next's times against current's.
func Merge(current, next Observation, clockError time.Duration) Observation {
	switch {
	case next.SentAt.After(current.ReceivedAt.Add(clockError)):
		return next
	case current.SentAt.After(next.ReceivedAt.Add(clockError)):
		return current
	case next.PerSecond < current.PerSecond:
		return next
	case next.PerSecond == current.PerSecond && next.ReceivedAt.After(current.ReceivedAt):
		return next
	}
	return current
}
