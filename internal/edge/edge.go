// Package edge wires a daemon that serves on a platform: the store, the other
// daemons, the coordination of stages, and the path of requests.
package edge

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"eelgrassgrade/internal/adapter/fleetrpc"
	"eelgrassgrade/internal/adapter/telemetry"
	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/app/forward"
	"eelgrassgrade/internal/app/mirror"
	"eelgrassgrade/internal/app/stagework"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
	"eelgrassgrade/internal/decide/repeats"
	"eelgrassgrade/internal/settings"
	"eelgrassgrade/platform"
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
	// maxBody and maxHeader bound callers' requests.
	maxBody   = 8 << 20
	maxHeader = 64 << 10
	// headerTimeout bounds how long a caller may take for the head of a request,
	// idleTimeout how long a connection may stay unused.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// lingerTime is how long a stopping daemon still takes new connections: the
	// balancer notices within two questions a second apart.
	lingerTime = 2500 * time.Millisecond
	// killMargin is left between the end of the last request and SIGKILL.
	killMargin = 300 * time.Millisecond
	// memoryShare of the limit is where the collector works harder.
	memoryShare = 0.75
	gcPercent   = 200
)

// Daemon is a running daemon.
type Daemon struct {
	path string
	// born is when the daemon started.
	born time.Time
	s    *settings.Hosted
	log  zerolog.Logger
	tel  *telemetry.Hosted

	catalog  atomic.Pointer[catalog.Snapshot]
	set      *endpoints.Set
	fleet    *fleet.Fleet
	rpc      *fleetrpc.Client
	coord    *stagework.Coordinator
	client   *stagework.Client
	forward  *forward.Forwarder
	store    *platform.Store
	budgets  *budgets
	metrics  *metrics.Set
	stopping atomic.Bool
	shutdown chan struct{}

	solitude              solitude
	config, list, daemons *mirror.Table
	update                sync.Mutex
}

// New wires a daemon from the settings file at path.
func New(ctx context.Context, path string, log zerolog.Logger) (*Daemon, error) {
	s, err := settings.LoadHosted(path)
	if err != nil {
		return nil, err
	}
	// Logs of several daemons are read together.
	log = log.With().Str("daemon", s.Instance).Logger()
	runtime.GOMAXPROCS(s.Cores)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryShare * (1 << 20)))
	d := &Daemon{path: path, born: time.Now(), s: s, log: log, metrics: metrics.NewSet(), shutdown: make(chan struct{}, 1)}
	d.tel = telemetry.NewHosted(log, d.metrics, s.Log.LinesPerS)
	d.store = platform.NewStore(s.Store)
	d.rpc = fleetrpc.NewClient(time.Now)
	self := fleet.Member{ID: core.InstanceID(s.Instance), Address: s.Listen.AdvertisePeers, DataCenter: core.DataCenterID(s.DataCenter),
		Millicores: int(1000 * s.CPUShare * float64(s.Cores))}
	d.fleet = fleet.New(fleet.Options{Self: self, Transport: d.rpc, Source: d.status, Events: d.tel, OnStatus: d.learn, Now: time.Now})
	d.budgets = newBudgets(repeats.Limits{Ratio: s.Repeats.Ratio, Slack: s.Repeats.Slack, Window: seconds(s.Repeats.WindowS)}, d.sharers)
	d.set = endpoints.New(time.Now, d.endpointsChanged)
	calls := platform.NewEndpointClient(time.Now, d.set.Heard)
	stageBudgets := newBudgets(d.budgets.limits, func() int { return coordinators })
	d.coord = stagework.NewCoordinator(ctx, calls, d.set.RestUntil, d.tel, stageBudgets, time.Now)
	d.client = stagework.NewClient(d.fleet, self, d.coord, d.rpc, d.tel, time.Now)
	d.forward = forward.New(forward.Options{Catalog: d.catalog.Load, View: d.set.View, Fleet: d.fleet.View, Endpoints: calls,
		Stages: d.client, RestUntil: d.set.RestUntil, Budget: d.budgets, Events: d.tel, Now: time.Now, Announce: d.fleet.Announce})
	d.config = mirror.NewTable(platform.OperatorTable, d.configChanged)
	d.list = mirror.NewTable(platform.EndpointTable, d.listChanged)
	d.daemons = mirror.NewTable(daemonTable, d.daemonsChanged)
	var seeds []fleet.Member
	for _, a := range s.Peers {
		seeds = append(seeds, fleet.Member{Address: a})
	}
	d.fleet.Add(seeds, false)
	return d, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// status is what this daemon tells the others.
