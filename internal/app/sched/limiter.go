package sched

import (
	"math"
	"sync"
	"time"

	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/limits"
)

const (
	// burstTime is the burst of a bucket as a time at its rate.
	burstTime = time.Second
	// forgetAfter is how long an account without requests is remembered.
	forgetAfter = time.Minute
	// concurrencyRetry is the advice when the concurrency limit is reached; how
	// long the account's own requests take is not known here.
	concurrencyRetry = 200 * time.Millisecond
)

// Limiter applies the limits of client accounts: requests per second, generated
// tokens per second, and requests in progress. Each daemon applies its share.
type Limiter struct {
	mu       sync.Mutex
	accounts map[core.AccountID]*accountState
	daemons  int
	reported time.Time
}

// accountState is the use of one account on this daemon.
type accountState struct {
	share            limits.Share
	requests, tokens *limits.Bucket // nil without a limit
	inProgress       int
	// arrived counts requests since the last report, refused ones included;
	// charged counts tokens. own is the demand in the last report.
	arrived, charged, own float64
	used                  time.Time
}

// NewLimiter returns a Limiter for a single daemon.
func NewLimiter() *Limiter {
	return &Limiter{accounts: map[core.AccountID]*accountState{}, daemons: 1, reported: time.Now()}
}

// Admit takes a request of the account against its plan's limits. release must
// be called once at the request's end, with the tokens generated; they are
// charged then and may take the bucket below zero. The error is a *core.Error
// of kind RateLimited whose Ran is RanNot.
func (l *Limiter) Admit(account core.AccountID, plan config.Plan, now time.Time) (release func(tokens int), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[account]
	if a == nil {
		a = &accountState{}
		l.accounts[account] = a
	}
	a.arrived++
	a.used = now
	part := a.share.Fraction(now, l.daemons)
	a.requests = adjust(a.requests, plan.RequestsPerS*part, now)
	a.tokens = adjust(a.tokens, plan.TokensPerS*part, now)
	if plan.Concurrency > 0 && a.inProgress >= int(math.Ceil(float64(plan.Concurrency)*part)) {
		return nil, limited("the limit of requests in progress is reached", concurrencyRetry)
	}
	if a.tokens != nil {
		if wait := a.tokens.TimeUntil(now, 1); wait > 0 {
			return nil, limited("the limit of tokens per second is reached", wait)
		}
	}
	if a.requests != nil {
		if wait := a.requests.TimeUntil(now, 1); wait > 0 {
			return nil, limited("the limit of requests per second is reached", wait)
		}
		a.requests.Charge(now, 1)
	}
	a.inProgress++
	var once sync.Once
	return func(tokens int) { once.Do(func() { l.release(a, tokens) }) }, nil
}

func limited(detail string, after time.Duration) error {
	return &core.Error{Kind: core.RateLimited, Step: "limits", Ran: core.RanNot, RetryAfter: after, Detail: detail}
}

// adjust returns a bucket with the rate, or nil without a limit. A bucket holds
// at least one token, or a small share would admit nothing.
func adjust(b *limits.Bucket, rate float64, now time.Time) *limits.Bucket {
	burst := max(1, rate*burstTime.Seconds())
	switch {
	case rate <= 0:
		return nil
	case b == nil:
		return limits.NewBucket(rate, burst, now)
	}
	b.SetRate(rate, burst, now)
	return b
}

func (l *Limiter) release(a *accountState, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	a.inProgress--
	a.used = now
	a.charged += float64(tokens)
	if a.tokens != nil {
		a.tokens.Charge(now, float64(tokens))
	}
}

func (l *Limiter) setDaemons(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.daemons = n
}

func (l *Limiter) setTotals(now time.Time, totals []limits.AccountUsage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range totals {
		if a := l.accounts[t.Account]; a != nil {
			a.share.SetDemand(now, a.own, max(a.own, t.RequestsPerS))
		}
	}
}

func (l *Limiter) cut(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		a.share.MarkUnavailable(now)
	}
}

// snapshot returns the use since the last call and forgets idle accounts.
func (l *Limiter) snapshot(now time.Time) map[core.AccountID]limits.AccountUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := max(now.Sub(l.reported).Seconds(), 1e-3)
	l.reported = now
	out := map[core.AccountID]limits.AccountUsage{}
	for id, a := range l.accounts {
		a.own = a.arrived / elapsed
		if a.arrived > 0 || a.charged > 0 || a.inProgress > 0 {
			out[id] = limits.AccountUsage{Account: id, RequestsPerS: a.own, TokensPerS: a.charged / elapsed, InProgress: a.inProgress}
		} else if now.Sub(a.used) > forgetAfter && (a.tokens == nil || a.tokens.Tokens(now) >= 0) {
			delete(l.accounts, id)
		}
		a.arrived, a.charged = 0, 0
	}
	return out
}

// fraction returns the daemon's part of the account's demand, 1 if it is not known.
func (l *Limiter) fraction(account core.AccountID, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[account]; a != nil && a.share.HasDemand() {
		return a.share.Fraction(now, l.daemons)
	}
	return 1
}
