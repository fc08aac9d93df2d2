package edge

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"eelgrassgrade/internal/app/holding"
	"eelgrassgrade/internal/decide/catalog"
	"eelgrassgrade/internal/decide/clients"
)

// The reasons for which clients are refused or connections are closed, as logs and metrics
// name them. Others come from clients.Times.
const (
	refusedHeadSize    = "head over the limit"
	refusedHeadRoom    = "no room for a head"
	refusedIdle        = "idle"
	refusedConnections = "too many connections"
)

const (
	// sweepInterval is the time between two checks of all connections.
	sweepInterval = 500 * time.Millisecond
	// reportEvery is the number of checks between two reports of refusals.
	reportEvery = 2
	// minSilence is the time without a byte after which a request that a client has begun
	// to send yields to another client's connection.
	minSilence = time.Second
	// One in yieldingShare connections may be closed for the next new ones, so that a flood
	// of connections does not make the daemon look through all of them for each one.
	yieldingShare = 64
	// When all connections are in use, one in refusalShare more may get a refusal.
	refusalShare = 8
)

// runClock counts the time for which the process has run. A pause counts as one
// interval: what clients sent during the pause has not been read yet.
type runClock struct {
	ran atomic.Int64
	// last is when advance was last called.
	last time.Time
}

// newRunClock returns a clock that starts above 0, which stands for no time.
func newRunClock() *runClock {
	r := &runClock{last: time.Now()}
	r.ran.Store(int64(sweepInterval))
	return r
}

func (r *runClock) now() time.Duration { return time.Duration(r.ran.Load()) }

// advance adds the time since the last call, which ought to be sweepInterval. Only one
// goroutine may call it.
func (r *runClock) advance(now time.Time) {
	r.ran.Add(int64(min(now.Sub(r.last), 2*sweepInterval)))
	r.last = now
}

// clientListener is a listener whose connections a clientConns bounds.
type clientListener struct {
	net.Listener
	set *clientConns
}

// clientConns holds the connections of some listeners' clients and keeps their number and
// their times within limits.
type clientConns struct {
	max    int
	clock  *runClock
	limits func() catalog.Limits
	times  func() clients.Times
	// memory is the account for heads; nil for none.
	memory *holding.Memory
	// cutting is set once a stopping daemon ends the requests that are still in progress.
	cutting atomic.Bool
	// closed is called with each connection that was closed. It may be nil.
	closed func(connClose)

	mu       sync.Mutex
	conns    map[*clientConn]struct{}
	refusals map[string]int
}

// Accept implements net.Listener. At the bound another connection is closed for the new
// one. If all others are in use, some new ones are accepted for a refusal, the rest closed.
func (l *clientListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.set.add(conn); c != nil {
			return c, nil
		}
		l.set.refused(refusedConnections)
		conn.Close()
	}
}

func (s *clientConns) add(conn net.Conn) *clientConn {
	now := s.clock.now()
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		host = conn.RemoteAddr().String()
	}
	full := s.count() >= s.max && !s.makeRoom(now)
	if full && s.count() >= s.max+s.max/refusalShare {
		return nil
	}
	c := &clientConn{Conn: conn, set: s, full: full, state: clients.Connection{Since: now, LastByte: now, Client: host}}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c
}

func (s *clientConns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *clientConns) remove(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// snapshot returns the connections and their states.
func (s *clientConns) snapshot() ([]*clientConn, []clients.Connection) {
	s.mu.Lock()
	conns := make([]*clientConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	states := make([]clients.Connection, len(conns))
	for i, c := range conns {
		c.mu.Lock()
		states[i] = c.state
		c.mu.Unlock()
	}
	return conns, states
}

// makeRoom closes some connections that are not in use, and reports whether there is room
// once they are closed.
func (s *clientConns) makeRoom(now time.Duration) bool {
	conns, states := s.snapshot()
	room := s.max - len(conns)
	for _, i := range clients.Yielding(states, 1+s.max/yieldingShare, now, minSilence) {
		before := states[i]
		if conns[i].end(func(state clients.Connection) bool { return state == before }) {
			s.refused(refusedConnections)
			room++
		}
	}
	return room > 0
}

// refused counts a refusal.
func (s *clientConns) refused(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals[reason]++
}

// takeRefusals returns the refusals since the last call.
func (s *clientConns) takeRefusals() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.refusals
	if len(taken) > 0 {
		s.refusals = map[string]int{}
	}
	return taken
}

// sweep ends the connections that exceed their times.
func (s *clientConns) sweep(pressed bool) {
	now, times := s.clock.now(), s.times()
	conns, states := s.snapshot()
	for i, state := range states {
		reason := times.Overdue(state, now, pressed)
		if reason == "" {
			continue
		}
		conns[i].end(func(state clients.Connection) bool { return times.Overdue(state, now, pressed) != "" })
		if reason != refusedIdle {
			s.refused(reason)
		}
	}
}

// connStateHook is the ConnState hook of a server on a clientConns listener.
func connStateHook(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*clientConn); ok {
		c.serverState(state)
	}
}
