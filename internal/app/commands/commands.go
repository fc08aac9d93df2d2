// Package commands reconciles the engines of each pool with the configured
// model, version and adapters. Only the daemon that holds the pool's lease sends
// commands to its engines.
package commands

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/lease"
	"eelgrassgrade/internal/decide/membership"
)

// Table is the part of the table service that leases need.
type Table interface {
	Get(ctx context.Context, k core.RecordKey) (core.Record, error)
	Transact(ctx context.Context, writes ...core.Write) error
}

// EngineState is what an engine reports to have loaded.
type EngineState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	// FencingToken is 0 if the engine reports no token.
	FencingToken uint64 `json:"fencing_token"`
}

// Command makes an engine load a model version with adapters, in a role.
type Command struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// Engines reads the state of engines and sends them commands. Its errors are of
// type *core.Error.
type Engines interface {
	State(ctx context.Context, e core.Endpoint) (EngineState, error)
	// Load sends command c. token is the fencing token of the lease.
	Load(ctx context.Context, e core.Endpoint, c Command, token uint64) error
}

const (
	// stateTimeout bounds one read of an engine's state.
	stateTimeout = time.Second
	// maxParallelEngines bounds how many engines of one pool are called
	// concurrently.
	maxParallelEngines = 8
	// resendAfter is how long an engine has to carry out a command. If its state
	// has not changed by then, the same command is sent again.
	resendAfter = 10 * time.Second
	// releaseTimeout bounds the time to release all leases at shutdown.
	releaseTimeout = time.Second
)

// Options configures a Loop.
type Options struct {
	Self    core.InstanceID
	Table   Table
	Engines Engines
	// Config and View return nil until there is a first configuration and a first
	// membership view.
	Config  func() *config.Snapshot
	View    func() *membership.View
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// Loop maintains the leases of pools and commands the engines of those it holds.
type Loop struct {
	Options
	pools map[core.PoolID]*managedPool
	wg    sync.WaitGroup
}

// New returns a Loop; Run starts it.
func New(opts Options) *Loop { return &Loop{Options: opts, pools: map[core.PoolID]*managedPool{}} }

// Run renews leases and reconciles engines until ctx ends. Then it waits for
// the commands in progress and releases its leases.
func (l *Loop) Run(ctx context.Context) {
	t := time.NewTicker(lease.RenewInterval)
	defer t.Stop()
	for {
		l.tick(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			l.wg.Wait()
			l.releaseLeases()
			return
		}
	}
}

// tick starts the work on each pool for which this daemon is a lease candidate,
// and releases the leases of the other pools.
func (l *Loop) tick(ctx context.Context) {
	cfg, view := l.Config(), l.View()
	if cfg == nil || view == nil {
		return
	}
	daemons := []core.InstanceID{l.Self}
	for _, d := range view.Daemons {
		daemons = append(daemons, d.ID)
	}
	managed := map[core.PoolID]bool{}
	for id, c := range cfg.Lists.Pools {
		if c.Kind != config.KindEngine || c.Model == "" || !slices.Contains(lease.Candidates(id, daemons), l.Self) {
			continue
		}
		managed[id] = true
		p := l.pools[id]
		if p == nil {
			p = &managedPool{loop: l, id: id, lastSent: map[core.InstanceID]sentCommand{}}
			l.pools[id] = p
		}
		l.startIfIdle(&p.leaseBusy, func() { p.maintainLease(ctx) })
		l.startIfIdle(&p.commandBusy, func() { p.reconcile(ctx, c, view.Endpoints[id]) })
	}
	for id, p := range l.pools {
		if !managed[id] {
			delete(l.pools, id)
			l.wg.Go(func() { p.releaseLease(ctx) })
		}
	}
}

// startIfIdle runs f in a goroutine unless the run that holds busy is still in
// progress. Thus a slow engine delays no lease renewal, and a slow table service
// delays only the affected pool.
func (l *Loop) startIfIdle(busy *sync.Mutex, f func()) {
	if !busy.TryLock() {
		return
	}
	l.wg.Go(func() {
		defer busy.Unlock()
		f()
	})
}

// releaseLeases releases the leases of all pools at shutdown.
func (l *Loop) releaseLeases() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for _, p := range l.pools {
		l.wg.Go(func() { p.releaseLease(ctx) })
	}
	l.wg.Wait()
}

