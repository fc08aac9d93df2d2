// Command eelgrass-local runs daemons and stand-ins for their surroundings on this
// machine. It can run a short demo, a deployment for manual experiments, benchmarks,
// and a measurement of the daemons' cost without caller traffic.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"eelgrassgrade/internal/bench"
)

type options struct {
	bin, dir    string
	strict      bool
	deployment  string
	daemons     int
	runs        int
	resultsFile string
	plots       bool
	capacity    capacityOptions
}

func main() {
	var o options
	flag.StringVar(&o.bin, "bin", "bin", "`directory` with the eelgrassd and eelgrass-standin programs")
	flag.StringVar(&o.dir, "dir", "run", "`directory` for settings, logs and state")
	flag.BoolVar(&o.strict, "strict", false, "demo: fail if the non-repeatable call is not answered or does not run exactly once")
	flag.StringVar(&o.deployment, "deployment", "moulds", "up: example deployment, moulds or races")
	flag.IntVar(&o.daemons, "daemons", 3, "up: number of daemons")
	flag.IntVar(&o.runs, "runs", 3, "bench: runs per policy; overhead: runs")
	flag.StringVar(&o.resultsFile, "out", "run/bench.json", "bench: JSON `file` to which rows are appended")
	flag.BoolVar(&o.plots, "plots", false, "bench: write the full result and a plot of each run to its log directory")
	capacityFlags(&o.capacity)
	flag.Usage = func() {
		fmt.Fprintln(flag.CommandLine.Output(), "usage: eelgrass-local [FLAGS] [demo | up | down | overhead | capacity | bench NAME...]")
		flag.PrintDefaults()
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	name := "demo"
	if flag.NArg() > 0 {
		name = flag.Arg(0)
		// Flags are also accepted after the command.
		flag.CommandLine.Parse(flag.Args()[1:])
	}
	if err := run(ctx, o, name, flag.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "eelgrass-local:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options, name string, args []string) error {
	switch name {
	case "demo":
		return demo(ctx, o)
	case "up":
		return up(ctx, o)
	case "down":
		return down(o)
	case "overhead":
		return bench.Overhead(ctx, o.bin, o.dir, o.runs, os.Stdout)
	case "bench":
		return runBench(ctx, o, args)
	case "capacity":
		return runCapacity(ctx, o)
	default:
		return fmt.Errorf("unknown command %q", name)
	}
}
