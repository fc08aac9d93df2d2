package bench

import (
	"crypto/sha256"
	"math"
	"path/filepath"
	"strings"
	"testing"

	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/load"
	"eelgrassgrade/internal/standin"
)

// Guards against an example scenario that only fails after minutes of load, because
// it names an unknown figure, class or account or its lists are invalid.
func TestExampleScenariosAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/load/*.jsonc")
	if err != nil || len(files) == 0 {
		t.Fatalf("no example scenarios: %v", err)
	}
	for _, f := range files {
		p, err := readPlan(f)
		if err != nil {
			t.Error(err)
			continue
		}
		s, err := config.Compile(p.deployment.Lists, p.lists, 1)
		if err != nil {
			t.Errorf("%s: %v", f, err)
			continue
		}
		groups := map[string]*load.Row{"all": {}}
		for name, c := range p.scenario.Classes {
			if id, ok := s.AccountByKey(sha256.Sum256([]byte(c.Key))); !ok || string(id) != c.Account {
				t.Errorf("%s: class %s has the key of account %q", f, name, id)
			}
			_, isPipeline := s.Lists.Pipelines[c.Pipeline]
			_, isOperation := s.Lists.Services[c.Service].Operations[c.Operation]
			if isPipeline == isOperation {
				t.Errorf("%s: class %s names not exactly one known pipeline or operation", f, name)
			}
			groups["class:"+name], groups["rank:"+c.Rank], groups["account:"+c.Account] = &load.Row{}, &load.Row{}, &load.Row{}
		}
		for _, name := range p.scenario.Bench.Report {
			fig, err := parseFigure(name)
			if err == nil {
				_, err = fig(measurement{result: &load.Result{Groups: groups}})
			}
			if err != nil {
				t.Errorf("%s: %v", f, err)
			}
		}
	}
}

// Guards against wrong formulas, which make a run look better than it was, and
// against misspelt figure names.
func TestFigures(t *testing.T) {
	m := measurement{lastFaultS: 2, counts: map[string]standin.Counts{"g": {Calls: 33, BusyMs: 200, CancelledBusyMs: 10}}, result: &load.Result{
		Groups: map[string]*load.Row{"class:a": {GoodputPerS: 10}, "class:b": {GoodputPerS: 10}, "class:c": {GoodputPerS: 0}},
		Series: map[string][]load.Point{"urgent": {{Offered: 5, InTime: 5}, {Offered: 5}, {Offered: 5}, {Offered: 5, InTime: 5}}, "bulk": {{Offered: 10, InTime: 10}}},
	}}
	for name, want := range map[string]float64{
		"calls_per_request.g": 1.1, "cancelled_share.g": 0.05, "counts.g.calls": 33,
		"jain.a,b": 1, "jain.a,b,c": 2.0 / 3, "recovery_s": 1, "class:a.goodput_per_s": 10,
	} {
		fig, err := parseFigure(name)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := fig(m); err != nil || math.Abs(got-want) > 1e-9 {
			t.Errorf("%s = %v (%v), want %v", name, got, err, want)
		}
	}
	if _, err := parseFigure("all.atainment"); err == nil || !strings.Contains(err.Error(), "no such field") {
		t.Errorf("a misspelt field gives %v", err)
	}
}
