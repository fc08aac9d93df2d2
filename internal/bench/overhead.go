package bench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/localrun"
)

const (
	// overheadCalls is the number of measured calls per run and path.
	overheadCalls = 5000
	// overheadWarmUp is the number of calls before them that are not measured.
	overheadWarmUp = 500
	// maxCallUs is the longest call time that can be recorded, in microseconds.
	maxCallUs = 10_000_000
)

// Overhead measures the latency that a daemon adds to a call of a plain service. Each
// run makes the same call repeatedly, first directly and then through the daemon, one
// call at a time on persistent connections. It prints a table row per run.
func Overhead(ctx context.Context, bin, dir string, runs int, table io.Writer) error {
	c, err := localrun.Start(ctx, localrun.Spec{Dir: filepath.Join(dir, "overhead"), BinDir: bin, DataCenters: []string{"north"}, Daemons: 1,
		Pools: []localrun.Pool{
			{ID: "wood-ledger", Kind: config.KindService, Count: 1, Args: []string{"-service-time", "0s"}},
		}})
	if err != nil {
		return err
	}
	defer c.Stop()
	lists, err := os.ReadFile("examples/lists/moulds.jsonc")
	if err != nil {
		return errors.Trace(err)
	}
	// The rate limit of the plan would refuse most of the calls.
	lists = bytes.ReplaceAll(lists, []byte(`"requests_per_s": 50, `), nil)
	if err := c.ApplyLists(ctx, 0, lists); err != nil {
		return err
	}
	direct := localrun.Request{Path: "/lookup", Body: `{"item":1}`}
	through := localrun.Request{Path: "/v1/services/wood-ledger/lookup", Account: "shop-counter", Body: direct.Body}
	fmt.Fprintln(table, "| run | direct p50, p99 | through the daemon p50, p99 | added p50, p99 |\n|---|---|---|---|")
	for run := range runs {
		directTimes, err := callTimes(ctx, c.Endpoints[0].Address, direct)
		if err != nil {
			return err
		}
		proxiedTimes, err := callTimes(ctx, c.Daemons[0].Address, through)
		if err != nil {
			return err
		}
		fmt.Fprintf(table, "| %d | %s | %s | %.3f, %.3f ms |\n", run+1, formatQuantiles(directTimes), formatQuantiles(proxiedTimes), addedMs(directTimes, proxiedTimes, 50), addedMs(directTimes, proxiedTimes, 99))
	}
	return nil
}

// callTimes makes the calls of one path and returns their times in microseconds,
// without the warm-up.
func callTimes(ctx context.Context, addr string, r localrun.Request) (*hdrhistogram.Histogram, error) {
	h := hdrhistogram.New(1, maxCallUs, 3)
	for n := range overheadWarmUp + overheadCalls {
		a := localrun.Send(ctx, addr, r)
		if a.Err != nil || a.Status != 200 {
			return nil, errors.Errorf("call %d failed: status %d, error %v", n, a.Status, a.Err)
		}
		if n >= overheadWarmUp {
			if err := h.RecordValue(max(1, int64(a.Elapsed/time.Microsecond))); err != nil {
				return nil, errors.Trace(err)
			}
		}
	}
	return h, nil
}

func formatQuantiles(h *hdrhistogram.Histogram) string {
	return fmt.Sprintf("%.3f, %.3f ms", quantileMs(h, 50), quantileMs(h, 99))
}

func quantileMs(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func addedMs(direct, proxied *hdrhistogram.Histogram, q float64) float64 {
	return quantileMs(proxied, q) - quantileMs(direct, q)
}
