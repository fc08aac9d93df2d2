package standin

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// loadSample is the load of an endpoint at one point in time.
type loadSample struct{ running, waiting, cacheHits int64 }

// loadReport publishes the load of an endpoint at /metrics in the Prometheus text
// format. All kinds of endpoints use the same metric names, so that the daemon
// reads them in the same way.
type loadReport struct {
	metricSet *metrics.Set
	published atomic.Pointer[loadSample]
}

// newLoadReport returns a report of the figures that sample returns. If lag isn't
// 0, the published figures are between one and two lags old.
func newLoadReport(lag time.Duration, slots int, sample func() loadSample) *loadReport {
	l := &loadReport{metricSet: metrics.NewSet()}
	l.published.Store(&loadSample{})
	current := l.published.Load
	if lag == 0 {
		current = func() *loadSample { s := sample(); return &s }
	} else {
		go l.publishDelayed(lag, sample)
	}
	l.metricSet.NewGauge("engine_running", func() float64 { return float64(current().running) })
	l.metricSet.NewGauge("engine_waiting", func() float64 { return float64(current().waiting) })
	l.metricSet.NewGauge("engine_slots", func() float64 { return float64(slots) })
	l.metricSet.NewGauge("engine_prefix_cache_hits", func() float64 { return float64(current().cacheHits) })
	return l
}

// publishDelayed takes a sample every lag and publishes the previous one. It never
// returns, because a stand-in runs as long as its process.
func (l *loadReport) publishDelayed(lag time.Duration, sample func() loadSample) {
	latest := sample()
	for range time.Tick(lag) {
		previous := latest
		l.published.Store(&previous)
		latest = sample()
	}
}

// ServeHTTP implements GET /metrics.
func (l *loadReport) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	l.metricSet.WritePrometheus(w)
}
