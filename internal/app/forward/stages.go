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

// inputs are the results that a request takes, and all results that are to be
// released.
type inputs struct {
	stages Stages
	mu     sync.Mutex
	held   map[core.PoolID][]stagework.Result
	freed  bool
	handle []string
	// dc counts the results by the data centre that holds them, weighed by size.
	dc map[core.DataCenterID]int
}

func (in *inputs) hold(pool core.PoolID, r []stagework.Result) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.held[pool] = append(in.held[pool], r...)
}

// releaseAll frees all results that are still held.
func (in *inputs) releaseAll() {
	if in == nil {
		return
	}
	in.mu.Lock()
	held := in.held
	in.held, in.freed = map[core.PoolID][]stagework.Result{}, true
	in.mu.Unlock()
	for pool, r := range held {
		in.stages.Release(pool, r)
	}
}

// gone says whether there were results and all are freed.
func (in *inputs) gone() bool {
	if in == nil {
		return false
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.freed && len(in.handle) > 0
}

func (in *inputs) release(pool core.PoolID, r []stagework.Result) {
	in.mu.Lock()
	held := in.held[pool]
	kept := held[:0:0]
	gone := make(map[string]bool, len(r))
	for _, x := range r {
		gone[x.Handle] = true
	}
	for _, x := range held {
		if !gone[x.Handle] {
			kept = append(kept, x)
		}
	}
	in.held[pool] = kept
	in.mu.Unlock()
	in.stages.Release(pool, r)
}

// runStages runs the stages of a request, each as soon as what it takes is done.
func (f *Forwarder) runStages(ctx context.Context, x *exchange) (*inputs, error) {
	r := x.route
	in := &inputs{stages: f.stages, held: map[core.PoolID][]stagework.Result{}, dc: map[core.DataCenterID]int{}}
	results := make([][]stagework.Result, len(r.Stages))
	made := make([]time.Time, len(r.Stages))
	done := make([]chan struct{}, len(r.Stages))
	// users counts the stages that take each stage's results; left those that
	// have not done so yet.
	users := make([]int, len(r.Stages))
	for i := range done {
		done[i] = make(chan struct{})
	}
	for i, s := range r.Stages {
		if count(x.req.Pieces, i) > 0 {
			for _, a := range s.DependsOn {
				users[a]++
			}
		}
	}
	left := slices.Clone(users)
	var mu sync.Mutex
	g, gctx := errgroup.WithContext(ctx)
	for i := range r.Stages {
		if count(x.req.Pieces, i) == 0 {
			close(done[i])
			continue
		}
		g.Go(func() error {
			t, err := f.stageTask(gctx, x, i, results, done, users)
			if err != nil {
				return err
			}
			out, err := f.stages.Run(gctx, t)
			if err != nil {
				return f.nameInputs(err, r.Stages[i].DependsOn, results, made)
			}
			results[i], made[i] = out, f.now()
			in.hold(t.Pool, out)
			close(done[i])
			// What this stage took is free once no other stage takes it.
			mu.Lock()
			defer mu.Unlock()
			for _, a := range r.Stages[i].DependsOn {
				if left[a]--; left[a] == 0 {
					in.release(r.Stages[a].Pool, results[a])
				}
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		in.releaseAll()
		return nil, err
	}
	for _, i := range r.FinalStages() {
		for _, res := range results[i] {
			in.handle = append(in.handle, res.Handle)
			in.dc[res.DataCenter] += r.Stages[i].ResultBytes
		}
	}
	return in, nil
}

// nameInputs adds to the failure of a stage whose inputs are gone which endpoints
// made them and when: an operator cannot tell the cause without that.
func (f *Forwarder) nameInputs(err error, after []int, results [][]stagework.Result, made []time.Time) error {
	e := core.AsError(err, "stage")
	if e.Kind != core.Conflict {
		return err
	}
	var makers []string
	var oldest time.Duration
	for _, a := range after {
		oldest = max(oldest, f.now().Sub(made[a]))
		for _, r := range results[a] {
			if !slices.Contains(makers, string(r.Endpoint)) {
				makers = append(makers, string(r.Endpoint))
			}
		}
	}
	named := *e
	named.Detail = fmt.Sprintf("%s; inputs made by %s, the oldest %d ms ago", e.Detail, strings.Join(makers, ", "), oldest.Milliseconds())
	return &named
}

// largeResults is the size of a stage's results, in bytes, from which on it matters
// where they are and how long they wait.
const largeResults = 64 << 10

// stageTask waits for what a stage takes and makes its task.
func (f *Forwarder) stageTask(ctx context.Context, x *exchange, i int, results [][]stagework.Result, done []chan struct{}, users []int) (*stagework.Task, error) {
	s := x.route.Stages[i]
	t := &stagework.Task{Pool: s.Pool, Request: x.req.ID, Account: x.account, Stage: i, Pieces: x.req.Pieces[i], Rank: x.rank,
		ResultBytes: s.ResultBytes, PreferredDataCenter: x.near, MayHaveRun: x.stageRuns > 1, FollowingStages: x.plan.later[i],
		LatestStart: x.target.Add(-x.plan.tail[i]), Deadline: x.begin.Add(-x.plan.tail[i])}
	if s.ResultBytes*t.Pieces < largeResults {
		t.PreferredDataCenter = ""
	}
	weight := map[core.DataCenterID]int{}
	total := 0
	for _, a := range s.DependsOn {
		select {
		case <-done[a]:
		case <-ctx.Done():
			return nil, &core.Error{Kind: core.DeadlineExceeded, Step: "stage", Ran: core.RanNot, Detail: "the time was over between stages", Err: context.Cause(ctx)}
		}
		for _, r := range results[a] {
			t.Inputs = append(t.Inputs, r.Handle)
			weight[r.DataCenter]++
			total += x.route.Stages[a].ResultBytes
		}
	}
	t.LargeInputs = total >= largeResults
	if t.InputsDataCenter = x.near; len(weight) > 0 {
		t.InputsDataCenter = heaviest(weight)
		t.PreferredDataCenter = ""
	}
	if !t.LargeInputs {
		clear(weight)
	} else if a := s.DependsOn; len(a) == 1 && users[a[0]] == 1 {
		t.ExclusiveInputs, t.ExclusiveInputsPool = results[a[0]], x.route.Stages[a[0]].Pool
	}
	if len(weight) > 0 {
		t.PreferredDataCenter = heaviest(weight)
	}
	if len(t.Inputs) == 0 {
		t.Key = x.req.PieceKey
	}
	if t.Deadline.Before(f.now().Add(minRemaining)) {
		t.Deadline = f.now().Add(minRemaining)
	}
	return t, nil
}

// heaviest returns the data centre with the largest weight.
func heaviest(weight map[core.DataCenterID]int) (out core.DataCenterID) {
	for dc, n := range weight {
		if n > weight[out] || (n == weight[out] && dc < out) {
			out = dc
		}
	}
	return out
}

// inputCost returns the extra cost of an engine that has to fetch results from
// other data centres.
func (in *inputs) inputCost(dc core.DataCenterID) time.Duration {
	if in == nil {
		return 0
	}
	far := 0
	for d, n := range in.dc {
		if d != dc {
			far += n
		}
	}
	// 1 MB from another data centre weighs like 20 ms of engine time.
	return time.Duration(far) * 20 * time.Nanosecond
}
