// Package fairqueue decides which queued call of one endpoint pool is served
// next and which one is evicted when the queue is full.
//
// More urgent ranks are served first, except that each rank with a backlog gets
// at least its floor, a guaranteed fraction of the service. Within a rank, client
// accounts share by weight (start-time fair queueing). Every operation takes
// time logarithmic in the number of queued entries, and memory is bounded by
// the configured lengths, however many accounts use the queue over time.
package fairqueue

import (
	"maps"
	"slices"
	"time"

	"eelgrassgrade/internal/core"
)

const (
	// DefaultMaxPerRank is the default bound of one rank, in entries.
	DefaultMaxPerRank = 512
	// DefaultMaxPerAccount is the default bound of one account in one rank, in
	// entries. It keeps a single account from filling a rank that others will need
	// soon.
	DefaultMaxPerAccount = 256
	// MaxIdleAccounts bounds, per rank, the accounts without backlog whose past
	// service is remembered.
	MaxIdleAccounts = 512
	// MaxLead bounds how far an account that used less than its share may be served
	// ahead of the others, in seconds of service per unit of weight. Without it,
	// short bursts of an account that is below its share on average are refused.
	MaxLead = 1.0
	// maxReportedAccounts bounds the number of accounts in one backlog report.
	maxReportedAccounts = 4096
	// minCostS is the minimum cost of an entry, in seconds. It makes tags advance
	// when a stage's cost is not known.
	minCostS = 0.001
	// serviceGain is the weight of one decision in the moving averages of service.
	serviceGain = 1.0 / 32
	// minRateShare is the service rate assumed for a rank that gets no service, as a
	// fraction of the capacity.
	minRateShare = 0.01
	// maxWaitS bounds estimated waits, in seconds.
	maxWaitS = 3600
)

// Reason names the rule behind a decision.
type Reason uint8

// The reasons.
const (
	Queued         Reason = iota // the entry waits
	Floor                        // served: the credit of the rank's floor covers the entry
	MostUrgent                   // served: the most urgent rank with a backlog
	Empty                        // nothing is queued
	Expired                      // dropped: it can no longer finish in time
	AccountFull                  // refused: the account has MaxPerAccount entries in the rank
	LongestBacklog               // evicted: its account has the longest backlog per weight
)

var reasonNames = [...]string{"queued", "floor", "most_urgent", "empty", "expired", "account_full", "longest_backlog"}

// String returns the reason's name, used in metrics.
func (r Reason) String() string { return reasonNames[r] }

// Config configures a queue. Zero lengths mean the defaults.
type Config struct {
	// Floors holds the guaranteed fraction of the service by rank. The sum is at most 1.
	Floors [core.NumRanks]float64
	// MaxPerRank and MaxPerAccount bound the entries of a rank and of an account in
	// a rank.
	MaxPerRank, MaxPerAccount int
	// MaxTotal bounds the entries of all ranks together. Default: three times MaxPerRank.
	MaxTotal int
}

// Item is an entry of a queue.
type Item[V any] struct {
	Account core.AccountID
	// Weight is the account's share of its rank relative to other accounts. 0 means 1.
	Weight float64
	Rank   core.Rank
	// Cost is the predicted service time, in seconds.
	Cost float64
	// Expires is the time from which serving the entry is of no use. Zero means never.
	Expires time.Time
	Value   V
}

// Handle identifies a queued entry until it is served, dropped or removed.
type Handle[V any] struct{ node *node[V] }

// Queue is the queue of one pool. It is not safe for concurrent use.
type Queue[V any] struct {
	config Config
	onDrop func(Item[V], Reason)
	ranks  [core.NumRanks]*rankQueue[V]
	expiry indexedHeap[*node[V]]
	length int
	seq    uint64

	// backlog holds, by account, weight times seconds with a backlog since lastReport.
	backlog    map[core.AccountID]float64
	lastReport time.Time
	// busy is how long the queue was not empty since lastReport, without the current
	// busy period, which began at busySince.
	busy      time.Duration
	busySince time.Time

	freeNodes []*node[V]
	freeFlows []*flow[V]
}

// New returns an empty queue. onDrop is called with each entry that is refused, evicted
// or expired; it must not change the queue.
func New[V any](c Config, onDrop func(Item[V], Reason)) *Queue[V] {
	if c.MaxPerRank == 0 {
		c.MaxPerRank = DefaultMaxPerRank
	}
	if c.MaxPerAccount == 0 {
		c.MaxPerAccount = min(DefaultMaxPerAccount, c.MaxPerRank)
	}
	if c.MaxTotal == 0 {
		c.MaxTotal = core.NumRanks * c.MaxPerRank
	}
	q := &Queue[V]{config: c, onDrop: onDrop, backlog: map[core.AccountID]float64{}}
	for r := range q.ranks {
		q.ranks[r] = newRankQueue[V]()
	}
	q.expiry = indexedHeap[*node[V]]{pos: func(n *node[V]) *int { return &n.expiryPos }, less: func(a, b *node[V]) bool {
		return a.item.Expires.Before(b.item.Expires)
	}}
	return q
}

