// Package bench runs a load scenario several times on a local deployment, with the
// default policy and with a baseline policy, and reports the figures side by side.
package bench

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/jsonc"
	"eelgrassgrade/internal/load"
	"eelgrassgrade/internal/localrun"
)

// deployment is the content of a deployment file.
type deployment struct {
	Daemons     int      `json:"daemons"`
	DataCenters []string `json:"data_centers"`
	// Lists is the path of the operators' lists, relative to the deployment file.
	Lists string `json:"lists"`
	Pools []pool `json:"pools"`
}

// pool describes a pool and its stand-ins.
type pool struct {
	ID    core.PoolID `json:"id"`
	Kind  string      `json:"kind"`
	Count int         `json:"count"`
	Args  []string    `json:"args,omitempty"`
}

// plan is a scenario with its deployment and lists.
type plan struct {
	name       string
	scenario   *load.Scenario
	deployment deployment
	lists      []byte
}

// maxProcesses is the maximum number of daemons and stand-ins of a deployment.
const maxProcesses = 200

// readPlan reads and validates a scenario file and the files that it refers to.
func readPlan(file string) (*plan, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	p := &plan{name: trimExt(filepath.Base(file))}
	if p.scenario, err = load.Parse(file, src); err != nil {
		return nil, err
	}
	b := p.scenario.Bench
	if b == nil {
		return nil, errors.Errorf("%s: key \"bench\" is missing, it describes the deployment and the report", file)
	}
	path := filepath.Join(filepath.Dir(file), b.Deployment)
	if src, err = os.ReadFile(path); err != nil {
		return nil, err
	}
	doc, err := jsonc.Parse(path, src)
	if err != nil {
		return nil, err
	}
	if err := doc.Decode(&p.deployment); err != nil {
		return nil, err
	}
	if p.lists, err = os.ReadFile(filepath.Join(filepath.Dir(path), p.deployment.Lists)); err != nil {
		return nil, err
	}
	return p, p.check(doc)
}

func trimExt(name string) string { return name[:len(name)-len(filepath.Ext(name))] }

func (p *plan) check(doc *jsonc.Document) error {
	d, pools := p.deployment, map[string]int{}
	total := d.Daemons
	for _, pl := range d.Pools {
		pools[string(pl.ID)] = pl.Count
		total += pl.Count
	}
	if d.Daemons < 1 || len(d.DataCenters) < 1 || total > maxProcesses {
		return doc.ErrorAt("", fmt.Sprintf("%d daemons, %d processes", d.Daemons, total), "1 daemon or more, a data centre, at most 200 processes")
	}
	for id := range p.scenario.Bench.Args {
		if _, ok := pools[id]; !ok {
			return errors.Errorf("%s: bench.args: pool %q is not in the deployment", p.name, id)
		}
	}
	for _, f := range p.scenario.Bench.Faults {
		if _, ok := pools[f.Pool]; (f.Pool == "") == (f.Endpoint == "") || (f.Pool != "" && !ok) {
			return errors.Errorf("%s: a fault needs either a pool of the deployment or an endpoint, found pool %q and endpoint %q", p.name, f.Pool, f.Endpoint)
		}
	}
	for _, name := range p.scenario.Bench.Report {
		if _, err := parseFigure(name); err != nil {
			return errors.Annotate(err, p.name)
		}
	}
	return nil
}

// startTimeout bounds the start of a deployment including its lists.
const startTimeout = 60 * time.Second

// start starts the deployment with the given policy and applies the lists.
func (p *plan) start(ctx context.Context, bin, dir, policy string) (*localrun.Cluster, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	spec := localrun.Spec{Dir: dir, BinDir: bin, DataCenters: p.deployment.DataCenters, Daemons: p.deployment.Daemons, Policy: policy}
	for _, pl := range p.deployment.Pools {
		args := append(append([]string{}, pl.Args...), p.scenario.Bench.Args[string(pl.ID)]...)
		spec.Pools = append(spec.Pools, localrun.Pool{ID: pl.ID, Kind: pl.Kind, Count: pl.Count, Args: args})
	}
	c, err := localrun.Start(ctx, spec)
	if err != nil {
		return nil, err
	}
	if err := c.ApplyLists(ctx, 0, p.lists); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}
