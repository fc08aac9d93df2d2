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
	overheadCalls  = 5000
	overheadWarmUp = 500
	// maxCall bounds a recorded call, in microseconds.
	maxCall = 10_000_000
)

// Overhead measures what one daemon adds to a call of a plain service: the same
// call made directly and through the daemon, one after the other on kept
// connections. It prints a row per run.
func Overhead(ctx context.Context, bin, dir string, runs int, out io.Writer) error {
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
	lists = bytes.ReplaceAll(lists, []byte(`"requests_per_s": 50, `), nil)
	if err := c.ApplyLists(ctx, 0, lists); err != nil {
		return err
	}
	direct := localrun.Request{Path: "/lookup", Body: `{"item":1}`}
	through := localrun.Request{Path: "/v1/services/wood-ledger/lookup", Account: "shop-counter", Body: direct.Body}
	fmt.Fprintln(out, "| run | direct p50, p99 | through the daemon p50, p99 | added p50, p99 |\n|---|---|---|---|")
	for run := range runs {
		a, err := callTimes(ctx, c.Endpoints[0].Address, direct)
		if err != nil {
			return err
		}
		b, err := callTimes(ctx, c.Daemons[0].Address, through)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "| %d | %s | %s | %.3f, %.3f ms |\n", run+1, quantiles(a), quantiles(b), added(a, b, 50), added(a, b, 99))
	}
	return nil
}

// callTimes returns the times of calls in microseconds.
func callTimes(ctx context.Context, addr string, r localrun.Request) (*hdrhistogram.Histogram, error) {
	h := hdrhistogram.New(1, maxCall, 3)
	for n := range overheadWarmUp + overheadCalls {
		a := localrun.Send(ctx, addr, r)
		if a.Err != nil || a.Status != 200 {
			return nil, errors.Errorf("call %d: status %d, %v", n, a.Status, a.Err)
		}
		if n >= overheadWarmUp {
			if err := h.RecordValue(max(1, int64(a.Elapsed/time.Microsecond))); err != nil {
				return nil, errors.Trace(err)
			}
		}
	}
	return h, nil
}

func quantiles(h *hdrhistogram.Histogram) string {
	return fmt.Sprintf("%.3f, %.3f ms", ms(h, 50), ms(h, 99))
}

func ms(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }

func added(a, b *hdrhistogram.Histogram, q float64) float64 { return ms(b, q) - ms(a, q) }
