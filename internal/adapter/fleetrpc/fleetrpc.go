// Package fleetrpc carries the messages between daemons over gRPC.
package fleetrpc

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"eelgrassgrade/internal/adapter/fleetrpc/fleetpb"
	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/app/mirror"
	"eelgrassgrade/internal/app/stagework"
	"eelgrassgrade/internal/core"
)

const (
	// maxMessage fits a copy of a configuration with thousands of routes.
	maxMessage = 16 << 20
	// dialTimeout and maxBackoff are short, since a daemon that returns should be
	// in use again within an exchange or two.
	dialTimeout = 500 * time.Millisecond
	baseBackoff = 50 * time.Millisecond
	maxBackoff  = 500 * time.Millisecond
	// windowBytes fits the largest links over the longest ways within a region. A
	// fixed window spares the probes with which the library measures one, a packet
	// each way for each message.
	windowBytes = 256 << 10
	// bufferBytes fits an exchange. A daemon among hundreds has a connection to each
	// of them, and the library's own buffers are 64 KB for each.
	bufferBytes = 4 << 10
	// streamWorkers serve calls without a goroutine for each.
	streamWorkers = 4
)

var (
	_ fleet.Transport        = (*Client)(nil)
	_ stagework.Coordinators = (*Client)(nil)
)

// Client calls other daemons.
type Client struct {
	now func() time.Time

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewClient returns a client without connections.
func NewClient(now func() time.Time) *Client {
	return &Client{now: now, conns: map[string]*grpc.ClientConn{}}
}

func (c *Client) peer(address string) (fleetpb.FleetClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conns[address]
	if conn == nil {
		var err error
		conn, err = grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithNoProxy(), grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(),
			grpc.WithInitialWindowSize(windowBytes), grpc.WithInitialConnWindowSize(windowBytes),
			grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes), grpc.WithSharedWriteBuffer(true),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
			grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: dialTimeout,
				Backoff: backoff.Config{BaseDelay: baseBackoff, Multiplier: 2, Jitter: 0.2, MaxDelay: maxBackoff}}))
		if err != nil {
			return nil, err
		}
		c.conns[address] = conn
	}
	return fleetpb.NewFleetClient(conn), nil
}

// Drop implements fleet.Transport.
func (c *Client) Drop(address string) {
	c.mu.Lock()
	conn := c.conns[address]
	delete(c.conns, address)
	c.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
}

// Exchange implements fleet.Transport.
func (c *Client) Exchange(ctx context.Context, address string, s *fleet.Status) (*fleet.Status, error) {
	p, err := c.peer(address)
	if err != nil {
		return nil, err
	}
	r, err := p.Exchange(ctx, statusToPB(c.now(), s))
	if err != nil {
		return nil, err
	}
	return statusFromPB(c.now(), r), nil
}

// Announce implements fleet.Transport.
func (c *Client) Announce(ctx context.Context, address string, r fleet.Prefill) error {
	p, err := c.peer(address)
	if err != nil {
		return err
	}
	_, err = p.Announce(ctx, &fleetpb.Reading{From: r.From, Endpoint: string(r.Endpoint), Tokens: int64(r.Tokens), LeftMs: uint32(max(r.Remaining.Milliseconds(), 0))})
	return err
}

// Pull returns rows of the daemon's copy of a table.
func (c *Client) Pull(ctx context.Context, address, table string, after int64) (mirror.Batch, error) {
	p, err := c.peer(address)
	if err != nil {
		return mirror.Batch{}, err
	}
	r, err := p.Pull(ctx, &fleetpb.PullRequest{Table: table, After: after})
	if err != nil {
		return mirror.Batch{}, err
	}
	return batchFromPB(c.now(), r)
}

// Submit implements stagework.Coordinators.
func (c *Client) Submit(ctx context.Context, address string, group int, t *stagework.Task) ([]stagework.Result, error) {
	p, err := c.peer(address)
	if err == nil {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		var replies fleetpb.Fleet_SubmitClient
		if replies, err = p.Submit(ctx, taskToPB(c.now(), group, t)); err == nil {
			var r *fleetpb.TaskReply
			for r, err = replies.Recv(); err == nil; r, err = replies.Recv() {
				if r.GetStarted() {
					t.MarkStarted()
					continue
				}
				if f := r.GetFailure(); f != nil {
					return nil, failureFromPB(f)
				}
				return resultsFromPB(r.GetResults()), nil
			}
		}
	}
	return nil, &core.Error{Kind: core.Unavailable, Step: "stage", Peer: address, Ran: core.RanUnknown, RetryAfter: time.Second,
		Detail: stagework.LostCoordinator, Err: err}
}

