package stagework

import (
	"testing"
	"time"

	"eelgrassgrade/internal/app/endpoints"
)

// A coordinator takes over while results of its predecessor fill the endpoint. Guards
// against many pieces in a row that are rejected for lack of capacity, and against capacity
// that stays unused after those results are gone.
func TestUntrackedResultsTakeCapacity(t *testing.T) {
	withCoordinator(t, 1, func(sim *simulation, c *Coordinator) {
		sim.limits.ResultCapacityBytes, sim.resultBytes = 100, 10
		fake := sim.endpoints["m0"]
		fake.capacity = 100
		fake.stored["untracked"] = 60
		c.SetEndpoints(sim.pool(), 0, sim.entries())
		time.AfterFunc(time.Second, func() {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			delete(fake.stored, "untracked")
		})
		done := make(chan time.Duration, 30)
		began := time.Now()
		for i := range cap(done) {
			go func() {
				results, err := c.Submit(sim.t.Context(), 0, newTask(string(rune('a'+i)), 1, 0, 10*time.Second, 20*time.Second))
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
		sim.mu.Lock()
		defer sim.mu.Unlock()
		repeats := 0
		for _, n := range sim.runCounts {
			repeats += n - 1
		}
		// The first call shows how much capacity untracked results take.
		if maxRepeats := sim.limits.MaxPieces; repeats > maxRepeats {
			t.Errorf("%d pieces were rejected for lack of capacity, want %d at most", repeats, maxRepeats)
		}
	})
}

// While result capacity is scarce, inputs are freed after the time that an endpoint needs
// to fetch them. Guards against keeping them much longer than that, and against freeing
// them before an endpoint in a distant data centre has fetched them.
func TestFetchTimeCoversTheRoundTrips(t *testing.T) {
	for _, c := range []struct {
		trips    []time.Duration
		min, max time.Duration
	}{
		{nil, 100 * time.Millisecond, 150 * time.Millisecond},
		{[]time.Duration{time.Millisecond, time.Millisecond}, 30 * time.Millisecond, 60 * time.Millisecond},
		{[]time.Duration{40 * time.Millisecond, 40 * time.Millisecond}, 160 * time.Millisecond, 250 * time.Millisecond},
		// A lost packet is retransmitted after 200 ms, and more packets may be lost.
		{[]time.Duration{5 * time.Millisecond, 205 * time.Millisecond}, 200 * time.Millisecond, 300 * time.Millisecond},
	} {
		e := newEndpointState(endpoints.Entry{})
		for _, d := range c.trips {
			e.observeRoundTrip(d)
		}
		if got := e.fetchTime(); got < c.min || got > c.max {
			t.Errorf("round trips %v: inputs are kept for %v, want %v to %v", c.trips, got, c.min, c.max)
		}
	}
}
