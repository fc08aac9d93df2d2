// Package daemon assembles a daemon from its components and runs it from start to
// graceful shutdown.
package daemon

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"eelgrassgrade/internal/adapter/engine"
	"eelgrassgrade/internal/adapter/httpapi"
	"eelgrassgrade/internal/adapter/instances"
	"eelgrassgrade/internal/adapter/object"
	"eelgrassgrade/internal/adapter/opapi"
	"eelgrassgrade/internal/adapter/table"
	"eelgrassgrade/internal/adapter/telemetry"
	"eelgrassgrade/internal/app/commands"
	"eelgrassgrade/internal/app/confsync"
	"eelgrassgrade/internal/app/control"
	"eelgrassgrade/internal/app/dispatch"
	"eelgrassgrade/internal/app/gateway"
	"eelgrassgrade/internal/app/once"
	"eelgrassgrade/internal/app/sched"
	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/quarantine"
	"eelgrassgrade/internal/graceful"
	"eelgrassgrade/internal/settings"
)

const (
	readHeaderTimeout     = 5 * time.Second
	readBodyTimeout       = 10 * time.Second
	maxHeaderBytes        = 32 << 10
	maxRequestsInProgress = 4096
	// abortTime is how long a stopping daemon waits at its end for the answers to
	// requests that it has aborted.
	abortTime = 500 * time.Millisecond
	// outcomeTime is the least time that a stopping daemon leaves for recording the
	// outcomes of calls, also if the requests have used up the time of the stop.
	outcomeTime = time.Second
)

// Daemon holds the components of a daemon.
type Daemon struct {
	settings *settings.Daemon
	log      zerolog.Logger
	self     core.InstanceID
	tls      *tlsMaterial
	metrics  *metrics.Set

	config   *confsync.Sync
	control  *control.Control
	sched    *sched.Scheduler
	dispatch *dispatch.Dispatcher
	once     *once.Once
	commands *commands.Loop
	peers    peers

	callers *graceful.Server
	// abortRequests cancels the contexts of callers' requests.
	abortRequests context.CancelCauseFunc
	operators     *graceful.Server
	draining      atomic.Bool
	inFlight      atomic.Int64
}

// New assembles a daemon. Nothing runs before Run is called.
func New(s *settings.Daemon, log zerolog.Logger) (*Daemon, error) {
	self := core.InstanceID(s.Instance)
	if self == "" {
		self = core.InstanceID(s.Listen.Peers)
	}
	d := &Daemon{settings: s, self: self, metrics: metrics.NewSet(), log: log.With().Str("instance", string(self)).Logger()}
	var err error
	if d.tls, err = newTLS(s.TLS); err != nil {
		return nil, err
	}
	if s.TLS.PlainText {
		d.log.Warn().Msg("plain_text_allowed")
	}
	tableClient, objectClient, err := d.platformClients()
	if err != nil {
		return nil, err
	}
	d.config = confsync.New(tableClient, objectClient, configReplicator{d}, d.configChanged)
	list := instances.New(s.Instances.URL, d.tls.platformClient(ms(s.Instances.TimeoutMs)))
	d.once = once.New(tableClient, objectClient, d.metrics, d.log)
	if d.sched, err = sched.New(sched.Options{Policy: schedulingPolicy(s.Policy)}); err != nil {
		return nil, err
	}
	suspects := quarantine.New(time.Now)
	d.newPeers(list, tableClient, suspects)
	requests := telemetry.NewRequestRecorder(d.metrics, d.log)
	transport := engine.New(d.tls.endpointDialer())
	d.commands = d.newCommands(tableClient, transport)
	d.dispatch = dispatch.New(dispatch.Options{
		Self: self, DataCenter: core.DataCenterID(s.DataCenter), Transport: transport, Dialer: transport, Loads: transport,
		Scheduler: d.sched, View: d.control.View, Config: d.config.Current, Policy: routingPolicy(s.Policy), Metrics: d.metrics, Observer: requests,
		ViewIsFresh: func() bool { return d.control.ViewIsFresh(time.Now()) }, Quarantine: suspects, PublishSuspects: d.control.PushSuspects,
	})
	gw := gateway.New(d.config.Current, d.dispatch, d.once)
	gw.SetScheduler(d.sched)
	gw.RequireFreshView(d.control.ViewIsFresh)
	observed := &gateway.Observed{Gateway: gw, Observer: requests}
	callers := newHTTPServer(d.countInFlight(httpapi.Handler(observed, maxRequestsInProgress)))
	// A caller that takes longer than this to send the body gets an error. There is no
	// timeout for responses, because streams may be long.
	callers.ReadTimeout = readBodyTimeout
	requestsCtx, abortRequests := context.WithCancelCause(context.Background())
	d.abortRequests = abortRequests
	callers.BaseContext = func(net.Listener) context.Context { return requestsCtx }
	d.callers = graceful.New(callers)
	d.operators = graceful.New(newHTTPServer(d.operatorMux()))
	return d, nil
}

