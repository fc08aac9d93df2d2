package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/app/holding"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
	"eelgrassgrade/internal/decide/quarantine"
	"eelgrassgrade/internal/decide/shutdown"
)

// defaultTimeout bounds a request if its caller sets no timeout.
const defaultTimeout = 30 * time.Second

// ErrStopping is the cause with which the contexts of requests are cancelled that are still
// in progress when a stopping daemon ends.
var ErrStopping = errors.New("the daemon ends")

// Forwarder serves callers' requests with the endpoints of the catalog's pools.
type Forwarder struct {
	catalog     func() *catalog.Snapshot
	view        func() *endpoints.View
	fleet       func() *fleet.View
	endpoints   Endpoints
	stages      Stages
	pausedUntil func(endpoints.Entry) time.Time
	limits      Limits
	budget      Budget
	events      Events
	now         func() time.Time
	announce    func(fleet.Prefill)
	tracker     *endpointTracker
	contents    *quarantine.Contents
	parts       *quarantine.PartSet
	self        core.InstanceID
	stop        func() shutdown.Stop
	stopStates  stopStates
	latencies   *routeLatencies
	overloads   *overloadTracker
	cold        coldPools
	active      atomic.Int64
	regionOf    func(core.DataCenterID) core.RegionID
	memory      *holding.Memory
	// levelAbove is Options.LevelAbove; leveling is set once more daemons ran.
	levelAbove  int
	daemonCount func() int
	leveling    atomic.Bool
}

// Options holds the dependencies of a Forwarder.
type Options struct {
	// Self is this daemon's ID.
	Self core.InstanceID
	// Catalog returns the current catalog, or nil before the first one is loaded.
	Catalog func() *catalog.Snapshot
	// View returns the endpoints that may get work, Fleet what the other daemons have
	// in progress.
	View      func() *endpoints.View
	Fleet     func() *fleet.View
	Endpoints Endpoints
	Stages    Stages
	// PausedUntil returns the end of the pause that an endpoint has asked of this
	// daemon, or the zero time. The endpoint gets no requests before that time.
	PausedUntil func(endpoints.Entry) time.Time
	Limits      Limits
	Budget      Budget
	Events      Events
	// Memory is the account of what requests hold; nil for no bound.
	Memory *holding.Memory
	Now    func() time.Time
	// Stop returns the stop of this daemon if it is stopping, or the zero value. It may be
	// nil.
	Stop func() shutdown.Stop
	// RegionOf returns the region of a data centre, or "" if it is not known. It may be
	// nil if no request is restricted to regions.
	RegionOf func(core.DataCenterID) core.RegionID
	// Announce tells the other daemons immediately that an endpoint gets a long
	// prompt. It may be nil.
	Announce func(fleet.Prefill)
	// LevelAbove is the number of daemons above which the loads of endpoints are leveled,
	// see package leveling; 0 means never. DaemonCount returns the number of daemons that
	// are known to run, also by the platform's list; it may be nil if LevelAbove is 0.
	LevelAbove  int
	DaemonCount func() int
}

// New returns a Forwarder.
func New(o Options) *Forwarder {
	if o.Announce == nil {
		o.Announce = func(fleet.Prefill) {}
	}
	if o.Stop == nil {
		o.Stop = func() shutdown.Stop { return shutdown.Stop{} }
	}
	if o.RegionOf == nil {
		o.RegionOf = func(core.DataCenterID) core.RegionID { return "" }
	}
	return &Forwarder{
		self:        o.Self,
		catalog:     o.Catalog,
		view:        o.View,
		fleet:       o.Fleet,
		endpoints:   o.Endpoints,
		stages:      o.Stages,
		pausedUntil: o.PausedUntil,
		limits:      o.Limits,
		budget:      o.Budget,
		events:      o.Events,
		now:         o.Now,
		announce:    o.Announce,
		stop:        o.Stop,
		regionOf:    o.RegionOf,
		memory:      o.Memory,
		levelAbove:  o.LevelAbove,
		daemonCount: o.DaemonCount,
		tracker:     newEndpointTracker(o.Now, o.Events),
		contents:    quarantine.NewContents(o.Now),
		parts:       quarantine.NewPartSet(o.Now),
		latencies:   newRouteLatencies(),
		overloads:   newOverloadTracker(),
	}
}

// SetEndpoints replaces the endpoints whose health is tracked.
func (f *Forwarder) SetEndpoints(v *endpoints.View) { f.tracker.setEndpoints(v) }

