package localrun

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/standin"
)

// Traffic sends requests at a fixed rate and checks the answers.
type Traffic struct {
	// Send sends one request.
	Send func(ctx context.Context, r Request) Answer
	// Rate is the number of requests per second.
	Rate float64
	// NewRequest returns request number n, counted from 0.
	NewRequest func(n int) Request
	// CheckAnswer returns an error if the answer with status 200 to request n is
	// wrong. If CheckAnswer is nil, answers are not checked.
	CheckAnswer func(n int, a Answer) error

	mu      sync.Mutex
	summary Summary
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// Summary counts answers by result.
type Summary struct {
	Sent int
	OK   int
	// Refused counts problem documents and streams that ended with an error event.
	// The key is the field ran of the document; streams count as "ran".
	Refused map[string]int
	// Cut counts connections that failed and answers that were incomplete.
	Cut int
	// Wrong counts answers that CheckAnswer rejected.
	Wrong int
	// MaxElapsed is the duration of the slowest request.
	MaxElapsed time.Duration
	// Failures describes the first requests that were not answered correctly, at
	// most maxFailures.
	Failures []string
}

const maxFailures = 5

// Start starts to send requests.
func (t *Traffic) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	t.summary.Refused = map[string]int{}
	t.wg.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / t.Rate))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ticker.C:
				t.wg.Go(func() { t.sendOne(n) })
			case <-ctx.Done():
				return
			}
		}
	})
}

// Stop stops sending, waits for the outstanding answers and returns the summary.
func (t *Traffic) Stop() Summary {
	t.cancel()
	t.wg.Wait()
	return t.summary
}

// answerTimeout is far above the deadline of any request. A request that exceeds
// it counts as cut.
const answerTimeout = 20 * time.Second

func (t *Traffic) sendOne(n int) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	a := t.Send(ctx, t.NewRequest(n))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.summary.Sent++
	t.summary.MaxElapsed = max(t.summary.MaxElapsed, a.Elapsed)
	switch {
	case a.Err != nil:
		t.summary.Cut++
		t.recordFailure(n, a.Err.Error())
	case a.Status != http.StatusOK:
		p := a.Problem()
		t.summary.Refused[p.Ran]++
		t.recordFailure(n, fmt.Sprintf("%d %s: %s", a.Status, p.Step, p.Detail))
	default:
		t.countAnswer(n, a)
	}
}

// countAnswer checks an answer with status 200 and counts it.
func (t *Traffic) countAnswer(n int, a Answer) {
	if t.CheckAnswer != nil {
		if err := t.CheckAnswer(n, a); err != nil {
			if errors.Is(err, errErrorEvent) {
				t.summary.Refused[core.RanYes.String()]++
			} else {
				t.summary.Wrong++
			}
			t.recordFailure(n, err.Error())
			return
		}
	}
	t.summary.OK++
}

func (t *Traffic) recordFailure(n int, failure string) {
	if len(t.summary.Failures) < maxFailures {
		t.summary.Failures = append(t.summary.Failures, fmt.Sprintf("request %d: %s", n, failure))
	}
}

// PipelineInput returns the input of request number n, which is unique.
func PipelineInput(n int) string { return fmt.Sprintf("request number %d asks for item %d", n, n*7919) }

// PipelineRequest returns request number n to a pipeline.
func PipelineRequest(pipeline, account string, n int, stream bool) Request {
	return Request{Path: "/v1/pipelines/" + pipeline + "/requests", Account: account, Body: fmt.Sprintf(`{"input":%q,"stream":%t}`, PipelineInput(n), stream)}
}

// CheckPipeline checks that an answer belongs to the input: each document must end
// with the query, of which retriever stand-ins repeat at most 40 bytes, and the
// output must be byte for byte the text that an engine stand-in generates for the
// input and these documents.
func CheckPipeline(input string, a Answer) error {
	final := a.Body
	streamed := ""
	if strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		var err error
		if streamed, final, err = parseStream(a.Body); err != nil {
			return err
		}
	}
	var got struct {
		Output    string
		Documents []struct{ Text string }
		Usage     struct {
			Completion int `json:"completion_tokens"`
		}
	}
	if err := json.Unmarshal(final, &got); err != nil {
		return fmt.Errorf("answer is not valid JSON: %w", err)
	}
	prompt := input
	for _, d := range got.Documents {
		if !strings.HasSuffix(d.Text, input[:min(len(input), 40)]) {
			return fmt.Errorf("document %q was not retrieved for the query %q", d.Text, input)
		}
		prompt += "\n" + d.Text
	}
	want := standin.GeneratedText(prompt, got.Usage.Completion)
	if got.Usage.Completion == 0 || got.Output != want || (streamed != "" && streamed != want) {
		return fmt.Errorf("output %q, streamed %q, want %q", got.Output, streamed, want)
	}
	return nil
}

// errErrorEvent is returned for a stream that contains an error event. Traffic
// counts it as a refusal of work that ran, not as a wrong answer.
var errErrorEvent = errors.New("the stream ended with an error event")

// parseStream returns the joined text of a streamed answer and its last event
// before the end mark.
func parseStream(body []byte) (text string, final []byte, err error) {
	var events []string
	for _, l := range strings.Split(string(body), "\n") {
		if d, ok := strings.CutPrefix(l, "data: "); ok {
			events = append(events, d)
		}
		if l == "event: error" {
			return "", nil, errErrorEvent
		}
	}
	if len(events) < 2 || !slices.Contains(events, "[DONE]") {
		return "", nil, fmt.Errorf("the stream has no [DONE] end mark")
	}
	for _, e := range events[:len(events)-2] {
		var delta struct{ Text string }
		if err := json.Unmarshal([]byte(e), &delta); err != nil {
			return "", nil, err
		}
		text += delta.Text
	}
	return text, []byte(events[len(events)-2]), nil
}
