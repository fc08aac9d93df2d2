package retry

import (
	"testing"
	"time"
)

// Guards against calls that are sent as probes to a dead endpoint although there is
// no token to retry them elsewhere.
func TestNoProbeWithoutARetry(t *testing.T) {
	b, now := NewBudget(), time.Unix(1000, 0)
	for range initialRetryTokens {
		if !b.MayRetry() {
			t.Fatal("probes are not allowed although there are tokens")
		}
		if !b.Retry(FailedAttempt{Number: 1, MaxAttempts: 3, Repeatable: true, Now: now, Deadline: now.Add(time.Minute)}).Allowed {
			t.Fatal("a retry is refused although there are tokens")
		}
	}
	if b.MayRetry() {
		t.Error("probes are allowed without a token")
	}
}
