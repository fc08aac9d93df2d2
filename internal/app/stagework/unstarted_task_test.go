package stagework

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/core"
)

// queueingCoordinator starts each task after a while, unless it is cancelled before.
type queueingCoordinator struct {
	noCoordinators
	wait   time.Duration
	starts *atomic.Int32
}

func (q queueingCoordinator) Submit(ctx context.Context, _ string, _ int, t *Task) ([]Result, error) {
	lost := &core.Error{Kind: core.Unavailable, Detail: LostCoordinator}
	select {
	case <-ctx.Done():
		return nil, lost
	case <-time.After(q.wait):
	}
	t.MarkStarted()
	q.starts.Add(1)
	<-ctx.Done()
	return nil, lost
}

// Guards against a task that runs at two coordinators without a retry from the budget: it
// waited at one that was silent for a while, and was submitted to the next as not started.
func TestATaskThatWaitsAtASilentCoordinatorDoesNotStartThere(t *testing.T) {
	withClient(t, 3, func(sim *simulation, c *Client) {
		c.SetEndpoints(sim.pool(), sim.entries()[:1])
		var starts atomic.Int32
		c.remote = queueingCoordinator{wait: 1200 * time.Millisecond, starts: &starts}
		ctx, cancel := context.WithCancel(sim.t.Context())
		defer cancel()
		go c.fleet.Run(ctx)
		time.Sleep(time.Second)
		group := c.groupsOf(testPool)[0].ID
		for i := 1; c.candidates(testPool, group)[0].ID == "d0" && i < 50; i++ {
			c.fleet.HandleExchange(&fleet.Status{Member: fleet.Member{ID: core.InstanceID(fmt.Sprint("d", i)), Address: fmt.Sprint("a", i), DataCenter: "dc0"}, Incarnation: 1})
		}
		if _, err := c.Run(ctx, newTask("r", 1, 0, 4*time.Second, 5*time.Second)); err != nil {
			t.Error(err)
		}
		if n := starts.Load(); n > 0 {
			t.Errorf("the task started %d times at coordinators that count as lost", n)
		}
	})
}
