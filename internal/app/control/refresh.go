package control

import (
	"context"
	"sync"
	"time"

	"eelgrassgrade/internal/decide/membership"
)

const (
	listTimeout = time.Second
	// refreshAge is the view age above which peers are asked besides the regular
	// exchanges; fullRefreshAge is that above which the list and the leave records
	// are read too. Both leave time before dispatch stops at 2 s.
	refreshAge     = 1000 * time.Millisecond
	fullRefreshAge = 1400 * time.Millisecond
	// refreshPause limits what a daemon asks of a platform that is down.
	refreshPause = 500 * time.Millisecond
	refreshPeers = 3
	// oldList is how much newer a peer's list must be to be asked for. It is well
	// above the intervals of list readings.
	oldList = 10 * time.Second
)

// checkPause looks for a pause of the process, or a view that has grown too
// old. In both cases leaves may have been missed: nothing is dispatched until
// they are asked for again. Every merge calls it first, so that a pause is
// noticed even if an answer is handled before the next tick. c.mu is held.
func (c *Control) checkPause(now time.Time) bool {
	// Round strips the monotonic reading, so that the wall clock is compared.
	paused := c.pause.Tick(now.Sub(c.base), now.Round(0))
	until := c.freshUntil.Load()
	switch {
	case paused:
		c.unconfirmed, c.unconfirmedAt = true, now
		c.freshUntil.Store(-1)
	case !c.unconfirmed && until >= 0 && int64(now.Sub(c.base)) > until:
		c.unconfirmed, c.unconfirmedAt = true, c.base.Add(time.Duration(until))
		c.freshUntil.Store(-1)
	}
	return paused
}

// confirm ends the state of unconfirmed leaves if the answer that names them
// was asked for late enough. c.mu is held.
func (c *Control) confirm(asked time.Time) {
	if !asked.Before(c.unconfirmedAt) {
		c.unconfirmed = false
	}
}

// publish makes the view from the state. It returns the peer addresses if they
// may have changed, else nil. c.mu is held.
func (c *Control) publish() []string {
	old := c.view.Load()
	v := c.state.View(old)
	if v == nil {
		return nil
	}
	c.view.Store(v)
	if c.unconfirmed {
		c.freshUntil.Store(-1)
	} else {
		c.freshUntil.Store(int64(v.AsOf.Add(membership.MaxViewAge).Sub(c.base)))
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

// update merges what was learnt under the lock, publishes the view and relays
// the leaves that were new.
func (c *Control) update(merge func(now time.Time) []membership.Leave) (fresh []membership.Leave) {
	c.mu.Lock()
	now := time.Now()
	if c.checkPause(now) {
		defer c.refreshSoon()
	}
	started := c.view.Load() != nil
	fresh = merge(now)
	addrs := c.publish()
	c.mu.Unlock()
	if addrs != nil {
		c.o.Peers.Retain(addrs)
	}
	for _, l := range fresh {
		c.log.Info().Str("leaving", string(l.Instance)).Msg("instance_leaves")
	}
	// What a daemon learns at its start is known elsewhere.
	if !started {
		return nil
	}
	return fresh
}

// tick runs every membership.TickInterval.
func (c *Control) tick() {
	c.mu.Lock()
	now := time.Now()
	paused := c.checkPause(now)
	unconfirmed, age := c.unconfirmed, now.Sub(c.state.ViewAsOf())
	due := now.Sub(c.refreshAt) >= refreshPause
	c.mu.Unlock()
	switch {
	case paused:
		c.log.Warn().Msg("pause_detected")
		c.refreshSoon()
	case due && (unconfirmed || age > fullRefreshAge):
		c.refreshSoon()
	case due && age > refreshAge:
		c.mu.Lock()
		c.refreshAt = now
		c.mu.Unlock()
		for range refreshPeers {
			c.tasks.start(func() { c.exchangeRandom(false) })
		}
	}
}

// refreshSoon starts a full refresh unless one is running.
func (c *Control) refreshSoon() {
	if c.refreshing.CompareAndSwap(false, true) {
		c.tasks.start(func() {
			defer c.refreshing.Store(false)
			c.refresh()
		})
	}
}

// refresh asks the instance list, the leave records and some peers at once. The
// list lags behind announced leaves, so it ends the state of unconfirmed leaves
// only if nothing else answers.
func (c *Control) refresh() {
	asked := time.Now()
	c.mu.Lock()
	c.refreshAt = asked
	c.mu.Unlock()
	listed := false
	var wg sync.WaitGroup
	wg.Go(func() { listed = c.readList(c.ctx) })
	wg.Go(func() { c.readTable(c.ctx) })
	for range refreshPeers {
		wg.Go(func() { c.exchangeRandom(false) })
	}
	wg.Wait()
	if listed {
		c.update(func(time.Time) []membership.Leave {
			c.confirm(asked)
			return nil
		})
	}
}

// readList reads the instance list and says whether it answered.
func (c *Control) readList(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	asked := time.Now()
	list, err := c.o.List.List(ctx)
	c.outcome("instance list", err)
	if err != nil {
		return false
	}
	fresh := c.update(func(time.Time) []membership.Leave { return c.state.ApplyList(asked, list) })
	c.relay(Events{Leaving: fresh, HopsLeft: maxHops})
	return true
}
