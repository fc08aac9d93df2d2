// Package edge assembles a daemon that runs on a platform: access to the store,
// membership, coordination of stages, and request forwarding.
package edge

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"eelgrassgrade/internal/adapter/fleetrpc"
	"eelgrassgrade/internal/adapter/telemetry"
	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/app/forward"
	"eelgrassgrade/internal/app/holding"
	"eelgrassgrade/internal/app/mirror"
	"eelgrassgrade/internal/app/permits"
	"eelgrassgrade/internal/app/stagework"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
	"eelgrassgrade/internal/decide/clients"
	"eelgrassgrade/internal/decide/coldstart"
	"eelgrassgrade/internal/decide/repeats"
	"eelgrassgrade/internal/decide/shutdown"
	"eelgrassgrade/internal/settings"
	"eelgrassgrade/platform"
)

const (
	// memoryLimitShare is the garbage collector's soft memory limit as a part of the
	// memory that the settings allow.
	memoryLimitShare = 0.75
	gcPercent        = 200
)

// Daemon is one daemon process with all its parts.
type Daemon struct {
	settingsPath string
	startedAt    time.Time
	settings     *settings.Hosted
	log          zerolog.Logger
	telemetry    *telemetry.HostedRecorder

	// memory accounts for what callers' requests hold.
	memory      *holding.Memory
	catalog     atomic.Pointer[catalog.Snapshot]
	endpoints   *endpoints.Set
	limits      *permits.Registry
	calls       *platform.EndpointClient
	fleet       *fleet.Fleet
	rpc         *fleetrpc.Client
	coordinator *stagework.Coordinator
	stageClient *stagework.Client
	forward     *forward.Forwarder
	progress    forward.Progress
	stopReport  *stopReport
	store       *platform.Store
	budgets     *repeatBudgets
	fleetSize   fleetSize
	// delays tells how late the process runs.
	delays *delayMonitor
	// stopPlan is the daemon's stop; nil unless it is stopping.
	stopPlan atomic.Pointer[shutdown.Stop]
	metrics  *metrics.Set
	stopping atomic.Bool
	shutdown chan struct{}

	storeFallback                           storeFallback
	configTable, endpointTable, daemonTable *mirror.Table
	assignMu                                sync.Mutex
	// stagePools holds the pools with batched stages, also those that a newer configuration
	// has dropped while endpoints of theirs are in use. assignMu guards it.
	stagePools map[core.PoolID]*catalog.Pool
	// caughtUp is set once this daemon has compared its copies with those of the others.
	// Before that it uses no configuration.
	caughtUp atomic.Bool
	configMu sync.Mutex
	// evacuated holds the data centres that are evacuated. configMu guards it.
	evacuated []core.DataCenterID
}

