// Package membership decides which instances a daemon may use. It merges the
// instance list, announced leaves and the knowledge of peers into one view, and
// tracks how old that view is. A leave is the announcement that an instance will
// stop and must get no new work.
package membership

import (
	"time"

	"eelgrassgrade/internal/core"
)

// MaxViewAge is the age of a view above which no new work is dispatched. Relaying
// a leave to all daemons takes less than 1 s, so a leaving endpoint gets no new
// work later than 3 s after the announcement.
const MaxViewAge = 2 * time.Second

// View is an immutable snapshot of the instances. Readers share it; a change is
// published as a new View.
type View struct {
	// Endpoints holds the live endpoints of each pool, ordered by ID. Leaving
	// endpoints are not in it.
	Endpoints map[core.PoolID][]core.Endpoint
	// Daemons holds the other live daemons, ordered by ID.
	Daemons []core.Instance
	// Leaving holds the instances that are leaving.
	Leaving map[core.InstanceID]bool
	// AsOf is the latest time at which the view is known to have been current, by
	// the monotonic clock.
	AsOf time.Time
}

// Age returns the time from AsOf to now.
func (v *View) Age(now time.Time) time.Duration { return now.Sub(v.AsOf) }

// Build returns the view of the daemon self that follows from the instance list
// and the set of announced leaves.
func Build(self core.InstanceID, list []core.Instance, announced map[core.InstanceID]bool, asOf time.Time) *View {
	v := &View{
		Endpoints: map[core.PoolID][]core.Endpoint{},
		Leaving:   map[core.InstanceID]bool{},
		AsOf:      asOf,
	}
	for id := range announced {
		v.Leaving[id] = true
	}
	for _, i := range list {
		if i.State == core.Leaving {
			v.Leaving[i.ID] = true
		}
		switch {
		case v.Leaving[i.ID]:
		case i.Role == core.RoleEndpoint:
			v.Endpoints[i.Pool] = append(v.Endpoints[i.Pool], i.Endpoint())
		case i.ID != self:
			v.Daemons = append(v.Daemons, i)
		}
	}
	return v
}
