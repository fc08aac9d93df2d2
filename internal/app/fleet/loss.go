package fleet

import "time"

// LossReason says how a peer was found to be lost.
type LossReason string

const (
	// LossSilent: no status has arrived for too long.
	LossSilent LossReason = "silence"
	// LossRestarted: a status of another incarnation has arrived.
	LossRestarted LossReason = "restart"
)

// Loss describes a peer that is no longer alive.
type Loss struct {
	Reason LossReason
	// Silent is the time since its last status.
	Silent time.Duration
	// Leaving is set if it had announced a planned stop, LeavingFor ago.
	Leaving    bool
	LeavingFor time.Duration
	// Failures is the number of exchanges that have failed since its last answer.
	Failures int
}

// Replacement describes a connection to a peer that new calls no longer use because of
// failed exchanges.
type Replacement struct {
	// Failures is the number of exchanges that have failed in a row, Took the duration of
	// the last one and Err its error.
	Failures int
	Took     time.Duration
	Err      error
	// Silent is the time since the peer's last status, 0 if none has arrived. Alive says
	// whether the peer counts as alive.
	Silent time.Duration
	Alive  bool
	// Calls is the number of calls in progress on the old connection, stage tasks for the
	// most part. They go on there.
	Calls int
}

// noteLeaving reports the first status of an incarnation that announces a planned stop. The
// caller holds mu.
func (f *Fleet) noteLeaving(p *peer) {
	if !p.status.Leaving {
		p.leavingSince = time.Time{}
		return
	}
	if p.leavingSince.IsZero() {
		p.leavingSince = p.receivedAt
		f.events.PeerLeaving(p.member)
	}
}

// lossOf describes the loss of a peer. The caller holds mu.
func (f *Fleet) lossOf(p *peer, reason LossReason) Loss {
	l := Loss{Reason: reason, Silent: f.silence(p), Failures: p.failures}
	if l.Leaving = !p.leavingSince.IsZero(); l.Leaving {
		l.LeavingFor = f.now().Sub(p.leavingSince)
	}
	return l
}

// silence returns the time since a peer's last status. The caller holds mu.
func (f *Fleet) silence(p *peer) time.Duration {
	if p.receivedAt.IsZero() {
		return 0
	}
	return f.now().Sub(p.receivedAt)
}
