package forward

import (
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/placement"
	"eelgrassgrade/internal/decide/quarantine"
)

const (
	// settleTime is how long an answer must go on after its first data until its prompt
	// counts as sound. A part that crashes engines does so when they begin an answer. If
	// the time were longer, engines that fail one after the other for another cause would
	// end most answers before it.
	settleTime = 100 * time.Millisecond
	// quarantineStep is the step of errors of requests that are refused because endpoints
	// crashed with them.
	quarantineStep = "quarantine"
	// probeRetryAfter is the least time after which callers may return: a probe that is due
	// takes about as long.
	probeRetryAfter = time.Second
	// maxCheckedParts bounds the parts of one prompt that are checked.
	maxCheckedParts = 64
)

// sharedParts returns the parts of a prompt that other requests may have too: all but
// the last, which belongs to the request or its session.
func sharedParts(pool core.PoolID, prompt []placement.Part) []quarantine.Part {
	if len(prompt) < 2 {
		return nil
	}
	shared := prompt[:min(len(prompt)-1, maxCheckedParts)]
	parts := make([]quarantine.Part, len(shared))
	for i, p := range shared {
		parts[i] = quarantine.PartOf(pool, p.ID)
	}
	return parts
}

// checkQuarantine returns the error of a request that is refused on arrival because
// endpoints crashed with its content or on a part of its prompt, or nil.
func (f *Forwarder) checkQuarantine(rs *requestState) *core.Error {
	if n := f.contents.CrashCount(rs.fingerprint); n >= quarantine.ContentCrashes {
		f.events.RequestQuarantined(rs.req, n)
		return &core.Error{Kind: core.Unavailable, Step: quarantineStep, Ran: core.RanNot, RetryAfter: jitteredRetryAfter(maxRetryAfter), Detail: "refused for now because endpoints crashed while they ran this request"}
	}
	v := f.parts.Check(rs.parts, f.probesPart)
	if rs.probe = v.Probe; v.Probe {
		f.events.PartProbed(rs.req, rs.pool)
	}
	if v.Index < 0 {
		return nil
	}
	err := f.partRefusal(rs, v)
	err.RetryAfter = jitteredRetryAfter(err.RetryAfter)
	return err
}

// recordCrash records that an endpoint ended while it had a request, whose answer began at
// firstEventAt, zero if it had not, and failed at failedAt.
func (f *Forwarder) recordCrash(rs *requestState, e core.Endpoint, reachability Reachability, firstEventAt, failedAt time.Time) {
	f.contents.RecordCrash(rs.fingerprint, rs.endpointRun, failedAt)
	streaming := time.Duration(-1)
	if !firstEventAt.IsZero() {
		streaming = failedAt.Sub(firstEventAt)
	}
	f.events.EndpointCrashed(rs.req, rs.pool, e.ID, streaming)
	if reachability == Refusing && streaming < settleTime {
		f.parts.RecordCrash(rs.parts, rs.endpointRun, failedAt)
	}
}

// probesPart reports whether this daemon is the one that finds out whether a quarantined
// part is sound by now. All daemons that see the same members agree.
func (f *Forwarder) probesPart(p quarantine.Part) bool {
	ranked := f.fleet().Ranked(p.String(), "")
	return len(ranked) > 0 && ranked[0].ID == f.self
}

// partsError returns the error of a request that may not be sent now because of a part
// of its prompt, or nil. A request that is a probe may be sent once.
func (f *Forwarder) partsError(rs *requestState) *core.Error {
	if rs.probe {
		rs.probe = false
		return nil
	}
	v := f.checkParts(rs)
	if v.Index < 0 {
		return nil
	}
	return f.partRefusal(rs, v)
}

// hasQuarantinedPart reports whether partsError returns an error for a request that is no
// probe.
func (f *Forwarder) hasQuarantinedPart(rs *requestState) bool { return f.checkParts(rs).Index >= 0 }

func (f *Forwarder) checkParts(rs *requestState) quarantine.Verdict {
	return f.parts.Check(rs.parts, func(quarantine.Part) bool { return false })
}

// partRefusal returns the error of a request with a quarantined part.
func (f *Forwarder) partRefusal(rs *requestState, v quarantine.Verdict) *core.Error {
	f.events.PartRefused(rs.req, rs.pool, rs.req.Prompt[v.Index].ID, v)
	return &core.Error{Kind: core.Unavailable, Step: quarantineStep, Ran: core.RanNot, RetryAfter: max(v.Remaining, probeRetryAfter),
		Detail: "refused for now because endpoints crash when they answer on a part of its prompt"}
}

// PartReports returns, for the other daemons, what this daemon knows of parts that
// endpoints crashed on: all of it, and what changed lately.
func (f *Forwarder) PartReports() (all, recent []quarantine.PartReport) {
	for _, c := range f.parts.Changes() {
		f.events.PartChanged(c)
	}
	return f.parts.Report(true), f.parts.Report(false)
}

// MergeParts adds what another daemon reports.
func (f *Forwarder) MergeParts(reports []quarantine.PartReport) { f.parts.Merge(reports) }
