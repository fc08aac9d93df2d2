package routing

import (
	"math"
	"time"
)

// ReportedLoadTTL is the age from which reported load is ignored.
const ReportedLoadTTL = 5 * time.Second

const (
	// loadBoundFactor is the bound of bounded-load rendezvous hashing: an endpoint
	// gets calls because of their key only while its load is at most this multiple
	// of the mean load. 1.25 is the usual compromise between spread and affinity.
	loadBoundFactor = 1.25
	// maxAffinityCostRatio bounds the cost of a key's affinity endpoint relative to
	// the cheapest endpoint. A slower one would lose more time than its cache saves.
	maxAffinityCostRatio = 2
	// affinitySlack is added to that bound, so that affinity holds when all
	// latencies are tiny.
	affinitySlack = 2 * time.Millisecond
	// remoteCost is the cost of leaving the data centre: a few milliseconds each
	// way over an expensive link.
	remoteCost = 10 * time.Millisecond
	// utilizationFactor is the part of its idle latency that an endpoint adds when
	// all its slots are in use but no call queues yet.
	utilizationFactor = 0.5
	// minCachedBound is the lower limit of the load bound, in calls, for an endpoint
	// that has the prefix cached. With it, four daemons of a data centre together
	// stay within 8 slots.
	minCachedBound = 2
	// failingCostFactor multiplies the cost of an endpoint that fails but may not be ejected.
	failingCostFactor = 4
	// minSlowStartFactor keeps utilization finite.
	minSlowStartFactor = 0.1
)

// Candidate is the state of one endpoint at the time of the decision.
type Candidate struct {
	// Hash is HashOf the endpoint's ID.
	Hash uint64
	// InFlight is the number of this daemon's calls in flight. It is exact.
	InFlight int32
	// OthersInFlight is the number of calls in flight from other daemons, as last
	// reported.
	OthersInFlight int32
	// ReportAge is the age of the report that gave OthersInFlight.
	ReportAge time.Duration
	// Slots is the number of calls that the endpoint runs at once.
	Slots int32
	// Latency is the estimated time of a call on the idle endpoint; 0 means unknown.
	Latency time.Duration
	// SlowStartFactor is the part of the endpoint's capacity that slow start allows, 0 to 1.
	SlowStartFactor float64
	// Local says that the endpoint is in the daemon's data centre.
	Local bool
	// Failing says that the endpoint fails but may not be ejected.
	Failing bool
	// Probe says that the endpoint is ejected and due for one test call. A call that
	// may not probe uses it only when no other endpoint has a free slot.
	Probe bool
	// Cached says that the endpoint is known to have the call's prefix cached.
	Cached bool
	// SameContent says that a call with equal content is in flight on the endpoint.
	SameContent bool
	// Excluded rules the endpoint out.
	Excluded bool

	load  float64
	cost  float64
	class int8
}

// Request holds the properties of a call that the decision depends on.
type Request struct {
	// Key is equal for calls that should go to the same endpoint; 0 means none.
	Key uint64
	// Prefix says that Key stands for a prompt prefix; otherwise it stands for equal
	// content.
	Prefix bool
	// AllowProbe lets the call test an ejected endpoint.
	AllowProbe bool
	// DefaultLatency is used for endpoints whose Latency is unknown.
	DefaultLatency time.Duration
	// Random is a random number that breaks ties.
	Random uint64
}

// Reason says why an endpoint was chosen.
type Reason string

// The reasons of a decision.
const (
	// ByProbe: the call tests an ejected endpoint.
	ByProbe Reason = "probe"
	// ByCache: the endpoint has the prefix cached, by its cache events.
	ByCache Reason = "cache"
	// ByPrefix and ByContent: the endpoint is the key's affinity endpoint, or the
	// next one in the key's order if that is at its load bound.
	ByPrefix  Reason = "prefix"
	ByContent Reason = "content"
	// ByLoad: the endpoint is the cheapest one.
	ByLoad Reason = "load"
	// BySpill: the endpoint is the cheapest one outside the data centre, which has
	// no free slot.
	BySpill Reason = "spill"
	// ByOverload: no endpoint has a free slot, and this one is the cheapest.
	ByOverload Reason = "overload"
	// ByRoundRobin: the endpoint is the next in turn.
	ByRoundRobin Reason = "turn"
	// NoEndpoint: every candidate is excluded.
	NoEndpoint Reason = "none"
)

// Decision is the index of the chosen candidate, or -1, and the reason.
type Decision struct {
	Index  int
	Reason Reason
}

// The classes of candidates, best first. Choose uses the first one that is not empty.
const (
	classLocalFree int8 = iota
	classRemoteFree
	classFull // no free slot, or failing or ejected
	numClasses
	classExcluded int8 = -1
)

// classTotals holds sums and minima over the candidates of each class.
type classTotals struct {
	count         [numClasses]int
	load, minCost [numClasses]float64
	cheapest      [numClasses]int // index of the candidate with minCost
	// inFlight is the sum of this daemon's calls in flight, minInFlight the smallest
	// number on one endpoint.
	inFlight, minInFlight [numClasses]int32
}

// scan adds the candidates c, whose first element has the given index, to the
// totals. If one of them must get the call whatever the others are, scan returns
// that decision, otherwise one with index -1.
func (t *classTotals) scan(c []Candidate, first int, r *Request) Decision {
	for i := range c {
		e := &c[i]
		e.evaluate(r)
		k := e.class
		if k == classExcluded {
			continue
		}
		if e.Probe && r.AllowProbe && e.InFlight == 0 {
			return Decision{first + i, ByProbe}
		}
		if e.SameContent && k != classFull {
			// Calls with equal content go to one endpoint, so that content which
			// crashes endpoints takes down as few as possible.
			return Decision{first + i, ByContent}
		}
		t.load[k] += e.load
		t.inFlight[k] += e.InFlight
		if t.count[k] == 0 || e.InFlight < t.minInFlight[k] {
			t.minInFlight[k] = e.InFlight
		}
		if t.count[k] == 0 || e.cost < t.minCost[k] {
			t.cheapest[k], t.minCost[k] = first+i, e.cost
		}
		t.count[k]++
	}
	return Decision{-1, NoEndpoint}
}

