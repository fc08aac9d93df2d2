// Package fleetrpc implements the calls between daemons over gRPC: exchanges of status,
// announcements, copies of tables, stage tasks and permits.
package fleetrpc

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"eelgrassgrade/internal/adapter/fleetrpc/fleetpb"
	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/app/mirror"
	"eelgrassgrade/internal/app/permits"
	"eelgrassgrade/internal/app/stagework"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
)

const (
	// maxMessageBytes is large enough for a configuration with thousands of routes.
	maxMessageBytes = 16 << 20
	// dialTimeout and maxBackoff are short, so that a daemon that comes back is used again
	// within one or two exchanges.
	dialTimeout = 500 * time.Millisecond
	baseBackoff = 50 * time.Millisecond
	maxBackoff  = 500 * time.Millisecond
	// flowWindowBytes is the flow control window. It covers the bandwidth-delay product of
	// the fastest links over the longest distances within a region. A fixed window avoids
	// the pings by which gRPC estimates one, which cost a packet each way per message.
	flowWindowBytes = 256 << 10
	// connBufferBytes is the buffer size of a connection and is large enough for an
	// exchange. A daemon may have hundreds of connections, and gRPC's default buffers take
	// 64 KB for each.
	connBufferBytes = 4 << 10
	// lastAnswersTime is a round trip between data centres. A peer that does not respond
	// must not delay the end of the process.
	lastAnswersTime = 50 * time.Millisecond
	// streamWorkers is the number of goroutines that serve calls, so that not each call
	// needs a new one.
	streamWorkers = 4
)

var (
	_ fleet.Transport        = (*Client)(nil)
	_ stagework.Coordinators = (*Client)(nil)
	_ permits.Grantors       = (*Client)(nil)
)

// Client calls other daemons.
type Client struct {
	now func() time.Time
	// OnCut is called with each connection that is closed while calls are in progress on it,
	// which fail. It may be nil and must be set before the first call. It must not block.
	OnCut func(address string, calls int, reason CutReason)

	mu sync.Mutex
	// conns holds the connection for new calls to each daemon, by address, and replaced the
	// earlier ones that have calls in progress.
	conns    map[string]*conn
	replaced map[string][]*conn
}

// NewClient returns a client without connections.
func NewClient(now func() time.Time) *Client {
	return &Client{now: now, conns: map[string]*conn{}, replaced: map[string][]*conn{}}
}

// Exchange implements fleet.Transport.
func (c *Client) Exchange(ctx context.Context, address string, s *fleet.Status) (*fleet.Status, error) {
	p, err := c.fleetClient(address)
	if err != nil {
		return nil, err
	}
	defer p.done()
	r, err := p.Exchange(ctx, statusToPB(c.now(), s))
	if err != nil {
		return nil, err
	}
	return statusFromPB(c.now(), r), nil
}

// Announce implements fleet.Transport.
func (c *Client) Announce(ctx context.Context, address string, r fleet.Prefill) error {
	p, err := c.fleetClient(address)
	if err != nil {
		return err
	}
	defer p.done()
	_, err = p.Announce(ctx, &fleetpb.Reading{From: r.From, Endpoint: string(r.Endpoint), Tokens: int64(r.Tokens), LeftMs: uint32(max(r.Remaining.Milliseconds(), 0))})
	return err
}

// Pull returns the rows of another daemon's copy of a table that changed after the given
// position.
func (c *Client) Pull(ctx context.Context, address, table string, after core.CopyPosition) (mirror.Batch, error) {
	p, err := c.fleetClient(address)
	if err != nil {
		return mirror.Batch{}, err
	}
	defer p.done()
	r, err := p.Pull(ctx, &fleetpb.PullRequest{Table: table, After: after.Version, Restored: restoredToPB(after)})
	if err != nil {
		return mirror.Batch{}, err
	}
	return batchFromPB(c.now(), r)
}

