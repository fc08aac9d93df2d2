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

// pendingOutcome is the final record of an execution, which is still to be
// stored in the table service.
type pendingOutcome struct {
	exec *execution
	rec  idempotency.Record
	// answerBody is the body of a large answer that must be in the object store
	// before a record refers to it, or nil.
	answerBody []byte
}

// writeResult is the result of an outcome write.
type writeResult uint8

const (
	// mustRetry means that the write failed or its effect is unknown.
	mustRetry writeResult = iota
	// recorded means that the table service holds the outcome.
	recorded
	// superseded means that another execution holds the record.
	superseded
)

// recordOutcome tries to store the outcome before the caller is answered. It
// reports false if the write must be retried in the background.
func (o *Once) recordOutcome(ctx context.Context, outcome *pendingOutcome) (writeResult, bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeWriteTimeout)
	defer cancel()
	r := outcome.try(ctx)
	return r, r != mustRetry
}

// try writes the outcome. If an earlier write took effect but its response was
// lost, the write's condition fails and the record read back carries the
// execution's token and the outcome's state.
func (p *pendingOutcome) try(ctx context.Context) writeResult {
	x := p.exec
	if p.answerBody != nil {
		if err := x.once.objects.Put(ctx, p.rec.Answer.Object, p.answerBody); err != nil {
			return mustRetry
		}
		p.answerBody = nil
	}
	for range maxWriteAttempts {
		err := x.write(ctx, p.rec, x.rev)
		if err == nil {
			return recorded
		}
		if !errors.Is(err, core.ErrRevisionMismatch) {
			return mustRetry
		}
		cur, rev, err := x.read(ctx)
		switch {
		case errors.Is(err, core.ErrNoRecord):
			if x.rev == 0 {
				return mustRetry
			}
			return superseded
		case err != nil:
			return mustRetry
		case cur.Token != x.token:
			return superseded
		case cur.State == p.rec.State:
			return recorded
		}
		x.rev = rev
	}
	return mustRetry
}

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// backgroundWriteTimeout bounds one background try to store an outcome.
	backgroundWriteTimeout = 3 * time.Second
)

// outbox retries outcome writes in the background, one at a time. Each queued
// outcome occupies a slot of Once, so the queue is bounded.
type outbox struct {
	once   *Once
	ctx    context.Context
	cancel context.CancelFunc

	mu          sync.Mutex
	queue       []*pendingOutcome
	queuedBytes int
	running     bool
	// idle is closed when the worker goroutine ends.
	idle chan struct{}
	// waitCtx is cancelled by close, which ends the waits between attempts.
	waitCtx    context.Context
	cancelWait context.CancelFunc
}

func (b *outbox) init(o *Once) {
	b.once = o
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.waitCtx, b.cancelWait = context.WithCancel(b.ctx)
}

// add queues an outcome. The caller has acquired its slot; the worker releases it.
func (b *outbox) add(outcome *pendingOutcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queuedBytes+len(outcome.answerBody) > maxPendingAnswerBytes {
		// Only the answer is dropped. The record still shows that the call ran.
		outcome.rec.Answer, outcome.rec.Reason, outcome.answerBody = nil, "the object store was not available", nil
		b.once.metrics.GetOrCreateCounter("eelgrass_once_answers_dropped_total").Inc()
	}
	b.queuedBytes += len(outcome.answerBody)
	b.queue = append(b.queue, outcome)
	if !b.running {
		b.running, b.idle = true, make(chan struct{})
		go b.run()
	}
}

// run is the worker. It ends when the queue is empty.
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
		outcome := b.queue[0]
		b.mu.Unlock()
		size := len(outcome.answerBody)
		// At shutdown the wait returns at once, and the bounded queue limits the
		// writes.
		b.once.writeLimit.Wait(b.waitCtx)
		ctx, cancel := context.WithTimeout(b.ctx, backgroundWriteTimeout)
		outcome.exec.mu.Lock()
		r := outcome.try(ctx)
		outcome.exec.mu.Unlock()
		cancel()
		b.mu.Lock()
		b.queue = b.queue[1:]
		b.queuedBytes -= size
		if r == mustRetry {
			b.queue = append(b.queue, outcome)
			b.queuedBytes += len(outcome.answerBody)
		}
		b.mu.Unlock()
		if r != mustRetry {
			<-b.once.slots
			backoff = minBackoff
			continue
		}
		sleepContext(b.waitCtx, backoff)
		if b.waitCtx.Err() != nil {
			// At shutdown retries use the minimum backoff.
			sleepContext(b.ctx, minBackoff)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// close waits until the queue is empty or ctx ends, and then stops the worker.
func (b *outbox) close(ctx context.Context) error {
	b.mu.Lock()
	b.cancelWait()
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