func (d *Daemon) status() *fleet.Status {
	s := &fleet.Status{Tables: map[string]int64{}, Loads: d.forward.Loads(), Suspects: d.forward.Suspects()}
	for _, t := range d.tables() {
		s.Tables[t.Name()] = t.Snapshot().Changed
		if at := t.Answered(); at.After(s.StoreAnswered) {
			s.StoreAnswered = at
		}
	}
	for group, w := range d.coord.Waits() {
		s.Waits = append(s.Waits, fleet.GroupWait{StageGroup: group, Wait: w})
	}
	return s
}

func (d *Daemon) learn(s *fleet.Status) { d.forward.Learn(s.Member.ID, s.Suspects) }

// sharers returns the number of daemons that share fixed allowances.
func (d *Daemon) sharers() int {
	return max(len(d.fleet.View().Alive), len(d.daemons.Snapshot().Rows))
}

func (d *Daemon) configChanged(s *mirror.Snapshot) {
	c, err := platform.Catalog(s)
	if c == nil && err == nil {
		return
	}
	if err != nil {
		d.tel.ConfigChanged(0, s.Version, err)
		return
	}
	if old := d.catalog.Load(); old != nil && c.Version <= old.Version {
		return
	}
	d.catalog.Store(c)
	d.tel.ConfigChanged(c.Version, s.Version, nil)
	d.shareEndpoints()
}

func (d *Daemon) listChanged(s *mirror.Snapshot) {
	list, skipped := platform.Endpoints(s)
	d.tel.EntriesSkipped(skipped)
	d.set.Update(list, d.list.OutageEnd(time.Now()))
}

func (d *Daemon) endpointsChanged(v *endpoints.View, changes []endpoints.Change) {
	d.tel.EndpointChanges(changes, d.list.Snapshot().Version)
	d.forward.SetEndpoints(v)
	d.shareEndpoints()
}

// shareEndpoints hands the endpoints of stage pools to the coordinator.
func (d *Daemon) shareEndpoints() {
	d.update.Lock()
	defer d.update.Unlock()
	c, v := d.catalog.Load(), d.set.View()
	if c == nil {
		return
	}
	for id, p := range c.Pools() {
		if p.Batching != nil {
			d.client.SetEndpoints(p, v.ByPool[id])
		}
	}
}

// daemonRow is a daemon's entry in the store.
type daemonRow struct {
	Address    string `json:"address"`
	DataCenter string `json:"data_center"`
}

func (d *Daemon) daemonsChanged(s *mirror.Snapshot) {
	var members []fleet.Member
	for id, row := range s.Rows {
		var r daemonRow
		if err := json.Unmarshal(row.Value, &r); err != nil {
			d.log.Warn().Str("row", id).Err(err).Msg("daemon_entry_unreadable")
			continue
		}
		members = append(members, fleet.Member{ID: core.InstanceID(id), Address: r.Address, DataCenter: core.DataCenterID(r.DataCenter)})
	}
	d.fleet.Add(members, true)
}

// ready says whether the daemon can serve.
func (d *Daemon) ready() bool {
	return !d.stopping.Load() && d.catalog.Load() != nil && len(d.set.View().ByID) > 0
}

// Run serves until SIGTERM.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.log.Info().Str("dc", d.s.DataCenter).Int("cores", d.s.Cores).Float64("cpu_share", d.s.CPUShare).Int("memory_mb", d.s.MemoryMB).Msg("started")
	callers := &http.Server{Handler: &platform.Callers{Service: d.forward, MaxBody: maxBody, Now: time.Now}, MaxHeaderBytes: maxHeader,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	ready := &http.Server{Handler: platform.Ready(d.ready), ReadHeaderTimeout: headerTimeout}
	rpc := fleetrpc.NewServer(d.fleet, []*mirror.Table{d.config, d.list, d.daemons}, d.coord, time.Now, d.stopping.Load)
	defer func() {
		rpc.Stop()
		ready.Close()
	}()
	failed := make(chan error, 4)
	serve := func(address string, f func(net.Listener) error) error {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Annotatef(err, "listen on %s", address)
		}
		go func() {
			if err := f(l); err != nil && err != http.ErrServerClosed {
				failed <- errors.Annotatef(err, "serve on %s", address)
			}
		}()
		return nil
	}
	for _, l := range []struct {
		address string
		f       func(net.Listener) error
	}{{d.s.Listen.Peers, rpc.Serve}, {d.s.Listen.Ready, ready.Serve}, {d.s.Listen.Callers, callers.Serve}} {
		if err := serve(l.address, l.f); err != nil {
			return err
		}
	}
	if a := d.s.Listen.Metrics; a != "" {
		mux := http.NewServeMux()
		mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { d.metrics.WritePrometheus(w) })
		if err := serve(a, (&http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}).Serve); err != nil {
			d.log.Warn().Err(err).Msg("metrics_unavailable")
		}
	}
	go d.fleet.Run(ctx)
	d.follow(ctx)
	go d.register(ctx)
	go d.watchList(ctx)
	go d.cleanDaemons(ctx)
	return d.wait(ctx, callers, failed)
}

