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

// Timeouts of calls; the caller's context may end earlier. A daemon stops
// dispatching when its membership view is 2 s old, so calls that refresh the view
// must end well before that.
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
	// the same with certificates that may be renewed while the daemon runs. With
	// neither, connections are in plain text.
	TLS  *tls.Config
	Dial DialFunc
	// Metrics receives the counters of the traffic.
	Metrics *metrics.Set
}

// NewClient returns a Client.
func NewClient(o ClientOptions) *Client { return &Client{pool: newPool(o)} }

// Close drops all connections.
func (c *Client) Close() { c.pool.retain(nil) }

// Retain implements control.Peers.
func (c *Client) Retain(addrs []string) { c.pool.retain(addrs) }

// call calls method on the daemon at addr, with a timeout. Errors are *core.Error.
func call[Q, R any](ctx context.Context, c *Client, addr, step string, timeout time.Duration, req *Q,
	method func(pb.PeerClient, context.Context, *Q, ...grpc.CallOption) (*R, error), opts ...grpc.CallOption) (*R, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.pool.get(addr)
	if err != nil {
		return nil, callError(step, addr, err)
	}
	reply, err := method(pb.NewPeerClient(conn), ctx, req, opts...)
	if err != nil {
		return nil, callError(step, addr, err)
	}
	return reply, nil
}

func callError(step, addr string, err error) *core.Error {
	e := &core.Error{Kind: core.Unavailable, Step: step, Peer: addr, Detail: "the daemon does not answer", Err: err}
	if status.Code(err) == codes.ResourceExhausted {
		e.Detail = "the message is too large"
	}
	return e
}

// Exchange implements control.Peers.
func (c *Client) Exchange(ctx context.Context, addr string, r control.ExchangeRequest) (control.ExchangeReply, error) {
	reply, err := call(ctx, c, addr, "exchange", exchangeTimeout, exchangeRequestToWire(r), pb.PeerClient.Exchange)
	if err != nil {
		return control.ExchangeReply{}, err
	}
	return exchangeReplyFromWire(reply), nil
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
		pb.PeerClient.Configuration, grpc.MaxCallRecvMsgSize(maxConfigMessageBytes))
	if err != nil {
		return nil, err
	}
	return configFromWire(reply.GetConfig()), nil
}

func usageReportToWire(r control.UsageReport) *pb.UsageRequest {
	return &pb.UsageRequest{Instance: string(r.Instance), DataCenter: string(r.DataCenter), Accounts: accountUsageToWire(r.Accounts), Summary: r.Summary}
}

func usageReportFromWire(r *pb.UsageRequest) control.UsageReport {
	return control.UsageReport{Instance: core.InstanceID(r.GetInstance()), DataCenter: core.DataCenterID(r.GetDataCenter()),
		Accounts: accountUsageFromWire(r.GetAccounts()), Summary: r.GetSummary()}
}

// Usage implements control.Peers.
func (c *Client) Usage(ctx context.Context, addr string, r control.UsageReport) ([]limits.AccountUsage, error) {
	reply, err := call(ctx, c, addr, "usage", usageTimeout, usageReportToWire(r), pb.PeerClient.Usage)
	if err != nil {
		return nil, err
	}
	return accountUsageFromWire(reply.GetTotals()), nil
}

// Status implements control.Peers. It waits while the connection is being
// re-established, so that a daemon that has just started is not reported as one
// that does not answer.
func (c *Client) Status(ctx context.Context, addr string) (control.PeerStatus, error) {
	reply, err := call(ctx, c, addr, "status", statusTimeout, &pb.StatusRequest{}, pb.PeerClient.Status, grpc.WaitForReady(true))
	if err != nil {
		return control.PeerStatus{}, err
	}
	return statusFromWire(reply), nil
}
