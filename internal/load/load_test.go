package load

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"eelgrassgrade/internal/standin"
)

// Guards against a scenario with a misspelt class or an impossible range that is
// accepted and then measures something else.
func TestScenarioErrorsNameTheKey(t *testing.T) {
	const class = `"a": {"account": "x", "pipeline": "p", "input_bytes": {"min": 40, "max": 50}, "deadline_ms": 100}`
	for want, src := range map[string]string{
		`key "phases[0].rates.b": found an unknown class`: `{"classes": {` + class + `}, "phases": [{"duration_ms": 10, "rates": {"b": 1}}]}`,
		`key "classes.a.input_bytes"`:                     `{"classes": {` + strings.Replace(class, "50", "39", 1) + `}, "phases": []}`,
		`key "classes.a": found not one target`:           `{"classes": {` + strings.Replace(class, `"pipeline"`, `"service"`, 1) + `}, "phases": []}`,
		`key "warm_up_ms"`:                                `{"warm_up_ms": 10, "classes": {` + class + `}, "phases": [{"duration_ms": 10, "rates": {}}]}`,
	} {
		if _, err := Parse("s.jsonc", []byte(src)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

// fakeDaemon answers pipeline requests in the way that the pipeline's name states.
func fakeDaemon(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Input     string
		MaxTokens int `json:"max_tokens"`
	}
	json.NewDecoder(r.Body).Decode(&req)
	answer := map[string]any{"output": standin.GeneratedText(req.Input, req.MaxTokens), "documents": []any{}, "usage": map[string]int{"completion_tokens": req.MaxTokens}}
	switch strings.Split(r.URL.Path, "/")[3] {
	case "right":
	case "late":
		time.Sleep(150 * time.Millisecond)
	case "swapped":
		answer["output"] = standin.GeneratedText("another input", req.MaxTokens)
	case "refused":
		w.WriteHeader(http.StatusServiceUnavailable)
		io.WriteString(w, `{"type":"urn:x:problem:unavailable","ran":"not run"}`)
		return
	case "cut":
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprintf(w, "data: {\"text\":%q}\n\n", answer["output"])
		return
	}
	json.NewEncoder(w).Encode(answer)
}

// Guards against answers to other requests, late answers and truncated streams that
// count as answered, and against refusals that are reported without their kind.
func TestRunClassifiesOutcomes(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(fakeDaemon))
	defer srv.Close()
	s := &Scenario{Seed: 3, Daemons: []string{srv.Listener.Addr().String()}, MaxInFlight: 1000, Classes: map[string]Class{}, Phases: []Phase{{DurationMs: 500, Rates: map[string]float64{}}}}
	for _, name := range []string{"right", "late", "swapped", "refused", "cut"} {
		s.Classes[name] = Class{Account: "a", Rank: "normal", Pipeline: name, InputBytes: Range{40, 60}, MaxTokens: 3, DeadlineMs: 5000, Stream: name == "cut"}
		s.Phases[0].Rates[name] = 40
	}
	late := s.Classes["late"]
	late.DeadlineMs = 20
	s.Classes["late"] = late
	res, err := Run(t.Context(), "test", s)
	if err != nil {
		t.Fatal(err)
	}
	for name, counted := range map[string]func(*Row) int64{
		"right": func(r *Row) int64 { return r.InTime }, "late": func(r *Row) int64 { return r.Late }, "swapped": func(r *Row) int64 { return r.Wrong },
		"refused": func(r *Row) int64 { return r.Refusals["unavailable, not run"].Count }, "cut": func(r *Row) int64 { return r.Unfinished },
	} {
		if row := res.Groups["class:"+name]; row == nil || row.Offered == 0 || counted(row) != row.Offered {
			t.Errorf("%s: %+v", name, row)
		}
	}
}

// Guards against phases without arrivals of a class that count in its goodput. They
// would lower the goodput without overload too, and hide what an overload costs.
func TestGoodputCountsActivePhases(t *testing.T) {
	s := &Scenario{WarmUpMs: 1000, Classes: map[string]Class{"a": {}, "b": {}},
		Phases: []Phase{{2000, map[string]float64{"a": 1}}, {5000, map[string]float64{"b": 1}}, {3000, map[string]float64{"a": 1, "b": 1}}}}
	c := newCollector(s)
	for name, want := range map[string]time.Duration{"a": 4 * time.Second, "b": 8 * time.Second} {
		if got := c.activeTime(&requestGroup{classes: map[string]bool{name: true}}); got != want {
			t.Errorf("%s is active for %s, want %s", name, got, want)
		}
	}
}

// Guards against arrivals that wait for answers. A slow daemon would then be offered
// less load, which would hide its slowness.
func TestArrivalsDoNotWaitForAnswers(t *testing.T) {
	release := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { <-release }))
	defer srv.Close()
	const rate, bound = 200.0, 20
	s := &Scenario{Seed: 5, Daemons: []string{srv.Listener.Addr().String()}, MaxInFlight: bound,
		Classes: map[string]Class{"a": {Account: "a", Rank: "bulk", Pipeline: "p", InputBytes: Range{40, 40}, DeadlineMs: 60_000}},
		Phases:  []Phase{{DurationMs: 1000, Rates: map[string]float64{"a": rate}}}}
	time.AfterFunc(1500*time.Millisecond, func() { close(release) })
	res, err := Run(t.Context(), "test", s)
	if err != nil {
		t.Fatal(err)
	}
	all := res.Groups["all"]
	if math.Abs(float64(all.Offered)-rate) > 5*math.Sqrt(rate) || all.Offered-all.NotSent != bound {
		t.Errorf("%d offered, %d not sent, want about %g offered and %d sent", all.Offered, all.NotSent, rate, bound)
	}
}

// Guards against inputs without their shared prefix, which would make a measurement
// of prefix routing meaningless, and against two requests with the same input.
func TestInputsShareTheirPrefix(t *testing.T) {
	g := newInputGenerator("c", Class{Prefixes: 2, PrefixBytes: 256, InputBytes: Range{32, 90}}, rand.New(rand.NewPCG(1, 2)))
	heads, inputs := map[string]bool{}, map[string]bool{}
	for range 50 {
		in := g.next()
		heads[in[:256]], inputs[in] = true, true
	}
	if len(heads) != 2 || len(inputs) != 50 {
		t.Errorf("%d prefixes and %d inputs", len(heads), len(inputs))
	}
}
