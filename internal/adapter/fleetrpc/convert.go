package fleetrpc

import (
	"math"
	"time"

	"eelgrassgrade/internal/adapter/fleetrpc/fleetpb"
	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/app/mirror"
	"eelgrassgrade/internal/app/stagework"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/quarantine"
	"eelgrassgrade/internal/decide/ratelimit"
)

// The functions below convert between the types of the application and the messages.
// Points in time are sent as durations relative to now, since the clocks of daemons
// differ.

func memberToPB(m fleet.Member) *fleetpb.Member {
	return &fleetpb.Member{Id: string(m.ID), Address: m.Address, DataCenter: string(m.DataCenter), Millicores: uint32(m.Millicores), GrantsPermits: m.GrantsPermits, CountsRestorations: m.CountsRestorations}
}

func memberFromPB(m *fleetpb.Member) fleet.Member {
	return fleet.Member{ID: core.InstanceID(m.GetId()), Address: m.GetAddress(), DataCenter: core.DataCenterID(m.GetDataCenter()), Millicores: int(m.GetMillicores()), GrantsPermits: m.GetGrantsPermits(), CountsRestorations: m.GetCountsRestorations()}
}

func statusToPB(now time.Time, s *fleet.Status) *fleetpb.Status {
	out := &fleetpb.Status{Member: memberToPB(s.Member), Incarnation: s.Incarnation, Leaving: s.Leaving, Daemons: uint32(s.Daemons)}
	positionsToPB(out, s.Tables)
	for _, l := range s.Loads {
		out.Loads = append(out.Loads, &fleetpb.EndpointLoad{Endpoint: string(l.Endpoint), Running: int32(l.Running),
			PrefillTokens: int64(l.PrefillTokens), Failing: l.Failing})
	}
	for _, w := range s.Waits {
		p := &fleetpb.GroupWait{Pool: string(w.Pool), Group: int32(w.Group)}
		for _, d := range w.Wait {
			p.WaitMs = append(p.WaitMs, uint32(d.Milliseconds()))
		}
		out.Waits = append(out.Waits, p)
	}
	for _, x := range s.Suspects {
		out.Suspects = append(out.Suspects, suspectToPB(now, x))
	}
	for _, l := range s.Limits {
		out.Limits = append(out.Limits, limitToPB(now, l))
	}
	for _, p := range s.Parts {
		out.Parts = append(out.Parts, partToPB(now, p))
	}
	for _, m := range s.Known {
		out.Known = append(out.Known, memberToPB(m))
	}
	if !s.StoreAnswered.IsZero() {
		ago := millisecondsAgo(now, s.StoreAnswered)
		out.StoreAnsweredMs = &ago
	}
	return out
}

func statusFromPB(now time.Time, s *fleetpb.Status) *fleet.Status {
	out := &fleet.Status{Member: memberFromPB(s.GetMember()), Incarnation: s.GetIncarnation(), Leaving: s.GetLeaving(), Tables: positionsFromPB(s), Daemons: int(s.GetDaemons())}
	for _, l := range s.GetLoads() {
		out.Loads = append(out.Loads, fleet.EndpointLoad{Endpoint: core.InstanceID(l.GetEndpoint()), Running: int(l.GetRunning()),
			PrefillTokens: int(l.GetPrefillTokens()), Failing: l.GetFailing()})
	}
	for _, w := range s.GetWaits() {
		p := fleet.GroupWait{StageGroup: fleet.StageGroup{Pool: core.PoolID(w.GetPool()), Group: int(w.GetGroup())}}
		for _, ms := range w.GetWaitMs() {
			p.Wait = append(p.Wait, time.Duration(ms)*time.Millisecond)
		}
		out.Waits = append(out.Waits, p)
	}
	for _, x := range s.GetSuspects() {
		out.Suspects = append(out.Suspects, suspectFromPB(now, x))
	}
	for _, l := range s.GetLimits() {
		out.Limits = append(out.Limits, limitFromPB(now, l))
	}
	for _, p := range s.GetParts() {
		out.Parts = append(out.Parts, partFromPB(now, p))
	}
	for _, m := range s.GetKnown() {
		out.Known = append(out.Known, memberFromPB(m))
	}
	if s.StoreAnsweredMs != nil {
		out.StoreAnswered = now.Add(-time.Duration(s.GetStoreAnsweredMs()) * time.Millisecond)
	}
	return out
}

