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

// stagePools are the pools of the first three stages of every pipeline, named after
// their kinds. All other pools have the kind engine.
var stagePools = []string{config.KindEncoder, config.KindRetriever, config.KindReranker}

// poolAt returns the name and kind of pool number i.
func poolAt(i int) (id core.PoolID, kind string) {
	if i < len(stagePools) {
		return core.PoolID(stagePools[i]), stagePools[i]
	}
	return core.PoolID(fmt.Sprintf("engine-%d", i)), config.KindEngine
}

// lists returns operators' lists of the given size. Every pool reports load, which is
// the most expensive case for the daemons.
func lists(accounts, pipelines, pools int) []byte {
	var b bytes.Buffer
	b.WriteString(`{"plans":{"standard":{"pipelines":["*"],"requests_per_s":100}},"pools":{`)
	for i := range pools {
		id, kind := poolAt(i)
		fmt.Fprintf(&b, "%s\n\"%s\":{\"kind\":\"%s\",\"model\":\"text-7b\",\"reports_load\":true}", separator(i), id, kind)
	}
	b.WriteString("},\"pipelines\":{")
	for i := range pipelines {
		fmt.Fprintf(&b, "%s\n\"pipeline-%d\":{\"stages\":[", separator(i), i)
		for j, id := range stagePools {
			fmt.Fprintf(&b, "%s{\"name\":\"%s\",\"pool\":\"%s\"}", separator(j), id, id)
		}
		engine, _ := poolAt(len(stagePools) + i%(pools-len(stagePools)))
		fmt.Fprintf(&b, ",{\"name\":\"generate\",\"pool\":\"%s\"}]}", engine)
	}
	b.WriteString("},\"accounts\":{")
	for i := range accounts {
		fmt.Fprintf(&b, "%s\n\"account-%d\":{\"plan\":\"standard\",\"keys_sha256\":[\"%x\"]}", separator(i), i, sha256.Sum256(fmt.Appendf(nil, "key-%d", i)))
	}
	b.WriteString("}}")
	return b.Bytes()
}

// separator returns what precedes element i of a JSON array or object.
func separator(i int) string {
	if i == 0 {
		return ""
	}
	return ","
}

// endpointServers are the stand-ins of a deployment. They run in this process, since
// 300 separate processes would need much memory without any benefit for the
// measurement.
type endpointServers []*http.Server

// startEndpoints starts n stand-ins and lists them as live. If it fails, it also
// returns those started before.
func startEndpoints(c *localrun.Cluster, n, pools int) (endpointServers, error) {
	var started endpointServers
	for i := range n {
		id, kind := poolAt(i % pools)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return started, err
		}
		e := standin.NewEndpoint(standin.EndpointOptions{Kind: kind, Slots: 8, Engine: standin.EngineOptions{Model: "text-7b", Version: "1"}})
		srv := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: time.Second}
		go srv.Serve(ln)
		started = append(started, srv)
		// Distributes the endpoints of each pool over all data centres.
		dc := c.Spec.DataCenters[(i/pools+i)%len(c.Spec.DataCenters)]
		p := &localrun.Process{ID: core.InstanceID(fmt.Sprintf("%s-%d", id, i)), Address: ln.Addr().String(), DataCenter: dc, Pool: id}
		if err := c.SetListedState(p, string(core.Live)); err != nil {
			return started, err
		}
	}
	return started, nil
}

func (e endpointServers) close() {
	for _, srv := range e {
		srv.Close()
	}
}

// Propagation holds the times in which a new configuration reached the daemons.
type Propagation struct {
	// AcceptS is the time from the operator's request to the response.
	AcceptS float64 `json:"accept_s"`
	// LastS is the time from the response until /metrics of the last daemon shows the
	// version. It is an upper bound, since it includes the reading of /metrics.
	LastS float64 `json:"last_s"`
}

// propagationPollInterval is the time between two reads of /metrics of a daemon that
// does not have the new version yet. More frequent reads would slow down the daemons.
const propagationPollInterval = 10 * time.Millisecond

// measurePropagation applies lists as version 2 and waits until all daemons have it.
func measurePropagation(ctx context.Context, c *localrun.Cluster, lists []byte) (Propagation, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	start := time.Now()
	if _, err := c.CallOperatorAPI(ctx, c.Daemons[0], http.MethodPost, "/v1/lists?base=1&author=capacity", string(lists)); err != nil {
		return Propagation{}, err
	}
	accepted := time.Now()
	seenAt, errs := make([]time.Time, len(c.Daemons)), make([]error, len(c.Daemons))
	var wg sync.WaitGroup
	for i, d := range c.Daemons {
		wg.Go(func() { seenAt[i], errs[i] = waitVersion(ctx, d, 2) })
	}
	wg.Wait()
	last := accepted
	for i := range seenAt {
		if errs[i] != nil {
			return Propagation{}, errors.Annotate(errs[i], string(c.Daemons[i].ID))
		}
		if seenAt[i].After(last) {
			last = seenAt[i]
		}
	}
	return Propagation{AcceptS: accepted.Sub(start).Seconds(), LastS: last.Sub(accepted).Seconds()}, nil
}

// waitVersion returns the time at which /metrics of the daemon shows the version or a
// newer one.
func waitVersion(ctx context.Context, d *localrun.Process, version float64) (time.Time, error) {
	for {
		values, err := scrape(d)
		if err != nil {
			return time.Time{}, err
		}
		if values[metricKey{name: "eelgrass_config_version"}] >= version {
			return time.Now(), nil
		}
		if err := sleep(ctx, propagationPollInterval); err != nil {
			return time.Time{}, err
		}
	}
}
