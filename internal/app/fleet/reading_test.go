package fleet

import (
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

// prefill returns the prompt tokens that a fleet counts on an endpoint.
func prefill(f *Fleet, e core.InstanceID) int { return f.View().Loads[e].PrefillTokens }

// Pattern: two daemons of a large fleet, which exchange every few seconds, get long
// prompts one after the other. Guards against an engine that gets both while others are
// idle, and against prompts that count longer than they are read.
func TestALongPromptIsKnownAtOnce(t *testing.T) {
	start(t, 62, func(net *network, list []*Fleet) {
		time.Sleep(6 * time.Second)
		net.loads.Store(&EndpointLoad{Endpoint: "e", Running: 1, PrefillTokens: 30_000})
		list[0].Announce(Reading{Endpoint: "e", Tokens: 30_000, Left: 700 * time.Millisecond})
		time.Sleep(5*time.Millisecond + viewAge)
		for i, f := range list[1:] {
			if got := prefill(f, "e"); got != 30_000 {
				t.Errorf("daemon %d counts %d tokens", i+1, got)
			}
		}
		time.Sleep(700 * time.Millisecond)
		net.loads.Store(nil)
		// Those that heard of the prompt by a status hear its end by the next one.
		time.Sleep(3 * time.Second)
		for i, f := range list[1:] {
			if got := prefill(f, "e"); got != 0 {
				t.Errorf("daemon %d counts %d tokens after they were read", i+1, got)
			}
		}
	})
}

// Guards against a prompt that counts twice, by its announcement and by the status of
// its daemon, and against those of daemons that are lost.
func TestAStatusReplacesAnnouncements(t *testing.T) {
	start(t, 2, func(net *network, list []*Fleet) {
		member := list[0].self
		net.loads.Store(&EndpointLoad{Endpoint: "e", Running: 1, PrefillTokens: 9000})
		list[1].Announced(Reading{From: member.Address, Endpoint: "e", Tokens: 9000, Left: time.Minute})
		time.Sleep(3 * interval)
		if got := prefill(list[1], "e"); got != 9000 {
			t.Errorf("%d tokens after the status that tells of 9,000", got)
		}
		list[1].Announced(Reading{From: member.Address, Endpoint: "f", Tokens: 9000, Left: time.Minute})
		list[1].Announced(Reading{From: "unknown", Endpoint: "f", Tokens: 9000, Left: time.Minute})
		net.set(member.Address, true)
		time.Sleep(3 * time.Second)
		if got := prefill(list[1], "f"); got != 0 {
			t.Errorf("%d tokens of a daemon that is lost", got)
		}
	})
}

// Pattern: a flood of long prompts. Announcements must not take up what a daemon may
// send, nor what it keeps of others.
func TestAnnouncementsAreBounded(t *testing.T) {
	start(t, 20, func(net *network, list []*Fleet) {
		const seconds = 5
		for range 100 * seconds {
			list[0].Announce(Reading{Endpoint: "e", Tokens: 9000, Left: time.Minute})
			time.Sleep(10 * time.Millisecond)
		}
		if n, most := int(net.announced.Load()), announceBurst+announcesPerS*(seconds+1); n > most {
			t.Errorf("%d announcements in %d s, want %d at most", n, seconds, most)
		}
		for range 2 * maxReadings {
			list[1].Announced(Reading{From: list[0].self.Address, Endpoint: "e", Tokens: 1, Left: time.Minute})
		}
		if n := len(list[1].peers[list[0].self.Address].readings); n > maxReadings {
			t.Errorf("%d prompts of one daemon are kept", n)
		}
	})
}

// Guards against prompts that were read and still count because nothing else changes.
func TestAnAnnouncementEndsByItself(t *testing.T) {
	start(t, 2, func(net *network, list []*Fleet) {
		net.oneWay("a0", true)
		net.oneWay("a1", true)
		list[1].Announced(Reading{From: "a0", Endpoint: "e", Tokens: 9000, Left: 200 * time.Millisecond})
		time.Sleep(viewAge)
		before := prefill(list[1], "e")
		time.Sleep(300 * time.Millisecond)
		if after := prefill(list[1], "e"); before != 9000 || after != 0 {
			t.Errorf("%d tokens at once, %d after they were read", before, after)
		}
	})
}

// Pattern: a fleet of hundreds. What a daemon sends to each of the others, all of them
// do, so that the messages grow with the square of the fleet.
func TestALargeFleetHearsOfPromptsByExchanges(t *testing.T) {
	start(t, midSize+20, func(net *network, list []*Fleet) {
		time.Sleep(4 * time.Second)
		list[0].Announce(Reading{Endpoint: "e", Tokens: 30_000, Left: time.Second})
		time.Sleep(viewAge)
		if n := net.announced.Load(); n != 0 {
			t.Errorf("%d announcements", n)
		}
	})
}
