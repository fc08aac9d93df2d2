package control

import (
	"testing"

	"github.com/rs/zerolog"

	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/limits"
)

// emptyConfigs has no configuration and installs none.
type emptyConfigs struct{}

func (emptyConfigs) Current() *config.Snapshot { return nil }
func (emptyConfigs) Started() bool             { return true }
func (emptyConfigs) InstallSource(config.Version, string, []byte) (bool, error) {
	return false, nil
}

// Guards against counting the usage of a stopped daemon until its last reports
// expire, which would reduce the shares of the other daemons in a rolling restart.
func TestUsageOfStoppingDaemonIsDropped(t *testing.T) {
	c := New(Options{Self: "aggregator", Configs: emptyConfigs{}, Log: zerolog.Nop()})
	report := func(id core.InstanceID) float64 {
		totals := c.HandleUsage(UsageReport{Instance: id, Accounts: []limits.AccountUsage{{Account: "a", RequestsPerS: 20}}})
		return totals[0].RequestsPerS
	}
	report("d1")
	if got := report("d2"); got != 40 {
		t.Fatalf("total of two daemons: %g, want 40", got)
	}
	c.HandlePush(Events{Instance: "d1", Stopping: true})
	if got := report("d2"); got != 20 {
		t.Errorf("total after one daemon stopped: %g, want 20", got)
	}
	if got := report("d1"); got != 40 {
		t.Errorf("total after the daemon restarted with the same name: %g, want 40", got)
	}
}
