// Package httpapi serves the caller API over HTTP.
package httpapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	goahttp "goa.design/goa/v3/http"

	"eelgrassgrade/gen/callers"
	callersserver "eelgrassgrade/gen/http/callers/server"
	"eelgrassgrade/internal/app/gateway"
	"eelgrassgrade/internal/core"
)

// maxBodyBytes bounds the body of a caller's request.
const maxBodyBytes = 1 << 20

var _ callers.Service = (*service)(nil)

type service struct {
	gateway Gateway
}

// Gateway runs authorised requests.
type Gateway interface {
	RunPipeline(ctx context.Context, c gateway.Caller, r gateway.PipelineRequest, emit func(text string) error) (*gateway.PipelineAnswer, error)
	CallService(ctx context.Context, c gateway.Caller, r gateway.ServiceRequest) (*gateway.ServiceAnswer, error)
}

// Handler returns the handler of the caller API. It serves at most maxInProgress
// requests at the same time and refuses further ones without queueing them.
func Handler(g Gateway, maxInProgress int) http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := callers.NewEndpoints(&service{gateway: g})
	srv := callersserver.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, FormatError)
	callersserver.Mount(mux, srv)
	routes := http.NewServeMux()
	for _, m := range srv.Mounts {
		routes.Handle(m.Verb+" "+m.Pattern, mux)
	}
	routes.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		WriteProblem(w, r, &core.Error{Kind: core.NotFound, Step: "routing", Ran: core.RanNot, Detail: "no such path or method"})
	})
	return WithRequestID(limitInProgress(routes, maxInProgress))
}

// limitInProgress refuses requests while limit requests are in progress, and
// bounds request bodies.
func limitInProgress(next http.Handler, limit int) http.Handler {
	slots := make(chan struct{}, limit)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
			next.ServeHTTP(w, r)
		default:
			e := &core.Error{Kind: core.Unavailable, Step: "admission", Ran: core.RanNot, RetryAfter: time.Second,
				Detail: "the daemon has too many requests in progress"}
			if r.Header.Get("Idempotency-Key") != "" && r.Header.Get("Idempotency-Attempt") != "1" {
				// Unless this is the first attempt, an earlier attempt with the same
				// key may have run.
				e.Ran = core.RanUnknown
			}
			WriteProblem(w, r, e)
		}
	})
}

type pipelineRequest struct {
	// Input is required; an empty one is allowed.
	Input     *string `json:"input"`
	MaxTokens int     `json:"max_tokens"`
	Stream    bool    `json:"stream"`
}

type pipelineAnswer struct {
	RequestID string             `json:"request_id"`
	Pipeline  string             `json:"pipeline"`
	Output    string             `json:"output"`
	Documents []gateway.Document `json:"documents"`
	Usage     gateway.Usage      `json:"usage"`
}

// RunPipeline implements callers.Service.
func (s *service) RunPipeline(ctx context.Context, p *callers.RunPipelinePayload, body io.ReadCloser) (*callers.RawAnswer, io.ReadCloser, error) {
	c, err := parseCaller(ctx, p.Authorization, p.Rank, p.DeadlineMs)
	if err != nil {
		return nil, nil, Problem(ctx, err)
	}
	var b pipelineRequest
	if err := decodeBody(body, &b); err != nil {
		return nil, nil, Problem(ctx, err)
	}
	if b.Input == nil {
		return nil, nil, Problem(ctx, invalidRequest(`the body has no "input" field`))
	}
	req := gateway.PipelineRequest{Pipeline: p.Pipeline, Input: *b.Input, MaxTokens: b.MaxTokens}
	if b.Stream || (p.Accept != nil && strings.Contains(*p.Accept, "text/event-stream")) {
		return s.startStream(ctx, c, req, pipelineFormat{})
	}
	a, err := s.gateway.RunPipeline(ctx, c, req, nil)
	if err != nil {
		return nil, nil, Problem(ctx, err)
	}
	return jsonAnswer(c, pipelineAnswer{string(c.Request), p.Pipeline, a.Output, a.Documents, a.Usage})
}

// CallService implements callers.Service.
func (s *service) CallService(ctx context.Context, p *callers.CallServicePayload, body io.ReadCloser) (*callers.RawAnswer, io.ReadCloser, error) {
	c, err := parseCaller(ctx, p.Authorization, p.Rank, p.DeadlineMs)
	if err != nil {
		return nil, nil, Problem(ctx, err)
	}
	raw, err := readBody(body)
	if err != nil {
		return nil, nil, Problem(ctx, err)
	}
	req := gateway.ServiceRequest{Service: p.Service, Operation: p.Operation, Body: raw}
	if p.IdempotencyKey != nil {
		req.IdempotencyKey = *p.IdempotencyKey
	}
	req.FirstAttempt = p.IdempotencyAttempt != nil && *p.IdempotencyAttempt == 1
	a, err := s.gateway.CallService(ctx, c, req)
	if err != nil {
		return nil, nil, Problem(ctx, err)
	}
	res := &callers.RawAnswer{RequestID: string(c.Request), ContentType: a.ContentType}
	if a.Replayed {
		yes := "true"
		res.Replayed = &yes
	}
	return res, io.NopCloser(strings.NewReader(string(a.Body))), nil
}

func jsonAnswer(c gateway.Caller, v any) (*callers.RawAnswer, io.ReadCloser, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, nil, err
	}
	res := &callers.RawAnswer{RequestID: string(c.Request), ContentType: "application/json"}
	return res, io.NopCloser(strings.NewReader(string(b))), nil
}

func parseCaller(ctx context.Context, authorization, rank *string, deadlineMs *int64) (gateway.Caller, error) {
	c := gateway.Caller{Request: requestID(ctx), Arrived: time.Now()}
	if authorization != nil {
		key, ok := strings.CutPrefix(*authorization, "Bearer ")
		if ok {
			c.BearerKey = key
		}
	}
	if rank != nil {
		r, err := core.ParseRank(*rank)
		if err != nil {
			return c, invalidRequest("X-Rank: " + err.Error())
		}
		c.Rank = &r
	}
	if deadlineMs != nil {
		if *deadlineMs < 1 || *deadlineMs > maxDeadlineMs {
			return c, invalidRequest("X-Deadline-Ms: the value must be between 1 and 600000")
		}
		c.TimeBudget = time.Duration(*deadlineMs) * time.Millisecond
	}
	return c, nil
}

// maxDeadlineMs is the largest value of the X-Deadline-Ms header: 10 minutes.
const maxDeadlineMs = 600_000

func invalidRequest(detail string) error {
	return &core.Error{Kind: core.Invalid, Step: "decoding", Ran: core.RanNot, Detail: detail}
}

func readBody(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(r)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, &core.Error{Kind: core.TooLarge, Step: "decoding", Ran: core.RanNot, Detail: "the body is larger than 1 MiB"}
	}
	if err != nil {
		return nil, invalidRequest("the request body could not be read in time")
	}
	return b, nil
}

func decodeBody(r io.Reader, v any) error {
	b, err := readBody(r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, v); err != nil {
		var se *json.SyntaxError
		if errors.As(err, &se) {
			return invalidRequest("the body is not valid JSON")
		}
		return invalidRequest("the body has a value of the wrong type")
	}
	return nil
}
