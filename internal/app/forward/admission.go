package forward

import (
	"context"
	"fmt"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/shutdown"
)

// admitAndRunStages runs the stages of a request if its answer can be expected in
// time, and returns an error otherwise.
func (f *Forwarder) admitAndRunStages(ctx context.Context, rs *requestState) error {
	f.budget.RecordRequests(rs.pool, 1)
	if len(rs.route.Stages) == 0 {
		return nil
	}
	if c := f.candidates(rs, nil); len(c) > 0 {
		rs.preferredDataCenter = c[0].Endpoint.DataCenter
	}
	for i, s := range rs.route.Stages {
		if pieceCount(rs.req.PieceCounts, i) > 0 && len(f.endpointsFor(rs, s.Pool)) == 0 {
			return &core.Error{Kind: core.Unavailable, Step: "admission", Ran: core.RanNot, RetryAfter: time.Second, Detail: "no endpoint of pool " + string(s.Pool) + " accepts work"}
		}
	}
	if err := f.poolClosedError(rs); err != nil && f.now().Add(err.RetryAfter).After(rs.startDeadline) {
		return err
	}
	rs.plan = newPlan(rs.route, rs.snapshot, rs.req.PieceCounts, f.plannedFirstEvent(rs),
		func(i int) time.Duration {
			return f.stages.EstimateWait(rs.route.Stages[i].Pool, rs.rank, rs.preferredDataCenter)
		})
	rs.stagesDeadline = rs.startDeadline.Add(-rs.plan.firstEventTime)
	// The expected duration is capped at half of the request's time. Otherwise an
	// estimate that is too long would reject all requests of the route, and no new
	// measurement would ever correct it.
	streamDuration := min(f.latencies.expectedStreamDuration(rs.route.Name), rs.deadline.Sub(rs.req.Arrived)/2)
	if latestStagesEnd := rs.deadline.Add(-rs.plan.firstEventTime - streamDuration); latestStagesEnd.Before(rs.stagesDeadline) {
		rs.stagesDeadline = latestStagesEnd
	}
	now := f.now()
	if timeLeft := rs.stagesDeadline.Sub(now) + rs.plan.firstEventTime; !rs.plan.admits(timeLeft, rs.targetStart.Sub(now)) {
		f.latencies.recordStopped(rs.route.Name)
		// The present queues will be worked off after longestWait.
		return &core.Error{Kind: core.Unavailable, Step: "admission", Ran: core.RanNot, RetryAfter: rs.plan.longestWait,
			Detail: fmt.Sprintf("the queues of the stages are too long: the answer is expected to start in %d ms (%d ms without queueing), the time left is %d ms until the limit and %d ms until the target",
				rs.plan.expectedTime.Milliseconds(), rs.plan.unqueuedTime.Milliseconds(), timeLeft.Milliseconds(), rs.targetStart.Sub(now).Milliseconds())}
	}
	if err := f.stopError(rs, shutdown.NotRun, rs.plan.stagesTime()); err != nil {
		return err
	}
	if err := f.reservePermit(ctx, rs); err != nil {
		return err
	}
	err := f.runStagesWithRetry(ctx, rs)
	if err != nil {
		f.latencies.recordStopped(rs.route.Name)
	}
	return err
}

// plannedFirstEvent returns the time from the end of the stages to the first event that a
// request is planned with: the estimate of its route, or the time that is assumed without
// one if the request is to correct the estimate.
func (f *Forwarder) plannedFirstEvent(rs *requestState) time.Duration {
	expected := f.latencies.expectedFirstEvent(rs.route.Name)
	probe, age := f.latencies.takeFirstEventProbe(f.now(), rs.route.Name)
	if !probe {
		return expected
	}
	rs.firstEventProbe = true
	f.events.FirstEventProbed(rs.req, rs.route.Name, expected, age)
	return defaultFirstEventTime
}

// runStagesWithRetry runs the stages of a request and sets its inputs. If results are
// lost on the way, it runs all stages once more, provided that the time suffices.
func (f *Forwarder) runStagesWithRetry(ctx context.Context, rs *requestState) error {
	rs.stageRuns++
	rs.req.InProgress.Enter(PhaseStages)
	// The time left after the stages must suffice for the request itself. A caller
	// that cannot be served in time gets the error before it leaves.
	ctx, cancel := context.WithDeadline(ctx, rs.stagesDeadline)
	defer cancel()
	results, err := f.runStages(ctx, rs)
	if e := core.AsError(err, "stage"); err != nil && rs.stageRuns == 1 && e.Kind == core.Conflict {
		// An endpoint has lost a result that a later stage needs.
		if err := f.stopError(rs, rs.retryState(), rs.plan.stagesTime()); err != nil {
			return err
		}
		enoughTime := f.now().Add(rs.plan.expectedTime - rs.plan.firstEventTime).Before(rs.stagesDeadline)
		f.events.RetryDecided(rs.req, rs.pool, "results of stages are gone", enoughTime, nil, e)
		if enoughTime {
			rs.stageRuns++
			results, err = f.runStages(ctx, rs)
		}
	}
	rs.inputs = results
	rs.outcome.StageTime = f.now().Sub(rs.req.Arrived)
	return err
}