// platformClients returns the clients of the table service and the object store.
func (d *Daemon) platformClients() (*table.Client, *object.Client, error) {
	s := d.settings
	tableCreds, err := loadCredentials(s.Table)
	if err != nil {
		return nil, nil, err
	}
	objectCreds, err := loadCredentials(s.Objects)
	if err != nil {
		return nil, nil, err
	}
	t := table.New(table.Options{URL: s.Table.URL, Table: s.Table.Name, Timeout: ms(s.Table.TimeoutMs), Credentials: tableCreds, HTTP: d.tls.platformClient(0)})
	o := object.New(object.Options{URL: s.Objects.URL, Bucket: s.Objects.Name, Timeout: ms(s.Objects.TimeoutMs), Credentials: objectCreds, HTTP: d.tls.platformClient(0)})
	return t, o, nil
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// newHTTPServer returns a server with limits on request headers.
func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// configChanged applies a newly installed configuration.
func (d *Daemon) configChanged(s *config.Snapshot) {
	d.metrics.GetOrCreateGauge("eelgrass_config_version", nil).Set(float64(s.Version))
	d.sched.SetFloors([core.NumRanks]float64{s.Floor(core.Urgent), s.Floor(core.Normal), s.Floor(core.Bulk)})
	d.log.Info().Uint64("version", uint64(s.Version)).Str("sha256", s.SHA256).Msg("configuration_in_force")
}

// countInFlight counts the requests that next is serving.
func (d *Daemon) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.inFlight.Add(1)
		defer d.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// operatorMux returns the handler of the operator API, health checks and metrics.
func (d *Daemon) operatorMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", d.serveReady)
	mux.HandleFunc("GET /metrics", d.serveMetrics)
	mux.Handle("/", opapi.Handler(d.settings.OperatorKeysSHA256, d.config, d))
	return mux
}

func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	d.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// ready reports whether the load balancer may send requests.
func (d *Daemon) ready() bool {
	return !d.draining.Load() && d.config.Current() != nil && d.control.ViewIsFresh(time.Now())
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// Run serves until ctx ends and then shuts down gracefully: it turns not ready, waits
// until the load balancer has noticed, closes the listeners and finishes the requests
// in progress.
func (d *Daemon) Run(ctx context.Context) error {
	loopsCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	commandsDone := make(chan struct{})
	defer func() {
		stopLoops()
		<-commandsDone
	}()
	go func() {
		defer close(commandsDone)
		d.commands.Run(loopsCtx)
	}()
	serveErrs := make(chan error, 3)
	if err := d.servePeers(serveErrs); err != nil {
		return err
	}
	defer d.stopPeers()
	for _, l := range []struct {
		addr   string
		server *graceful.Server
	}{{d.settings.Listen.Callers, d.callers}, {d.settings.Listen.Operators, d.operators}} {
		ln, err := d.tls.listen(l.addr)
		if err != nil {
			return errors.Annotatef(err, "listen on %s", l.addr)
		}
		ln = l.server.Listener(ln)
		go func() {
			if err := l.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				serveErrs <- err
			}
		}()
	}
	go d.dispatch.Run(loopsCtx)
	go d.updateShares(loopsCtx)
	d.runPeers(loopsCtx)
	d.log.Info().Str("callers", d.settings.Listen.Callers).Str("data_center", d.settings.DataCenter).Bool("plain_text", d.settings.TLS.PlainText).Msg("started")
	select {
	case err := <-serveErrs:
		return err
	case <-ctx.Done():
		return d.stop()
	}
}

// abort ends the requests in progress. Their callers get an error: the end of the process
// would close their connections without an answer.
func (d *Daemon) abort() {
	d.abortRequests(core.ErrStopping)
	ctx, cancel := context.WithTimeout(context.Background(), abortTime)
	defer cancel()
	if err := d.callers.Finish(ctx); err != nil {
		d.log.Warn().Int64("requests_in_progress", d.inFlight.Load()).Err(err).Msg("requests_abandoned")
	}
}

// stop shuts down gracefully, as described at Run.
func (d *Daemon) stop() error {
	d.draining.Store(true)
	d.callers.AnnounceStop()
	d.log.Info().Int64("requests_in_progress", d.inFlight.Load()).Msg("draining")
	time.Sleep(ms(*d.settings.DrainWaitMs))
	deadline := time.Now().Add(ms(d.settings.DrainTimeoutMs))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := d.callers.Finish(ctx)
	if err != nil {
		d.log.Warn().Int64("requests_in_progress", d.inFlight.Load()).Msg("requests_cut")
		d.abort()
	}
	ctx, cancel = context.WithTimeout(context.Background(), max(time.Until(deadline), outcomeTime))
	defer cancel()
	if closeErr := d.once.Close(ctx); closeErr != nil {
		d.log.Warn().Err(closeErr).Msg("outcomes_lost")
		err = cmp.Or(err, closeErr)
	}
	if closeErr := d.operators.Finish(ctx); closeErr != nil {
		d.log.Warn().Err(closeErr).Msg("operators_cut")
	}
	d.announceStop()
	d.log.Info().Int64("requests_in_progress", d.inFlight.Load()).Msg("stopped")
	return err
}