// Active returns the number of requests in progress.
func (f *Forwarder) Active() int { return int(f.active.Load()) }

// Loads returns, for the other daemons, the requests that this daemon has in
// progress on each endpoint and the endpoints that it considers failing.
func (f *Forwarder) Loads() []fleet.EndpointLoad { return f.tracker.report() }

// Suspects returns, for the other daemons, the request contents with which endpoints
// crashed, as far as any daemon has told this one.
func (f *Forwarder) Suspects() []quarantine.ContentReport { return f.contents.Report() }

// MergeSuspects adds the suspects that another daemon reports.
func (f *Forwarder) MergeSuspects(from core.InstanceID, list []quarantine.ContentReport) {
	f.contents.Merge(from, list)
}

// Serve runs a request and writes its answer to w. If it returns an error and cut
// is false, nothing was written to w and the error is to be reported to the caller.
// If cut is true, the answer was started but not completed, and the connection must
// be closed so that the caller does not take the answer for complete. callerCtx
// ends when the caller leaves.
func (f *Forwarder) Serve(callerCtx context.Context, r *Request, w http.ResponseWriter) (err *core.Error, cut bool) {
	f.active.Add(1)
	defer f.active.Add(-1)
	if r.InProgress == nil {
		r.InProgress = &InProgress{ID: r.ID, Arrived: r.Arrived}
	}
	r.InProgress.Enter(PhaseAdmission)
	rs := &requestState{req: r, outcome: Outcome{Request: r}}
	served := false
	defer func() {
		if !served {
			// A panic: the server closes the connection.
			err, cut = &core.Error{Kind: core.Internal, Step: "serve", Detail: "the daemon failed while it served the request"}, true
		}
		rs.outcome.Route, rs.outcome.Pool, rs.outcome.Account, rs.outcome.Rank = rs.route, rs.pool, rs.account, rs.rank
		rs.outcome.Total = f.now().Sub(r.Arrived)
		rs.outcome.Err, rs.outcome.Cut = err, cut || rs.outcome.Cut
		rs.outcome.Phase = rs.endPhase()
		rs.outcome.CallerLeft = callerCtx.Err() != nil && context.Cause(callerCtx) != ErrStopping
		f.events.RequestEnded(&rs.outcome)
	}()
	err, cut = f.serve(callerCtx, rs, w)
	served = true
	return err, cut
}

// serve does what Serve says.
func (f *Forwarder) serve(callerCtx context.Context, rs *requestState, w http.ResponseWriter) (*core.Error, bool) {
	if err := f.resolve(rs); err != nil {
		return err, false
	}
	waitCtx, giveUp := context.WithCancelCause(callerCtx)
	defer giveUp(nil)
	f.stopStates.add(rs, giveUp)
	defer f.stopStates.remove(rs)
	ctx, cancel := context.WithDeadline(waitCtx, rs.deadline)
	defer cancel()
	if err := f.admitAndRunStages(ctx, rs); err != nil {
		return f.finalError(ctx, rs, err), false
	}
	// rs.inputs is read when Serve returns, since a retry may have replaced it.
	defer func() { rs.inputs.releaseAll() }()
	return f.tryEndpoints(ctx, rs, w)
}

