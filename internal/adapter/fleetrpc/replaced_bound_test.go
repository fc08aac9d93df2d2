package fleetrpc

import (
	"testing"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/app/stagework"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
)

// Guards against tasks in progress that fail because their daemon, which answers on all
// connections, was slow to answer exchanges again and again: each time the connection is
// replaced, and the oldest one was closed with its calls.
func TestTasksOutliveConnectionsThatAreReplacedAgainAndAgain(t *testing.T) {
	held := heldEndpoints{release: make(chan struct{})}
	d := startDaemonWith(t, held)
	d.coordinator.SetEndpoints(&catalog.Pool{ID: "p", Batching: &catalog.Batching{MaxPieces: 8, CallTime: time.Minute, ResultCapacityBytes: 1000, ResultTTL: time.Second}}, 0,
		[]endpoints.Entry{{Endpoint: core.Endpoint{ID: "m", Pool: "p"}}, {Endpoint: core.Endpoint{ID: "n", Pool: "p"}}, {Endpoint: core.Endpoint{ID: "o", Pool: "p"}}})
	c := NewClient(time.Now)
	const tasks = maxReplaced + 1
	ended := make(chan error, tasks)
	for range tasks {
		started := make(chan struct{})
		task := &stagework.Task{Pool: "p", Request: "r", Pieces: 1, Key: "k", LatestStart: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Minute), ResultBytes: 10,
			OnStart: func() { close(started) }}
		go func() {
			_, err := c.Submit(t.Context(), d.address, 0, task)
			ended <- err
		}()
		<-started
		c.Reconnect(d.address)
		time.Sleep(2 * pingInterval)
	}
	select {
	case err := <-ended:
		t.Errorf("a task ended before its endpoint had answered: %v", err)
	case <-time.After(time.Second):
	}
	close(held.release)
}
