package admission

import "time"

const (
	// MaxStages bounds the number of stages whose service time is estimated for a pool.
	MaxStages = 128
	// meanGain and deviationGain are the weights of one sample in the moving averages,
	// as in TCP's round-trip time estimate.
	meanGain, deviationGain = 1.0 / 16, 1.0 / 8
	// predictedDeviations is the number of mean deviations that Predict adds to the
	// mean. 2 gives about the 95th percentile of a normal distribution.
	predictedDeviations = 2
	// An estimate that has had no sample for decayAfter halves every decayHalfLife,
	// because it says less and less about the pool.
	decayAfter, decayHalfLife = time.Second, 2 * time.Second
	// probeAfter is the time without samples after which a probe is due.
	probeAfter = 500 * time.Millisecond
)

// Estimates predicts the service times of one pool's stages from exponentially
// weighted moving averages. It is not safe for concurrent use.
type Estimates struct {
	stages map[string]*estimate
}

type estimate struct {
	mean, deviation float64 // seconds
	lastSample      time.Time
}

// NewEstimates returns an Estimates without samples.
func NewEstimates() *Estimates { return &Estimates{stages: map[string]*estimate{}} }

// Observe adds a sample of the stage's service time. If MaxStages stages are known, a
// new one replaces the stage whose last sample is oldest.
func (e *Estimates) Observe(now time.Time, stage string, elapsed time.Duration) {
	x := elapsed.Seconds()
	s := e.stages[stage]
	if s == nil {
		if len(e.stages) >= MaxStages {
			e.evictOldest()
		}
		e.stages[stage] = &estimate{mean: x, deviation: x / 4, lastSample: now}
		return
	}
	d := x - s.mean
	s.mean += meanGain * d
	if d < 0 {
		d = -d
	}
	s.deviation += deviationGain * (d - s.deviation)
	s.lastSample = now
}

// Replace discards the estimate of the stage and starts a new one from a sample. It is
// for probes: the averages would need dozens of samples to follow a large change.
func (e *Estimates) Replace(now time.Time, stage string, elapsed time.Duration) {
	delete(e.stages, stage)
	e.Observe(now, stage, elapsed)
}

// ProbeDue reports whether the stage's estimate has had no sample for so long that a
// call should be admitted to correct it.
func (e *Estimates) ProbeDue(now time.Time, stage string) bool {
	s := e.stages[stage]
	return s != nil && now.Sub(s.lastSample) >= probeAfter
}

func (e *Estimates) evictOldest() {
	oldest, found := "", false
	for name, s := range e.stages {
		if !found || s.lastSample.Before(e.stages[oldest].lastSample) {
			oldest, found = name, true
		}
	}
	delete(e.stages, oldest)
}

// Mean returns the predicted mean service time, or 0 if the stage has no samples.
func (e *Estimates) Mean(now time.Time, stage string) time.Duration {
	s := e.stages[stage]
	if s == nil {
		return 0
	}
	return s.decayed(now, s.mean)
}

// Predict returns a service time that few calls exceed, or 0 if the stage has no
// samples.
func (e *Estimates) Predict(now time.Time, stage string) time.Duration {
	s := e.stages[stage]
	if s == nil {
		return 0
	}
	return s.decayed(now, s.mean+predictedDeviations*s.deviation)
}

// decayed returns x, in seconds, reduced for the time since the last sample.
func (s *estimate) decayed(now time.Time, x float64) time.Duration {
	for age := now.Sub(s.lastSample) - decayAfter; age > 0 && x > 1e-6; age -= decayHalfLife {
		if age < decayHalfLife {
			x *= 1 - 0.5*age.Seconds()/decayHalfLife.Seconds()
			break
		}
		x /= 2
	}
	return time.Duration(x * float64(time.Second))
}
