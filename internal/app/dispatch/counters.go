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
	// late counts answers that arrived after another attempt had won.
	late *metrics.Counter
	// cancelled counts hedged attempts that were cancelled before they answered.
	cancelled *metrics.Counter
	crashes   *metrics.Counter
	resumed   *metrics.Counter
	cacheGaps *metrics.Counter
	// repeatedTokens counts stream tokens that had been forwarded before.
	repeatedTokens *metrics.Counter
	// decisions is by reason and never changed after newCounters.
	decisions map[routing.Reason]*metrics.Counter
}

func newCounters(set *metrics.Set, pool core.PoolID) *counters {
	c := &counters{set: set, pool: pool}
	c.tasks = c.counter("tasks", "")
	c.attempts = c.counter("attempts", "")
	c.retries = c.counter("retries", "")
	c.hedges = c.counter("hedges", "")
	c.late = c.counter("late_answers", "")
	c.cancelled = c.counter("cancelled_attempts", "")
	c.crashes = c.counter("endpoint_crashes", "")
	c.resumed = c.counter("resumed_streams", "")
	c.cacheGaps = c.counter("cache_event_gaps", "")
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

func (c *counters) dropped(reason string)    { c.counter("dropped_results", reason).Inc() }
func (c *counters) ejected(r health.Reason)  { c.counter("ejections", string(r)).Inc() }
func (c *counters) decided(r routing.Reason) { c.decisions[r].Inc() }
func (c *counters) notRetried(reason string) { c.counter("not_retried", reason).Inc() }
func (c *counters) quarantineRefused()       { c.counter("refused", "quarantined").Inc() }
