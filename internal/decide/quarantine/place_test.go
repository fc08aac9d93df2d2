package quarantine

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"eelgrassgrade/internal/core"
)

// Guards against suspects from different daemons that run on one endpoint, where a
// crash caused by one quarantines the others too. The daemons may differ on which
// endpoints are out of use.
func TestSuspectsOfDifferentDaemonsDoNotShareEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var endpoints []core.InstanceID
		for i := range rapid.IntRange(2, 8).Draw(t, "endpoints") {
			endpoints = append(endpoints, core.InstanceID(fmt.Sprint("e", i)))
		}
		var suspects [][32]byte
		for i := range rapid.IntRange(1, len(endpoints)-1).Draw(t, "suspects") {
			var f [32]byte
			f[0], f[1] = byte(rapid.IntRange(0, 255).Draw(t, "fingerprint")), byte(i)
			suspects = append(suspects, f)
		}
		// One endpoint crashed; some daemons know that it is out of use.
		crashed := rapid.SampledFrom(endpoints).Draw(t, "crashed")
		used := map[core.InstanceID]int{}
		for i, s := range suspects {
			knows := rapid.Bool().Draw(t, "knows")
			for _, e := range Place(suspects, endpoints, s) {
				if knows && e == crashed {
					continue
				}
				if other, ok := used[e]; ok {
					t.Fatalf("suspects %d and %d are both placed on %s", other, i, e)
				}
				used[e] = i
				break
			}
		}
	})
}

// Guards against a suspect that gets an endpoint although the other suspects occupy
// all of them.
func TestSuspectsBeyondTheEndpointsAreNotPlaced(t *testing.T) {
	suspects := [][32]byte{{1}, {2}, {3}}
	endpoints := []core.InstanceID{"a", "b"}
	placed := 0
	for _, s := range suspects {
		if Place(suspects, endpoints, s) != nil {
			placed++
		}
	}
	if placed != 2 {
		t.Errorf("%d of 3 suspects are placed on 2 endpoints, want 2", placed)
	}
}
