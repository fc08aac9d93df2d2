package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"

	"eelgrassgrade/internal/load"
)

func setupLoad(t *tool, fs *flag.FlagSet) func(context.Context, []string) error {
	resultFile := fs.String("out", "", "JSON `file` to write the result to")
	plotFile := fs.String("plot", "", "PNG `file` to plot the attainment by rank over time to")
	seed := fs.Uint64("seed", 0, "random seed that replaces the scenario's; 0 keeps it")
	var daemons []string
	fs.Func("daemon", "caller API `address` of a daemon, replaces the scenario's; repeatable or comma-separated", func(s string) error {
		daemons = append(daemons, strings.Split(s, ",")...)
		return nil
	})
	return func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return usageError("load takes exactly one scenario file")
		}
		src, err := os.ReadFile(args[0])
		if err != nil {
			return err
		}
		s, err := load.Parse(args[0], src)
		if err != nil {
			return err
		}
		if len(daemons) > 0 {
			s.Daemons = daemons
		}
		if *seed != 0 {
			s.Seed = *seed
		}
		res, err := load.Run(ctx, strings.TrimSuffix(filepath.Base(args[0]), ".jsonc"), s)
		if err != nil {
			return err
		}
		if *resultFile != "" {
			b, err := json.MarshalIndent(res, "", "  ")
			if err != nil {
				return err
			}
			if err := os.WriteFile(*resultFile, append(b, '\n'), 0o644); err != nil {
				return err
			}
		}
		if *plotFile != "" {
			if err := res.WritePlot(*plotFile); err != nil {
				return err
			}
		}
		return res.WriteTable(t.stdout)
	}
}
