package limits

import "time"

const (
	// DecayTime is the time over which a daemon's share moves to limit/daemons
	// after usage totals have become unavailable.
	DecayTime = 10 * time.Second
	// StaleAfter is the age from which an account's totals count as unavailable:
	// more than two report intervals of 2 s.
	StaleAfter = 5 * time.Second
)

// Share is this daemon's share of one account's limits.
//
// Bound on the excess over a limit: While totals are available, the fractions of the
// daemons that reported demand add up to 1. A daemon without reported demand uses
// 1/daemons. If n of d daemons are in that state, the fractions add up to at most
// 1 + n/d, and over any time t all daemons together admit at most
//
//	d bursts + limit x (1 + n/d) x t.
//
// After one report interval T of steady demand n is 0 again. Demand that appears on
// d daemons at once, while no other daemon has any, thus exceeds the limit by at most
// d bursts + (sum of their shares) x T at first, and by d bursts afterwards. When
// totals become unavailable, each fraction moves linearly to 1/d. The fractions of
// daemons that lose the totals at the same time still add up to at most 1 + n/d at
// every instant.
type Share struct {
	fraction  float64
	hasDemand bool
	// updatedAt is when totals were last received. unavailableSince is when they
	// became unavailable, or zero.
	updatedAt, unavailableSince time.Time
}

// SetDemand sets the demand on this daemon and on all daemons in the same interval.
// Demand includes refused requests: a share computed from admitted requests alone
// could never move to the daemon that needs it.
func (s *Share) SetDemand(now time.Time, ownDemand, totalDemand float64) {
	s.updatedAt, s.unavailableSince = now, time.Time{}
	s.hasDemand = ownDemand > 0 && totalDemand > 0
	if s.hasDemand {
		s.fraction = min(1, ownDemand/totalDemand)
	}
}

// MarkUnavailable notes that totals are unavailable from now on, until the next
// SetDemand.
func (s *Share) MarkUnavailable(now time.Time) {
	if s.unavailableSince.IsZero() {
		s.unavailableSince = now
	}
}

// HasDemand reports whether the last totals included demand on this daemon.
func (s *Share) HasDemand() bool { return s.hasDemand }

// Fraction returns the fraction of the limit that this daemon may admit.
func (s *Share) Fraction(now time.Time, daemons int) float64 {
	equalShare := 1 / float64(max(daemons, 1))
	if !s.hasDemand {
		return equalShare
	}
	decayStart := s.unavailableSince
	if stale := s.updatedAt.Add(StaleAfter); decayStart.IsZero() || stale.Before(decayStart) {
		decayStart = stale
	}
	elapsed := now.Sub(decayStart)
	if elapsed <= 0 {
		return s.fraction
	}
	progress := min(1, elapsed.Seconds()/DecayTime.Seconds())
	return s.fraction + (equalShare-s.fraction)*progress
}
