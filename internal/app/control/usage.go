package control

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/limits"
	"eelgrassgrade/internal/decide/membership"
)

// LimitFunc returns the limits of an account over all daemons; 0 means none.
type LimitFunc func(core.AccountID) (requestsPerS, tokensPerS float64, concurrency int)

const (
	usageTimeout = 500 * time.Millisecond
	// reportLife is how many report intervals a report counts; one may be lost.
	reportLife = 3
	// maxAccounts bounds the accounts that one daemon adds up, so that a faulty
	// peer cannot exhaust the memory. It is well above 1,300.
	maxAccounts = 8192
	// poolPrefix marks entries that add up the backlog of all accounts in one
	// pool. No account is named so.
	poolPrefix = "\x00pool/"
)

// report is the use of one account as its sender reported it last.
type report struct {
	usage limits.AccountUsage
	at    time.Time
}

// account holds the reports for an account of which this daemon is the home.
type account struct {
	// byDaemon holds reports of daemons of this data centre, byCenter the sums of
	// other data centres.
	byDaemon map[core.InstanceID]report
	byCenter map[core.DataCenterID]report
}

// usageState adds up the use of the accounts whose home is this daemon.
type usageState struct {
	mu       sync.Mutex
	accounts map[core.AccountID]*account
}

func (u *usageState) init() { u.accounts = map[core.AccountID]*account{} }

// forget drops the reports of a daemon that stops.
func (u *usageState) forget(id core.InstanceID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, a := range u.accounts {
		delete(a.byDaemon, id)
	}
}

// record takes a report. It returns the totals of its accounts, or, for a
// summary of another data centre, the sums of this one.
func (u *usageState) record(now time.Time, life time.Duration, r UsageReport) []limits.AccountUsage {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]limits.AccountUsage, 0, len(r.Accounts))
	for _, a := range r.Accounts {
		acc := u.accounts[a.Account]
		if acc == nil {
			if len(u.accounts) >= maxAccounts {
				continue
			}
			acc = &account{byDaemon: map[core.InstanceID]report{}, byCenter: map[core.DataCenterID]report{}}
			u.accounts[a.Account] = acc
		}
		if r.Summary {
			acc.byCenter[r.DataCenter] = report{a, now}
			out = append(out, acc.local(a.Account, now, life))
		} else {
			acc.byDaemon[r.Instance] = report{a, now}
			out = append(out, acc.total(a.Account, now, life))
		}
	}
	return out
}

func (a *account) local(id core.AccountID, now time.Time, life time.Duration) limits.AccountUsage {
	sum := limits.AccountUsage{Account: id}
	for _, k := range slices.Sorted(maps.Keys(a.byDaemon)) {
		addRecent(&sum, a.byDaemon[k], now, life)
	}
	return sum
}

func (a *account) total(id core.AccountID, now time.Time, life time.Duration) limits.AccountUsage {
	sum := a.local(id, now, life)
	for _, k := range slices.Sorted(maps.Keys(a.byCenter)) {
		addRecent(&sum, a.byCenter[k], now, life)
	}
	return sum
}

func addRecent(sum *limits.AccountUsage, r report, now time.Time, life time.Duration) {
	if now.Sub(r.at) > life {
		return
	}
	sum.RequestsPerS += r.usage.RequestsPerS
	sum.TokensPerS += r.usage.TokensPerS
	sum.InProgress += r.usage.InProgress
	for p, w := range r.usage.Backlog {
		if sum.Backlog == nil {
			sum.Backlog = map[core.PoolID]float64{}
		}
		sum.Backlog[p] += w
	}
}

// expire forgets old reports and accounts without any.
func (u *usageState) expire(now time.Time, life time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, a := range u.accounts {
		maps.DeleteFunc(a.byDaemon, func(_ core.InstanceID, r report) bool { return now.Sub(r.at) > life })
		maps.DeleteFunc(a.byCenter, func(_ core.DataCenterID, r report) bool { return now.Sub(r.at) > life })
		if len(a.byDaemon)+len(a.byCenter) == 0 {
			delete(u.accounts, id)
		}
	}
}

