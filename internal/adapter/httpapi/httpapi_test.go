package httpapi

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"eelgrassgrade/internal/app/gateway"
	"eelgrassgrade/internal/core"
)

// fakeGateway echoes the input word by word, or fails with err.
type fakeGateway struct {
	calls int
	// failAfter is the number of words after which RunPipeline fails if err is set.
	failAfter int
	err       error
	// service is the last request to CallService.
	service gateway.ServiceRequest
}

func (f *fakeGateway) RunPipeline(_ context.Context, c gateway.Caller, r gateway.PipelineRequest, emit func(string) error) (*gateway.PipelineAnswer, error) {
	f.calls++
	words := strings.SplitAfter(r.Input, " ")
	for i, w := range words {
		if f.err != nil && i >= f.failAfter {
			return nil, f.err
		}
		if emit != nil {
			if err := emit(w); err != nil {
				return nil, err
			}
		}
	}
	return &gateway.PipelineAnswer{Output: r.Input, Usage: gateway.Usage{CompletionTokens: len(words)}}, nil
}

func (f *fakeGateway) CallService(_ context.Context, _ gateway.Caller, r gateway.ServiceRequest) (*gateway.ServiceAnswer, error) {
	f.calls++
	f.service = r
	return &gateway.ServiceAnswer{Body: []byte(`{"ok":true}`), ContentType: "application/json", Replayed: true}, f.err
}

