package httpapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"eelgrassgrade/gen/callers"
	"eelgrassgrade/internal/app/gateway"
)

// streamFormat formats the events of a streamed answer.
type streamFormat interface {
	// delta returns the data of the event for a chunk of text.
	delta(c gateway.Caller, pipeline, text string) any
	// lastEvents returns the data of the events that follow the last chunk of a
	// complete answer.
	lastEvents(c gateway.Caller, pipeline string, a *gateway.PipelineAnswer) []any
	// endMark returns the data of the end-of-stream event.
	endMark() string
}

type pipelineFormat struct{}

type textDelta struct {
	Text string `json:"text"`
}

func (pipelineFormat) delta(_ gateway.Caller, _, text string) any { return textDelta{text} }

func (pipelineFormat) lastEvents(c gateway.Caller, pipeline string, a *gateway.PipelineAnswer) []any {
	return []any{pipelineAnswer{string(c.Request), pipeline, a.Output, a.Documents, a.Usage}}
}

func (pipelineFormat) endMark() string { return "[DONE]" }

// streamBody writes a streamed answer. It receives chunks of text through a bounded
// channel, so that a slow reader slows the pipeline down.
type streamBody struct {
	ctx        context.Context
	cancel     context.CancelFunc
	chunks     chan string
	firstChunk string
	result     chan streamResult
	format     streamFormat
	caller     gateway.Caller
	pipeline   string
}

type streamResult struct {
	answer *gateway.PipelineAnswer
	err    error
}

const (
	// maxBufferedChunks is the number of chunks buffered for a slow reader.
	maxBufferedChunks = 64
	// writeTimeout bounds a write to a caller that reads no data.
	writeTimeout = 10 * time.Second
)

// startStream starts the pipeline and waits for its first chunk of text, so that a
// request that fails before it is answered with an error status.
func (s *service) startStream(ctx context.Context, c gateway.Caller, req gateway.PipelineRequest, format streamFormat) (*callers.RawAnswer, io.ReadCloser, error) {
	runCtx, cancel := context.WithCancel(ctx)
	b := &streamBody{ctx: ctx, cancel: cancel, chunks: make(chan string, maxBufferedChunks), result: make(chan streamResult, 1), format: format, caller: c, pipeline: req.Pipeline}
	go func() {
		a, err := s.gateway.RunPipeline(runCtx, c, req, func(text string) error {
			select {
			case b.chunks <- text:
				return nil
			case <-runCtx.Done():
				return runCtx.Err()
			}
		})
		b.result <- streamResult{a, err}
		close(b.chunks)
	}()
	first, ok := <-b.chunks
	if !ok {
		r := <-b.result
		if r.err != nil {
			cancel()
			return nil, nil, Problem(ctx, r.err)
		}
		b.result <- r
	}
	b.firstChunk = first
	return &callers.RawAnswer{RequestID: string(c.Request), ContentType: "text/event-stream"}, b, nil
}

// Read implements io.Reader; the server uses WriteTo.
func (b *streamBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Close implements io.Closer. It cancels the pipeline if it still runs.
func (b *streamBody) Close() error {
	b.cancel()
	return nil
}

// WriteTo implements io.WriterTo.
func (b *streamBody) WriteTo(w io.Writer) (int64, error) {
	events := &eventWriter{w: w}
	if rw, ok := w.(http.ResponseWriter); ok {
		events.controller = http.NewResponseController(rw)
	}
	if b.firstChunk != "" {
		events.writeData(b.format.delta(b.caller, b.pipeline, b.firstChunk))
	}
	for text := range b.chunks {
		events.writeData(b.format.delta(b.caller, b.pipeline, text))
	}
	b.finish(events, <-b.result)
	return events.written, events.err
}

func (b *streamBody) finish(events *eventWriter, r streamResult) {
	if r.err != nil {
		events.writeEvent("error", newProblemBody(Problem(b.ctx, r.err)))
		return
	}
	for _, d := range b.format.lastEvents(b.caller, b.pipeline, r.answer) {
		events.writeData(d)
	}
	events.writeRaw("data: " + b.format.endMark() + "\n\n")
}

// eventWriter writes server-sent events and keeps the first error.
type eventWriter struct {
	w io.Writer
	// controller is nil if w is not an http.ResponseWriter.
	controller *http.ResponseController
	written    int64
	err        error
}

func (e *eventWriter) writeData(v any) {
	b, err := json.Marshal(v)
	if err != nil && e.err == nil {
		e.err = err
	}
	e.writeRaw("data: " + string(b) + "\n\n")
}

func (e *eventWriter) writeEvent(name string, v any) {
	e.writeRaw("event: " + name + "\n")
	e.writeData(v)
}

func (e *eventWriter) writeRaw(s string) {
	if e.err != nil {
		return
	}
	if e.controller != nil {
		// The write fails, which ends the connection, if the caller reads nothing
		// for this long. Writers in tests may not support deadlines; the error is
		// ignored for them.
		_ = e.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	n, err := io.WriteString(e.w, s)
	e.written += int64(n)
	e.err = err
	if err == nil && e.controller != nil {
		e.err = e.controller.Flush()
	}
}
