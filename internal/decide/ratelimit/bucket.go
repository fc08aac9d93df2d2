package ratelimit

import (
	"math"
	"slices"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/limits"
)

const (
	// Window is the time over which an endpoint's requests are compared with its limit.
	Window = 4 * time.Second
	// ChargedTime is the time before a limit was known whose requests count against it, and
	// the longest time for which no permit is granted because of them. With a longer one, a
	// pool whose endpoints all name limits at once would serve nothing for that long.
	ChargedTime = time.Second
	// burstTime is the time whose permits an idle endpoint saves up, in addition to
	// basePermits: one to grant and one to keep for a more urgent request.
	burstTime   = 250 * time.Millisecond
	basePermits = 2
	// probeInterval is the time between two permits for an endpoint whose limit is zero or
	// close to it. Only an answer can tell that the limit has ended.
	probeInterval = 10 * time.Second
	// maxWait bounds the time after which a daemon asks again. It is short enough that
	// permits are not left unused for long after the daemons before it in the queue needed
	// none.
	maxWait = 5 * time.Second
	// returnGrace is how long after its wait a denied daemon is still expected to ask
	// again.
	returnGrace = 300 * time.Millisecond
	// urgentMemory is how long after a request of a rank one permit is kept for the next.
	urgentMemory = 2 * time.Second
	// maxUrgentInRow is the number of permits in a row that go to more urgent requests
	// while less urgent ones wait, which thus get a quarter of the limit or more.
	maxUrgentInRow = 3
	// MaxRank is the rank of the least urgent requests; 0 is the most urgent.
	MaxRank = 9
)

// PermitBucket decides when the permits for one endpoint are granted, and to requests of
// which rank. The permits granted within any period are at most basePermits, plus the
// limit times the period and burstTime. A PermitBucket is not safe for concurrent use.
type PermitBucket struct {
	permits *limits.Bucket
	// askedAt is when a permit was last asked for, by rank.
	askedAt [MaxRank + 1]time.Time
	// waiting holds the daemons that were denied a permit and when they are to ask again.
	waiting map[waiter]time.Time
	// urgentInRow counts the permits that were granted while less urgent requests waited,
	// since the last one to the least urgent of these.
	urgentInRow int
}

// waiter is a daemon that has requests of a rank without a permit.
type waiter struct {
	daemon core.InstanceID
	rank   int
}

// NewPermitBucket returns a bucket without permits. What another daemon granted just
// before then cannot exceed the limit together with what this bucket grants.
func NewPermitBucket(now time.Time) *PermitBucket {
	return &PermitBucket{permits: limits.NewBucket(0, 0, now), waiting: map[waiter]time.Time{}}
}

// NewFullPermitBucket returns a bucket that holds a number of permits, for a rate at which
// two daemons that grant at the same time do not exceed the limit together.
func NewFullPermitBucket(now time.Time, permits float64) *PermitBucket {
	return &PermitBucket{permits: limits.NewBucket(0, permits, now), waiting: map[waiter]time.Time{}}
}

// Take grants a daemon a permit for one request of a rank or returns the time after which
// to ask again. perSecond is the limit in requests per second. While more urgent requests
// come, one permit is kept for the next of them, but for the share of less urgent ones.
// Daemons that are denied one after the other get different times, so that they do not all
// return for the same permit.
func (b *PermitBucket) Take(now time.Time, perSecond float64, daemon core.InstanceID, rank int) (granted bool, wait time.Duration) {
	rate, burst := permitRate(perSecond)
	return b.TakeAt(now, rate, burst, daemon, rank)
}

// TakeAt is Take for a rate of permits per second, which must be positive, and a number
// of permits that an idle endpoint saves up, at least one. With fewer than basePermits,
// none is kept for more urgent requests.
func (b *PermitBucket) TakeAt(now time.Time, rate, burst float64, daemon core.InstanceID, rank int) (granted bool, wait time.Duration) {
	rank = min(max(rank, 0), MaxRank)
	b.permits.SetRate(rate, burst, now)
	b.askedAt[rank] = now
	delete(b.waiting, waiter{daemon, rank})
	needed := min(b.permitsNeeded(now, rank), math.Floor(burst))
	if b.permits.Tokens(now) >= needed {
		b.permits.Charge(now, 1)
		if b.urgentInRow++; !b.lessUrgentWait(now, rank) {
			b.urgentInRow = 0
		}
		return true, 0
	}
	due := b.nextDue(now.Add(b.permits.TimeUntil(now, needed)), rank, time.Duration(float64(time.Second)/rate))
	wait = min(due.Sub(now), maxWait)
	b.waiting[waiter{daemon, rank}] = now.Add(wait)
	return false, wait
}

// permitsNeeded returns the number of permits that must be available for one to be
// granted to a request of a rank.
func (b *PermitBucket) permitsNeeded(now time.Time, rank int) float64 {
	if b.urgentInRow >= maxUrgentInRow {
		return 1
	}
	for _, at := range b.askedAt[:rank] {
		if !at.IsZero() && now.Sub(at) < urgentMemory {
			return basePermits
		}
	}
	return 1
}

// lessUrgentWait reports whether a daemon waits with less urgent requests than those of a
// rank. It forgets the daemons that have not asked again.
func (b *PermitBucket) lessUrgentWait(now time.Time, rank int) bool {
	found := false
	for w, due := range b.waiting {
		if now.Sub(due) > returnGrace {
			delete(b.waiting, w)
		} else if w.rank > rank {
			found = true
		}
	}
	return found
}

// nextDue returns the first time from due on for which no daemon waits that has requests
// of the same rank or more urgent ones. slot is the time between two permits.
func (b *PermitBucket) nextDue(due time.Time, rank int, slot time.Duration) time.Time {
	var taken []time.Time
	for w, at := range b.waiting {
		if w.rank <= rank {
			taken = append(taken, at)
		}
	}
	slices.SortFunc(taken, time.Time.Compare)
	for _, at := range taken {
		if at.Sub(due) > slot/2 {
			break
		}
		due = due.Add(slot)
	}
	return due
}

// Charge counts requests that were sent without a permit within the last ChargedTime.
func (b *PermitBucket) Charge(now time.Time, perSecond float64, requests int) {
	rate, burst := permitRate(perSecond)
	b.permits.SetRate(rate, burst, now)
	most := b.permits.Tokens(now) + rate*ChargedTime.Seconds()
	b.permits.Charge(now, min(float64(requests), max(most, 0)))
}

// permitRate returns the permits per second for a limit, and the number that an idle
// endpoint saves up.
func permitRate(perSecond float64) (rate, burst float64) {
	rate = max(perSecond, 1/probeInterval.Seconds())
	return rate, basePermits + rate*burstTime.Seconds()
}
