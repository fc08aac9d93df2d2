package capacity

import (
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"eelgrassgrade/internal/localrun"
)

// metricValues holds a daemon's metrics, summed over all labels except direction.
type metricValues map[metricKey]float64

// metricKey identifies a metric. direction is the value of the label direction, or
// empty for metrics without that label.
type metricKey struct{ name, direction string }

var metricsClient = &http.Client{Timeout: 5 * time.Second}

// scrape reads /metrics of a daemon.
func scrape(d *localrun.Process) (metricValues, error) {
	resp, err := metricsClient.Get("http://" + d.ControlAddress + "/metrics")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s: /metrics: %s", d.ID, resp.Status)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return nil, errors.Annotate(err, string(d.ID))
	}
	values := metricValues{}
	for name, f := range families {
		for _, m := range f.GetMetric() {
			key := metricKey{name: name}
			for _, l := range m.GetLabel() {
				if l.GetName() == "direction" {
					key.direction = l.GetValue()
				}
			}
			values[key] += m.GetUntyped().GetValue() + m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return values, nil
}

// storeCounts holds the number of calls to a platform stand-in.
type storeCounts struct{ Reads, Writes float64 }

// sample holds all counters of a deployment at one time.
type sample struct {
	daemons                   []daemonSample
	table, objects, instances storeCounts
	at                        time.Time
}

// daemonSample holds the counters of one daemon and its memory, by figure.
type daemonSample struct {
	at     time.Time
	values map[string]float64
}

// Names of the figures. All are per daemon.
const (
	figureCPU       = "cpu_cores"
	figureMemory    = "memory_mb"
	figureMsgsOut   = "messages_out_per_s"
	figureMsgsIn    = "messages_in_per_s"
	figureBytesOut  = "payload_out_bytes_per_s"
	figureBytesIn   = "payload_in_bytes_per_s"
	figureHeadersIn = "headers_in_bytes_per_s"
	figureTable     = "table_calls_per_s"
	figureObjects   = "object_calls_per_s"
	figureInstances = "instance_list_calls_per_s"
)

// rateFigures lists the figures that are rates of a daemon's counters.
var rateFigures = []struct {
	figure string
	metric metricKey
}{
	{figureCPU, metricKey{"process_cpu_seconds_total", ""}},
	{figureMsgsOut, metricKey{"eelgrass_peer_messages_total", "sent"}},
	{figureMsgsIn, metricKey{"eelgrass_peer_messages_total", "received"}},
	{figureBytesOut, metricKey{"eelgrass_peer_payload_bytes_total", "sent"}},
	{figureBytesIn, metricKey{"eelgrass_peer_payload_bytes_total", "received"}},
	{figureHeadersIn, metricKey{"eelgrass_peer_header_bytes_total", "received"}},
}

var memoryMetric = metricKey{"process_resident_memory_bytes", ""}

func takeSample(c *localrun.Cluster) (sample, error) {
	s := sample{daemons: make([]daemonSample, len(c.Daemons)), at: time.Now()}
	for p, counts := range map[*localrun.Process]*storeCounts{c.Table: &s.table, c.Objects: &s.objects, c.Instances: &s.instances} {
		if err := p.ControlGet("/counts", counts); err != nil {
			return s, err
		}
	}
	errs := make([]error, len(c.Daemons))
	var wg sync.WaitGroup
	for i, d := range c.Daemons {
		wg.Go(func() { s.daemons[i], errs[i] = sampleDaemon(d) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return s, err
		}
	}
	return s, nil
}

func sampleDaemon(d *localrun.Process) (daemonSample, error) {
	s := daemonSample{at: time.Now(), values: map[string]float64{}}
	values, err := scrape(d)
	if err != nil {
		return s, err
	}
	for _, r := range rateFigures {
		v, ok := values[r.metric]
		if !ok {
			return s, errors.Errorf("%s: /metrics has no %s", d.ID, r.metric.name)
		}
		s.values[r.figure] = v
	}
	memory, ok := values[memoryMetric]
	if !ok {
		return s, errors.Errorf("%s: /metrics has no %s", d.ID, memoryMetric.name)
	}
	s.values[figureMemory] = memory / 1e6
	return s, nil
}

// Row holds the figures of a deployment of one size.
type Row struct {
	Size
	// Figures holds the means over the daemons, Largest the highest value of any
	// daemon. Figures of the platform's services have no Largest.
	Figures     map[string]float64 `json:"figures"`
	Largest     map[string]float64 `json:"largest"`
	Propagation Propagation        `json:"spread"`
	// LoadAverage is the machine's one-minute load average at the end of the window.
	LoadAverage string `json:"load_average"`
}

// setFigures computes the figures from samples at the start and end of the window.
func (r *Row) setFigures(before, after sample) {
	r.Figures, r.Largest = map[string]float64{}, map[string]float64{}
	n := float64(len(after.daemons))
	add := func(figure string, value float64) {
		r.Figures[figure] += value / n
		r.Largest[figure] = max(r.Largest[figure], value)
	}
	for i, a := range after.daemons {
		b := before.daemons[i]
		for _, rate := range rateFigures {
			add(rate.figure, (a.values[rate.figure]-b.values[rate.figure])/a.at.Sub(b.at).Seconds())
		}
		add(figureMemory, a.values[figureMemory])
	}
	seconds := after.at.Sub(before.at).Seconds()
	calls := func(a, b storeCounts) float64 { return (a.Reads + a.Writes - b.Reads - b.Writes) / seconds / n }
	r.Figures[figureTable] = calls(after.table, before.table)
	r.Figures[figureObjects] = calls(after.objects, before.objects)
	r.Figures[figureInstances] = calls(after.instances, before.instances)
}
