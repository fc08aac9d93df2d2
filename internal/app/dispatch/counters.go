package dispatch

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/health"
	"eelgrassgrade/internal/decide/routing"
)

// counters are the metrics of one pool.
type counters struct {
	set  *metrics.Set
	pool core.PoolID

	tasks, attempts, retries, hedges *metrics.Counter
	// lateAnswers counts answers that arrived after another attempt had won.
	lateAnswers *metrics.Counter
	// cancelledAttempts counts attempts that were cancelled because another
	// attempt of the task answered first.
	cancelledAttempts *metrics.Counter
	endpointCrashes   *metrics.Counter
	resumedStreams    *metrics.Counter
	cacheEventGaps    *metrics.Counter
	// repeatedTokens counts tokens that an endpoint sent again and that were
	// dropped.
	repeatedTokens *metrics.Counter
	// decisions has a counter for each reason. It is read-only after newCounters.
	decisions map[routing.Reason]*metrics.Counter
}

func newCounters(set *metrics.Set, pool core.PoolID) *counters {
	c := &counters{set: set, pool: pool}
	c.tasks = c.counter("tasks", "")
	c.attempts = c.counter("attempts", "")
	c.retries = c.counter("retries", "")
	c.hedges = c.counter("hedges", "")
	c.lateAnswers = c.counter("late_answers", "")
	c.cancelledAttempts = c.counter("cancelled_attempts", "")
	c.endpointCrashes = c.counter("endpoint_crashes", "")
	c.resumedStreams = c.counter("resumed_streams", "")
	c.cacheEventGaps = c.counter("cache_event_gaps", "")
	c.repeatedTokens = c.counter("repeated_tokens", "")
	c.decisions = map[routing.Reason]*metrics.Counter{}
	for _, r := range []routing.Reason{routing.ByProbe, routing.ByCache, routing.ByPrefix, routing.ByContent, routing.ByLoad,
		routing.BySpill, routing.ByOverload, routing.ByRoundRobin} {
		c.decisions[r] = c.counter("decisions", string(r))
	}
	return c
}

func (c *counters) counter(name, reason string) *metrics.Counter {
	labels := fmt.Sprintf("pool=%q", string(c.pool))
	if reason != "" {
		labels += fmt.Sprintf(",reason=%q", reason)
	}
	return c.set.GetOrCreateCounter("eelgrass_dispatch_" + name + "_total{" + labels + "}")
}

func (c *counters) countDropped(reason string)     { c.counter("dropped_results", reason).Inc() }
func (c *counters) countEjection(r health.Reason)  { c.counter("ejections", string(r)).Inc() }
func (c *counters) countDecision(r routing.Reason) { c.decisions[r].Inc() }
func (c *counters) countNotRetried(reason string)  { c.counter("not_retried", reason).Inc() }
func (c *counters) countStayed(reason string)      { c.counter("stalled_streams_kept", reason).Inc() }
func (c *counters) countQuarantineRefusal()        { c.counter("refused", "quarantined").Inc() }
