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

// LimitFunc returns the limits of an account over all daemons; 0 means no limit.
type LimitFunc func(core.AccountID) (requestsPerS, tokensPerS float64, concurrency int)

const (
	usageTimeout = 500 * time.Millisecond
	// reportLifetimeIntervals is the number of report intervals for which a report
	// counts. A single lost report therefore does not change the sums.
	reportLifetimeIntervals = 3
	// maxAggregatedAccounts limits the accounts that one daemon aggregates, so that a
	// faulty peer cannot exhaust its memory. It is well above the expected 1,300
	// accounts.
	maxAggregatedAccounts = 8192
	// poolEntryPrefix marks entries that hold the summed backlog of all accounts in
	// one pool. No account ID starts with it.
	poolEntryPrefix = "\x00pool/"
)

// reportedUsage is the usage of one account as last reported by one sender.
type reportedUsage struct {
	usage limits.AccountUsage
	at    time.Time
}

// accountReports holds the reports for one account that this daemon aggregates.
type accountReports struct {
	// byDaemon holds the reports of daemons in this data centre, byDataCenter the
	// sums of other data centres.
	byDaemon     map[core.InstanceID]reportedUsage
	byDataCenter map[core.DataCenterID]reportedUsage
}

// usageState sums the usage of the accounts for which this daemon is the
// aggregator. Each account has one aggregator per data centre.
type usageState struct {
	mu       sync.Mutex
	accounts map[core.AccountID]*accountReports
}

func (u *usageState) init() { u.accounts = map[core.AccountID]*accountReports{} }

// forgetDaemon removes the reports of a daemon that stops.
func (u *usageState) forgetDaemon(id core.InstanceID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, a := range u.accounts {
		delete(a.byDaemon, id)
	}
}

// addReport stores a report. It returns the totals over all data centres for the
// accounts in the report or, if the report is the summary of another data centre,
// their sums in this one.
func (u *usageState) addReport(now time.Time, lifetime time.Duration, r UsageReport) []limits.AccountUsage {
	u.mu.Lock()
	defer u.mu.Unlock()
	results := make([]limits.AccountUsage, 0, len(r.Accounts))
	for _, a := range r.Accounts {
		acc := u.accounts[a.Account]
		if acc == nil {
			if len(u.accounts) >= maxAggregatedAccounts {
				continue
			}
			acc = &accountReports{byDaemon: map[core.InstanceID]reportedUsage{}, byDataCenter: map[core.DataCenterID]reportedUsage{}}
			u.accounts[a.Account] = acc
		}
		if r.Summary {
			acc.byDataCenter[r.DataCenter] = reportedUsage{a, now}
			results = append(results, acc.localSum(a.Account, now, lifetime))
		} else {
			acc.byDaemon[r.Instance] = reportedUsage{a, now}
			results = append(results, acc.globalSum(a.Account, now, lifetime))
		}
	}
	return results
}

// localSum returns the usage in this data centre.
func (a *accountReports) localSum(id core.AccountID, now time.Time, lifetime time.Duration) limits.AccountUsage {
	sum := limits.AccountUsage{Account: id}
	for _, k := range slices.Sorted(maps.Keys(a.byDaemon)) {
		addRecent(&sum, a.byDaemon[k], now, lifetime)
	}
	return sum
}

// globalSum returns the usage over all data centres.
func (a *accountReports) globalSum(id core.AccountID, now time.Time, lifetime time.Duration) limits.AccountUsage {
	sum := a.localSum(id, now, lifetime)
	for _, k := range slices.Sorted(maps.Keys(a.byDataCenter)) {
		addRecent(&sum, a.byDataCenter[k], now, lifetime)
	}
	return sum
}

