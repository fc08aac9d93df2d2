// Package gateway handles caller requests: it determines the client account, the
// rank and the deadline, applies limits, and runs pipelines and service
// operations through the dispatcher.
package gateway

import (
	"context"
	"crypto/sha256"
	"slices"
	"time"

	"eelgrassgrade/internal/app/dispatch"
	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
)

// Dispatcher runs tasks on endpoint pools.
type Dispatcher interface {
	Do(ctx context.Context, t dispatch.Task) (core.Result, error)
	Stream(ctx context.Context, t dispatch.Task, emit func(core.Event) error) error
}

// Scheduler applies the limits of client accounts and predicts service times.
type Scheduler interface {
	// Admit counts a request against the limits of its account, or refuses it.
	// release must be called when the request ends, with the number of tokens
	// generated.
	Admit(account core.AccountID, plan config.Plan, now time.Time) (release func(tokens int), err error)
	// Predict returns the predicted service time of a stage, or 0 if unknown.
	Predict(pool core.PoolID, stage string, r core.Rank) time.Duration
}

// Caller holds what a request states besides its content: its ID, credentials,
// rank and time budget.
type Caller struct {
	Request core.RequestID
	// BearerKey is the key that identifies the client account.
	BearerKey string
	// Rank is the requested rank, or nil for the plan's rank.
	Rank *core.Rank
	// TimeBudget is the requested time from arrival to the end of the request; 0
	// means the default.
	TimeBudget time.Duration
	// Arrived is the time of arrival, with a monotonic clock reading.
	Arrived time.Time
}

// Gateway serves caller requests.
type Gateway struct {
	config    func() *config.Snapshot
	dispatch  Dispatcher
	once      AtMostOnce
	sched     Scheduler
	viewFresh func(now time.Time) bool
}

// New returns a Gateway. cfg returns the configuration in force, or nil before
// the first one.
func New(cfg func() *config.Snapshot, d Dispatcher, once AtMostOnce) *Gateway {
	return &Gateway{config: cfg, dispatch: d, once: once}
}

// SetScheduler makes the gateway apply limits and predict the time of later
// stages. It must be called before the first request. Without a scheduler there
// are no limits and no predictions.
func (g *Gateway) SetScheduler(s Scheduler) { g.sched = s }

// RequireFreshView makes the gateway refuse requests while fresh returns false,
// that is, while the daemon's membership view is too old to show which endpoints
// are leaving. It must be called before the first request.
func (g *Gateway) RequireFreshView(fresh func(now time.Time) bool) { g.viewFresh = fresh }

// admit counts the request against its account's limits, or refuses it.
func (g *Gateway) admit(gr grant) (release func(tokens int), err error) {
	if g.sched == nil {
		return func(int) {}, nil
	}
	return g.sched.Admit(gr.account, gr.plan, time.Now())
}

// stageID identifies a stage for predictions, errors and metrics. It includes
// the pipeline, since stages with the same name in two pipelines may generate
// different numbers of tokens.
func stageID(pipeline string, st config.Stage) string { return pipeline + "/" + st.Name }

// predictStages returns the predicted total service time of the given stages.
func (g *Gateway) predictStages(pipeline string, stages []config.Stage, r core.Rank) time.Duration {
	if g.sched == nil {
		return 0
	}
	var sum time.Duration
	for _, st := range stages {
		sum += g.sched.Predict(st.Pool, stageID(pipeline, st), r)
	}
	return sum
}

// grant is the result of authorising a request: its account, plan and rank, and
// the configuration that it runs under.
type grant struct {
	snapshot *config.Snapshot
	account  core.AccountID
	plan     config.Plan
	rank     core.Rank
}

// authorize identifies the client account of a request. The request may ask for
// a less urgent rank than the plan's; a more urgent one has no effect.
func (g *Gateway) authorize(c Caller) (grant, error) {
	if g.viewFresh != nil && !g.viewFresh(time.Now()) {
		return grant{}, &core.Error{Kind: core.Unavailable, Step: "membership", Ran: core.RanNot, RetryAfter: time.Second,
			Detail: "the daemon's view of the endpoints is not current"}
	}
	snap := g.config()
	if snap == nil {
		return grant{}, &core.Error{Kind: core.Unavailable, Step: "configuration", Ran: core.RanNot, RetryAfter: time.Second,
			Detail: "the daemon has no configuration yet"}
	}
	id, ok := snap.AccountByKey(sha256.Sum256([]byte(c.BearerKey)))
	if !ok {
		return grant{}, &core.Error{Kind: core.Unauthorized, Step: "authentication", Ran: core.RanNot, Detail: "the key does not belong to a client account"}
	}
	plan := snap.PlanOf(id)
	rank, err := core.ParseRank(plan.Rank)
	if err != nil {
		return grant{}, core.AsError(err, "configuration")
	}
	if c.Rank != nil {
		rank = max(rank, *c.Rank)
	}
	return grant{snapshot: snap, account: id, plan: plan, rank: rank}, nil
}

// deadline returns the instant by which a request must end: limit after its
// arrival, or earlier if the caller's time budget is smaller.
func deadline(c Caller, limit time.Duration) time.Time {
	if c.TimeBudget > 0 && c.TimeBudget < limit {
		limit = c.TimeBudget
	}
	return c.Arrived.Add(limit)
}

// allowsName reports whether list contains name or the wildcard "*".
func allowsName(list []string, name string) bool {
	return slices.Contains(list, "*") || slices.Contains(list, name)
}
