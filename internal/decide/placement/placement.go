// Package placement chooses the endpoint of a request that carries prompt
// parts. It does no I/O and holds no state.
package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrassgrade/internal/core"
)

// Part is one part of a prompt, in order.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what a request has an engine read.
type Prompt struct {
	Parts []Part
	// Spare is the time that the request has until its answer should begin, beyond
	// what that usually takes.
	Spare time.Duration
	// Pause is the longest pause between two events with which an answer is on time.
	// Requests of other routes beside it are assumed to have about the same.
	Pause time.Duration
}

// Candidate is an endpoint with what is known of its load.
type Candidate struct {
	Endpoint core.Endpoint
	// Running is the number of requests in progress on it, by all daemons.
	Running int
	// PrefillTokens is the number of prompt tokens it still has to read.
	PrefillTokens int
	// Slots bounds Running.
	Slots int
	// Cost is an extra cost of this endpoint for the request, such as the
	// transfer of stage results between data centres.
	Cost time.Duration
	// Slow is the factor by which the endpoint is slower than its pool, 1 at least.
	Slow float64
	// Unread is set by Order: the prompt tokens that the endpoint would have to read.
	Unread int
	// Home is set by Order: 1 for the endpoint where the shared prompt part is
	// kept, 2 for the one that takes over from it, and so on.
	Home int
}

const (
	// prefillPerMs is the assumed number of prompt tokens that an engine reads in
	// a millisecond, used only to weigh cached parts against load.
	prefillPerMs = 40
	// againFactor weighs shared tokens that are read again although another engine
	// has them: the reading takes time from all requests that run beside it. The
	// weight is bounded by the time that the request has to spare, minAgainCost at
	// least: it waits at its home as long as it is in time there.
	againFactor  = 4
	minAgainCost = 120 * time.Millisecond
	// Each running stream pauses while the engine reads prompts one after the other. A
	// long one right after another, which together make the pause too long, costs
	// pauseShare of the reading time for each request that runs there.
	pauseShare = 0.4
	// runningCost is the assumed delay that each running request adds to the
	// first event of another one.
	runningCost = time.Millisecond
	// fullCost keeps an endpoint without a free slot behind all others.
	fullCost = 10 * time.Second
	// homes is the number of endpoints on which a shared part may stay cached:
	// the second takes over when the first is loaded.
	homes = 2
)

// LongPrompt is the number of unread prompt tokens from which on a prompt delays the
// requests beside it noticeably: about 100 ms of reading.
const LongPrompt = 6000

// ReadingTime returns how long an engine takes at most to read prompt tokens.
func ReadingTime(tokens int) time.Duration {
	return time.Duration(tokens) * time.Millisecond / prefillPerMs
}

// homeKey returns the shared prompt part by which the request's home is found:
// the last but one, since the last part belongs to the request or its session.
func homeKey(parts []Part) (string, bool) {
	switch len(parts) {
	case 0:
		return "", false
	case 1:
		return parts[0].ID, true
	default:
		return parts[len(parts)-2].ID, true
	}
}

// sizes returns the tokens of the whole prompt and of its shared parts.
func (p *Prompt) sizes() (total, shared int) {
	for i, part := range p.Parts {
		total += part.Tokens
		if i < len(p.Parts)-1 || len(p.Parts) == 1 {
			shared += part.Tokens
		}
	}
	return total, shared
}

// Order returns the candidates, best first. The home of a shared prompt part is
// found by rendezvous hashing, so that all daemons agree on it without a
// message; a loaded home yields to the next one and then to any endpoint, the
// sooner the less time the request has to spare until its answer should begin.
func Order(p Prompt, all []Candidate) []Candidate {
	out := byHome(p.Parts, all)
	total, shared := p.sizes()
	costs := make(map[core.InstanceID]time.Duration, len(out))
	for i := range out {
		c := &out[i]
		again := shared
		if c.Home = i + 1; c.Home <= homes {
			// The second home counts as half cached: it has the part only if the
			// first was loaded before.
			again -= shared / c.Home
		}
		c.Unread = total - shared + again
		costs[c.Endpoint.ID] = p.cost(c, again)
	}
	slices.SortStableFunc(out, func(a, b Candidate) int { return cmp.Compare(costs[a.Endpoint.ID], costs[b.Endpoint.ID]) })
	return out
}

// byHome returns the candidates in the order in which they keep the shared part.
func byHome(parts []Part, all []Candidate) []Candidate {
	type hashed struct {
		Candidate
		hash uint64
	}
	list := make([]hashed, len(all))
	key, ok := homeKey(parts)
	for i, c := range all {
		list[i].Candidate = c
		if ok {
			list[i].hash = xxhash.Sum64String(key + "\x00" + string(c.Endpoint.ID))
		}
	}
	slices.SortFunc(list, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID))
	})
	out := make([]Candidate, len(list))
	for i, h := range list {
		out[i] = h.Candidate
	}
	return out
}

// cost returns the time that stands for what the request takes from its own caller and
// from the others at an endpoint, which reads again shared tokens once more.
func (p *Prompt) cost(c *Candidate, again int) time.Duration {
	reading := float64(ReadingTime(c.Unread+c.PrefillTokens)) * max(c.Slow, 1)
	cost := time.Duration(reading) + time.Duration(c.Running)*runningCost + c.Cost +
		min(ReadingTime(again)*againFactor, max(p.Spare, minAgainCost))
	if c.Unread >= LongPrompt && c.PrefillTokens >= LongPrompt && ReadingTime(c.Unread+c.PrefillTokens) >= p.Pause {
		cost += time.Duration(pauseShare * reading * float64(c.Running))
	}
	if c.Slots > 0 && c.Running >= c.Slots {
		cost += fullCost
	}
	return cost
}
