package httpapi

import (
	"context"
	"encoding/json"
	"io"
	"strings"

	"eelgrassgrade/gen/callers"
	"eelgrassgrade/internal/app/gateway"
)

// chatRequest holds the supported fields of an OpenAI-compatible chat request.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text returns the message's text. The content is a string or a list of text
// parts.
func (m chatMessage) text() (string, error) {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s, nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", invalidRequest("messages: content must be a string or a list of text parts")
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", invalidRequest("messages: only text parts are supported")
		}
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

// input returns the prompt: one "role: text" line per message.
func (b chatRequest) input() (string, error) {
	if len(b.Messages) == 0 {
		return "", invalidRequest("messages: at least one message is required")
	}
	var lines []string
	for _, m := range b.Messages {
		t, err := m.text()
		if err != nil {
			return "", err
		}
		lines = append(lines, m.Role+": "+t)
	}
	return strings.Join(lines, "\n"), nil
}

type chatAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

type chatChoice struct {
	Index        int       `json:"index"`
	Message      *chatText `json:"message,omitempty"`
	Delta        *chatText `json:"delta,omitempty"`
	FinishReason *string   `json:"finish_reason"`
}

type chatText struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type chatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func newChatUsage(u gateway.Usage) *chatUsage {
	return &chatUsage{u.PromptTokens, u.CompletionTokens, u.PromptTokens + u.CompletionTokens}
}

// ChatCompletions implements callers.Service.
func (s *service) ChatCompletions(ctx context.Context, p *callers.ChatCompletionsPayload, body io.ReadCloser) (*callers.RawAnswer, io.ReadCloser, error) {
	c, err := parseCaller(ctx, p.Authorization, p.Rank, p.DeadlineMs)
	if err != nil {
		return nil, nil, Problem(ctx, err)
	}
	var b chatRequest
	if err := decodeBody(body, &b); err != nil {
		return nil, nil, Problem(ctx, err)
	}
	input, err := b.input()
	if err != nil {
		return nil, nil, Problem(ctx, err)
	}
	req := gateway.PipelineRequest{Pipeline: b.Model, Input: input, MaxTokens: max(b.MaxTokens, b.MaxCompletionTokens)}
	if b.Stream {
		return s.startStream(ctx, c, req, chatFormat{includeUsage: b.StreamOptions.IncludeUsage})
	}
	a, err := s.gateway.RunPipeline(ctx, c, req, nil)
	if err != nil {
		return nil, nil, Problem(ctx, err)
	}
	stop := "stop"
	answer := newChatAnswer(c, b.Model, "chat.completion")
	answer.Choices = []chatChoice{{Message: &chatText{"assistant", a.Output}, FinishReason: &stop}}
	answer.Usage = newChatUsage(a.Usage)
	return jsonAnswer(c, answer)
}

func newChatAnswer(c gateway.Caller, model, object string) chatAnswer {
	return chatAnswer{ID: "chatcmpl-" + string(c.Request), Object: object, Created: c.Arrived.Unix(), Model: model, Choices: []chatChoice{}}
}

type chatFormat struct{ includeUsage bool }

func (chatFormat) delta(c gateway.Caller, pipeline, text string) any {
	a := newChatAnswer(c, pipeline, "chat.completion.chunk")
	a.Choices = []chatChoice{{Delta: &chatText{"assistant", text}}}
	return a
}

func (e chatFormat) lastEvents(c gateway.Caller, pipeline string, a *gateway.PipelineAnswer) []any {
	stop := "stop"
	last := newChatAnswer(c, pipeline, "chat.completion.chunk")
	last.Choices = []chatChoice{{Delta: &chatText{}, FinishReason: &stop}}
	if !e.includeUsage {
		return []any{last}
	}
	usage := newChatAnswer(c, pipeline, "chat.completion.chunk")
	usage.Usage = newChatUsage(a.Usage)
	return []any{last, usage}
}

func (chatFormat) endMark() string { return "[DONE]" }
