package control

import (
	"context"
	"sync"
	"time"

	"eelgrassgrade/internal/decide/membership"
)

const (
	listTimeout = time.Second
	// refreshAge is the view age above which extra exchanges with peers are started.
	// Above fullRefreshAge, the instance list and the leave records are read too.
	// Both leave time for a refresh before dispatching stops at a view age of 2 s.
	refreshAge     = 1000 * time.Millisecond
	fullRefreshAge = 1400 * time.Millisecond
	// minRefreshInterval limits the load that a daemon puts on a failing platform.
	minRefreshInterval = 500 * time.Millisecond
	// refreshExchanges is the number of extra exchanges in a refresh.
	refreshExchanges = 3
	// listLagToRequest is how much older than a peer's instance list this daemon's
	// list must be for the peer's list to be requested. It is well above the interval
	// of list reads.
	listLagToRequest = 10 * time.Second
)

// checkPause detects a pause of the process or a view that has become too old, and
// reports whether there was a pause. In both cases leaves may have been missed, so
// that dispatching stops until the leaves have been read again. It is called
// before every merge, so that a pause is noticed even if a reply is handled before
// the next tick. c.mu is held.
func (c *Control) checkPause(now time.Time) bool {
	// Round strips the monotonic clock reading, so that wall clock times are compared.
	paused := c.pause.Tick(now.Sub(c.epoch), now.Round(0))
	freshUntil := c.freshUntil.Load()
	switch {
	case paused:
		c.unconfirmed, c.unconfirmedSince = true, now
		c.freshUntil.Store(-1)
	case !c.unconfirmed && freshUntil >= 0 && int64(now.Sub(c.epoch)) > freshUntil:
		c.unconfirmed, c.unconfirmedSince = true, c.epoch.Add(time.Duration(freshUntil))
		c.freshUntil.Store(-1)
	}
	return paused
}

// confirmLeaves clears the unconfirmed state if the merged leaves were requested no
// earlier than its start. c.mu is held.
func (c *Control) confirmLeaves(requestedAt time.Time) {
	if !requestedAt.Before(c.unconfirmedSince) {
		c.unconfirmed = false
	}
}

// publishView builds the view from the state and publishes it. It returns the peer
// addresses if they may have changed, else nil. c.mu is held.
func (c *Control) publishView() []string {
	old := c.view.Load()
	v := c.state.View(old)
	if v == nil {
		return nil
	}
	c.view.Store(v)
	if c.unconfirmed {
		c.freshUntil.Store(-1)
	} else {
		c.freshUntil.Store(int64(v.AsOf.Add(membership.MaxViewAge).Sub(c.epoch)))
	}
	if old != nil && len(old.Daemons) == len(v.Daemons) && (len(v.Daemons) == 0 || &old.Daemons[0] == &v.Daemons[0]) {
		return nil
	}
	addrs := make([]string, len(v.Daemons))
	for i, d := range v.Daemons {
		addrs[i] = d.Address
	}
	return addrs
}

// updateView calls merge with c.mu held and publishes the changed view. merge
// returns the leaves that are new to this daemon; updateView returns those that
// the caller must relay.
func (c *Control) updateView(merge func(now time.Time) []membership.Leave) (newLeaves []membership.Leave) {
	c.mu.Lock()
	now := time.Now()
	if c.checkPause(now) {
		defer c.startRefresh()
	}
	hadView := c.view.Load() != nil
	newLeaves = merge(now)
	addrs := c.publishView()
	c.mu.Unlock()
	if addrs != nil {
		c.opts.Peers.Retain(addrs)
	}
	for _, l := range newLeaves {
		c.log.Info().Str("leaving", string(l.Instance)).Msg("instance_leaves")
	}
	// Leaves learned before the first view are already known to other daemons.
	if !hadView {
		return nil
	}
	return newLeaves
}

// tick checks for a pause and starts a refresh if the view is unconfirmed or old.
// It runs every membership.TickInterval.
func (c *Control) tick() {
	c.mu.Lock()
	now := time.Now()
	paused := c.checkPause(now)
	unconfirmed, age := c.unconfirmed, now.Sub(c.state.ViewAsOf())
	due := now.Sub(c.lastRefreshAt) >= minRefreshInterval
	c.mu.Unlock()
	switch {
	case paused:
		c.log.Warn().Msg("pause_detected")
		c.startRefresh()
	case due && (unconfirmed || age > fullRefreshAge):
		c.startRefresh()
	case due && age > refreshAge:
		c.mu.Lock()
		c.lastRefreshAt = now
		c.mu.Unlock()
		for range refreshExchanges {
			c.tasks.start(func() { c.exchangeRandom(false) })
		}
	}
}

// startRefresh starts a full refresh in the background unless one is running.
func (c *Control) startRefresh() {
	if c.refreshing.CompareAndSwap(false, true) {
		c.tasks.start(func() {
			defer c.refreshing.Store(false)
			c.refresh()
		})
	}
}

// refresh reads the instance list and the leave records and exchanges with some
// peers, all in parallel. The instance list lags behind announced leaves, so it
// clears the unconfirmed state only at the end, in case no other source replied.
func (c *Control) refresh() {
	requestedAt := time.Now()
	c.mu.Lock()
	c.lastRefreshAt = requestedAt
	c.mu.Unlock()
	listed := false
	var wg sync.WaitGroup
	wg.Go(func() { listed = c.readList(c.ctx) })
	wg.Go(func() { c.readLeaveRecords(c.ctx) })
	for range refreshExchanges {
		wg.Go(func() { c.exchangeRandom(false) })
	}
	wg.Wait()
	if listed {
		c.updateView(func(time.Time) []membership.Leave {
			c.confirmLeaves(requestedAt)
			return nil
		})
	}
}

// readList reads the instance list, merges it and reports whether the read
// succeeded.
func (c *Control) readList(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	requestedAt := time.Now()
	list, err := c.opts.List.List(ctx)
	c.logSourceState("instance list", err)
	if err != nil {
		return false
	}
	newLeaves := c.updateView(func(time.Time) []membership.Leave { return c.state.ApplyList(requestedAt, list) })
	c.relay(Events{Leaving: newLeaves, HopsLeft: maxHops})
	return true
}
