// Package peer implements calls between daemons over gRPC, with mutual TLS or, if
// the settings allow it, in plain text.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/keepalive"

	pb "eelgrassgrade/internal/adapter/peer/peerpb"
	"eelgrassgrade/internal/app/control"
	"eelgrassgrade/internal/config"
)

const (
	// maxConfigMessageBytes bounds a message that carries a configuration.
	maxConfigMessageBytes = config.MaxSourceBytes + 64<<10
	// maxMessageBytes bounds any other answer. The largest one, with 1,200
	// instances of about 150 bytes and the sets of leaving instances and suspects,
	// is several times smaller.
	maxMessageBytes = 1 << 20
	// maxConcurrentStreams bounds the calls in progress on one connection.
	maxConcurrentStreams = 64
	handshakeTimeout     = 5 * time.Second
	keepaliveTime        = 30 * time.Second
	keepaliveTimeout     = 10 * time.Second
)

// Server answers the calls of other daemons.
type Server struct {
	server *grpc.Server
}

var _ pb.PeerServer = (*service)(nil)

type service struct {
	pb.UnimplementedPeerServer
	handler control.Handler
}

// NewServer returns a Server that answers calls with h. tlsConfig must require and
// verify client certificates; nil means plain text. Traffic is counted in set.
func NewServer(h control.Handler, tlsConfig *tls.Config, set *metrics.Set) *Server {
	creds := insecure.NewCredentials()
	if tlsConfig != nil {
		creds = credentials.NewTLS(tlsConfig)
	}
	s := grpc.NewServer(
		grpc.Creds(creds), grpc.MaxRecvMsgSize(maxConfigMessageBytes), grpc.MaxSendMsgSize(maxConfigMessageBytes),
		grpc.MaxConcurrentStreams(maxConcurrentStreams), grpc.ConnectionTimeout(handshakeTimeout), grpc.StatsHandler(newTrafficCounter(set)),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	)
	pb.RegisterPeerServer(s, &service{handler: h})
	return &Server{server: s}
}

// Serve answers calls on ln until Stop is called.
func (s *Server) Serve(ln net.Listener) error { return s.server.Serve(ln) }

// Stop accepts no new calls, waits up to timeout for the calls in progress, and
// closes all connections.
func (s *Server) Stop(timeout time.Duration) {
	t := time.AfterFunc(timeout, s.server.Stop)
	defer t.Stop()
	s.server.GracefulStop()
}

// Exchange implements peerpb.PeerServer.
func (s *service) Exchange(_ context.Context, r *pb.ExchangeRequest) (*pb.ExchangeReply, error) {
	return exchangeReplyToWire(s.handler.HandleExchange(exchangeRequestFromWire(r))), nil
}

// Push implements peerpb.PeerServer.
func (s *service) Push(_ context.Context, r *pb.PushRequest) (*pb.PushReply, error) {
	return &pb.PushReply{ConfigVersion: uint64(s.handler.HandlePush(eventsFromWire(r)))}, nil
}

// Configuration implements peerpb.PeerServer.
func (s *service) Configuration(ctx context.Context, r *pb.ConfigurationRequest) (*pb.ConfigurationReply, error) {
	body := s.handler.HandleConfiguration(config.Version(r.GetHaveVersion()))
	if body != nil {
		if err := grpc.SetSendCompressor(ctx, gzip.Name); err != nil {
			return nil, err
		}
	}
	return &pb.ConfigurationReply{Config: configToWire(body)}, nil
}

// Usage implements peerpb.PeerServer.
func (s *service) Usage(_ context.Context, r *pb.UsageRequest) (*pb.UsageReply, error) {
	return &pb.UsageReply{Totals: accountUsageToWire(s.handler.HandleUsage(usageReportFromWire(r)))}, nil
}

// Status implements peerpb.PeerServer.
func (s *service) Status(context.Context, *pb.StatusRequest) (*pb.StatusReply, error) {
	return statusToWire(s.handler.HandleStatus()), nil
}
