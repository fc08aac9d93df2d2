package telemetry

import (
	"fmt"

	"github.com/rs/zerolog"

	"eelgrassgrade/internal/app/permits"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/ratelimit"
)

var _ permits.Events = (*HostedRecorder)(nil)

// LimitChanged implements permits.Events.
func (h *HostedRecorder) LimitChanged(c permits.Change) {
	what := "changed"
	switch ratelimit.Unlimited {
	case c.Previous:
		what = "began"
	case c.PerSecond:
		what = "ended"
	}
	h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_endpoint_limit_changes_total{pool=%q,what=%q}`, c.Endpoint.Pool, what)).Inc()
	line := h.log.Info().Str("pool", string(c.Endpoint.Pool)).Str("endpoint", string(c.Endpoint.ID)).Str("what", what).Str("source", string(c.Source))
	line = addLimit(addLimit(line, "limit_per_s", c.PerSecond), "previous_per_s", c.Previous)
	line.Int64("previous_age_ms", c.PreviousAge.Milliseconds()).Msg("endpoint_limit")
}

// addLimit adds a limit to a line unless there is none.
func addLimit(line *zerolog.Event, key string, perSecond float64) *zerolog.Event {
	if perSecond == ratelimit.Unlimited {
		return line
	}
	return line.Float64(key, perSecond)
}

// LimitUnreadable implements permits.Events. It logs one line per second at most.
func (h *HostedRecorder) LimitUnreadable(e core.InstanceID, value string) {
	h.set.GetOrCreateCounter(`eelgrass_endpoint_limits_unreadable_total`).Inc()
	if h.unreadableLimits.Allow() {
		h.log.Warn().Str("endpoint", string(e)).Str("value", value[:min(len(value), 40)]).Msg("endpoint_limit_unreadable")
	}
}

// PermitDecided implements permits.Events. request_sent shows the permits that were
// granted, so only the others get a line of their own.
func (h *HostedRecorder) PermitDecided(p permits.Decision) {
	h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_permits_total{pool=%q,granted="%t",reason=%q}`, p.Endpoint.Pool, p.Granted, p.Reason)).Inc()
	if p.Granted || !h.sampled(p.Request) {
		return
	}
	line := h.log.Info()
	if p.Cold > 0 {
		line = line.Int64("cold_ms", p.Cold.Milliseconds())
	}
	line.Str("request", string(p.Request)).Str("pool", string(p.Endpoint.Pool)).Str("endpoint", string(p.Endpoint.ID)).
		Float64("limit_per_s", p.PerSecond).Int64("limit_age_ms", p.Age.Milliseconds()).Str("grantor", string(p.Grantor)).
		Int("rank", p.Rank).Str("reason", p.Reason).Int64("wait_ms", p.Wait.Milliseconds()).Msg("permit_denied")
}

// ColdObserved implements permits.Events.
func (h *HostedRecorder) ColdObserved(c permits.ColdChange) {
	h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_cold_endpoints_total{pool=%q,source=%q}`, c.Endpoint.Pool, c.Source)).Inc()
	if h.coldEndpoints.Allow() {
		h.log.Info().Str("pool", string(c.Endpoint.Pool)).Str("endpoint", string(c.Endpoint.ID)).Str("source", string(c.Source)).Str("reporter", string(c.Reporter)).
			Int64("left_ms", c.Left.Milliseconds()).Float64("tolerated_per_s", c.PerSecond).Msg("endpoint_cold")
	}
}

// HealthChecked counts a health check of an endpoint.
func (h *HostedRecorder) HealthChecked(pool core.PoolID, err error) {
	h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_health_checks_total{pool=%q,answered="%t"}`, pool, err == nil)).Inc()
}

// ColdUnreadable implements permits.Events. It logs one line per second at most.
func (h *HostedRecorder) ColdUnreadable(e core.InstanceID, value string) {
	h.set.GetOrCreateCounter(`eelgrass_cold_times_unreadable_total`).Inc()
	if h.unreadableCold.Allow() {
		h.log.Warn().Str("endpoint", string(e)).Str("value", value[:min(len(value), 40)]).Msg("cold_time_unreadable")
	}
}