// summaries returns the sums of this data centre for the accounts whose total
// is above half of their limit, where a share must be exact.
func (u *usageState) summaries(now time.Time, life time.Duration, limit LimitFunc) []limits.AccountUsage {
	if limit == nil {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []limits.AccountUsage
	for id, a := range u.accounts {
		if strings.HasPrefix(string(id), poolPrefix) || len(a.byDaemon) == 0 {
			continue
		}
		rps, tps, conc := limit(id)
		t := a.total(id, now, life)
		if above(t.RequestsPerS, rps) || above(t.TokensPerS, tps) || above(float64(t.InProgress), float64(conc)) {
			out = append(out, a.local(id, now, life))
		}
	}
	return out
}

func above(used, limit float64) bool { return limit > 0 && used > limit/2 }

// HandleUsage implements Handler.
func (c *Control) HandleUsage(r UsageReport) []limits.AccountUsage {
	return c.usage.record(time.Now(), c.reportLife(), r)
}

func (c *Control) reportLife() time.Duration {
	return reportLife * membership.UsageInterval(c.Daemons())
}

// reportUsage sends the use of accounts on this daemon to their homes and hands
// the totals to the sink.
func (c *Control) reportUsage() {
	now, life := time.Now(), c.reportLife()
	c.usage.expire(now, life)
	daemons := append([]core.Instance{{ID: c.o.Self, Address: c.o.Address, DataCenter: c.o.DataCenter}}, c.peerList()...)
	c.sendSummaries(now, life, daemons)
	if c.o.Usage == nil {
		return
	}
	byHome := c.byHome(withPools(c.o.Usage.Snapshot()), c.o.DataCenter, daemons)
	homes := homesOf(byHome)
	answers := gather(homes, leaveParallel, func(h core.Instance) []limits.AccountUsage {
		totals, _ := c.report(h, UsageReport{Instance: c.o.Self, DataCenter: c.o.DataCenter, Accounts: byHome[h]})
		return totals
	})
	if c.o.Totals == nil {
		return
	}
	// Totals of this daemon alone would end the decay of its last shares.
	if c.peersSilent(time.Now()) {
		c.o.Totals.PeersCut(time.Now())
		return
	}
	c.o.Totals.SetTotals(time.Now(), mergePools(slices.Concat(answers...)))
}

// peersSilent says whether there are other daemons and none has answered of late.
func (c *Control) peersSilent(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Daemons() > 1 && now.Sub(c.peerAt) > peerSilence
}

// byHome groups entries by their home in a data centre. Home is ranked by
// instance, so that all daemons with the same list agree.
func (c *Control) byHome(entries []limits.AccountUsage, dc core.DataCenterID, daemons []core.Instance) map[core.Instance][]limits.AccountUsage {
	out := map[core.Instance][]limits.AccountUsage{}
	for _, a := range entries {
		if h, ok := membership.UsageAggregator(string(a.Account), dc, daemons); ok {
			out[h] = append(out[h], a)
		}
	}
	return out
}

func homesOf(byHome map[core.Instance][]limits.AccountUsage) []core.Instance {
	homes := slices.Collect(maps.Keys(byHome))
	slices.SortFunc(homes, func(a, b core.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return homes
}

// report sends a report to a home, which may be this daemon.
func (c *Control) report(h core.Instance, r UsageReport) ([]limits.AccountUsage, bool) {
	if h.ID == c.o.Self {
		return c.HandleUsage(r), true
	}
	ctx, cancel := context.WithTimeout(c.ctx, usageTimeout)
	defer cancel()
	totals, err := c.o.Peers.Usage(ctx, h.Address, r)
	if err != nil {
		return nil, false
	}
	return totals, true
}

// sendSummaries exchanges sums with the homes in other data centres.
func (c *Control) sendSummaries(now time.Time, life time.Duration, daemons []core.Instance) {
	sums := c.usage.summaries(now, life, c.o.Limit)
	if len(sums) == 0 {
		return
	}
	for _, dc := range dataCenters(daemons) {
		if dc == c.o.DataCenter {
			continue
		}
		byHome := c.byHome(sums, dc, daemons)
		for _, h := range homesOf(byHome) {
			c.tasks.start(func() {
				theirs, ok := c.report(h, UsageReport{Instance: c.o.Self, DataCenter: c.o.DataCenter, Accounts: byHome[h], Summary: true})
				if ok {
					c.usage.record(time.Now(), life, UsageReport{DataCenter: dc, Accounts: theirs, Summary: true})
				}
			})
		}
	}
}

func dataCenters(daemons []core.Instance) []core.DataCenterID {
	var out []core.DataCenterID
	for _, d := range daemons {
		if !slices.Contains(out, d.DataCenter) {
			out = append(out, d.DataCenter)
		}
	}
	return out
}

// withPools adds one entry for each pool with a backlog. A daemon's part of a
// pool depends on all accounts backlogged there, also on those it does not serve.
func withPools(in []limits.AccountUsage) []limits.AccountUsage {
	pools := map[core.PoolID]float64{}
	for _, a := range in {
		for p, w := range a.Backlog {
			pools[p] += w
		}
	}
	out := slices.Clone(in)
	for _, p := range slices.Sorted(maps.Keys(pools)) {
		out = append(out, limits.AccountUsage{Account: core.AccountID(poolPrefix + string(p)), Backlog: map[core.PoolID]float64{p: pools[p]}})
	}
	return out
}

// mergePools replaces the entries of pools by one entry with an empty account.
// The others lose their backlog, which it contains, so that a sum over all
// entries is the backlogged weight of each pool.
func mergePools(in []limits.AccountUsage) []limits.AccountUsage {
	all := limits.AccountUsage{Backlog: map[core.PoolID]float64{}}
	out := make([]limits.AccountUsage, 0, len(in)+1)
	for _, a := range in {
		if !strings.HasPrefix(string(a.Account), poolPrefix) {
			a.Backlog = nil
			out = append(out, a)
			continue
		}
		for p, w := range a.Backlog {
			all.Backlog[p] += w
		}
	}
	return append(out, all)
}