// positionsToPB adds the positions of tables to a status. All tables mostly have followed
// the same restorations, which are sent once, since a status is sent several times a second
// to each peer.
func positionsToPB(out *fleetpb.Status, tables map[string]core.CopyPosition) {
	out.Tables = make(map[string]int64, len(tables))
	var common core.CopyPosition
	for table, p := range tables {
		out.Tables[table] = p.Version
		p.Version = 0
		switch {
		case out.Restored == nil:
			common, out.Restored = p, restoredToPB(p)
		case p != common:
			if out.RestoredByTable == nil {
				out.RestoredByTable = map[string]*fleetpb.Restored{}
			}
			out.RestoredByTable[table] = restoredToPB(p)
		}
	}
}

func positionsFromPB(s *fleetpb.Status) map[string]core.CopyPosition {
	tables := make(map[string]core.CopyPosition, len(s.GetTables()))
	for table, version := range s.GetTables() {
		restored := s.GetRestored()
		if r, ok := s.GetRestoredByTable()[table]; ok {
			restored = r
		}
		tables[table] = positionFromPB(restored, version)
	}
	return tables
}

func restoredToPB(p core.CopyPosition) *fleetpb.Restored {
	return &fleetpb.Restored{Restorations: p.Restorations, PriorRestorations: p.Prior.Restorations, PriorVersion: p.Prior.Version}
}

// positionFromPB returns the position of a copy. A daemon that does not count restorations
// sends nil.
func positionFromPB(r *fleetpb.Restored, version int64) core.CopyPosition {
	if r == nil {
		return core.CopyPosition{StoreRevision: core.StoreRevision{Restorations: core.UnknownRestorations, Version: version}}
	}
	return core.CopyPosition{StoreRevision: core.StoreRevision{Restorations: r.GetRestorations(), Version: version},
		Prior: core.StoreRevision{Restorations: r.GetPriorRestorations(), Version: r.GetPriorVersion()}}
}

func millisecondsAgo(now, at time.Time) uint32 {
	return uint32(min(max(now.Sub(at).Milliseconds(), 0), math.MaxUint32))
}

func suspectToPB(now time.Time, r quarantine.ContentReport) *fleetpb.Suspect {
	out := &fleetpb.Suspect{Fingerprint: r.Fingerprint, Crashes: int32(r.OwnCrashes)}
	out.Endpoints, out.CrashedAgoMs = crashesToPB(now, r.Crashes)
	if !r.SoundAt.IsZero() {
		ago := millisecondsAgo(now, r.SoundAt)
		out.SoundAgoMs = &ago
	}
	return out
}

func suspectFromPB(now time.Time, s *fleetpb.Suspect) quarantine.ContentReport {
	out := quarantine.ContentReport{Fingerprint: s.GetFingerprint(), OwnCrashes: int(s.GetCrashes()), Crashes: crashesFromPB(now, s.GetEndpoints(), s.GetCrashedAgoMs())}
	if s.SoundAgoMs != nil {
		out.SoundAt = timeAgo(now, s.GetSoundAgoMs())
	}
	return out
}

func timeAgo(now time.Time, ms uint32) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

func crashesToPB(now time.Time, list []quarantine.PartCrash) (runs []uint64, agoMs []uint32) {
	for _, c := range list {
		runs = append(runs, uint64(c.Endpoint))
		agoMs = append(agoMs, millisecondsAgo(now, c.At))
	}
	return runs, agoMs
}

