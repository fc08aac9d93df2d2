package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

const (
	// maxConns bounds the pool. A fleet of 330 daemons fits. In a full pool, a new
	// connection replaces the least recently used one.
	maxConns = 512
	// idleTimeout is the time without calls after which a connection is closed.
	idleTimeout = 2 * time.Minute
	// dialTimeout and maxBackoff are short, so that a peer that comes back is
	// reached again before the membership view is 2 s old.
	dialTimeout = 500 * time.Millisecond
	baseBackoff = 100 * time.Millisecond
	maxBackoff  = time.Second
)

// pooledConn is a connection with the time of its last use.
type pooledConn struct {
	conn     *grpc.ClientConn
	lastUsed time.Time
}

// pool holds one connection per daemon address.
type pool struct {
	options []grpc.DialOption
	traffic *trafficCounter
	maxSize int

	mu    sync.Mutex
	conns map[string]*pooledConn
}

func newPool(o ClientOptions) *pool {
	creds := insecure.NewCredentials()
	if o.TLS != nil {
		creds = credentials.NewTLS(o.TLS)
	}
	p := &pool{maxSize: maxConns, traffic: newTrafficCounter(o.Metrics), conns: map[string]*pooledConn{}, options: []grpc.DialOption{
		grpc.WithTransportCredentials(creds), grpc.WithNoProxy(), grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDisableServiceConfig(), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxConfigMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: dialTimeout,
			Backoff: backoff.Config{BaseDelay: baseBackoff, Multiplier: 2, Jitter: 0.2, MaxDelay: maxBackoff}}),
	}}
	p.options = append(p.options, grpc.WithStatsHandler(p.traffic))
	if o.Dial != nil {
		p.options = append(p.options, grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) { return o.Dial(ctx, "tcp", addr) }))
	}
	return p
}

// get returns the connection to addr. A new one is dialled by its first call.
func (p *pool) get(addr string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[addr]; c != nil {
		c.lastUsed = time.Now()
		return c.conn, nil
	}
	// Addresses are numeric, so they need no name resolution.
	conn, err := grpc.NewClient("passthrough:///"+addr, p.options...)
	if err != nil {
		return nil, err
	}
	if len(p.conns) >= p.maxSize {
		p.dropLeastRecentlyUsed()
	}
	p.conns[addr] = &pooledConn{conn: conn, lastUsed: time.Now()}
	return conn, nil
}

func (p *pool) dropLeastRecentlyUsed() {
	var leastRecent string
	for addr, c := range p.conns {
		if leastRecent == "" || c.lastUsed.Before(p.conns[leastRecent].lastUsed) {
			leastRecent = addr
		}
	}
	p.conns[leastRecent].conn.Close()
	delete(p.conns, leastRecent)
}

// retain closes the connections to all addresses that are not in addrs.
func (p *pool) retain(addrs []string) {
	keep := make(map[string]bool, len(addrs))
	for _, a := range addrs {
		keep[a] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.conns {
		if !keep[addr] {
			c.conn.Close()
			delete(p.conns, addr)
		}
	}
}
