package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/load"
	"eelgrassgrade/internal/localrun"
	"eelgrassgrade/internal/standin"
)

// Options configures a benchmark.
type Options struct {
	// BinDir is the directory with the programs. Dir is the directory for settings and
	// logs.
	BinDir, Dir string
	// Runs is the number of runs per policy, at least 1. Run n, from 0, adds n to the
	// scenario's seed.
	Runs int
	// ResultsFile is the JSON file to which the rows are appended.
	ResultsFile string
	// KeepResults writes the full result and a plot of each run to its log directory.
	KeepResults bool
	// Table receives the markdown tables, Progress one line per run.
	Table, Progress io.Writer
}

// Row describes one run in the results file.
type Row struct {
	Scenario string             `json:"scenario"`
	Policy   string             `json:"policy"`
	Seed     uint64             `json:"seed"`
	At       time.Time          `json:"at"`
	Figures  map[string]float64 `json:"figures"`
	// LagP99Ms is the load tool's own lag, load.Result.Lag. If it is high, the load
	// tool was overloaded and the figures are not reliable.
	LagP99Ms float64 `json:"lag_p99_ms"`
	NotSent  int64   `json:"not_sent"`
	Wrong    int64   `json:"wrong"`
}

// defaultPolicy is the name of the daemon's regular policy in the settings.
const defaultPolicy = "default"

// Run runs the scenario file with the default policy and with the baseline policy. It
// alternates between them, so that changes of the machine's speed affect both alike.
func Run(ctx context.Context, file string, o Options) error {
	p, err := readPlan(file)
	if err != nil {
		return err
	}
	policies := []string{defaultPolicy, p.scenario.Bench.Baseline}
	rows := map[string][]Row{}
	for n := range max(1, o.Runs) {
		for _, policy := range policies {
			row, err := p.run(ctx, o, policy, p.scenario.Seed+uint64(n))
			if err != nil {
				return errors.Annotatef(err, "%s with policy %s", p.name, policy)
			}
			rows[policy] = append(rows[policy], row)
			if err := appendRow(o.ResultsFile, row); err != nil {
				return err
			}
			fmt.Fprintf(o.Progress, "%s, policy %s, seed %d: %v; own lag p99 %.1f ms, %d not sent, %d wrong\n", p.name, policy, row.Seed, row.Figures, row.LagP99Ms, row.NotSent, row.Wrong)
		}
	}
	return writeTable(o.Table, p, policies, rows)
}

// run runs the scenario once, on a new deployment.
func (p *plan) run(ctx context.Context, o Options, policy string, seed uint64) (Row, error) {
	dir := filepath.Join(o.Dir, fmt.Sprintf("%s-%s-%d", p.name, policy, seed))
	c, err := p.start(ctx, o.BinDir, dir, policy)
	if err != nil {
		return Row{}, err
	}
	defer c.Stop()
	m, err := p.measure(ctx, c, seed)
	if err != nil {
		return Row{}, err
	}
	if o.KeepResults {
		if err := writeRunResult(dir, m.result); err != nil {
			return Row{}, err
		}
	}
	row := Row{Scenario: p.name, Policy: policy, Seed: seed, At: time.Now().UTC(), Figures: map[string]float64{}, LagP99Ms: m.result.Lag.P99Ms}
	if all := m.result.Groups["all"]; all != nil {
		row.NotSent, row.Wrong = all.NotSent, all.Wrong
	}
	for _, name := range p.scenario.Bench.Report {
		f, err := parseFigure(name)
		if err != nil {
			return Row{}, err
		}
		if row.Figures[name], err = f(m); err != nil {
			return Row{}, err
		}
	}
	return row, nil
}

// measure sends the load and changes the faults at their times.
func (p *plan) measure(ctx context.Context, c *localrun.Cluster, seed uint64) (measurement, error) {
	s := *p.scenario
	s.Seed, s.Daemons = seed, nil
	for _, d := range c.Daemons {
		s.Daemons = append(s.Daemons, d.Address)
	}
	m := measurement{counts: map[string]standin.Counts{}}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var faults sync.WaitGroup
	faultErrs := make(chan error, len(s.Bench.Faults))
	for _, f := range s.Bench.Faults {
		m.lastFaultS = max(m.lastFaultS, float64(f.AtMs)/1000)
		faults.Go(func() {
			select {
			case <-time.After(time.Duration(f.AtMs) * time.Millisecond):
				faultErrs <- switchFault(c, f)
			case <-ctx.Done():
			}
		})
	}
	var err error
	m.result, err = load.Run(ctx, p.name, &s)
	cancel()
	faults.Wait()
	close(faultErrs)
	for e := range faultErrs {
		if err == nil {
			err = e
		}
	}
	if err != nil {
		return m, err
	}
	// ctx was cancelled when the load ended.
	if err := m.sumStageCalls(context.WithoutCancel(ctx), c); err != nil {
		return m, err
	}
	return m, m.sumCounts(c)
}

