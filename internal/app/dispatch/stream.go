package dispatch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/health"
)

const (
	// stallFactor times the pool's p99 is how long a stream may bring nothing.
	stallFactor = 4
	// stallSamples is the number of streams below which the p99 means nothing.
	stallSamples = 20
	minStall     = 100 * time.Millisecond
	// unknownGap bounds the time between events before there is a p99. Engines
	// bring a token every 75 ms or faster.
	unknownGap = time.Second
)

// stream is the state of one streamed answer over all of its attempts.
type stream struct {
	job  *job
	emit func(core.Event) error
	// body is the request body of the next attempt.
	body []byte
	// next is the number of tokens forwarded, which is the index of the next.
	next int
	// forwarded says that any event was forwarded.
	forwarded bool
	// refused is the caller's error.
	refused error
}

// token is what the dispatcher reads of a stream event.
type token struct {
	// Index numbers tokens from 0. Nil means the next.
	Index   *int `json:"index"`
	Choices []json.RawMessage
}

// attempt makes one attempt and returns nil after a complete stream.
func (s *stream) attempt(ctx context.Context) *failure {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p := s.job.pool
	first, gap := p.stallLimits()
	return s.job.attempt(ctx, false, nil, func(ctx context.Context, c core.Call) error {
		c.Body = s.body
		w := &watch{first: first, gap: gap, last: time.Now(), cancel: cancel}
		w.arm(first)
		defer w.stop()
		err := p.d.Transport.Stream(ctx, c, func(ev core.Event) error { return s.take(ctx, c, w, ev) })
		w.stop()
		if err == nil {
			p.recordGap(w.longest)
			return nil
		}
		return s.explain(c, err)
	})
}

// explain completes the error of a broken stream.
func (s *stream) explain(c core.Call, err error) error {
	var status *StatusError
	if errors.As(err, &status) && !s.forwarded {
		if err := s.job.pool.checkEcho(c, status.Call, false); err != nil {
			return err
		}
		return statusError(s.job.task, c, status)
	}
	e := *core.AsError(err, s.job.task.Stage)
	if e.Peer == "" {
		e.Peer = string(c.Endpoint.ID)
	}
	if s.forwarded {
		e.Ran = core.RanYes
	}
	return &e
}

// take forwards one event of the endpoint.
func (s *stream) take(ctx context.Context, c core.Call, w *watch, ev core.Event) error {
	p := s.job.pool
	if err := p.checkEcho(c, ev.CallID, false); err != nil {
		return err
	}
	w.seen(func(elapsed time.Duration) {
		if fl, ok := ctx.Value(flightKey{}).(*flight); ok {
			fl.answering.Store(true)
		}
		p.observeFirst(c.Endpoint.ID, elapsed)
	})
	var t token
	if err := json.Unmarshal(ev.Data, &t); err != nil {
		return &core.Error{Kind: core.Upstream, Step: c.Stage, Peer: string(c.Endpoint.ID), Ran: core.RanUnknown, Detail: "a stream event is not valid", Err: err}
	}
	switch {
	case t.Index == nil && len(t.Choices) == 0: // usage, no token
	case t.Index == nil || *t.Index == s.next:
		s.next++
	case *t.Index < s.next:
		p.counts.repeatedTokens.Inc()
		return nil
	default:
		p.counts.dropped("gap")
		return &core.Error{Kind: core.Upstream, Step: c.Stage, Peer: string(c.Endpoint.ID), Ran: core.RanUnknown, Detail: "tokens of the stream are missing"}
	}
	s.forwarded = true
	// A slow reader is not the endpoint's fault.
	w.pause()
	err := s.emit(ev)
	w.resume()
	if err != nil {
		s.refused = err
	}
	return err
}

// prepareResume prepares the next attempt after a failure. It reports whether
// there may be one.
func (s *stream) prepareResume(f *failure) bool {
	p := s.job.pool
	switch {
	case s.refused != nil:
		return false
	case !s.forwarded:
		return true
	case !p.config().Resume:
		f.err.Detail += "; the stream cannot be resumed"
		return false
	}
	var body map[string]json.RawMessage
	if err := json.Unmarshal(s.job.task.Body, &body); err != nil {
		return false
	}
	offset, err := json.Marshal(resumeFrom(s.next, body["max_tokens"]))
	if err != nil {
		return false
	}
	body["resume_from"] = offset
	b, err := json.Marshal(body)
	if err != nil {
		return false
	}
	s.body = b
	p.counts.resumed.Inc()
	return true
}

// resumeFrom returns the token at which a broken stream goes on. A stream that
// broke after its last token asks for that one again, because engines refuse an
// offset behind the end; the usage and the end mark follow it.
func resumeFrom(next int, maxTokens json.RawMessage) int {
	var limit int
	if json.Unmarshal(maxTokens, &limit) == nil && limit > 0 && next >= limit {
		return limit - 1
	}
	return next
}

// watch cancels an attempt that brings no event for too long.
type watch struct {
	first, gap, longest time.Duration
	last                time.Time
	answering           bool
	timer               *time.Timer
	cancel              context.CancelCauseFunc
}

func (w *watch) arm(d time.Duration) {
	if d <= 0 {
		return
	}
	if w.timer == nil {
		w.timer = time.AfterFunc(d, func() { w.cancel(errStalled) })
		return
	}
	w.timer.Reset(d)
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watch) pause() { w.stop() }

func (w *watch) resume() {
	w.last = time.Now()
	w.arm(w.gap)
}

// seen notes an event and calls onFirst with the time to the first one.
func (w *watch) seen(onFirst func(time.Duration)) {
	now := time.Now()
	if !w.answering {
		w.answering = true
		onFirst(now.Sub(w.last))
	} else {
		w.longest = max(w.longest, now.Sub(w.last))
	}
	w.last = now
	w.arm(w.gap)
}

// stallLimits returns the longest times to the first event and between events;
// 0 means no limit.
func (p *pool) stallLimits() (first, gap time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	gap = unknownGap
	if q := p.health.Quantiles(health.Streaming); q.Samples >= stallSamples {
		first = max(stallFactor*q.P99, minStall)
	}
	if q := p.gaps.Quantiles(); q.Samples >= stallSamples {
		gap = max(stallFactor*q.P99, minStall)
	}
	return first, gap
}

func (p *pool) recordGap(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gaps.Record(time.Now(), d)
}

// observeFirst takes in the time to the first event of a stream.
func (p *pool) observeFirst(id core.InstanceID, elapsed time.Duration) {
	for _, e := range p.members.Load().endpoints {
		if e.ID == id {
			p.observe(e, health.Sample{OK: true, Kind: health.Streaming, Elapsed: elapsed})
		}
	}
}
