// Package commands makes the engines of each pool load what the configuration
// says. One daemon at a time, the holder of the pool's lease, commands them.
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

// EngineState is what an engine has loaded.
type EngineState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	// FencingToken is the token that the engine reports, if it reports one.
	FencingToken uint64 `json:"fencing_token"`
}

// Command asks an engine to load a model, version and adapters in a role.
type Command struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// Engines reads and commands engines. Errors are *core.Error.
type Engines interface {
	State(ctx context.Context, e core.Endpoint) (EngineState, error)
	// Load sends a command with the fencing token of the lease.
	Load(ctx context.Context, e core.Endpoint, c Command, token uint64) error
}

const (
	// stateTimeout bounds one read of an engine's state.
	stateTimeout = time.Second
	// parallel bounds the engines of one pool that are called at once.
	parallel = 8
	// repeatAfter is how long an engine whose state does not change is left to
	// carry out a command before it gets the same one again.
	repeatAfter = 10 * time.Second
	// releaseTimeout bounds the release of all leases at shutdown.
	releaseTimeout = time.Second
)

// Options configures a Loop.
type Options struct {
	Self    core.InstanceID
	Table   Table
	Engines Engines
	// Config and View return nil before the first configuration and view.
	Config  func() *config.Snapshot
	View    func() *membership.View
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// Loop holds leases and commands engines.
type Loop struct {
	Options
	pools map[core.PoolID]*pool
	wg    sync.WaitGroup
}

// New returns a Loop; Run starts it.
func New(o Options) *Loop { return &Loop{Options: o, pools: map[core.PoolID]*pool{}} }

// Run renews leases and reconciles engines until ctx ends. Then it waits for
// the commands in progress and releases its leases.
func (o *Loop) Run(ctx context.Context) {
	t := time.NewTicker(lease.RenewInterval)
	defer t.Stop()
	for {
		o.tick(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			o.wg.Wait()
			o.release()
			return
		}
	}
}

func (o *Loop) tick(ctx context.Context) {
	cfg, view := o.Config(), o.View()
	if cfg == nil || view == nil {
		return
	}
	daemons := []core.InstanceID{o.Self}
	for _, d := range view.Daemons {
		daemons = append(daemons, d.ID)
	}
	managed := map[core.PoolID]bool{}
	for id, c := range cfg.Lists.Pools {
		if c.Kind != config.KindEngine || c.Model == "" || !slices.Contains(lease.Candidates(id, daemons), o.Self) {
			continue
		}
		managed[id] = true
		p := o.pools[id]
		if p == nil {
			p = &pool{o: o, id: id, sent: map[core.InstanceID]sent{}}
			o.pools[id] = p
		}
		o.start(&p.leasing, func() { p.maintain(ctx) })
		o.start(&p.commanding, func() { p.reconcile(ctx, c, view.Endpoints[id]) })
	}
	for id, p := range o.pools {
		if !managed[id] {
			delete(o.pools, id)
			o.wg.Go(func() { p.release(ctx) })
		}
	}
}

// start runs f unless an earlier run still goes on, so that a slow engine
// delays no renewal and a slow table service no other pool.
func (o *Loop) start(busy *sync.Mutex, f func()) {
	if !busy.TryLock() {
		return
	}
	o.wg.Go(func() {
		defer busy.Unlock()
		f()
	})
}

func (o *Loop) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for _, p := range o.pools {
		o.wg.Go(func() { p.release(ctx) })
	}
	o.wg.Wait()
}

// sent is the last command to an engine and the state that it was based on.
type sent struct {
	command Command
	state   EngineState
	at      time.Time
}

// pool is the work on one pool. leasing and commanding each allow one run.
type pool struct {
	o                   *Loop
	id                  core.PoolID
	leasing, commanding sync.Mutex

	mu    sync.Mutex
	state lease.State
	// unsettled says that the last write's answer was lost.
	unsettled bool
	sent      map[core.InstanceID]sent
}

func (p *pool) mayCommand(checksFencing bool) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.MayCommand(time.Now(), checksFencing)
}

func (p *pool) reconcile(ctx context.Context, c config.Pool, endpoints []core.Endpoint) {
	if _, ok := p.mayCommand(c.ChecksFencing); !ok {
		return
	}
	var g errgroup.Group
	g.SetLimit(parallel)
	for _, e := range endpoints {
		g.Go(func() error {
			p.engine(ctx, c, e)
			return nil
		})
	}
	g.Wait()
}

// engine compares one engine with the configuration and commands it.
func (p *pool) engine(ctx context.Context, c config.Pool, e core.Endpoint) {
	st, err := p.read(ctx, e)
	if err != nil {
		p.o.Log.Debug().Err(err).Str("pool", string(p.id)).Msg("engine_state_failed")
		return
	}
	if matches(st, c) {
		return
	}
	// The configuration names no role: an engine keeps the one it has.
	cmd := Command{Model: c.Model, Version: c.Version, Adapters: c.Adapters, Role: st.Role}
	if cmd.Adapters == nil {
		cmd.Adapters = []string{}
	}
	if p.repeated(e.ID, cmd, st) {
		return
	}
	// The term is checked after the read and immediately before the command.
	token, ok := p.mayCommand(c.ChecksFencing)
	if !ok {
		return
	}
	cmdCtx, cancel := context.WithTimeout(ctx, lease.MaxCommandTime)
	defer cancel()
	err = p.o.Engines.Load(cmdCtx, e, cmd, token)
	p.o.Metrics.GetOrCreateCounter("eelgrass_engine_commands_total").Inc()
	ev := p.o.Log.Info()
	if err != nil {
		ev = p.o.Log.Warn().Err(err)
	}
	ev.Str("pool", string(p.id)).Str("endpoint", string(e.ID)).Str("model", cmd.Model).Str("version", cmd.Version).Uint64("token", token).Msg("engine_command")
	if after, err := p.read(ctx, e); err == nil {
		st = after
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[e.ID] = sent{command: cmd, state: st, at: time.Now()}
}

func (p *pool) read(ctx context.Context, e core.Endpoint) (EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	return p.o.Engines.State(ctx, e)
}

// repeated says whether the engine got the same command a short time ago and
// shows the state that it showed afterwards.
func (p *pool) repeated(id core.InstanceID, c Command, st EngineState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.sent[id]
	return ok && time.Since(s.at) < repeatAfter && equal(s.command, c) && equal(commandOf(s.state), commandOf(st))
}

func commandOf(s EngineState) Command {
	return Command{Model: s.Model, Version: s.Version, Adapters: s.Adapters, Role: s.Role}
}

func equal(a, b Command) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role && sameSet(a.Adapters, b.Adapters)
}

// matches says whether an engine has loaded what the pool asks for. Without a
// version in the configuration any version matches.
func matches(s EngineState, c config.Pool) bool {
	return s.Model == c.Model && (c.Version == "" || s.Version == c.Version) && sameSet(s.Adapters, c.Adapters)
}

func sameSet(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}
