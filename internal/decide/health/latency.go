// Package health decides which endpoints of a pool are ejected, when they are
// probed and how they return. It does no I/O; the caller serializes access.
package health

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowLength is the shortest time for which a sample counts. It counts for
	// at most twice as long.
	windowLength = 10 * time.Second
	// maxLatency is the longest call time that a histogram can hold. Longer times
	// are recorded as maxLatency.
	maxLatency = 10 * time.Minute
	// histogramDigits is the number of significant decimal digits of a histogram.
	// With two digits the error is 1% and a histogram takes 24 KB.
	histogramDigits = 2
	// recomputeEvery is the number of new samples after which the quantiles are
	// computed again.
	recomputeEvery = 16
)

// LatencyWindow keeps quantiles of the durations that were recorded within the
// last 10 to 20 seconds, such as the call times of a pool.
type LatencyWindow struct {
	current, previous *hdrhistogram.Histogram
	merged            *hdrhistogram.Histogram
	rotatedAt         time.Time
	uncomputed        int // samples recorded since quantiles were computed
	quantiles         Quantiles
}

// Quantiles summarizes recent durations. All are zero before the first sample.
type Quantiles struct {
	P50, P95, P99 time.Duration
	// Samples is the number of durations from which the quantiles were computed.
	Samples int64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/time.Microsecond), histogramDigits)
}

// Record adds one duration.
func (l *LatencyWindow) Record(now time.Time, d time.Duration) {
	if l.current == nil {
		l.current, l.previous, l.merged = newHistogram(), newHistogram(), newHistogram()
		l.rotatedAt = now
	}
	if now.Sub(l.rotatedAt) > windowLength {
		l.current, l.previous = l.previous, l.current
		l.current.Reset()
		l.rotatedAt = now
	}
	// RecordValue fails only for values outside the histogram's range.
	_ = l.current.RecordValue(int64(min(max(d, time.Microsecond), maxLatency) / time.Microsecond))
	if l.uncomputed++; l.uncomputed >= recomputeEvery || l.quantiles.Samples < recomputeEvery {
		l.compute()
	}
}

func (l *LatencyWindow) compute() {
	l.uncomputed = 0
	l.merged.Reset()
	l.merged.Merge(l.current)
	l.merged.Merge(l.previous)
	quantile := func(q float64) time.Duration { return time.Duration(l.merged.ValueAtQuantile(q)) * time.Microsecond }
	l.quantiles = Quantiles{P50: quantile(50), P95: quantile(95), P99: quantile(99), Samples: l.merged.TotalCount()}
}

// Quantiles returns the quantiles as they were last computed.
func (l *LatencyWindow) Quantiles() Quantiles { return l.quantiles }
