package stagework

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/batching"
)

func (p *pool) waits() []time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.c.now()
	usable := p.usable(now)
	var ahead [lastRank + 1]int
	for _, it := range p.queue {
		if it.LatestStart.After(now) {
			ahead[min(it.Rank, lastRank)]++
		}
	}
	if ahead == [lastRank + 1]int{} {
		// Most daemons coordinate nothing. Among hundreds, what says nothing is not
		// told with each status.
		return nil
	}
	out := make([]time.Duration, lastRank+1)
	rate := p.rate(now, usable)
	sum, overtaking := 0, 0.0
	for r := range out {
		sum += ahead[r]
		out[r] = batching.EstimateWait(sum, rate, overtaking)
		overtaking += p.arrivals.rate(now, r)
	}
	return out
}

// rate returns the pieces that finish in a second: what the calls' times allow
// or, while the queue is long, what was measured, since room for results or slow
// endpoints may allow less.
func (p *pool) rate(now time.Time, usable int) float64 {
	full := float64(p.limits.MaxPieces*max(usable, 1)) / p.expected(p.limits.MaxPieces).Seconds()
	for len(p.finishes) > 0 && now.Sub(p.finishes[0]) > rateWindow {
		p.finishes = p.finishes[1:]
	}
	switch {
	case len(p.queue) <= p.limits.MaxPieces*usable:
		p.longSince = time.Time{}
		return full
	case p.longSince.IsZero():
		p.longSince = now
	}
	if now.Sub(p.longSince) < rateWindow {
		// What finished before the queue was long says nothing of the rate.
		return full
	}
	return min(full, max(float64(len(p.finishes))/rateWindow.Seconds(), 1))
}

// out says whether an endpoint gets no calls now: it failed, or asked for a pause.
func (p *pool) out(r *replica, now time.Time) bool {
	return r.out(now) || now.Before(p.c.rest(r.entry))
}

// usable returns the number of endpoints in rotation.
func (p *pool) usable(now time.Time) int {
	n := 0
	for _, r := range p.replicas {
		if !p.out(r, now) {
			n++
		}
	}
	return n
}

// expire ends tasks whose time is over while they wait.
func (p *pool) expire(now time.Time) {
	for _, it := range slices.Clone(p.queue) {
		if !it.task.ended && now.After(it.Deadline) {
			p.end(it.task, &core.Error{Kind: core.DeadlineExceeded, Step: "stage", Ran: core.RanNot, Detail: "the time was over before the stage had an endpoint"})
		}
	}
	if now.Sub(p.pruned) < pruneInterval || len(p.queue) < pruneCalls*p.limits.MaxPieces*max(len(p.replicas), 1) {
		return
	}
	// A queue of this length moves at the measured rate. Callers whose turn would
	// come too late are told now.
	p.pruned = now
	rate := p.rate(now, p.usable(now))
	for i, it := range p.sorted(now, "") {
		// More urgent work that comes in overtakes the piece; once it is late, all
		// work that can still be in time does.
		overtaking := 0.0
		for r := range p.arrivals.count {
			if r < it.Rank || it.LatestStart.Before(now) && !it.HoldsResults {
				overtaking += p.arrivals.rate(now, r)
			}
		}
		if wait := batching.EstimateWait(i, rate, overtaking); !it.task.ended && now.Add(time.Duration(hopeless*float64(wait))).After(it.Deadline) {
			p.end(it.task, &core.Error{Kind: core.Unavailable, Step: "stage", Ran: core.RanNot, RetryAfter: wait,
				Detail: fmt.Sprintf("the queue of the stage is too long for the time left: %d pieces ahead, %.0f done a second, %.0f more urgent ones come in a second, %d ms left",
					i, rate, overtaking, it.Deadline.Sub(now).Milliseconds())})
		}
	}
}

// free returns the endpoints that can take a call. If all endpoints without a
// call are out, the one that has been out longest is tried.
func (p *pool) free(now time.Time) []*replica {
	var out []*replica
	usable := 0
	var oldest *replica
	for _, r := range p.replicas {
		if now.Before(p.c.rest(r.entry)) {
			continue
		}
		if r.out(now) {
			if r.calls == 0 && (oldest == nil || r.outUntil.Before(oldest.outUntil)) {
				oldest = r
			}
			continue
		}
		usable++
		if r.calls == 0 {
			out = append(out, r)
		}
	}
	if usable == 0 && oldest != nil && oldest.outUntil.Sub(now) < maxEjection/2 {
		out = append(out, oldest)
	}
	return out
}

// pick prefers endpoints that are not slow, then those of the data centre near.
func pick(free []*replica, near core.DataCenterID, now time.Time) *replica {
	return slices.MinFunc(free, func(a, b *replica) int {
		sa, sb := a.slowness(now), b.slowness(now)
		if (sa > slowFrom) != (sb > slowFrom) {
			return cmp.Compare(sa, sb)
		}
		far := func(r *replica) int {
			if r.entry.DataCenter == near {
				return 0
			}
			return 1
		}
		if c := cmp.Compare(far(a), far(b)); c != 0 {
			return c
		}
		if c := cmp.Compare(len(a.results), len(b.results)); c != 0 {
			return c
		}
		return cmp.Compare(a.entry.ID, b.entry.ID)
	})
}

// sorted orders the queue.
func (p *pool) sorted(now time.Time, dc core.DataCenterID) []*item {
	pieces := make([]*batching.Piece, len(p.queue))
	byPiece := make(map[*batching.Piece]*item, len(p.queue))
	for i, it := range p.queue {
		pieces[i] = &it.Piece
		byPiece[&it.Piece] = it
	}
	batching.Order(now, pieces, string(dc), p.overusers(now))
	out := make([]*item, len(pieces))
	for i, x := range pieces {
		out[i] = byPiece[x]
	}
	return out
}

// overusers returns the accounts that used more than their share of late. The
// caller holds mu.
func (p *pool) overusers(now time.Time) map[string]bool {
	if d := now.Sub(p.usedAt); d > shareWindow/4 {
		keep := 1 - min(1, float64(d)/float64(shareWindow))
		for a := range p.used {
			if p.used[a] *= keep; p.used[a] < 0.5 {
				delete(p.used, a)
			}
		}
		p.usedAt = now
	}
	total := 0.0
	for _, u := range p.used {
		total += u
	}
	over := map[string]bool{}
	for a, u := range p.used {
		if len(p.used) > 1 && u > overShare*total/float64(len(p.used)) {
			over[string(a)] = true
		}
	}
	return over
}

// settle makes the other pieces of a task follow the first one into its data
// centre, so that a later stage finds its inputs in one place.
func (p *pool) settle(it *item, dc core.DataCenterID) {
	if it.PreferredDataCenter != "" {
		return
	}
	for _, other := range p.queue {
		if other.task == it.task {
			other.PreferredDataCenter = string(dc)
		}
	}
}

// local says whether a data centre has an endpoint in rotation that is not slow.
func (p *pool) local(now time.Time, dc string) bool {
	for _, r := range p.replicas {
		if string(r.entry.DataCenter) == dc && !p.out(r, now) && r.slowness(now) <= slowFrom {
			return true
		}
	}
	return false
}

func (p *pool) hasFaster(now time.Time) bool {
	for _, r := range p.replicas {
		if !p.out(r, now) && r.slowness(now) <= slowFrom {
			return true
		}
	}
	return false
}

func (p *pool) expected(pieces int) time.Duration {
	return p.limits.CallTime + time.Duration(pieces)*p.limits.PieceTime
}
