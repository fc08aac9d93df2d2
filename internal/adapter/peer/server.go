// Package peer carries calls between daemons over gRPC, with mutual TLS or, by
// explicit setting, in plain text.
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
	// maxConfigMessage bounds a message with a configuration body, in bytes.
	maxConfigMessage = config.MaxSourceBytes + 64<<10
	// maxMessage bounds any other answer, in bytes: 1,200 instances of about 150
	// bytes and both sets fit several times.
	maxMessage = 1 << 20
	// maxStreams bounds the calls in progress on one connection.
	maxStreams       = 64
	handshakeTimeout = 5 * time.Second
	keepaliveTime    = 30 * time.Second
	keepaliveTimeout = 10 * time.Second
)

// Server answers the calls of other daemons.
type Server struct {
	grpc *grpc.Server
}

var _ pb.PeerServer = (*service)(nil)

type service struct {
	pb.UnimplementedPeerServer
	handler control.Handler
}

// NewServer returns a Server. tlsConfig must demand and verify client
// certificates; nil means plain text. Traffic is counted in set.
func NewServer(h control.Handler, tlsConfig *tls.Config, set *metrics.Set) *Server {
	creds := insecure.NewCredentials()
	if tlsConfig != nil {
		creds = credentials.NewTLS(tlsConfig)
	}
	s := grpc.NewServer(
		grpc.Creds(creds), grpc.MaxRecvMsgSize(maxConfigMessage), grpc.MaxSendMsgSize(maxConfigMessage),
		grpc.MaxConcurrentStreams(maxStreams), grpc.ConnectionTimeout(handshakeTimeout), grpc.StatsHandler(newTraffic(set)),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	)
	pb.RegisterPeerServer(s, &service{handler: h})
	return &Server{grpc: s}
}

// Serve answers calls on ln until Stop.
func (s *Server) Serve(ln net.Listener) error { return s.grpc.Serve(ln) }

// Stop finishes the calls in progress for up to the given time and closes all
// connections.
func (s *Server) Stop(limit time.Duration) {
	t := time.AfterFunc(limit, s.grpc.Stop)
	defer t.Stop()
	s.grpc.GracefulStop()
}

// Exchange implements peerpb.PeerServer.
func (s *service) Exchange(_ context.Context, r *pb.ExchangeRequest) (*pb.ExchangeReply, error) {
	return replyToWire(s.handler.HandleExchange(exchangeFromWire(r))), nil
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
	return &pb.UsageReply{Totals: usageToWire(s.handler.HandleUsage(reportFromWire(r)))}, nil
}

// Status implements peerpb.PeerServer.
func (s *service) Status(context.Context, *pb.StatusRequest) (*pb.StatusReply, error) {
	return statusToWire(s.handler.HandleStatus()), nil
}
