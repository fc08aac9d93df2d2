package quarantine

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"eelgrassgrade/internal/core"
)

// Guards against two suspects of different daemons that meet on one endpoint,
// where the crash by one quarantines the other with it. Each daemon may hold
// other endpoints out of use.
func TestSuspectsOfDifferentDaemonsDoNotMeet(t *testing.T) {
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
					t.Fatalf("suspects %d and %d meet on %s", other, i, e)
				}
				used[e] = i
				break
			}
		}
	})
}

// Guards against a suspect that finds no place because there are too many.
func TestMoreSuspectsThanEndpointsHaveNoPlace(t *testing.T) {
	list := [][32]byte{{1}, {2}, {3}}
	endpoints := []core.InstanceID{"a", "b"}
	placed := 0
	for _, s := range list {
		if Place(list, endpoints, s) != nil {
			placed++
		}
	}
	if placed != 2 {
		t.Errorf("%d of 3 suspects have a place on 2 endpoints", placed)
	}
}
