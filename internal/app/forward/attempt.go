package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
	"eelgrassgrade/internal/decide/health"
	"eelgrassgrade/internal/decide/placement"
)

const (
	// maxTries bounds the endpoints that one request is offered to, those that
	// did not take it included.
	maxTries = 4
	// maxKept bounds what of an answer is kept before it is passed on, in bytes. A
	// longer one is passed on as it comes: an endpoint in trouble may send without
	// end, and a daemon has about 100 MB for all its requests.
	maxKept = 512 << 10
	// reachTimeout bounds the check whether a broken endpoint is down.
	reachTimeout = 250 * time.Millisecond
)

// candidates returns the endpoints for a request, best first.
func (f *Forwarder) candidates(x *exchange, tried map[core.InstanceID]bool) []placement.Candidate {
	now := f.now()
	pool := x.snap.Pool(x.pool)
	view, others := f.view(), f.fleet()
	var good, poor []placement.Candidate
	for _, e := range view.ByPool[x.pool] {
		if tried[e.ID] || now.Before(f.rest(e)) {
			continue
		}
		running, prefill, status := f.tracker.own(x.pool, e.ID)
		l := others.Loads[e.ID]
		c := placement.Candidate{Endpoint: e.Endpoint, Running: running + l.Running, PrefillTokens: prefill + l.PrefillTokens,
			Slots: e.Slots, SlowFactor: 1, ExtraCost: x.inputs.inputCost(e.DataCenter)}
		if pool != nil && pool.Engine == nil && c.Slots > 0 {
			// Endpoints without batches work on one request a slot: a request more is
			// a request's time more.
			c.ExtraCost += time.Duration(c.Running) * 50 * time.Millisecond / time.Duration(c.Slots)
		}
		switch phase := status.Phase(now); {
		case phase == health.Serving && !l.Failing && !status.Failing:
			good = append(good, c)
		case phase == health.Probing && running == 0 && x.route.Repeat != catalog.Once:
			// A returned endpoint gets one request that may run elsewhere if it fails.
			good = append(good, c)
		default:
			poor = append(poor, c)
		}
	}
	prompt := placement.Prompt{Slack: x.target.Sub(now) - f.paces.expect(x.route.Name), GapTarget: x.route.GapTarget}
	if x.route.PromptAffinity {
		prompt.Parts = x.req.Prompt
	}
	out := placement.Order(prompt, good)
	return append(out, placement.Order(prompt, poor)...)
}

// resume moves the times of a stream that broke off: it has begun, so that the rest
// is of use until the deadline.
func (x *exchange) resume(now time.Time) {
	x.target, x.begin, x.last = now, x.deadline, x.deadline.Add(-x.plan.last)
}

// restLeft returns how long all endpoints of a pool want nothing from this daemon,
// and 0 if one of them takes requests.
func (f *Forwarder) restLeft(pool core.PoolID) time.Duration {
	now := f.now()
	var least time.Duration
	for i, e := range f.view().ByPool[pool] {
		left := max(f.rest(e).Sub(now), 0)
		if i == 0 || left < least {
			least = left
		}
	}
	return least
}

// resting is the refusal of a request whose endpoints all want nothing for d.
func resting(d time.Duration) *core.Error {
	return &core.Error{Kind: core.Unavailable, Step: "endpoint", Ran: core.RanNot, RetryAfter: d, Detail: "all endpoints of the pool ask for a pause"}
}

// attempts offers a request to endpoints until one answers.
func (f *Forwarder) attempts(ctx context.Context, x *exchange, w http.ResponseWriter) (*core.Error, bool) {
	tried := map[core.InstanceID]bool{}
	var last error = &core.Error{Kind: core.Unavailable, Step: "endpoint", Ran: core.RanNot, RetryAfter: 500 * time.Millisecond, Detail: "no endpoint of the pool is in rotation"}
	s := &stream{f: f, x: x, w: w}
	runs := 0
	for try := 1; try <= maxTries; try++ {
		list := f.candidates(x, tried)
		if left := f.restLeft(x.pool); len(list) == 0 && left > 0 && !x.ran {
			last = resting(left)
		}
		if len(list) == 0 || ctx.Err() != nil {
			break
		}
		e := list[0].Endpoint
		tried[e.ID] = true
		x.out.Attempts, x.out.Endpoint = try, e.ID
		f.events.Sent(x.req, x.pool, choice(list), try, x.deadline.Sub(f.now()))
		err := f.attempt(ctx, x, list[0], s)
		if err == nil {
			return nil, false
		}
		last = err
		ce := core.AsError(err, "forward")
		if ce.Ran != core.RanNot {
			x.ran = true
			runs++
		}
		if ctx.Err() != nil || !f.again(x, ce, runs) {
			break
		}
		if ce.Kind == core.Conflict || x.inputs.gone() {
			// Results that the request takes are gone: make them again.
			if x.stageRuns > 1 {
				break
			}
			x.inputs.releaseAll()
			if x.started {
				x.resume(f.now())
			}
			if err := f.stagesOf(ctx, x); err != nil {
				last = err
				break
			}
		}
	}
	if x.started {
		return f.final(ctx, x, last), true
	}
	return f.final(ctx, x, last), false
}

