package stagework

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/core"
)

// other is a transport to one daemon that answers after 50 ms.
type other struct{ alone }

var first = fleet.Member{ID: "d1", Address: "a1", DataCenter: "dc0", Millicores: 4000}

func (other) Exchange(context.Context, string, *fleet.Status) (*fleet.Status, error) {
	time.Sleep(50 * time.Millisecond)
	return &fleet.Status{Member: first, Incarnation: 1}, nil
}

// submitted notes the daemons that tasks are handed to.
type submitted struct{ to chan string }

func (s submitted) Submit(_ context.Context, address string, _ int, t *Task) ([]Result, error) {
	s.to <- address
	return make([]Result, t.Pieces), nil
}

func (submitted) Release(context.Context, string, core.PoolID, []Result) error { return nil }

// Guards against a daemon that was just started, knows no other yet, and sends calls
// beside those of the coordinator: the endpoints refuse them as full.
func TestADaemonThatStartsAsksWhoCoordinates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(t, 3)
		self := fleet.Member{ID: "d0", Address: "a0", DataCenter: "dc0", Millicores: 100}
		fl := fleet.New(fleet.Options{Self: self, Transport: other{}, Events: alone{}, Now: time.Now, OnStatus: func(*fleet.Status) {},
			Source: func() *fleet.Status { return &fleet.Status{} }})
		fl.Add([]fleet.Member{first}, true)
		go fl.Run(ctx)
		local := NewCoordinator(ctx, w, w.rest, quiet{}, &allowance{left: 50, spare: 25}, time.Now)
		s := submitted{make(chan string, 1)}
		c := NewClient(fl, self, local, s, quiet{}, time.Now)
		c.SetEndpoints(w.pool(), w.entries())
		if _, err := c.Run(t.Context(), newTask("r", 2, 0, time.Second, 2*time.Second)); err != nil {
			t.Fatal(err)
		}
		if calls, _ := w.calls(); calls != 0 {
			t.Errorf("the daemon sent %d calls itself", calls)
		}
		if len(s.to) != 1 {
			t.Error("the coordinator got no task")
		}
		cancel()
		time.Sleep(2 * time.Second)
		synctest.Wait()
	})
}
