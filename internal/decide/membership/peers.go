package membership

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"eelgrassgrade/internal/core"
)

// The number of daemons of the same and of other data centres to which a daemon
// relays an urgent event. With four in all, an event reaches 330 daemons in about
// four rounds; the remote one spreads it to other data centres.
const (
	LocalRelays  = 3
	RemoteRelays = 1
)

// splitByDataCenter returns the daemons of the data centre and those of others,
// each in random order.
func splitByDataCenter(rng *rand.Rand, dc core.DataCenterID, daemons []core.Instance) (local, remote []core.Instance) {
	for _, d := range daemons {
		if d.DataCenter == dc {
			local = append(local, d)
		} else {
			remote = append(remote, d)
		}
	}
	shuffle(rng, local)
	shuffle(rng, remote)
	return local, remote
}

func shuffle(rng *rand.Rand, list []core.Instance) {
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// RandomPeer returns a random daemon. If preferLocal is set, it is of the given
// data centre unless there is none there.
func RandomPeer(rng *rand.Rand, dc core.DataCenterID, daemons []core.Instance, preferLocal bool) (core.Instance, bool) {
	if len(daemons) == 0 {
		return core.Instance{}, false
	}
	if preferLocal {
		if local, _ := splitByDataCenter(rng, dc, daemons); len(local) > 0 {
			return local[0], true
		}
	}
	return daemons[rng.IntN(len(daemons))], true
}

// SpreadOrder returns all daemons in the order in which an event is sent to them:
// first the local relay targets, then the remote ones, then the other daemons in
// random order.
func SpreadOrder(rng *rand.Rand, dc core.DataCenterID, daemons []core.Instance) []core.Instance {
	local, remote := splitByDataCenter(rng, dc, daemons)
	numLocal, numRemote := min(LocalRelays, len(local)), min(RemoteRelays, len(remote))
	order := append(append([]core.Instance{}, local[:numLocal]...), remote[:numRemote]...)
	others := append(append([]core.Instance{}, local[numLocal:]...), remote[numRemote:]...)
	shuffle(rng, others)
	return append(order, others...)
}

// RelayTargets returns the daemons to which an urgent event is relayed.
func RelayTargets(rng *rand.Rand, dc core.DataCenterID, daemons []core.Instance) []core.Instance {
	order := SpreadOrder(rng, dc, daemons)
	return order[:min(LocalRelays+RemoteRelays, len(order))]
}

// StartupPeers returns up to n daemons that a starting daemon asks for the
// configuration: half of its own data centre and half of others, as far as there
// are as many.
func StartupPeers(rng *rand.Rand, dc core.DataCenterID, daemons []core.Instance, n int) []core.Instance {
	local, remote := splitByDataCenter(rng, dc, daemons)
	numRemote := min(len(remote), max(n/2, n-len(local)))
	numLocal := min(len(local), n-numRemote)
	return append(append([]core.Instance{}, local[:numLocal]...), remote[:numRemote]...)
}

// UsageAggregator returns the daemon of the data centre that aggregates the usage
// of key, such as an account. It is chosen by rendezvous hashing, so that a daemon
// which joins or leaves moves only the keys that it aggregates.
func UsageAggregator(key string, dc core.DataCenterID, daemons []core.Instance) (core.Instance, bool) {
	var best core.Instance
	var bestScore uint64
	found := false
	for _, d := range daemons {
		if d.DataCenter != dc {
			continue
		}
		score := xxhash.Sum64String(key + "\x00" + string(d.ID))
		if !found || score > bestScore || score == bestScore && d.ID < best.ID {
			best, bestScore, found = d, score, true
		}
	}
	return best, found
}
