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

// ConnectionDropped implements fleet.Events. It logs drops that cost stage tasks or concern
// a peer that counts as alive; a peer that is down is dropped again and again.
func (h *HostedRecorder) ConnectionDropped(m fleet.Member, d fleet.Drop) {
	h.set.GetOrCreateCounter(`eelgrass_peer_connections_dropped_total`).Inc()
	h.set.GetOrCreateCounter(`eelgrass_peer_tasks_dropped_total`).Add(d.Tasks)
	if d.Tasks == 0 && !d.Alive || !h.droppedConnections.Allow() {
		return
	}
	h.log.Warn().Str("peer", string(m.ID)).Str("address", m.Address).Int("tasks", d.Tasks).Int("failures", d.Failures).
		Int64("took_ms", d.Took.Milliseconds()).Int64("silent_ms", d.Silent.Milliseconds()).Bool("alive", d.Alive).AnErr("cause", d.Err).Msg("peer_connection_dropped")
}
