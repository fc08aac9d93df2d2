package stagework

import (
	"testing"
	"time"

	"eelgrassgrade/internal/app/endpoints"
)

// Pattern: a coordinator takes over while results of the one before it fill the
// endpoints. Guards against piece after piece that finds no room, and against room
// that stays unused once the results are gone.
func TestForeignResultsTakeRoom(t *testing.T) {
	run(t, 1, func(w *world, c *Coordinator) {
		w.limits.ResultCapacityBytes, w.bytes = 100, 10
		m := w.machines["m0"]
		m.room = 100
		m.kept["foreign"] = 60
		c.SetEndpoints(w.pool(), 0, w.entries())
		time.AfterFunc(time.Second, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			delete(m.kept, "foreign")
		})
		done := make(chan time.Duration, 30)
		began := time.Now()
		for i := range cap(done) {
			go func() {
				results, err := c.Submit(w.t.Context(), 0, newTask(string(rune('a'+i)), 1, 0, 10*time.Second, 20*time.Second))
				if err != nil {
					t.Errorf("piece %d: %v", i, err)
				}
				c.Release(testPool, results)
				done <- time.Since(began)
			}()
		}
		for range cap(done) {
			if took := <-done; took > 8*time.Second {
				t.Errorf("a piece was done after %v", took)
			}
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		repeats := 0
		for _, n := range w.runs {
			repeats += n - 1
		}
		// The first call shows how much is taken.
		if most := w.limits.MaxPieces; repeats > most {
			t.Errorf("%d pieces found no room, want %d at most", repeats, most)
		}
	})
}

// Pattern: room is scarce, and the endpoints of one data centre are far. Guards against
// room that is held longer than the inputs are needed, and against inputs that are freed
// before a far endpoint has fetched them.
func TestInputsAreHeldForTheWay(t *testing.T) {
	for _, c := range []struct {
		trips       []time.Duration
		least, most time.Duration
	}{
		{nil, 100 * time.Millisecond, 150 * time.Millisecond},
		{[]time.Duration{time.Millisecond, time.Millisecond}, 30 * time.Millisecond, 60 * time.Millisecond},
		{[]time.Duration{40 * time.Millisecond, 40 * time.Millisecond}, 160 * time.Millisecond, 250 * time.Millisecond},
		// A lost packet is sent again after 200 ms. The way may lose more of them.
		{[]time.Duration{5 * time.Millisecond, 205 * time.Millisecond}, 200 * time.Millisecond, 300 * time.Millisecond},
	} {
		r := newReplica(endpoints.Entry{})
		for _, d := range c.trips {
			r.observeTrip(d)
		}
		if got := r.fetchTime(); got < c.least || got > c.most {
			t.Errorf("round trips %v: inputs are held for %v, want %v to %v", c.trips, got, c.least, c.most)
		}
	}
}
