package dispatch

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/health"
	"eelgrassgrade/internal/decide/retry"
)

const (
	// A stream has stalled if it delivers no event for stallFactor times the pool's p99. It
	// then goes on at another endpoint if one can take it, see mayMove.
	stallFactor = 4
	// minStallSamples is the number of streams from which the p99 is used.
	minStallSamples = 20
	minStallLimit   = 100 * time.Millisecond
	// defaultGapLimit bounds the time between events until the p99 is used.
	// Engines deliver a token at least every 75 ms.
	defaultGapLimit = time.Second
	// stallRecheck is the time after which a stalled stream that stays at its endpoint looks
	// again for another one.
	stallRecheck = 500 * time.Millisecond
)

// stream is the state of one streamed answer over all of its attempts.
type stream struct {
	job  *job
	emit func(core.Event) error
	// body is the request body of the next attempt.
	body []byte
	// nextToken is the index of the next token to forward.
	nextToken int
	// forwarded means that at least one event was forwarded.
	forwarded atomic.Bool
	// moves means that the present attempt was cancelled to go on at another endpoint, for
	// which a retry was taken from the budget.
	moves atomic.Bool
	// callerErr is the error that emit returned.
	callerErr error
}

// tokenEvent holds the fields of a stream event that the dispatcher reads.
type tokenEvent struct {
	// Index is the index of the token, from 0. Nil means the next token.
	Index *int `json:"index"`
	// Choices is empty in an event that holds only the usage.
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
		w := &stallWatch{firstLimit: first, gapLimit: gap, lastEvent: time.Now(), mayMove: s.mayMove, cancel: cancel}
		w.arm(first)
		defer w.stop()
		err := p.dispatcher.Transport.Stream(ctx, c, func(ev core.Event) error { return s.forward(ctx, c, w, ev) })
		w.stop()
		if err == nil {
			p.recordLongestGap(w.longestGap)
			return nil
		}
		return s.streamError(c, err)
	})
}

// streamError returns the error of a failed stream, with the endpoint and
// whether the work ran.
func (s *stream) streamError(c core.Call, err error) error {
	var status *StatusError
	if errors.As(err, &status) && !s.forwarded.Load() {
		if err := s.job.pool.checkEcho(c, status.Call, false); err != nil {
			return err
		}
		return statusError(s.job.task, c, status)
	}
	e := *core.AsError(err, s.job.task.Stage)
	if e.Peer == "" {
		e.Peer = string(c.Endpoint.ID)
	}
	if s.forwarded.Load() {
		e.Ran = core.RanYes
	}
	return &e
}

// forward passes one event of the endpoint to emit, unless its token was already
// forwarded. It returns an error if tokens are missing before it.
func (s *stream) forward(ctx context.Context, c core.Call, w *stallWatch, ev core.Event) error {
	p := s.job.pool
	if err := p.checkEcho(c, ev.CallID, false); err != nil {
		return err
	}
	w.recordEvent(func(elapsed time.Duration) {
		if call, ok := ctx.Value(inFlightCallKey{}).(*inFlightCall); ok {
			call.answering.Store(true)
		}
		p.observeFirstEvent(c.Endpoint.ID, elapsed)
	})
	var t tokenEvent
	if err := json.Unmarshal(ev.Data, &t); err != nil {
		return &core.Error{Kind: core.Upstream, Step: c.Stage, Peer: string(c.Endpoint.ID), Ran: core.RanUnknown, Detail: "a stream event is not valid", Err: err}
	}
	switch {
	case t.Index == nil && len(t.Choices) == 0: // usage, no token
	case t.Index == nil || *t.Index == s.nextToken:
		s.nextToken++
	case *t.Index < s.nextToken:
		p.counts.repeatedTokens.Inc()
		return nil
	default:
		p.counts.countDropped("gap")
		return &core.Error{Kind: core.Upstream, Step: c.Stage, Peer: string(c.Endpoint.ID), Ran: core.RanUnknown, Detail: "tokens of the stream are missing"}
	}
	s.forwarded.Store(true)
	// The time that a slow reader takes must not count against the endpoint.
	w.pause()
	err := s.emit(ev)
	w.resume()
	if err != nil {
		s.callerErr = err
	}
	return err
}

