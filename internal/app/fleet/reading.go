package fleet

import (
	"context"
	"slices"
	"time"

	"eelgrassgrade/internal/core"
)

const (
	// announcesPerS bounds the announcements that a daemon sends, each to one other, and
	// announceBurst those sent at once: at about 150 bytes each they stay within a third
	// of what a daemon may send for control.
	announcesPerS = 40
	announceBurst = 160
	// statusLag is how much earlier than its arrival a status may have been made: it
	// does not tell of prompts that were announced since.
	statusLag = 2 * statusAge
	// maxReadings bounds the announced prompts of one daemon that are counted.
	maxReadings = 32
)

// Reading is a long prompt that a daemon gives an endpoint to read.
type Reading struct {
	// From is the address of the daemon.
	From     string
	Endpoint core.InstanceID
	// Tokens is the number of prompt tokens that the endpoint has to read, Left the
	// time that this takes.
	Tokens int
	Left   time.Duration
}

// reading is a Reading of a peer until its time has passed or a status tells of it.
type reading struct {
	Reading
	heard, until time.Time
}

// Announce tells the live daemons of a long prompt. With the next exchange alone they
// would give the endpoint more to read meanwhile. It does not wait for them; beyond
// the bound on announcements some daemons hear with the next exchange, and in a fleet
// above midSize all do.
func (f *Fleet) Announce(r Reading) {
	r.From = f.self.Address
	alive := f.View().Alive
	if len(alive) > midSize {
		return
	}
	for _, m := range alive {
		if m.Address == f.self.Address || !f.announces.Allow() {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
			defer cancel()
			// A daemon that does not hear this learns of the prompt with an exchange.
			_ = f.transport.Announce(ctx, m.Address, r)
		}()
	}
}

// Announced takes in another daemon's announcement.
func (f *Fleet) Announced(r Reading) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[r.From]
	if p == nil || !p.alive || len(p.readings) >= maxReadings || p.tells(r) {
		return
	}
	p.readings = append(p.readings, reading{r, f.now(), f.now().Add(r.Left)})
	f.outdated.Store(true)
}

// tells says whether the peer's last status tells of a prompt.
func (p *peer) tells(r Reading) bool {
	return slices.ContainsFunc(p.status.Loads, func(l EndpointLoad) bool { return l.Endpoint == r.Endpoint && l.PrefillTokens >= r.Tokens })
}

// dropReadings drops the announced prompts of which the peer's new status tells, or
// which it would tell if they were still being read. The caller holds mu.
func (f *Fleet) dropReadings(p *peer) {
	if len(p.readings) == 0 {
		return
	}
	now := f.now()
	p.readings = slices.DeleteFunc(p.readings, func(r reading) bool {
		return p.tells(r.Reading) || now.Sub(r.heard) >= statusLag || !now.Before(r.until)
	})
	f.outdated.Store(true)
}

// addReadings adds the announced prompts that are still being read to a view's loads.
// The caller holds mu.
func (f *Fleet) addReadings(v *View, now time.Time) {
	for _, p := range f.peers {
		for _, r := range p.readings {
			if !now.Before(r.until) {
				continue
			}
			l := v.Loads[r.Endpoint]
			l.Endpoint = r.Endpoint
			l.Running++
			l.PrefillTokens += r.Tokens
			v.Loads[r.Endpoint] = l
			if v.stale.IsZero() || r.until.Before(v.stale) {
				v.stale = r.until
			}
		}
	}
}
