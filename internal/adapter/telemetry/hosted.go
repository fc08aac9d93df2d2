package telemetry

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/app/forward"
	"eelgrassgrade/internal/app/mirror"
	"eelgrassgrade/internal/app/stagework"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/leveling"
	"eelgrassgrade/internal/decide/quarantine"
	"eelgrassgrade/internal/decide/repeats"
)

var (
	_ forward.Events   = (*HostedRecorder)(nil)
	_ stagework.Events = (*HostedRecorder)(nil)
	_ mirror.Events    = (*HostedRecorder)(nil)
)

// HostedRecorder logs and counts the decisions of a daemon that forwards
// requests. Above linesPerSecond, routine log lines about requests are sampled by
// request ID, so that the lines of one request are kept or dropped together.
// Refusals, failures, late answers, retries and state changes are always logged.
type HostedRecorder struct {
	log      zerolog.Logger
	set      *metrics.Set
	requests *RequestRecorder

	linesPerSecond int64
	currentSecond  atomic.Int64
	lineCount      atomic.Int64
	droppedLines   atomic.Int64
	// sampleShare is the share of requests whose lines are logged, in units of
	// 1/sampleScale.
	sampleShare atomic.Int64
	// unreadableLimits bounds the lines about limits that cannot be read.
	unreadableLimits *rate.Limiter
	// coldEndpoints and unreadableCold bound the lines about cold endpoints and about cold
	// times that cannot be read.
	coldEndpoints, unreadableCold *rate.Limiter
	clients                       *clientGauges
	stop                          *stopTally
	// connectionLines bounds the lines about connections to peers.
	connectionLines *rate.Limiter

	mu sync.Mutex
	// reported holds the conditions that were last logged as present.
	reported map[string]bool
}

// sampleScale is the value of sampleShare at which all lines are logged.
const sampleScale = 1024

// NewHostedRecorder returns a recorder that registers its metrics in set. When
// more than linesPerSecond lines about requests are due in a second, the lines of
// the next second are sampled.
func NewHostedRecorder(log zerolog.Logger, set *metrics.Set, linesPerSecond int) *HostedRecorder {
	h := &HostedRecorder{log: log, set: set, requests: NewRequestRecorder(set, log), linesPerSecond: int64(linesPerSecond), unreadableLimits: rate.NewLimiter(1, 1),
		coldEndpoints: rate.NewLimiter(20, 100), unreadableCold: rate.NewLimiter(1, 1), clients: newClientGauges(set), stop: newStopTally(linesPerSecond), connectionLines: rate.NewLimiter(5, 20), reported: map[string]bool{}}
	h.sampleShare.Store(sampleScale)
	return h
}

// sampled reports whether a line of the request is logged, and counts the line. In
// the first call of each second it sets sampleShare by the lines counted before.
func (h *HostedRecorder) sampled(id core.RequestID) bool {
	now := time.Now().Unix()
	if s := h.currentSecond.Load(); s != now && h.currentSecond.CompareAndSwap(s, now) {
		lines := h.lineCount.Swap(0)
		share := int64(sampleScale)
		if lines > h.linesPerSecond {
			share = max(sampleScale*h.linesPerSecond/lines, 1)
		}
		if dropped := h.droppedLines.Swap(0); dropped > 0 {
			h.log.Warn().Int64("lines", dropped).Int64("kept_1024ths", share).Msg("log_lines_dropped")
		}
		h.sampleShare.Store(share)
	}
	h.lineCount.Add(1)
	if int64(fnv32(string(id))%sampleScale) >= h.sampleShare.Load() {
		h.droppedLines.Add(1)
		return false
	}
	return true
}

func fnv32(s string) uint32 {
	h := uint32(2166136261)
	for i := range len(s) {
		h = (h ^ uint32(s[i])) * 16777619
	}
	return h
}

