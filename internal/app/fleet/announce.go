package fleet

import (
	"context"
	"slices"
	"time"

	"eelgrassgrade/internal/core"
)

const (
	// announcementsPerSecond and announcementBurst bound the announcements that a daemon
	// sends, counted per receiver. At about 150 bytes each, they stay within a third of
	// the bandwidth that a daemon may use for control traffic.
	announcementsPerSecond = 40
	announcementBurst      = 160
	// maxStatusDelay is how long before its arrival a status may have been built. Such
	// a status does not cover prompts that were announced after it was built.
	maxStatusDelay = 2 * maxStatusAge
	// maxPrefillsPerPeer bounds the announced prompts that are kept for one peer.
	maxPrefillsPerPeer = 32
)

// Prefill is a long prompt that a daemon has sent to an endpoint and that the endpoint
// still has to process.
type Prefill struct {
	// From is the address of the sending daemon.
	From     string
	Endpoint core.InstanceID
	// Tokens is the number of prompt tokens that the endpoint has to process, and
	// Remaining the time that this takes.
	Tokens    int
	Remaining time.Duration
}

// announcedPrefill is a peer's announced Prefill. It is kept until endsAt or until a
// status of the peer covers it.
type announcedPrefill struct {
	Prefill
	receivedAt, endsAt time.Time
}

// Announce announces a long prompt to the live daemons and does not wait for them. If
// they learned of it only by the next exchange, they would send the endpoint more work
// until then. Daemons beyond the bound on announcements, and all daemons in a fleet
// larger than mediumFleet, learn of the prompt by the next exchange.
func (f *Fleet) Announce(r Prefill) {
	r.From = f.self.Address
	alive := f.View().Alive
	if len(alive) > mediumFleet {
		return
	}
	for _, m := range alive {
		if m.Address == f.self.Address || !f.announceLimiter.Allow() {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
			defer cancel()
			// A daemon that misses the announcement learns of the prompt by an exchange.
			_ = f.transport.Announce(ctx, m.Address, r)
		}()
	}
}

// HandleAnnounce records an announcement of another daemon.
func (f *Fleet) HandleAnnounce(r Prefill) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[r.From]
	if p == nil || !p.alive || len(p.prefills) >= maxPrefillsPerPeer || p.reports(r) {
		return
	}
	p.prefills = append(p.prefills, announcedPrefill{r, f.now(), f.now().Add(r.Remaining)})
	f.viewOutdated.Store(true)
}

// reports says whether the peer's last status covers the prompt.
func (p *peer) reports(r Prefill) bool {
	return slices.ContainsFunc(p.status.Loads, func(l EndpointLoad) bool { return l.Endpoint == r.Endpoint && l.PrefillTokens >= r.Tokens })
}

// dropReportedPrefills drops the announced prompts that the peer's new status covers,
// and those that it would cover if they were still being processed. The caller holds
// mu.
func (f *Fleet) dropReportedPrefills(p *peer) {
	if len(p.prefills) == 0 {
		return
	}
	now := f.now()
	p.prefills = slices.DeleteFunc(p.prefills, func(r announcedPrefill) bool {
		return p.reports(r.Prefill) || now.Sub(r.receivedAt) >= maxStatusDelay || !now.Before(r.endsAt)
	})
	f.viewOutdated.Store(true)
}

// addPrefills adds the announced prompts that are still being processed to the loads of
// a view. The caller holds mu.
func (f *Fleet) addPrefills(v *View, now time.Time) {
	for _, p := range f.peers {
		for _, r := range p.prefills {
			if !now.Before(r.endsAt) {
				continue
			}
			l := v.Loads[r.Endpoint]
			if v.Ages != nil {
				v.Ages[r.Endpoint] = v.Ages[r.Endpoint].with(l, r, now)
			}
			l.Endpoint = r.Endpoint
			l.Running++
			l.PrefillTokens += r.Tokens
			v.Loads[r.Endpoint] = l
			if v.expiresAt.IsZero() || r.endsAt.Before(v.expiresAt) {
				v.expiresAt = r.endsAt
			}
		}
	}
}

// with returns the age of the load l after an announced prompt was added to it.
func (a LoadAge) with(l EndpointLoad, r announcedPrefill, now time.Time) LoadAge {
	age := now.Sub(r.receivedAt)
	return LoadAge{
		Running:       a.Running + (age-a.Running)/time.Duration(l.Running+1),
		PrefillTokens: a.PrefillTokens + time.Duration(float64(age-a.PrefillTokens)*float64(r.Tokens)/float64(max(l.PrefillTokens+r.Tokens, 1))),
	}
}
