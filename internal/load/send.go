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
	// maxAnswerBytes is the maximum size of a response body that is read.
	maxAnswerBytes = 8 << 20
	maxEventBytes  = 1 << 20
	// answerGrace is how long the tool waits for a response after the request's
	// deadline. Daemons should end a request within 100 ms after its deadline.
	answerGrace = 2 * time.Second
)

// outcome is the way in which a request ended.
type outcome int

const (
	answered outcome = iota
	refused
	// unfinished means that no complete response was received.
	unfinished
	// wrong means that the response does not match the request.
	wrong
)

// observation holds what the caller of one request observed. arrival is relative to
// the start of the run, latency and firstToken to the sending.
type observation struct {
	class   *classState
	arrival time.Duration
	sendLag time.Duration
	outcome outcome
	// detail is the kind of refusal, or says why the request is wrong or unfinished.
	detail  string
	latency time.Duration
	// firstToken is the time to the first token, 0 if the response is not streamed.
	firstToken time.Duration
	tokenGaps  []time.Duration
}

// sender sends the requests of one run.
type sender struct {
	client *http.Client
	// runID makes the idempotency keys of different runs different.
	runID string
}

func newSender(maxInFlight int, runID string) *sender {
	return &sender{runID: runID, client: &http.Client{
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

// send sends one request and stores in o what the caller observes.
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

// exchange sends one request and reads and checks the response. It returns an error if
// no complete response was received.
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

// recordRefusal sets the outcome to refused. The detail is the problem type and
// whether the work ran, or the HTTP status if body is not a problem document.
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

// recordCheck sets the outcome to wrong if err, the result of a check, is not nil.
func (o *observation) recordCheck(err error) {
	if err != nil {
		o.outcome, o.detail = wrong, err.Error()
	}
}

// readStream reads and checks the server-sent events of a pipeline's response.
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
				o.recordCheck(errors.New("the streamed texts do not add up to the output"))
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
	return errors.New("the stream ended without [DONE]")
}
