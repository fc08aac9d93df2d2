package shutdown

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// estimateOnly is the decision without evidence: whether an average and its deviation fit.
func estimateOnly(now time.Time, s Stop, r Request) Decision {
	return Decision{Allowed: s.End.IsZero() || s.End.Sub(now) >= max(MinLeft, r.Before+r.Answer.Expected)}
}

// Guards against daemons that take requests in a rolling restart and cut them at their end:
// bodies that arrive over seconds, waits for stages, rare answers that are several times as
// long, engines that turn slow, and daemons that have just started.
func TestRequestsAroundARollingRestart(t *testing.T) {
	for _, c := range []struct{ daemons, seeds int }{{8, 20}, {62, 1}} {
		var before, after callers
		for seed := range uint64(c.seeds) {
			restartFleet(&before, c.daemons, seed, estimateOnly)
			restartFleet(&after, c.daemons, seed, Decide)
		}
		t.Logf("%d daemons, %d restarts of each: before %+v, after %+v", c.daemons, c.seeds, before, after)
		if after.cutLate > 0 || after.cut > before.cut || before.cutLate == 0 {
			t.Errorf("%d daemons: cut before %+v, after %+v", c.daemons, before, after)
		}
		if after.served < before.served {
			t.Errorf("%d daemons: served %d, want the %d of before at least", c.daemons, after.served, before.served)
		}
	}
}

// callers counts what callers got: tooLate are the answers that missed the limit, cutLate the
// cut requests that were sent to an endpoint after the load balancer has noticed the stop.
type callers struct{ served, tooLate, refused, triedAgain, cut, cutLate int }

type simDaemon struct {
	stop            Stop
	times           Times
	mean, deviation float64
	running         map[*simRequest]time.Time
}

func (d *simDaemon) estimate(now time.Time) Estimate {
	e := d.times.Estimate(now)
	e.Expected = time.Duration(d.mean + 2*d.deviation)
	for _, sentAt := range d.running {
		e.Longest = max(e.Longest, now.Sub(sentAt))
	}
	return e
}

func (d *simDaemon) observe(now time.Time, took time.Duration) {
	d.times.Observe(now, took)
	if d.mean == 0 {
		d.mean, d.deviation = float64(took), float64(took)/4
		return
	}
	diff := float64(took) - d.mean
	d.mean += diff / 20
	d.deviation += (max(diff, -diff) - d.deviation) / 20
}

type simRequest struct {
	// random decides all that happens to the request, so that it does not depend on others.
	random   *rand.Rand
	deadline time.Time
	retries  int
}

func (r *simRequest) upTo(d time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(d)))
}

type simEvent struct {
	at time.Time
	do func(now time.Time)
}
type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// restartFleet restarts the daemons of a fleet one after the other and counts what became of
// the requests that came to it.
func restartFleet(c *callers, daemons int, seed uint64, decide func(time.Time, Stop, Request) Decision) {
	const grace, gap, limit, stages = 7700 * time.Millisecond, 10 * time.Second, 6 * time.Second, 300 * time.Millisecond
	began := time.Unix(0, 0)
	end := began.Add(20*time.Second + time.Duration(daemons)*gap)
	fleet := make([]*simDaemon, daemons)
	var events simEvents
	at := func(when time.Time, do func(time.Time)) { heap.Push(&events, simEvent{when, do}) }
	for i := range fleet {
		fleet[i] = &simDaemon{running: map[*simRequest]time.Time{}}
		at(began.Add(20*time.Second+time.Duration(i)*gap), func(now time.Time) {
			fleet[i].stop = Stop{Began: now, End: now.Add(grace)}
			at(now.Add(grace), func(now time.Time) {
				for _, sentAt := range fleet[i].running {
					c.cut++
					if sentAt.Sub(fleet[i].stop.Began) > earlyTime {
						c.cutLate++
					}
				}
				// The next process knows nothing yet.
				at(now.Add(time.Second), func(now time.Time) { fleet[i] = &simDaemon{running: map[*simRequest]time.Time{}} })
			})
		})
	}
	var send func(now time.Time, r *simRequest)
	refuse := func(now time.Time, r *simRequest) {
		if r.retries++; r.retries > 1 {
			c.refused++
			return
		}
		c.triedAgain++
		at(now.Add(150*time.Millisecond+r.upTo(150*time.Millisecond)), func(now time.Time) { send(now, r) })
	}
	answerTime := func(now time.Time, r *simRequest) time.Duration {
		took := 500*time.Millisecond + r.upTo(time.Second)
		if r.random.Float64() < 0.1 {
			took = 4*time.Second + r.upTo(1500*time.Millisecond)
		}
		if now.Sub(began)/(15*time.Second)%3 == 2 {
			took *= 2 // the engines are slow
		}
		return took
	}
	pass := func(now time.Time, d *simDaemon, r *simRequest, took time.Duration) {
		if !decide(now, d.stop, Request{Deadline: r.deadline, Answer: d.estimate(now)}).Allowed {
			refuse(now, r)
			return
		}
		d.running[r] = now
		ends := now.Add(took)
		if ends.After(r.deadline) {
			ends = r.deadline
		}
		at(ends, func(now time.Time) {
			if _, runs := d.running[r]; !runs || !d.stop.End.IsZero() && !now.Before(d.stop.End) {
				return
			}
			delete(d.running, r)
			if now.Equal(r.deadline) {
				c.tooLate++
				return
			}
			c.served++
			d.observe(now, took)
		})
	}
	send = func(now time.Time, r *simRequest) {
		i, noticed := 0, 2*time.Second+r.upTo(500*time.Millisecond)
		if r.random.Float64() < 0.05 {
			noticed = 5 * time.Second // a connection that was kept, or a process that was paused
		}
		for i = r.random.IntN(daemons); !fleet[i].stop.End.IsZero() && now.Sub(fleet[i].stop.Began) > noticed; i = r.random.IntN(daemons) {
		}
		d, read, work, took := fleet[i], now, stages/2+r.upTo(stages), answerTime(now, r)
		if r.random.Float64() < 0.1 {
			read = now.Add(r.upTo(3 * time.Second)) // a body in chunks
		}
		if r.random.Float64() < 0.05 {
			work += r.upTo(2 * time.Second)
		}
		at(read, func(now time.Time) {
			if !decide(now, d.stop, Request{Deadline: r.deadline, Before: stages, Answer: d.estimate(now)}).Allowed {
				refuse(now, r)
				return
			}
			at(now.Add(work), func(now time.Time) { pass(now, d, r, took) })
		})
	}
	for n, when := uint64(0), began; when.Before(end); n++ {
		r := &simRequest{random: rand.New(rand.NewPCG(seed, n))}
		when = when.Add(r.upTo(500 * time.Millisecond / time.Duration(daemons)))
		r.deadline = when.Add(limit)
		at(when, func(now time.Time) { send(now, r) })
	}
	for len(events) > 0 {
		e := heap.Pop(&events).(simEvent)
		e.do(e.at)
	}
}
