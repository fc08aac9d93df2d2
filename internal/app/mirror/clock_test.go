package mirror

import (
	"strings"
	"testing"
	"time"
)

// Guards against ages that follow the time of day: set back by seconds, an outage
// that has ended would be taken for one of a moment ago, and endpoints that are gone
// would get work; and the silence of the store would be hidden.
func TestAgesDoNotFollowTheTimeOfDay(t *testing.T) {
	table := NewTable("t", nil)
	f := &Follower{Table: table}
	f.applyAnswer(Batch{Version: 1})
	table.recoveredAt.Store(time.Now())
	table.notePeerOutageEnd(time.Now())
	for name, at := range map[string]time.Time{"answered": table.LastAnswer(), "recovered": table.OutageEnd(time.Now()), "told": table.peerOutageEnd.Load()} {
		if !strings.Contains(at.String(), "m=") {
			t.Errorf("the time %s has no monotonic reading: %v", name, at)
		}
	}
}
