package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"eelgrassgrade/internal/app/dispatch"
	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
)

// fakeDispatcher answers the tasks of each stage and records them. Its streams
// break after three events.
type fakeDispatcher struct {
	tasks []dispatch.Task
}

func (d *fakeDispatcher) Do(_ context.Context, t dispatch.Task) (core.Result, error) {
	d.tasks = append(d.tasks, t)
	body := map[string]string{
		"/v1/embeddings": `{"data": [{"embedding": [1]}]}`, "/v1/retrieve": `{"documents": []}`,
		"/v1/rerank": `{"results": []}`, "/v1/completions": `{"choices": [{"text": "x"}], "usage": {"completion_tokens": 7}}`,
	}[t.Path]
	return core.Result{Status: 200, Body: []byte(body)}, nil
}

func (d *fakeDispatcher) Stream(_ context.Context, _ dispatch.Task, emit func(core.Event) error) error {
	for range 3 {
		if err := emit(core.Event{Data: []byte(`{"choices": [{"text": "x"}]}`)}); err != nil {
			return err
		}
	}
	return &core.Error{Kind: core.Upstream, Step: "generate", Ran: core.RanYes, Detail: "the stream broke"}
}

// fakeScheduler records admissions and releases.
type fakeScheduler struct {
	admitted []core.AccountID
	released []int
	refuse   error
}

func (s *fakeScheduler) Admit(a core.AccountID, _ config.Plan, _ time.Time) (func(int), error) {
	if s.refuse != nil {
		return nil, s.refuse
	}
	s.admitted = append(s.admitted, a)
	return func(n int) { s.released = append(s.released, n) }, nil
}

func (s *fakeScheduler) Predict(_ core.PoolID, stage string, _ core.Rank) time.Duration {
	return map[string]time.Duration{"answer/encode": 1, "answer/retrieve": 20, "answer/generate": 300}[stage]
}

func newTestGateway(t *testing.T, s Scheduler) (*Gateway, *fakeDispatcher, Caller) {
	digest := sha256.Sum256([]byte("key"))
	src := fmt.Sprintf(`{
  "accounts": {"acme": {"plan": "basic", "keys_sha256": [%q]}},
  "plans": {"basic": {"pipelines": ["answer"], "services": ["desk"]}},
  "ranks": {},
  "pools": {"encoder": {"kind": "encoder"}, "retriever": {"kind": "retriever"}, "engine": {"kind": "engine"}, "desk": {"kind": "service"}},
  "pipelines": {"answer": {"stages": %s}, "other": {"stages": %[2]s}},
  "services": {"desk": {"pool": "desk", "operations": {"lookup": {"repeatable": true}}}}
}`, hex.EncodeToString(digest[:]), `[{"name": "encode", "pool": "encoder"}, {"name": "retrieve", "pool": "retriever"}, {"name": "generate", "pool": "engine"}]`)
	snap, err := config.Compile("lists.jsonc", []byte(src), 1)
	if err != nil {
		t.Fatal(err)
	}
	d := &fakeDispatcher{}
	g := New(func() *config.Snapshot { return snap }, d, nil)
	g.SetScheduler(s)
	return g, d, Caller{Request: "r", BearerKey: "key", Arrived: time.Now()}
}

// Guards against stages that are dispatched without the predicted time of the
// stages that follow, and against generated tokens that are not charged.
func TestPipelinePredictsLaterStagesAndChargesTokens(t *testing.T) {
	s := &fakeScheduler{}
	g, d, c := newTestGateway(t, s)
	if _, err := g.RunPipeline(context.Background(), c, PipelineRequest{Pipeline: "answer"}, nil); err != nil {
		t.Fatal(err)
	}
	var later []time.Duration
	for _, task := range d.tasks {
		later = append(later, task.LaterStagesTime)
	}
	if got := fmt.Sprint(later, s.admitted, s.released); got != "[320ns 300ns 0s] [acme] [7]" {
		t.Errorf("later stages, admissions and releases: %s", got)
	}
	// If a stream breaks before the engine reports usage, its events are charged.
	if _, err := g.RunPipeline(context.Background(), c, PipelineRequest{Pipeline: "answer"}, func(string) error { return nil }); err == nil {
		t.Error("the broken stream is reported as complete")
	}
	if got := fmt.Sprint(s.released); got != "[7 3]" {
		t.Errorf("released %s, want 3 for the broken stream", got)
	}
}

// Guards against requests that are served although their account's limit is
// reached, and against unauthorised requests that count against the limit.
func TestLimitsApplyToAuthorizedRequests(t *testing.T) {
	s := &fakeScheduler{}
	g, d, c := newTestGateway(t, s)
	if _, err := g.CallService(context.Background(), c, ServiceRequest{Service: "desk", Operation: "lookup"}); err != nil {
		t.Fatal(err)
	}
	if _, err := g.RunPipeline(context.Background(), c, PipelineRequest{Pipeline: "other"}, nil); core.AsError(err, "").Kind != core.Forbidden {
		t.Errorf("pipeline that the plan does not allow: %v", err)
	}
	if len(s.admitted) != 1 || len(s.released) != 1 {
		t.Errorf("%d admissions, %d releases, want one of each", len(s.admitted), len(s.released))
	}
	s.refuse = &core.Error{Kind: core.RateLimited, Step: "limits", Ran: core.RanNot, RetryAfter: time.Second}
	sent := len(d.tasks)
	if _, err := g.CallService(context.Background(), c, ServiceRequest{Service: "desk", Operation: "lookup"}); err != s.refuse {
		t.Errorf("service call at the limit: %v", err)
	}
	if _, err := g.RunPipeline(context.Background(), c, PipelineRequest{Pipeline: "answer"}, nil); err != s.refuse {
		t.Errorf("pipeline at the limit: %v", err)
	}
	if len(d.tasks) != sent {
		t.Error("a refused request reached an endpoint")
	}
}