// RequestSent implements forward.Events.
func (h *HostedRecorder) RequestSent(r *forward.Request, pool core.PoolID, c forward.Choice, attempt int, remaining time.Duration) {
	h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_sends_total{pool=%q}`, pool)).Inc()
	if c.Limited {
		h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_limited_sends_total{pool=%q}`, pool)).Inc()
	}
	if !h.sampled(r.ID) {
		return
	}
	line := h.log.Info()
	if c.Limited {
		line = line.Float64("limit_per_s", c.LimitPerSecond).Int64("limit_age_ms", c.LimitAge.Milliseconds())
	}
	line.Str("request", string(r.ID)).Str("pool", string(pool)).Str("endpoint", string(c.Endpoint.ID)).Str("dc", string(c.Endpoint.DataCenter)).
		Int("attempt", attempt).Int("running", c.Running).Int("prefill_tokens", c.PrefillTokens).Int("home", c.AffinityRank).Int("unread_tokens", c.UncachedTokens).Str("runner_up", string(c.RunnerUp)).
		Int("runner_up_running", c.RunnerUpRunning).Int("candidates", c.Candidates).Int64("remaining_ms", remaining.Milliseconds()).Msg("request_sent")
}

// maxLoggedSpreads bounds the pools of which LoadSpreads logs the spread at a time.
const maxLoggedSpreads = 32

// LoadSpreads counts how evenly requests lie on the endpoints of each pool and, if logged
// is set, logs it.
func (h *HostedRecorder) LoadSpreads(spreads map[core.PoolID]leveling.Spread, logged bool) {
	lines := 0
	for pool, s := range spreads {
		h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_load_samples_total{pool=%q,uneven="%t"}`, pool, s.Uneven())).Inc()
		h.set.GetOrCreateHistogram(fmt.Sprintf(`eelgrass_load_highest_over_mean{pool=%q}`, pool)).Update(float64(s.Highest) / s.Mean)
		h.set.GetOrCreateHistogram(fmt.Sprintf(`eelgrass_load_age_seconds{pool=%q}`, pool)).Update(s.Age.Seconds())
		if !logged || lines == maxLoggedSpreads {
			continue
		}
		lines++
		h.log.Info().Str("pool", string(pool)).Int("endpoints", s.Endpoints).Float64("mean", s.Mean).Int("highest", s.Highest).
			Int("idle", s.Idle).Int("overrun", s.Overrun).Int64("age_ms", s.Age.Milliseconds()).Msg("load_spread")
	}
}

// RetryDecided implements forward.Events.
func (h *HostedRecorder) RetryDecided(r *forward.Request, pool core.PoolID, reason string, allowed bool, budget *repeats.Decision, err *core.Error) {
	h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_repeats_total{pool=%q,reason=%q,allowed="%t"}`, pool, reason, allowed)).Inc()
	addBudget(h.log.Info(), budget).Str("request", string(r.ID)).Str("pool", string(pool)).Str("reason", reason).Bool("allowed", allowed).
		Str("step", err.Step).Str("peer", err.Peer).Stringer("ran", err.Ran).Str("detail", err.Detail).AnErr("cause", err.Err).Msg("request_again")
}

