package peer

import (
	"time"

	pb "eelgrassgrade/internal/adapter/peer/peerpb"
	"eelgrassgrade/internal/app/control"
	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/limits"
	"eelgrassgrade/internal/decide/membership"
	"eelgrassgrade/internal/decide/quarantine"
)

// ageToWire returns d in microseconds, or -1 for control.NoAge.
func ageToWire(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Microseconds()
}

func ageFromWire(us int64) time.Duration {
	if us < 0 {
		return control.NoAge
	}
	return time.Duration(us) * time.Microsecond
}

func leavesToWire(in []membership.Leave) []*pb.Leave {
	out := make([]*pb.Leave, len(in))
	for i, l := range in {
		out[i] = &pb.Leave{Instance: string(l.Instance), AbsentMs: l.AbsentFor.Milliseconds()}
	}
	return out
}

func leavesFromWire(in []*pb.Leave) []membership.Leave {
	out := make([]membership.Leave, 0, len(in))
	for _, l := range in {
		absent := max(0, time.Duration(l.GetAbsentMs())*time.Millisecond)
		out = append(out, membership.Leave{Instance: core.InstanceID(l.GetInstance()), AbsentFor: absent})
	}
	return out
}

func suspectsToWire(in []quarantine.Entry) []*pb.Suspect {
	out := make([]*pb.Suspect, len(in))
	for i, e := range in {
		out[i] = &pb.Suspect{Fingerprint: e.Fingerprint[:], Pool: string(e.Pool), Crashes: uint32(e.Crashes), RemainingMs: e.Remaining.Milliseconds(), Cleared: e.Cleared}
	}
	return out
}

// suspectsFromWire drops entries whose fingerprint has the wrong length.
func suspectsFromWire(in []*pb.Suspect) []quarantine.Entry {
	out := make([]quarantine.Entry, 0, len(in))
	for _, s := range in {
		e := quarantine.Entry{Pool: core.PoolID(s.GetPool()), Crashes: int(s.GetCrashes()), Remaining: time.Duration(s.GetRemainingMs()) * time.Millisecond, Cleared: s.GetCleared()}
		if copy(e.Fingerprint[:], s.GetFingerprint()) == len(e.Fingerprint) {
			out = append(out, e)
		}
	}
	return out
}

func instancesToWire(in []core.Instance) []*pb.Instance {
	out := make([]*pb.Instance, len(in))
	for i, n := range in {
		out[i] = &pb.Instance{Id: string(n.ID), Role: string(n.Role), DataCenter: string(n.DataCenter), State: string(n.State), Address: n.Address, Pool: string(n.Pool)}
	}
	return out
}

func instancesFromWire(in []*pb.Instance) []core.Instance {
	out := make([]core.Instance, len(in))
	for i, n := range in {
		out[i] = core.Instance{ID: core.InstanceID(n.GetId()), Role: core.InstanceRole(n.GetRole()), DataCenter: core.DataCenterID(n.GetDataCenter()),
			State: core.InstanceState(n.GetState()), Address: n.GetAddress(), Pool: core.PoolID(n.GetPool())}
	}
	return out
}

func configToWire(c *control.ConfigBody) *pb.Config {
	if c == nil {
		return nil
	}
	return &pb.Config{Version: uint64(c.Version), Sha256: c.SHA256, Source: c.Source}
}

func configFromWire(c *pb.Config) *control.ConfigBody {
	if c == nil {
		return nil
	}
	return &control.ConfigBody{Version: config.Version(c.GetVersion()), SHA256: c.GetSha256(), Source: c.GetSource()}
}

func exchangeRequestToWire(r control.ExchangeRequest) *pb.ExchangeRequest {
	return &pb.ExchangeRequest{Instance: string(r.Instance), ConfigVersion: uint64(r.Version), LeavingHash: r.LeavingHash,
		QuarantineHash: r.SuspectHash, ViewAgeUs: ageToWire(r.ViewAge), WantInstances: r.WantInstances}
}

func exchangeRequestFromWire(r *pb.ExchangeRequest) control.ExchangeRequest {
	return control.ExchangeRequest{Instance: core.InstanceID(r.GetInstance()), Version: config.Version(r.GetConfigVersion()), LeavingHash: r.GetLeavingHash(),
		SuspectHash: r.GetQuarantineHash(), ViewAge: ageFromWire(r.GetViewAgeUs()), WantInstances: r.GetWantInstances()}
}

