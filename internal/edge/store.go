package edge

import (
	"context"
	"time"

	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/app/mirror"
	"eelgrassgrade/internal/core"
)

const (
	// daemonTableName is the store's table in which daemons register themselves.
	daemonTableName = "eelgrass-daemons"
	// configPollWait is how long a poll of the configuration waits for a change. It
	// bounds how long a dead connection can hide a change.
	configPollWait = 2 * time.Second
	// idlePollWait is the wait of pollers that are not fast pollers. They learn of newer
	// versions from peers at once.
	idlePollWait = 20 * time.Second
	// storePollers is the number of daemons that poll the store; the others get changes
	// from them. A change of a table completes the pending call of every poller: if all
	// daemons polled, the number of calls would grow with the square of their number.
	// Eight are enough even while the store rejects a third of the daemons.
	storePollers = 8
	// fastStorePollers is the number of pollers that use short waits. There are two so
	// that a slow link of one does not delay a change everywhere.
	fastStorePollers = 2
	// endpointPollWait is the same as configPollWait for the list of endpoints. It is
	// shorter, since a leaving endpoint may get work for at most two seconds.
	endpointPollWait = time.Second
	daemonPollWait   = 5 * time.Second
	// daemonPollGap is the minimum time between two polls of the list of daemons. The
	// list serves only daemons that know no peers; the others learn of starts and stops
	// by exchanges.
	daemonPollGap = time.Second
	// fallbackAfter is the age of the latest known answer of the store beyond which a
	// daemon polls the store itself. Fast pollers get an answer every endpointPollWait,
	// and other daemons learn of it within two exchanges. With this limit, a change
	// takes effect within the allowed 3 s even on daemons that reach no fast poller.
	fallbackAfter = 2 * time.Second
	// minFallbackPeriod is how long a daemon then polls the store at least.
	minFallbackPeriod = 10 * time.Second
	// lapseHeartbeats is the number of heartbeat intervals after which the platform drops
	// an endpoint's entry. Polls of the endpoint list wait for less than that, by
	// lapseMargin, so that an outage of the store in which entries lapse is noticed.
	lapseHeartbeats = 3
	lapseMargin     = 1100 * time.Millisecond
	// restoredEntryMargin is how much longer than an entry takes to lapse an endpoint that
	// has left stays out of use although a restored store lists it again. The endpoint
	// does not write its entry, so that it lapses, and this daemon may hear of that late.
	restoredEntryMargin = 1500 * time.Millisecond
	// catchUpTimeout is the longest time after its start for which a daemon waits for the
	// other daemons' copies, and catchUpInterval how often it compares its own with them.
	catchUpTimeout  = 1500 * time.Millisecond
	catchUpInterval = 50 * time.Millisecond
)

// followTables starts the followers that keep the copies of the tables up to date.
func (d *Daemon) followTables(ctx context.Context) {
	peers := &peerTables{fleet: d.fleet, rpc: d.rpc}
	for _, f := range []*mirror.Follower{
		{Table: d.configTable, Wait: configPollWait, LongWait: idlePollWait, ReadsStore: d.pollsStore(storePollers)},
		{Table: d.endpointTable, Wait: endpointPollWait, LongWait: d.endpointIdleWait(), ReadsStore: d.pollsStore(storePollers)},
		{Table: d.daemonTable, Wait: daemonPollWait, LongWait: idlePollWait, MinInterval: daemonPollGap, ReadsStore: d.pollsStore(fastStorePollers)},
	} {
		f.Store, f.Peers, f.Events, f.FollowPeers = d.store, peers, d.telemetry, true
		f.UsesShortWait = func() bool { return d.ranksWithin(fastStorePollers) }
		f.NoRecentAnswer = d.usesStoreFallback
		go f.Run(ctx)
	}
}

// endpointIdleWait returns how long pollers that are not fast pollers wait for a change
// of the endpoint list.
func (d *Daemon) endpointIdleWait() time.Duration {
	return min(max(d.entryLapse()-lapseMargin, endpointPollWait), idlePollWait)
}

// entryLapse returns the time after which the platform drops the entry of a silent endpoint.
func (d *Daemon) entryLapse() time.Duration {
	return lapseHeartbeats * time.Duration(d.settings.EndpointHeartbeatMs) * time.Millisecond
}

// pollsStore returns a function that says whether this daemon is one of the n daemons
// that poll the store. A stopping daemon has no rank and always polls, so that changes
// arrive even if all daemons stop at once.
func (d *Daemon) pollsStore(n int) func() bool {
	return func() bool { return d.stopping.Load() || d.ranksWithin(n) }
}

// ranksWithin says whether this daemon is among the first n in the ranking for polling
// the store. All daemons that see the same members alive agree on the ranking.
func (d *Daemon) ranksWithin(n int) bool {
	return isAmongFirst(core.InstanceID(d.settings.Instance), d.fleet.View().Ranked(daemonTableName, ""), n)
}

// isAmongFirst says whether fewer than n members that count restorations of the store are
// ranked before the daemon. Daemons of earlier versions are passed over, since nothing can
// be pulled from them.
func isAmongFirst(id core.InstanceID, ranked []fleet.Member, n int) bool {
	for _, m := range ranked {
		switch {
		case n == 0:
			return false
		case m.ID == id:
			return true
		case m.CountsRestorations:
			n--
		}
	}
	return false
}

// usesStoreFallback says whether this daemon polls the store because it knows of no
// recent answer of the store.
func (d *Daemon) usesStoreFallback() bool {
	now := time.Now()
	return d.storeFallback.active(now, d.storeAnswered())
}

// storeAnswered returns the time of the latest known answer of the store to any daemon,
// including this one. Without one it returns the time of this daemon's start.
func (d *Daemon) storeAnswered() time.Time {
	last := d.startedAt
	if at := d.fleet.StoreAnswered(); at.After(last) {
		last = at
	}
	for _, t := range d.tables() {
		if at := t.LastAnswer(); at.After(last) {
			last = at
		}
	}
	return last
}

func (d *Daemon) tables() []*mirror.Table {
	return []*mirror.Table{d.configTable, d.endpointTable, d.daemonTable}
}

// catchUp lets the daemon use its copy of the configuration once it has the newest one that
// any daemon has. A store that was restored from a copy gives a daemon that starts an older
// configuration than the one in force, until the operator has written that again.
func (d *Daemon) catchUp(ctx context.Context) {
	for end := d.startedAt.Add(catchUpTimeout); time.Now().Before(end) && !d.hasNewestCopies(); time.Sleep(catchUpInterval) {
		if ctx.Err() != nil {
			return
		}
	}
	d.caughtUp.Store(true)
	d.configTableChanged(d.configTable.Snapshot())
}

// hasNewestCopies says whether this daemon has joined the others and none of them has a
// newer copy of the configuration or of the list of endpoints.
func (d *Daemon) hasNewestCopies() bool {
	select {
	case <-d.fleet.Joined():
	default:
		return false
	}
	newest := d.fleet.View().Newest
	for _, t := range []*mirror.Table{d.configTable, d.endpointTable} {
		if p := t.Snapshot().Position; p.Version == 0 || newest[t.Name()].Position.Compare(p) > 0 {
			return false
		}
	}
	return true
}

// expireEndpointGrace applies the endpoint list again while entries that disappeared
// during an outage of the store are kept for a grace period, so that they are removed
// when it ends.
func (d *Daemon) expireEndpointGrace(ctx context.Context) {
	t := time.NewTicker(250 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if d.endpoints.Pending() {
				d.endpointTable.Reapply()
			}
		}
	}
}
