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
	// burstTime is the time in which a bucket gains a full burst of tokens.
	burstTime = time.Second
	// forgetIdleAfter is how long an account without requests is remembered.
	forgetIdleAfter = time.Minute
	// concurrencyRetryAfter is the Retry-After when the limit of requests in
	// progress is reached. It is fixed because the limiter does not know how long
	// the account's requests take.
	concurrencyRetryAfter = 200 * time.Millisecond
)

// Limiter applies the limits of client accounts: requests per second, generated
// tokens per second, and requests in progress. Each daemon applies its share of
// the limits.
type Limiter struct {
	mu           sync.Mutex
	accounts     map[core.AccountID]*accountState
	daemons      int
	lastSnapshot time.Time
}

// accountState is the usage of one account on this daemon.
type accountState struct {
	share                      limits.Share
	requestBucket, tokenBucket *limits.Bucket // nil without a limit
	inProgress                 int
	// arrivedRequests counts the requests since the last snapshot, refused ones
	// included. chargedTokens counts the tokens charged since then.
	arrivedRequests, chargedTokens float64
	// reportedDemand is the number of requests per second in the last snapshot.
	reportedDemand float64
	lastUsed       time.Time
}

// NewLimiter returns a Limiter that applies the whole limits, as for a single
// daemon.
func NewLimiter() *Limiter {
	return &Limiter{accounts: map[core.AccountID]*accountState{}, daemons: 1, lastSnapshot: time.Now()}
}

// Admit admits a request of the account or returns an error if a limit of its
// plan is reached. release must be called once at the end of the request with
// the number of generated tokens. They are charged only then and may take the
// token bucket below zero. The error is a *core.Error of kind RateLimited whose
// Ran is RanNot.
func (l *Limiter) Admit(account core.AccountID, plan config.Plan, now time.Time) (release func(tokens int), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[account]
	if a == nil {
		a = &accountState{}
		l.accounts[account] = a
	}
	a.arrivedRequests++
	a.lastUsed = now
	fraction := a.share.Fraction(now, l.daemons)
	a.requestBucket = adjustBucket(a.requestBucket, plan.RequestsPerS*fraction, now)
	a.tokenBucket = adjustBucket(a.tokenBucket, plan.TokensPerS*fraction, now)
	if plan.Concurrency > 0 && a.inProgress >= int(math.Ceil(float64(plan.Concurrency)*fraction)) {
		return nil, limitError("the limit of requests in progress is reached", concurrencyRetryAfter)
	}
	if a.tokenBucket != nil {
		if wait := a.tokenBucket.TimeUntil(now, 1); wait > 0 {
			return nil, limitError("the limit of tokens per second is reached", wait)
		}
	}
	if a.requestBucket != nil {
		if wait := a.requestBucket.TimeUntil(now, 1); wait > 0 {
			return nil, limitError("the limit of requests per second is reached", wait)
		}
		a.requestBucket.Charge(now, 1)
	}
	a.inProgress++
	var once sync.Once
	return func(tokens int) { once.Do(func() { l.release(a, tokens) }) }, nil
}

func limitError(detail string, after time.Duration) error {
	return &core.Error{Kind: core.RateLimited, Step: "limits", Ran: core.RanNot, RetryAfter: after, Detail: detail}
}

// adjustBucket returns the bucket b, or a new one, with the given rate, or nil
// if there is no limit. The burst is at least one token; otherwise a small share
// would admit nothing.
func adjustBucket(b *limits.Bucket, rate float64, now time.Time) *limits.Bucket {
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
	a.lastUsed = now
	a.chargedTokens += float64(tokens)
	if a.tokenBucket != nil {
		a.tokenBucket.Charge(now, float64(tokens))
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
			a.share.SetDemand(now, a.reportedDemand, max(a.reportedDemand, t.RequestsPerS))
		}
	}
}

func (l *Limiter) setPeersUnreachable(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		a.share.MarkUnavailable(now)
	}
}

// snapshot returns the usage since the last snapshot and forgets idle accounts.
func (l *Limiter) snapshot(now time.Time) map[core.AccountID]limits.AccountUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := max(now.Sub(l.lastSnapshot).Seconds(), 1e-3)
	l.lastSnapshot = now
	usage := map[core.AccountID]limits.AccountUsage{}
	for id, a := range l.accounts {
		a.reportedDemand = a.arrivedRequests / elapsed
		if a.arrivedRequests > 0 || a.chargedTokens > 0 || a.inProgress > 0 {
			usage[id] = limits.AccountUsage{Account: id, RequestsPerS: a.reportedDemand, TokensPerS: a.chargedTokens / elapsed, InProgress: a.inProgress}
		} else if now.Sub(a.lastUsed) > forgetIdleAfter && (a.tokenBucket == nil || a.tokenBucket.Tokens(now) >= 0) {
			delete(l.accounts, id)
		}
		a.arrivedRequests, a.chargedTokens = 0, 0
	}
	return usage
}

// demandFraction returns this daemon's fraction of the account's demand on all
// daemons, or 1 if it is not known.
func (l *Limiter) demandFraction(account core.AccountID, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[account]; a != nil && a.share.HasDemand() {
		return a.share.Fraction(now, l.daemons)
	}
	return 1
}
