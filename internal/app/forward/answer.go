package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"eelgrassgrade/internal/app/holding"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
	"eelgrassgrade/internal/decide/clients"
	"eelgrassgrade/internal/decide/health"
	"eelgrassgrade/internal/decide/placement"
	"eelgrassgrade/internal/decide/quarantine"
)

const (
	// maxBufferedAnswerBytes bounds the part of an answer that is buffered. A longer
	// answer is relayed as it arrives: a faulty endpoint may send without end, and a
	// daemon has about 100 MB for all its requests.
	maxBufferedAnswerBytes = 512 << 10
	// freeAnswerBytes is the part of an answer whose memory is not counted by itself.
	freeAnswerBytes = 32 << 10
	// reachabilityTimeout bounds the connection attempt that tells whether an endpoint
	// that failed is down.
	reachabilityTimeout = 250 * time.Millisecond
)

// handleWholeAnswer handles an answer that is not a stream. It buffers the answer up
// to maxBufferedAnswerBytes, so that a failure can still be retried.
func (f *Forwarder) handleWholeAnswer(ctx context.Context, rs *requestState, e core.Endpoint, w http.ResponseWriter, a *Answer, startTime time.Time) error {
	if a.NotStarted {
		f.tracker.observe(rs.pool, e.ID, health.Sample{}, false)
		kind := core.Unavailable
		if a.InputsGone {
			kind = core.Conflict
		}
		return &core.Error{Kind: kind, Step: "endpoint", Peer: string(e.ID), Ran: core.RanNot, RetryAfter: 300 * time.Millisecond, Detail: "the endpoint did not start the request: status " + strconv.Itoa(a.Status)}
	}
	switch {
	case rs.answerStarted:
		// The caller has part of a stream, and only a stream can continue it.
		return &core.Error{Kind: core.Upstream, Step: "resume", Peer: string(e.ID), Ran: core.RanYes, Detail: "the endpoint did not resume the stream: status " + strconv.Itoa(a.Status) + ", content type " + strconv.Quote(a.Header.Get("Content-Type"))}
	case !a.Genuine:
		return f.recordBrokenAnswer(ctx, rs, e, a, startTime, time.Time{}, &core.Error{Kind: core.Upstream, Step: "answer", Peer: string(e.ID), Detail: "the answer is not marked as the endpoint's answer to this request"})
	}
	body, long, hold, err := f.bufferAnswer(rs, a)
	defer hold.Release()
	if err != nil {
		return f.recordBrokenAnswer(ctx, rs, e, a, startTime, time.Time{}, &core.Error{Kind: core.Upstream, Step: "answer", Peer: string(e.ID), Detail: "the endpoint's answer ended early", Err: err})
	}
	if !long && f.crashedAtEnd(ctx, rs, a) {
		return f.recordBrokenAnswer(ctx, rs, e, a, startTime, time.Time{}, crashedAtEndError(e.ID, "answer"))
	}
	ok := a.Status < http.StatusInternalServerError
	if long {
		if err := f.deliverUnbuffered(ctx, rs, w, a, body); err != nil {
			return f.recordBrokenAnswer(ctx, rs, e, a, startTime, time.Time{}, err)
		}
	}
	f.tracker.observe(rs.pool, e.ID, health.Sample{OK: ok, Kind: health.Unary, Elapsed: f.now().Sub(startTime)}, false)
	if long {
		return nil
	}
	if !ok && rs.route.Repeat == catalog.Repeatable && rs.outcome.Attempts < rs.route.Attempts && f.now().Add(minRemaining).Before(rs.deadline) {
		failure := &core.Error{Kind: core.Upstream, Step: "answer", Peer: string(e.ID), Ran: core.RanYes, Detail: "the endpoint answered with a server error: status " + strconv.Itoa(a.Status)}
		budget := f.budget.Take(rs.pool, 1)
		f.events.RetryDecided(rs.req, rs.pool, "failed and may run again", budget.Allowed, &budget, failure)
		if budget.Allowed {
			return f.retryFailedAnswer(ctx, rs, w, a, body)
		}
	}
	f.stopStates.ended(rs.route.Name, f.now(), f.now().Sub(startTime))
	f.latencies.observeWholeAnswer(rs.route.Name, f.now().Sub(startTime))
	if ok {
		f.contents.RecordSuccess(rs.fingerprint)
	}
	if a.Status < http.StatusMultipleChoices {
		// An endpoint may answer with a failure before it looks at the prompt.
		f.parts.RecordSound(rs.parts, startTime)
	}
	f.deliverBuffered(rs, w, a, body)
	return nil
}

