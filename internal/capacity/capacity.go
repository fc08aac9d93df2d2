// Package capacity measures the resources that a daemon uses without caller traffic,
// for example for exchanges with its peers, on local deployments of several sizes. It
// extrapolates the figures to the design scale.
package capacity

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/localrun"
)

// Options configures a measurement.
type Options struct {
	// BinDir is the directory with the programs. Dir is the directory for settings and
	// logs.
	BinDir, Dir string
	// Daemons lists the daemon counts to measure.
	Daemons []int
	// DataCenters, Pools, Endpoints, Accounts and Pipelines are the other sizes of the
	// deployments in which the number of daemons varies.
	DataCenters, Pools, Endpoints, Accounts, Pipelines int
	// SettleTime is the time between applying the lists and the start of the window.
	SettleTime time.Duration
	// Window is the time over which rates are measured.
	Window time.Duration
	// ResultsFile is the JSON file to which the results are written.
	ResultsFile string
	// Table receives the markdown tables, Progress one line per deployment.
	Table, Progress io.Writer
}

// Size holds the sizes of a deployment that vary.
type Size struct {
	Daemons   int `json:"daemons"`
	Endpoints int `json:"endpoints"`
	Accounts  int `json:"accounts"`
	Pipelines int `json:"pipelines"`
}

// designScale is the target size from section 1.3 of docs/design.md.
var designScale = Size{Daemons: 330, Endpoints: 600, Accounts: 1300, Pipelines: 35}

// Values that the other sizes take in turn, in deployments of variationDaemons daemons.
var (
	endpointLevels = []int{20, 100, 300}
	accountLevels  = []int{5, 325, 1300}
	pipelineLevels = []int{3, 35}
)

const (
	variationDaemons = 8
	// Larger deployments would use more than half of the memory of a 32 GiB machine.
	maxDaemons   = 100
	maxEndpoints = 600
)

func (o Options) check() error {
	for _, n := range o.Daemons {
		if n < 2 || n > maxDaemons {
			return errors.Errorf("%d daemons, want 2 to %d", n, maxDaemons)
		}
	}
	if len(o.Daemons) < 2 {
		return errors.Errorf("%d daemon counts, want 2 or more to fit a line", len(o.Daemons))
	}
	if o.DataCenters < 1 || o.Pools < 4 || o.Accounts < 1 || o.Pipelines < 1 || o.Endpoints < 0 || o.Endpoints > maxEndpoints {
		return errors.Errorf("%d data centres (want 1 or more), %d pools (want 4 or more), %d accounts (want 1 or more), %d pipelines (want 1 or more), %d endpoints (want 0 to %d)",
			o.DataCenters, o.Pools, o.Accounts, o.Pipelines, o.Endpoints, maxEndpoints)
	}
	if o.Window < time.Second {
		return errors.Errorf("window of %s, want 1s or more", o.Window)
	}
	return nil
}

// Run measures all deployments, writes the results file and prints the tables.
func Run(ctx context.Context, o Options) error {
	if err := o.check(); err != nil {
		return err
	}
	r := &result{At: time.Now().UTC(), options: o, Window: o.Window.String(), DataCenters: o.DataCenters, Pools: o.Pools}
	base := Size{Endpoints: o.Endpoints, Accounts: o.Accounts, Pipelines: o.Pipelines}
	for _, n := range o.Daemons {
		s := base
		s.Daemons = n
		if err := r.measure(ctx, s); err != nil {
			return err
		}
	}
	base.Daemons = variationDaemons
	for _, a := range sizeAxes[1:] {
		for _, level := range a.levels {
			s := base
			*a.sizeField(&s) = level
			if err := r.measure(ctx, s); err != nil {
				return err
			}
		}
	}
	if err := r.fit(base); err != nil {
		return err
	}
	if err := r.write(o.ResultsFile); err != nil {
		return err
	}
	return r.print(o.Table)
}

// measure measures a deployment of size s, unless that size was already measured.
func (r *result) measure(ctx context.Context, s Size) error {
	for _, row := range r.Rows {
		if row.Size == s {
			return nil
		}
	}
	row, err := measure(ctx, r.options, s)
	if err != nil {
		return errors.Annotatef(err, "%+v", s)
	}
	r.Rows = append(r.Rows, row)
	_, err = fmt.Fprintf(r.options.Progress, "%+v: %v, load %s\n", s, row.Figures, row.LoadAverage)
	return err
}

// startTimeout bounds the start of a deployment, and the propagation of a configuration.
const startTimeout = 30 * time.Second

// measure starts a deployment of size s and returns its figures.
func measure(ctx context.Context, o Options, s Size) (Row, error) {
	row := Row{Size: s}
	dir := filepath.Join(o.Dir, fmt.Sprintf("%d-%d-%d-%d", s.Daemons, s.Endpoints, s.Accounts, s.Pipelines))
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	spec := localrun.Spec{Dir: dir, BinDir: o.BinDir, Daemons: s.Daemons}
	for i := range o.DataCenters {
		spec.DataCenters = append(spec.DataCenters, fmt.Sprintf("dc%d", i))
	}
	c, err := localrun.Start(startCtx, spec)
	if err != nil {
		return row, err
	}
	defer c.Stop()
	endpoints, err := startEndpoints(c, s.Endpoints, o.Pools)
	defer endpoints.close()
	if err != nil {
		return row, err
	}
	if err := c.ApplyLists(startCtx, 0, lists(s.Accounts, s.Pipelines, o.Pools)); err != nil {
		return row, err
	}
	if err := sleep(ctx, o.SettleTime); err != nil {
		return row, err
	}
	before, err := takeSample(c)
	if err != nil {
		return row, err
	}
	if err := sleep(ctx, o.Window); err != nil {
		return row, err
	}
	after, err := takeSample(c)
	if err != nil {
		return row, err
	}
	row.setFigures(before, after)
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return row, err
	}
	fmt.Sscan(string(b), &row.LoadAverage)
	row.Propagation, err = measurePropagation(ctx, c, lists(designScale.Accounts, s.Pipelines, o.Pools))
	return row, err
}

// sleep waits for d, or returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
