package standin

import (
	"container/heap"
	"sync"
	"time"
)

// minStepTime is the shortest time between two steps of a batch. Without it, a
// stand-in with a token time of 0 would occupy a whole core.
const minStepTime = 100 * time.Microsecond

// sequence is one completion that an engine's batch generates.
type sequence struct {
	priority int
	// tokens is the number of tokens to generate.
	tokens int
	// onAdmit is called with the batch's lock held when the sequence gets a slot.
	// It returns the time to the first token, before the slow factor.
	onAdmit func() time.Duration
	// progress receives a value when produced has grown; done is closed when the
	// sequence finishes or is cancelled while it runs.
	progress chan struct{}
	done     chan struct{}

	// The fields below are guarded by the batch's lock.
	arrivalOrder uint64
	heapIndex    int
	running      bool
	ended        bool
	produced     int
	startedAt    time.Time
	firstTokenAt time.Time
}

// batch simulates continuous batching: each step adds one token to every
// running sequence that is past its time to the first token. Free slots are
// filled from the waiting queue at once, lowest priority value first, then in
// order of arrival.
type batch struct {
	slots     int
	tokenTime time.Duration
	// stepGrowth is the fraction of tokenTime that each running sequence after the
	// first adds to a step.
	stepGrowth float64
	faults     *faultState

	mu               sync.Mutex
	lastArrivalOrder uint64
	running          []*sequence
	waiting          sequenceHeap
	loopRunning      bool
	counts           batchCounts
}

// batchCounts holds totals since the batch was created.
type batchCounts struct {
	finished, cancelled, tokens int64
	// busyTime is the time for which slots were occupied, summed over slots;
	// cancelledBusyTime is the part of it that went to cancelled sequences.
	busyTime, cancelledBusyTime time.Duration
}

func newBatch(slots int, tokenTime time.Duration, stepGrowth float64, faults *faultState) *batch {
	return &batch{slots: max(1, slots), tokenTime: tokenTime, stepGrowth: stepGrowth, faults: faults}
}

// submit queues s and starts the step loop if it is not running.
func (b *batch) submit(s *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastArrivalOrder++
	s.arrivalOrder = b.lastArrivalOrder
	s.progress, s.done = make(chan struct{}, 1), make(chan struct{})
	heap.Push(&b.waiting, s)
	b.admitWaiting(time.Now())
	if !b.loopRunning {
		b.loopRunning = true
		go b.runSteps()
	}
}

// admitWaiting moves waiting sequences to free slots.
func (b *batch) admitWaiting(now time.Time) {
	for len(b.running) < b.slots && len(b.waiting) > 0 {
		s := heap.Pop(&b.waiting).(*sequence)
		s.running, s.startedAt = true, now
		s.firstTokenAt = now.Add(applySlowFactor(s.onAdmit(), b.faults))
		b.running = append(b.running, s)
	}
}

// applySlowFactor multiplies d by the fault SlowFactor, if that is set.
func applySlowFactor(d time.Duration, faults *faultState) time.Duration {
	if f := faults.get().SlowFactor; f > 0 {
		return time.Duration(float64(d) * f)
	}
	return d
}

// runSteps advances the batch step by step and returns when no sequence runs.
func (b *batch) runSteps() {
	stepStart := time.Now()
	for {
		b.mu.Lock()
		if len(b.running) == 0 {
			b.loopRunning = false
			b.mu.Unlock()
			return
		}
		next := b.stepEnd(stepStart)
		b.mu.Unlock()
		time.Sleep(time.Until(next))
		b.faults.waitWhileFrozen(nil)
		// A step that ends late, because of load or a paused process, must not
		// shorten the following steps.
		now := time.Now()
		if stepStart = next; now.Sub(stepStart) > b.tokenTime {
			stepStart = now
		}
		b.mu.Lock()
		b.advance(now)
		b.mu.Unlock()
	}
}

// stepEnd returns the end of the step that begins at start. While no running
// sequence has a token yet, the step ends no later than the first is due.
func (b *batch) stepEnd(start time.Time) time.Time {
	d := time.Duration(float64(b.tokenTime) * (1 + b.stepGrowth*float64(len(b.running)-1)))
	now := time.Now()
	if start.Before(now.Add(-d)) {
		start = now
	}
	end := start.Add(max(minStepTime, applySlowFactor(d, b.faults)))
	firstReady := b.running[0].firstTokenAt
	for _, s := range b.running {
		if s.produced > 0 {
			return end
		}
		if s.firstTokenAt.Before(firstReady) {
			firstReady = s.firstTokenAt
		}
	}
	if firstReady.Before(end) {
		return firstReady
	}
	return end
}

// advance ends a step: it adds the tokens, ends the sequences that are complete
// and fills the free slots.
func (b *batch) advance(now time.Time) {
	kept := b.running[:0]
	for _, s := range b.running {
		if s.firstTokenAt.After(now) {
			kept = append(kept, s)
			continue
		}
		s.produced++
		b.counts.tokens++
		if s.produced >= s.tokens {
			b.endSequence(s, now)
			b.counts.finished++
		} else {
			kept = append(kept, s)
		}
		select {
		case s.progress <- struct{}{}:
		default:
		}
	}
	clear(b.running[len(kept):])
	b.running = kept
	b.admitWaiting(now)
}

// endSequence marks a running sequence as ended and counts its slot time.
func (b *batch) endSequence(s *sequence, now time.Time) {
	s.ended, s.running = true, false
	b.counts.busyTime += now.Sub(s.startedAt)
	close(s.done)
}

// cancel removes a sequence from the batch and frees its slot at once. It does
// nothing if the sequence has ended.
func (b *batch) cancel(s *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.ended {
		return
	}
	b.counts.cancelled++
	if !s.running {
		s.ended = true
		heap.Remove(&b.waiting, s.heapIndex)
		return
	}
	now := time.Now()
	b.counts.cancelledBusyTime += now.Sub(s.startedAt)
	b.endSequence(s, now)
	for i, r := range b.running {
		if r == s {
			b.running = append(b.running[:i], b.running[i+1:]...)
			break
		}
	}
	b.admitWaiting(now)
}

// produced returns the number of tokens generated for s.
func (b *batch) produced(s *sequence) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return s.produced
}

// queueLengths returns the numbers of running and waiting sequences.
func (b *batch) queueLengths() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.running), len(b.waiting)
}

// totals returns the counts, including the slot time of sequences that still run.
func (b *batch) totals() batchCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, now := b.counts, time.Now()
	for _, s := range b.running {
		c.busyTime += now.Sub(s.startedAt)
	}
	return c
}

// sequenceHeap is a heap of waiting sequences by priority, then by arrival.
type sequenceHeap []*sequence

// Len implements sort.Interface.
func (h sequenceHeap) Len() int { return len(h) }

// Less implements sort.Interface.
func (h sequenceHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].arrivalOrder < h[j].arrivalOrder
}

// Swap implements sort.Interface.
func (h sequenceHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *sequenceHeap) Push(x any) {
	s := x.(*sequence)
	s.heapIndex = len(*h)
	*h = append(*h, s)
}

// Pop implements heap.Interface.
func (h *sequenceHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return s
}
