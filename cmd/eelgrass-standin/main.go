// Command eelgrass-standin runs one stand-in for a component around the daemons: a
// platform service or an endpoint.
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
	publishLag                       time.Duration
	endpoint                         standin.EndpointOptions
}

func main() {
	var o options
	flag.StringVar(&o.kind, "kind", "", "`kind` of stand-in: table, objects, instances, encoder, retriever, reranker, engine or service")
	flag.StringVar(&o.listen, "listen", "127.0.0.1:0", "`address` to serve on")
	flag.StringVar(&o.control, "control", "127.0.0.1:0", "`address` of the control API")
	flag.StringVar(&o.instances, "instances", "", "instances: JSON `file` with the initial instances")
	flag.DurationVar(&o.publishLag, "lag", 0, "instances: delay until a change is published")
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
	flag.IntVar(&e.Slots, "slots", 8, "endpoints: maximum number of calls that run concurrently")
	flag.DurationVar(&e.ServiceTime, "service-time", 5*time.Millisecond, "endpoints: duration of a call; engine: time to the first token")
	flag.DurationVar(&e.LoadLag, "load-lag", 0, "endpoints: age of the load figures at /metrics")
	flag.StringVar(&e.CrashMarker, "crash-marker", "", "endpoints: `text` in a body that crashes the endpoint")
	flag.DurationVar(&e.CrashDown, "crash-down", 0, "endpoints: how long a crashed endpoint refuses connections; 0 ends the process")
	engine := &e.Engine
	flag.DurationVar(&engine.TokenTime, "token-time", 2*time.Millisecond, "engine: time for each token after the first")
	flag.Float64Var(&engine.BatchGrowth, "batch-growth", 0.02, "engine: growth of the token time with each additional running call, as a fraction")
	flag.DurationVar(&engine.PrefillTime, "prefill-time", time.Millisecond, "engine: time per KiB of uncached prompt")
	flag.IntVar(&engine.CacheBytes, "cache-bytes", 1<<20, "engine: size of the prefix cache, in bytes")
	flag.DurationVar(&engine.EventLag, "event-lag", 100*time.Millisecond, "engine: delay until a cache event is published")
	flag.Float64Var(&engine.EventLoss, "event-loss", 0, "engine: fraction of the cache events that are never published, 0 to 1")
	flag.BoolVar(&engine.ChecksFencing, "checks-fencing", false, "engine: refuse commands with an outdated fencing token")
	flag.StringVar(&engine.Model, "model", "text-7b", "engine: initial model")
	flag.StringVar(&engine.Version, "version", "1", "engine: initial version of the model")
	flag.Uint64Var(&engine.Seed, "seed", 1, "engine: random seed for the loss of cache events")
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

// handlers returns the serving and the control handler of a platform stand-in.
func handlers(o options) (h, control http.Handler, err error) {
	switch o.kind {
	case "table":
		t := standin.NewTable()
		return t, t.ControlHandler(), nil
	case "objects":
		s := standin.NewObjects()
		return s, s.ControlHandler(), nil
	case "instances":
		return instanceListHandlers(o)
	default:
		return nil, nil, fmt.Errorf("unknown kind %q", o.kind)
	}
}

func instanceListHandlers(o options) (h, control http.Handler, err error) {
	l := standin.NewInstanceList(o.publishLag)
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
