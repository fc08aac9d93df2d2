// Command eelgrass-standin runs one stand-in of what eelgrassgrade serves or uses.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/standin"
)

type options struct {
	kind, listen, control, instances string
	lag                              time.Duration
	endpoint                         standin.EndpointOptions
}

func main() {
	var o options
	flag.StringVar(&o.kind, "kind", "", "table, objects, instances, encoder, retriever, reranker, engine or service")
	flag.StringVar(&o.listen, "listen", "127.0.0.1:0", "serving `address`")
	flag.StringVar(&o.control, "control", "127.0.0.1:0", "control `address`")
	flag.StringVar(&o.instances, "instances", "", "kind instances: JSON `file` with the instances at start")
	flag.DurationVar(&o.lag, "lag", 0, "kind instances: time until a change is published")
	endpointFlags(&o.endpoint)
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "eelgrass-standin:", err)
		os.Exit(1)
	}
}

func endpointFlags(e *standin.EndpointOptions) {
	flag.IntVar(&e.Slots, "slots", 8, "endpoints: calls that run at once")
	flag.DurationVar(&e.ServiceTime, "service-time", 5*time.Millisecond, "endpoints: time of a call; engine: up to the first token")
	flag.DurationVar(&e.LoadLag, "load-lag", 0, "endpoints: age of the load figures at /metrics")
	flag.StringVar(&e.CrashMarker, "crash-marker", "", "endpoints: `text` in a body that crashes the endpoint")
	flag.DurationVar(&e.CrashDown, "crash-down", 0, "endpoints: time that a crashed endpoint refuses connections; 0 ends the process")
	g := &e.Engine
	flag.DurationVar(&g.TokenTime, "token-time", 2*time.Millisecond, "engine: time per further token")
	flag.Float64Var(&g.BatchGrowth, "batch-growth", 0.02, "engine: part of the token time that each further running call adds")
	flag.DurationVar(&g.PrefillTime, "prefill-time", time.Millisecond, "engine: time per KiB of prompt that is not cached")
	flag.IntVar(&g.CacheBytes, "cache-bytes", 1<<20, "engine: size of the prefix cache")
	flag.DurationVar(&g.EventLag, "event-lag", 100*time.Millisecond, "engine: time until a cache event is published")
	flag.Float64Var(&g.EventLoss, "event-loss", 0, "engine: part of the cache events that are never published, 0 to 1")
	flag.BoolVar(&g.ChecksFencing, "checks-fencing", false, "engine: refuse commands with an old fencing token")
	flag.StringVar(&g.Model, "model", "text-7b", "engine: model at start")
	flag.StringVar(&g.Version, "version", "1", "engine: version of the model at start")
	flag.Uint64Var(&g.Seed, "seed", 1, "engine: seed of the loss of cache events")
}

func run(ctx context.Context, o options) error {
	switch o.kind {
	case "encoder", "retriever", "reranker", "engine", "service":
		o.endpoint.Kind = o.kind
		return standin.ServeEndpoint(ctx, o.listen, o.control, standin.NewEndpoint(o.endpoint))
	}
	h, control, err := handlers(o)
	if err != nil {
		return err
	}
	return standin.Serve(ctx, o.listen, o.control, h, control)
}

func handlers(o options) (h, control http.Handler, err error) {
	switch o.kind {
	case "table":
		t := standin.NewTable()
		return t, t.ControlHandler(), nil
	case "objects":
		s := standin.NewObjects()
		return s, s.ControlHandler(), nil
	case "instances":
		return instanceList(o)
	default:
		return nil, nil, fmt.Errorf("unknown kind %q", o.kind)
	}
}

func instanceList(o options) (h, control http.Handler, err error) {
	l := standin.NewInstanceList(o.lag)
	if o.instances != "" {
		b, err := os.ReadFile(o.instances)
		if err != nil {
			return nil, nil, err
		}
		var list []core.Instance
		if err := json.Unmarshal(b, &list); err != nil {
			return nil, nil, err
		}
		l.LoadInitial(list)
	}
	return l, l.ControlHandler(), nil
}
