package forward

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"eelgrassgrade/internal/app/stagework"
	"eelgrassgrade/internal/core"
)

// stageResults tracks the results of a request's stages: those that the request itself
// needs, and all that have to be released.
type stageResults struct {
	stages      Stages
	mu          sync.Mutex
	unreleased  map[core.PoolID][]stagework.Result
	allReleased bool
	// handles identify the results that the request needs as inputs.
	handles []string
	// bytesByDataCenter is the size of these inputs by the data centre that holds them.
	bytesByDataCenter map[core.DataCenterID]int
}

// add registers results to be released later.
func (sr *stageResults) add(pool core.PoolID, results []stagework.Result) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.unreleased[pool] = append(sr.unreleased[pool], results...)
}

// releaseAll releases all results that have not been released yet. It does nothing if
// sr is nil.
func (sr *stageResults) releaseAll() {
	if sr == nil {
		return
	}
	sr.mu.Lock()
	unreleased := sr.unreleased
	sr.unreleased, sr.allReleased = map[core.PoolID][]stagework.Result{}, true
	sr.mu.Unlock()
	for pool, results := range unreleased {
		sr.stages.Release(pool, results)
	}
}

// inputsReleased reports whether the request has inputs that have been released.
func (sr *stageResults) inputsReleased() bool {
	if sr == nil {
		return false
	}
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.allReleased && len(sr.handles) > 0
}

// release releases some results of a pool.
func (sr *stageResults) release(pool core.PoolID, results []stagework.Result) {
	sr.mu.Lock()
	unreleased := sr.unreleased[pool]
	kept := unreleased[:0:0]
	released := make(map[string]bool, len(results))
	for _, result := range results {
		released[result.Handle] = true
	}
	for _, result := range unreleased {
		if !released[result.Handle] {
			kept = append(kept, result)
		}
	}
	sr.unreleased[pool] = kept
	sr.mu.Unlock()
	sr.stages.Release(pool, results)
}

