package gateway

import (
	"context"
	"time"

	"eelgrassgrade/internal/core"
)

// Observation describes one finished request.
type Observation struct {
	Request core.RequestID
	// Account is empty if the request was not authorised.
	Account core.AccountID
	Rank    core.Rank
	// Target is the pipeline's name, or "service/operation".
	Target  string
	Elapsed time.Duration
	// FirstToken is the time from arrival to the first text of a streamed
	// answer, or 0.
	FirstToken time.Duration
	// Tokens is the number of generated tokens.
	Tokens int
	// Err is nil if the request was answered in full.
	Err *core.Error
}

// Observer records finished requests. It is called once per request and must
// be safe for concurrent use.
type Observer interface {
	Observe(o Observation)
}

// Observed is a Gateway that reports each request to an Observer.
type Observed struct {
	*Gateway
	Observer Observer
}

// RunPipeline runs the pipeline and reports the request.
func (o *Observed) RunPipeline(ctx context.Context, c Caller, r PipelineRequest, emit func(text string) error) (*PipelineAnswer, error) {
	ob := o.begin(c, r.Pipeline)
	observed := emit
	if emit != nil {
		observed = func(text string) error {
			if ob.FirstToken == 0 {
				ob.FirstToken = time.Since(c.Arrived)
			}
			return emit(text)
		}
	}
	a, err := o.Gateway.RunPipeline(ctx, c, r, observed)
	if a != nil {
		ob.Tokens = a.Usage.CompletionTokens
	}
	o.end(c, ob, err)
	return a, err
}

// CallService calls the operation and reports the request.
func (o *Observed) CallService(ctx context.Context, c Caller, r ServiceRequest) (*ServiceAnswer, error) {
	ob := o.begin(c, r.Service+"/"+r.Operation)
	a, err := o.Gateway.CallService(ctx, c, r)
	o.end(c, ob, err)
	return a, err
}

func (o *Observed) begin(c Caller, target string) Observation {
	ob := Observation{Request: c.Request, Target: target}
	if g, err := o.authorize(c); err == nil {
		ob.Account, ob.Rank = g.account, g.rank
	}
	return ob
}

func (o *Observed) end(c Caller, ob Observation, err error) {
	ob.Elapsed = time.Since(c.Arrived)
	if err != nil {
		ob.Err = core.AsError(err, "request")
	}
	o.Observer.Observe(ob)
}
