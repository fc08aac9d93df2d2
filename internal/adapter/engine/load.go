package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"eelgrassgrade/internal/app/dispatch"
	"eelgrassgrade/internal/core"
)

// maxReportBytes bounds a load report and a list of cache events.
const maxReportBytes = 1 << 20

var _ dispatch.LoadSource = (*Transport)(nil)

// Load implements dispatch.LoadSource. It reads GET /metrics in the Prometheus text
// format.
func (t *Transport) Load(ctx context.Context, e core.Endpoint) (dispatch.Load, error) {
	body, err := t.get(ctx, e, "/metrics")
	if err != nil {
		return dispatch.Load{}, err
	}
	defer body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(io.LimitReader(body, maxReportBytes))
	if err != nil {
		return dispatch.Load{}, fmt.Errorf("load report of %s: %w", e.ID, err)
	}
	if families["engine_running"] == nil {
		return dispatch.Load{}, fmt.Errorf("load report of %s: metric engine_running is missing", e.ID)
	}
	return dispatch.Load{
		Running:         int(sumValues(families["engine_running"])),
		Waiting:         int(sumValues(families["engine_waiting"])),
		Slots:           int(sumValues(families["engine_slots"])),
		PrefixCacheHits: sumValues(families["engine_prefix_cache_hits"]),
	}, nil
}

// sumValues returns the sum of the values of a metric family, 0 for a missing one.
func sumValues(f *dto.MetricFamily) float64 {
	total := 0.0
	for _, m := range f.GetMetric() {
		total += m.GetGauge().GetValue() + m.GetCounter().GetValue() + m.GetUntyped().GetValue()
	}
	return total
}

// CacheEvents implements dispatch.LoadSource.
func (t *Transport) CacheEvents(ctx context.Context, e core.Endpoint, after uint64) ([]dispatch.CacheEvent, error) {
	body, err := t.get(ctx, e, "/cache/events?after="+strconv.FormatUint(after, 10))
	if err != nil {
		return nil, err
	}
	defer body.Close()
	var answer struct {
		Events []struct {
			Seq    uint64 `json:"seq"`
			Prefix string `json:"prefix"`
			Op     string `json:"op"`
		} `json:"events"`
	}
	if err := json.NewDecoder(io.LimitReader(body, maxReportBytes)).Decode(&answer); err != nil {
		return nil, fmt.Errorf("cache events of %s: %w", e.ID, err)
	}
	events := make([]dispatch.CacheEvent, len(answer.Events))
	for i, ev := range answer.Events {
		prefix, err := strconv.ParseUint(ev.Prefix, 16, 64)
		if err != nil || ev.Op != "add" && ev.Op != "evict" {
			return nil, fmt.Errorf("cache events of %s: event %d is not valid", e.ID, ev.Seq)
		}
		events[i] = dispatch.CacheEvent{Seq: ev.Seq, Prefix: prefix, Evict: ev.Op == "evict"}
	}
	return events, nil
}

func (t *Transport) get(ctx context.Context, e core.Endpoint, path string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.scheme+"://"+e.Address+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("%s of %s: status %d", path, e.ID, resp.StatusCode)
	}
	return resp.Body, nil
}
