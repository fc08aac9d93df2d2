package mirror

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Pattern: the daemons of a large fleet are restarted in turn, so a table of theirs
// changes many times a second. Guards against a call to the store for each change.
func TestQuickChangesShareCalls(t *testing.T) {
	for _, c := range []struct {
		pace  time.Duration
		calls int
	}{{0, 101}, {time.Second, 11}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s, table := &store{}, NewTable("t", nil)
			s.put(row("a", 1))
			go (&Follower{Table: table, Store: s, Peers: &peers{}, Events: &events{}, Wait: time.Second, MinInterval: c.pace}).Run(ctx)
			const changes = 200
			for i := range changes {
				time.Sleep(10 * time.Second / changes)
				s.put(row("b", int64(2+i)))
			}
			s.mu.Lock()
			calls := s.calls
			s.mu.Unlock()
			if calls > c.calls {
				t.Errorf("pace %v: %d calls for %d changes in 10 s, want %d at most", c.pace, calls, changes, c.calls)
			}
			time.Sleep(max(c.pace, minCallInterval) + 10*time.Millisecond)
			if got, want := keys(table.Snapshot()), fmt.Sprintf("a1 b%d ", 1+changes); got != want {
				t.Errorf("pace %v: after the last change %q, want %q", c.pace, got, want)
			}
			cancel()
		})
	}
}
