package sched

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/limits"
)

// Guards against limits that are not applied, against refusals without a correct
// Retry-After, and against tokens that are charged inexactly or not at all.
func TestAdmitAppliesEachLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter()
		// admit sends a request and checks that it is admitted if want is empty, or
		// refused otherwise, with want in the detail and after as the Retry-After.
		admit := func(plan config.Plan, want string, after time.Duration) (release func(int)) {
			t.Helper()
			release, err := l.Admit("a", plan, time.Now())
			if err == nil && want == "" {
				return release
			}
			if e := refusal(t, err); want == "" || e.Kind != core.RateLimited || e.RetryAfter != after || !strings.Contains(e.Detail, want) {
				t.Errorf("%v, retry after %v; want %q, %v", e, e.RetryAfter, want, after)
			}
			return func(int) {}
		}
		rate, tokens, parallel := config.Plan{RequestsPerS: 2}, config.Plan{TokensPerS: 10}, config.Plan{Concurrency: 5}
		admit(rate, "", 0)
		admit(rate, "", 0)
		admit(rate, "requests per second", 500*time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		admit(rate, "", 0)
		release := admit(tokens, "", 0)
		release(25)
		release(1000) // must have no effect, since release was called before
		admit(tokens, "tokens per second", 1600*time.Millisecond)
		release = admit(parallel, "", 0) // three requests above are still in progress
		admit(parallel, "", 0)
		admit(parallel, "in progress", concurrencyRetryAfter)
		release(0)
		admit(parallel, "", 0)
	})
}

// Guards against daemons that each apply the whole limit, and against shares
// that do not follow the daemon's fraction of the total demand.
func TestAdmitUsesTheDaemonsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScheduler(t, Options{})
		s.SetDaemons(4)
		plan := config.Plan{RequestsPerS: 40}
		second := func() (admitted int) {
			for range 100 {
				time.Sleep(10 * time.Millisecond)
				if release, err := s.Admit("a", plan, time.Now()); err == nil {
					admitted++
					release(0)
				}
			}
			return admitted
		}
		second()
		if n := second(); n < 9 || n > 11 {
			t.Errorf("%d requests/s admitted by one of four daemons, want 9 to 11 of the limit of 40", n)
		}
		s.Snapshot()
		second()
		usage := s.Snapshot()
		if len(usage) != 1 || usage[0].RequestsPerS != 100 {
			t.Fatalf("usage %+v, want one account with 100 requests/s", usage)
		}
		s.SetTotals(time.Now(), []limits.AccountUsage{{Account: "a", RequestsPerS: 200}})
		if n := second(); n < 19 || n > 21 {
			t.Errorf("%d requests/s admitted with half of the demand, want 19 to 21 of the limit of 40", n)
		}
	})
}

// Guards against memory that grows with the number of accounts that no longer
// send requests.
func TestIdleAccountsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter()
		for _, a := range []core.AccountID{"idle", "busy", "indebted"} {
			release, err := l.Admit(a, config.Plan{TokensPerS: 1}, time.Now())
			if err != nil {
				t.Fatal(err)
			}
			switch a {
			case "idle":
				release(0)
			case "indebted":
				release(1000)
			}
		}
		l.snapshot(time.Now())
		time.Sleep(forgetIdleAfter + time.Second)
		l.snapshot(time.Now())
		if l.accounts["idle"] != nil || l.accounts["busy"] == nil || l.accounts["indebted"] == nil {
			t.Errorf("remembered accounts %v, want busy and indebted", l.accounts)
		}
	})
}
