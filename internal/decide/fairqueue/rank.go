package fairqueue

import (
	"time"

	"eelgrassgrade/internal/core"
)

// node is one queued entry, linked into the list of its flow. Nodes are recycled.
type node[V any] struct {
	item       Item[V]
	seq        uint64
	flow       *flow[V]
	prev, next *node[V]
	expiryPos  int
}

// flow is the state of one account in one rank.
type flow[V any] struct {
	account core.AccountID
	weight  float64
	// startTag is the start tag of the head entry, finishTag the finish tag of the
	// last entry served. Both are in cost per weight.
	startTag, finishTag float64
	head, tail          *node[V]
	length              int
	// backlogSince is when the current backlog began.
	backlogSince time.Time

	startTagPos, backlogPos, finishTagPos int
}

// rankQueue is the queue of one rank: start-time fair queueing over accounts.
type rankQueue[V any] struct {
	flows map[core.AccountID]*flow[V]
	// byStartTag holds the flows with a backlog by start tag, byBacklog the same flows
	// by backlog per weight, longest first. byFinishTag holds the idle flows, which
	// have no backlog, by finish tag.
	byStartTag, byBacklog, byFinishTag indexedHeap[*flow[V]]
	// virtualTime is the largest start tag of an entry served so far.
	virtualTime float64
	length      int
	// cost is the sum over queued entries, weight the sum over flows with a backlog.
	cost, weight float64
	// credit is the service that the rank's floor entitles it to, in cost.
	credit float64
	// moreUrgentService and totalService are moving averages, over decisions made while
	// the rank had a backlog, of the cost served from more urgent ranks and from all.
	moreUrgentService, totalService float64
}

func newRankQueue[V any]() *rankQueue[V] {
	b := &rankQueue[V]{flows: map[core.AccountID]*flow[V]{}}
	b.byStartTag = indexedHeap[*flow[V]]{pos: func(f *flow[V]) *int { return &f.startTagPos }, less: func(x, y *flow[V]) bool {
		return x.startTag < y.startTag || x.startTag == y.startTag && x.head.seq < y.head.seq
	}}
	// Among equal backlogs the flow with the newest entry comes first and is evicted
	// from, so that an arrival does not displace an older entry with an equal claim.
	b.byBacklog = indexedHeap[*flow[V]]{pos: func(f *flow[V]) *int { return &f.backlogPos }, less: func(x, y *flow[V]) bool {
		bx, by := float64(x.length)/x.weight, float64(y.length)/y.weight
		return bx > by || bx == by && x.tail.seq > y.tail.seq
	}}
	b.byFinishTag = indexedHeap[*flow[V]]{pos: func(f *flow[V]) *int { return &f.finishTagPos }, less: func(x, y *flow[V]) bool {
		return x.finishTag < y.finishTag
	}}
	return b
}

// flowOf returns the flow of the account, which it creates if necessary, and sets its
// weight.
func (q *Queue[V]) flowOf(b *rankQueue[V], account core.AccountID, weight float64) *flow[V] {
	f := b.flows[account]
	if f == nil {
		if n := len(q.freeFlows); n > 0 {
			f, q.freeFlows = q.freeFlows[n-1], q.freeFlows[:n-1]
		} else {
			f = &flow[V]{}
		}
		*f = flow[V]{account: account, weight: weight, finishTag: b.virtualTime - MaxLead, startTagPos: absent, backlogPos: absent, finishTagPos: absent}
		b.flows[account] = f
		return f
	}
	if f.length > 0 {
		b.weight += weight - f.weight
	}
	f.weight = weight
	return f
}

// append adds n to the end of the flow.
func (b *rankQueue[V]) append(now time.Time, f *flow[V], n *node[V]) {
	n.flow, n.prev, n.next = f, f.tail, nil
	if f.tail != nil {
		f.tail.next = n
	} else {
		f.head = n
	}
	f.tail = n
	f.length++
	b.length++
	b.cost += n.item.Cost
	if f.length == 1 {
		b.byFinishTag.remove(f)
		f.startTag = max(b.virtualTime-MaxLead, f.finishTag)
		f.backlogSince = now
		b.weight += f.weight
		b.byStartTag.add(f)
		b.byBacklog.add(f)
		return
	}
	b.byBacklog.fix(f)
}