func choice(list []placement.Candidate) Choice {
	c := Choice{Endpoint: list[0].Endpoint, Running: list[0].Running, PrefillTokens: list[0].PrefillTokens, Home: list[0].AffinityRank, Unread: list[0].UncachedTokens, Candidates: len(list)}
	if len(list) > 1 {
		c.RunnerUp, c.RunnerUpRunning = list[1].Endpoint.ID, list[1].Running
	}
	return c
}

// again decides whether a request that failed at an endpoint goes to another.
func (f *Forwarder) again(x *exchange, err *core.Error, runs int) bool {
	reason, allowed := "not run", true
	switch {
	case err.Ran == core.RanNot && err.Kind == core.Unavailable && err.Step == "connect":
		reason = "no connection"
	case err.Ran == core.RanNot:
		allowed = f.budget.Take(x.pool, 1)
	case x.route.Repeat == catalog.Once:
		reason, allowed = "may have run and may not run twice", false
	case x.started && x.route.Repeat != catalog.Resumable:
		reason, allowed = "the answer began", false
	case runs >= max(x.route.Attempts, 1):
		reason, allowed = "attempts of the route are spent", false
	case f.suspects.crashes(x.fingerprint) >= crashesToRefuse:
		reason, allowed = "crashes endpoints", false
	default:
		reason, allowed = "failed and may run again", f.budget.Take(x.pool, 1)
	}
	f.events.Again(x.req, x.pool, reason, allowed, err)
	return allowed
}

// attempt sends a request to one endpoint and passes its answer on.
func (f *Forwarder) attempt(ctx context.Context, x *exchange, c placement.Candidate, s *stream) error {
	began, e := f.now(), c.Endpoint
	first, end := f.tracker.begin(e.ID, c.UncachedTokens)
	defer end()
	if c.UncachedTokens >= placement.LongPromptTokens {
		f.announce(fleet.Prefill{Endpoint: e.ID, Tokens: c.UncachedTokens, Remaining: placement.PrefillTime(c.UncachedTokens + c.PrefillTokens)})
	}
	out := &Outgoing{Request: x.req, Account: x.account, Priority: x.rank, Remaining: x.deadline.Sub(began), After: s.last}
	if x.inputs != nil {
		out.Inputs = x.inputs.handle
	}
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	a, err := f.endpoints.Send(call, e, out)
	if err != nil {
		return f.broken(ctx, x, e, began, core.AsError(err, "send"))
	}
	defer a.Body.Close()
	if x.route.Stream && a.Genuine && a.Status == http.StatusOK {
		resumed := s.last != ""
		var at time.Time
		s.first = func() {
			first()
			at = f.now()
			f.paces.observe(x.route.Name, f.now().Sub(began))
			f.tracker.observe(x.pool, e.ID, health.Sample{OK: true, Kind: health.Streaming, Elapsed: normalized(f.now().Sub(began), x.req.PromptTokens)}, false)
			// The endpoint has read its inputs. Kept until the end of long streams they
			// would take up the room of the stage. A stream that breaks off has them
			// made again.
			x.inputs.releaseAll()
		}
		if err := s.pass(call, a); err != nil {
			return f.broken(ctx, x, e, began, err)
		}
		if !resumed && !at.IsZero() {
			f.paces.observeRest(x.route.Name, f.now().Sub(at))
		}
		f.suspects.cleared(x.fingerprint)
		return nil
	}
	return f.whole(ctx, x, e, s.w, a, began)
}

// normalized relates the time to a first event to the size of the prompt, so
// that endpoints can be compared.
func normalized(d time.Duration, tokens int) time.Duration {
	const base = 2500 // tokens whose reading takes about as long as the fixed part
	return time.Duration(float64(d) * base / float64(base+tokens))
}