// New returns a daemon with the settings in the file at path, which change may change. Run
// starts it.
func New(ctx context.Context, path string, log zerolog.Logger, change ...func(*settings.Hosted)) (*Daemon, error) {
	s, err := settings.LoadHosted(path, change...)
	if err != nil {
		return nil, err
	}
	// The daemon field tells the lines apart where logs of several daemons are merged.
	log = log.With().Str("daemon", s.Instance).Logger()
	runtime.GOMAXPROCS(s.Cores)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryLimitShare * (1 << 20)))
	d := &Daemon{settingsPath: path, startedAt: time.Now(), settings: s, log: log, metrics: metrics.NewSet(), shutdown: make(chan struct{}, 1), stagePools: map[core.PoolID]*catalog.Pool{}}
	d.telemetry = telemetry.NewHostedRecorder(log, d.metrics, s.Log.LinesPerS)
	d.memory = holding.New(clients.RoomFor(int64(s.MemoryMB)<<20, s.ClientLimits.MemoryShare), time.Now)
	d.delays = newDelayMonitor(sweepInterval, time.Now())
	d.store = platform.NewStore(s.Store)
	d.rpc = fleetrpc.NewClient(time.Now)
	d.rpc.OnCut = func(address string, calls int, reason fleetrpc.CutReason) {
		d.telemetry.PeerCallsCut(address, calls, string(reason))
	}
	self := fleet.Member{ID: core.InstanceID(s.Instance), Address: s.Listen.AdvertisePeers, DataCenter: core.DataCenterID(s.DataCenter),
		Millicores: int(1000 * s.CPUShare * float64(s.Cores)), GrantsPermits: true, CountsRestorations: true}
	d.fleet = fleet.New(fleet.Options{Self: self, Transport: d.rpc, Source: d.status, Events: d.telemetry, OnStatus: d.learnFromStatus, LoadAges: s.EvenLoad.AboveDaemons > 0, Now: time.Now})
	d.budgets = newRequestBudgets(repeats.Limits{Ratio: s.Repeats.Ratio, FixedAllowance: s.Repeats.FixedAllowance, Window: seconds(s.Repeats.WindowS)}, d.repeatingDaemons, d.startedAt)
	d.fleetSize.size = repeats.NewFleetSize(d.budgets.limits.Window)
	d.endpoints = endpoints.New(time.Now, d.endpointViewChanged)
	d.limits = permits.NewRegistry(permits.Options{Self: self.ID, View: d.endpoints.View, Fleet: d.fleet.View, Joined: d.fleet.Joined,
		DaemonCount: d.daemonCount, Grantors: d.rpc, Events: d.telemetry, Now: time.Now,
		ColdOptions: permits.ColdOptions{Pool: d.coldPool, Allowance: coldstart.Allowance{Overage: s.Cold.Overage, Slack: s.Cold.Slack}, DaemonCount: d.coldDaemonCount}})
	d.calls = platform.NewEndpointClient(time.Now, d.endpoints.HandleNotice, d.limits)
	stageBudgets := newStageBudgets(d.budgets.limits, func(id core.PoolID) int { return d.stageClient.GroupCount(id) })
	d.coordinator = stagework.NewCoordinator(ctx, d.calls, d.endpoints.PausedUntil, d.limits, d.telemetry, stageBudgets, time.Now)
	d.stageClient = stagework.NewClient(d.fleet, self, d.coordinator, d.rpc, d.telemetry, time.Now, s.RegionOf)
	d.forward = forward.New(forward.Options{Self: self.ID, Catalog: d.catalog.Load, View: d.endpoints.View, Fleet: d.fleet.View, Endpoints: d.calls,
		Stages: d.stageClient, PausedUntil: d.endpoints.PausedUntil, Limits: d.limits, Budget: d.budgets, Events: d.telemetry, Memory: d.memory, Now: time.Now, Stop: d.currentStop, RegionOf: s.RegionOf, Announce: d.fleet.Announce, LevelAbove: s.EvenLoad.AboveDaemons, DaemonCount: d.daemonCount})
	d.configTable = mirror.NewTable(platform.OperatorTable, d.configTableChanged)
	d.endpointTable = mirror.NewTable(platform.EndpointTable, d.endpointTableChanged)
	d.daemonTable = mirror.NewTable(daemonTableName, d.daemonTableChanged)
	d.configTable.SetRestorePolicy(mirror.RestorePolicy{Newer: platform.NewerConfiguration, Permanent: true})
	d.endpointTable.SetRestorePolicy(mirror.RestorePolicy{Newer: platform.NewerEntry, HoldFor: d.entryLapse() + restoredEntryMargin})
	var seeds []fleet.Member
	for _, a := range s.Peers {
		seeds = append(seeds, fleet.Member{Address: a})
	}
	d.fleet.Add(seeds, false)
	return d, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// status implements fleet.Source.
func (d *Daemon) status() *fleet.Status {
	s := &fleet.Status{Tables: map[string]core.CopyPosition{}, Loads: d.forward.Loads(), Suspects: d.forward.Suspects()}
	s.Parts, s.RecentParts = d.forward.PartReports()
	s.Limits, s.RecentLimits = d.limits.Reported()
	_, s.Daemons = d.observeFleetSize()
	for _, t := range d.tables() {
		s.Tables[t.Name()] = t.Snapshot().LastChange
		if at := t.LastAnswer(); at.After(s.StoreAnswered) {
			s.StoreAnswered = at
		}
	}
	for group, w := range d.coordinator.Waits() {
		s.Waits = append(s.Waits, fleet.GroupWait{StageGroup: group, Wait: w})
	}
	return s
}

