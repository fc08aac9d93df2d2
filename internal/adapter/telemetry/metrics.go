package telemetry

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"eelgrassgrade/internal/app/dispatch"
	"eelgrassgrade/internal/app/gateway"
	"eelgrassgrade/internal/core"
)

// maxAccounts bounds the number of client accounts that get their own metric
// series; all further accounts share the series with account="other".
const maxAccounts = 1300

var (
	_ gateway.Observer  = (*RequestRecorder)(nil)
	_ dispatch.Observer = (*RequestRecorder)(nil)
)

// RequestRecorder records finished requests in histograms and counters per client
// account and rank, and logs failed ones.
type RequestRecorder struct {
	set *metrics.Set
	log zerolog.Logger

	knownAccounts sync.Map
	accountCount  atomic.Int64
}

// NewRequestRecorder returns a recorder that registers its series in set.
func NewRequestRecorder(set *metrics.Set, log zerolog.Logger) *RequestRecorder {
	return &RequestRecorder{set: set, log: log}
}

// Observe implements gateway.Observer.
func (r *RequestRecorder) Observe(o gateway.Observation) {
	rank := o.Rank.String()
	if o.Account == "" {
		// A request refused before its account was known has no rank; the zero
		// rank would count it as urgent.
		rank = "none"
	}
	labels := fmt.Sprintf(`account=%q,rank=%q`, r.accountLabel(o.Account), rank)
	outcome, ran := "ok", core.RanYes
	if o.Err != nil {
		outcome, ran = o.Err.Kind.String(), o.Err.Ran
	}
	r.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_requests_total{%s,outcome=%q,ran=%q}`, labels, outcome, ran)).Inc()
	if o.Err == nil {
		r.set.GetOrCreateHistogram(`eelgrass_request_duration_seconds{` + labels + `}`).Update(o.Elapsed.Seconds())
		r.set.GetOrCreateCounter(`eelgrass_generated_tokens_total{` + labels + `}`).Add(o.Tokens)
	} else {
		r.set.GetOrCreateHistogram(`eelgrass_refusal_duration_seconds{` + labels + `}`).Update(o.Elapsed.Seconds())
		r.logFailure(o, rank)
	}
	if o.FirstToken > 0 {
		r.set.GetOrCreateHistogram(`eelgrass_first_token_seconds{` + labels + `}`).Update(o.FirstToken.Seconds())
	}
}

// ObserveCall implements dispatch.Observer. It records the duration of calls per
// stage and pool, the endpoint time used by each account and rank, and whether
// calls stayed in the daemon's data centre.
func (r *RequestRecorder) ObserveCall(o dispatch.CallObservation) {
	outcome, link := "ok", "local"
	if !o.OK {
		outcome = "failed"
	}
	if !o.Local {
		link = "remote"
	}
	r.set.GetOrCreateHistogram(fmt.Sprintf(`eelgrass_stage_duration_seconds{pool=%q,stage=%q,outcome=%q}`, o.Pool, o.Stage, outcome)).Update(o.Elapsed.Seconds())
	r.set.GetOrCreateFloatCounter(fmt.Sprintf(`eelgrass_endpoint_seconds_total{account=%q,rank=%q,pool=%q}`, r.accountLabel(o.Account), o.Rank, o.Pool)).Add(o.Elapsed.Seconds())
	r.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_stage_calls_total{pool=%q,link=%q}`, o.Pool, link)).Inc()
}

// accountLabel returns the account's metric label: its ID, or "other" once
// maxAccounts accounts have series.
func (r *RequestRecorder) accountLabel(id core.AccountID) string {
	if id == "" {
		return "unknown"
	}
	if _, ok := r.knownAccounts.Load(id); ok {
		return string(id)
	}
	if r.accountCount.Load() >= maxAccounts {
		return "other"
	}
	if _, loaded := r.knownAccounts.LoadOrStore(id, true); !loaded {
		r.accountCount.Add(1)
	}
	return string(id)
}

func (r *RequestRecorder) logFailure(o gateway.Observation, rank string) {
	ev := r.log.Info()
	if o.Err.Kind == core.Internal || o.Err.Ran == core.RanUnknown {
		ev = r.log.Warn()
	}
	ev.Str("request", string(o.Request)).Str("account", string(o.Account)).Str("rank", rank).Str("target", o.Target).
		Str("step", o.Err.Step).Str("peer", o.Err.Peer).Stringer("kind", o.Err.Kind).Stringer("ran", o.Err.Ran).
		Dur("elapsed_ms", o.Elapsed).Str("detail", o.Err.Detail).AnErr("cause", o.Err.Err).Msg("request_failed")
}
