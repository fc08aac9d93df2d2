package retry

import (
	"testing"
	"time"
)

// Guards against calls that are sent as probes to a dead endpoint when nothing
// is left to retry them elsewhere.
func TestNoProbeWithoutARetry(t *testing.T) {
	b, now := NewBudget(), time.Unix(1000, 0)
	for range initialTokens {
		if !b.MayRetry() {
			t.Fatal("no probe although there are tokens")
		}
		if !b.Retry(FailedAttempt{Number: 1, MaxAttempts: 3, Repeatable: true, Now: now, Deadline: now.Add(time.Minute)}).Allowed {
			t.Fatal("no retry although there are tokens")
		}
	}
	if b.MayRetry() {
		t.Error("a probe is allowed without a token")
	}
}