// crashesFromPB ignores endpoints without a time, and the other way round.
func crashesFromPB(now time.Time, runs []uint64, agoMs []uint32) (list []quarantine.PartCrash) {
	for i, run := range runs[:min(len(runs), len(agoMs))] {
		list = append(list, quarantine.PartCrash{Endpoint: quarantine.EndpointRun(run), At: timeAgo(now, agoMs[i])})
	}
	return list
}

func partToPB(now time.Time, p quarantine.PartReport) *fleetpb.PartReport {
	out := &fleetpb.PartReport{Part: uint64(p.Part), Depth: uint32(p.Depth)}
	out.Endpoints, out.CrashedAgoMs = crashesToPB(now, p.Crashes)
	if !p.SoundAt.IsZero() {
		ago := millisecondsAgo(now, p.SoundAt)
		out.SoundAgoMs = &ago
	}
	return out
}

func partFromPB(now time.Time, p *fleetpb.PartReport) quarantine.PartReport {
	out := quarantine.PartReport{Part: quarantine.Part(p.GetPart()), Depth: int(p.GetDepth()), Crashes: crashesFromPB(now, p.GetEndpoints(), p.GetCrashedAgoMs())}
	if p.SoundAgoMs != nil {
		out.SoundAt = timeAgo(now, p.GetSoundAgoMs())
	}
	return out
}

func limitToPB(now time.Time, l fleet.EndpointLimit) *fleetpb.EndpointLimit {
	out := &fleetpb.EndpointLimit{Endpoint: string(l.Endpoint), StartedMs: l.StartedMs,
		SentAgoMs: millisecondsSince(now, l.SentAt), ReceivedAgoMs: millisecondsSince(now, l.ReceivedAt), ColdForMs: l.ColdFor.Milliseconds()}
	if l.Limited() {
		out.PerSecond = &l.PerSecond
	}
	return out
}

// millisecondsSince returns the time since t, at most maxAge.
func millisecondsSince(now, t time.Time) int64 { return min(now.Sub(t), maxAge).Milliseconds() }

// limitFromPB returns a limit. A figure that no endpoint can have named counts as zero.
func limitFromPB(now time.Time, l *fleetpb.EndpointLimit) fleet.EndpointLimit {
	perSecond := ratelimit.Unlimited
	if l.PerSecond != nil {
		if perSecond = l.GetPerSecond(); !(perSecond >= 0) {
			perSecond = 0
		}
	}
	ago := func(ms int64) time.Time {
		return now.Add(-time.Duration(min(max(ms, 0), maxAge.Milliseconds())) * time.Millisecond)
	}
	return fleet.EndpointLimit{Endpoint: core.InstanceID(l.GetEndpoint()), StartedMs: l.GetStartedMs(),
		Observation: ratelimit.Observation{PerSecond: perSecond, SentAt: ago(l.GetSentAgoMs()), ReceivedAt: ago(l.GetReceivedAgoMs())},
		ColdFor:     time.Duration(min(max(l.GetColdForMs(), 0), maxAge.Milliseconds())) * time.Millisecond}
}

// maxAge bounds the ages that are read from messages.
const maxAge = 24 * time.Hour

func (c *rowCompressor) batchToPB(now time.Time, table string, b mirror.Batch) *fleetpb.PullReply {
	out := &fleetpb.PullReply{Version: b.Position.Version, Restored: restoredToPB(b.Position), Full: b.Full}
	if !b.OutageEnd.IsZero() {
		ago := max(now.Sub(b.OutageEnd), 0).Microseconds()
		out.OutageEndedUs = &ago
	}
	for _, r := range b.Rows {
		out.Rows = append(out.Rows, c.toPB(table, r))
	}
	for _, r := range b.Held {
		out.Held = append(out.Held, c.toPB(table, r))
	}
	return out
}

