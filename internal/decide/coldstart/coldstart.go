// Package coldstart holds the decisions on endpoints that are cold: until when an
// incarnation counts as cold, how many requests the daemons may send it, and which
// requests wait for it. It does no I/O and reads no clock.
package coldstart

import (
	"math"
	"time"
)

const (
	// Window is the time over which the requests to a cold endpoint are bounded.
	Window = time.Second
	// PermitLife is how long a permit for a cold endpoint may be kept.
	PermitLife = 100 * time.Millisecond
	// grantDelay bounds the time between the grant of a permit and its use: the time that
	// the message takes and PermitLife.
	grantDelay = 150*time.Millisecond + PermitLife
	// MaxColdTime is the longest time for which an endpoint is believed to stay cold. An
	// endpoint that stays cold for longer repeats its report with each heartbeat.
	MaxColdTime = 2 * time.Minute
	// clockError bounds the difference between the times of day of two machines. It is
	// used only for endpoints that were listed when the daemon started.
	clockError = 2 * time.Second
	// restartTime is how long an endpoint that has ended, as its refused connections show,
	// may take to start again and be listed anew.
	restartTime = 5 * time.Second
	// grantorsAtOnce is the number of daemons that may grant permits for one endpoint at
	// the same time while the daemons learn of each other's starts and losses.
	grantorsAtOnce = 2
	// minReserving is the number of requests in a window from which on a permit is kept
	// for a more urgent request.
	minReserving = 4
)

// Pool is what the configuration says of the cold endpoints of a pool.
type Pool struct {
	// PerSecond is the number of requests per second that a cold endpoint tolerates from
	// all daemons together; 0 if it needs no care.
	PerSecond float64
	// ColdTime is how long an endpoint is cold after a start.
	ColdTime time.Duration
}

// Allowance bounds what a cold endpoint may get in any Window from all daemons together:
// Overage times what it tolerates, plus Slack requests.
type Allowance struct{ Overage, Slack float64 }

// Rate is a rate of permits.
type Rate struct {
	PerSecond float64
	// Burst is the number of permits that an endpoint in no use saves up.
	Burst float64
}

// Share returns the permits for one cold endpoint that a daemon may grant which reaches
// some of all daemons. The grants of daemons that reach disjoint parts of the fleet stay
// together within a part of the allowance, so that the whole holds also while daemons
// disagree about who grants permits. The result is zero if the part has no whole request.
func (a Allowance) Share(p Pool, reached, all int) Rate {
	if p.PerSecond <= 0 || reached <= 0 || all <= 0 {
		return Rate{}
	}
	part := float64(min(reached, all)) / float64(all)
	inWindow := math.Floor((a.Overage*p.PerSecond + a.Slack) * part / grantorsAtOnce)
	if reached >= all {
		inWindow = max(inWindow, 1)
	}
	if inWindow < 1 {
		return Rate{}
	}
	burst := 1.0
	if inWindow >= minReserving {
		burst = 2
	}
	// Just below the rate at which a window could hold one permit more.
	most := 0.999 * (inWindow - burst + 1) / (Window + grantDelay).Seconds()
	return Rate{PerSecond: min(p.PerSecond*part, most), Burst: burst}
}

// Source says why an endpoint counts as cold.
type Source string

// The sources, by which log lines and metrics name them.
const (
	Warm     Source = ""
	Listed   Source = "listed"
	Answered Source = "answer"
	Reported Source = "other daemon"
	Started  Source = "started"
	Refused  Source = "refused connections"
)

// Incarnation is what a daemon knows of the cold times of one incarnation of an endpoint.
// All times have a reading of the monotonic clock.
type Incarnation struct {
	// FirstSeen is when the daemon first saw the incarnation in the list of endpoints.
	FirstSeen time.Time
	// SeenStarting says that the daemon had the list of endpoints before, without this
	// incarnation.
	SeenStarting bool
	// AgeAtFirstSight is the time from the start of the incarnation to FirstSeen by the
	// times of day of two machines. It counts only unless SeenStarting.
	AgeAtFirstSight time.Duration
	// StartKnown says that AgeAtFirstSight is set.
	StartKnown bool

	toldUntil  time.Time
	toldBy     Source
	lastRefuse time.Time
}

// Tell records a report that the endpoint stays cold for a time, which is capped at
// MaxColdTime. Reports overtake each other, so an earlier one that lasts longer stays in
// force.
func (i *Incarnation) Tell(now time.Time, remaining time.Duration, by Source) {
	until := now.Add(min(remaining, MaxColdTime))
	if remaining > 0 && until.After(i.toldUntil) {
		i.toldUntil, i.toldBy = until, by
	}
}

// Refuse records that the endpoint's machine refused a connection, so that the next
// process at its address is cold although the list may name this incarnation still.
func (i *Incarnation) Refuse(now time.Time) { i.lastRefuse = now }

// ColdUntil returns until when the endpoint counts as cold, and the reason.
func (i *Incarnation) ColdUntil(p Pool) (time.Time, Source) {
	until, source := i.toldUntil, i.toldBy
	extend := func(to time.Time, s Source) {
		if to.After(until) {
			until, source = to, s
		}
	}
	if i.SeenStarting || i.StartKnown && i.AgeAtFirstSight < p.ColdTime+clockError {
		extend(i.FirstSeen.Add(p.ColdTime), Started)
	}
	if !i.lastRefuse.IsZero() {
		extend(i.lastRefuse.Add(p.ColdTime+restartTime), Refused)
	}
	return until, source
}

// ColdSinceStart reports whether the endpoint has been cold, to this daemon's knowledge,
// ever since its start, so that no request was sent to it without a permit.
func (i *Incarnation) ColdSinceStart(now time.Time, p Pool) bool {
	return i.SeenStarting && now.Before(i.FirstSeen.Add(p.ColdTime))
}

// LatestEnd returns the latest time until which the endpoint may count as cold, whatever
// its pool.
func (i *Incarnation) LatestEnd() time.Time {
	until, _ := i.ColdUntil(Pool{ColdTime: MaxColdTime})
	return until
}