func exchangeReplyToWire(r control.ExchangeReply) *pb.ExchangeReply {
	return &pb.ExchangeReply{Instance: string(r.Instance), ConfigVersion: uint64(r.Version), LeavingHash: r.LeavingHash, QuarantineHash: r.SuspectHash,
		ViewAgeUs: ageToWire(r.ViewAge), Leaving: leavesToWire(r.Leaving), Suspects: suspectsToWire(r.Suspects),
		ListAgeUs: ageToWire(r.ListAge), Instances: instancesToWire(r.Instances)}
}

func exchangeReplyFromWire(r *pb.ExchangeReply) control.ExchangeReply {
	return control.ExchangeReply{Instance: core.InstanceID(r.GetInstance()), Version: config.Version(r.GetConfigVersion()), LeavingHash: r.GetLeavingHash(),
		SuspectHash: r.GetQuarantineHash(), ViewAge: ageFromWire(r.GetViewAgeUs()), Leaving: leavesFromWire(r.GetLeaving()), Suspects: suspectsFromWire(r.GetSuspects()),
		ListAge: ageFromWire(r.GetListAgeUs()), Instances: instancesFromWire(r.GetInstances())}
}

func eventsToWire(e control.Events) *pb.PushRequest {
	return &pb.PushRequest{Instance: string(e.Instance), Address: e.Address, Config: configToWire(e.Config), Leaving: leavesToWire(e.Leaving),
		Suspects: suspectsToWire(e.Suspects), HopsLeft: uint32(max(0, e.HopsLeft)), Stopping: e.Stopping}
}

func eventsFromWire(e *pb.PushRequest) control.Events {
	return control.Events{Instance: core.InstanceID(e.GetInstance()), Address: e.GetAddress(), Config: configFromWire(e.GetConfig()), Leaving: leavesFromWire(e.GetLeaving()),
		Suspects: suspectsFromWire(e.GetSuspects()), HopsLeft: int(e.GetHopsLeft()), Stopping: e.GetStopping()}
}

func accountUsageToWire(in []limits.AccountUsage) []*pb.AccountUsage {
	out := make([]*pb.AccountUsage, len(in))
	for i, u := range in {
		w := &pb.AccountUsage{Account: string(u.Account), RequestsPerS: u.RequestsPerS, TokensPerS: u.TokensPerS, InProgress: uint32(max(0, u.InProgress))}
		if len(u.Backlog) > 0 {
			w.Backlog = make(map[string]float64, len(u.Backlog))
			for p, weight := range u.Backlog {
				w.Backlog[string(p)] = weight
			}
		}
		out[i] = w
	}
	return out
}

func accountUsageFromWire(in []*pb.AccountUsage) []limits.AccountUsage {
	out := make([]limits.AccountUsage, len(in))
	for i, w := range in {
		u := limits.AccountUsage{Account: core.AccountID(w.GetAccount()), RequestsPerS: w.GetRequestsPerS(), TokensPerS: w.GetTokensPerS(), InProgress: int(w.GetInProgress())}
		if len(w.GetBacklog()) > 0 {
			u.Backlog = make(map[core.PoolID]float64, len(w.GetBacklog()))
			for p, weight := range w.GetBacklog() {
				u.Backlog[core.PoolID(p)] = weight
			}
		}
		out[i] = u
	}
	return out
}

func statusToWire(s control.PeerStatus) *pb.StatusReply {
	out := &pb.StatusReply{Instance: string(s.Instance), DataCenter: string(s.DataCenter), ConfigVersion: uint64(s.Version), Ready: s.Ready,
		Quarantined: uint32(max(0, s.Quarantined)), ViewAgeUs: ageToWire(s.ViewAge), RequestsInProgress: uint32(max(0, s.RequestsInProgress))}
	for _, id := range s.Leaving {
		out.Leaving = append(out.Leaving, string(id))
	}
	return out
}

func statusFromWire(s *pb.StatusReply) control.PeerStatus {
	out := control.PeerStatus{Instance: core.InstanceID(s.GetInstance()), DataCenter: core.DataCenterID(s.GetDataCenter()), Version: config.Version(s.GetConfigVersion()),
		Ready: s.GetReady(), Quarantined: int(s.GetQuarantined()), ViewAge: ageFromWire(s.GetViewAgeUs()), RequestsInProgress: int(s.GetRequestsInProgress())}
	for _, id := range s.GetLeaving() {
		out.Leaving = append(out.Leaving, core.InstanceID(id))
	}
	return out
}
