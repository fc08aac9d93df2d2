package fleet

import "time"

const (
	// joinTimeout is how long after its start a daemon counts as joined at the latest.
	joinTimeout = time.Second
)

// Joined returns a channel that is closed when the daemon has joined the fleet: it has
// read the platform's list of daemons and has completed an exchange with each peer or
// failed to, or joinTimeout has passed. Before that it does not know which daemon
// coordinates which group. A daemon without peers counts as joined.
func (f *Fleet) Joined() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.peers) == 0 {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return f.joined
}

// checkJoined marks the daemon as joined when all peers were contacted. It triggers
// exchanges with peers that were not tried yet, without waiting for the next interval.
// The caller holds mu.
func (f *Fleet) checkJoined() {
	if f.hasJoined || !f.listRead {
		return
	}
	missing, untried := false, false
	for _, p := range f.peers {
		missing = missing || !p.contacted
		untried = untried || !p.contacted && !p.inExchange
	}
	if !missing {
		f.setJoined()
	}
	if untried && len(f.peers) <= mediumFleet {
		f.wakeUp()
	}
}

// wakeUp starts the due exchanges without waiting for the next interval.
func (f *Fleet) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// setJoined marks the daemon as joined. The caller holds mu.
func (f *Fleet) setJoined() {
	if !f.hasJoined {
		f.hasJoined = true
		close(f.joined)
	}
}
