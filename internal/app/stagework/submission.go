package stagework

import (
	"context"
	"time"

	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/core"
)

// maxLostCoordinators and maxRefusals bound the coordinators that were lost with a task, and
// those that refused it or handed it back because they stop.
const (
	maxLostCoordinators = 3
	maxRefusals         = 8
)

// silentTime bounds the wait for the answer of a coordinator that is silent, once no other one
// takes the task: a request that cannot be served is refused without much delay.
const silentTime = time.Second

// submission is a task that was submitted to one coordinator.
type submission struct {
	coordinator fleet.Member
	task        *Task
	cancel      context.CancelFunc
	// lost is closed when the coordinator counts as lost; nil for this daemon.
	lost <-chan struct{}
	// results and err are set when the submission has ended.
	results []Result
	err     error
}

// taskRun is one run of a task: its submission to one coordinator after the other.
type taskRun struct {
	client *Client
	task   *Task
	// ended receives each submission that has ended.
	ended chan *submission
	// pending holds the submissions that have not ended. All but the last are at
	// coordinators that count as lost and may still have the results if they have started.
	pending map[*submission]bool
}

// Run runs a task at the coordinator of its group. If that daemon is lost, the task is
// submitted to the next candidate. A coordinator that counts as lost since it is silent may
// still work on the task, so its answer is taken if it comes first.
func (c *Client) Run(ctx context.Context, t *Task) ([]Result, error) {
	began := c.now()
	// Before a daemon knows its peers, it would consider itself the coordinator of all
	// groups.
	select {
	case <-c.fleet.Joined():
	case <-ctx.Done():
	}
	r := &taskRun{client: c, task: t, ended: make(chan *submission, maxLostCoordinators+maxRefusals+1), pending: map[*submission]bool{}}
	defer r.giveUpPending()
	coordinator, results, err := r.run(ctx)
	c.events.TaskEnded(t, string(coordinator), c.now().Sub(began), err)
	return results, err
}

// run returns the results, or the error, and the coordinator that it comes from.
func (r *taskRun) run(ctx context.Context) (core.InstanceID, []Result, error) {
	c, t := r.client, r.task
	group := c.chooseGroup(t)
	var err error
	var tried []string
	for lost, refusals := 0, 0; lost < maxLostCoordinators && refusals < maxRefusals; {
		if current := c.chooseGroup(t); err != nil && current != group {
			// The groups of the pool have changed, or another group now has the shorter
			// wait.
			group, tried = current, nil
		}
		m, ok := c.nextCandidate(t.Pool, group, tried)
		if !ok || group == noGroup {
			break
		}
		tried = append(tried, m.Address)
		var from *submission
		if from, err = r.await(r.submit(ctx, m, group)); err == nil {
			return from.coordinator.ID, from.results, nil
		}
		if ctx.Err() != nil {
			return m.ID, nil, &core.Error{Kind: core.DeadlineExceeded, Step: "stage", Peer: string(m.ID), Ran: core.RanNot, Detail: "the caller disconnected or the deadline passed", Err: ctx.Err()}
		}
		if !isCoordinatorLost(err) {
			return r.awaitPending(m.ID, err)
		}
		t.CoordinatorErr = lossCause(err)
		t.MayHaveRun = t.MayHaveRun || t.Started()
		if core.AsError(err, "stage").Ran == core.RanNot {
			refusals++
			c.events.PieceRepeated(t, "coordinator "+string(m.ID)+" handed the task back", true, nil)
			continue
		}
		lost++
		c.events.PieceRepeated(t, "coordinator "+string(m.ID)+" lost", true, nil)
	}
	// The endpoint of the request has not got it: a stage that is lost with its coordinator
	// has not run the request.
	return r.awaitPending("", &core.Error{Kind: core.Unavailable, Step: "stage", Ran: core.RanNot, RetryAfter: time.Second, Detail: "no daemon is available to coordinate pool " + string(t.Pool), Err: err})
}

// submit submits the task to one daemon.
func (r *taskRun) submit(ctx context.Context, m fleet.Member, group int) *submission {
	c := r.client
	ctx, cancel := context.WithCancel(ctx)
	t, unwatch := r.task.copy(), func() {}
	s := &submission{coordinator: m, task: t, cancel: cancel}
	submit := func() ([]Result, error) { return c.local.Submit(ctx, group, t) }
	if m.ID != c.self.ID {
		s.lost, unwatch = c.fleet.Watch(m.Address)
		submit = func() ([]Result, error) { return c.remote.Submit(ctx, m.Address, group, t) }
	}
	r.pending[s] = true
	go func() {
		s.results, s.err = submit()
		unwatch()
		cancel()
		r.ended <- s
	}()
	return s
}

// await waits until a submission has ended or its coordinator is lost, or another one has
// the results. It returns the submission with the results or, with an error, s.
func (r *taskRun) await(s *submission) (*submission, error) {
	for {
		select {
		case ended := <-r.ended:
			delete(r.pending, ended)
			switch {
			case ended.err == nil:
				return ended, nil
			case ended == s && isClosed(s.lost):
				return s, nameLostPeer(s.err)
			case ended == s:
				return s, s.err
			}
		case <-s.lost:
			if !s.task.Started() {
				// The next submission takes no retry for a task that has not started.
				s.cancel()
			}
			return s, &core.Error{Kind: core.Unavailable, Step: "stage", Peer: string(s.coordinator.ID), Ran: core.RanUnknown, Detail: LostCoordinator, Err: errPeerLost}
		}
	}
}

// awaitPending returns the first results of the submissions that have not ended, or the error
// if none has results within silentTime.
func (r *taskRun) awaitPending(coordinator core.InstanceID, err error) (core.InstanceID, []Result, error) {
	t := time.NewTimer(silentTime)
	defer t.Stop()
	for len(r.pending) > 0 {
		select {
		case s := <-r.ended:
			delete(r.pending, s)
			if s.err == nil {
				return s.coordinator.ID, s.results, nil
			}
		case <-t.C:
			return coordinator, nil, err
		}
	}
	return coordinator, nil, err
}

// giveUpPending ends the submissions that have not ended, and releases their results if some
// come nevertheless.
func (r *taskRun) giveUpPending() {
	if len(r.pending) == 0 {
		return
	}
	for s := range r.pending {
		s.cancel()
	}
	go func() {
		for range len(r.pending) {
			if s := <-r.ended; s.err == nil {
				r.client.Release(r.task.Pool, s.results)
			}
		}
	}()
}
