package gateway

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrassgrade/internal/app/dispatch"
	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
)

// PipelineRequest asks for one run of a pipeline.
type PipelineRequest struct {
	Pipeline string
	Input    string
	// MaxTokens lowers the generation stage's bound; 0 keeps it.
	MaxTokens int
}

// PipelineAnswer is the whole answer of a pipeline.
type PipelineAnswer struct {
	Output string
	// Documents lists the documents that retrieval and reranking kept.
	Documents []Document
	Usage     Usage
}

// Document is one retrieved document.
type Document struct {
	ID   string `json:"id"`
	Text string `json:"text"`
}

// Usage counts tokens as the engine reports them.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// run is the state of one pipeline run.
type run struct {
	grant    grant
	caller   Caller
	request  PipelineRequest
	deadline time.Time
	// emit passes generated text on as it arrives; nil collects it.
	emit func(text string) error

	embedding []float64
	documents []Document
	answer    PipelineAnswer
	// streamed counts events with text, for the charge of a stream that ended
	// before the engine reported its usage.
	streamed int
}

// tokens returns the generated tokens that are known.
func (s *run) tokens() int { return max(s.answer.Usage.CompletionTokens, s.streamed) }

// RunPipeline runs the pipeline. With emit set, generated text is passed on as
// it arrives; the returned answer is whole in both cases.
func (g *Gateway) RunPipeline(ctx context.Context, c Caller, r PipelineRequest, emit func(text string) error) (*PipelineAnswer, error) {
	gr, err := g.authorize(c)
	if err != nil {
		return nil, err
	}
	p, ok := gr.snapshot.Lists.Pipelines[r.Pipeline]
	if !ok {
		return nil, &core.Error{Kind: core.NotFound, Step: "routing", Ran: core.RanNot, Detail: "no such pipeline"}
	}
	if !allowed(gr.plan.Pipelines, r.Pipeline) {
		return nil, &core.Error{Kind: core.Forbidden, Step: "authorization", Ran: core.RanNot, Detail: "the plan does not allow this pipeline"}
	}
	release, err := g.admit(gr)
	if err != nil {
		return nil, err
	}
	s := &run{grant: gr, caller: c, request: r, deadline: deadline(c, p.Deadline()), emit: emit}
	defer func() { release(s.tokens()) }()
	for i, st := range p.Stages {
		if err := g.runStage(ctx, s, st, g.laterStages(r.Pipeline, p.Stages[i+1:], gr.rank)); err != nil {
			return nil, afterStage(err, i)
		}
	}
	s.answer.Documents = s.documents
	return &s.answer, nil
}

// afterStage corrects Ran: a request whose earlier stages ran did run in part.
func afterStage(err error, stage int) error {
	if stage == 0 {
		return err
	}
	e := *core.AsError(err, "pipeline")
	if e.Ran == core.RanNot {
		e.Ran = core.RanYes
	}
	return &e
}

func (g *Gateway) runStage(ctx context.Context, s *run, st config.Stage, later time.Duration) error {
	pool := s.grant.snapshot.Lists.Pools[st.Pool]
	form, ok := stageForms[pool.Kind]
	if !ok {
		return &core.Error{Kind: core.Internal, Step: st.Name, Ran: core.RanNot, Detail: "the pool's kind has no stage form"}
	}
	body, err := form.encode(s, st, pool)
	if err != nil {
		return core.AsError(err, st.Name)
	}
	t := dispatch.Task{
		Request: s.caller.Request, Account: s.grant.account, Weight: s.grant.plan.Weight, Rank: s.grant.rank,
		Pool: st.Pool, Stage: stageID(s.request.Pipeline, st), Path: form.path, Body: body, Deadline: s.deadline, Repeatable: true,
		PrefixKey: prefixKey(s, pool), LaterStagesTime: later,
	}
	if pool.Kind == config.KindEngine && s.emit != nil {
		return g.streamStage(ctx, s, t)
	}
	res, err := g.dispatch.Do(ctx, t)
	if err != nil {
		return err
	}
	if err := form.decode(s, res.Body); err != nil {
		return &core.Error{Kind: core.Upstream, Step: st.Name, Ran: core.RanYes, Detail: "the endpoint's answer is not valid", Err: err}
	}
	return nil
}

// prefixBytes is the length of the prompt's head that decides its prefix key.
const prefixBytes = 256

func prefixKey(s *run, pool config.Pool) uint64 {
	if pool.Kind != config.KindEngine {
		return 0
	}
	in := s.request.Input
	return xxhash.Sum64String(in[:min(len(in), prefixBytes)])
}