// learnFromStatus records the suspects and the limits of endpoints that another daemon
// reports.
func (d *Daemon) learnFromStatus(s *fleet.Status) {
	d.forward.MergeSuspects(s.Member.ID, s.Suspects)
	d.forward.MergeParts(s.Parts)
	d.limits.MergeReported(s.Member.ID, s.Limits)
}

// currentStop returns the daemon's stop, or the zero value if it is not stopping.
func (d *Daemon) currentStop() shutdown.Stop {
	if s := d.stopPlan.Load(); s != nil {
		return *s
	}
	return shutdown.Stop{}
}

// daemonCount returns the number of daemons that share a fixed allowance: the live ones,
// or those listed in the store if they are more.
func (d *Daemon) daemonCount() int {
	return max(len(d.fleet.View().Alive), len(d.daemonTable.Snapshot().Rows))
}

// observeFleetSize records how many daemons run. A listed one may run without being alive
// for this daemon.
func (d *Daemon) observeFleetSize() (sharing, observed int) {
	running, reported := d.fleet.Running()
	return d.fleetSize.observe(max(running, len(d.daemonTable.Snapshot().Rows)), reported)
}

// repeatingDaemons returns the number of daemons that share the fixed allowance of the
// repeat budgets: all that ran in the window, also those that have stopped since.
func (d *Daemon) repeatingDaemons() int {
	sharing, _ := d.observeFleetSize()
	return sharing
}

func (d *Daemon) configTableChanged(s *mirror.Snapshot) {
	if !d.caughtUp.Load() {
		return
	}
	d.configMu.Lock()
	defer d.configMu.Unlock()
	d.applyEvacuations(s)
	c, err := platform.DecodeCatalog(s)
	if c == nil && err == nil {
		return
	}
	if err != nil {
		d.telemetry.ConfigUnreadable(s.Position.StoreRevision, err)
		return
	}
	if old := d.catalog.Load(); old != nil && c.Version <= old.Version {
		return
	}
	d.catalog.Store(c)
	d.telemetry.ConfigChanged(c.Version, s.Position.StoreRevision, c.Problems)
	if c.Tight() {
		d.log.Info().Int64("config", c.Version).Msg("config_tight")
	}
	d.endpoints.SetNamedPools(c.NamedPools())
	d.assignStageEndpoints()
}

// applyEvacuations takes the endpoints of evacuated data centres out of use, and those of
// data centres that were taken back into use.
func (d *Daemon) applyEvacuations(s *mirror.Snapshot) {
	evacuated := platform.DecodeEvacuations(s)
	if slices.Equal(evacuated, d.evacuated) {
		return
	}
	d.evacuated = evacuated
	d.telemetry.EvacuationsChanged(evacuated, d.unknownDataCenters(evacuated), s.Position.StoreRevision)
	d.endpoints.SetEvacuated(evacuated)
}

// unknownDataCenters returns those of the data centres that neither the settings nor the
// list of endpoints has.
func (d *Daemon) unknownDataCenters(list []core.DataCenterID) []core.DataCenterID {
	listed, _ := platform.DecodeEndpoints(d.endpointTable.Snapshot())
	return slices.DeleteFunc(slices.Clone(list), func(dc core.DataCenterID) bool {
		return d.settings.RegionOf(dc) != "" || slices.ContainsFunc(listed, func(e endpoints.Entry) bool { return e.DataCenter == dc })
	})
}

func (d *Daemon) endpointTableChanged(s *mirror.Snapshot) {
	list, skipped := platform.DecodeEndpoints(s)
	d.telemetry.EntriesSkipped(skipped)
	d.limits.ObserveList(list)
	d.endpoints.Update(list, d.endpointTable.OutageEnd(time.Now()))
}

func (d *Daemon) endpointViewChanged(v *endpoints.View, changes []endpoints.Change) {
	d.telemetry.EndpointsChanged(changes, d.endpointTable.Snapshot().Position.StoreRevision)
	d.forward.SetEndpoints(v)
	d.assignStageEndpoints()
}

