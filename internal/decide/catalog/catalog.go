// Package catalog holds what operators declare for forwarded traffic: routes by
// host and path, the pools behind them, and client accounts by key. A Snapshot
// is immutable and safe for concurrent use.
package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"eelgrassgrade/internal/core"
)

// Repeat says how often the work of a request may run.
type Repeat uint8

// The values of Repeat. Once is the zero value, so that a route which does not
// say otherwise is never run twice.
const (
	// Once: at most one run for each request.
	Once Repeat = iota
	// Repeatable: the request may run any number of times.
	Repeatable
	// Resumable: a broken stream may continue on another endpoint from the last
	// event that was delivered.
	Resumable
)

// Stage is work on a pool of batching endpoints that precedes the request itself.
type Stage struct {
	Pool core.PoolID
	// After lists the stages whose results this one takes, by index.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int
}

// Weighted is one pool of a route's split.
type Weighted struct {
	Pool   core.PoolID
	Weight int
}

// Route says where requests to a host and a path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Stream says that answers are server-sent events, timed by their first event.
	Stream bool
	Repeat Repeat
	// Attempts bounds the endpoints that may run one request.
	Attempts int
	// Timeout is the longest time to an answer.
	Timeout time.Duration
	// Target is the time within which an answer has its full value.
	Target time.Duration
	// Patience is how long a caller waits for the first event of a stream before it
	// leaves; 0 if only its own limit counts.
	Patience time.Duration
	// GapTarget is the longest pause between events that is still on time.
	GapTarget time.Duration
	// Priority is the rank of requests, 0 first, unless the account has its own.
	Priority int
	// Split holds the pools that share the route's requests by weight.
	Split  []Weighted
	Stages []Stage
	// Public routes need no key.
	Public bool
	// PromptAffinity says that requests carry prompt parts that engines cache.
	PromptAffinity bool
}

// Sinks returns the stages whose results no other stage takes; the request
// itself takes those.
func (r *Route) Sinks() []int {
	taken := make([]bool, len(r.Stages))
	for _, s := range r.Stages {
		for _, a := range s.After {
			if a >= 0 && a < len(taken) {
				taken[a] = true
			}
		}
	}
	var out []int
	for i, t := range taken {
		if !t {
			out = append(out, i)
		}
	}
	return out
}

// Batching describes endpoints that process several pieces in one call.
type Batching struct {
	// MaxPieces bounds the pieces of a call.
	MaxPieces int
	// CallTime is the fixed part of a call's time, PieceTime the part of each piece.
	CallTime, PieceTime time.Duration
	// ResultRoom bounds the bytes of results that one endpoint keeps.
	ResultRoom int
	// ResultLife is how long an endpoint keeps a result after its call.
	ResultLife time.Duration
}

// Engine describes a model engine of a pool.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// CacheTokens bounds the tokens of running requests and cached prompt parts.
	CacheTokens int
}

// Pool is a group of endpoints that serve the same requests.
type Pool struct {
	ID core.PoolID
	// Engine is set for pools of model engines, Batching for pools of stages.
	Engine   *Engine
	Batching *Batching
}

// Account is a client account.
type Account struct {
	ID core.AccountID
	// Priority replaces the priority of routes if it is not nil.
	Priority *int
}

// Snapshot is one version of the catalog.
type Snapshot struct {
	Version int64

	routes   map[string][]*Route
	pools    map[core.PoolID]*Pool
	accounts map[string]*Account
	keyed    bool
}

// New indexes a version of the catalog. keys maps API keys to accounts. A nil
// map means that requests carry no keys.
func New(version int64, routes []*Route, pools []*Pool, keys map[string]*Account) (*Snapshot, error) {
	s := &Snapshot{Version: version, routes: map[string][]*Route{}, pools: map[core.PoolID]*Pool{},
		accounts: keys, keyed: keys != nil}
	for _, p := range pools {
		s.pools[p.ID] = p
	}
	for _, r := range routes {
		if err := checkStages(r); err != nil {
			return nil, err
		}
		host := strings.ToLower(r.Host)
		s.routes[host] = append(s.routes[host], r)
	}
	for _, list := range s.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return s, nil
}

// checkStages rejects stages that depend on themselves or on later stages,
// which could never be run in order.
func checkStages(r *Route) error {
	for i, s := range r.Stages {
		for _, a := range s.After {
			if a < 0 || a >= i {
				return fmt.Errorf("route %q: stage %d depends on stage %d, which does not precede it", r.Name, i, a)
			}
		}
	}
	return nil
}

// Match returns the route of the host with the longest prefix that begins path,
// or nil.
func (s *Snapshot) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range s.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pool returns the pool, or nil.
func (s *Snapshot) Pool(id core.PoolID) *Pool { return s.pools[id] }

// Pools returns all pools by ID. Callers do not change the map.
func (s *Snapshot) Pools() map[core.PoolID]*Pool { return s.pools }

// Account returns the account of a key, and whether the request may pass
// without one.
func (s *Snapshot) Account(key string) (account *Account, known bool) {
	if !s.keyed {
		return nil, true
	}
	a, ok := s.accounts[key]
	return a, ok
}

// Pick returns the pool for a request by the split's weights; u is uniform in [0, 1).
func (r *Route) Pick(u float64) core.PoolID {
	total := 0
	for _, w := range r.Split {
		total += max(w.Weight, 0)
	}
	at := u * float64(total)
	for _, w := range r.Split {
		if at < float64(max(w.Weight, 0)) {
			return w.Pool
		}
		at -= float64(max(w.Weight, 0))
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Pool
}