// stageCallMetric matches the daemons' counters of stage calls by link. A call is
// local if it stays in the daemon's data centre.
var stageCallMetric = regexp.MustCompile(`(?m)^eelgrass_stage_calls_total\{.*link="(local|remote)"\} ([0-9.e+]+)$`)

// sumStageCalls adds up the local and remote stage calls of all daemons.
func (m *measurement) sumStageCalls(ctx context.Context, c *localrun.Cluster) error {
	for _, d := range c.Daemons {
		body, err := c.CallOperatorAPI(ctx, d, http.MethodGet, "/metrics", "")
		if err != nil {
			return errors.Trace(err)
		}
		for _, s := range stageCallMetric.FindAllSubmatch(body, -1) {
			n, err := strconv.ParseFloat(string(s[2]), 64)
			if err != nil {
				return errors.Trace(err)
			}
			m.allCalls += n
			if string(s[1]) == "local" {
				m.localCalls += n
			}
		}
	}
	return nil
}

// switchFault sets the faults of the stand-ins that f selects.
func switchFault(c *localrun.Cluster, f load.Fault) error {
	targets := c.PoolEndpoints(core.PoolID(f.Pool))
	if f.Endpoint != "" {
		p := c.FindProcess(core.InstanceID(f.Endpoint))
		if p == nil {
			return errors.Errorf("fault: endpoint %q is not in the deployment", f.Endpoint)
		}
		targets = []*localrun.Process{p}
	}
	for _, p := range targets {
		if err := p.ControlPost("/faults", f.Set); err != nil {
			return err
		}
	}
	return nil
}

// sumCounts adds up the counts of the stand-ins by pool.
func (m *measurement) sumCounts(c *localrun.Cluster) error {
	for _, p := range c.Endpoints {
		var n standin.Counts
		if err := p.ControlGet("/counts", &n); err != nil {
			return err
		}
		m.counts[string(p.Pool)] = m.counts[string(p.Pool)].Plus(n)
	}
	return nil
}

// writeRunResult writes the result of a run and its plot to dir.
func writeRunResult(dir string, r *load.Result) error {
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "result.json"), append(b, '\n'), 0o644); err != nil {
		return err
	}
	return r.WritePlot(filepath.Join(dir, "attainment.png"))
}

// appendRow appends the row to the JSON array in the file, which it creates if needed.
func appendRow(file string, row Row) error {
	var rows []Row
	b, err := os.ReadFile(file)
	if err == nil {
		err = json.Unmarshal(b, &rows)
	}
	if err != nil && !os.IsNotExist(err) {
		return errors.Annotate(err, file)
	}
	if b, err = json.MarshalIndent(append(rows, row), "", "  "); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return err
	}
	return os.WriteFile(file, append(b, '\n'), 0o644)
}

// writeTable prints a markdown table with the median and range of each figure.
func writeTable(w io.Writer, p *plan, policies []string, rows map[string][]Row) error {
	fmt.Fprintf(w, "\n### %s\n\n| figure |", p.name)
	for _, policy := range policies {
		fmt.Fprintf(w, " %s, %d runs |", policy, len(rows[policy]))
	}
	fmt.Fprint(w, "\n|---|---|---|\n")
	printRow := func(name string, valueOf func(Row) float64) {
		fmt.Fprintf(w, "| %s |", name)
		for _, policy := range policies {
			var values []float64
			for _, r := range rows[policy] {
				values = append(values, valueOf(r))
			}
			mid, low, high := median(values)
			fmt.Fprintf(w, " %.4g (%.4g to %.4g) |", mid, low, high)
		}
		fmt.Fprintln(w)
	}
	for _, name := range p.scenario.Bench.Report {
		printRow(name, func(r Row) float64 { return r.Figures[name] })
	}
	// A high lag or requests that were not sent show that the load tool itself was
	// overloaded, so that the figures do not describe the daemons.
	printRow("load tool's own lag, p99 ms", func(r Row) float64 { return r.LagP99Ms })
	printRow("not sent", func(r Row) float64 { return float64(r.NotSent) })
	printRow("wrong answers", func(r Row) float64 { return float64(r.Wrong) })
	_, err := fmt.Fprintln(w)
	return err
}
