package capacity

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/localrun"
	"eelgrassgrade/internal/standin"
)

// stagePools are the pools of the first three stages of every pipeline; all
// further pools are engines.
var stagePools = []string{config.KindEncoder, config.KindRetriever, config.KindReranker}

func pool(i int) (id core.PoolID, kind string) {
	if i < len(stagePools) {
		return core.PoolID(stagePools[i]), stagePools[i]
	}
	return core.PoolID(fmt.Sprintf("engine-%d", i)), config.KindEngine
}

// lists returns an operators' file of the given size. Every pool reports load,
// as the costliest case.
func lists(accounts, pipelines, pools int) []byte {
	var b bytes.Buffer
	b.WriteString(`{"plans":{"standard":{"pipelines":["*"],"requests_per_s":100}},"pools":{`)
	for i := range pools {
		id, kind := pool(i)
		fmt.Fprintf(&b, "%s\n\"%s\":{\"kind\":\"%s\",\"model\":\"text-7b\",\"reports_load\":true}", comma(i), id, kind)
	}
	b.WriteString("},\"pipelines\":{")
	for i := range pipelines {
		fmt.Fprintf(&b, "%s\n\"pipeline-%d\":{\"stages\":[", comma(i), i)
		for j, id := range stagePools {
			fmt.Fprintf(&b, "%s{\"name\":\"%s\",\"pool\":\"%s\"}", comma(j), id, id)
		}
		engine, _ := pool(len(stagePools) + i%(pools-len(stagePools)))
		fmt.Fprintf(&b, ",{\"name\":\"generate\",\"pool\":\"%s\"}]}", engine)
	}
	b.WriteString("},\"accounts\":{")
	for i := range accounts {
		fmt.Fprintf(&b, "%s\n\"account-%d\":{\"plan\":\"standard\",\"keys_sha256\":[\"%x\"]}", comma(i), i, sha256.Sum256(fmt.Appendf(nil, "key-%d", i)))
	}
	b.WriteString("}}")
	return b.Bytes()
}

func comma(i int) string {
	if i == 0 {
		return ""
	}
	return ","
}

// endpoints are stand-ins that run in this process: 300 processes of their own
// would take memory and no other part of the measurement needs them.
type endpoints []*http.Server

func startEndpoints(c *localrun.Cluster, n, pools int) (endpoints, error) {
	var started endpoints
	for i := range n {
		id, kind := pool(i % pools)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return started, err
		}
		e := standin.NewEndpoint(standin.EndpointOptions{Kind: kind, Slots: 8, Engine: standin.EngineOptions{Model: "text-7b", Version: "1"}})
		srv := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: time.Second}
		go srv.Serve(ln)
		started = append(started, srv)
		// Each pool is spread over all data centres.
		dc := c.Spec.DataCenters[(i/pools+i)%len(c.Spec.DataCenters)]
		p := &localrun.Process{ID: core.InstanceID(fmt.Sprintf("%s-%d", id, i)), Address: ln.Addr().String(), DataCenter: dc, Pool: id}
		if err := c.SetListedState(p, string(core.Live)); err != nil {
			return started, err
		}
	}
	return started, nil
}

func (e endpoints) close() {
	for _, srv := range e {
		srv.Close()
	}
}

// Spread says how fast a configuration reached every daemon.
type Spread struct {
	// AcceptS is the time from the operator's request to its answer.
	AcceptS float64 `json:"accept_s"`
	// LastS is the time from the answer until the last daemon's /metrics showed
	// the version. It includes the time of reading /metrics, so it is an upper bound.
	LastS float64 `json:"last_s"`
}

// spreadPause is the time between two reads of /metrics of a daemon that does
// not have the new version yet; more reads would slow the daemons down.
const spreadPause = 10 * time.Millisecond

// measureSpread applies lists as version 2.
func measureSpread(ctx context.Context, c *localrun.Cluster, lists []byte) (Spread, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	start := time.Now()
	if _, err := c.CallOperatorAPI(ctx, c.Daemons[0], http.MethodPost, "/v1/lists?base=1&author=capacity", string(lists)); err != nil {
		return Spread{}, err
	}
	accepted := time.Now()
	seen, failed := make([]time.Time, len(c.Daemons)), make([]error, len(c.Daemons))
	var wg sync.WaitGroup
	for i, d := range c.Daemons {
		wg.Go(func() { seen[i], failed[i] = waitVersion(ctx, d, 2) })
	}
	wg.Wait()
	last := accepted
	for i := range seen {
		if failed[i] != nil {
			return Spread{}, errors.Annotate(failed[i], string(c.Daemons[i].ID))
		}
		if seen[i].After(last) {
			last = seen[i]
		}
	}
	return Spread{AcceptS: accepted.Sub(start).Seconds(), LastS: last.Sub(accepted).Seconds()}, nil
}

func waitVersion(ctx context.Context, d *localrun.Process, version float64) (time.Time, error) {
	for {
		values, err := scrape(d)
		if err != nil {
			return time.Time{}, err
		}
		if values[metricKey{name: "eelgrass_config_version"}] >= version {
			return time.Now(), nil
		}
		if err := pause(ctx, spreadPause); err != nil {
			return time.Time{}, err
		}
	}
}
