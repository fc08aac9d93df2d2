package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
	"eelgrassgrade/internal/decide/clients"
)

const (
	readBufferSize = 16 << 10
	// A stream that may be resumed has stalled if no event arrives for stallGapFactor
	// times the route's gap target, or for minStallTimeout if that is longer. It then
	// goes on at another endpoint if one can take it, see mayMove.
	stallGapFactor  = 6
	minStallTimeout = 1500 * time.Millisecond
	// If a timer fires late by processPauseThreshold or more, this process was paused
	// rather than busy. It then has processPauseGrace to read what the endpoint sent during
	// the pause.
	processPauseThreshold = 200 * time.Millisecond
	processPauseGrace     = 300 * time.Millisecond
	// If burstEvents events arrive at once after a pause of burstGap, they were delayed
	// on the way, since an engine produces them one by one. A lost packet, for
	// instance, is retransmitted after 200 ms.
	burstEvents = 3
	burstGap    = 100 * time.Millisecond
)

// streamRelay relays the events of a stream to the caller. If the route allows it, the
// stream continues on another endpoint after a failure.
type streamRelay struct {
	forwarder *Forwarder
	state     *requestState
	w         http.ResponseWriter
	// onFirstEvent is called when the first data of an endpoint arrives.
	onFirstEvent func()
	// onSettled is called once when data arrives settleTime or more after an endpoint's
	// first data. It may be nil.
	onSettled func()
	// lastEventID is the ID of the last event that was sent to the caller.
	lastEventID string
	// tried holds the endpoints that the request was sent to, possibleRuns the number of
	// those before the present one that may have run it.
	tried        map[core.InstanceID]bool
	possibleRuns int
	// mayMove reports whether the stream, which has stalled, goes on at another endpoint.
	// moves is set if so, stayReported once it was decided for the present endpoint.
	mayMove             func(context.Context) bool
	moves, stayReported bool
	// prepare starts a preparation; preparing is the one in progress, or nil.
	prepare   func() *preparation
	preparing *preparation
	// unusedRuns counts the preparations whose results no endpoint got. abandoned is closed
	// when one that was given up has ended; nil if there is none.
	unusedRuns int
	abandoned  <-chan struct{}
	// startNext sends the request to the next endpoint while the present one may go on, and
	// returns nil if that one does not take it. next is the attempt with which the stream has
	// left its endpoint; nil if there is none.
	startNext func() *attempt
	next      *attempt
	// chunks is what the present endpoint sends. arrived holds what was read of it while the
	// next endpoint was asked.
	chunks  <-chan chunk
	arrived []chunk
	// spareRetry is set if a retry was taken for the case that the next endpoint refuses the
	// stream after it has left the one before.
	spareRetry bool
	// refusals counts the endpoints that did not take the stream over.
	refusals int
	// left is the endpoint that the stream has left for its silence; empty if there is none
	// or it got the request again.
	left core.InstanceID
}

// chunk is what one read of an answer's body returned.
type chunk struct {
	data []byte
	err  error
}

// relay copies the events of one endpoint's answer to the caller.
func (s *streamRelay) relay(ctx context.Context, a *Answer) *core.Error {
	// Data is relayed as it arrives. If the stream may be resumed, only whole events
	// are relayed, since an endpoint may fail in the middle of one.
	resumable := s.state.route.Repeat == catalog.Resumable
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	chunks := readChunks(ctx, fairReader{a.Body})
	s.arrived = nil
	buffer := eventBuffer{memory: s.forwarder.memory, ask: clients.Ask{Kind: clients.Answer, Rank: s.state.rank, Account: s.state.account}}
	defer buffer.release()
	resumed := s.lastEventID != "" || s.state.req.ResumeAfter != ""
	var ending eventEnding
	firstSeen := false
	var firstReadAt, lastReadAt time.Time
	settled := s.onSettled == nil
	// lastEventAt is when the last event was sent to the caller. Comments and parts of
	// events don't count: an endpoint that sends nothing else has stalled too.
	lastEventAt := s.forwarder.now()
	for {
		c, ok := s.nextChunk(ctx, chunks, resumable, lastEventAt)
		if !ok {
			return s.streamError("the endpoint sent no event within the stall timeout", nil)
		}
		now := s.forwarder.now()
		if len(c.data) > 0 && !firstSeen {
			firstSeen, firstReadAt = true, now
			s.onFirstEvent()
		} else if firstSeen {
			s.state.outcome.LongestGap = max(s.state.outcome.LongestGap, now.Sub(lastReadAt))
			if now.Sub(lastReadAt) >= burstGap && bytes.Count(c.data, []byte("\nid:")) >= burstEvents-1 {
				s.state.outcome.EventBursts++
			}
		}
		lastReadAt = now
		if !settled && firstSeen && c.err == nil && now.Sub(firstReadAt) >= settleTime {
			settled = true
			s.onSettled()
		}
		data := c.data
		if resumable {
			var ok bool
			if data, ok = buffer.add(c.data); !ok {
				return s.streamError("an event is larger than the limit for one event", nil)
			}
			s.state.withinEvent = buffer.withinEvent()
		}
		ending.add(c.data)
		whole := ending.complete() && (firstSeen || resumed)
		if err := s.write(a, data, c.err == io.EOF && whole); err != nil {
			return err
		}
		if findLastEventID(data) != "" {
			lastEventAt = s.forwarder.now()
			s.stay()
		}
		switch {
		case c.err == io.EOF && !whole:
			// An answer without a length ends with its connection, also if its endpoint
			// fails. Only a resumed stream may have no event left.
			return s.streamError("the endpoint's stream ended before or within an event", io.ErrUnexpectedEOF)
		case c.err == io.EOF && s.forwarder.crashedAtEnd(ctx, s.state, a):
			return crashedAtEndError(s.state.outcome.Endpoint, "stream")
		case c.err == io.EOF:
			return nil
		case c.err != nil:
			return s.streamError("the endpoint's stream ended early", c.err)
		}
	}
}

