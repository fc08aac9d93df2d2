package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/status"

	pb "eelgrassgrade/internal/adapter/peer/peerpb"
	"eelgrassgrade/internal/app/control"
	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/limits"
)

// Upper bounds of calls; a caller's context may be shorter. A view older than
// 2 s stops dispatch, so a call that feeds it must end well before.
const (
	exchangeTimeout = 500 * time.Millisecond
	pushTimeout     = time.Second
	configTimeout   = time.Second
	usageTimeout    = 500 * time.Millisecond
	statusTimeout   = time.Second
)

var _ control.Peers = (*Client)(nil)

// Client calls other daemons. It is safe for concurrent use.
type Client struct {
	pool *pool
}

// DialFunc opens a connection to a peer, with TLS.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// ClientOptions configures a Client.
type ClientOptions struct {
	// TLS presents this daemon's certificate and verifies the peer's. Dial does
	// the same for certificates that change. Neither means plain text.
	TLS  *tls.Config
	Dial DialFunc
	// Metrics counts the traffic.
	Metrics *metrics.Set
}

// NewClient returns a Client.
func NewClient(o ClientOptions) *Client { return &Client{pool: newPool(o)} }

// Close drops all connections.
func (c *Client) Close() { c.pool.retain(nil) }

// Retain implements control.Peers.
func (c *Client) Retain(addrs []string) { c.pool.retain(addrs) }

// call runs one call with a time bound and turns its error into a *core.Error.
func call[Q, R any](ctx context.Context, c *Client, addr, step string, limit time.Duration, q *Q,
	f func(pb.PeerClient, context.Context, *Q, ...grpc.CallOption) (*R, error), opts ...grpc.CallOption) (*R, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := c.pool.get(addr)
	if err != nil {
		return nil, fail(step, addr, err)
	}
	r, err := f(pb.NewPeerClient(conn), ctx, q, opts...)
	if err != nil {
		return nil, fail(step, addr, err)
	}
	return r, nil
}

func fail(step, addr string, err error) *core.Error {
	e := &core.Error{Kind: core.Unavailable, Step: step, Peer: addr, Detail: "the daemon does not answer", Err: err}
	if status.Code(err) == codes.ResourceExhausted {
		e.Detail = "the message is too large"
	}
	return e
}

// Exchange implements control.Peers.
func (c *Client) Exchange(ctx context.Context, addr string, r control.ExchangeRequest) (control.ExchangeReply, error) {
	reply, err := call(ctx, c, addr, "exchange", exchangeTimeout, exchangeToWire(r), pb.PeerClient.Exchange)
	if err != nil {
		return control.ExchangeReply{}, err
	}
	return replyFromWire(reply), nil
}

// Push implements control.Peers.
func (c *Client) Push(ctx context.Context, addr string, e control.Events) (config.Version, error) {
	var opts []grpc.CallOption
	if e.Config != nil && len(e.Config.Source) > 0 {
		opts = append(opts, grpc.UseCompressor(gzip.Name))
	}
	reply, err := call(ctx, c, addr, "push", pushTimeout, eventsToWire(e), pb.PeerClient.Push, opts...)
	if err != nil {
		return 0, err
	}
	return config.Version(reply.GetConfigVersion()), nil
}

// Configuration implements control.Peers.
func (c *Client) Configuration(ctx context.Context, addr string, have config.Version) (*control.ConfigBody, error) {
	reply, err := call(ctx, c, addr, "configuration", configTimeout, &pb.ConfigurationRequest{HaveVersion: uint64(have)},
		pb.PeerClient.Configuration, grpc.MaxCallRecvMsgSize(maxConfigMessage))
	if err != nil {
		return nil, err
	}
	return configFromWire(reply.GetConfig()), nil
}

func reportToWire(r control.UsageReport) *pb.UsageRequest {
	return &pb.UsageRequest{Instance: string(r.Instance), DataCenter: string(r.DataCenter), Accounts: usageToWire(r.Accounts), Summary: r.Summary}
}

func reportFromWire(r *pb.UsageRequest) control.UsageReport {
	return control.UsageReport{Instance: core.InstanceID(r.GetInstance()), DataCenter: core.DataCenterID(r.GetDataCenter()),
		Accounts: usageFromWire(r.GetAccounts()), Summary: r.GetSummary()}
}

// Usage implements control.Peers.
func (c *Client) Usage(ctx context.Context, addr string, r control.UsageReport) ([]limits.AccountUsage, error) {
	reply, err := call(ctx, c, addr, "usage", usageTimeout, reportToWire(r), pb.PeerClient.Usage)
	if err != nil {
		return nil, err
	}
	return usageFromWire(reply.GetTotals()), nil
}

// Status implements control.Peers. It waits for a connection that is being made
// again, so that a daemon that has just started is not shown as one that does not
// answer.
func (c *Client) Status(ctx context.Context, addr string) (control.PeerStatus, error) {
	reply, err := call(ctx, c, addr, "status", statusTimeout, &pb.StatusRequest{}, pb.PeerClient.Status, grpc.WaitForReady(true))
	if err != nil {
		return control.PeerStatus{}, err
	}
	return statusFromWire(reply), nil
}