// whole reads an answer to its end before it passes it on.
func (f *Forwarder) whole(ctx context.Context, x *exchange, e core.Endpoint, w http.ResponseWriter, a *Answer, began time.Time) error {
	if a.NotStarted {
		f.tracker.observe(x.pool, e.ID, health.Sample{}, false)
		kind := core.Unavailable
		if a.InputsGone {
			kind = core.Conflict
		}
		return &core.Error{Kind: kind, Step: "endpoint", Peer: string(e.ID), Ran: core.RanNot, RetryAfter: 300 * time.Millisecond, Detail: "the endpoint did not take the request: status " + strconv.Itoa(a.Status)}
	}
	switch {
	case x.started:
		// Only a stream can go on where another one broke off.
		return &core.Error{Kind: core.Upstream, Step: "resume", Peer: string(e.ID), Ran: core.RanYes, Detail: "the endpoint did not resume the stream: status " + strconv.Itoa(a.Status)}
	case !a.Genuine:
		return f.broken(ctx, x, e, began, &core.Error{Kind: core.Upstream, Step: "answer", Peer: string(e.ID), Detail: "the answer is not the endpoint's answer to this request"})
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxKept+1))
	if err != nil {
		return f.broken(ctx, x, e, began, &core.Error{Kind: core.Upstream, Step: "answer", Peer: string(e.ID), Detail: "the answer broke off", Err: err})
	}
	ok := a.Status < http.StatusInternalServerError
	if len(body) > maxKept {
		if err := f.deliverLong(x, w, a, body); err != nil {
			return f.broken(ctx, x, e, began, err)
		}
	}
	f.tracker.observe(x.pool, e.ID, health.Sample{OK: ok, Kind: health.Unary, Elapsed: f.now().Sub(began)}, false)
	if len(body) > maxKept {
		return nil
	}
	if !ok && x.route.Repeat == catalog.Repeatable && x.out.Attempts < x.route.Attempts && f.now().Add(minRemaining).Before(x.deadline) && f.budget.Take(x.pool, 1) {
		e := &core.Error{Kind: core.Upstream, Step: "answer", Peer: string(e.ID), Ran: core.RanYes, Detail: "the endpoint failed: status " + strconv.Itoa(a.Status)}
		f.events.Again(x.req, x.pool, "failed and may run again", true, e)
		return f.second(ctx, x, w, a, body)
	}
	if ok {
		f.suspects.cleared(x.fingerprint)
	}
	f.deliver(x, w, a, body)
	return nil
}

// second offers a request whose endpoint answered with a failure to another
// endpoint. Without a better answer there, the caller gets the first one.
func (f *Forwarder) second(ctx context.Context, x *exchange, w http.ResponseWriter, a *Answer, body []byte) error {
	list := f.candidates(x, map[core.InstanceID]bool{x.out.Endpoint: true})
	if len(list) > 0 {
		e := list[0].Endpoint
		x.out.Attempts++
		x.out.Endpoint = e.ID
		f.events.Sent(x.req, x.pool, choice(list), x.out.Attempts, x.deadline.Sub(f.now()))
		if err := f.attempt(ctx, x, list[0], &stream{f: f, x: x, w: w}); err == nil || x.started {
			return err
		}
	}
	f.deliver(x, w, a, body)
	return nil
}

func (f *Forwarder) deliver(x *exchange, w http.ResponseWriter, a *Answer, body []byte) {
	for k, v := range a.Header {
		w.Header()[k] = v
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.out.Status = a.Status
	x.out.FirstByte = f.now().Sub(x.req.Arrived)
	w.WriteHeader(a.Status)
	if _, err := w.Write(body); err != nil {
		x.out.Cut = true
	}
}

// deliverLong passes an answer on that is too long to be kept. begun is what was
// read of it. If it breaks off, the caller's connection has to be cut.
func (f *Forwarder) deliverLong(x *exchange, w http.ResponseWriter, a *Answer, begun []byte) *core.Error {
	for k, v := range a.Header {
		w.Header()[k] = v
	}
	if a.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	x.started, x.out.Status, x.out.FirstByte = true, a.Status, f.now().Sub(x.req.Arrived)
	w.WriteHeader(a.Status)
	if _, err := w.Write(begun); err != nil {
		return &core.Error{Kind: core.Internal, Step: "caller", Ran: core.RanYes, Detail: "the caller does not read the answer", Err: err}
	}
	if _, err := io.Copy(w, a.Body); err != nil {
		return &core.Error{Kind: core.Upstream, Step: "answer", Peer: string(x.out.Endpoint), Ran: core.RanYes, Detail: "the answer broke off", Err: err}
	}
	return nil
}

// broken notes a request that got no answer from an endpoint.
func (f *Forwarder) broken(ctx context.Context, x *exchange, e core.Endpoint, began time.Time, err *core.Error) error {
	if ctx.Err() == context.Canceled {
		return err
	}
	down := err.Step == "connect"
	if !down && err.Ran != core.RanNot && ctx.Err() == nil {
		check, cancel := context.WithTimeout(ctx, reachTimeout)
		down = !f.endpoints.Reachable(check, e)
		cancel()
		if down {
			f.suspects.crashed(x.fingerprint, e.ID)
		}
	}
	f.tracker.observe(x.pool, e.ID, health.Sample{Kind: health.Unary, Elapsed: f.now().Sub(began)}, down)
	return err
}
