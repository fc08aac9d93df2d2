package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"

	"eelgrassgrade/internal/bench"
)

const scenarioDir = "examples/load"

// runBench runs the named scenarios of scenarioDir, or all of them if names is empty.
func runBench(ctx context.Context, o options, names []string) error {
	if len(names) == 0 {
		files, err := filepath.Glob(filepath.Join(scenarioDir, "*.jsonc"))
		if err != nil {
			return err
		}
		for _, f := range files {
			names = append(names, strings.TrimSuffix(filepath.Base(f), ".jsonc"))
		}
	}
	opts := bench.Options{BinDir: o.bin, Dir: filepath.Join(o.dir, "bench"), Runs: o.runs, ResultsFile: o.resultsFile, KeepResults: o.plots, Table: os.Stdout, Progress: os.Stderr}
	for _, n := range names {
		if err := bench.Run(ctx, filepath.Join(scenarioDir, n+".jsonc"), opts); err != nil {
			return err
		}
	}
	return nil
}
