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
	// MaxTokens lowers the configured token limit of the generation stage; 0
	// keeps that limit.
	MaxTokens int
}

// PipelineAnswer is the complete answer of a pipeline.
type PipelineAnswer struct {
	Output string
	// Documents lists the documents that remain after retrieval and reranking.
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

// pipelineRun is the state of one pipeline run.
type pipelineRun struct {
	grant    grant
	caller   Caller
	request  PipelineRequest
	deadline time.Time
	// emit receives generated text as it arrives. If it is nil, the text is not
	// streamed.
	emit func(text string) error

	embedding []float64
	documents []Document
	answer    PipelineAnswer
	// streamedEvents counts events with text. If a stream ends before the engine
	// reports its usage, their number is charged instead.
	streamedEvents int
}

// generatedTokens returns the number of generated tokens known so far.
func (s *pipelineRun) generatedTokens() int {
	return max(s.answer.Usage.CompletionTokens, s.streamedEvents)
}

// RunPipeline runs the pipeline. If emit is not nil, it receives generated text
// as it arrives. The returned answer is complete in both cases.
func (g *Gateway) RunPipeline(ctx context.Context, c Caller, r PipelineRequest, emit func(text string) error) (*PipelineAnswer, error) {
	gr, err := g.authorize(c)
	if err != nil {
		return nil, err
	}
	p, ok := gr.snapshot.Lists.Pipelines[r.Pipeline]
	if !ok {
		return nil, &core.Error{Kind: core.NotFound, Step: "routing", Ran: core.RanNot, Detail: "no such pipeline"}
	}
	if !allowsName(gr.plan.Pipelines, r.Pipeline) {
		return nil, &core.Error{Kind: core.Forbidden, Step: "authorization", Ran: core.RanNot, Detail: "the plan does not allow this pipeline"}
	}
	release, err := g.admit(gr)
	if err != nil {
		return nil, err
	}
	s := &pipelineRun{grant: gr, caller: c, request: r, deadline: deadline(c, p.Deadline()), emit: emit}
	defer func() { release(s.generatedTokens()) }()
	for i, st := range p.Stages {
		if err := g.runStage(ctx, s, st, g.predictStages(r.Pipeline, p.Stages[i+1:], gr.rank)); err != nil {
			return nil, adjustRanForStage(err, i)
		}
	}
	s.answer.Documents = s.documents
	return &s.answer, nil
}

// adjustRanForStage corrects the Ran value of an error of the given stage: after
// the first stage, the request has run in part even if this stage has not.
func adjustRanForStage(err error, stage int) error {
	if stage == 0 {
		return err
	}
	e := *core.AsError(err, "pipeline")
	if e.Ran == core.RanNot {
		e.Ran = core.RanYes
	}
	return &e
}

// runStage runs one stage. laterStages is the predicted time of the stages after
// it.
func (g *Gateway) runStage(ctx context.Context, s *pipelineRun, st config.Stage, laterStages time.Duration) error {
	pool := s.grant.snapshot.Lists.Pools[st.Pool]
	codec, ok := stageCodecs[pool.Kind]
	if !ok {
		return &core.Error{Kind: core.Internal, Step: st.Name, Ran: core.RanNot, Detail: "pools of this kind cannot run a pipeline stage"}
	}
	body, err := codec.encode(s, st, pool)
	if err != nil {
		return core.AsError(err, st.Name)
	}
	t := dispatch.Task{
		Request: s.caller.Request, Account: s.grant.account, Weight: s.grant.plan.Weight, Rank: s.grant.rank,
		Pool: st.Pool, Stage: stageID(s.request.Pipeline, st), Path: codec.path, Body: body, Deadline: s.deadline, Repeatable: true,
		PrefixKey: prefixKey(s, pool), LaterStagesTime: laterStages,
	}
	if pool.Kind == config.KindEngine && s.emit != nil {
		return g.streamStage(ctx, s, t)
	}
	res, err := g.dispatch.Do(ctx, t)
	if err != nil {
		return err
	}
	if err := codec.decode(s, res.Body); err != nil {
		return &core.Error{Kind: core.Upstream, Step: st.Name, Ran: core.RanYes, Detail: "the endpoint's answer is not valid", Err: err}
	}
	return nil
}

// maxPrefixKeyBytes is how many bytes of a prompt, from its start, determine its
// prefix key.
const maxPrefixKeyBytes = 256

// prefixKey returns a hash of the start of an engine's prompt, or 0 for a pool
// without engines.
func prefixKey(s *pipelineRun, pool config.Pool) uint64 {
	if pool.Kind != config.KindEngine {
		return 0
	}
	in := s.request.Input
	return xxhash.Sum64String(in[:min(len(in), maxPrefixKeyBytes)])
}