// Choose returns the endpoint for a call. It allocates nothing and overwrites the
// unexported fields of the candidates.
func Choose(c []Candidate, r Request) Decision {
	if len(c) == 0 {
		return Decision{-1, NoEndpoint}
	}
	// A random starting point spreads calls over endpoints that are equally good.
	start := int(r.Random % uint64(len(c)))
	var t classTotals
	d := t.scan(c[start:], start, &r)
	if d.Index < 0 {
		d = t.scan(c[:start], 0, &r)
	}
	if d.Index >= 0 {
		return d
	}
	for k := classLocalFree; k < numClasses; k++ {
		if t.count[k] == 0 {
			continue
		}
		if r.Key != 0 && k != classFull {
			if d := byKey(c, r, k, t.limits(k, r.Prefix)); d.Index >= 0 {
				return d
			}
		}
		return Decision{t.cheapest[k], [numClasses]Reason{ByLoad, BySpill, ByOverload}[k]}
	}
	return Decision{-1, NoEndpoint}
}

// limits bounds the endpoints that may get a call because of its key.
type limits struct{ load, inFlight, cost float64 }

// limits returns the limits for a class. This daemon's calls in flight have a
// separate bound: reported load lags, and with a bound on the total load alone
// several daemons would fill the affinity endpoint of a key before any of them saw
// it. Equal content, which saves no work, only breaks ties between the endpoints
// with the fewest calls in flight from this daemon.
func (t *classTotals) limits(k int8, prefix bool) limits {
	n := float64(t.count[k])
	l := limits{
		load:     math.Ceil(loadBoundFactor * (t.load[k] + 1) / n),
		inFlight: math.Ceil(loadBoundFactor * (float64(t.inFlight[k]) + 1) / n),
		cost:     t.minCost[k]*maxAffinityCostRatio + float64(affinitySlack),
	}
	if !prefix {
		l.inFlight = float64(t.minInFlight[k] + 1)
	}
	return l
}

// allows reports whether e is within the limits with one more call. If e is known to
// have the prefix cached, the bounds are at least minCachedBound: the cache is worth
// one call above the mean load.
func (l *limits) allows(e *Candidate) bool {
	load, inFlight := max(1, l.load*e.slowStartFactor()), l.inFlight
	if e.Cached {
		load, inFlight = max(load, minCachedBound), max(inFlight, minCachedBound)
	}
	return e.load+1 <= load && float64(e.InFlight+1) <= inFlight && e.cost <= l.cost
}

// byKey returns the first endpoint of the class in the key's rendezvous order that
// is within the limits. Endpoints with the prefix cached come before the others.
func byKey(c []Candidate, r Request, class int8, l limits) Decision {
	d := Decision{-1, NoEndpoint}
	var topWeight uint64
	cached := false
	for i := range c {
		e := &c[i]
		if e.class != class || cached && !e.Cached || !l.allows(e) {
			continue
		}
		w := rendezvousWeight(r.Key, e.Hash)
		if d.Index >= 0 && w < topWeight && e.Cached == cached {
			continue
		}
		d.Index, topWeight, cached = i, w, e.Cached
	}
	switch {
	case d.Index < 0:
	case cached:
		d.Reason = ByCache
	case r.Prefix:
		d.Reason = ByPrefix
	default:
		d.Reason = ByContent
	}
	return d
}

func (e *Candidate) slowStartFactor() float64 {
	if e.SlowStartFactor < minSlowStartFactor {
		return minSlowStartFactor
	}
	return e.SlowStartFactor
}

// evaluate sets the load, cost and class of the candidate for a call.
func (e *Candidate) evaluate(r *Request) {
	if e.Excluded {
		e.class = classExcluded
		return
	}
	// The arithmetic avoids branches that depend on loads: their mispredictions
	// would take most of the time of a decision.
	ttlLeft := max(0, ReportedLoadTTL-e.ReportAge)
	freshness := float64(ttlLeft) * (1 / float64(ReportedLoadTTL))
	load := float64(e.InFlight) + float64(e.OthersInFlight)*freshness
	latency := float64(e.Latency)
	if e.Latency == 0 {
		latency = float64(r.DefaultLatency)
	}
	utilization := (load + 1) / (float64(max(e.Slots, 1)) * e.slowStartFactor())
	// Squaring the utilization models both idle and queueing endpoints without a branch.
	cost := latency * (1 + utilizationFactor*utilization*utilization)
	class := classLocalFree
	if !e.Local {
		cost += float64(remoteCost)
		class = classRemoteFree
	}
	// An idle endpoint in slow start takes one call even if its share of the slots
	// is below one.
	if utilization > 1 && load != 0 {
		class = classFull
	}
	if e.Failing || e.Probe && !r.AllowProbe {
		cost *= failingCostFactor
		class = classFull
	}
	e.load, e.cost, e.class = load, cost, class
}

// RoundRobin returns the first candidate that is not excluded, starting at index
// turn modulo the number of candidates. The caller increments turn with each call.
func RoundRobin(c []Candidate, turn uint64) Decision {
	n := uint64(len(c))
	for i := range n {
		if index := (turn + i) % n; !c[index].Excluded {
			return Decision{int(index), ByRoundRobin}
		}
	}
	return Decision{-1, NoEndpoint}
}
