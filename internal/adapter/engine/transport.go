// Package engine calls model engines, stage endpoints and plain services over
// HTTP, with server-sent events for streams.
package engine

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/tmaxmax/go-sse"

	"eelgrassgrade/internal/app/dispatch"
	"eelgrassgrade/internal/app/holding"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/httplimit"
	"eelgrassgrade/internal/resetconn"
)

const (
	// CallHeader identifies a call by its request, stage and attempt. Endpoints
	// echo it in their answers.
	CallHeader = "X-Eelgrass-Call"

	dialTimeout           = 500 * time.Millisecond
	idleConnTimeout       = 60 * time.Second
	maxIdlePerEndpoint    = 32
	defaultMaxAnswerBytes = 8 << 20
	maxEventBytes         = 1 << 20
)

var (
	_ dispatch.Transport = (*Transport)(nil)
	_ dispatch.Dialer    = (*Transport)(nil)
)

// Transport sends calls to endpoints. It is safe for concurrent use.
type Transport struct {
	client *http.Client
	scheme string
	// memory is the account of answers that have begun to arrive.
	memory *holding.Memory
}

// DialTLS dials a TLS connection to an endpoint.
type DialTLS func(ctx context.Context, network, addr string) (net.Conn, error)

// New returns a Transport. If dialTLS is nil, calls are sent in plain text.
func New(dialTLS DialTLS) *Transport {
	scheme := "http"
	if dialTLS != nil {
		scheme = "https"
	}
	transport := &http.Transport{
		DialContext:            guarded((&net.Dialer{Timeout: dialTimeout}).DialContext),
		MaxIdleConnsPerHost:    maxIdlePerEndpoint,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: httplimit.MaxHeadBytes,
	}
	if dialTLS != nil {
		transport.DialTLSContext = guarded(dialTLS)
	}
	return &Transport{scheme: scheme, memory: newAnswerMemory(unfinishedAnswersBytes), client: &http.Client{
		Transport:     headTracer{transport},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// guarded returns a dialer of connections on which the heads of responses are bounded and a
// reset is no orderly end.
func guarded(dial DialTLS) DialTLS {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return httplimit.NewConn(resetconn.New(conn)), nil
	}
}

// headTracer tells connections where the response to each request begins.
type headTracer struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t headTracer) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.next.RoundTrip(r.WithContext(httplimit.WithTrace(r.Context())))
}

// attempt tracks whether the request got a connection. Before that, no byte of it
// can have reached the endpoint.
type attempt struct {
	call      core.Call
	connected atomic.Bool
}

// newError returns an error that says whether the call may have run.
func (a *attempt) newError(kind core.Kind, detail string, err error) *core.Error {
	ran := core.RanUnknown
	if !a.connected.Load() {
		ran = core.RanNot
	}
	return &core.Error{Kind: kind, Step: a.call.Stage, Peer: string(a.call.Endpoint.ID), Ran: ran, Detail: detail, Err: err}
}

func (t *Transport) send(ctx context.Context, c core.Call, accept string) (*http.Response, *attempt, error) {
	a := &attempt{call: c}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) }})
	method := c.Method
	if method == "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, t.scheme+"://"+c.Endpoint.Address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, a, a.newError(core.Internal, "the call cannot be built", err)
	}
	// Without GetBody net/http cannot resend the body, which it would otherwise do
	// by itself for requests with an Idempotency-Key.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", accept)
	req.Header.Set(CallHeader, c.ID())
	for k, v := range c.Header {
		req.Header.Set(k, v)
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return nil, a, a.newError(errorKind(ctx), errorDetail(ctx), a.classify(ctx, err))
	}
	if !validStatus(resp) {
		resp.Body.Close()
		return nil, a, a.newError(core.Upstream, fmt.Sprintf("the answer's status %03d is none", resp.StatusCode), nil)
	}
	return resp, a, nil
}

// validStatus reports whether a response has a status that ends a request. net/http returns
// statuses below 100 as they are, and 101 without having asked for another protocol.
func validStatus(resp *http.Response) bool { return resp.StatusCode >= http.StatusOK }

// classify marks an error as a refused or a cut connection, where it is one.
func (a *attempt) classify(ctx context.Context, err error) error {
	switch {
	case ctx.Err() != nil:
		return err
	case errors.Is(err, syscall.ECONNREFUSED):
		return fmt.Errorf("%w: %w", dispatch.ErrConnectionRefused, err)
	case a.connected.Load() && isConnectionCut(err):
		return fmt.Errorf("%w: %w", dispatch.ErrConnectionCut, err)
	default:
		return err
	}
}

func isConnectionCut(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Dial implements dispatch.Dialer.
func (t *Transport) Dial(ctx context.Context, e core.Endpoint) error {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", e.Address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", dispatch.ErrConnectionRefused, err)
	}
	if err != nil {
		return err
	}
	return conn.Close()
}

func errorKind(ctx context.Context) core.Kind {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return core.DeadlineExceeded
	}
	return core.Upstream
}

func errorDetail(ctx context.Context) string {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return "the deadline passed before the endpoint answered"
	case ctx.Err() != nil:
		return "the call was cancelled"
	default:
		return "the connection to the endpoint failed"
	}
}

// Do implements dispatch.Transport.
func (t *Transport) Do(ctx context.Context, c core.Call) (core.Result, error) {
	start := time.Now()
	resp, a, err := t.send(ctx, c, "application/json")
	if err != nil {
		return core.Result{}, err
	}
	defer resp.Body.Close()
	limit := c.MaxAnswerBytes
	if limit == 0 {
		limit = defaultMaxAnswerBytes
	}
	body, err := readAnswer(t.memory, resp.Body, resp.ContentLength, limit)
	if err != nil {
		return core.Result{}, a.readError(errorKind(ctx), "the answer was cut", a.classify(ctx, err))
	}
	if int64(len(body)) > limit {
		return core.Result{}, a.newError(core.Upstream, "the answer is larger than the limit for this call", nil)
	}
	return core.Result{Status: resp.StatusCode, CallID: resp.Header.Get(CallHeader), AnnouncedBytes: resp.ContentLength, Body: body, ContentType: resp.Header.Get("Content-Type"), Elapsed: time.Since(start)}, nil
}

// Stream implements dispatch.Transport. A complete stream ends with an event whose
// data is "[DONE]".
func (t *Transport) Stream(ctx context.Context, c core.Call, emit func(core.Event) error) error {
	resp, a, err := t.send(ctx, c, "text/event-stream")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return a.newError(core.Upstream, "the endpoint answered with an error status", &dispatch.StatusError{Status: resp.StatusCode, Call: resp.Header.Get(CallHeader)})
	}
	body := &eventBody{Reader: resp.Body, memory: t.memory}
	defer body.endEvent()
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return a.readError(errorKind(ctx), "the stream was cut", a.classify(ctx, err))
		}
		body.endEvent()
		if ev.Data == "[DONE]" {
			return nil
		}
		if err := emit(core.Event{CallID: resp.Header.Get(CallHeader), Data: []byte(ev.Data)}); err != nil {
			return err
		}
	}
	return a.newError(errorKind(ctx), "the stream ended without its end mark", a.classify(ctx, io.ErrUnexpectedEOF))
}
