package telemetry

import (
	"fmt"

	"eelgrassgrade/internal/app/fleet"
)

var _ fleet.Events = (*HostedRecorder)(nil)

// PeerAlive implements fleet.Events.
func (h *HostedRecorder) PeerAlive(m fleet.Member) {
	h.log.Info().Str("peer", string(m.ID)).Str("address", m.Address).Str("dc", string(m.DataCenter)).Msg("peer_alive")
}

// PeerLeaving implements fleet.Events.
func (h *HostedRecorder) PeerLeaving(m fleet.Member) {
	h.log.Info().Str("peer", string(m.ID)).Str("address", m.Address).Msg("peer_leaving")
}

// PeerLost implements fleet.Events.
func (h *HostedRecorder) PeerLost(m fleet.Member, l fleet.Loss) {
	h.set.GetOrCreateCounter(`eelgrass_peer_losses_total`).Inc()
	h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_peer_losses_by_reason_total{reason=%q,leaving="%t"}`, l.Reason, l.Leaving)).Inc()
	line := h.log.Warn().Str("peer", string(m.ID)).Str("address", m.Address).Str("reason", string(l.Reason)).
		Int64("silent_ms", l.Silent.Milliseconds()).Int("failures", l.Failures).Bool("leaving", l.Leaving)
	if l.Leaving {
		line = line.Int64("leaving_ms", l.LeavingFor.Milliseconds())
	}
	line.Msg("peer_lost")
}

// ConnectionReplaced implements fleet.Events. It logs replacements that concern calls in
// progress or a peer that counts as alive; to a peer that is down, connections are replaced
// again and again.
func (h *HostedRecorder) ConnectionReplaced(m fleet.Member, r fleet.Replacement) {
	h.set.GetOrCreateCounter(`eelgrass_peer_connections_replaced_total`).Inc()
	if r.Calls == 0 && !r.Alive || !h.connectionLines.Allow() {
		return
	}
	h.log.Warn().Str("peer", string(m.ID)).Str("address", m.Address).Int("calls", r.Calls).Int("failures", r.Failures).
		Int64("took_ms", r.Took.Milliseconds()).Int64("silent_ms", r.Silent.Milliseconds()).Bool("alive", r.Alive).AnErr("cause", r.Err).Msg("peer_connection_replaced")
}

// PeerCallsCut reports calls that fail because a replaced connection was closed.
func (h *HostedRecorder) PeerCallsCut(address string, calls int, reason string) {
	h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_peer_calls_cut_total{reason=%q}`, reason)).Add(calls)
	if h.connectionLines.Allow() {
		h.log.Warn().Str("address", address).Int("calls", calls).Str("reason", reason).Msg("peer_calls_cut")
	}
}
