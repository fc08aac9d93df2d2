package daemon

import (
	"context"
	"time"
)

const (
	// nonRepeatableWritesPerS is the part of the table service's 300 writes/s that is
	// available, over all daemons, to calls that may not be repeated. The remainder is
	// for leases (7.5/s), configuration and announced leaves.
	nonRepeatableWritesPerS = 270
	shareUpdateInterval     = time.Second
)

// updateShares adjusts this daemon's shares of table writes and of account limits to
// the number of daemons every shareUpdateInterval until ctx ends.
func (d *Daemon) updateShares(ctx context.Context) {
	t := time.NewTicker(shareUpdateInterval)
	defer t.Stop()
	for {
		n := d.control.Daemons()
		d.once.SetWriteShare(nonRepeatableWritesPerS / float64(n))
		d.sched.SetDaemons(n)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