// assignStageEndpoints passes the current endpoints of all pools with batched stages to
// the stage client. Requests of an older configuration may still need a pool that the
// current one does not have.
func (d *Daemon) assignStageEndpoints() {
	d.assignMu.Lock()
	defer d.assignMu.Unlock()
	c, v := d.catalog.Load(), d.endpoints.View()
	if c == nil {
		return
	}
	for id, p := range c.Pools() {
		if p.Batching != nil {
			d.stagePools[id] = p
		}
	}
	for id, p := range d.stagePools {
		d.stageClient.SetEndpoints(p, v.ByPool[id])
		if current := c.Pool(id); len(v.ByPool[id]) == 0 && (current == nil || current.Batching == nil) {
			delete(d.stagePools, id)
		}
	}
}

// daemonEntry is a daemon's entry in the store's table of daemons.
type daemonEntry struct {
	Address    string `json:"address"`
	DataCenter string `json:"data_center"`
}

func (d *Daemon) daemonTableChanged(s *mirror.Snapshot) {
	var members []fleet.Member
	for id, row := range s.Rows {
		var r daemonEntry
		if err := json.Unmarshal(row.Value, &r); err != nil {
			d.log.Warn().Str("row", id).Err(err).Msg("daemon_entry_unreadable")
			continue
		}
		members = append(members, fleet.Member{ID: core.InstanceID(id), Address: r.Address, DataCenter: core.DataCenterID(r.DataCenter)})
	}
	d.fleet.Add(members, true)
}

// ready says whether the daemon can serve requests: it is not stopping, and it has a
// configuration and endpoints.
func (d *Daemon) ready() bool {
	return !d.stopping.Load() && d.catalog.Load() != nil && len(d.endpoints.View().ByID) > 0
}

// Run serves until the daemon is stopped by one of the signals or Shutdown, ctx ends, or a
// server fails. SIGHUP makes it read its settings again, any other signal stops it.
func (d *Daemon) Run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.log.Info().Str("dc", d.settings.DataCenter).Int("cores", d.settings.Cores).Float64("cpu_share", d.settings.CPUShare).Int("memory_mb", d.settings.MemoryMB).
		Int("max_fds", d.settings.MaxFDs).Int("connections", d.settings.ClientLimits.Connections).Int64("client_bytes", d.memory.Room().Total).
		Int("data_centers", len(d.settings.Regions)).Float64("cold_overage", d.settings.Cold.Overage).Float64("cold_slack", d.settings.Cold.Slack).Msg("started")
	requests, abortRequests := context.WithCancelCause(context.Background())
	defer abortRequests(forward.ErrStopping)
	sockets := d.newSockets()
	callers := sockets.callerServer(requests)
	ready := &http.Server{Handler: platform.ReadyHandler(d.ready), ConnState: connStateHook}
	rpc := fleetrpc.NewServer(d.fleet, []*mirror.Table{d.configTable, d.endpointTable, d.daemonTable}, d.coordinator, d.limits, time.Now)
	d.stopReport = &stopReport{daemon: d, sockets: sockets, peers: rpc}
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
		l = sockets.wrap(address, l, callers)
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
	}{{d.settings.Listen.Peers, rpc.Serve}, {d.settings.Listen.Ready, ready.Serve}, {d.settings.Listen.Callers, callers.Serve}} {
		if err := serve(l.address, l.f); err != nil {
			return err
		}
	}
	if a := d.settings.Listen.Metrics; a != "" {
		mux := http.NewServeMux()
		mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { d.metrics.WritePrometheus(w) })
		if err := serve(a, (&http.Server{Handler: mux, ConnState: connStateHook}).Serve); err != nil {
			d.log.Warn().Err(err).Msg("metrics_unavailable")
		}
	}
	go sockets.run(ctx)
	go d.fleet.Run(ctx)
	d.followTables(ctx)
	go d.catchUp(ctx)
	go d.keepRegistered(ctx)
	go d.expireEndpointGrace(ctx)
	go d.checkColdEndpoints(ctx)
	go d.removeStaleDaemons(ctx)
	if d.settings.EvenLoad.AboveDaemons > 0 {
		go d.measureSpread(ctx)
	}
	return d.waitForStop(ctx, signals, callers, abortRequests, failed)
}
