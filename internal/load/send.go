package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/tmaxmax/go-sse"
)

const (
	// maxAnswerBytes bounds what is read of an answer, in bytes.
	maxAnswerBytes = 8 << 20
	maxEventBytes  = 1 << 20
	// answerGrace is how long after its deadline a request is waited for. A
	// daemon has to end it within 100 ms.
	answerGrace = 2 * time.Second
)

// outcome is how a request ended.
type outcome int

const (
	answered outcome = iota
	refused
	unfinished
	wrong
)

// observation is what one request's caller saw.
type observation struct {
	class   *classState
	arrival time.Duration
	sendLag time.Duration
	outcome outcome
	// detail is the refusal's kind, or what was wrong.
	detail  string
	latency time.Duration
	// firstToken is 0 for answers that are not streamed.
	firstToken time.Duration
	tokenGaps  []time.Duration
}

// sender sends requests of one scenario.
type sender struct {
	client *http.Client
	runID  string
}

func newSender(maxInFlight int, run string) *sender {
	return &sender{runID: run, client: &http.Client{
		Transport: &http.Transport{MaxIdleConns: maxInFlight, MaxIdleConnsPerHost: maxInFlight, MaxConnsPerHost: maxInFlight, DisableCompression: true},
	}}
}

func (s *sender) request(ctx context.Context, daemon string, c Class, input string, requestNumber int) (*http.Request, error) {
	path, body := "/v1/services/"+c.Service+"/"+c.Operation, map[string]any{"input": input}
	if c.Pipeline != "" {
		path = "/v1/pipelines/" + c.Pipeline + "/requests"
		body["max_tokens"], body["stream"] = c.MaxTokens, c.Stream
	}
	b, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon+path, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+c.Key)
	r.Header.Set("X-Rank", c.Rank)
	r.Header.Set("X-Deadline-Ms", strconv.Itoa(c.DeadlineMs))
	if c.IdempotencyKey {
		r.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%s-%d", s.runID, c.Account, requestNumber))
	}
	return r, nil
}

// send sends one request and fills in what its caller saw.
func (s *sender) send(ctx context.Context, daemon string, input string, o *observation, requestNumber int) {
	c := o.class.spec
	ctx, cancel := context.WithTimeout(ctx, c.deadline()+answerGrace)
	defer cancel()
	start := time.Now()
	err := s.exchange(ctx, daemon, input, o, requestNumber, start)
	o.latency = time.Since(start)
	if err != nil {
		o.outcome, o.detail = unfinished, "connection"
		if ctx.Err() != nil {
			o.detail = "timeout"
		}
	}
}

// exchange returns an error if the request got no whole answer.
func (s *sender) exchange(ctx context.Context, daemon, input string, o *observation, requestNumber int, start time.Time) error {
	c := o.class.spec
	req, err := s.request(ctx, daemon, c, input, requestNumber)
	if err != nil {
		return err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxAnswerBytes)
	if resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(body, input, o, start)
	}
	b, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		o.recordRefusal(resp.StatusCode, b)
		return nil
	}
	if c.Service != "" {
		o.recordCheck(checkOperation(c, b))
		return nil
	}
	var a pipelineAnswer
	if err := json.Unmarshal(b, &a); err != nil {
		o.recordCheck(err)
		return nil
	}
	o.recordCheck(checkAnswer(c, input, a))
	return nil
}

func (o *observation) recordRefusal(status int, body []byte) {
	var p struct {
		Type string `json:"type"`
		Ran  string `json:"ran"`
	}
	kind := strconv.Itoa(status)
	if json.Unmarshal(body, &p) == nil && p.Type != "" {
		kind = p.Type[strings.LastIndexByte(p.Type, ':')+1:] + ", " + p.Ran
	}
	o.outcome, o.detail = refused, kind
}

func (o *observation) recordCheck(err error) {
	if err != nil {
		o.outcome, o.detail = wrong, err.Error()
	}
}

// readStream reads a pipeline's events.
func readStream(r io.Reader, input string, o *observation, start time.Time) error {
	var text strings.Builder
	var last pipelineAnswer
	previous := start
	for ev, err := range sse.Read(r, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return err
		}
		if ev.Type == "error" {
			o.recordRefusal(http.StatusOK, []byte(ev.Data))
			return nil
		}
		if ev.Data == "[DONE]" {
			if text.String() != last.Output {
				o.recordCheck(errors.New("the pieces are not the whole output"))
				return nil
			}
			o.recordCheck(checkAnswer(o.class.spec, input, last))
			return nil
		}
		var piece struct {
			Text *string `json:"text"`
		}
		if err := json.Unmarshal([]byte(ev.Data), &piece); err != nil {
			o.recordCheck(err)
			return nil
		}
		if piece.Text == nil {
			if err := json.Unmarshal([]byte(ev.Data), &last); err != nil {
				o.recordCheck(err)
				return nil
			}
			continue
		}
		now := time.Now()
		if text.Len() == 0 {
			o.firstToken = now.Sub(start)
		} else {
			o.tokenGaps = append(o.tokenGaps, now.Sub(previous))
		}
		previous = now
		text.WriteString(*piece.Text)
	}
	return errors.New("the stream ended without its end mark")
}
