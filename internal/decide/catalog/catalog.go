// Package catalog holds the operators' configuration of forwarded traffic: routes by
// host and path, the pools behind them, and client accounts by API key. A Snapshot
// is immutable and safe for concurrent use.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/coldstart"
)

// RepeatPolicy says how often the work of a request may run.
type RepeatPolicy uint8

// The repeat policies. Once is the zero value, so that the requests of a route that
// does not set a policy never run twice.
const (
	// Once: each request runs at most once.
	Once RepeatPolicy = iota
	// Repeatable: the request may run any number of times.
	Repeatable
	// Resumable: an interrupted stream may continue on another endpoint after the last
	// event that was delivered.
	Resumable
)

// Stage is work on a pool of batching endpoints that has to be done before the request
// itself is sent.
type Stage struct {
	Pool core.PoolID
	// DependsOn lists, by index, the stages whose results are inputs of this one. In a
	// Snapshot each is named once.
	DependsOn []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int
}

// WeightedPool is a pool and the weight of its share of a route's requests.
type WeightedPool struct {
	Pool   core.PoolID
	Weight int
}

// Route says where requests with a host and a path prefix go and how they are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Stream says that answers are server-sent events. Their latency is that of the
	// first event.
	Stream bool
	Repeat RepeatPolicy
	// Attempts bounds the number of endpoints that may run one request.
	Attempts int
	// Timeout bounds the time until the answer.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer counts as on time.
	LatencyTarget time.Duration
	// CallerPatience is the assumed time after which callers give up if a stream has
	// not begun; 0 if only the limit that the request itself gives applies.
	CallerPatience time.Duration
	// GapTarget is the longest pause between two events of a stream that counts as on
	// time.
	GapTarget time.Duration
	// Priority is the rank of requests, 0 first, unless the account has its own.
	Priority int
	// Split holds the pools among which the route's requests are divided by weight.
	Split  []WeightedPool
	Stages []Stage
	// Public says that requests need no API key.
	Public bool
	// PromptAffinity says that requests list prompt parts that engines cache.
	PromptAffinity bool
	// Homes holds the regions whose endpoints may get the requests; nil allows all.
	Homes Homes
	// Unusable says why the route cannot be used, so that its requests are refused. It is
	// empty if the route can be used.
	Unusable string

	// stageOrder is the result of StageOrder for the routes of a Snapshot.
	stageOrder []int
}

// Batching describes endpoints that process several pieces in one call.
type Batching struct {
	// MaxPieces bounds the number of pieces of a call.
	MaxPieces int
	// CallTime is the fixed part of a call's duration, PieceTime the time that each
	// piece adds.
	CallTime, PieceTime time.Duration
	// ResultCapacityBytes is the result capacity of one endpoint: the size of the
	// results that it can keep.
	ResultCapacityBytes int
	// ResultTTL is how long an endpoint keeps a result after the call that made it.
	ResultTTL time.Duration
	// Tight says that the configuration is tight. Then calls are not kept short for the
	// latest starts of their pieces while more pieces wait than the endpoints can take. New
	// sets it.
	Tight bool
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// CacheTokens bounds the tokens of an engine's running requests and cached prompt
	// parts together.
	CacheTokens int
}

// Pool is a group of endpoints that serve the same requests.
type Pool struct {
	ID core.PoolID
	// Engine is set for pools of model engines, Batching for pools that run stages.
	Engine   *Engine
	Batching *Batching
	// HealthPath is the path of the endpoints' health check; empty if they have none.
	HealthPath string
	// Cold says how cold endpoints are treated.
	Cold coldstart.Pool
	// Unusable says why the pool cannot be used; empty if it can.
	Unusable string
}

// Account is a client account.
type Account struct {
	ID core.AccountID
	// Priority replaces the priority of routes if it is not nil.
	Priority *int
	// Homes holds the regions whose endpoints may get the account's requests; nil allows
	// all.
	Homes Homes
	// Unusable says why the account cannot be used; empty if it can.
	Unusable string
}

// List is a list of the configuration.
type List string

// The lists of a configuration, and its limits.
const (
	ListRoutes   List = "routes"
	ListPools    List = "pools"
	ListAccounts List = "accounts"
	ListLimits   List = "limits"
)

// Problem is a mistake in an entry of the configuration.
type Problem struct {
	List List `json:"list"`
	// Index is the place of the entry in its list, and Entry its name.
	Index int    `json:"index"`
	Entry string `json:"entry"`
	// Text says what is wrong and what follows from it.
	Text string `json:"text"`
}

