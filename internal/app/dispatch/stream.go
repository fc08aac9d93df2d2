package dispatch

import (
	"context"
	"encoding/json"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/health"
)

// stream is the state of one streamed answer over all of its attempts.
type stream struct {
	job  *job
	emit func(core.Event) error
	// nextToken is the index of the next token to forward.
	nextToken atomic.Int64
	// forwarded means that at least one event was forwarded.
	forwarded atomic.Bool
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

// run makes attempts until one completes the stream. Otherwise it returns the last failure.
func (s *stream) run(ctx context.Context) *failure {
	j := s.job
	a := s.start(ctx, j.task.Body, 0, false)
	for {
		close(a.turn)
		next := s.await(ctx, a)
		f := a.failure
		if f == nil || s.callerErr != nil {
			next.drop()
			return f
		}
		if next != nil && s.forwarded.Load() && !j.pool.config().Resume {
			// The attempt was started before the first event was forwarded.
			next.drop()
			next = nil
		}
		if next == nil {
			body, firstToken, ok := s.nextRequest()
			if !ok {
				f.err.Detail += "; the stream cannot be resumed"
				return f
			}
			if !j.awaitRetry(ctx, f) {
				return f
			}
			next = s.start(ctx, body, firstToken, false)
		}
		if s.forwarded.Load() {
			j.pool.counts.resumedStreams.Inc()
		}
		a = next
	}
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
func (s *stream) forward(ctx context.Context, c core.Call, a *streamAttempt, ev core.Event) error {
	p, w := s.job.pool, a.watch
	if err := p.checkEcho(c, ev.CallID, false); err != nil {
		return err
	}
	w.recordEvent(func(elapsed time.Duration) {
		if call, ok := ctx.Value(inFlightCallKey{}).(*inFlightCall); ok {
			call.answering.Store(true)
		}
		p.observeFirstEvent(c.Endpoint.ID, elapsed)
	})
	if w.hasLeft() {
		return errStalled
	}
	var t tokenEvent
	if err := json.Unmarshal(ev.Data, &t); err != nil {
		return &core.Error{Kind: core.Upstream, Step: c.Stage, Peer: string(c.Endpoint.ID), Ran: core.RanUnknown, Detail: "a stream event is not valid", Err: err}
	}
	index, isToken := a.nextToken, t.Index != nil || len(t.Choices) > 0
	if t.Index != nil {
		index = *t.Index
	}
	if index > int(s.nextToken.Load()) {
		p.counts.countDropped("gap")
		return &core.Error{Kind: core.Upstream, Step: c.Stage, Peer: string(c.Endpoint.ID), Ran: core.RanUnknown, Detail: "tokens of the stream are missing"}
	}
	if err := a.awaitTurn(ctx); err != nil {
		return err
	}
	if isToken {
		a.nextToken = index + 1
		if index < int(s.nextToken.Load()) {
			p.counts.repeatedTokens.Inc()
			return nil
		}
		s.nextToken.Add(1)
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

// nextRequest returns the request body of another attempt and the index of its first
// token. ok is false if the stream cannot be resumed.
func (s *stream) nextRequest() (body []byte, firstToken int, ok bool) {
	if !s.forwarded.Load() {
		return s.job.task.Body, 0, true
	}
	var fields map[string]json.RawMessage
	if !s.job.pool.config().Resume || json.Unmarshal(s.job.task.Body, &fields) != nil || fields == nil {
		return nil, 0, false
	}
	firstToken = resumeFrom(int(s.nextToken.Load()), fields["max_tokens"])
	fields["resume_from"] = json.RawMessage(strconv.Itoa(firstToken))
	body, err := json.Marshal(fields)
	return body, firstToken, err == nil
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