func (d *Daemon) follow(ctx context.Context) {
	peers := &peerTables{fleet: d.fleet, rpc: d.rpc}
	for _, f := range []*mirror.Follower{
		{Table: d.config, Wait: configWait, IdleWait: idleWait, Asks: d.among(watchers)},
		{Table: d.list, Wait: listWait, IdleWait: d.listIdleWait(), Asks: d.among(watchers)},
		{Table: d.daemons, Wait: daemonWait, IdleWait: idleWait, Pace: daemonPace, Asks: d.among(readers)},
	} {
		f.Store, f.Peers, f.Events, f.FollowPeers = d.store, peers, d.tel, true
		f.Reader = func() bool { return d.ranks(readers) }
		f.Alone = d.alone
		go f.Run(ctx)
	}
}

// among returns a function that says whether this daemon is one of the first n for
// reading the store. A daemon that stops ranks nowhere; if all stop at once, each
// asks.
func (d *Daemon) among(n int) func() bool {
	return func() bool { return d.stopping.Load() || d.ranks(n) }
}

// listIdleWait returns the wait of daemons that are no readers for a change of
// the list.
func (d *Daemon) listIdleWait() time.Duration {
	lapse := lapsedBeats * time.Duration(d.s.EndpointHeartbeatMs) * time.Millisecond
	return min(max(lapse-lapseMargin, listWait), idleWait)
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
		if at := t.Answered(); at.After(last) {
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

// Shutdown stops the daemon as SIGTERM does. It returns at once; Run returns
// when the requests in progress are finished.
func (d *Daemon) Shutdown() {
	select {
	case d.shutdown <- struct{}{}:
	default:
	}
}

// wait handles signals until the daemon has stopped.
func (d *Daemon) wait(ctx context.Context, callers *http.Server, failed <-chan error) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for {
		select {
		case err := <-failed:
			return err
		case <-ctx.Done():
			return callers.Close()
		case <-d.shutdown:
			d.stop(callers)
			return nil
		case s := <-signals:
			if s == syscall.SIGHUP {
				d.reload()
				continue
			}
			d.stop(callers)
			return nil
		}
	}
}

// reload reads the settings file again. Addresses and limits of the process
// apply from the next start on; addresses of peers apply at once.
func (d *Daemon) reload() {
	s, err := settings.LoadHosted(d.path)
	if err != nil {
		d.log.Error().Err(err).Msg("reload_failed")
		return
	}
	var seeds []fleet.Member
	for _, a := range s.Peers {
		seeds = append(seeds, fleet.Member{Address: a})
	}
	d.fleet.Add(seeds, false)
	d.log.Info().Int("peers", len(s.Peers)).Msg("reloaded")
}

// stop ends the daemon: the balancer and the other daemons are told, new
// requests are served until the balancer has noticed, and requests in progress
// are finished.
func (d *Daemon) stop(callers *http.Server) {
	began := time.Now()
	d.stopping.Store(true)
	d.fleet.Leave()
	d.log.Info().Int("in_progress", d.forward.Active()).Msg("stopping")
	callers.SetKeepAlivesEnabled(false)
	end := began.Add(seconds(d.s.StopWithinS) - killMargin)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	go func() {
		if err := d.store.Remove(ctx, daemonTable, d.s.Instance); err != nil {
			d.log.Warn().Err(err).Msg("deregistration_failed")
		}
	}()
	linger(ctx, lingerTime, time.Now, time.Sleep)
	if err := callers.Shutdown(ctx); err != nil {
		d.log.Warn().Int("in_progress", d.forward.Active()).Err(err).Msg("requests_cut")
	}
	d.log.Info().Int64("took_ms", time.Since(began).Milliseconds()).Msg("stopped")
}

// linger waits until the process has run for d or ctx has ended. Time in which the
// process was paused does not count: connections that came meanwhile are still
// waiting, and closing the listener would reset them.
func linger(ctx context.Context, d time.Duration, now func() time.Time, sleep func(time.Duration)) {
	const step = 50 * time.Millisecond
	for ran := time.Duration(0); ran < d && ctx.Err() == nil; {
		began := now()
		sleep(step)
		ran += min(now().Sub(began), 2*step)
	}
}