// Submit implements stagework.Coordinators.
func (c *Client) Submit(ctx context.Context, address string, group int, t *stagework.Task) ([]stagework.Result, error) {
	p, err := c.fleetClient(address)
	if err == nil {
		defer p.done()
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
	p, err := c.fleetClient(address)
	if err != nil {
		return err
	}
	defer p.done()
	_, err = p.Release(ctx, &fleetpb.ReleaseRequest{Pool: string(pool), Results: resultsToPB(results)})
	return err
}

// RequestPermit implements permits.Grantors.
func (c *Client) RequestPermit(ctx context.Context, address string, r *permits.Request) (*permits.Reply, error) {
	p, err := c.fleetClient(address)
	if err != nil {
		return nil, err
	}
	defer p.done()
	reply, err := p.Permit(ctx, &fleetpb.PermitRequest{From: string(r.From), Limit: limitToPB(c.now(), r.Limit), Unpermitted: int32(r.Unpermitted), ReportOnly: r.ReportOnly, Rank: int32(r.Rank)})
	if err != nil {
		return nil, err
	}
	out := &permits.Reply{Granted: reply.GetGranted(), Wait: time.Duration(reply.GetWaitUs()) * time.Microsecond}
	if reply.Limit != nil {
		l := limitFromPB(c.now(), reply.Limit)
		out.Limit = &l
	}
	return out, nil
}

// Permits answers requests for permits to send to endpoints that name a limit.
type Permits interface {
	HandlePermit(r *permits.Request) *permits.Reply
}

// Server serves the calls of other daemons.
type Server struct {
	fleetpb.UnimplementedFleetServer
	fleet       *fleet.Fleet
	tables      map[string]*mirror.Table
	coordinator *stagework.Coordinator
	permits     Permits
	now         func() time.Time
	compressor  *rowCompressor
	grpc        *grpc.Server
	// tasks holds the stage tasks of other daemons that wait or run here.
	tasks taskSet
}

// NewServer returns a server.
func NewServer(f *fleet.Fleet, tables []*mirror.Table, c *stagework.Coordinator, permits Permits, now func() time.Time) *Server {
	s := &Server{fleet: f, tables: map[string]*mirror.Table{}, coordinator: c, permits: permits, now: now, compressor: newRowCompressor(),
		grpc: grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes),
			grpc.InitialWindowSize(flowWindowBytes), grpc.InitialConnWindowSize(flowWindowBytes),
			grpc.ReadBufferSize(connBufferBytes), grpc.WriteBufferSize(connBufferBytes), grpc.SharedWriteBuffer(true), grpc.NumStreamWorkers(streamWorkers))}
	for _, t := range tables {
		s.tables[t.Name()] = t
	}
	fleetpb.RegisterFleetServer(s.grpc, s)
	healthpb.RegisterHealthServer(s.grpc, health.NewServer())
	return s
}

// Serve serves calls on l until Stop is called.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// Stop stops the server and closes all its connections. Answers that were made are still
// sent, for lastAnswersTime at most.
func (s *Server) Stop() {
	t := time.AfterFunc(lastAnswersTime, s.grpc.Stop)
	defer t.Stop()
	s.grpc.GracefulStop()
}

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
		return nil, status.Errorf(codes.NotFound, "table %q is not mirrored by this daemon", r.GetTable())
	}
	return s.compressor.batchToPB(s.now(), t.Name(), t.ChangesSince(positionFromPB(r.GetRestored(), r.GetAfter()))), nil
}

// Submit implements fleetpb.FleetServer.
func (s *Server) Submit(m *fleetpb.Task, replies fleetpb.Fleet_SubmitServer) error {
	done, ok := s.coordinator.AdmitPeerTask()
	if !ok {
		return replies.Send(&fleetpb.TaskReply{Failure: failureToPB(&core.Error{Kind: core.Unavailable, Ran: core.RanNot, Detail: stagework.LostCoordinator})})
	}
	defer done()
	group, t := taskFromPB(s.now(), m)
	t.FromPeer = true
	if t.Pieces < 1 || t.Pieces > catalog.MaxPieces {
		return status.Errorf(codes.InvalidArgument, "the task has %d pieces, want 1 to %d", t.Pieces, catalog.MaxPieces)
	}
	var sendMu sync.Mutex
	t.OnStart = func() {
		// The coordinator calls this while it holds a lock, so sending must not block here.
		sendMu.Lock()
		go func() {
			defer sendMu.Unlock()
			// An error can be ignored: a peer that cannot receive this message receives no
			// results either and considers the coordinator lost.
			_ = replies.Send(&fleetpb.TaskReply{Started: true})
		}()
	}
	defer s.tasks.add(t)()
	results, err := s.coordinator.Submit(replies.Context(), group, t)
	reply := &fleetpb.TaskReply{Results: resultsToPB(results)}
	if err != nil {
		reply = &fleetpb.TaskReply{Failure: failureToPB(core.AsError(err, "stage"))}
	}
	sendMu.Lock()
	defer sendMu.Unlock()
	return replies.Send(reply)
}

// Release implements fleetpb.FleetServer.
func (s *Server) Release(_ context.Context, r *fleetpb.ReleaseRequest) (*fleetpb.ReleaseReply, error) {
	s.coordinator.Release(core.PoolID(r.GetPool()), resultsFromPB(r.GetResults()))
	return &fleetpb.ReleaseReply{}, nil
}

// Permit implements fleetpb.FleetServer.
func (s *Server) Permit(_ context.Context, r *fleetpb.PermitRequest) (*fleetpb.PermitReply, error) {
	reply := s.permits.HandlePermit(&permits.Request{From: core.InstanceID(r.GetFrom()), Limit: limitFromPB(s.now(), r.GetLimit()),
		Unpermitted: int(max(r.GetUnpermitted(), 0)), ReportOnly: r.GetReportOnly(), Rank: int(r.GetRank())})
	out := &fleetpb.PermitReply{Granted: reply.Granted, WaitUs: reply.Wait.Microseconds()}
	if reply.Limit != nil {
		out.Limit = limitToPB(s.now(), *reply.Limit)
	}
	return out, nil
}