// nextChunk waits for the next chunk. It returns false if the stream may be resumed, has
// stalled since lastEventAt, when the last event was sent to the caller, and goes on at
// another endpoint.
func (s *streamRelay) nextChunk(ctx context.Context, chunks <-chan chunk, resumable bool, lastEventAt time.Time) (chunk, bool) {
	s.chunks = chunks
	if !resumable {
		// When ctx ends, readChunks stops without sending a chunk.
		select {
		case c := <-chunks:
			return c, true
		case <-ctx.Done():
			return chunk{err: ctx.Err()}, true
		}
	}
	stallTimeout := max(stallGapFactor*s.state.route.GapTarget, minStallTimeout)
	if s.lastEventID == "" {
		// Before its first event the endpoint also has to read the prompt.
		stallTimeout = max(stallTimeout, s.state.targetStart.Sub(s.forwarder.now()))
	}
	stallAt := lastEventAt.Add(stallTimeout)
	t := time.NewTimer(stallAt.Sub(s.forwarder.now()))
	defer t.Stop()
	for {
		if len(s.arrived) > 0 {
			c := s.arrived[0]
			s.arrived = s.arrived[1:]
			return c, true
		}
		select {
		case c := <-chunks:
			return c, true
		case <-s.preparing.ready():
			select {
			case c := <-chunks:
				return c, true
			default:
			}
			if s.finishMove(ctx) {
				return chunk{}, false
			}
		case <-t.C:
			select {
			case c := <-chunks:
				return c, true
			default:
			}
			now := s.forwarder.now()
			wait := stallRecheck
			switch {
			case s.preparing != nil:
			case now.Sub(stallAt) >= processPauseThreshold:
				wait = processPauseGrace
			case s.mayMove(ctx) && s.startMove():
				return chunk{}, false
			}
			stallAt = now.Add(wait)
			t.Reset(wait)
		case <-ctx.Done():
			return chunk{err: ctx.Err()}, true
		}
	}
}

// readChunks reads a body into the returned channel until a read fails, with io.EOF at
// the end, or until ctx ends.
func readChunks(ctx context.Context, body io.Reader) <-chan chunk {
	chunks := make(chan chunk)
	go func() {
		buf := make([]byte, readBufferSize)
		for {
			n, err := body.Read(buf)
			select {
			case chunks <- chunk{append([]byte(nil), buf[:n]...), err}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return chunks
}

// write sends data to the caller, preceded by the status and header of a if the answer
// has not started yet. eof says that the stream ends after data.
func (s *streamRelay) write(a *Answer, data []byte, eof bool) *core.Error {
	rs := s.state
	if len(data) == 0 && !eof {
		return nil
	}
	if !rs.answerStarted {
		for k, v := range a.Header {
			s.w.Header()[k] = v
		}
		rs.answerStarted = true
		rs.req.InProgress.Enter(PhaseStream)
		s.forwarder.stopStates.answering(rs)
		rs.outcome.Status, rs.contentType = a.Status, a.Header.Get("Content-Type")
		rs.outcome.FirstByte = s.forwarder.now().Sub(rs.req.Arrived)
		s.w.WriteHeader(a.Status)
	}
	if id := findLastEventID(data); id != "" {
		s.lastEventID = id
	}
	if _, err := s.w.Write(data); err != nil {
		return &core.Error{Kind: core.Internal, Step: "caller", Ran: core.RanYes, Detail: "writing the answer to the caller failed", Err: err}
	}
	if fl, ok := s.w.(http.Flusher); ok {
		fl.Flush()
	}
	return nil
}

// cannotContinue reports whether an answer is no continuation of the stream that the caller
// has begun to get: some endpoints mark the text of an error as a success.
func (rs *requestState) cannotContinue(a *Answer) bool {
	return rs.answerStarted && a.Header.Get("Content-Type") != rs.contentType
}

// streamError returns the error of a stream that failed at its present endpoint.
func (s *streamRelay) streamError(detail string, err error) *core.Error {
	return &core.Error{Kind: core.Upstream, Step: "stream", Peer: string(s.state.outcome.Endpoint), Detail: detail, Err: err}
}

// eventEnding holds the last bytes of a stream, which tell whether it ends with a whole
// event.
type eventEnding struct{ tail []byte }

func (e *eventEnding) add(data []byte) {
	const longest = len("\r\n\r\n")
	e.tail = append(e.tail, data[max(len(data)-longest, 0):]...)
	e.tail = append([]byte(nil), e.tail[max(len(e.tail)-longest, 0):]...)
}

// complete reports whether the stream is empty or ends with a whole event.
func (e *eventEnding) complete() bool {
	return len(e.tail) == 0 || endOfLastEvent(e.tail) == len(e.tail)
}

// endOfLastEvent returns the length of data up to the end of the last whole event.
func endOfLastEvent(data []byte) int {
	n := 0
	for _, sep := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(data, sep); i >= 0 {
			n = max(n, i+len(sep))
		}
	}
	return n
}

// findLastEventID returns the last event ID in data, or "".
func findLastEventID(data []byte) string {
	i := bytes.LastIndex(data, []byte("id:"))
	for i > 0 && data[i-1] != '\n' {
		i = bytes.LastIndex(data[:i], []byte("id:"))
	}
	if i < 0 {
		return ""
	}
	line := data[i+len("id:"):]
	if j := bytes.IndexAny(line, "\r\n"); j >= 0 {
		line = line[:j]
	}
	return string(bytes.TrimSpace(line))
}
