package mirror

import (
	"strings"
	"testing"
	"time"
)

// Guards against ages that are computed from the wall clock. If it were set back by
// some seconds, an outage that ended before would seem to have ended just now, so
// that endpoints that are gone would get work, and the store would seem to have
// answered more recently than it did.
func TestTimesHaveAMonotonicReading(t *testing.T) {
	table := NewTable("t", nil)
	f := &Follower{Table: table}
	f.applyAnswer(Batch{Position: at(1)})
	table.recoveredAt.Store(time.Now())
	table.notePeerOutageEnd(time.Now())
	for name, at := range map[string]time.Time{"LastAnswer": table.LastAnswer(), "OutageEnd": table.OutageEnd(time.Now()), "peerOutageEnd": table.peerOutageEnd.Load()} {
		if !strings.Contains(at.String(), "m=") {
			t.Errorf("%s has no monotonic clock reading: %v", name, at)
		}
	}
}
