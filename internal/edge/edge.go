// Package edge wires a daemon that serves on a platform: the store, the other
// daemons, the coordination of stages, and the path of requests.
package edge

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
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
	"eelgrassgrade/internal/app/mirror"
	"eelgrassgrade/internal/app/stagework"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
	"eelgrassgrade/internal/decide/repeats"
	"eelgrassgrade/internal/settings"
	"eelgrassgrade/platform"
)

const (
	// maxBody and maxHeader bound callers' requests.
	maxBody   = 8 << 20
	maxHeader = 64 << 10
	// headerTimeout bounds how long a caller may take for the head of a request,
	// idleTimeout how long a connection may stay unused.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
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
	c, err := platform.DecodeCatalog(s)
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
	list, skipped := platform.DecodeEndpoints(s)
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
	callers := &http.Server{Handler: &platform.CallerHandler{Service: d.forward, MaxBody: maxBody, Now: time.Now}, MaxHeaderBytes: maxHeader,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	ready := &http.Server{Handler: platform.ReadyHandler(d.ready), ReadHeaderTimeout: headerTimeout}
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
