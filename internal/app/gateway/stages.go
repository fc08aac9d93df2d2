package gateway

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/juju/errors"

	"eelgrassgrade/internal/app/dispatch"
	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
)

// stageCodec encodes the request to a stage's endpoint and decodes the answer
// into the pipeline run.
type stageCodec struct {
	path   string
	encode func(s *pipelineRun, st config.Stage, p config.Pool) ([]byte, error)
	decode func(s *pipelineRun, body []byte) error
}

// stageCodecs holds the codec of each kind of pool.
var stageCodecs = map[string]stageCodec{
	config.KindEncoder:   {"/v1/embeddings", encodeEmbeddings, decodeEmbeddings},
	config.KindRetriever: {"/v1/retrieve", encodeRetrieve, decodeRetrieve},
	config.KindReranker:  {"/v1/rerank", encodeRerank, decodeRerank},
	config.KindEngine:    {"/v1/completions", encodeCompletions, decodeCompletions},
}

type embeddingsRequest struct {
	Model string `json:"model"`
	Input string `json:"input"`
}

type embeddingsAnswer struct {
	Data []struct {
		Embedding []float64 `json:"embedding"`
	} `json:"data"`
}

func encodeEmbeddings(s *pipelineRun, _ config.Stage, p config.Pool) ([]byte, error) {
	return json.Marshal(embeddingsRequest{Model: p.Model, Input: s.request.Input})
}

func decodeEmbeddings(s *pipelineRun, body []byte) error {
	var a embeddingsAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return err
	}
	if len(a.Data) != 1 {
		return errors.New("expected exactly one embedding")
	}
	s.embedding = a.Data[0].Embedding
	return nil
}

type retrieveRequest struct {
	Query     string    `json:"query"`
	Embedding []float64 `json:"embedding"`
	TopK      int       `json:"top_k"`
}

type retrieveAnswer struct {
	Documents []Document `json:"documents"`
}

func encodeRetrieve(s *pipelineRun, st config.Stage, _ config.Pool) ([]byte, error) {
	return json.Marshal(retrieveRequest{Query: s.request.Input, Embedding: s.embedding, TopK: st.TopK})
}

func decodeRetrieve(s *pipelineRun, body []byte) error {
	var a retrieveAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return err
	}
	s.documents = a.Documents
	return nil
}

type rerankRequest struct {
	Model     string   `json:"model"`
	Query     string   `json:"query"`
	Documents []string `json:"documents"`
	TopN      int      `json:"top_n"`
}

type rerankAnswer struct {
	Results []struct {
		Index int     `json:"index"`
		Score float64 `json:"relevance_score"`
	} `json:"results"`
}

func encodeRerank(s *pipelineRun, st config.Stage, p config.Pool) ([]byte, error) {
	r := rerankRequest{Model: p.Model, Query: s.request.Input, TopN: st.TopK, Documents: make([]string, len(s.documents))}
	for i, d := range s.documents {
		r.Documents[i] = d.Text
	}
	return json.Marshal(r)
}

func decodeRerank(s *pipelineRun, body []byte) error {
	var a rerankAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return err
	}
	kept := make([]Document, 0, len(a.Results))
	for _, r := range a.Results {
		if r.Index < 0 || r.Index >= len(s.documents) {
			return errors.New("document index out of range")
		}
		kept = append(kept, s.documents[r.Index])
	}
	s.documents = kept
	return nil
}

type completionsRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream,omitempty"`
	// Priority is the engine's scheduling priority; a lower value runs first.
	Priority int `json:"priority"`
}

type completionsAnswer struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *engineUsage `json:"usage"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

type engineUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func encodeCompletions(s *pipelineRun, st config.Stage, p config.Pool) ([]byte, error) {
	r := completionsRequest{Model: p.Model, Prompt: prompt(s), MaxTokens: st.MaxTokens, Stream: s.emit != nil, Priority: int(s.grant.rank)}
	if n := s.request.MaxTokens; n > 0 && n < r.MaxTokens {
		r.MaxTokens = n
	}
	return json.Marshal(r)
}

// prompt returns the caller's input followed by the documents. The input comes
// first so that requests whose inputs start alike share a cached prefix.
func prompt(s *pipelineRun) string {
	var b strings.Builder
	b.WriteString(s.request.Input)
	for _, d := range s.documents {
		b.WriteString("\n")
		b.WriteString(d.Text)
	}
	return b.String()
}

func decodeCompletions(s *pipelineRun, body []byte) error {
	var a completionsAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return err
	}
	if len(a.Choices) != 1 {
		return errors.New("expected exactly one choice")
	}
	s.answer.Output = a.Choices[0].Text
	s.answer.Usage = a.Usage.usage()
	return nil
}

func (u *engineUsage) usage() Usage {
	if u == nil {
		return Usage{}
	}
	return Usage{PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens, CachedTokens: u.Details.CachedTokens}
}

// streamStage runs the generation stage and passes its text to the run's emit.
func (g *Gateway) streamStage(ctx context.Context, s *pipelineRun, t dispatch.Task) error {
	var output strings.Builder
	err := g.dispatch.Stream(ctx, t, func(ev core.Event) error {
		var a completionsAnswer
		if err := json.Unmarshal(ev.Data, &a); err != nil {
			return &core.Error{Kind: core.Upstream, Step: t.Stage, Ran: core.RanYes, Detail: "a stream event is not valid", Err: err}
		}
		if a.Usage != nil {
			s.answer.Usage = a.Usage.usage()
		}
		if len(a.Choices) == 0 || a.Choices[0].Text == "" {
			return nil
		}
		s.streamedEvents++
		output.WriteString(a.Choices[0].Text)
		return s.emit(a.Choices[0].Text)
	})
	s.answer.Output = output.String()
	return err
}
