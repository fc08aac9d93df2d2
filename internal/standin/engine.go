package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// completionsRequest is the body of POST /v1/completions.
type completionsRequest struct {
	Prompt    string
	MaxTokens int `json:"max_tokens"`
	Stream    bool
	// Priority orders the waiting queue: lower values run first.
	Priority int
	// ResumeFrom is the index of the first token to generate, counted from 0.
	// MaxTokens limits the whole answer, including the tokens before ResumeFrom.
	ResumeFrom int `json:"resume_from"`
}

// completions generates a text that depends only on the prompt and the range of
// tokens, so that a caller can verify it byte for byte.
func (e *Endpoint) completions(c call) error {
	var req completionsRequest
	if err := json.Unmarshal(c.body, &req); err != nil {
		return err
	}
	if req.ResumeFrom < 0 || req.ResumeFrom >= req.MaxTokens {
		return fmt.Errorf("max_tokens %d does not allow resume_from %d: it must be at least 0 and below max_tokens", req.MaxTokens, req.ResumeFrom)
	}
	cachedTokens, crashed := 0, false
	s := &sequence{priority: req.Priority, tokens: req.MaxTokens - req.ResumeFrom, onAdmit: func() time.Duration {
		if m := e.opts.CrashMarker; m != "" && strings.Contains(req.Prompt, m) {
			crashed = true
			go e.Crash(e.opts.CrashDown)
		}
		cachedBytes := e.cache.lookUpAndAdd(req.Prompt)
		cachedTokens = len(strings.Fields(req.Prompt[:cachedBytes]))
		e.cachedTokens.Add(int64(cachedTokens))
		e.promptTokens.Add(int64(len(strings.Fields(req.Prompt))))
		return e.opts.ServiceTime + e.opts.Engine.PrefillTime*time.Duration(len(req.Prompt)-cachedBytes)/1024
	}}
	e.batch.submit(s)
	defer e.batch.cancel(s)
	if req.Stream {
		return e.streamTokens(c, req, s, &cachedTokens)
	}
	select {
	case <-s.done:
	case <-c.r.Context().Done():
		return nil
	}
	if crashed {
		abortConnection()
	}
	e.finished.Add(1)
	e.sendAnswer(c, map[string]any{"choices": []any{map[string]any{"text": generatedRange(req.Prompt, req.ResumeFrom, req.MaxTokens)}}, "usage": usageOf(req, cachedTokens)})
	return nil
}

// streamTokens sends one event per token as the batch generates them, then an
// event with the usage and the end mark.
func (e *Endpoint) streamTokens(c call, req completionsRequest, s *sequence, cachedTokens *int) error {
	id, prompt := c.id, req.Prompt
	if e.faults.consume(func(f *Faults) *int { return &f.SwapAnswers }) {
		e.swaps.Add(1)
		id, prompt = "other/stage/1", "another prompt"
	}
	cutAt := -1
	if f := e.faults.get(); e.faults.consume(func(f *Faults) *int { return &f.CutStreams }) {
		cutAt = f.CutAfterTokens
	}
	duplicate := e.faults.consume(func(f *Faults) *int { return &f.Duplicate })
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.w.Header().Set(callHeader, id)
	flush := http.NewResponseController(c.w).Flush
	words := answerWords(prompt)
	for sent := 0; sent < s.tokens; {
		select {
		case <-s.progress:
		case <-c.r.Context().Done():
			return nil
		}
		for n := e.batch.produced(s); sent < n; sent++ {
			if sent == cutAt {
				flush()
				abortConnection()
			}
			index := req.ResumeFrom + sent
			event := map[string]any{"index": index, "choices": []any{map[string]any{"text": tokenText(words, index)}}}
			writeEvent(c.w, event)
			if duplicate {
				writeEvent(c.w, event)
			}
		}
		if flush() != nil {
			return nil
		}
	}
	if duplicate {
		e.duplicates.Add(1)
	}
	e.finished.Add(1)
	writeEvent(c.w, map[string]any{"choices": []any{}, "usage": usageOf(req, *cachedTokens)})
	fmt.Fprint(c.w, "data: [DONE]\n\n")
	return nil
}

func writeEvent(w io.Writer, v any) {
	b, _ := json.Marshal(v)
	fmt.Fprintf(w, "data: %s\n\n", b)
}

func usageOf(r completionsRequest, cachedTokens int) map[string]any {
	return map[string]any{"prompt_tokens": len(strings.Fields(r.Prompt)), "completion_tokens": r.MaxTokens,
		"prompt_tokens_details": map[string]int{"cached_tokens": cachedTokens}}
}

// GeneratedText returns the text of the given number of tokens that an engine
// stand-in generates for the prompt.
func GeneratedText(prompt string, tokens int) string { return generatedRange(prompt, 0, tokens) }

// generatedRange returns the text of the tokens with index from up to, but not
// including, to.
func generatedRange(prompt string, from, to int) string {
	var b strings.Builder
	words := answerWords(prompt)
	for i := from; i < to; i++ {
		b.WriteString(tokenText(words, i))
	}
	return b.String()
}

// answerWords returns the words that the answer to the prompt cycles through. The
// first is a hash of the prompt, so that answers to prompts with a common prefix
// differ.
func answerWords(prompt string) []string {
	return append([]string{fmt.Sprintf("%016x", xxhash.Sum64String(prompt))}, strings.Fields(prompt)...)
}

func tokenText(words []string, i int) string { return words[i%len(words)] + " " }
