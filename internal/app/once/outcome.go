package once

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/idempotency"
)

// outcome is the last record of an execution, which must reach the table service.
type outcome struct {
	x   *execution
	rec idempotency.Record
	// body is an answer that must be in the object store before the record
	// names it, or nil.
	body []byte
}

// result is what became of an outcome write.
type result uint8

const (
	// unsettled means that the write must be tried again.
	unsettled result = iota
	// recorded means that the table service holds the outcome.
	recorded
	// superseded means that another execution holds the record.
	superseded
)

// record tries to store the outcome before the caller is answered. It is false
// if the outcome must be retried in the background.
func (o *Once) record(ctx context.Context, out *outcome) (result, bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeWait)
	defer cancel()
	r := out.try(ctx)
	return r, r != unsettled
}

// try writes the outcome. A write whose answer was lost is found by the next
// try: its condition fails and the record read back carries the token.
func (out *outcome) try(ctx context.Context) result {
	x := out.x
	if out.body != nil {
		if err := x.o.objects.Put(ctx, out.rec.Answer.Object, out.body); err != nil {
			return unsettled
		}
		out.body = nil
	}
	for range attempts {
		err := x.write(ctx, out.rec, x.rev)
		if err == nil {
			return recorded
		}
		if !errors.Is(err, core.ErrRevisionMismatch) {
			return unsettled
		}
		cur, rev, err := x.read(ctx)
		switch {
		case errors.Is(err, core.ErrNoRecord):
			if x.rev == 0 {
				return unsettled
			}
			return superseded
		case err != nil:
			return unsettled
		case cur.Token != x.token:
			return superseded
		case cur.State == out.rec.State:
			return recorded
		}
		x.rev = rev
	}
	return unsettled
}

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// tryTimeout bounds one background attempt.
	tryTimeout = 3 * time.Second
)

// outbox retries outcomes in the background, one at a time. Its size is
// bounded by the slots of the executions.
type outbox struct {
	o      *Once
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	queue   []*outcome
	bytes   int
	running bool
	// idle is closed when the worker ends.
	idle chan struct{}
	// hurry ends by close, and with it the waits between attempts.
	hurry     context.Context
	hurryFunc context.CancelFunc
}

func (b *outbox) init(o *Once) {
	b.o = o
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.hurry, b.hurryFunc = context.WithCancel(b.ctx)
}

// add queues an outcome whose slot is taken.
func (b *outbox) add(out *outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bytes+len(out.body) > maxPendingBytes {
		// The outcome itself is kept, so that the call stays known to have run.
		out.rec.Answer, out.rec.Reason, out.body = nil, "the object store was not available", nil
		b.o.metrics.GetOrCreateCounter("eelgrass_once_answers_dropped_total").Inc()
	}
	b.bytes += len(out.body)
	b.queue = append(b.queue, out)
	if !b.running {
		b.running, b.idle = true, make(chan struct{})
		go b.run()
	}
}

func (b *outbox) run() {
	backoff := minBackoff
	for {
		b.mu.Lock()
		if len(b.queue) == 0 || b.ctx.Err() != nil {
			b.running = false
			close(b.idle)
			b.mu.Unlock()
			return
		}
		out := b.queue[0]
		b.mu.Unlock()
		size := len(out.body)
		// The wait ends early at shutdown; the queue bounds the writes.
		b.o.writes.Wait(b.hurry)
		ctx, cancel := context.WithTimeout(b.ctx, tryTimeout)
		out.x.mu.Lock()
		r := out.try(ctx)
		out.x.mu.Unlock()
		cancel()
		b.mu.Lock()
		b.queue = b.queue[1:]
		b.bytes -= size
		if r == unsettled {
			b.queue = append(b.queue, out)
			b.bytes += len(out.body)
		}
		b.mu.Unlock()
		if r != unsettled {
			<-b.o.slots
			backoff = minBackoff
			continue
		}
		pause(b.hurry, backoff)
		if b.hurry.Err() != nil {
			pause(b.ctx, minBackoff)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (b *outbox) close(ctx context.Context) error {
	b.mu.Lock()
	b.hurryFunc()
	idle, running := b.idle, b.running
	b.mu.Unlock()
	defer b.cancel()
	if !running {
		return nil
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := len(b.queue); n > 0 {
		return &core.Error{Kind: core.Unavailable, Step: "outcome", Err: ctx.Err(), Detail: fmt.Sprintf("%d outcomes of calls were not recorded", n)}
	}
	return nil
}