// SetFloors replaces the guaranteed fractions of the service.
func (q *Queue[V]) SetFloors(floors [core.NumRanks]float64) { q.config.Floors = floors }

// Len returns the number of queued entries.
func (q *Queue[V]) Len() int { return q.length }

// RankLen returns the number of queued entries of rank r.
func (q *Queue[V]) RankLen(r core.Rank) int { return q.ranks[r].length }

// BackloggedWeight returns the sum of the weights of the accounts with queued entries,
// where an account counts once for each rank in which it has some.
func (q *Queue[V]) BackloggedWeight() float64 {
	w := 0.0
	for _, b := range q.ranks {
		w += b.weight
	}
	return w
}

// Report calls yield for each account that had entries queued since the last report,
// with its weight times the fraction of the time in which it had some: an account
// that has a backlog only now and then counts little. It returns the fraction of
// the time in which the queue was not empty.
func (q *Queue[V]) Report(now time.Time, yield func(core.AccountID, float64)) (busy float64) {
	for _, b := range q.ranks {
		for _, f := range b.byStartTag.items {
			q.recordBacklog(now, f)
		}
	}
	if q.length > 0 {
		q.endBusy(now)
		q.busySince = now
	}
	interval := now.Sub(q.lastReport).Seconds()
	if interval <= 0 {
		return 0
	}
	// The order is fixed, so that floating-point sums do not depend on map iteration.
	for _, account := range slices.Sorted(maps.Keys(q.backlog)) {
		yield(account, q.backlog[account]/interval)
	}
	busy = q.busy.Seconds() / interval
	clear(q.backlog)
	q.lastReport, q.busy = now, 0
	return busy
}

// endBusy adds the busy period that ends now, as far as it lies after lastReport.
func (q *Queue[V]) endBusy(now time.Time) {
	from := q.busySince
	if from.Before(q.lastReport) {
		from = q.lastReport
	}
	q.busy += max(0, now.Sub(from))
}

// entryLeft updates the length and the busy time for an entry that left the queue.
func (q *Queue[V]) entryLeft(now time.Time) {
	if q.length--; q.length == 0 {
		q.endBusy(now)
	}
}

// AccountLen returns the number of queued entries of the account in rank r.
func (q *Queue[V]) AccountLen(r core.Rank, account core.AccountID) int {
	if f := q.ranks[r].flows[account]; f != nil {
		return f.length
	}
	return 0
}

// Push queues an entry. If that exceeds a bound, an entry, which may be the new one,
// is evicted and passed to onDrop. The reason is Queued if the new entry is in the
// queue; only then is the handle valid.
func (q *Queue[V]) Push(now time.Time, it Item[V]) (Handle[V], Reason) {
	if q.lastReport.IsZero() {
		q.lastReport = now
	}
	q.dropExpired(now)
	if it.Weight <= 0 {
		it.Weight = 1
	}
	it.Cost = max(it.Cost, minCostS)
	if !it.Expires.IsZero() && !now.Before(it.Expires) {
		return q.refuse(it, Expired)
	}
	b := q.ranks[it.Rank]
	if q.AccountLen(it.Rank, it.Account) >= q.config.MaxPerAccount {
		return q.refuse(it, AccountFull)
	}
	n := q.newNode(it)
	b.append(now, q.flowOf(b, it.Account, it.Weight), n)
	if q.length++; q.length == 1 {
		q.busySince = now
	}
	if !it.Expires.IsZero() {
		q.expiry.add(n)
	}
	switch {
	case b.length > q.config.MaxPerRank:
		return q.evict(now, b, n)
	case q.length > q.config.MaxTotal:
		return q.evict(now, q.rankToEvictFrom(), n)
	}
	return Handle[V]{n}, Queued
}

func (q *Queue[V]) refuse(it Item[V], r Reason) (Handle[V], Reason) {
	q.onDrop(it, r)
	return Handle[V]{}, r
}

// evict drops the newest entry of the account with the longest backlog per weight in
// b, and returns the result of Push for the entry that arrived.
func (q *Queue[V]) evict(now time.Time, b *rankQueue[V], arrived *node[V]) (Handle[V], Reason) {
	victim := b.byBacklog.first().tail
	it := q.removeNode(now, victim)
	q.onDrop(it, LongestBacklog)
	if victim == arrived {
		return Handle[V]{}, LongestBacklog
	}
	return Handle[V]{arrived}, Queued
}

