package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"eelgrassgrade/internal/adapter/telemetry"
	"eelgrassgrade/internal/decide/catalog"
	"eelgrassgrade/internal/decide/clients"
	"eelgrassgrade/internal/graceful"
	"eelgrassgrade/platform"
)

// defaultLimits apply where the configuration names none.
var defaultLimits = catalog.Limits{MaxHeaderBytes: 64 << 10, MaxBodyBytes: 8 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute}

const (
	// headMargin is added to the time of a head for its way through the network.
	headMargin = time.Second
	// maxHeaderBytes bounds the limit on heads that a configuration may set.
	maxHeaderBytes = 1 << 20
	// maxControlConns bounds the connections for readiness checks and metrics, of which a
	// platform needs a few.
	maxControlConns = 64
)

// sockets holds what the daemon's listeners have in common.
type sockets struct {
	daemon *Daemon
	clock  *runClock
	// callers holds the callers' connections, control those for readiness checks and
	// metrics.
	callers, control *clientConns
}

func (d *Daemon) newSockets() *sockets {
	s := &sockets{daemon: d, clock: newRunClock()}
	s.callers = &clientConns{max: d.settings.ClientLimits.Connections, clock: s.clock, limits: d.callerLimits, times: d.callerTimes, memory: d.memory,
		closed: d.reportClosed, conns: map[*clientConn]struct{}{}, refusals: map[string]int{}}
	s.control = &clientConns{max: maxControlConns, clock: s.clock, limits: func() catalog.Limits { return defaultLimits }, times: d.callerTimes,
		conns: map[*clientConn]struct{}{}, refusals: map[string]int{}}
	return s
}

// wrap returns a listener whose connections are bounded. The peers' listener stays as it
// is. callers is the server that serves the callers' connections.
func (s *sockets) wrap(address string, l net.Listener, callers *graceful.Server) net.Listener {
	switch address {
	case s.daemon.settings.Listen.Peers:
		return l
	case s.daemon.settings.Listen.Callers:
		return &clientListener{Listener: callers.Listener(l), set: s.callers}
	}
	return &clientListener{Listener: l, set: s.control}
}

// callerServer returns the server for callers. Its requests have the context base.
func (s *sockets) callerServer(base context.Context) *graceful.Server {
	d := s.daemon
	handler := &platform.CallerHandler{Service: d.forward, Limits: d.callerLimits, Memory: d.memory, Rank: d.forward.Rank, Refused: s.callers.refused, Unread: d.telemetry.RequestUnread, Progress: &d.progress, Now: time.Now}
	server := &http.Server{BaseContext: func(net.Listener) context.Context { return base }, Handler: handler, MaxHeaderBytes: maxHeaderBytes, ConnState: connStateHook,
		// Otherwise net/http answers OPTIONS * itself, with a success that no endpoint gave.
		DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			if c, ok := conn.(*clientConn); ok {
				return platform.WithConnection(ctx, c)
			}
			return ctx
		}}
	return graceful.New(server)
}

// callerLimits returns the limits of the configuration in force.
func (d *Daemon) callerLimits() catalog.Limits {
	if c := d.catalog.Load(); c != nil {
		return c.Limits.Or(defaultLimits)
	}
	return defaultLimits
}

// callerTimes returns the times that callers' connections may take.
func (d *Daemon) callerTimes() clients.Times {
	l, c := d.callerLimits(), &d.settings.ClientLimits
	return clients.Times{Head: l.HeaderTimeout + headMargin, Idle: l.IdleTimeout, Body: seconds(c.BodyS), BodyPause: seconds(c.BodyPauseS),
		Pressed: seconds(c.PressedPauseS), Write: seconds(c.UnreadAnswerS)}
}

// report reports what clients hold and which were refused.
func (s *sockets) report() {
	held, recorder := s.daemon.memory.Held(), s.daemon.telemetry
	recorder.ClientsHold(s.callers.count(), held)
	recorder.ClientsRefused(telemetry.CallersListener, s.callers.takeRefusals(), s.callers.count(), held)
	recorder.ClientsRefused("control", s.control.takeRefusals(), s.control.count(), held)
}

// run keeps the connections within their times until ctx ends.
func (s *sockets) run(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for i := 1; ; i++ {
		select {
		case <-ctx.Done():
			return
		case fired := <-t.C:
			now := time.Now()
			s.clock.advance(now)
			s.daemon.delays.observe(now, fired)
		}
		s.callers.sweep(s.daemon.memory.TakeRefused())
		s.control.sweep(false)
		if i%reportEvery == 0 {
			s.report()
		}
	}
}