// RequestEnded implements forward.Events.
func (h *HostedRecorder) RequestEnded(o *forward.Outcome) {
	route, outcome := "none", "ok"
	if o.Route != nil {
		route = o.Route.Name
	}
	var e core.Error
	if o.Err != nil {
		e = *o.Err
		outcome = e.Kind.String()
		if o.CallerLeft {
			outcome = "caller_left"
		}
	} else if o.Cut {
		outcome = "cut"
	}
	if o.Framing != "" {
		h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_answers_total{framing=%q,outcome=%q}`, o.Framing, outcome)).Inc()
	}
	account := h.requests.accountLabel(o.Account)
	h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_requests_total{account=%q,rank="%d",outcome=%q,step=%q}`, account, o.Rank, outcome, e.Step)).Inc()
	h.set.GetOrCreateHistogram(fmt.Sprintf(`eelgrass_request_duration_seconds{account=%q,rank="%d"}`, account, o.Rank)).Update(o.Total.Seconds())
	if o.FirstByte > 0 {
		h.set.GetOrCreateHistogram(fmt.Sprintf(`eelgrass_first_byte_seconds{account=%q,rank="%d"}`, account, o.Rank)).Update(o.FirstByte.Seconds())
	}
	if o.StageTime > 0 {
		h.set.GetOrCreateHistogram(fmt.Sprintf(`eelgrass_stage_time_seconds{rank="%d"}`, o.Rank)).Update(o.StageTime.Seconds())
	}
	for range o.EventBursts {
		h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_event_heaps_total{pool=%q}`, o.Pool)).Inc()
	}
	lateFirst := o.Route != nil && o.Route.LatencyTarget > 0 && o.FirstByte > o.Route.LatencyTarget
	latePause := o.Route != nil && o.Route.GapTarget > 0 && o.LongestGap > o.Route.GapTarget
	late := lateFirst || latePause
	// Any number of requests may come that no configuration allows.
	refusedCaller := o.Err != nil && (e.Kind == core.NotFound || e.Kind == core.Unauthorized)
	stopAge, stopping := h.recordStopOutcome(o, &e)
	if !h.sampled(o.Request.ID) && (o.Err == nil && !late && !o.Cut || refusedCaller) && !(stopping && h.stop.endLines.Allow()) {
		return
	}
	ev := h.log.Info()
	if o.Err != nil && e.Ran != core.RanNot {
		ev = h.log.Warn()
	}
	ev = ev.Str("request", string(o.Request.ID)).Str("route", route).Str("pool", string(o.Pool)).Str("account", string(o.Account)).Int("rank", o.Rank).
		Str("outcome", outcome).Int("status", o.Status).Str("endpoint", string(o.Endpoint)).Int("attempts", o.Attempts).Str("framing", o.Framing).
		Int64("stages_ms", o.StageTime.Milliseconds()).Int64("first_byte_ms", o.FirstByte.Milliseconds()).Int64("longest_gap_ms", o.LongestGap.Milliseconds()).Int64("total_ms", o.Total.Milliseconds()).
		Bool("late", late).Bool("late_first", lateFirst).Bool("late_pause", latePause).Int("heaps", o.EventBursts).Int("prompt_tokens", o.Request.PromptTokens).Ints("pieces", o.Request.PieceCounts).Int64("config", o.ConfigVersion)
	if stopping {
		ev = ev.Int64("stop_ms", stopAge.Milliseconds()).Stringer("phase", o.Phase)
	}
	if o.Err != nil {
		ev = ev.Str("step", e.Step).Str("peer", e.Peer).Stringer("ran", e.Ran).Int64("retry_after_ms", e.RetryAfter.Milliseconds()).
			Str("detail", e.Detail).AnErr("cause", e.Err)
	}
	ev.Msg("request_ended")
}

// EndpointHealth implements forward.Events and stagework.Events.
func (h *HostedRecorder) EndpointHealth(pool core.PoolID, e core.InstanceID, ejected bool, reason string) {
	h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_endpoint_changes_total{pool=%q,out="%t"}`, pool, ejected)).Inc()
	h.log.Info().Str("pool", string(pool)).Str("endpoint", string(e)).Bool("out", ejected).Str("reason", reason).Msg("endpoint_health")
}

// maxLoggedParts bounds the parts of a prompt that one line names.
const maxLoggedParts = 16

// EndpointCrashed implements forward.Events.
func (h *HostedRecorder) EndpointCrashed(r *forward.Request, pool core.PoolID, e core.InstanceID, streaming time.Duration) {
	h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_endpoint_crash_requests_total{pool=%q,streaming="%t"}`, pool, streaming >= 0)).Inc()
	parts := make([]string, 0, min(len(r.Prompt), maxLoggedParts))
	for _, p := range r.Prompt[:cap(parts)] {
		parts = append(parts, p.ID)
	}
	line := h.log.Info().Str("request", string(r.ID)).Str("pool", string(pool)).Str("endpoint", string(e)).Strs("parts", parts)
	if streaming >= 0 {
		line = line.Int64("streaming_ms", streaming.Milliseconds())
	}
	line.Msg("endpoint_crash")
}

// RequestQuarantined implements forward.Events.
func (h *HostedRecorder) RequestQuarantined(r *forward.Request, crashes int) {
	h.set.GetOrCreateCounter(`eelgrass_quarantined_total`).Inc()
	h.log.Warn().Str("request", string(r.ID)).Int("crashes", crashes).Msg("request_quarantined")
}

// PartRefused implements forward.Events.
func (h *HostedRecorder) PartRefused(r *forward.Request, pool core.PoolID, part string, v quarantine.Verdict) {
	h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_part_refusals_total{pool=%q}`, pool)).Inc()
	h.log.Warn().Str("request", string(r.ID)).Str("pool", string(pool)).Str("part", part).Int("crashes", v.Crashes).
		Int64("last_crash_ms", v.LastCrash.Milliseconds()).Int64("probe_in_ms", v.Remaining.Milliseconds()).Msg("request_quarantined")
}