// prepareResume prepares the request body of the next attempt after a failure.
// It reports whether another attempt is possible.
func (s *stream) prepareResume(f *failure) bool {
	p := s.job.pool
	switch {
	case s.callerErr != nil:
		return false
	case !s.forwarded.Load():
		return true
	case !p.config().Resume:
		f.err.Detail += "; the stream cannot be resumed"
		return false
	}
	var body map[string]json.RawMessage
	if err := json.Unmarshal(s.job.task.Body, &body); err != nil {
		return false
	}
	offset, err := json.Marshal(resumeFrom(s.nextToken, body["max_tokens"]))
	if err != nil {
		return false
	}
	body["resume_from"] = offset
	b, err := json.Marshal(body)
	if err != nil {
		return false
	}
	s.body = b
	p.counts.resumedStreams.Inc()
	return true
}

// resumeFrom returns the index of the token from which a broken stream is
// resumed. After its last token it is resumed from that token again, because
// engines refuse an offset past the end; the usage and the end-of-stream marker
// follow that token.
func resumeFrom(next int, maxTokens json.RawMessage) int {
	var limit int
	if json.Unmarshal(maxTokens, &limit) == nil && limit > 0 && next >= limit {
		return limit - 1
	}
	return next
}

// mayMove reports whether a stream that has stalled goes on at another endpoint. Silence
// alone does not end it, since engines that run out of memory pause sound streams: it moves
// only if it can be resumed, another endpoint is healthy and has a free slot, and the
// retry budget allows it. The retry is then taken.
func (s *stream) mayMove() bool {
	j, p := s.job, s.job.pool
	var reason retry.Reason
	switch {
	case s.forwarded.Load() && !p.config().Resume:
		reason = retry.NotRepeatable
	case !j.hasFreeEndpoint():
		reason = retry.NoEndpoint
	default:
		dec := j.spendRetry(&failure{sent: true, err: &core.Error{Ran: core.RanUnknown}})
		reason = dec.Reason
	}
	if reason != retry.Allowed {
		p.counts.countStayed(string(reason))
		return false
	}
	s.moves.Store(true)
	return true
}

// stallWatch cancels an attempt whose stream delivers no event for too long and goes on
// elsewhere.
type stallWatch struct {
	firstLimit, gapLimit, longestGap time.Duration
	// lastEvent is the time of the last event. It is the start of the attempt
	// before the first event, and the end of emit after a pause.
	lastEvent time.Time
	answering bool
	mayMove   func() bool
	cancel    context.CancelCauseFunc

	mu    sync.Mutex // guards the following
	timer *time.Timer
	// stallsAt is when the stream stalls; zero while no event is expected.
	stallsAt time.Time
}

func (w *stallWatch) arm(d time.Duration) {
	if d <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stallsAt = time.Now().Add(d)
	if w.timer == nil {
		w.timer = time.AfterFunc(d, w.expire)
		return
	}
	w.timer.Reset(d)
}

// expire ends the attempt of a stream that has stalled, or looks again later.
func (w *stallWatch) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stallsAt.IsZero() || time.Now().Before(w.stallsAt) {
		// An event has arrived meanwhile.
		return
	}
	if w.mayMove() {
		w.stallsAt = time.Time{}
		w.cancel(errStalled)
		return
	}
	w.stallsAt = time.Now().Add(stallRecheck)
	w.timer.Reset(stallRecheck)
}

func (w *stallWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stallsAt = time.Time{}
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *stallWatch) pause() { w.stop() }

func (w *stallWatch) resume() {
	w.lastEvent = time.Now()
	w.arm(w.gapLimit)
}

// recordEvent records the arrival of an event. For the first one it calls
// onFirst with the time since the start.
func (w *stallWatch) recordEvent(onFirst func(time.Duration)) {
	now := time.Now()
	if !w.answering {
		w.answering = true
		onFirst(now.Sub(w.lastEvent))
	} else {
		w.longestGap = max(w.longestGap, now.Sub(w.lastEvent))
	}
	w.lastEvent = now
	w.arm(w.gapLimit)
}

// stallLimits returns the limits of the time to the first event and of the time
// between events; 0 means no limit.
func (p *pool) stallLimits() (first, gap time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	gap = defaultGapLimit
	if q := p.health.Quantiles(health.Streaming); q.Samples >= minStallSamples {
		first = max(stallFactor*q.P99, minStallLimit)
	}
	if q := p.longestGaps.Quantiles(); q.Samples >= minStallSamples {
		gap = max(stallFactor*q.P99, minStallLimit)
	}
	return first, gap
}

func (p *pool) recordLongestGap(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.longestGaps.Record(time.Now(), d)
}

// observeFirstEvent passes the time to the first event of a stream to the health
// decisions.
func (p *pool) observeFirstEvent(id core.InstanceID, elapsed time.Duration) {
	for _, e := range p.members.Load().endpoints {
		if e.ID == id {
			p.observe(e, health.Sample{OK: true, Kind: health.Streaming, Elapsed: elapsed})
		}
	}
}