// Limits bounds what callers may send and how long they may take; 0 stands for no value.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes bound the size of a request's head and body.
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout bounds the time in which a head must arrive, IdleTimeout the time for
	// which a connection may stay unused.
	HeaderTimeout, IdleTimeout time.Duration
}

// Or returns the limits with those of d in place of values that are not set.
func (l Limits) Or(d Limits) Limits {
	return Limits{MaxHeaderBytes: cmp.Or(l.MaxHeaderBytes, d.MaxHeaderBytes), MaxBodyBytes: cmp.Or(l.MaxBodyBytes, d.MaxBodyBytes),
		HeaderTimeout: cmp.Or(l.HeaderTimeout, d.HeaderTimeout), IdleTimeout: cmp.Or(l.IdleTimeout, d.IdleTimeout)}
}

// Snapshot is one version of the catalog.
type Snapshot struct {
	Version int64
	Limits  Limits
	// Problems holds the entries that cannot be used, in the order of the configuration.
	Problems []Problem

	routes      map[string][]*Route
	pools       map[core.PoolID]*Pool
	accounts    map[string]*Account
	requireKeys bool
	// tight is the result of Tight.
	tight bool
}

// New returns a snapshot of the given version. keys maps API keys to accounts; if it is
// nil, no request needs a key. It marks entries as unusable that lack what their requests
// need, and routes whose stages cannot be run in any order.
func New(version int64, routes []*Route, pools []*Pool, keys map[string]*Account) *Snapshot {
	s := &Snapshot{Version: version, routes: map[string][]*Route{}, pools: map[core.PoolID]*Pool{},
		accounts: keys, requireKeys: keys != nil}
	batching := map[string]*Batching{}
	for _, p := range pools {
		if p.ID == "" {
			p.Unusable = cmp.Or(p.Unusable, "it has no name")
		}
		s.pools[p.ID] = p
		batching[string(p.ID)] = p.Batching
	}
	for _, a := range keys {
		if a.ID == "" {
			a.Unusable = cmp.Or(a.Unusable, "it has no name")
		}
	}
	for _, r := range routes {
		for i := range r.Stages {
			r.Stages[i].DependsOn = unique(r.Stages[i].DependsOn)
		}
		order, err := orderStages(r.Stages)
		r.stageOrder, r.Unusable = order, cmp.Or(r.Unusable, r.missing())
		if err != nil {
			r.Unusable = cmp.Or(r.Unusable, err.Error())
		}
		host := strings.ToLower(r.Host)
		s.routes[host] = append(s.routes[host], r)
	}
	s.tight = isTight(routes, batching)
	for _, b := range batching {
		if b != nil {
			b.Tight = s.tight
		}
	}
	for _, list := range s.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return s
}

// missing returns what the route lacks for its requests to be forwarded, or "".
func (r *Route) missing() string {
	switch {
	case r.Host == "":
		return "it has no host"
	case r.Prefix == "":
		return "it has no prefix"
	case !slices.ContainsFunc(r.Split, func(w WeightedPool) bool { return w.Weight > 0 }):
		return "it names no pool that gets requests"
	}
	return ""
}

// Match returns the route with the host and the longest matching prefix of path, or
// nil. A port in host is ignored.
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

// Pools returns all pools by ID. Callers must not change the map.
func (s *Snapshot) Pools() map[core.PoolID]*Pool { return s.pools }

// NamedPools returns the pools that have an entry or that a route or a stage names.
func (s *Snapshot) NamedPools() map[core.PoolID]bool {
	named := map[core.PoolID]bool{}
	for id := range s.pools {
		named[id] = true
	}
	for _, routes := range s.routes {
		for _, r := range routes {
			for _, share := range r.Split {
				named[share.Pool] = true
			}
			for _, stage := range r.Stages {
				named[stage.Pool] = true
			}
		}
	}
	return named
}

// Account returns the account of an API key, and whether the key is accepted. If the
// catalog has no keys, it accepts any key and returns no account. An empty key, which is that
// of requests without one, belongs to nobody.
func (s *Snapshot) Account(key string) (account *Account, accepted bool) {
	if !s.requireKeys {
		return nil, true
	}
	a, ok := s.accounts[key]
	return a, ok && key != ""
}

// PickPool returns the pool for a request by the weights of the split. u is a random
// number, uniform in [0, 1). It returns "" if the split is empty.
func (r *Route) PickPool(u float64) core.PoolID {
	total := 0
	for _, w := range r.Split {
		total += max(w.Weight, 0)
	}
	offset := u * float64(total)
	for _, w := range r.Split {
		if offset < float64(max(w.Weight, 0)) {
			return w.Pool
		}
		offset -= float64(max(w.Weight, 0))
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Pool
}