// PartProbed implements forward.Events.
func (h *HostedRecorder) PartProbed(r *forward.Request, pool core.PoolID) {
	h.log.Warn().Str("request", string(r.ID)).Str("pool", string(pool)).Msg("part_probed")
}

// FirstEventProbed implements forward.Events.
func (h *HostedRecorder) FirstEventProbed(r *forward.Request, route string, expected, age time.Duration) {
	h.set.GetOrCreateCounter(`eelgrass_first_event_probes_total`).Inc()
	h.log.Warn().Str("request", string(r.ID)).Str("route", route).Int64("expected_ms", expected.Milliseconds()).
		Int64("age_ms", age.Milliseconds()).Msg("first_event_probed")
}

// PartChanged implements forward.Events. Parts are logged as the hash that daemons
// exchange; the request_quarantined lines that follow give the ID.
func (h *HostedRecorder) PartChanged(c quarantine.PartChange) {
	what := "ended"
	if c.Quarantined {
		what = "began"
	}
	h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_part_quarantines_total{what=%q}`, what)).Inc()
	line := h.log.Warn().Str("what", what).Stringer("part_hash", c.Part).Int("crashes", c.Crashes).Int64("last_crash_ms", c.LastCrash.Milliseconds())
	if c.LastSound >= 0 {
		line = line.Int64("last_sound_ms", c.LastSound.Milliseconds())
	}
	line.Msg("part_quarantine")
}

// CallStarted implements stagework.Events.
func (h *HostedRecorder) CallStarted(pool core.PoolID, e core.InstanceID, pieces []stagework.Piece, waiting int, slowFactor float64) {
	h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_stage_calls_total{pool=%q}`, pool)).Inc()
	h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_stage_pieces_total{pool=%q}`, pool)).Add(len(pieces))
	if len(pieces) == 0 || !h.sampled(pieces[0].Request) {
		return
	}
	ids := make([]string, 0, len(pieces))
	for _, p := range pieces {
		if n := len(ids); n == 0 || ids[n-1] != string(p.Request) {
			ids = append(ids, string(p.Request))
		}
	}
	h.log.Info().Str("pool", string(pool)).Str("endpoint", string(e)).Int("pieces", len(pieces)).Int("waiting", waiting).
		Float64("slow", slowFactor).Strs("requests", ids).Msg("stage_call")
}

// CallEnded implements stagework.Events.
func (h *HostedRecorder) CallEnded(pool core.PoolID, e core.InstanceID, pieces int, took, expected time.Duration, err error) {
	h.set.GetOrCreateHistogram(fmt.Sprintf(`eelgrass_stage_call_seconds{pool=%q}`, pool)).Update(took.Seconds())
	h.log.Info().Str("pool", string(pool)).Str("endpoint", string(e)).Int("pieces", pieces).Int64("took_ms", took.Milliseconds()).
		Int64("expected_ms", expected.Milliseconds()).Err(err).Msg("stage_call_ended")
}

// TaskEnded implements stagework.Events.
func (h *HostedRecorder) TaskEnded(t *stagework.Task, coordinator string, took time.Duration, err error) {
	h.set.GetOrCreateHistogram(fmt.Sprintf(`eelgrass_stage_seconds{pool=%q,rank="%d",failed="%t"}`, t.Pool, t.Rank, err != nil)).Update(took.Seconds())
	if err == nil && !h.sampled(t.Request) {
		return
	}
	h.log.Info().Str("request", string(t.Request)).Str("pool", string(t.Pool)).Int("stage", t.Stage).Int("pieces", t.Pieces).Int("rank", t.Rank).
		Str("coordinator", coordinator).Int64("took_ms", took.Milliseconds()).Err(err).Msg("stage_ended")
}

// PieceRepeated implements stagework.Events.
func (h *HostedRecorder) PieceRepeated(t *stagework.Task, reason string, allowed bool, budget *repeats.Decision) {
	h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_repeats_total{pool=%q,reason=%q,allowed="%t"}`, t.Pool, reason, allowed)).Inc()
	addBudget(h.log.Info(), budget).Str("request", string(t.Request)).Str("pool", string(t.Pool)).Int("stage", t.Stage).Str("reason", reason).Bool("allowed", allowed).
		AnErr("cause", t.CoordinatorErr).Msg("stage_again")
}

