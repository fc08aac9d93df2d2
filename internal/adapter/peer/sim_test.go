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

var simSeed = flag.Uint64("sim.seed", 0, "seed of the simulated faults; 0 runs a fixed list of seeds")

// network connects daemons in memory. Messages are converted to and from the wire
// format, so that their sizes are those of the real protocol.
type network struct {
	platform *platform
	mu       sync.Mutex
	rng      *rand.Rand
	nodes    []*node
	cut      map[[2]string]bool
	dropRate float64
	// extraLatency is added to the one-way delay of each message.
	extraLatency time.Duration
}

// node is one daemon, which can be paused, killed and started again.
type node struct {
	net      *network
	instance core.Instance

	// pauseGate holds an element while the daemon is paused.
	pauseGate chan struct{}
	// killed is closed when the current incarnation is killed. It releases the waits
	// of a paused one.
	killed chan struct{}
	// isolated cuts the daemon off from the platform and all peers, tableUnreachable
	// from the table service and the object store, listUnreachable from the instance
	// list.
	isolated, tableUnreachable, listUnreachable bool

	running bool
	resumed time.Time
	control atomic.Pointer[control.Control]
	config  atomic.Pointer[confsync.Sync]
	usage   control.UsageSource
	totals  control.TotalsSink
	stop    func()
	// installedVersions holds, per incarnation, the versions put in force.
	installedVersions [][]config.Version
	// messages and bytes count the messages sent and their sizes.
	messages int
	bytes    int
}

var errLost = &core.Error{Kind: core.Unavailable, Step: "simulation", Detail: "no answer"}
var errRefused = &core.Error{Kind: core.Unavailable, Step: "simulation", Ran: core.RanNot, Detail: "connection refused"}

func newNetwork(seed uint64, daemons, dataCenters int) *network {
	n := &network{rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]string]bool{}}
	var list []core.Instance
	for i := range daemons {
		inst := core.Instance{ID: core.InstanceID(fmt.Sprintf("d%02d", i)), Role: core.RoleDaemon, State: core.Live,
			DataCenter: core.DataCenterID(fmt.Sprint("dc", i%dataCenters)), Address: fmt.Sprintf("10.0.0.%d:1", i)}
		list = append(list, inst)
		n.nodes = append(n.nodes, &node{net: n, instance: inst, pauseGate: make(chan struct{}, 1)})
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
	if a.instance.DataCenter == b.instance.DataCenter {
		return n.extraLatency + 200*time.Microsecond
	}
	return n.extraLatency + 4*time.Millisecond
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
	n.cut[[2]string{a.instance.Address, b.instance.Address}] = on
	n.cut[[2]string{b.instance.Address, a.instance.Address}] = on
}

// dropsMessage reports whether a message between two daemons is lost.
func (n *network) dropsMessage(a, b *node) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a.isolated || b.isolated || n.cut[[2]string{a.instance.Address, b.instance.Address}] || n.rng.Float64() < n.dropRate
}

