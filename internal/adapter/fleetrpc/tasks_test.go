package fleetrpc

import (
	"testing"
	"time"

	"eelgrassgrade/internal/app/stagework"
	"eelgrassgrade/internal/core"
)

// Guards against stage tasks that end with a connection and are counted at neither end of it.
func TestTasksOnADroppedConnectionAreCounted(t *testing.T) {
	d, c := startDaemon(t), NewClient(time.Now)
	failed := make(chan error, 1)
	go func() {
		// The pool's endpoints are not known, so the task waits.
		_, err := c.Submit(t.Context(), d.address, 0, &stagework.Task{Pool: "unknown", Request: "r", Pieces: 1, Key: "k", Deadline: time.Now().Add(time.Minute)})
		failed <- err
	}()
	for len(d.server.PeerTasks()) == 0 {
		time.Sleep(time.Millisecond)
	}
	if ids := d.server.PeerTasks(); ids[0] != "r" {
		t.Errorf("tasks of %v", ids)
	}
	if n := c.Drop(d.address); n != 1 {
		t.Errorf("%d tasks on the dropped connection, want 1", n)
	}
	if e := core.AsError(<-failed, ""); e.Detail != stagework.LostCoordinator {
		t.Errorf("the task ended with %v", e)
	}
	for len(d.server.PeerTasks()) > 0 {
		time.Sleep(time.Millisecond)
	}
	if n := c.Drop(d.address); n != 0 {
		t.Errorf("%d tasks after their end", n)
	}
}
