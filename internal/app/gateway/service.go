package gateway

import (
	"context"
	"time"

	"eelgrassgrade/internal/app/dispatch"
	"eelgrassgrade/internal/core"
)

// ServiceRequest asks for one call of a plain service.
type ServiceRequest struct {
	Service        string
	Operation      string
	IdempotencyKey string
	// FirstAttempt is set if the caller states that it sends the key for the
	// first time. Then a refusal without reading the call's record can say "not
	// run".
	FirstAttempt bool
	Body         []byte
}

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	Body        []byte
	ContentType string
	// Replayed is set if the answer was recorded by an earlier request with the
	// same key.
	Replayed bool
}

// OnceRequest identifies a call that runs at most once.
type OnceRequest struct {
	Account   core.AccountID
	Service   string
	Operation string
	Key       string
	Body      []byte
	// FirstAttempt is set if the caller states that no earlier request carried
	// the key.
	FirstAttempt bool
	// Timeout bounds the call. The outcome of a call that was dispatched longer
	// ago, and has none recorded, counts as unknown.
	Timeout time.Duration
}

// AtMostOnce runs calls that may not be repeated.
type AtMostOnce interface {
	// Run claims the call and runs send at most once across all daemons. send
	// must call beforeSend after an endpoint is chosen and before any byte is
	// sent to it. replayed reports that the result was recorded earlier.
	Run(ctx context.Context, r OnceRequest, send func(ctx context.Context, beforeSend func(context.Context, core.Endpoint) error) (core.Result, error)) (res core.Result, replayed bool, err error)
}

// CallService runs an operation of a plain service, at most once if the
// operation is not repeatable.
func (g *Gateway) CallService(ctx context.Context, c Caller, r ServiceRequest) (*ServiceAnswer, error) {
	gr, err := g.authorize(c)
	if err != nil {
		return nil, adjustRanBeforeClaim(err, r)
	}
	svc, ok := gr.snapshot.Lists.Services[r.Service]
	if !ok {
		return nil, &core.Error{Kind: core.NotFound, Step: "routing", Ran: core.RanNot, Detail: "no such service"}
	}
	op, ok := svc.Operations[r.Operation]
	if !ok {
		return nil, &core.Error{Kind: core.NotFound, Step: "routing", Ran: core.RanNot, Detail: "no such operation"}
	}
	if !allowsName(gr.plan.Services, r.Service) {
		return nil, &core.Error{Kind: core.Forbidden, Step: "authorization", Ran: core.RanNot, Detail: "the plan does not allow this service"}
	}
	t := dispatch.Task{
		Request: c.Request, Account: gr.account, Weight: gr.plan.Weight, Rank: gr.rank, Pool: svc.Pool,
		Stage: r.Service + "/" + r.Operation, Path: "/" + r.Operation, Body: r.Body, Deadline: deadline(c, op.Timeout()),
		Repeatable: op.Repeatable, NotStartedStatuses: op.NotStartedStatuses,
	}
	if op.Repeatable {
		res, err := g.admitAndDispatch(ctx, gr, t)
		if err != nil {
			return nil, err
		}
		return &ServiceAnswer{Body: res.Body, ContentType: res.ContentType}, nil
	}
	return g.callOnce(ctx, t, r, gr, op.Timeout())
}

// admitAndDispatch applies the account's limits and dispatches the call.
func (g *Gateway) admitAndDispatch(ctx context.Context, gr grant, t dispatch.Task) (core.Result, error) {
	release, err := g.admit(gr)
	if err != nil {
		return core.Result{}, err
	}
	defer release(0)
	return g.dispatch.Do(ctx, t)
}

// adjustRanBeforeClaim corrects the Ran value of a refusal that was decided
// without reading the call's record: an earlier request with the same key may
// have run, and after "not run" a caller may repeat the work under another key.
func adjustRanBeforeClaim(err error, r ServiceRequest) error {
	e := *core.AsError(err, "admission")
	if e.Kind == core.Unavailable && r.IdempotencyKey != "" && !r.FirstAttempt {
		e.Ran = core.RanUnknown
	}
	return &e
}

// callOnce runs a call that may not be repeated. Limits apply after the claim,
// so that a recorded outcome is returned even to an account over its limit.
func (g *Gateway) callOnce(ctx context.Context, t dispatch.Task, r ServiceRequest, gr grant, timeout time.Duration) (*ServiceAnswer, error) {
	if r.IdempotencyKey == "" {
		return nil, &core.Error{Kind: core.Invalid, Step: "admission", Ran: core.RanNot,
			Detail: "this operation may not be repeated: an Idempotency-Key header is required"}
	}
	// The key sent to the endpoint includes the account, so that an endpoint that
	// deduplicates by key does not confuse two accounts with the same key. The
	// call continues if the caller disconnects: the deadline bounds it, and its
	// outcome is recorded for the caller's next request.
	t.Header = map[string]string{"Idempotency-Key": string(gr.account) + "/" + r.IdempotencyKey}
	ctx, detach := core.WithoutCaller(ctx)
	defer detach()
	onceReq := OnceRequest{Account: gr.account, Service: r.Service, Operation: r.Operation, Key: r.IdempotencyKey, Body: r.Body, FirstAttempt: r.FirstAttempt, Timeout: timeout}
	send := func(ctx context.Context, beforeSend func(context.Context, core.Endpoint) error) (core.Result, error) {
		t.BeforeSend = beforeSend
		return g.admitAndDispatch(ctx, gr, t)
	}
	ctx, cancel := context.WithDeadline(ctx, t.Deadline)
	defer cancel()
	res, replayed, err := g.once.Run(ctx, onceReq, send)
	if err != nil {
		return nil, err
	}
	return &ServiceAnswer{Body: res.Body, ContentType: res.ContentType, Replayed: replayed}, nil
}
