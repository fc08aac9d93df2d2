package fleetrpc

import (
	"testing"
	"time"

	"eelgrassgrade/internal/app/stagework"
	"eelgrassgrade/internal/core"
)

// Guards against stage tasks that end with a connection and are counted at neither end of it.
func TestTasksThatAConnectionCutsAreCounted(t *testing.T) {
	d, c := startDaemon(t), NewClient(time.Now)
	type cut struct {
		address string
		calls   int
		reason  CutReason
	}
	cuts := make(chan cut, maxReplaced)
	c.OnCut = func(address string, calls int, reason CutReason) { cuts <- cut{address, calls, reason} }
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
	for range maxReplaced + 1 {
		if n := c.Reconnect(d.address); n != 1 {
			t.Errorf("%d calls on the replaced connection, want 1", n)
		}
		if _, err := c.fleetClient(d.address); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := <-cuts, (cut{d.address, 1, CutBound}); got != want {
		t.Errorf("reported %+v, want %+v", got, want)
	}
	if e := core.AsError(<-failed, ""); e.Detail != stagework.LostCoordinator {
		t.Errorf("the task ended with %v", e)
	}
	for len(d.server.PeerTasks()) > 0 {
		time.Sleep(time.Millisecond)
	}
}
