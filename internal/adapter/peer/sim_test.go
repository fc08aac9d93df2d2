package peer

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"eelgrassgrade/internal/app/confsync"
	"eelgrassgrade/internal/app/control"
	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/limits"
)

var simSeed = flag.Uint64("sim.seed", 0, "seed of the simulated faults; 0 runs the fixed seeds")

// network connects daemons in memory. Messages pass through the wire
// conversion, so that their sizes are those of the real protocol.
type network struct {
	platform *platform
	mu       sync.Mutex
	rng      *rand.Rand
	nodes    []*node
	cut      map[[2]string]bool
	drop     float64
	// slow is added to the way of each message.
	slow time.Duration
}

// node is one daemon, which may be killed and started again.
type node struct {
	net  *network
	inst core.Instance

	// gate is held while the daemon is paused.
	gate chan struct{}
	// dead is closed when the incarnation is killed; a paused one ends too.
	dead chan struct{}
	// isolated cuts the daemon from the platform and all peers; noTable and
	// noList from parts of the platform.
	isolated, noTable, noList bool

	up       bool
	resumed  time.Time
	control  atomic.Pointer[control.Control]
	config   atomic.Pointer[confsync.Sync]
	usage    control.UsageSource
	totals   control.TotalsSink
	stop     func()
	installs [][]config.Version
	messages int
	bytes    int
}

var errLost = &core.Error{Kind: core.Unavailable, Step: "simulation", Detail: "no answer"}
var errRefused = &core.Error{Kind: core.Unavailable, Step: "simulation", Ran: core.RanNot, Detail: "connection refused"}

func newNetwork(seed uint64, daemons, centers int) *network {
	n := &network{rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]string]bool{}}
	var list []core.Instance
	for i := range daemons {
		inst := core.Instance{ID: core.InstanceID(fmt.Sprintf("d%02d", i)), Role: core.RoleDaemon, State: core.Live,
			DataCenter: core.DataCenterID(fmt.Sprint("dc", i%centers)), Address: fmt.Sprintf("10.0.0.%d:1", i)}
		list = append(list, inst)
		n.nodes = append(n.nodes, &node{net: n, inst: inst, gate: make(chan struct{}, 1)})
	}
	for i := range 4 {
		list = append(list, core.Instance{ID: core.InstanceID(fmt.Sprint("e", i)), Role: core.RoleEndpoint, State: core.Live, Pool: "p", DataCenter: "dc0", Address: "10.1.0.1:1"})
	}
	n.platform = newPlatform(list)
	return n
}

func (n *network) intn(k int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.IntN(k)
}

// latency is the one-way delay of a message.
func (n *network) latency(a, b *node) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.inst.DataCenter == b.inst.DataCenter {
		return n.slow + 200*time.Microsecond
	}
	return n.slow + 4*time.Millisecond
}

func (n *network) startAll() {
	for _, d := range n.nodes {
		d.start()
	}
}

func (n *network) stopAll() {
	for _, d := range n.nodes {
		d.kill()
	}
}

func (n *network) setCut(a, b *node, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a.inst.Address, b.inst.Address}] = on
	n.cut[[2]string{b.inst.Address, a.inst.Address}] = on
}

// lost says whether a message between two daemons disappears.
func (n *network) lost(a, b *node) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a.isolated || b.isolated || n.cut[[2]string{a.inst.Address, b.inst.Address}] || n.rng.Float64() < n.drop
}