// rankToEvictFrom returns the queue of the least urgent rank whose fraction of
// MaxTotal exceeds its floor.
func (q *Queue[V]) rankToEvictFrom() *rankQueue[V] {
	for r := core.NumRanks - 1; r > 0; r-- {
		if b := q.ranks[r]; float64(b.length) > q.config.Floors[r]*float64(q.config.MaxTotal) {
			return b
		}
	}
	return q.ranks[core.Urgent]
}

// Pop removes and returns the entry that is served next. It returns false if the
// queue is empty.
func (q *Queue[V]) Pop(now time.Time) (Item[V], Reason, bool) {
	q.dropExpired(now)
	if q.length == 0 {
		return Item[V]{}, Empty, false
	}
	rank, reason := q.nextRank()
	n := q.serve(now, q.ranks[rank])
	q.updateCredits(rank, n.item.Cost)
	q.entryLeft(now)
	q.expiry.remove(n)
	it := n.item
	q.recycle(n)
	return it, reason, true
}

// nextRank returns the rank that is served next: the most urgent one whose floor credit
// covers its next entry, otherwise the most urgent one with a backlog.
func (q *Queue[V]) nextRank() (core.Rank, Reason) {
	first := core.Rank(core.NumRanks)
	for r, b := range q.ranks {
		if b.length == 0 {
			continue
		}
		if b.credit >= b.byStartTag.first().head.item.Cost {
			return core.Rank(r), Floor
		}
		first = min(first, core.Rank(r))
	}
	return first, MostUrgent
}

// updateCredits credits each rank with its floor's fraction of the service just given
// and charges the rank that got the service. A rank without a backlog accumulates
// credit for about one call: enough to keep its floor despite gaps between its
// calls, and too little for a burst. Service beyond the floor leaves no debt, so
// that a rank keeps its floor however much service it got before.
func (q *Queue[V]) updateCredits(served core.Rank, cost float64) {
	for r, b := range q.ranks {
		backlogged := b.length > 0 || core.Rank(r) == served
		if backlogged || b.credit < cost {
			b.credit += q.config.Floors[r] * cost
		}
		if !backlogged {
			continue
		}
		moreUrgent := 0.0
		if served < core.Rank(r) {
			moreUrgent = cost
		}
		b.moreUrgentService += serviceGain * (moreUrgent - b.moreUrgentService)
		b.totalService += serviceGain * (cost - b.totalService)
	}
	s := q.ranks[served]
	s.credit = max(0, s.credit-cost)
}

// EstimateWait estimates how long a new entry of the account, of the given cost, waits
// if the pool serves capacity calls at once.
func (q *Queue[V]) EstimateWait(r core.Rank, account core.AccountID, cost, capacity float64) time.Duration {
	b := q.ranks[r]
	moreUrgentCost, rateShare := 0.0, 1-b.moreUrgentShare()
	for other, otherQueue := range q.ranks {
		switch {
		case other < int(r):
			moreUrgentCost += otherQueue.cost
		case other > int(r) && otherQueue.length > 0:
			rateShare -= q.config.Floors[other]
		}
	}
	ahead, floor := b.costAhead(account), q.config.Floors[r]
	wait := max((moreUrgentCost+ahead)/capacity, ahead/(capacity*max(rateShare, floor, minRateShare)))
	if floor > 0 {
		// The floor's credit must cover the entry itself, too.
		wait = min(wait, (ahead+cost)/(capacity*floor))
	}
	return time.Duration(min(wait, maxWaitS) * float64(time.Second))
}

// Remove takes an entry out of the queue, for example because its caller left.
// The entry must not have been served, dropped or removed before.
func (q *Queue[V]) Remove(now time.Time, h Handle[V]) Item[V] { return q.removeNode(now, h.node) }

func (q *Queue[V]) removeNode(now time.Time, n *node[V]) Item[V] {
	it := n.item
	q.unlink(now, q.ranks[it.Rank], n)
	q.entryLeft(now)
	q.expiry.remove(n)
	q.recycle(n)
	return it
}

func (q *Queue[V]) dropExpired(now time.Time) {
	for len(q.expiry.items) > 0 && !now.Before(q.expiry.first().item.Expires) {
		q.onDrop(q.removeNode(now, q.expiry.first()), Expired)
	}
}

func (q *Queue[V]) newNode(it Item[V]) *node[V] {
	var n *node[V]
	if l := len(q.freeNodes); l > 0 {
		n, q.freeNodes = q.freeNodes[l-1], q.freeNodes[:l-1]
	} else {
		n = &node[V]{}
	}
	q.seq++
	*n = node[V]{item: it, seq: q.seq, expiryPos: absent}
	return n
}

func (q *Queue[V]) recycle(n *node[V]) {
	*n = node[V]{expiryPos: absent}
	q.freeNodes = append(q.freeNodes, n)
}
