package peer

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc/stats"
)

var _ stats.Handler = (*trafficCounter)(nil)

// trafficCounter counts messages, their compressed bytes without HTTP/2 and TCP
// framing, and the bytes of received headers and trailers. gRPC does not report the
// length of sent headers.
type trafficCounter struct {
	sentMessages, receivedMessages *metrics.Counter
	sentBytes, receivedBytes       *metrics.Counter
	receivedHeaderBytes            *metrics.Counter
}

func newTrafficCounter(s *metrics.Set) *trafficCounter {
	return &trafficCounter{
		sentMessages:        s.GetOrCreateCounter(`eelgrass_peer_messages_total{direction="sent"}`),
		receivedMessages:    s.GetOrCreateCounter(`eelgrass_peer_messages_total{direction="received"}`),
		sentBytes:           s.GetOrCreateCounter(`eelgrass_peer_payload_bytes_total{direction="sent"}`),
		receivedBytes:       s.GetOrCreateCounter(`eelgrass_peer_payload_bytes_total{direction="received"}`),
		receivedHeaderBytes: s.GetOrCreateCounter(`eelgrass_peer_header_bytes_total{direction="received"}`),
	}
}

// HandleRPC implements stats.Handler.
func (t *trafficCounter) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch p := s.(type) {
	case *stats.OutPayload:
		t.sentMessages.Inc()
		t.sentBytes.Add(p.WireLength)
	case *stats.InPayload:
		t.receivedMessages.Inc()
		t.receivedBytes.Add(p.WireLength)
	case *stats.InHeader:
		t.receivedHeaderBytes.Add(p.WireLength)
	case *stats.InTrailer:
		t.receivedHeaderBytes.Add(p.WireLength)
	}
}

// TagRPC implements stats.Handler.
func (*trafficCounter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (*trafficCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (*trafficCounter) HandleConn(context.Context, stats.ConnStats) {}