func (n *network) set(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

func (d *node) set(f func()) { d.net.set(f) }

func (d *node) isUp() bool {
	d.net.mu.Lock()
	defer d.net.mu.Unlock()
	return d.up
}

// pass waits while the daemon is paused.
func (d *node) pass() { d.passBy(nil) }

// passBy is pass that gives up when done is closed.
func (d *node) passBy(done <-chan struct{}) bool {
	var dead chan struct{}
	d.set(func() { dead = d.dead })
	select {
	case d.gate <- struct{}{}:
		<-d.gate
		return true
	case <-dead:
	case <-done:
	}
	return false
}

func (d *node) pause() { d.gate <- struct{}{} }
func (d *node) resume() {
	d.set(func() { d.resumed = time.Now() })
	<-d.gate
}

// start starts a new incarnation with the same address.
func (d *node) start() {
	run := len(d.installs)
	d.set(func() { d.dead = make(chan struct{}) })
	d.installs = append(d.installs, nil)
	seeds := []string{d.net.nodes[0].inst.Address, d.net.nodes[len(d.net.nodes)-1].inst.Address}
	spreader := &simSpreader{}
	cfg := confsync.New(simTable{d}, simObjects{d}, spreader, func(s *config.Snapshot) {
		d.set(func() { d.installs[run] = append(d.installs[run], s.Version) })
	})
	ctl := control.New(control.Options{Self: d.inst.ID, Address: d.inst.Address, DataCenter: d.inst.DataCenter, Seeds: seeds, List: simList{d}, Table: simTable{d},
		Configs: cfg, Peers: link{d}, Seed: uint64(d.net.intn(1 << 30)), Log: zerolog.Nop(), Usage: d.usage, Totals: d.totals,
		Limit: func(core.AccountID) (float64, float64, int) { return 100, 0, 0 },
		Sleep: func(ctx context.Context, t time.Duration) error {
			select {
			case <-time.After(t):
				d.pass()
				return ctx.Err()
			case <-ctx.Done():
				return ctx.Err()
			}
		}})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	spreader.ctl = ctl
	d.control.Store(ctl)
	d.config.Store(cfg)
	wg.Go(func() { ctl.Run(ctx) })
	wg.Go(func() { cfg.Run(ctx, func(error) {}) })
	d.stop = func() { cancel(); wg.Wait() }
	d.set(func() { d.up = true })
}

func (d *node) kill() {
	if d.isUp() {
		d.set(func() { d.up = false; close(d.dead) })
		d.stop()
	}
}

func (d *node) ctl() *control.Control { return d.control.Load() }
func (d *node) cfg() *confsync.Sync   { return d.config.Load() }

func (d *node) version() config.Version {
	if s := d.cfg().Current(); s != nil {
		return s.Version
	}
	return 0
}

// safe says whether the daemon would give no new work to the leaving instance.
func (d *node) safe(id core.InstanceID) bool {
	return !d.isUp() || !d.ctl().Fresh(time.Now()) || d.ctl().View().Leaving[id]
}

func (d *node) count(m proto.Message) {
	d.set(func() {
		d.messages++
		d.bytes += proto.Size(m)
	})
}

// link implements control.Peers for one daemon.
type link struct{ from *node }

func (l link) Retain([]string) {}

// send carries a request to the daemon at addr and an answer back.
func send[R proto.Message](ctx context.Context, l link, addr string, req proto.Message, handle func(h control.Handler) R) (R, error) {
	var none R
	n := l.from.net
	l.from.pass()
	var to *node
	for _, d := range n.nodes {
		if d.inst.Address == addr {
			to = d
		}
	}
	if to == nil || !to.isUp() {
		return none, errRefused
	}
	l.from.count(req)
	if n.lost(l.from, to) {
		<-ctx.Done()
		l.from.pass()
		return none, errLost
	}
	time.Sleep(n.latency(l.from, to))
	if !to.passBy(ctx.Done()) || !to.isUp() {
		return none, errLost
	}
	rep := handle(to.ctl())
	to.count(rep)
	time.Sleep(n.latency(l.from, to))
	l.from.pass()
	if ctx.Err() != nil || n.lost(l.from, to) {
		<-ctx.Done()
		return none, errLost
	}
	return rep, nil
}

func (l link) Exchange(ctx context.Context, addr string, r control.ExchangeRequest) (control.ExchangeReply, error) {
	w := exchangeToWire(r)
	rep, err := send(ctx, l, addr, w, func(h control.Handler) *exchangeReply { return replyToWire(h.HandleExchange(exchangeFromWire(w))) })
	if err != nil {
		return control.ExchangeReply{}, err
	}
	return replyFromWire(rep), nil
}

func (l link) Push(ctx context.Context, addr string, e control.Events) (config.Version, error) {
	w := eventsToWire(e)
	rep, err := send(ctx, l, addr, w, func(h control.Handler) *pushReply {
		return &pushReply{ConfigVersion: uint64(h.HandlePush(eventsFromWire(w)))}
	})
	return config.Version(rep.GetConfigVersion()), err
}

func (l link) Configuration(ctx context.Context, addr string, have config.Version) (*control.ConfigBody, error) {
	rep, err := send(ctx, l, addr, &configRequest{HaveVersion: uint64(have)}, func(h control.Handler) *configReply {
		return &configReply{Config: configToWire(h.HandleConfiguration(have))}
	})
	return configFromWire(rep.GetConfig()), err
}

func (l link) Usage(ctx context.Context, addr string, r control.UsageReport) ([]limits.AccountUsage, error) {
	w := reportToWire(r)
	rep, err := send(ctx, l, addr, w, func(h control.Handler) *usageReply {
		return &usageReply{Totals: usageToWire(h.HandleUsage(reportFromWire(w)))}
	})
	return usageFromWire(rep.GetTotals()), err
}

func (l link) Status(context.Context, string) (control.PeerStatus, error) {
	return control.PeerStatus{}, errors.New("not simulated")
}

// simSpreader implements confsync.Spreader like the daemon does.
type simSpreader struct{ ctl *control.Control }

func (s *simSpreader) ReplicateConfig(ctx context.Context, snap *config.Snapshot) int {
	return s.ctl.ReplicateConfig(ctx, snap)
}
func (s *simSpreader) AnnounceConfig() { s.ctl.AnnounceConfig() }
func (s *simSpreader) Daemons() int    { return s.ctl.Daemons() }
func (s *simSpreader) PeerConfigs(ctx context.Context, have config.Version) []confsync.PeerConfig {
	var out []confsync.PeerConfig
	for _, b := range s.ctl.PeerConfigs(ctx, have) {
		out = append(out, confsync.PeerConfig(b))
	}
	return out
}

// bubble runs f on virtual time and on one processor: with several, the race
// detector of Go 1.26.8 fails an internal check (tsan_rtl.cpp:346) in about one
// of five runs with 32 daemons or more, without naming a race.
func bubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, f)
}

// seeds returns the seeds of a randomized test.
func seeds(n int) []uint64 {
	if *simSeed != 0 {
		return []uint64{*simSeed}
	}
	out := make([]uint64, n)
	for i := range out {
		out[i] = uint64(i + 1)
	}
	return out
}

// reportSeed prints how to repeat a failed run.
func reportSeed(t *testing.T, seed uint64) {
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("repeat with: go test ./internal/adapter/peer -run '%s' -sim.seed=%d", t.Name(), seed)
		}
	})
}
