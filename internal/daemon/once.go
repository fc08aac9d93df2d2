package daemon

import (
	"context"
	"time"
)

const (
	// callWritesPerS is what calls that may not be repeated get of the table
	// service's 300 writes/s, over all daemons. The rest is for leases (7.5/s),
	// configuration and announced leaves.
	callWritesPerS = 270
	shareInterval  = time.Second
)

// shareCapacity keeps this daemon's shares of table writes and of limits in
// step with the number of daemons, until ctx ends.
func (d *Daemon) shareCapacity(ctx context.Context) {
	t := time.NewTicker(shareInterval)
	defer t.Stop()
	for {
		n := d.control.Daemons()
		d.once.SetWriteShare(callWritesPerS / float64(n))
		d.sched.SetDaemons(n)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
