package control

import (
	"context"
	"slices"
	"time"

	"eelgrassgrade/internal/core"
)

const (
	statusTimeout          = time.Second
	maxParallelStatusCalls = 32
)

// HandleStatus implements Handler.
func (c *Control) HandleStatus() PeerStatus {
	st := PeerStatus{}
	if c.opts.Status != nil {
		st = c.opts.Status()
	}
	now := time.Now()
	st.Instance, st.DataCenter, st.Version, st.ViewAge = c.opts.Self, c.opts.DataCenter, c.configVersion(), NoAge
	if v := c.View(); v != nil {
		st.ViewAge = v.Age(now)
		for id := range v.Leaving {
			st.Leaving = append(st.Leaving, id)
		}
		slices.Sort(st.Leaving)
	}
	if c.opts.Suspects != nil {
		st.Quarantined = len(c.opts.Suspects.Entries())
	}
	return st
}

// Statuses returns the status of this daemon, followed by those of all known
// daemons. For a daemon that does not respond within 1 s, Err holds the reason.
func (c *Control) Statuses(ctx context.Context) []PeerStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	others := gather(c.peerList(), maxParallelStatusCalls, func(p core.Instance) PeerStatus {
		st, err := c.opts.Peers.Status(ctx, p.Address)
		if err != nil {
			return PeerStatus{Instance: p.ID, DataCenter: p.DataCenter, ViewAge: NoAge, Err: core.AsError(err, "status").Detail}
		}
		return st
	})
	return append([]PeerStatus{c.HandleStatus()}, others...)
}