// Release implements stagework.Coordinators.
func (c *Client) Release(ctx context.Context, address string, pool core.PoolID, results []stagework.Result) error {
	p, err := c.peer(address)
	if err != nil {
		return err
	}
	_, err = p.Release(ctx, &fleetpb.ReleaseRequest{Pool: string(pool), Results: resultsToPB(results)})
	return err
}

// Server serves other daemons.
type Server struct {
	fleetpb.UnimplementedFleetServer
	fleet       *fleet.Fleet
	tables      map[string]*mirror.Table
	coordinator *stagework.Coordinator
	now         func() time.Time
	stopping    func() bool
	packer      *packer
	grpc        *grpc.Server
}

// NewServer returns a server. stopping says that the daemon takes no new tasks.
func NewServer(f *fleet.Fleet, tables []*mirror.Table, c *stagework.Coordinator, now func() time.Time, stopping func() bool) *Server {
	s := &Server{fleet: f, tables: map[string]*mirror.Table{}, coordinator: c, now: now, stopping: stopping, packer: newPacker(),
		grpc: grpc.NewServer(grpc.MaxRecvMsgSize(maxMessage), grpc.MaxSendMsgSize(maxMessage),
			grpc.InitialWindowSize(windowBytes), grpc.InitialConnWindowSize(windowBytes),
			grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes), grpc.SharedWriteBuffer(true), grpc.NumStreamWorkers(streamWorkers))}
	for _, t := range tables {
		s.tables[t.Name()] = t
	}
	fleetpb.RegisterFleetServer(s.grpc, s)
	return s
}

// Serve accepts calls until Stop.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// Stop closes all connections.
func (s *Server) Stop() { s.grpc.Stop() }

// Exchange implements fleetpb.FleetServer.
func (s *Server) Exchange(_ context.Context, m *fleetpb.Status) (*fleetpb.Status, error) {
	return statusToPB(s.now(), s.fleet.HandleExchange(statusFromPB(s.now(), m))), nil
}

// Announce implements fleetpb.FleetServer.
func (s *Server) Announce(_ context.Context, r *fleetpb.Reading) (*fleetpb.AnnounceReply, error) {
	s.fleet.HandleAnnounce(fleet.Prefill{From: r.GetFrom(), Endpoint: core.InstanceID(r.GetEndpoint()), Tokens: int(r.GetTokens()),
		Remaining: time.Duration(r.GetLeftMs()) * time.Millisecond})
	return &fleetpb.AnnounceReply{}, nil
}

// Pull implements fleetpb.FleetServer.
func (s *Server) Pull(_ context.Context, r *fleetpb.PullRequest) (*fleetpb.PullReply, error) {
	t := s.tables[r.GetTable()]
	if t == nil {
		return nil, status.Errorf(codes.NotFound, "table %q is not mirrored", r.GetTable())
	}
	return s.packer.batch(s.now(), t.Name(), t.ChangesSince(r.GetAfter())), nil
}

// Submit implements fleetpb.FleetServer.
func (s *Server) Submit(m *fleetpb.Task, replies fleetpb.Fleet_SubmitServer) error {
	if s.stopping() {
		return replies.Send(&fleetpb.TaskReply{Failure: failureToPB(&core.Error{Kind: core.Unavailable, Ran: core.RanNot, Detail: stagework.LostCoordinator})})
	}
	group, t := taskFromPB(s.now(), m)
	if t.Pieces < 1 || t.Pieces > maxPieces {
		return status.Errorf(codes.InvalidArgument, "a task of %d pieces", t.Pieces)
	}
	var sending sync.Mutex
	t.OnStart = func() {
		// The coordinator calls this under its lock, which must not wait for a peer.
		sending.Lock()
		go func() {
			defer sending.Unlock()
			// A peer that does not get this gets no results either and counts the
			// task as lost.
			_ = replies.Send(&fleetpb.TaskReply{Started: true})
		}()
	}
	results, err := s.coordinator.Submit(replies.Context(), group, t)
	reply := &fleetpb.TaskReply{Results: resultsToPB(results)}
	if err != nil {
		reply = &fleetpb.TaskReply{Failure: failureToPB(core.AsError(err, "stage"))}
	}
	sending.Lock()
	defer sending.Unlock()
	return replies.Send(reply)
}

// maxPieces bounds the pieces of one stage of one request.
const maxPieces = 1024

// Release implements fleetpb.FleetServer.
func (s *Server) Release(_ context.Context, r *fleetpb.ReleaseRequest) (*fleetpb.ReleaseReply, error) {
	s.coordinator.Release(core.PoolID(r.GetPool()), resultsFromPB(r.GetResults()))
	return &fleetpb.ReleaseReply{}, nil
}
