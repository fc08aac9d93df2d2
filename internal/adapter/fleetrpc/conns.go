package fleetrpc

import (
	"context"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"eelgrassgrade/internal/adapter/fleetrpc/fleetpb"
)

const (
	// A replaced connection is dead if it has not answered while maxUnansweredPings pings
	// on the new one, pingInterval apart, were answered. That is long enough for TCP to
	// repeat a packet that was lost in an outage of a second.
	maxUnansweredPings = 3
	pingInterval       = 200 * time.Millisecond
	// pingTimeout bounds a ping on the new connection.
	pingTimeout = 400 * time.Millisecond
	// recheckInterval is the time between two checks of a replaced connection.
	recheckInterval = 300 * time.Millisecond
	// maxReplaced bounds the replaced connections to one daemon that are kept for their
	// calls. Beyond it, the oldest is used for new calls again if it has answered within
	// provenTime, and closed otherwise.
	maxReplaced = 2
	provenTime  = 2 * time.Second
)

// CutReason says why a connection with calls in progress was closed.
type CutReason string

const (
	// CutDead: the daemon answers on a newer connection and not on this one.
	CutDead CutReason = "dead"
	// CutBound: there were more replaced connections to the daemon than are kept.
	CutBound CutReason = "bound"
)

// conn is a connection to another daemon. Client.mu guards calls and replaced.
type conn struct {
	*grpc.ClientConn
	// calls counts the calls in progress.
	calls int
	// replaced says that new calls use another connection.
	replaced bool
	// checked says that checkReplaced runs, answeredAt is when the daemon last answered it.
	checked    bool
	answeredAt time.Time
}

// daemonClient calls one daemon. done must be called when the call has ended.
type daemonClient struct {
	fleetpb.FleetClient
	conn *conn
	done func()
}

// fleetClient returns a client for the daemon with the address. It reuses the connection.
func (c *Client) fleetClient(address string) (*daemonClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.conns[address]
	if current == nil {
		opened, err := dial(address)
		if err != nil {
			return nil, err
		}
		current = &conn{ClientConn: opened}
		c.conns[address] = current
	}
	current.calls++
	return &daemonClient{fleetpb.NewFleetClient(current), current, func() { c.callEnded(address, current) }}, nil
}

// dial returns a connection that is opened by its first call.
func dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(), grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(),
		grpc.WithInitialWindowSize(flowWindowBytes), grpc.WithInitialConnWindowSize(flowWindowBytes),
		grpc.WithReadBufferSize(connBufferBytes), grpc.WithWriteBufferSize(connBufferBytes), grpc.WithSharedWriteBuffer(true),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: dialTimeout,
			Backoff: backoff.Config{BaseDelay: baseBackoff, Multiplier: 2, Jitter: 0.2, MaxDelay: maxBackoff}}))
}

// callEnded records the end of a call and closes a replaced connection after its last one.
func (c *Client) callEnded(address string, ended *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ended.calls--; ended.calls == 0 && ended.replaced {
		c.closeReplaced(address, ended)
	}
}

// closeReplaced closes a replaced connection. The caller holds mu.
func (c *Client) closeReplaced(address string, old *conn) {
	c.replaced[address] = slices.DeleteFunc(c.replaced[address], func(x *conn) bool { return x == old })
	if len(c.replaced[address]) == 0 {
		delete(c.replaced, address)
	}
	old.Close()
}

// cut closes a replaced connection whose calls fail with it. The caller holds mu.
func (c *Client) cut(address string, old *conn, reason CutReason) {
	if c.OnCut != nil && old.calls > 0 {
		c.OnCut(address, old.calls, reason)
	}
	c.closeReplaced(address, old)
}

// Reconnect implements fleet.Transport. The daemon may work on the calls in progress and be
// only slow to answer, so the old connection is kept until they have ended or it is known
// to be dead.
func (c *Client) Reconnect(address string) (calls int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.conns[address]
	if old == nil {
		return 0
	}
	delete(c.conns, address)
	if old.calls == 0 {
		old.Close()
		return 0
	}
	old.replaced = true
	if c.replaced[address] = append(c.replaced[address], old); len(c.replaced[address]) > maxReplaced {
		c.reuseOrCut(address, c.replaced[address][0])
	}
	if !old.checked {
		old.checked = true
		go c.checkReplaced(address, old)
	}
	return old.calls
}

// reuseOrCut uses a replaced connection for new calls again, or closes it if the daemon has
// not answered on it lately. The caller holds mu.
func (c *Client) reuseOrCut(address string, old *conn) {
	if c.now().Sub(old.answeredAt) > provenTime {
		c.cut(address, old, CutBound)
		return
	}
	c.replaced[address] = slices.DeleteFunc(c.replaced[address], func(x *conn) bool { return x == old })
	old.replaced = false
	c.conns[address] = old
}

// checkReplaced closes a replaced connection if it is dead. It returns when the connection
// is closed or used for new calls again.
func (c *Client) checkReplaced(address string, old *conn) {
	for c.isReplaced(address, old) {
		dead, answered := c.check(address, old)
		c.mu.Lock()
		if answered {
			old.answeredAt = c.now()
		}
		if dead && slices.Contains(c.replaced[address], old) {
			c.cut(address, old, CutDead)
		}
		c.mu.Unlock()
		time.Sleep(recheckInterval)
	}
}

// isReplaced reports whether a replaced connection is still open. If not, it is no longer
// checked.
func (c *Client) isReplaced(address string, old *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old.checked = slices.Contains(c.replaced[address], old)
	return old.checked
}

// check reports whether a replaced connection is dead, since the daemon answers on its present
// one and not there, or whether it answers there. Time in which it answers on neither, or in
// which this process is paused, does not count.
func (c *Client) check(address string, old *conn) (dead, answered bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	result := make(chan bool, 1)
	go func() { result <- ping(ctx, old) }()
	for unanswered := 0; unanswered < maxUnansweredPings; {
		if c.pingCurrent(ctx, address) {
			unanswered++
		}
		select {
		case answered = <-result:
			return false, answered
		case <-time.After(pingInterval):
		}
	}
	return true, false
}

// pingCurrent reports whether a daemon answers on its present connection.
func (c *Client) pingCurrent(ctx context.Context, address string) bool {
	p, err := c.fleetClient(address)
	if err != nil {
		return false
	}
	defer p.done()
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return ping(ctx, p.conn)
}

// ping reports whether the daemon answers a health check. Earlier versions answer that
// they have none.
func ping(ctx context.Context, to *conn) bool {
	_, err := healthpb.NewHealthClient(to).Check(ctx, &healthpb.HealthCheckRequest{})
	return err == nil || status.Code(err) == codes.Unimplemented
}
