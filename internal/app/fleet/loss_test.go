package fleet

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// eventRecorder records what happens to peers.
type eventRecorder struct {
	noEvents
	leaving int
	losses  []Loss
}

func (r *eventRecorder) PeerLeaving(Member)        { r.leaving++ }
func (r *eventRecorder) PeerLost(_ Member, l Loss) { r.losses = append(r.losses, l) }

// Guards against a loss of a peer that does not tell whether the peer was silent or has been
// started again, and whether its end was planned.
func TestALossTellsHowThePeerEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		events := &eventRecorder{}
		f := New(Options{Self: member(0), Events: events, Source: func() *Status { return &Status{} }, OnStatus: func(*Status) {}, Now: time.Now})
		hear := func(incarnation int64, leaving bool, wait time.Duration) {
			f.receive(&Status{Member: member(1), Incarnation: incarnation, Leaving: leaving})
			time.Sleep(wait)
		}
		hear(1, false, time.Second)
		hear(1, true, time.Second)
		hear(1, true, 600*time.Millisecond)
		hear(2, false, 2*time.Second)
		f.expirePeers()
		want := []Loss{
			{Reason: LossRestarted, Silent: 600 * time.Millisecond, Leaving: true, LeavingFor: 1600 * time.Millisecond},
			{Reason: LossSilent, Silent: 2 * time.Second},
		}
		if !slices.Equal(events.losses, want) || events.leaving != 1 {
			t.Errorf("%d announced stops, losses %+v, want %+v", events.leaving, events.losses, want)
		}
	})
}
