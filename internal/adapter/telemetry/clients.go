package telemetry

import (
	"fmt"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"eelgrassgrade/internal/decide/clients"
)

// clientGauges holds what the clients of a daemon hold.
type clientGauges struct {
	connections atomic.Int64
	held        [clients.Kinds]atomic.Int64
}

func newClientGauges(set *metrics.Set) *clientGauges {
	g := &clientGauges{}
	set.NewGauge(`eelgrass_client_connections`, func() float64 { return float64(g.connections.Load()) })
	for kind := range g.held {
		set.NewGauge(fmt.Sprintf(`eelgrass_held_bytes{kind=%q}`, clients.Kind(kind)), func() float64 { return float64(g.held[kind].Load()) })
	}
	return g
}

// ClientsHold records the connections of callers and the memory that their requests hold,
// in bytes by kind.
func (h *HostedRecorder) ClientsHold(connections int, held [clients.Kinds]int64) {
	h.clients.connections.Store(int64(connections))
	for kind, n := range held {
		h.clients.held[kind].Store(n)
	}
}

// CallersListener is the name of the listener for callers' requests.
const CallersListener = "callers"

// ClientsRefused reports how many clients of a listener were refused for each reason since
// the last call. It writes one line, however many there are.
func (h *HostedRecorder) ClientsRefused(listener string, byReason map[string]int, connections int, held [clients.Kinds]int64) {
	if len(byReason) == 0 {
		return
	}
	if listener == CallersListener {
		h.stop.addUnread(byReason)
	}
	line := h.log.Warn().Str("listener", listener).Int("connections", connections)
	for kind, n := range held {
		line = line.Int64(clients.Kind(kind).String()+"_bytes", n)
	}
	var list []string
	for _, reason := range slices.Sorted(maps.Keys(byReason)) {
		n := byReason[reason]
		h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_client_refusals_total{listener=%q,reason=%q}`, listener, reason)).Add(n)
		list = append(list, fmt.Sprintf("%s: %d", reason, n))
	}
	line.Strs("refused", list).Msg("clients_refused")
}
