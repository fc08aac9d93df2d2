package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
)

const (
	readSize = 16 << 10
	// stallFactor times the longest pause that is still on time, stallBase at
	// least, is when a stream that may be resumed is taken to another endpoint.
	stallFactor = 6
	stallBase   = 1500 * time.Millisecond
	// lateTimer is how late a timer fires where the process was paused, and not only
	// busy. What an endpoint sent meanwhile is read within pauseGrace.
	lateTimer  = 200 * time.Millisecond
	pauseGrace = 300 * time.Millisecond
	// heapEvents events that arrive at once after a pause of heapPause were held up on
	// the way: an engine makes them one by one. A lost packet is sent again after 200 ms.
	heapEvents = 3
	heapPause  = 100 * time.Millisecond
	// maxPartial bounds the part of an event that is kept until its rest comes.
	maxPartial = 1 << 20
)

// stream passes the events of one answer on, over several endpoints if the
// route allows it.
type stream struct {
	f *Forwarder
	x *exchange
	w http.ResponseWriter
	// first is called at the first event of each endpoint.
	first func()
	// last is the ID of the last event that was passed on.
	last string
}

type chunk struct {
	data []byte
	err  error
}

// pass copies the events of an answer to the caller.
func (s *stream) pass(ctx context.Context, a *Answer) *core.Error {
	// Events go on as they come. Where the stream may be resumed, only whole
	// events do, since an endpoint may stop in the middle of one.
	whole := s.x.route.Repeat == catalog.Resumable
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	chunks := read(ctx, a.Body)
	var rest []byte
	seen := false
	var at time.Time
	// event is when the last whole event was passed on. An endpoint that sends bytes
	// or comments now and then and no event has stalled like a silent one.
	event := s.f.now()
	for {
		c, ok := s.next(ctx, chunks, whole, event)
		if !ok {
			return s.broken("no event for too long", nil)
		}
		now := s.f.now()
		if len(c.data) > 0 && !seen {
			seen = true
			s.first()
		} else if seen {
			s.x.out.LongestGap = max(s.x.out.LongestGap, now.Sub(at))
			if now.Sub(at) >= heapPause && bytes.Count(c.data, []byte("\nid:")) >= heapEvents-1 {
				s.x.out.Heaps++
			}
		}
		at = now
		data := c.data
		if whole {
			rest = append(rest, c.data...)
			n := lastEvent(rest)
			if c.err == io.EOF {
				n = len(rest)
			}
			data = append([]byte(nil), rest[:n]...)
			rest = append(rest[:0], rest[n:]...)
			if len(rest) > maxPartial {
				return s.broken("an event is too large", nil)
			}
		}
		if err := s.write(a, data, c.err == io.EOF); err != nil {
			return err
		}
		if lastID(data) != "" {
			event = s.f.now()
		}
		switch {
		case c.err == io.EOF:
			return nil
		case c.err != nil:
			return s.broken("the stream broke off", c.err)
		}
	}
}

// next returns the next chunk, or false if the stream stalls and may be resumed.
// event is when the last whole event was passed on.
func (s *stream) next(ctx context.Context, chunks <-chan chunk, resumable bool, event time.Time) (chunk, bool) {
	if !resumable {
		// The reader of the body ends without a word when ctx has ended.
		select {
		case c := <-chunks:
			return c, true
		case <-ctx.Done():
			return chunk{err: ctx.Err()}, true
		}
	}
	limit := max(stallFactor*s.x.route.GapTarget, stallBase)
	if s.last == "" {
		// The first event also waits for the prompt to be read.
		limit = max(limit, s.x.target.Sub(s.f.now()))
	}
	end := event.Add(limit)
	t := time.NewTimer(end.Sub(s.f.now()))
	defer t.Stop()
	for {
		select {
		case c := <-chunks:
			return c, true
		case <-t.C:
			select {
			case c := <-chunks:
				return c, true
			default:
			}
			now := s.f.now()
			if now.Sub(end) < lateTimer {
				return chunk{}, false
			}
			end = now.Add(pauseGrace)
			t.Reset(pauseGrace)
		case <-ctx.Done():
			return chunk{err: ctx.Err()}, true
		}
	}
}

// read copies a body into a channel until its end or until ctx ends.
func read(ctx context.Context, body io.Reader) <-chan chunk {
	out := make(chan chunk)
	go func() {
		buf := make([]byte, readSize)
		for {
			n, err := body.Read(buf)
			select {
			case out <- chunk{append([]byte(nil), buf[:n]...), err}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return out
}

// write sends bytes to the caller. The head of the answer is that of the first
// endpoint.
func (s *stream) write(a *Answer, data []byte, end bool) *core.Error {
	x := s.x
	if len(data) == 0 && !end {
		return nil
	}
	if !x.started {
		for k, v := range a.Header {
			s.w.Header()[k] = v
		}
		x.started = true
		x.out.Status = a.Status
		x.out.FirstByte = s.f.now().Sub(x.req.Arrived)
		s.w.WriteHeader(a.Status)
	}
	if id := lastID(data); id != "" {
		s.last = id
	}
	if _, err := s.w.Write(data); err != nil {
		return &core.Error{Kind: core.Internal, Step: "caller", Ran: core.RanYes, Detail: "the caller does not read the answer", Err: err}
	}
	if fl, ok := s.w.(http.Flusher); ok {
		fl.Flush()
	}
	return nil
}

func (s *stream) broken(detail string, err error) *core.Error {
	return &core.Error{Kind: core.Upstream, Step: "stream", Peer: string(s.x.out.Endpoint), Detail: detail, Err: err}
}

// lastEvent returns the length of data up to the end of its last whole event.
func lastEvent(data []byte) int {
	n := 0
	for _, sep := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(data, sep); i >= 0 {
			n = max(n, i+len(sep))
		}
	}
	return n
}

// lastID returns the ID of the last event in data, or "".
func lastID(data []byte) string {
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