// unlink removes n from its flow. The flow's tags are unchanged: an entry that is
// not served costs its account nothing.
func (q *Queue[V]) unlink(now time.Time, b *rankQueue[V], n *node[V]) {
	f := n.flow
	if n.prev != nil {
		n.prev.next = n.next
	} else {
		f.head = n.next
	}
	if n.next != nil {
		n.next.prev = n.prev
	} else {
		f.tail = n.prev
	}
	f.length--
	b.length--
	b.cost -= n.item.Cost
	if b.length == 0 {
		b.cost = 0 // removes the rounding error of the sum
	}
	if f.length > 0 {
		b.byBacklog.fix(f)
		b.byStartTag.fix(f)
		return
	}
	b.byStartTag.remove(f)
	b.byBacklog.remove(f)
	b.weight -= f.weight
	if len(b.byStartTag.items) == 0 {
		b.weight = 0
	}
	q.recordBacklog(now, f)
	b.byFinishTag.add(f)
	q.forgetIdleFlows(b)
}

// recordBacklog adds the flow's time with a backlog, up to now, to the next report.
func (q *Queue[V]) recordBacklog(now time.Time, f *flow[V]) {
	if f.backlogSince.Before(q.lastReport) {
		f.backlogSince = q.lastReport
	}
	d := now.Sub(f.backlogSince).Seconds()
	if d <= 0 {
		return
	}
	if old, ok := q.backlog[f.account]; ok || len(q.backlog) < maxReportedAccounts {
		q.backlog[f.account] = old + d*f.weight
	}
}

// forgetIdleFlows drops idle flows whose tags a new flow would also get and, if there
// are more than MaxIdleAccounts, those with the smallest finish tags.
func (q *Queue[V]) forgetIdleFlows(b *rankQueue[V]) {
	for len(b.byFinishTag.items) > 0 {
		f := b.byFinishTag.first()
		if f.finishTag > b.virtualTime-MaxLead && len(b.byFinishTag.items) <= MaxIdleAccounts {
			return
		}
		b.byFinishTag.remove(f)
		delete(b.flows, f.account)
		q.freeFlows = append(q.freeFlows, f)
	}
}

// serve removes and returns the head entry of the flow with the smallest start tag.
func (q *Queue[V]) serve(now time.Time, b *rankQueue[V]) *node[V] {
	f := b.byStartTag.first()
	n := f.head
	b.virtualTime = max(b.virtualTime, f.startTag)
	f.finishTag = f.startTag + n.item.Cost/f.weight
	f.startTag = f.finishTag
	q.unlink(now, b, n)
	q.forgetIdleFlows(b)
	return n
}

// costAhead estimates the cost that is served before a new entry of the account.
// With start-time fair queueing, each flow gets at most its weight times the
// distance from the virtual time to the new entry's start tag, plus one entry.
func (b *rankQueue[V]) costAhead(account core.AccountID) float64 {
	if b.length == 0 {
		return 0
	}
	mean := b.cost / float64(b.length)
	tag, ownCost := b.virtualTime-MaxLead, 0.0
	if f := b.flows[account]; f != nil {
		tag = max(tag, f.finishTag)
		if f.length > 0 {
			ownCost = float64(f.length) * mean
			tag = f.startTag + ownCost/f.weight
		}
	}
	othersCost := max(0, b.weight*(tag-b.virtualTime)+mean*float64(len(b.byStartTag.items)))
	return min(b.cost, max(ownCost, othersCost))
}

// moreUrgentShare returns the fraction of recent service that more urgent ranks got.
func (b *rankQueue[V]) moreUrgentShare() float64 {
	if b.totalService == 0 {
		return 0
	}
	return b.moreUrgentService / b.totalService
}
