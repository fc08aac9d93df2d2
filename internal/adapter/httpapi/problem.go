package httpapi

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/juju/errors"
	goahttp "goa.design/goa/v3/http"

	"eelgrassgrade/gen/callers"
	"eelgrassgrade/internal/core"
)

// Status returns the HTTP status of an error kind.
func Status(k core.Kind) int {
	switch k {
	case core.Invalid:
		return http.StatusBadRequest
	case core.Unauthorized:
		return http.StatusUnauthorized
	case core.Forbidden:
		return http.StatusForbidden
	case core.NotFound:
		return http.StatusNotFound
	case core.Conflict:
		return http.StatusConflict
	case core.TooLarge:
		return http.StatusRequestEntityTooLarge
	case core.Mismatch, core.Quarantined:
		return http.StatusUnprocessableEntity
	case core.RateLimited:
		return http.StatusTooManyRequests
	case core.Upstream:
		return http.StatusBadGateway
	case core.Unavailable:
		return http.StatusServiceUnavailable
	case core.DeadlineExceeded:
		return http.StatusGatewayTimeout
	default:
		return http.StatusInternalServerError
	}
}

// Problem turns err into the problem document of the caller API.
func Problem(ctx context.Context, err error) *callers.Problem {
	e := core.AsError(err, "request")
	status := Status(e.Kind)
	p := &callers.Problem{
		Name: e.Kind.String(), Type: "urn:eelgrassgrade:problem:" + e.Kind.String(), Title: http.StatusText(status),
		Status: status, Detail: e.Detail, RequestID: string(requestID(ctx)), Step: e.Step, Peer: e.Peer, Ran: e.Ran.String(),
	}
	if e.RetryAfter > 0 {
		ms := e.RetryAfter.Milliseconds()
		seconds := strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds())))
		p.RetryAfterMs, p.RetryAfter = &ms, &seconds
	}
	return p
}

// problemBody is the JSON form of a problem document.
type problemBody struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail"`
	RequestID    string `json:"request_id"`
	Step         string `json:"step"`
	Peer         string `json:"peer"`
	Ran          string `json:"ran"`
	RetryAfterMs *int64 `json:"retry_after_ms,omitempty"`
}

// StatusCode implements goahttp.Statuser.
func (p *problemBody) StatusCode() int { return p.Status }

func newProblemBody(p *callers.Problem) *problemBody {
	return &problemBody{p.Type, p.Title, p.Status, p.Detail, p.RequestID, p.Step, p.Peer, p.Ran, p.RetryAfterMs}
}

// FormatError is the error formatter of the goa servers. It turns errors that goa
// finds while it decodes a request into problem documents like all others.
func FormatError(ctx context.Context, err error) goahttp.Statuser {
	var p *callers.Problem
	if errors.As(err, &p) {
		return newProblemBody(p)
	}
	e := &core.Error{Kind: core.Invalid, Step: "decoding", Ran: core.RanNot, Detail: err.Error()}
	return newProblemBody(Problem(ctx, e))
}

// WriteProblem answers the request with err as a problem document.
func WriteProblem(w http.ResponseWriter, r *http.Request, err error) {
	p := Problem(r.Context(), err)
	if p.RetryAfter != nil {
		w.Header().Set("Retry-After", *p.RetryAfter)
	}
	w.WriteHeader(p.Status)
	json.NewEncoder(w).Encode(newProblemBody(p))
}

type requestIDKey struct{}

// WithRequestID gives each request an ID of 26 random characters, returns it in
// the X-Request-Id header, and sets the content type of error answers to problem
// documents.
func WithRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := core.RequestID(rand.Text())
		w.Header().Set("X-Request-Id", string(id))
		next.ServeHTTP(problemWriter{w}, r.WithContext(context.WithValue(r.Context(), requestIDKey{}, id)))
	})
}

func requestID(ctx context.Context) core.RequestID {
	id, _ := ctx.Value(requestIDKey{}).(core.RequestID)
	return id
}

// problemWriter sets the content type of error answers.
type problemWriter struct{ http.ResponseWriter }

// Unwrap gives http.ResponseController access to the wrapped writer.
func (w problemWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w problemWriter) WriteHeader(status int) {
	if status >= http.StatusBadRequest {
		w.Header().Set("Content-Type", "application/problem+json")
	}
	w.ResponseWriter.WriteHeader(status)
}
