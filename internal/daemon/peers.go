package daemon

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/adapter/opapi"
	"eelgrassgrade/internal/adapter/peer"
	"eelgrassgrade/internal/adapter/tlsfiles"
	"eelgrassgrade/internal/app/confsync"
	"eelgrassgrade/internal/app/control"
	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
)

// peerStopTimeout limits both the announcement of a stop to peers and the wait for
// peer calls in progress.
const peerStopTimeout = 2 * time.Second

// peers holds the client and the server for calls between daemons.
type peers struct {
	client *peer.Client
	server *peer.Server
}

// newPeers creates the peer client, the control loops and the peer server, without
// starting them.
func (d *Daemon) newPeers(list control.InstanceLister, table control.Table, suspects control.SuspectSet) {
	var serverTLS *tls.Config
	var dial peer.DialFunc
	if d.tls.certificate != nil {
		serverTLS = tlsfiles.ServerConfig(d.tls.certificate, d.tls.peerCAs, "h2")
		dial = peer.DialFunc(tlsfiles.Dialer(d.tls.certificate, d.tls.peerCAs, dialTimeout, "h2"))
	}
	d.peers.client = peer.NewClient(peer.ClientOptions{Dial: dial, Metrics: d.metrics})
	d.control = control.New(control.Options{
		Self: d.self, Address: d.settings.Listen.Peers, DataCenter: core.DataCenterID(d.settings.DataCenter), Seeds: d.settings.Peers,
		List: list, Table: table, Configs: d.config, Peers: d.peers.client, Suspects: suspects, Usage: d.sched, Totals: d.sched, Limit: d.accountLimits, Seed: rand.Uint64(), Log: d.log,
		Status: func() control.PeerStatus {
			return control.PeerStatus{Ready: d.ready(), RequestsInProgress: int(d.inFlight.Load())}
		},
	})
	d.peers.server = peer.NewServer(d.control, serverTLS, d.metrics)
}

// servePeers starts the peer server. If it fails later, the error goes to serveErrs.
func (d *Daemon) servePeers(serveErrs chan<- error) error {
	ln, err := net.Listen("tcp", d.settings.Listen.Peers)
	if err != nil {
		return errors.Annotatef(err, "listen on %s", d.settings.Listen.Peers)
	}
	go func() {
		if err := d.peers.server.Serve(ln); err != nil {
			serveErrs <- err
		}
	}()
	return nil
}

// runPeers starts the control and configuration loops, which run until ctx ends.
func (d *Daemon) runPeers(ctx context.Context) {
	go d.config.Run(ctx, func(err error) { d.log.Warn().Err(err).Msg("configuration_refresh_failed") })
	go d.control.Run(ctx)
}

// announceStop informs the other daemons in this data centre that this one stops.
func (d *Daemon) announceStop() {
	ctx, cancel := context.WithTimeout(context.Background(), peerStopTimeout)
	defer cancel()
	d.control.AnnounceStop(ctx)
}

func (d *Daemon) stopPeers() {
	d.peers.server.Stop(peerStopTimeout)
	d.peers.client.Close()
}

// accountLimits returns the limits of an account in the configuration in force.
func (d *Daemon) accountLimits(id core.AccountID) (requestsPerS, tokensPerS float64, concurrency int) {
	s := d.config.Current()
	if s == nil {
		return 0, 0, 0
	}
	p := s.PlanOf(id)
	return p.RequestsPerS, p.TokensPerS, p.Concurrency
}

var _ confsync.Replicator = configReplicator{}

// configReplicator implements confsync.Replicator by calls to d.control, which is
// created after d.config.
type configReplicator struct{ d *Daemon }

// ReplicateConfig implements confsync.Replicator.
func (r configReplicator) ReplicateConfig(ctx context.Context, snap *config.Snapshot) int {
	return r.d.control.ReplicateConfig(ctx, snap)
}

// AnnounceConfig implements confsync.Replicator.
func (r configReplicator) AnnounceConfig() { r.d.control.AnnounceConfig() }

// Daemons implements confsync.Replicator.
func (r configReplicator) Daemons() int { return r.d.control.Daemons() }

// PeerConfigs implements confsync.Replicator.
func (r configReplicator) PeerConfigs(ctx context.Context, have config.Version) []confsync.PeerConfig {
	var configs []confsync.PeerConfig
	for _, b := range r.d.control.PeerConfigs(ctx, have) {
		configs = append(configs, confsync.PeerConfig(b))
	}
	return configs
}

var _ opapi.Fleet = (*Daemon)(nil)

// Status implements opapi.Fleet.
func (d *Daemon) Status(ctx context.Context) []opapi.DaemonStatus {
	peerStatuses := d.control.Statuses(ctx)
	statuses := make([]opapi.DaemonStatus, len(peerStatuses))
	for i, s := range peerStatuses {
		statuses[i] = opapi.DaemonStatus(s)
	}
	return statuses
}

// Leave implements opapi.Fleet.
func (d *Daemon) Leave(ctx context.Context, id core.InstanceID) (opapi.LeaveResult, error) {
	r, err := d.control.Leave(ctx, id)
	return opapi.LeaveResult(r), err
}
