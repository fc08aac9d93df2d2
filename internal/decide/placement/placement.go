// Package placement orders the endpoints of an engine pool for a request whose
// prompt parts engines may have cached. It does no I/O and holds no state.
package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrassgrade/internal/core"
)

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the prompt of a request and the latency that the request needs.
type Prompt struct {
	// Parts holds the parts in the order of the prompt.
	Parts []Part
	// Slack is the time until the answer should begin, minus the time that this
	// usually takes.
	Slack time.Duration
	// GapTarget is the longest pause between two events of a stream that is still on
	// time. Other requests on the same endpoint are assumed to need about the same.
	GapTarget time.Duration
}

// Candidate is an endpoint and its known load.
type Candidate struct {
	Endpoint core.Endpoint
	// Running is the number of requests in progress on it, from all daemons.
	Running int
	// PrefillTokens is the number of prompt tokens that it still has to read.
	PrefillTokens int
	// Slots bounds Running; 0 means no bound.
	Slots int
	// ExtraCost is added to the cost of this endpoint for the request, for example
	// for the transfer of stage results between data centres.
	ExtraCost time.Duration
	// SlowFactor is the factor by which the endpoint is slower than its pool, at least 1.
	SlowFactor float64
	// UncachedTokens is the number of prompt tokens that the endpoint is expected to
	// read because it does not have them cached. Order sets it.
	UncachedTokens int
	// AffinityRank is the endpoint's place in the affinity order of the shared prompt
	// part: 1 for the endpoint that keeps the part cached, 2 for the one that takes
	// over from it, and so on. Order sets it.
	AffinityRank int
	// Cost is the cost of sending the request to the endpoint. Order sets it.
	Cost time.Duration
	// Weight is the share of requests that the endpoint should get among those with the
	// same cost, if the loads are leveled.
	Weight float64
}

const (
	// prefillTokensPerMs is the assumed number of prompt tokens that an engine reads
	// per millisecond. It converts tokens into costs and reading times.
	prefillTokensPerMs = 40
	// rereadFactor multiplies the time to read shared tokens that another engine has
	// cached, because the reading delays all requests on the endpoint. The product is
	// capped at the request's slack, so that a request waits for its affinity
	// endpoint as long as it is in time there, but the cap is at least minRereadCap.
	rereadFactor = 4
	minRereadCap = 120 * time.Millisecond
	// stallFactor is the part of the reading time that each running request adds to
	// the cost when a long prompt would be read right after another one and both
	// together exceed the gap target. An engine reads prompts one after the other,
	// and all its running streams pause meanwhile.
	stallFactor = 0.4
	// noSlotCost puts endpoints without a free slot behind all others.
	noSlotCost = 10 * time.Second
	// numAffinityEndpoints is the number of endpoints that are expected to have a
	// shared part cached: the second takes over when the first is loaded.
	numAffinityEndpoints = 2
)

// CostPerRunning is the assumed delay that each running request adds to the first event of
// another one.
const CostPerRunning = time.Millisecond

// LongPromptTokens is the number of uncached tokens from which a prompt noticeably
// delays the other requests on its endpoint: it stands for about 100 ms of reading.
const LongPromptTokens = 6000

// PrefillTime returns an upper estimate of the time in which an engine reads prompt tokens.
func PrefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * time.Millisecond / prefillTokensPerMs
}

// affinityKey returns the ID of the prompt part that selects the affinity endpoint:
// the last part but one, since the last belongs to the request or its session.
// A single part counts as shared. The result is false if there are no parts.
func affinityKey(parts []Part) (string, bool) {
	switch len(parts) {
	case 0:
		return "", false
	case 1:
		return parts[0].ID, true
	default:
		return parts[len(parts)-2].ID, true
	}
}

// tokenCounts returns the number of tokens of the whole prompt and of its shared
// parts, which are all but the last one, or the only one.
func (p *Prompt) tokenCounts() (total, shared int) {
	for i, part := range p.Parts {
		total += part.Tokens
		if i < len(p.Parts)-1 || len(p.Parts) == 1 {
			shared += part.Tokens
		}
	}
	return total, shared
}

// Order returns the candidates, best first. Rendezvous hashing selects the affinity
// endpoint of a shared prompt part, so that all daemons choose the same one without
// communicating. If it is loaded, the request goes to the second affinity endpoint
// and then to any other, the sooner the less slack the request has.
func Order(p Prompt, all []Candidate) []Candidate {
	total, shared := p.tokenCounts()
	order := byAffinity(p.Parts, all)
	for i := range order {
		k := &order[i]
		k.rank = i + 1
		c := all[k.index]
		reread := k.tokensReadAgain(shared)
		c.UncachedTokens = total - shared + reread
		k.cost = p.cost(&c, reread)
	}
	// Equal costs keep the affinity order.
	slices.SortFunc(order, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.rank, b.rank))
	})
	ordered := make([]Candidate, len(all))
	for i, k := range order {
		c := &ordered[i]
		*c = all[k.index]
		c.AffinityRank, c.Cost = k.rank, k.cost
		c.UncachedTokens = total - shared + k.tokensReadAgain(shared)
	}
	return ordered
}

// place is the place of a candidate in an order. It is sorted instead of the candidate,
// which is much larger.
type place struct {
	hash  uint64
	cost  time.Duration
	rank  int
	index int
}

// tokensReadAgain returns the number of shared tokens that the endpoint reads although
// another one has them cached. The second affinity endpoint counts as half cached: it has
// the part only if the first one was loaded before.
func (k *place) tokensReadAgain(shared int) int {
	if k.rank <= numAffinityEndpoints {
		return shared - shared/k.rank
	}
	return shared
}

// byAffinity returns the affinity order of the shared prompt part, which is the same on
// all daemons.
func byAffinity(parts []Part, all []Candidate) []place {
	order := make([]place, len(all))
	key, ok := affinityKey(parts)
	var buffer [128]byte
	prefix := append(append(buffer[:0], key...), 0)
	for i := range all {
		order[i].index = i
		if ok {
			order[i].hash = xxhash.Sum64(append(prefix, all[i].Endpoint.ID...))
		}
	}
	slices.SortFunc(order, func(a, b place) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(all[a.index].Endpoint.ID, all[b.index].Endpoint.ID))
	})
	return order
}

// cost returns the cost of sending the request to an endpoint, as a time: the delay
// of the request itself and of the others on the endpoint. reread is the number of
// shared tokens that the endpoint reads although another one has them cached.
func (p *Prompt) cost(c *Candidate, reread int) time.Duration {
	reading := float64(PrefillTime(c.UncachedTokens+c.PrefillTokens)) * max(c.SlowFactor, 1)
	cost := time.Duration(reading) + time.Duration(c.Running)*CostPerRunning + c.ExtraCost +
		min(PrefillTime(reread)*rereadFactor, max(p.Slack, minRereadCap))
	if c.UncachedTokens >= LongPromptTokens && c.PrefillTokens >= LongPromptTokens && PrefillTime(c.UncachedTokens+c.PrefillTokens) >= p.GapTarget {
		cost += time.Duration(stallFactor * reading * float64(c.Running))
	}
	if c.Slots > 0 && c.Running >= c.Slots {
		cost += noSlotCost
	}
	return cost
}