// runStages runs the stages of a request, each as soon as the stages that it depends on
// are done.
func (f *Forwarder) runStages(ctx context.Context, rs *requestState) (*stageResults, error) {
	route := rs.route
	collected := &stageResults{stages: f.stages, unreleased: map[core.PoolID][]stagework.Result{}, bytesByDataCenter: map[core.DataCenterID]int{}}
	results := make([][]stagework.Result, len(route.Stages))
	completedAt := make([]time.Time, len(route.Stages))
	done := make([]chan struct{}, len(route.Stages))
	// consumers holds the number of stages that depend on each stage, pendingConsumers
	// the number of those that are not done yet.
	consumers := make([]int, len(route.Stages))
	for i := range done {
		done[i] = make(chan struct{})
	}
	for i, s := range route.Stages {
		if pieceCount(rs.req.PieceCounts, i) > 0 {
			for _, dep := range s.DependsOn {
				consumers[dep]++
			}
		}
	}
	pendingConsumers := slices.Clone(consumers)
	var mu sync.Mutex
	g, gctx := errgroup.WithContext(ctx)
	for i := range route.Stages {
		if pieceCount(rs.req.PieceCounts, i) == 0 {
			close(done[i])
			continue
		}
		g.Go(func() error {
			t, err := f.buildTask(gctx, rs, i, results, done, consumers)
			if err != nil {
				return err
			}
			output, err := f.stages.Run(gctx, t)
			if err != nil {
				return f.describeLostInputs(err, route.Stages[i].DependsOn, results, completedAt)
			}
			results[i], completedAt[i] = output, f.now()
			collected.add(t.Pool, output)
			close(done[i])
			// Release the results of stages that no other stage needs any more.
			mu.Lock()
			defer mu.Unlock()
			for _, dep := range route.Stages[i].DependsOn {
				if pendingConsumers[dep]--; pendingConsumers[dep] == 0 {
					collected.release(route.Stages[dep].Pool, results[dep])
				}
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		collected.releaseAll()
		return nil, err
	}
	for _, i := range route.FinalStages() {
		for _, res := range results[i] {
			collected.handles = append(collected.handles, res.Handle)
			collected.bytesByDataCenter[res.DataCenter] += route.Stages[i].ResultBytes
		}
	}
	return collected, nil
}

// describeLostInputs adds to the error of a stage whose inputs are gone which endpoints
// produced them and when. An operator needs both to find the cause. Other errors are
// returned unchanged.
func (f *Forwarder) describeLostInputs(err error, deps []int, results [][]stagework.Result, completedAt []time.Time) error {
	e := core.AsError(err, "stage")
	if e.Kind != core.Conflict {
		return err
	}
	var producers []string
	var oldest time.Duration
	for _, dep := range deps {
		oldest = max(oldest, f.now().Sub(completedAt[dep]))
		for _, r := range results[dep] {
			if !slices.Contains(producers, string(r.Endpoint)) {
				producers = append(producers, string(r.Endpoint))
			}
		}
	}
	detailed := *e
	detailed.Detail = fmt.Sprintf("%s; inputs made by %s, the oldest %d ms ago", e.Detail, strings.Join(producers, ", "), oldest.Milliseconds())
	return &detailed
}

// largeResultBytes is the total size of a stage's results from which on it matters in
// which data centre they are and how long they take up result capacity.
const largeResultBytes = 64 << 10

// buildTask waits until the stages that a stage depends on are done, and returns the
// stage's task.
func (f *Forwarder) buildTask(ctx context.Context, rs *requestState, stage int, results [][]stagework.Result, done []chan struct{}, consumers []int) (*stagework.Task, error) {
	s := rs.route.Stages[stage]
	t := &stagework.Task{Pool: s.Pool, Request: rs.req.ID, Account: rs.account, Stage: stage, Pieces: rs.req.PieceCounts[stage], Rank: rs.rank,
		ResultBytes: s.ResultBytes, PreferredDataCenter: rs.preferredDataCenter, Homes: rs.homes, MayHaveRun: rs.stageRuns > 1, LaterStages: rs.plan.laterStages[stage],
		LatestStart: rs.targetStart.Add(-rs.plan.timesToFirstEvent[stage]), Deadline: rs.startDeadline.Add(-rs.plan.timesToFirstEvent[stage])}
	if s.ResultBytes*t.Pieces < largeResultBytes {
		t.PreferredDataCenter = ""
	}
	resultsPerDataCenter := map[core.DataCenterID]int{}
	inputBytes := 0
	for _, dep := range s.DependsOn {
		select {
		case <-done[dep]:
		case <-ctx.Done():
			return nil, &core.Error{Kind: core.DeadlineExceeded, Step: "stage", Ran: core.RanNot, Detail: "the deadline passed before the earlier stages were done", Err: context.Cause(ctx)}
		}
		for _, r := range results[dep] {
			t.Inputs = append(t.Inputs, r.Handle)
			resultsPerDataCenter[r.DataCenter]++
			inputBytes += rs.route.Stages[dep].ResultBytes
		}
	}
	t.LargeInputs = inputBytes >= largeResultBytes
	if t.InputsDataCenter = rs.preferredDataCenter; len(resultsPerDataCenter) > 0 {
		t.InputsDataCenter = dataCenterWithMost(resultsPerDataCenter)
		t.PreferredDataCenter = ""
	}
	if !t.LargeInputs {
		clear(resultsPerDataCenter)
	} else if deps := s.DependsOn; len(deps) == 1 && consumers[deps[0]] == 1 {
		t.ExclusiveInputs, t.ExclusiveInputsPool = results[deps[0]], rs.route.Stages[deps[0]].Pool
	}
	if len(resultsPerDataCenter) > 0 {
		t.PreferredDataCenter = dataCenterWithMost(resultsPerDataCenter)
	}
	if len(s.DependsOn) == 0 {
		t.Key = rs.req.PieceKey
	}
	if t.Deadline.Before(f.now().Add(minRemaining)) {
		t.Deadline = f.now().Add(minRemaining)
	}
	return t, nil
}

// dataCenterWithMost returns the data centre with the largest count; of equal ones, the
// first by name.
func dataCenterWithMost(counts map[core.DataCenterID]int) (largest core.DataCenterID) {
	for dc, n := range counts {
		if n > counts[largest] || (n == counts[largest] && dc < largest) {
			largest = dc
		}
	}
	return largest
}

// transferCost returns the placement cost of an endpoint in a data centre for fetching
// the request's inputs from other data centres.
func (sr *stageResults) transferCost(dc core.DataCenterID) time.Duration {
	if sr == nil {
		return 0
	}
	remoteBytes := 0
	for d, n := range sr.bytesByDataCenter {
		if d != dc {
			remoteBytes += n
		}
	}
	// 1 MB from another data centre costs as much as 20 ms of the endpoint's time.
	return time.Duration(remoteBytes) * 20 * time.Nanosecond
}