// sentCommand is a command sent to an engine.
type sentCommand struct {
	command Command
	// state is the engine's state read after the command, or the one read before
	// it if the later read failed.
	state  EngineState
	sentAt time.Time
}

// managedPool is a pool for whose lease this daemon is a candidate.
type managedPool struct {
	loop *Loop
	id   core.PoolID
	// leaseBusy and commandBusy are held while the lease is maintained and while
	// engines are commanded.
	leaseBusy, commandBusy sync.Mutex

	mu    sync.Mutex
	state lease.State
	// writeUncertain is set after a failed lease write, which may have taken
	// effect, until the lease is read.
	writeUncertain bool
	// lastSent holds the last command sent to each engine.
	lastSent map[core.InstanceID]sentCommand
}

// mayCommand returns the fencing token of the lease and whether a command may be
// sent now.
func (p *managedPool) mayCommand(checksFencing bool) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.MayCommand(time.Now(), checksFencing)
}

// reconcile compares all engines of the pool with the configuration and sends
// commands where they differ.
func (p *managedPool) reconcile(ctx context.Context, c config.Pool, endpoints []core.Endpoint) {
	if _, ok := p.mayCommand(c.ChecksFencing); !ok {
		return
	}
	var g errgroup.Group
	g.SetLimit(maxParallelEngines)
	for _, e := range endpoints {
		g.Go(func() error {
			p.reconcileEngine(ctx, c, e)
			return nil
		})
	}
	g.Wait()
}

// reconcileEngine compares one engine with the configuration and sends it a
// command if they differ.
func (p *managedPool) reconcileEngine(ctx context.Context, c config.Pool, e core.Endpoint) {
	st, err := p.readState(ctx, e)
	if err != nil {
		p.loop.Log.Debug().Err(err).Str("pool", string(p.id)).Msg("engine_state_failed")
		return
	}
	if matches(st, c) {
		return
	}
	// The configuration specifies no role, so the engine keeps its own.
	cmd := Command{Model: c.Model, Version: c.Version, Adapters: c.Adapters, Role: st.Role}
	if cmd.Adapters == nil {
		cmd.Adapters = []string{}
	}
	if p.recentlySent(e.ID, cmd, st) {
		return
	}
	// The lease is checked again, since reading the state may have taken until
	// after the end of its term.
	token, ok := p.mayCommand(c.ChecksFencing)
	if !ok || ctx.Err() != nil {
		return
	}
	// The lease is released only when the command has ended.
	cmdCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lease.MaxCommandTime)
	defer cancel()
	err = p.loop.Engines.Load(cmdCtx, e, cmd, token)
	p.loop.Metrics.GetOrCreateCounter("eelgrass_engine_commands_total").Inc()
	ev := p.loop.Log.Info()
	if err != nil {
		ev = p.loop.Log.Warn().Err(err)
	}
	ev.Str("pool", string(p.id)).Str("endpoint", string(e.ID)).Str("model", cmd.Model).Str("version", cmd.Version).Uint64("token", token).Msg("engine_command")
	if after, err := p.readState(ctx, e); err == nil {
		st = after
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSent[e.ID] = sentCommand{command: cmd, state: st, sentAt: time.Now()}
}

func (p *managedPool) readState(ctx context.Context, e core.Endpoint) (EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	return p.loop.Engines.State(ctx, e)
}

// recentlySent reports whether the same command was sent to the engine less than
// resendAfter ago and the engine's state has not changed since.
func (p *managedPool) recentlySent(id core.InstanceID, c Command, st EngineState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.lastSent[id]
	return ok && time.Since(s.sentAt) < resendAfter && equalCommands(s.command, c) && equalCommands(commandOf(s.state), commandOf(st))
}

func commandOf(s EngineState) Command {
	return Command{Model: s.Model, Version: s.Version, Adapters: s.Adapters, Role: s.Role}
}

func equalCommands(a, b Command) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role && sameSet(a.Adapters, b.Adapters)
}

// matches reports whether an engine has loaded the configured model, version and
// adapters. If no version is configured, any version matches.
func matches(s EngineState, c config.Pool) bool {
	return s.Model == c.Model && (c.Version == "" || s.Version == c.Version) && sameSet(s.Adapters, c.Adapters)
}

func sameSet(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}