// addBudget adds what a retry budget decided on to a line, unless it is nil.
func addBudget(line *zerolog.Event, d *repeats.Decision) *zerolog.Event {
	if d == nil {
		return line
	}
	return line.Float64("budget_repeats", d.Repeats).Float64("budget_requests", d.Requests).Float64("budget_limit", d.Limit).
		Int("budget_daemons", d.Daemons).Int64("budget_age_ms", d.Age.Milliseconds())
}

// StoreLost implements mirror.Events.
func (h *HostedRecorder) StoreLost(table string, err error) {
	h.set.GetOrCreateCounter(`eelgrass_store_losses_total`).Inc()
	h.log.Warn().Str("table", table).Err(err).Msg("store_lost")
}

// StoreRestored implements mirror.Events.
func (h *HostedRecorder) StoreRestored(table string, copied, answered core.StoreRevision, held int) {
	h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_store_restorations_total{table=%q}`, table)).Inc()
	addRevisions(h.log.Warn(), copied, answered).Str("table", table).Int("held", held).Msg("store_restored")
}

// RestoredRowsWritten implements mirror.Events.
func (h *HostedRecorder) RestoredRowsWritten(table string, took time.Duration) {
	h.log.Info().Str("table", table).Int64("took_ms", took.Milliseconds()).Msg("store_restoration_ended")
}

// AnswerIgnored implements mirror.Events.
func (h *HostedRecorder) AnswerIgnored(table string, copied, answered core.StoreRevision) {
	h.set.GetOrCreateCounter(fmt.Sprintf(`eelgrass_store_answers_ignored_total{table=%q}`, table)).Inc()
	addRevisions(h.log.Warn(), copied, answered).Str("table", table).Msg("store_answer_ignored")
}

// addRevisions adds the revisions of a copy and of an answer of the store to a line.
func addRevisions(line *zerolog.Event, copied, answered core.StoreRevision) *zerolog.Event {
	return line.Int64("copy_restorations", copied.Restorations).Int64("copy_version", copied.Version).
		Int64("restorations", answered.Restorations).Int64("version", answered.Version)
}

// StoreRegained implements mirror.Events.
func (h *HostedRecorder) StoreRegained(table string, outage time.Duration) {
	h.log.Info().Str("table", table).Int64("outage_ms", outage.Milliseconds()).Msg("store_regained")
}

// EndpointsChanged logs changes of the endpoint list. list is the revision of the store that
// has them.
func (h *HostedRecorder) EndpointsChanged(changes []endpoints.Change, list core.StoreRevision) {
	for _, c := range changes {
		h.log.Info().Str("pool", string(c.Entry.Pool)).Str("endpoint", string(c.Entry.ID)).Str("address", c.Entry.Address).
			Str("dc", string(c.Entry.DataCenter)).Str("what", c.Kind).Int64("version", list.Version).Int64("restorations", list.Restorations).Msg("endpoint_listed")
	}
}

// EvacuationsChanged logs which data centres are evacuated from now on. unknown holds those
// of them that have no instance or endpoint, row is the revision of the store that says so.
func (h *HostedRecorder) EvacuationsChanged(evacuated, unknown []core.DataCenterID, row core.StoreRevision) {
	h.log.Info().Strs("evacuated", dataCenterNames(evacuated)).Int64("row", row.Version).Int64("restorations", row.Restorations).Msg("evacuations_in_force")
	if len(unknown) > 0 {
		h.log.Warn().Strs("unknown", dataCenterNames(unknown)).Msg("evacuated_data_center_unknown")
	}
}

// dataCenterNames returns at most maxLoggedDataCenters names.
func dataCenterNames(list []core.DataCenterID) []string {
	names := make([]string, 0, min(len(list), maxLoggedDataCenters))
	for _, dc := range list[:min(len(list), maxLoggedDataCenters)] {
		names = append(names, string(dc))
	}
	return names
}

// maxLoggedDataCenters bounds the data centres that one log line names.
const maxLoggedDataCenters = 16

// EntriesSkipped logs when entries of the endpoint list become unreadable and when
// all can be read again. n is the number of unreadable entries.
func (h *HostedRecorder) EntriesSkipped(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if wasReported := h.reported["entries"]; wasReported == (n > 0) {
		return
	}
	h.reported["entries"] = n > 0
	h.log.Warn().Int("entries", n).Msg("endpoint_entries_unreadable")
}
