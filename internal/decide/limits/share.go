package limits

import "time"

const (
	// DecayTime is the time over which a daemon's share moves to limit/daemons
	// when usage totals can no longer be had.
	DecayTime = 10 * time.Second
	// StaleAfter is the age of an account's totals from which they count as
	// unavailable: more than two report intervals of 2 s.
	StaleAfter = 5 * time.Second
)

// Share is this daemon's part of one account's limits.
//
// Overshoot bound. With totals, the fractions of the daemons that reported
// demand add up to 1. A daemon without reported demand uses 1/daemons. So with
// n of d daemons in that state the fractions add up to at most 1 + n/d, and over
// any time t all daemons together admit at most
//
//	d bursts + limit x (1 + n/d) x t,
//
// where n returns to 0 after one report interval T of steady demand. Demand that
// appears on d daemons at once, with no other use, thus exceeds the limit by at
// most d bursts + (sum of their shares) x T, and by d bursts thereafter. A cut
// moves each fraction linearly to 1/d; at every instant the fractions of the
// daemons that were cut at the same time still add up to at most 1 + n/d.
type Share struct {
	fraction  float64
	hasDemand bool
	// updatedAt is when totals were last heard; cut is when they ended, or zero.
	updatedAt, unavailableSince time.Time
}

// SetDemand takes the daemon's own demand and the demand on all daemons over the
// same interval. Demand counts refused requests too: a share computed from
// admitted requests could never move to the daemon that needs it.
func (s *Share) SetDemand(now time.Time, own, total float64) {
	s.updatedAt, s.unavailableSince = now, time.Time{}
	s.hasDemand = own > 0 && total > 0
	if s.hasDemand {
		s.fraction = min(1, own/total)
	}
}

// MarkUnavailable says that no totals can be had from now on.
func (s *Share) MarkUnavailable(now time.Time) {
	if s.unavailableSince.IsZero() {
		s.unavailableSince = now
	}
}

// HasDemand says whether the daemon's demand was part of the last totals.
func (s *Share) HasDemand() bool { return s.hasDemand }

// Fraction returns the part of the limit that this daemon may admit.
func (s *Share) Fraction(now time.Time, daemons int) float64 {
	equal := 1 / float64(max(daemons, 1))
	if !s.hasDemand {
		return equal
	}
	cut := s.unavailableSince
	if stale := s.updatedAt.Add(StaleAfter); cut.IsZero() || stale.Before(cut) {
		cut = stale
	}
	gone := now.Sub(cut)
	if gone <= 0 {
		return s.fraction
	}
	part := min(1, gone.Seconds()/DecayTime.Seconds())
	return s.fraction + (equal-s.fraction)*part
}