// addRecent adds a report to sum unless the report is older than lifetime.
func addRecent(sum *limits.AccountUsage, r reportedUsage, now time.Time, lifetime time.Duration) {
	if now.Sub(r.at) > lifetime {
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

// expire removes reports older than lifetime and accounts without reports.
func (u *usageState) expire(now time.Time, lifetime time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, a := range u.accounts {
		maps.DeleteFunc(a.byDaemon, func(_ core.InstanceID, r reportedUsage) bool { return now.Sub(r.at) > lifetime })
		maps.DeleteFunc(a.byDataCenter, func(_ core.DataCenterID, r reportedUsage) bool { return now.Sub(r.at) > lifetime })
		if len(a.byDaemon)+len(a.byDataCenter) == 0 {
			delete(u.accounts, id)
		}
	}
}

// summaries returns the sums in this data centre for the accounts whose total is
// above half of a limit; only for these must shares of the limit be exact.
func (u *usageState) summaries(now time.Time, lifetime time.Duration, limit LimitFunc) []limits.AccountUsage {
	if limit == nil {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	var sums []limits.AccountUsage
	for id, a := range u.accounts {
		if strings.HasPrefix(string(id), poolEntryPrefix) || len(a.byDaemon) == 0 {
			continue
		}
		rps, tps, conc := limit(id)
		t := a.globalSum(id, now, lifetime)
		if aboveHalf(t.RequestsPerS, rps) || aboveHalf(t.TokensPerS, tps) || aboveHalf(float64(t.InProgress), float64(conc)) {
			sums = append(sums, a.localSum(id, now, lifetime))
		}
	}
	return sums
}

func aboveHalf(used, limit float64) bool { return limit > 0 && used > limit/2 }

// HandleUsage implements Handler.
func (c *Control) HandleUsage(r UsageReport) []limits.AccountUsage {
	return c.usage.addReport(time.Now(), c.reportLifetime(), r)
}

func (c *Control) reportLifetime() time.Duration {
	return reportLifetimeIntervals * membership.UsageInterval(c.Daemons())
}

// reportUsage reports the usage of accounts on this daemon to their aggregators and
// passes the returned totals to opts.Totals.
func (c *Control) reportUsage() {
	now, lifetime := time.Now(), c.reportLifetime()
	c.usage.expire(now, lifetime)
	daemons := append([]core.Instance{{ID: c.opts.Self, Address: c.opts.Address, DataCenter: c.opts.DataCenter}}, c.peerList()...)
	c.sendSummaries(now, lifetime, daemons)
	if c.opts.Usage == nil {
		return
	}
	byAggregator := c.groupByAggregator(addPoolEntries(c.opts.Usage.Snapshot()), c.opts.DataCenter, daemons)
	aggregators := sortedAggregators(byAggregator)
	answers := gather(aggregators, maxParallelCalls, func(aggregator core.Instance) []limits.AccountUsage {
		totals, _ := c.sendReport(aggregator, UsageReport{Instance: c.opts.Self, DataCenter: c.opts.DataCenter, Accounts: byAggregator[aggregator]})
		return totals
	})
	if c.opts.Totals == nil {
		return
	}
	// While peers are unreachable, the last known shares decay. Totals of this daemon
	// alone would end that decay.
	if c.peersSilent(time.Now()) {
		c.opts.Totals.PeersUnreachable(time.Now())
		return
	}
	c.opts.Totals.SetTotals(time.Now(), mergePoolEntries(slices.Concat(answers...)))
}

// peersSilent reports whether there are other daemons and none has replied within
// maxPeerSilence.
func (c *Control) peersSilent(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Daemons() > 1 && now.Sub(c.lastPeerReplyAt) > maxPeerSilence
}

// groupByAggregator groups entries by the daemon of the data centre that aggregates
// their account. The choice depends only on the instance IDs, so that all daemons
// with the same list agree.
func (c *Control) groupByAggregator(entries []limits.AccountUsage, dc core.DataCenterID, daemons []core.Instance) map[core.Instance][]limits.AccountUsage {
	groups := map[core.Instance][]limits.AccountUsage{}
	for _, a := range entries {
		if aggregator, ok := membership.UsageAggregator(string(a.Account), dc, daemons); ok {
			groups[aggregator] = append(groups[aggregator], a)
		}
	}
	return groups
}

// sortedAggregators returns the keys of byAggregator ordered by instance ID.
func sortedAggregators(byAggregator map[core.Instance][]limits.AccountUsage) []core.Instance {
	aggregators := slices.Collect(maps.Keys(byAggregator))
	slices.SortFunc(aggregators, func(a, b core.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return aggregators
}

// sendReport sends a report to an aggregator, which may be this daemon, and returns
// its reply and whether the call succeeded.
func (c *Control) sendReport(aggregator core.Instance, r UsageReport) ([]limits.AccountUsage, bool) {
	if aggregator.ID == c.opts.Self {
		return c.HandleUsage(r), true
	}
	ctx, cancel := context.WithTimeout(c.ctx, usageTimeout)
	defer cancel()
	totals, err := c.opts.Peers.Usage(ctx, aggregator.Address, r)
	if err != nil {
		return nil, false
	}
	return totals, true
}

// sendSummaries exchanges sums with the aggregators in other data centres.
func (c *Control) sendSummaries(now time.Time, lifetime time.Duration, daemons []core.Instance) {
	sums := c.usage.summaries(now, lifetime, c.opts.Limit)
	if len(sums) == 0 {
		return
	}
	for _, dc := range dataCenters(daemons) {
		if dc == c.opts.DataCenter {
			continue
		}
		byAggregator := c.groupByAggregator(sums, dc, daemons)
		for _, aggregator := range sortedAggregators(byAggregator) {
			c.tasks.start(func() {
				remoteSums, ok := c.sendReport(aggregator, UsageReport{Instance: c.opts.Self, DataCenter: c.opts.DataCenter, Accounts: byAggregator[aggregator], Summary: true})
				if ok {
					c.usage.addReport(time.Now(), lifetime, UsageReport{DataCenter: dc, Accounts: remoteSums, Summary: true})
				}
			})
		}
	}
}

func dataCenters(daemons []core.Instance) []core.DataCenterID {
	var dataCenterIDs []core.DataCenterID
	for _, d := range daemons {
		if !slices.Contains(dataCenterIDs, d.DataCenter) {
			dataCenterIDs = append(dataCenterIDs, d.DataCenter)
		}
	}
	return dataCenterIDs
}

// addPoolEntries adds one entry for each pool with a backlog. A daemon's share of a
// pool depends on all accounts backlogged there, including those that it does not
// serve.
func addPoolEntries(entries []limits.AccountUsage) []limits.AccountUsage {
	pools := map[core.PoolID]float64{}
	for _, a := range entries {
		for p, w := range a.Backlog {
			pools[p] += w
		}
	}
	withPools := slices.Clone(entries)
	for _, p := range slices.Sorted(maps.Keys(pools)) {
		withPools = append(withPools, limits.AccountUsage{Account: core.AccountID(poolEntryPrefix + string(p)), Backlog: map[core.PoolID]float64{p: pools[p]}})
	}
	return withPools
}

// mergePoolEntries replaces the pool entries by one entry with an empty account ID.
// It removes the backlog from the account entries, because the pool entries already
// contain it: summed over all entries, the backlog of a pool counts once.
func mergePoolEntries(entries []limits.AccountUsage) []limits.AccountUsage {
	poolTotals := limits.AccountUsage{Backlog: map[core.PoolID]float64{}}
	merged := make([]limits.AccountUsage, 0, len(entries)+1)
	for _, a := range entries {
		if !strings.HasPrefix(string(a.Account), poolEntryPrefix) {
			a.Backlog = nil
			merged = append(merged, a)
			continue
		}
		for p, w := range a.Backlog {
			poolTotals.Backlog[p] += w
		}
	}
	return append(merged, poolTotals)
}
