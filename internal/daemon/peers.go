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

// peerStopTimeout bounds the end of peer calls in progress at a stop.
const peerStopTimeout = 2 * time.Second

// peers holds the connections to other daemons.
type peers struct {
	client *peer.Client
	server *peer.Server
}

// newPeers makes the peer client, the control loops and the peer server. None
// of them runs yet.
func (d *Daemon) newPeers(list control.InstanceLister, table control.Table, suspects control.SuspectSet) {
	var serverTLS *tls.Config
	var dial peer.DialFunc
	if d.tls.own != nil {
		serverTLS = tlsfiles.ServerConfig(d.tls.own, d.tls.peers, "h2")
		dial = peer.DialFunc(tlsfiles.Dialer(d.tls.own, d.tls.peers, dialTimeout, "h2"))
	}
	d.peers.client = peer.NewClient(peer.ClientOptions{Dial: dial, Metrics: d.metrics})
	d.control = control.New(control.Options{
		Self: d.self, Address: d.settings.Listen.Peers, DataCenter: core.DataCenterID(d.settings.DataCenter), Seeds: d.settings.Peers,
		List: list, Table: table, Configs: d.config, Peers: d.peers.client, Suspects: suspects, Usage: d.sched, Totals: d.sched, Limit: d.limit, Seed: rand.Uint64(), Log: d.log,
		Status: func() control.PeerStatus {
			return control.PeerStatus{Ready: d.ready(), RequestsInProgress: int(d.inFlight.Load())}
		},
	})
	d.peers.server = peer.NewServer(d.control, serverTLS, d.metrics)
}

// servePeers starts the peer listener.
func (d *Daemon) servePeers(failed chan<- error) error {
	ln, err := net.Listen("tcp", d.settings.Listen.Peers)
	if err != nil {
		return errors.Annotatef(err, "listen on %s", d.settings.Listen.Peers)
	}
	go func() {
		if err := d.peers.server.Serve(ln); err != nil {
			failed <- err
		}
	}()
	return nil
}

// runPeers starts the control and configuration loops, which run until ctx ends.
func (d *Daemon) runPeers(ctx context.Context) {
	go d.config.Run(ctx, func(err error) { d.log.Warn().Err(err).Msg("configuration_refresh_failed") })
	go d.control.Run(ctx)
}

// tellPeers tells the other daemons that this one stops.
func (d *Daemon) tellPeers() {
	ctx, cancel := context.WithTimeout(context.Background(), peerStopTimeout)
	defer cancel()
	d.control.Stopping(ctx)
}

func (d *Daemon) stopPeers() {
	d.peers.server.Stop(peerStopTimeout)
	d.peers.client.Close()
}

// limit returns the limits of an account by the configuration in force.
func (d *Daemon) limit(id core.AccountID) (requestsPerS, tokensPerS float64, concurrency int) {
	s := d.config.Current()
	if s == nil {
		return 0, 0, 0
	}
	p := s.PlanOf(id)
	return p.RequestsPerS, p.TokensPerS, p.Concurrency
}

var _ confsync.Spreader = spreader{}

// spreader hands configurations to the control loops, which are made after the
// configuration.
type spreader struct{ d *Daemon }

// SpreadConfig implements confsync.Spreader.
func (s spreader) SpreadConfig(ctx context.Context, snap *config.Snapshot) int {
	return s.d.control.SpreadConfig(ctx, snap)
}

// AnnounceConfig implements confsync.Spreader.
func (s spreader) AnnounceConfig() { s.d.control.AnnounceConfig() }

// Daemons implements confsync.Spreader.
func (s spreader) Daemons() int { return s.d.control.Daemons() }

// OfferedConfigs implements confsync.Spreader.
func (s spreader) OfferedConfigs(ctx context.Context, have config.Version) []confsync.Offer {
	var out []confsync.Offer
	for _, b := range s.d.control.OfferedConfigs(ctx, have) {
		out = append(out, confsync.Offer(b))
	}
	return out
}

var _ opapi.Fleet = (*Daemon)(nil)

// Status implements opapi.Fleet.
func (d *Daemon) Status(ctx context.Context) []opapi.DaemonStatus {
	all := d.control.Statuses(ctx)
	out := make([]opapi.DaemonStatus, len(all))
	for i, s := range all {
		out[i] = opapi.DaemonStatus(s)
	}
	return out
}

// Leave implements opapi.Fleet.
func (d *Daemon) Leave(ctx context.Context, id core.InstanceID) (opapi.LeaveResult, error) {
	r, err := d.control.Leave(ctx, id)
	return opapi.LeaveResult(r), err
}
