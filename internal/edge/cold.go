package edge

import (
	"context"
	"sync"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/coldstart"
)

const (
	// listStaleAfter is the age of the latest known answer of the store beyond which the
	// list of endpoints may hide that one has become cold. The store answers each
	// endpointPollWait, and other daemons hear of that within two exchanges.
	listStaleAfter = 2500 * time.Millisecond
	// coldCheckInterval is the time between two health checks of an endpoint while the list
	// is stale.
	coldCheckInterval = time.Second
	// coldCheckTimeout bounds one health check, and maxColdChecks those under way.
	coldCheckTimeout = 500 * time.Millisecond
	maxColdChecks    = 8
)

// coldPool returns what the configuration says of the cold endpoints of a pool.
func (d *Daemon) coldPool(id core.PoolID) coldstart.Pool {
	if c := d.catalog.Load(); c != nil {
		if p := c.Pool(id); p != nil {
			return p.Cold
		}
	}
	return coldstart.Pool{}
}

// coldDaemonCount returns the number of daemons that share what a cold endpoint tolerates:
// all that ran lately. It returns 0 while this daemon knows neither the list of daemons nor
// another one, since it would take itself for the only one.
func (d *Daemon) coldDaemonCount() int {
	alive := len(d.fleet.View().Alive)
	if alive < 2 && d.daemonTable.Snapshot().Position == (core.CopyPosition{}) {
		return 0
	}
	return max(d.repeatingDaemons(), d.daemonCount())
}

// checkColdEndpoints asks endpoints for their health while the list of endpoints is stale:
// then only their own answers tell that they have become cold. Each endpoint is asked by
// the daemon that would grant the permits for it.
func (d *Daemon) checkColdEndpoints(ctx context.Context) {
	t := time.NewTicker(coldCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if !d.stopping.Load() && time.Since(d.storeAnswered()) > listStaleAfter {
				d.checkHealth(ctx, d.limits.ColdChecks())
			}
		}
	}
}

// checkHealth asks endpoints for their health. What they say goes to d.limits.
func (d *Daemon) checkHealth(ctx context.Context, list []endpoints.Entry) {
	catalog := d.catalog.Load()
	if catalog == nil {
		return
	}
	var all sync.WaitGroup
	free := make(chan struct{}, maxColdChecks)
	for _, e := range list {
		p := catalog.Pool(e.Pool)
		if p == nil || p.HealthPath == "" {
			continue
		}
		free <- struct{}{}
		all.Go(func() {
			defer func() { <-free }()
			ctx, cancel := context.WithTimeout(ctx, coldCheckTimeout)
			defer cancel()
			d.telemetry.HealthChecked(e.Pool, d.calls.CheckHealth(ctx, e.Endpoint, p.HealthPath))
		})
	}
	all.Wait()
}
