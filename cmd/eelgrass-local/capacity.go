package main

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/capacity"
)

type capacityOptions struct {
	daemons                                            string
	dataCenters, endpoints, accounts, pipelines, pools int
	window                                             time.Duration
}

func capacityFlags(o *capacityOptions) {
	flag.StringVar(&o.daemons, "daemon-counts", "8,16,32,64", "capacity: comma-separated `list` of daemon counts to measure")
	flag.IntVar(&o.dataCenters, "data-centers", 4, "capacity: number of data centres")
	flag.IntVar(&o.endpoints, "endpoints", 20, "capacity: number of endpoints")
	flag.IntVar(&o.accounts, "accounts", 5, "capacity: number of accounts")
	flag.IntVar(&o.pipelines, "pipelines", 3, "capacity: number of pipelines")
	// The design scale has 15 pools.
	flag.IntVar(&o.pools, "pools", 15, "capacity: number of pools")
	flag.DurationVar(&o.window, "window", 10*time.Second, "capacity: measuring time per deployment")
}

// capacitySettleTime is the time before each measurement in which start-up work and
// the first exchanges between daemons complete.
const capacitySettleTime = 5 * time.Second

func runCapacity(ctx context.Context, o options) error {
	c := o.capacity
	opts := capacity.Options{BinDir: o.bin, Dir: filepath.Join(o.dir, "capacity"), DataCenters: c.dataCenters, Pools: c.pools, Endpoints: c.endpoints, Accounts: c.accounts,
		Pipelines: c.pipelines, SettleTime: capacitySettleTime, Window: c.window, ResultsFile: filepath.Join(o.dir, "capacity.json"), Table: os.Stdout, Progress: os.Stderr}
	for _, s := range strings.Split(c.daemons, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(s))
		if err != nil {
			return errors.Annotate(err, "-daemon-counts")
		}
		opts.Daemons = append(opts.Daemons, n)
	}
	return capacity.Run(ctx, opts)
}
