package edge

import (
	"context"
	"encoding/json"
	"time"

	"eelgrassgrade/internal/app/mirror"
)

const (
	// daemonTable is the table in which daemons list themselves.
	daemonTable = "eelgrass-daemons"
	// configWait is how long a read of the configuration waits for a change. It
	// bounds how long a silent connection hides one.
	configWait = 2 * time.Second
	// idleWait is the wait of watchers that are no readers: they hear of a newer
	// version from peers at once.
	idleWait = 20 * time.Second
	// watchers is the number of daemons that read the store; the others hear from
	// them. Each change of a table answers the waiting call of each watcher, so all
	// daemons of a large fleet would spend calls with the square of their number.
	// Eight serve also while the store turns a third of the daemons away.
	watchers = 8
	// readers is the number of watchers with the short waits. With two, a slow link
	// of one of them does not delay a change everywhere.
	readers = 2
	// listWait is the same for the list of endpoints: a leaving endpoint may get
	// work for two seconds.
	listWait   = time.Second
	daemonWait = 5 * time.Second
	// daemonPace spaces the reads of the list of daemons. Daemons that start or stop
	// tell the others themselves; the list serves those that know nobody.
	daemonPace = time.Second
	// aloneAfter is how long no answer of the store is heard of before a daemon
	// reads the store itself. Readers have one each listWait, and it is told within
	// two exchanges. A change then shows within the 3 s that are allowed also where
	// all readers are out of reach. It does so for aloneFor at least.
	aloneAfter = 2 * time.Second
	aloneFor   = 10 * time.Second
	// lapsedBeats is the number of heartbeats after which the platform drops an
	// endpoint's entry. An outage of the store in which entries lapse has to be
	// noticed, so a wait for a change of the list is shorter, by lapseMargin.
	lapsedBeats = 3
	lapseMargin = 1100 * time.Millisecond
)

// follow starts what keeps the copies of the tables up to date.
func (d *Daemon) follow(ctx context.Context) {
	peers := &peerTables{fleet: d.fleet, rpc: d.rpc}
	for _, f := range []*mirror.Follower{
		{Table: d.config, Wait: configWait, LongWait: idleWait, ReadsStore: d.among(watchers)},
		{Table: d.list, Wait: listWait, LongWait: d.listIdleWait(), ReadsStore: d.among(watchers)},
		{Table: d.daemons, Wait: daemonWait, LongWait: idleWait, MinInterval: daemonPace, ReadsStore: d.among(readers)},
	} {
		f.Store, f.Peers, f.Events, f.FollowPeers = d.store, peers, d.tel, true
		f.UsesShortWait = func() bool { return d.ranks(readers) }
		f.NoRecentAnswer = d.alone
		go f.Run(ctx)
	}
}

// listIdleWait returns the wait of daemons that are no readers for a change of
// the list.
func (d *Daemon) listIdleWait() time.Duration {
	lapse := lapsedBeats * time.Duration(d.s.EndpointHeartbeatMs) * time.Millisecond
	return min(max(lapse-lapseMargin, listWait), idleWait)
}

// among returns a function that says whether this daemon is one of the first n for
// reading the store. A daemon that stops ranks nowhere; if all stop at once, each
// asks.
func (d *Daemon) among(n int) func() bool {
	return func() bool { return d.stopping.Load() || d.ranks(n) }
}

// ranks says whether this daemon is among the first n for reading the store. All
// daemons agree on them as long as they see the same daemons alive.
func (d *Daemon) ranks(n int) bool {
	ranked := d.fleet.View().Ranked(daemonTable, "")
	for _, m := range ranked[:min(n, len(ranked))] {
		if string(m.ID) == d.s.Instance {
			return true
		}
	}
	return false
}

// alone says whether this daemon reads the store because it hears of no answer.
func (d *Daemon) alone() bool {
	now := time.Now()
	return d.solitude.at(now, d.storeAnswered())
}

// storeAnswered returns when the store last answered a daemon, this one included.
// Until it hears of an answer, a daemon that starts counts its start as one.
func (d *Daemon) storeAnswered() time.Time {
	last := d.born
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

func (d *Daemon) tables() []*mirror.Table { return []*mirror.Table{d.config, d.list, d.daemons} }

// register lists the daemon in the store.
func (d *Daemon) register(ctx context.Context) {
	row, err := json.Marshal(daemonRow{Address: d.s.Listen.AdvertisePeers, DataCenter: d.s.DataCenter})
	for err == nil && ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, 2*time.Second)
		err := d.store.Put(call, daemonTable, d.s.Instance, row)
		cancel()
		if err == nil {
			return
		}
		d.log.Warn().Err(err).Msg("registration_failed")
		time.Sleep(time.Second)
	}
}

// watchList ends the grace of entries that vanished during an outage.
func (d *Daemon) watchList(ctx context.Context) {
	t := time.NewTicker(250 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if d.set.Pending() {
				d.listChanged(d.list.Snapshot())
			}
		}
	}
}
