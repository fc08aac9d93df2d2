package daemon

import (
	"eelgrassgrade/internal/adapter/engine"
	"eelgrassgrade/internal/app/commands"
)

func (d *Daemon) newCommands(t commands.Table, tr *engine.Transport) *commands.Loop {
	return commands.New(commands.Options{Self: d.self, Table: t, Engines: engine.NewAdmin(tr), Config: d.config.Current, View: d.control.View, Metrics: d.metrics, Log: d.log})
}
