package stagework

import (
	"context"
	"maps"
	"slices"
	"time"
)

const (
	// finishPollInterval is the interval at which a stopping daemon looks whether its stage
	// work has ended.
	finishPollInterval = 10 * time.Millisecond
	// leftoverTime bounds how long a stopping daemon waits for calls and frees that no task
	// needs. Without them, results take up capacity until they expire.
	leftoverTime = time.Second
)

// AdmitPeerTask reports whether a task of another daemon may be submitted. If so, done must
// be called when the daemon has its answer.
func (c *Coordinator) AdmitPeerTask() (done func(), ok bool) {
	if c.handingBack.Load() {
		return nil, false
	}
	c.peerTasks.Add(1)
	return func() { c.peerTasks.Add(-1) }, true
}

// HandBack makes the coordinator refuse the tasks of other daemons from now on. Waiting tasks
// that have not started end with LostCoordinator, so that their clients submit them to another
// coordinator; this daemon's own return if there is no other. Started tasks go on. It returns
// the number of tasks that it ended.
func (c *Coordinator) HandBack() (ended int) {
	c.handingBack.Store(true)
	for _, g := range c.allGroups() {
		ended += g.handBack()
	}
	return ended
}

// allGroups returns the present groups.
func (c *Coordinator) allGroups() []*endpointGroup {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.groups))
}

func (g *endpointGroup) handBack() (ended int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, it := range slices.Clone(g.queue) {
		if !it.task.Started() && !it.task.ended {
			g.endTask(it.task, groupRemovedError())
			ended++
		}
	}
	return ended
}

// hasLeftovers reports whether calls are in progress or results are yet to be freed.
func (g *endpointGroup) hasLeftovers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.endpoints {
		if e.outstandingCalls > 0 || e.freeScheduled {
			return true
		}
	}
	return false
}

// Finish waits, after HandBack, until the tasks of other daemons have ended and the results
// that nobody needs any more are freed. It returns the number of tasks that are left when
// ctx ends.
func (c *Client) Finish(ctx context.Context) (unfinished int) {
	t := time.NewTicker(finishPollInterval)
	defer t.Stop()
	var tasksEndedAt time.Time
	for {
		unfinished = int(c.local.peerTasks.Load())
		if unfinished == 0 && tasksEndedAt.IsZero() {
			tasksEndedAt = c.now()
		}
		if unfinished == 0 && (!c.hasLeftovers() || c.now().Sub(tasksEndedAt) >= leftoverTime) {
			return 0
		}
		select {
		case <-ctx.Done():
			return unfinished
		case <-t.C:
		}
	}
}

// hasLeftovers reports whether releases are pending, here or at the local coordinator.
func (c *Client) hasLeftovers() bool {
	c.mu.Lock()
	pending := c.flushScheduled || c.flushing > 0
	c.mu.Unlock()
	return pending || slices.ContainsFunc(c.local.allGroups(), (*endpointGroup).hasLeftovers)
}
