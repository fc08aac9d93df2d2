package edge

import (
	"errors"
	"net"
	"os"

	"eelgrassgrade/internal/app/forward"
	"eelgrassgrade/internal/decide/clients"
)

// closeReason says why a caller's connection was closed.
type closeReason string

const (
	closedByCaller closeReason = "caller"
	// closedIdle connections carried no request.
	closedIdle closeReason = "idle"
	// closedAnswered connections were closed after an answer that announced it.
	closedAnswered closeReason = "answered"
	// closedOverdue connections exceeded a limit of callers' connections.
	closedOverdue closeReason = "overdue"
	// closedByStop connections were in use when the stopping daemon ended its requests.
	closedByStop closeReason = "stop"
	// closedRefused connections carried a head that was refused.
	closedRefused closeReason = "refused"
	// closedBroken connections carried an answer that could not be completed.
	closedBroken closeReason = "abort"
)

// connClose describes a connection that was closed.
type connClose struct {
	reason closeReason
	client string
	// head is set if the connection had carried a head, or a part of one, that was not
	// passed on.
	head bool
	// unanswered is the request whose answer is not complete; nil if there is none.
	unanswered *forward.InProgress
}

// connUse is what a connection remembers of its use, to tell why it was closed.
type connUse struct {
	// request is the request that the connection carries; nil if it is idle.
	request *forward.InProgress
	// callerGone is set once a read or a write has failed because the caller closed the
	// connection, writeFailed once any write has failed.
	callerGone, writeFailed bool
}

// Serves implements platform.Connection.
func (c *clientConn) Serves(r *forward.InProgress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use.request = r
}

// noteRead records the error of a read, if any.
func (c *clientConn) noteRead(err error) {
	if err == nil || isOwnEnd(err) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use.callerGone = c.use.callerGone || !c.closed
}

// noteWrite records the error of a write, if any.
func (c *clientConn) noteWrite(err error) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use.writeFailed = true
	c.use.callerGone = c.use.callerGone || !c.closed && !isOwnEnd(err)
}

// isOwnEnd reports whether a connection fails with err because this process has closed it or
// has set a deadline.
func isOwnEnd(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded)
}

// describeClose says why the connection is closed now. The caller holds mu.
func (c *clientConn) describeClose() connClose {
	r := c.use.request
	d := connClose{client: c.state.Client, head: r == nil && c.state.Phase != clients.Idle}
	if r != nil && (c.use.writeFailed || r.Phase() != forward.PhaseDone) {
		d.unanswered = r
	}
	unfinished := d.head || d.unanswered != nil
	switch {
	case c.use.callerGone:
		d.reason = closedByCaller
	case r == nil && !d.head:
		d.reason = closedIdle
	case !unfinished:
		d.reason = closedAnswered
	case c.overdue:
		d.reason = closedOverdue
	case c.set.cutting.Load():
		d.reason = closedByStop
	case d.head:
		d.reason = closedRefused
	default:
		d.reason = closedBroken
	}
	return d
}

// reportClose reports a connection that was closed, if the set has a hook for that.
func (s *clientConns) reportClose(d connClose) {
	if s.closed != nil {
		s.closed(d)
	}
}