// bufferAnswer reads an answer up to maxBufferedAnswerBytes, or up to freeAnswerBytes if
// there is no memory for more. It reports whether the answer is longer.
func (f *Forwarder) bufferAnswer(rs *requestState, a *Answer) (body []byte, long bool, hold *holding.Hold, err error) {
	body, err = io.ReadAll(io.LimitReader(a.Body, freeAnswerBytes+1))
	if err != nil || len(body) <= freeAnswerBytes {
		return body, false, nil, err
	}
	hold, room := f.memory.Take(clients.Ask{Kind: clients.Answer, Bytes: maxBufferedAnswerBytes, Rank: rs.rank, Account: rs.account})
	if !room.Allowed {
		return body, true, nil, nil
	}
	rest, err := io.ReadAll(io.LimitReader(a.Body, int64(maxBufferedAnswerBytes+1-len(body))))
	body = append(body, rest...)
	return body, len(body) > maxBufferedAnswerBytes, hold, err
}

// retryFailedAnswer sends a request whose endpoint answered with a server error to
// another endpoint. If that fails too, the caller gets the first answer.
func (f *Forwarder) retryFailedAnswer(ctx context.Context, rs *requestState, w http.ResponseWriter, a *Answer, body []byte) error {
	var candidates []placement.Candidate
	if f.partsError(rs) == nil {
		candidates = f.pickEndpoint(ctx, rs, map[core.InstanceID]bool{rs.outcome.Endpoint: true})
	}
	if len(candidates) > 0 {
		rs.outcome.Attempts++
		rs.outcome.Endpoint = candidates[0].Endpoint.ID
		s := &streamRelay{forwarder: f, state: rs, w: w, tried: map[core.InstanceID]bool{}}
		next := f.newAttempt(ctx, s, candidates, rs.outcome.Attempts)
		next.send()
		if err := f.finishAttempt(ctx, next, s); err == nil || rs.answerStarted {
			return err
		}
	}
	f.deliverBuffered(rs, w, a, body)
	return nil
}

// deliverBuffered sends a buffered answer to the caller.
func (f *Forwarder) deliverBuffered(rs *requestState, w http.ResponseWriter, a *Answer, body []byte) {
	rs.releaseBody()
	for k, v := range a.Header {
		w.Header()[k] = v
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	rs.req.InProgress.Enter(PhaseStream)
	rs.outcome.Status = a.Status
	rs.outcome.FirstByte = f.now().Sub(rs.req.Arrived)
	w.WriteHeader(a.Status)
	if _, err := w.Write(body); err != nil {
		rs.outcome.Cut = true
	}
}

// deliverUnbuffered relays an answer that is too long to buffer. buffered is the part
// that was already read. After an error the answer is incomplete, and the connection
// to the caller must be closed.
func (f *Forwarder) deliverUnbuffered(ctx context.Context, rs *requestState, w http.ResponseWriter, a *Answer, buffered []byte) *core.Error {
	for k, v := range a.Header {
		w.Header()[k] = v
	}
	if a.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	rs.req.InProgress.Enter(PhaseStream)
	f.stopStates.answering(rs)
	rs.answerStarted, rs.outcome.Status, rs.outcome.FirstByte = true, a.Status, f.now().Sub(rs.req.Arrived)
	rs.releaseBody()
	w.WriteHeader(a.Status)
	if _, err := w.Write(buffered); err != nil {
		return &core.Error{Kind: core.Internal, Step: "caller", Ran: core.RanYes, Detail: "writing the answer to the caller failed", Err: err}
	}
	if _, err := io.Copy(w, fairReader{a.Body}); err != nil {
		return &core.Error{Kind: core.Upstream, Step: "answer", Peer: string(rs.outcome.Endpoint), Ran: core.RanYes, Detail: "the endpoint's answer ended early", Err: err}
	}
	if f.crashedAtEnd(ctx, rs, a) {
		return crashedAtEndError(rs.sentTo.ID, "answer")
	}
	return nil
}

// crashedAtEnd reports whether the connection that ends an answer may have been closed
// because the endpoint ended, which looks like an orderly close. Only a run that goes on
// has closed it itself: a process accepts connections at the endpoint's address, and the
// list names no other run there. It does not matter whether the endpoint is leaving: one
// that leaves may be killed before it has ended its answers. The body of a has been read to
// its end.
func (f *Forwarder) crashedAtEnd(ctx context.Context, rs *requestState, a *Answer) bool {
	if a.Framing != FramedByClose {
		return false
	}
	if f.replacedSince(rs) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, reachabilityTimeout)
	defer cancel()
	return f.endpoints.Reachable(ctx, rs.sentTo) == Refusing
}

// replacedSince reports whether the list names another run at the address of the endpoint
// that a request was sent to: of the same endpoint, or of another one after that has left.
func (f *Forwarder) replacedSince(rs *requestState) bool {
	listed := f.view().ByID
	if e, ok := listed[rs.sentTo.ID]; ok {
		return quarantine.RunOf(e.ID, e.StartedMs) != rs.endpointRun
	}
	for _, e := range listed {
		if e.Address == rs.sentTo.Address {
			return true
		}
	}
	return false
}

// crashedAtEndError is the error of an answer for which crashedAtEnd is true.
func crashedAtEndError(id core.InstanceID, step string) *core.Error {
	return &core.Error{Kind: core.Upstream, Step: step, Peer: string(id), Detail: "the endpoint ended together with the connection that marks the end of its answer", Err: io.ErrUnexpectedEOF}
}
