package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"eelgrassgrade/internal/app/mirror"
)

const (
	// registrationCheckInterval is the time between two looks at the daemon's own entry,
	// and registrationTimeout the timeout of a write of it.
	registrationCheckInterval = time.Second
	registrationTimeout       = 2 * time.Second
	// registrationSpread is the time over which daemons spread the writes of entries that a
	// restoration took away. 330 daemons then write 110 a second, a quarter of what the
	// store takes.
	registrationSpread = 3 * time.Second
	// missingEntryDelay is how long an entry may be missing for another reason, such as a
	// copy that lags behind in a large fleet, before it is written again.
	missingEntryDelay = 30 * time.Second
)

// registration is the state of the daemon's own entry in the store's table of daemons.
type registration struct {
	// done is set once the entry was written.
	done bool
	// restorations is the count of the store's restorations when the entry was written.
	restorations int64
	missingSince time.Time
}

// isDue says whether the entry must be written: it never was, it is missing since the store
// was restored, or it has been missing for missingEntryDelay.
func (r *registration) isDue(now time.Time, listed *mirror.Snapshot, id string, entry []byte) bool {
	if !r.done {
		return true
	}
	if row, ok := listed.Rows[id]; ok && bytes.Equal(row.Value, entry) || listed.Position.Version == 0 {
		r.missingSince = time.Time{}
		return false
	}
	if r.missingSince.IsZero() {
		r.missingSince = now
	}
	return listed.Position.Restorations > r.restorations || now.Sub(r.missingSince) >= missingEntryDelay
}

// written records that the entry was written, as of the given copy of the table.
func (r *registration) written(listed *mirror.Snapshot) {
	*r = registration{done: true, restorations: listed.Position.Restorations}
}

// keepRegistered adds the daemon to the store's table of daemons, and adds it again if its
// entry is lost, until ctx ends or the daemon stops.
func (d *Daemon) keepRegistered(ctx context.Context) {
	entry, err := json.Marshal(daemonEntry{Address: d.settings.Listen.AdvertisePeers, DataCenter: d.settings.DataCenter})
	if err != nil {
		d.log.Error().Err(err).Msg("registration_failed")
		return
	}
	var r registration
	for due := true; ctx.Err() == nil && !d.stopping.Load(); due = r.isDue(time.Now(), d.daemonTable.Snapshot(), d.settings.Instance, entry) {
		if due && d.register(ctx, &r, entry) {
			d.log.Info().Int64("restorations", r.restorations).Msg("registered")
		}
		time.Sleep(registrationCheckInterval)
	}
}

// register writes the daemon's entry and reports whether that succeeded. An entry that was
// lost is written after a random time.
func (d *Daemon) register(ctx context.Context, r *registration, entry []byte) bool {
	if r.done {
		time.Sleep(rand.N(registrationSpread))
		if d.stopping.Load() || !r.isDue(time.Now(), d.daemonTable.Snapshot(), d.settings.Instance, entry) {
			return false
		}
	}
	listed := d.daemonTable.Snapshot()
	call, cancel := context.WithTimeout(ctx, registrationTimeout)
	defer cancel()
	if err := d.store.Put(call, daemonTableName, d.settings.Instance, entry); err != nil {
		d.log.Warn().Err(err).Msg("registration_failed")
		return false
	}
	r.written(listed)
	return true
}
