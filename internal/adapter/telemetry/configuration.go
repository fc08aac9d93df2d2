package telemetry

import (
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
)

// maxLoggedProblems bounds the unusable entries of one configuration that are logged.
const maxLoggedProblems = 16

// ConfigChanged logs that a configuration is now in force, and which of its entries cannot
// be used. row is the revision of the store that has it.
func (h *HostedRecorder) ConfigChanged(version int64, row core.StoreRevision, problems []catalog.Problem) {
	h.set.GetOrCreateCounter(`eelgrass_config_changes_total`).Inc()
	h.set.GetOrCreateGauge(`eelgrass_config_version`, nil).Set(float64(version))
	h.set.GetOrCreateGauge(`eelgrass_config_unreadable`, nil).Set(0)
	unusable := map[catalog.List]int{catalog.ListRoutes: 0, catalog.ListPools: 0, catalog.ListAccounts: 0, catalog.ListLimits: 0}
	for _, p := range problems {
		unusable[p.List]++
	}
	for list, n := range unusable {
		h.set.GetOrCreateGauge(`eelgrass_config_unusable_entries{list="`+string(list)+`"}`, nil).Set(float64(n))
	}
	h.log.Info().Int64("config", version).Int64("row", row.Version).Int64("restorations", row.Restorations).Int("unusable", len(problems)).Msg("config_in_force")
	for _, p := range problems[:min(len(problems), maxLoggedProblems)] {
		h.log.Error().Int64("config", version).Str("list", string(p.List)).Int("index", p.Index).Str("entry", p.Entry).Str("reason", p.Text).Msg("config_entry_unusable")
	}
}

// ConfigUnreadable logs that the newest configuration cannot be read, so that the one before
// stays in force.
func (h *HostedRecorder) ConfigUnreadable(row core.StoreRevision, err error) {
	h.set.GetOrCreateGauge(`eelgrass_config_unreadable`, nil).Set(1)
	h.log.Error().Int64("row", row.Version).Int64("restorations", row.Restorations).Err(err).Msg("config_unreadable")
}