func (n *network) withLock(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

func (d *node) withLock(f func()) { d.net.withLock(f) }

func (d *node) isRunning() bool {
	d.net.mu.Lock()
	defer d.net.mu.Unlock()
	return d.running
}

// waitWhilePaused waits until the daemon is not paused or was killed.
func (d *node) waitWhilePaused() { d.waitWhilePausedOr(nil) }

// waitWhilePausedOr waits until the daemon is not paused, was killed, or done is
// closed. It returns false in the last two cases.
func (d *node) waitWhilePausedOr(done <-chan struct{}) bool {
	var killed chan struct{}
	d.withLock(func() { killed = d.killed })
	select {
	case d.pauseGate <- struct{}{}:
		<-d.pauseGate
		return true
	case <-killed:
	case <-done:
	}
	return false
}

func (d *node) pause() { d.pauseGate <- struct{}{} }

func (d *node) resume() {
	d.withLock(func() { d.resumed = time.Now() })
	<-d.pauseGate
}

// start starts a new incarnation with the same address.
func (d *node) start() {
	incarnation := len(d.installedVersions)
	d.withLock(func() { d.killed = make(chan struct{}) })
	d.installedVersions = append(d.installedVersions, nil)
	seeds := []string{d.net.nodes[0].instance.Address, d.net.nodes[len(d.net.nodes)-1].instance.Address}
	replicator := &simReplicator{}
	cfg := confsync.New(simTable{d}, simObjects{d}, replicator, func(s *config.Snapshot) {
		d.withLock(func() { d.installedVersions[incarnation] = append(d.installedVersions[incarnation], s.Version) })
	})
	ctl := control.New(control.Options{Self: d.instance.ID, Address: d.instance.Address, DataCenter: d.instance.DataCenter, Seeds: seeds, List: simList{d}, Table: simTable{d},
		Configs: cfg, Peers: simPeers{d}, Seed: uint64(d.net.intn(1 << 30)), Log: zerolog.Nop(), Usage: d.usage, Totals: d.totals,
		Limit: func(core.AccountID) (float64, float64, int) { return 100, 0, 0 },
		Sleep: func(ctx context.Context, t time.Duration) error {
			select {
			case <-time.After(t):
				d.waitWhilePaused()
				return ctx.Err()
			case <-ctx.Done():
				return ctx.Err()
			}
		}})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	replicator.ctl = ctl
	d.control.Store(ctl)
	d.config.Store(cfg)
	wg.Go(func() { ctl.Run(ctx) })
	wg.Go(func() { cfg.Run(ctx, func(error) {}) })
	d.stop = func() { cancel(); wg.Wait() }
	d.withLock(func() { d.running = true })
}

func (d *node) kill() {
	if d.isRunning() {
		d.withLock(func() { d.running = false; close(d.killed) })
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

// avoids reports whether the daemon would give no new work to the leaving instance.
func (d *node) avoids(id core.InstanceID) bool {
	return !d.isRunning() || !d.ctl().ViewIsFresh(time.Now()) || d.ctl().View().Leaving[id]
}

func (d *node) countMessage(m proto.Message) {
	d.withLock(func() {
		d.messages++
		d.bytes += proto.Size(m)
	})
}

// simPeers implements control.Peers for the daemon from.
type simPeers struct{ from *node }

func (peers simPeers) Retain([]string) {}

// send simulates a call to the daemon at addr, with latency, losses and pauses.
func send[R proto.Message](ctx context.Context, peers simPeers, addr string, req proto.Message, handle func(h control.Handler) R) (R, error) {
	var zero R
	n := peers.from.net
	peers.from.waitWhilePaused()
	var to *node
	for _, d := range n.nodes {
		if d.instance.Address == addr {
			to = d
		}
	}
	if to == nil || !to.isRunning() {
		return zero, errRefused
	}
	peers.from.countMessage(req)
	if n.dropsMessage(peers.from, to) {
		<-ctx.Done()
		peers.from.waitWhilePaused()
		return zero, errLost
	}
	time.Sleep(n.latency(peers.from, to))
	if !to.waitWhilePausedOr(ctx.Done()) || !to.isRunning() {
		return zero, errLost
	}
	reply := handle(to.ctl())
	to.countMessage(reply)
	time.Sleep(n.latency(peers.from, to))
	peers.from.waitWhilePaused()
	if ctx.Err() != nil || n.dropsMessage(peers.from, to) {
		<-ctx.Done()
		return zero, errLost
	}
	return reply, nil
}

func (peers simPeers) Exchange(ctx context.Context, addr string, r control.ExchangeRequest) (control.ExchangeReply, error) {
	wire := exchangeRequestToWire(r)
	reply, err := send(ctx, peers, addr, wire, func(h control.Handler) *exchangeReply {
		return exchangeReplyToWire(h.HandleExchange(exchangeRequestFromWire(wire)))
	})
	if err != nil {
		return control.ExchangeReply{}, err
	}
	return exchangeReplyFromWire(reply), nil
}

func (peers simPeers) Push(ctx context.Context, addr string, e control.Events) (config.Version, error) {
	wire := eventsToWire(e)
	reply, err := send(ctx, peers, addr, wire, func(h control.Handler) *pushReply {
		return &pushReply{ConfigVersion: uint64(h.HandlePush(eventsFromWire(wire)))}
	})
	return config.Version(reply.GetConfigVersion()), err
}

func (peers simPeers) Configuration(ctx context.Context, addr string, have config.Version) (*control.ConfigBody, error) {
	reply, err := send(ctx, peers, addr, &configRequest{HaveVersion: uint64(have)}, func(h control.Handler) *configReply {
		return &configReply{Config: configToWire(h.HandleConfiguration(have))}
	})
	return configFromWire(reply.GetConfig()), err
}

func (peers simPeers) Usage(ctx context.Context, addr string, r control.UsageReport) ([]limits.AccountUsage, error) {
	wire := usageReportToWire(r)
	reply, err := send(ctx, peers, addr, wire, func(h control.Handler) *usageReply {
		return &usageReply{Totals: accountUsageToWire(h.HandleUsage(usageReportFromWire(wire)))}
	})
	return accountUsageFromWire(reply.GetTotals()), err
}

func (peers simPeers) Status(context.Context, string) (control.PeerStatus, error) {
	return control.PeerStatus{}, errors.New("not simulated")
}

// simReplicator implements confsync.Replicator in the same way as package daemon.
type simReplicator struct{ ctl *control.Control }

func (s *simReplicator) ReplicateConfig(ctx context.Context, snap *config.Snapshot) int {
	return s.ctl.ReplicateConfig(ctx, snap)
}
func (s *simReplicator) AnnounceConfig() { s.ctl.AnnounceConfig() }
func (s *simReplicator) Daemons() int    { return s.ctl.Daemons() }
func (s *simReplicator) PeerConfigs(ctx context.Context, have config.Version) []confsync.PeerConfig {
	var out []confsync.PeerConfig
	for _, b := range s.ctl.PeerConfigs(ctx, have) {
		out = append(out, confsync.PeerConfig(b))
	}
	return out
}

// runInBubble runs f on virtual time (testing/synctest) and on one processor. With
// several processors, the race detector of Go 1.26.8 fails an internal check
// (tsan_rtl.cpp:346), without reporting a race, in about one of five runs with 32
// daemons or more.
func runInBubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, f)
}

// seeds returns the seeds of a randomized test: 1 to n, or the one given by a flag.
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