// resolve sets the route, account, rank, pool and deadlines of a request. It returns
// an error if the request cannot be served or has crashed endpoints.
func (f *Forwarder) resolve(rs *requestState) *core.Error {
	r := rs.req
	rs.snapshot = f.catalog()
	if rs.snapshot == nil {
		return &core.Error{Kind: core.Unavailable, Step: "route", Ran: core.RanNot, RetryAfter: jitteredRetryAfter(500 * time.Millisecond), Detail: "the daemon has not loaded a configuration yet"}
	}
	rs.outcome.ConfigVersion = rs.snapshot.Version
	rs.route = rs.snapshot.Match(r.Host, r.Path)
	if rs.route == nil {
		return &core.Error{Kind: core.NotFound, Step: "route", Ran: core.RanNot, Detail: "no route matches the request's host and path"}
	}
	if reason := rs.route.Unusable; reason != "" {
		return unusableError("the route", reason)
	}
	rs.rank, rs.homes = combinedRank(0, rs.route.Priority), rs.route.Homes
	if !rs.route.Public {
		a, ok := rs.snapshot.Account(r.APIKey)
		if !ok {
			return &core.Error{Kind: core.Unauthorized, Step: "account", Ran: core.RanNot, Detail: "the API key is unknown"}
		}
		if a != nil {
			if a.Unusable != "" {
				return unusableError("the client account", a.Unusable)
			}
			rs.account, rs.homes = a.ID, rs.homes.Intersect(a.Homes)
			if a.Priority != nil {
				rs.rank = combinedRank(*a.Priority, rs.route.Priority)
			}
		}
	}
	if err := rs.route.CheckPieces(r.PieceCounts); err != nil {
		return &core.Error{Kind: core.Invalid, Step: "route", Ran: core.RanNot, Detail: err.Error()}
	}
	rs.pool = rs.route.PickPool(rand.Float64())
	if err := rs.checkPools(); err != nil {
		return err
	}
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if t := rs.route.Timeout; t > 0 {
		timeout = min(timeout, t)
	}
	rs.deadline = r.Arrived.Add(timeout)
	r.InProgress.limit.Store(int64(timeout))
	rs.targetStart, rs.startDeadline = rs.deadline, rs.deadline
	if p := rs.route.CallerPatience; p > 0 && p < timeout {
		rs.startDeadline = r.Arrived.Add(p)
	}
	if t := rs.route.LatencyTarget; t > 0 && t < timeout {
		rs.targetStart = r.Arrived.Add(t)
	}
	if err := f.stopError(rs, shutdown.NotRun, 0); err != nil {
		err.RetryAfter = jitteredRetryAfter(err.RetryAfter)
		return err
	}
	rs.fingerprint, rs.parts = fingerprint(r, rs.account), sharedParts(rs.pool, r.Prompt)
	return f.checkQuarantine(rs)
}

// checkPools returns an error if the pool of a request, or one of its stages, cannot be used.
func (rs *requestState) checkPools() *core.Error {
	if p := rs.snapshot.Pool(rs.pool); p != nil && p.Unusable != "" {
		return unusableError("the pool "+string(rs.pool), p.Unusable)
	}
	for i, s := range rs.route.Stages {
		if pieceCount(rs.req.PieceCounts, i) == 0 {
			continue
		}
		switch p := rs.snapshot.Pool(s.Pool); {
		case p == nil:
			return unusableError("the pool "+string(s.Pool), "it is not in the configuration")
		case p.Unusable != "":
			return unusableError("the pool "+string(s.Pool), p.Unusable)
		case p.Batching == nil:
			return unusableError("the pool "+string(s.Pool), "it runs no stages")
		}
	}
	return nil
}

// unusableError refuses a request that needs an entry of the configuration that cannot be
// used. It can be served once the operators have written another version.
func unusableError(entry, reason string) *core.Error {
	return &core.Error{Kind: core.Unavailable, Step: "configuration", Ran: core.RanNot, RetryAfter: jitteredRetryAfter(maxRetryAfter),
		Detail: "the configuration of " + entry + " cannot be used: " + reason}
}

// Rank returns the account and the rank of a request as far as they are known, before the
// request is served: the lowest rank if its route or its key is unknown.
func (f *Forwarder) Rank(r *Request) (core.AccountID, int) {
	s := f.catalog()
	if s == nil {
		return "", maxRank
	}
	route := s.Match(r.Host, r.Path)
	if route == nil {
		return "", maxRank
	}
	account, ok := s.Account(r.APIKey)
	switch {
	case route.Public || ok && account == nil:
		return "", combinedRank(0, route.Priority)
	case !ok:
		return "", maxRank
	case account.Priority != nil:
		return account.ID, combinedRank(*account.Priority, route.Priority)
	}
	return account.ID, combinedRank(0, route.Priority)
}

// expectedAnswerTime returns a time within which nearly all answers of the route are
// complete, counted from when they are sent to an endpoint.
func (f *Forwarder) expectedAnswerTime(route *catalog.Route) time.Duration {
	if route.Stream {
		return f.latencies.expectedFirstEvent(route.Name) + f.latencies.expectedStreamDuration(route.Name)
	}
	return f.latencies.expectedWholeAnswer(route.Name)
}

// combinedRank returns the rank of requests with the given priorities. Requests are
// ordered by the account's priority and, within it, by the route's. The result is
// between 0, the most urgent, and maxRank.
func combinedRank(account, route int) int {
	const levels = 3
	return min(levels*max(account, 0)+min(max(route, 0), levels-1), maxRank)
}

// maxRank is the rank of the least urgent requests.
const maxRank = 9
