package retry

import (
	"testing"
	"time"
)

// Guards against an outage that multiplies calls because every call fails and is
// hedged and retried.
func TestExtraCallsStayWithinTheBudget(t *testing.T) {
	b := NewBudget()
	now := time.Now()
	const calls = 1000
	extra, hedges := 0, 0
	for range calls {
		b.RecordCall()
		if b.Hedge(now, now.Add(time.Second), 0, true).Allowed {
			extra++
			hedges++
		}
		for n := 1; b.Retry(FailedAttempt{Number: n, MaxAttempts: 3, Repeatable: true, Now: now, Deadline: now.Add(time.Second)}).Allowed; n++ {
			extra++
		}
	}
	if extra > calls/10 || extra < calls/20 {
		t.Errorf("%d extra calls for %d calls, want 5%% to 10%%", extra, calls)
	}
	if hedges > calls/20 {
		t.Errorf("%d hedges for %d calls, want at most 5%%", hedges, calls)
	}
}

// Guards against retries of calls that must not be attempted again.
func TestRetryReasons(t *testing.T) {
	now := time.Now()
	retryable := FailedAttempt{Number: 1, MaxAttempts: 3, Repeatable: true, Now: now, Deadline: now.Add(time.Second), Expected: 100 * time.Millisecond}
	for _, c := range []struct {
		change func(*FailedAttempt)
		want   Reason
	}{
		{func(*FailedAttempt) {}, Allowed},
		{func(f *FailedAttempt) { f.Repeatable = false }, NotRepeatable},
		{func(f *FailedAttempt) { f.Repeatable, f.NotStarted = false, true }, Allowed},
		{func(f *FailedAttempt) { f.Number = 3 }, NoAttempts},
		{func(f *FailedAttempt) { f.Final = true }, Final},
		{func(f *FailedAttempt) { f.Deadline = now.Add(100 * time.Millisecond) }, NoTime},
	} {
		f := retryable
		c.change(&f)
		if d := NewBudget().Retry(f); d.Reason != c.want || d.Allowed != (c.want == Allowed) {
			t.Errorf("%+v: %+v, want %s", f, d, c.want)
		}
	}
}

// Guards against retries of several calls at the same time, which would overload an
// endpoint.
func TestBackoffIsJitteredAndBounded(t *testing.T) {
	for n := 1; n < 70; n++ {
		if shortest, longest := Backoff(n, 0), Backoff(n, 0.999); shortest >= longest || longest > maxBackoff || shortest <= 0 {
			t.Errorf("after attempt %d: backoff of %s to %s", n, shortest, longest)
		}
	}
}