func serve(t *testing.T, g *fakeGateway) *httptest.Server {
	t.Helper()
	s := httptest.NewUnstartedServer(Handler(g, 4))
	s.Config.ReadTimeout = 500 * time.Millisecond
	s.Config.MaxHeaderBytes = 32 << 10
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func post(t *testing.T, url, body string, header ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(b)
}

// Guards against refusals that are not problem documents, and against invalid
// input that reaches the gateway.
func TestBadInputGetsProblemWithoutEffect(t *testing.T) {
	g := &fakeGateway{}
	s := serve(t, g)
	const run = "/v1/pipelines/p/requests"
	cases := []struct {
		name, path, body string
		header           []string
		status           int
	}{
		{"broken JSON", run, `{"input":`, nil, 400},
		{"wrong type", run, `{"input":5}`, nil, 400},
		{"misspelt input", run, `{"inptu":"x"}`, nil, 400},
		{"large body", run, `{"input":"` + strings.Repeat("a", maxBodyBytes) + `"}`, nil, 413},
		{"unknown rank", run, `{}`, []string{"X-Rank", "royal"}, 400},
		{"deadline that is no number", run, `{}`, []string{"X-Deadline-Ms", "soon"}, 400},
		{"deadline of a year", run, `{}`, []string{"X-Deadline-Ms", "31536000000"}, 400},
		{"negative deadline", run, `{}`, []string{"X-Deadline-Ms", "-5"}, 400},
		{"long idempotency key", "/v1/services/s/o", `{}`, []string{"Idempotency-Key", strings.Repeat("k", 256)}, 400},
		{"no messages", "/v1/chat/completions", `{"model":"p"}`, nil, 400},
		{"image part", "/v1/chat/completions", `{"model":"p","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, 400},
		{"unknown path", "/v1/nothing", `{}`, nil, 404},
	}
	for _, c := range cases {
		resp, body := post(t, s.URL+c.path, c.body, c.header...)
		var p problemBody
		err := json.Unmarshal([]byte(body), &p)
		if err != nil || resp.StatusCode != c.status || p.Status != c.status || p.Ran != "not run" || p.Step == "" || p.Type == "" || p.Title == "" ||
			p.RequestID == "" || p.RequestID != resp.Header.Get("X-Request-Id") || resp.Header.Get("Content-Type") != "application/problem+json" {
			t.Errorf("%s: got %s %s %q", c.name, resp.Status, resp.Header.Get("Content-Type"), body)
		}
	}
	if g.calls != 0 {
		t.Errorf("%d bad requests reached the gateway", g.calls)
	}
}

// Guards against memory and connections held by a client that never completes its
// headers or its body.
func TestSlowSenderAndHeaderBombAreCutOff(t *testing.T) {
	g := &fakeGateway{}
	s := serve(t, g)
	for name, sent := range map[string]string{
		"slow body":   "POST /v1/pipelines/p/requests HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{",
		"header bomb": "POST /v1/pipelines/p/requests HTTP/1.1\r\nHost: x\r\nX-A: " + strings.Repeat("a", 64<<10) + "\r\n\r\n",
	} {
		conn, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(20 * time.Second))
		io.WriteString(conn, sent)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil && resp.StatusCode/100 != 4 {
			t.Errorf("%s: got %s", name, resp.Status)
		}
		conn.Close()
	}
	if g.calls != 0 {
		t.Errorf("%d requests reached the gateway", g.calls)
	}
}

// Guards against a cut stream that a caller cannot tell from a complete one, and
// against a refusal before the first token that is answered with status 200.
func TestStreamEndsWithErrorEventOrStatus(t *testing.T) {
	broken := &core.Error{Kind: core.Upstream, Step: "generate", Peer: "engine-1", Ran: core.RanYes, Detail: "the stream was cut"}
	s := serve(t, &fakeGateway{err: broken, failAfter: 2})
	resp, body := post(t, s.URL+"/v1/pipelines/p/requests", `{"input":"a b c","stream":true}`)
	if resp.StatusCode != 200 || !strings.Contains(body, "event: error\ndata: {") || !strings.Contains(body, `"ran":"ran"`) || strings.Contains(body, "[DONE]") {
		t.Errorf("broken stream: %s %q", resp.Status, body)
	}
	s = serve(t, &fakeGateway{err: &core.Error{Kind: core.Unavailable, Step: "admission", Ran: core.RanNot, RetryAfter: 1500 * time.Millisecond}})
	resp, body = post(t, s.URL+"/v1/pipelines/p/requests", `{"input":"a","stream":true}`)
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") != "2" || !strings.Contains(body, `"retry_after_ms":1500`) {
		t.Errorf("refused stream: %s %q", resp.Status, body)
	}
}

// Guards against answers that the official OpenAI client library cannot read.
func TestChatCompletionsWithClientLibrary(t *testing.T) {
	s := serve(t, &fakeGateway{})
	client := openai.NewClient(option.WithBaseURL(s.URL+"/v1"), option.WithAPIKey("k"), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{Model: "p", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("one two three")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}}
	whole, err := client.Chat.Completions.New(t.Context(), params)
	if err != nil || whole.Choices[0].Message.Content != "user: one two three" || whole.Choices[0].FinishReason != "stop" {
		t.Fatalf("got %+v, %v", whole, err)
	}
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	acc := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}
	if stream.Err() != nil || acc.Choices[0].Message.Content != "user: one two three" || acc.Usage.CompletionTokens != 4 {
		t.Errorf("stream: got %+v, %v", acc.ChatCompletion, stream.Err())
	}
	failing := serve(t, &fakeGateway{err: &core.Error{Kind: core.RateLimited, Step: "limits", Ran: core.RanNot}})
	client = openai.NewClient(option.WithBaseURL(failing.URL+"/v1"), option.WithAPIKey("k"), option.WithMaxRetries(0))
	var apiErr *openai.Error
	if _, err := client.Chat.Completions.New(t.Context(), params); !asError(err, &apiErr) || apiErr.StatusCode != 429 {
		t.Errorf("refusal: got %v", err)
	}
}

func asError(err error, target **openai.Error) bool {
	e, ok := err.(*openai.Error)
	*target = e
	return ok
}

// Guards against an idempotency key that does not reach the gateway, and against a
// replayed answer that the caller cannot tell from a first one.
func TestServiceCallPassesKeyAndMarksReplay(t *testing.T) {
	g := &fakeGateway{}
	s := serve(t, g)
	resp, body := post(t, s.URL+"/v1/services/desk/deposit", `{"amount":5}`, "Idempotency-Key", "k1")
	want := gateway.ServiceRequest{Service: "desk", Operation: "deposit", IdempotencyKey: "k1", Body: []byte(`{"amount":5}`)}
	if fmt.Sprint(g.service) != fmt.Sprint(want) || body != `{"ok":true}` || resp.Header.Get("Idempotent-Replayed") != "true" {
		t.Errorf("got %v, %s %q", g.service, resp.Status, body)
	}
}
