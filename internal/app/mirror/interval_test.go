package mirror

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against one call to the store for each change of a table that changes many
// times a second, such as the list of daemons while a large fleet is restarted.
func TestFrequentChangesShareCalls(t *testing.T) {
	for _, c := range []struct {
		minInterval time.Duration
		maxCalls    int
	}{{0, 101}, {time.Second, 11}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s, table := &store{}, NewTable("t", nil)
			s.put(row("a", 1))
			go (&Follower{Table: table, Store: s, Peers: &peers{}, Events: &events{}, Wait: time.Second, MinInterval: c.minInterval}).Run(ctx)
			const changes = 200
			for i := range changes {
				time.Sleep(10 * time.Second / changes)
				s.put(row("b", int64(2+i)))
			}
			s.mu.Lock()
			calls := s.calls
			s.mu.Unlock()
			if calls > c.maxCalls {
				t.Errorf("minimum interval %v: %d calls for %d changes in 10 s, want at most %d", c.minInterval, calls, changes, c.maxCalls)
			}
			time.Sleep(max(c.minInterval, minCallInterval) + 10*time.Millisecond)
			if got, want := rowVersions(table.Snapshot()), fmt.Sprintf("a1 b%d ", 1+changes); got != want {
				t.Errorf("minimum interval %v: copy %q after the last change, want %q", c.minInterval, got, want)
			}
			cancel()
		})
	}
}