func batchFromPB(now time.Time, b *fleetpb.PullReply) (mirror.Batch, error) {
	out := mirror.Batch{Position: positionFromPB(b.GetRestored(), b.GetVersion()), Full: b.GetFull()}
	if b.OutageEndedUs != nil {
		out.OutageEnd = now.Add(-time.Duration(b.GetOutageEndedUs()) * time.Microsecond)
	}
	var err error
	if out.Rows, err = rowsFromPB(b.GetRows()); err != nil {
		return mirror.Batch{}, err
	}
	if out.Held, err = rowsFromPB(b.GetHeld()); err != nil {
		return mirror.Batch{}, err
	}
	return out, nil
}

func rowsFromPB(list []*fleetpb.Row) ([]mirror.Row, error) {
	var rows []mirror.Row
	for _, r := range list {
		row, err := rowFromPB(r)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func taskToPB(now time.Time, group int, t *stagework.Task) *fleetpb.Task {
	return &fleetpb.Task{Pool: string(t.Pool), Group: int32(group), Request: string(t.Request), Account: string(t.Account),
		Stage: int32(t.Stage), Pieces: int32(t.Pieces), Key: t.Key, Inputs: t.Inputs, Rank: int32(t.Rank),
		StartInUs: t.LatestStart.Sub(now).Microseconds(), DeadlineInUs: t.Deadline.Sub(now).Microseconds(),
		ResultBytes: int64(t.ResultBytes), Near: string(t.PreferredDataCenter), Repeat: t.MayHaveRun, Holds: t.LargeInputs,
		Taken: resultsToPB(t.ExclusiveInputs), TakenPool: string(t.ExclusiveInputsPool), Later: int32(t.LaterStages)}
}

// taskFromPB returns a task and the ID of its group.
func taskFromPB(now time.Time, t *fleetpb.Task) (group int, task *stagework.Task) {
	fromNow := func(us int64) time.Time { return now.Add(time.Duration(us) * time.Microsecond) }
	return int(t.GetGroup()), &stagework.Task{Pool: core.PoolID(t.GetPool()), Request: core.RequestID(t.GetRequest()),
		Account: core.AccountID(t.GetAccount()), Stage: int(t.GetStage()), Pieces: int(t.GetPieces()), Key: t.GetKey(),
		Inputs: t.GetInputs(), Rank: int(t.GetRank()), LatestStart: fromNow(t.GetStartInUs()), Deadline: fromNow(t.GetDeadlineInUs()),
		ResultBytes: int(t.GetResultBytes()), PreferredDataCenter: core.DataCenterID(t.GetNear()), MayHaveRun: t.GetRepeat(), LargeInputs: t.GetHolds(),
		ExclusiveInputs: resultsFromPB(t.GetTaken()), ExclusiveInputsPool: core.PoolID(t.GetTakenPool()), LaterStages: int(t.GetLater())}
}

func resultsToPB(list []stagework.Result) []*fleetpb.Result {
	var out []*fleetpb.Result
	for _, r := range list {
		out = append(out, &fleetpb.Result{Handle: r.Handle, Endpoint: string(r.Endpoint), DataCenter: string(r.DataCenter)})
	}
	return out
}

func resultsFromPB(list []*fleetpb.Result) []stagework.Result {
	var out []stagework.Result
	for _, r := range list {
		out = append(out, stagework.Result{Handle: r.GetHandle(), Endpoint: core.InstanceID(r.GetEndpoint()), DataCenter: core.DataCenterID(r.GetDataCenter())})
	}
	return out
}

func failureToPB(e *core.Error) *fleetpb.Failure {
	return &fleetpb.Failure{Kind: int32(e.Kind), Ran: int32(e.Ran), Peer: e.Peer, Detail: e.Detail, RetryAfterUs: e.RetryAfter.Microseconds()}
}

func failureFromPB(f *fleetpb.Failure) *core.Error {
	return &core.Error{Kind: core.Kind(f.GetKind()), Step: "stage", Ran: core.Ran(f.GetRan()), Peer: f.GetPeer(),
		Detail: f.GetDetail(), RetryAfter: time.Duration(f.GetRetryAfterUs()) * time.Microsecond}
}
