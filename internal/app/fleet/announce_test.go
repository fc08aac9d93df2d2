package fleet

import (
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

// prefillTokens returns the prompt tokens that a fleet counts on an endpoint.
func prefillTokens(f *Fleet, e core.InstanceID) int { return f.View().Loads[e].PrefillTokens }

// Guards against an engine that gets two long prompts from different daemons while
// others are idle, since the daemons of a large fleet exchange only every few seconds,
// and against prompts that count for longer than they are processed.
func TestALongPromptIsKnownAtOnce(t *testing.T) {
	startFleets(t, 62, func(net *network, list []*Fleet) {
		time.Sleep(6 * time.Second)
		net.loads.Store(&EndpointLoad{Endpoint: "e", Running: 1, PrefillTokens: 30_000})
		list[0].Announce(Prefill{Endpoint: "e", Tokens: 30_000, Remaining: 700 * time.Millisecond})
		time.Sleep(5*time.Millisecond + maxViewAge)
		for i, f := range list[1:] {
			if got := prefillTokens(f, "e"); got != 30_000 {
				t.Errorf("daemon %d counts %d prompt tokens, want 30,000", i+1, got)
			}
		}
		time.Sleep(700 * time.Millisecond)
		net.loads.Store(nil)
		// Daemons that learned of the prompt by a status learn of its end by the next one.
		time.Sleep(3 * time.Second)
		for i, f := range list[1:] {
			if got := prefillTokens(f, "e"); got != 0 {
				t.Errorf("daemon %d counts %d prompt tokens after they were processed", i+1, got)
			}
		}
	})
}

// Guards against a prompt that counts twice, by its announcement and by its daemon's
// status, and against prompts of lost daemons that still count.
func TestAStatusReplacesAnnouncements(t *testing.T) {
	startFleets(t, 2, func(net *network, list []*Fleet) {
		member := list[0].self
		net.loads.Store(&EndpointLoad{Endpoint: "e", Running: 1, PrefillTokens: 9000})
		list[1].HandleAnnounce(Prefill{From: member.Address, Endpoint: "e", Tokens: 9000, Remaining: time.Minute})
		time.Sleep(3 * exchangeInterval)
		if got := prefillTokens(list[1], "e"); got != 9000 {
			t.Errorf("%d prompt tokens after the status that reports 9,000", got)
		}
		list[1].HandleAnnounce(Prefill{From: member.Address, Endpoint: "f", Tokens: 9000, Remaining: time.Minute})
		list[1].HandleAnnounce(Prefill{From: "unknown", Endpoint: "f", Tokens: 9000, Remaining: time.Minute})
		net.setCut(member.Address, true)
		time.Sleep(3 * time.Second)
		if got := prefillTokens(list[1], "f"); got != 0 {
			t.Errorf("%d prompt tokens of a lost daemon", got)
		}
	})
}

// Guards against a flood of long prompts whose announcements use up a daemon's bandwidth
// for control traffic or its receivers' memory.
func TestAnnouncementsAreBounded(t *testing.T) {
	startFleets(t, 20, func(net *network, list []*Fleet) {
		const seconds = 5
		for range 100 * seconds {
			list[0].Announce(Prefill{Endpoint: "e", Tokens: 9000, Remaining: time.Minute})
			time.Sleep(10 * time.Millisecond)
		}
		if n, most := int(net.announced.Load()), announcementBurst+announcementsPerSecond*(seconds+1); n > most {
			t.Errorf("%d announcements in %d s, want %d at most", n, seconds, most)
		}
		for range 2 * maxPrefillsPerPeer {
			list[1].HandleAnnounce(Prefill{From: list[0].self.Address, Endpoint: "e", Tokens: 1, Remaining: time.Minute})
		}
		if n := len(list[1].peers[list[0].self.Address].prefills); n > maxPrefillsPerPeer {
			t.Errorf("%d prompts of one daemon are kept", n)
		}
	})
}

// Guards against processed prompts that still count because no status or announcement
// triggers a new view.
func TestAnAnnouncementExpires(t *testing.T) {
	startFleets(t, 2, func(net *network, list []*Fleet) {
		net.setMute("a0", true)
		net.setMute("a1", true)
		list[1].HandleAnnounce(Prefill{From: "a0", Endpoint: "e", Tokens: 9000, Remaining: 200 * time.Millisecond})
		time.Sleep(maxViewAge)
		before := prefillTokens(list[1], "e")
		time.Sleep(300 * time.Millisecond)
		if after := prefillTokens(list[1], "e"); before != 9000 || after != 0 {
			t.Errorf("%d prompt tokens at once, %d after they were processed", before, after)
		}
	})
}

// Guards against announcements in a fleet of hundreds: every daemon would send them to
// every other, so the number of messages would grow with the square of the fleet size.
func TestALargeFleetSendsNoAnnouncements(t *testing.T) {
	startFleets(t, mediumFleet+20, func(net *network, list []*Fleet) {
		time.Sleep(4 * time.Second)
		list[0].Announce(Prefill{Endpoint: "e", Tokens: 30_000, Remaining: time.Second})
		time.Sleep(maxViewAge)
		if n := net.announced.Load(); n != 0 {
			t.Errorf("%d announcements", n)
		}
	})
}
