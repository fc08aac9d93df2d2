// Package config defines the operators' lists: the client accounts and their plans,
// what each plan may use, and the pools, pipelines and services behind them.
// Compile turns a valid document into an immutable Snapshot.
package config

import (
	"time"

	"eelgrassgrade/internal/core"
)

// Lists is the content of the operators' file.
type Lists struct {
	// Accounts holds the client accounts with their plans and keys.
	Accounts map[core.AccountID]Account `json:"accounts"`
	// Plans holds what the accounts of each plan may use.
	Plans map[string]Plan `json:"plans"`
	// Ranks holds the floors of the ranks. A rank that is left out has floor 0.
	Ranks     map[string]RankPolicy `json:"ranks"`
	Pools     map[core.PoolID]Pool  `json:"pools"`
	Pipelines map[string]Pipeline   `json:"pipelines"`
	Services  map[string]Service    `json:"services"`
}

// Account is one client account.
type Account struct {
	Plan string `json:"plan"`
	// KeysSHA256 lists the hex SHA-256 digests of the account's bearer keys, 1 to 8.
	KeysSHA256 []string `json:"keys_sha256"`
}

// Plan defines what the accounts that hold it may use.
type Plan struct {
	// Rank is the most urgent rank that the plan allows. Default: normal.
	Rank string `json:"rank"`
	// Pipelines and Services list names; "*" allows all.
	Pipelines []string `json:"pipelines"`
	Services  []string `json:"services"`
	// RequestsPerS limits requests per second per account. 0 means no limit.
	RequestsPerS float64 `json:"requests_per_s"`
	// TokensPerS limits generated tokens per second per account. 0 means no limit.
	TokensPerS float64 `json:"tokens_per_s"`
	// Concurrency limits requests in progress per account. 0 means no limit.
	Concurrency int `json:"concurrency"`
	// Weight is the account's share relative to others of its rank. Default: 1.
	Weight float64 `json:"weight"`
}

// RankPolicy configures one rank.
type RankPolicy struct {
	// Floor is the fraction of each pool's capacity, from 0 to 1, that is guaranteed
	// to the rank when requests of other ranks exceed the capacity. The sum of all
	// floors is at most 1.
	Floor float64 `json:"floor"`
}

// The kinds of pools. The kind selects the endpoint API that a call uses.
const (
	KindEncoder   = "encoder"   // POST /v1/embeddings
	KindRetriever = "retriever" // POST /v1/retrieve
	KindReranker  = "reranker"  // POST /v1/rerank
	KindEngine    = "engine"    // POST /v1/completions
	KindService   = "service"   // POST /{operation}
)

// Pool is a set of interchangeable endpoints.
type Pool struct {
	Kind string `json:"kind"`
	// Model is the model name in calls to an engine, encoder or reranker.
	Model string `json:"model,omitempty"`
	// Slots is the number of concurrent calls per endpoint. Default: 8.
	Slots int `json:"slots,omitempty"`
	// TimeoutMs limits the duration of one call. Default: 3000 ms.
	TimeoutMs int `json:"timeout_ms,omitempty"`
	// ChecksFencing is set if endpoints refuse commands with an outdated fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Resume is set if engines can resume a broken stream at a token offset.
	Resume bool `json:"resume,omitempty"`
	// ReportsLoad is set if endpoints publish load figures at /metrics.
	ReportsLoad bool `json:"reports_load,omitempty"`
	// Adapters and Version name the adapters and the model version that the command
	// loop tells engines to load.
	Adapters []string `json:"adapters,omitempty"`
	Version  string   `json:"version,omitempty"`
}

// Timeout returns the timeout of one call.
func (p Pool) Timeout() time.Duration { return time.Duration(p.TimeoutMs) * time.Millisecond }

// Pipeline is an ordered list of three to six stages under one deadline.
type Pipeline struct {
	// DeadlineMs is the deadline of a request that sets none, and the maximum for
	// requests that set one. Default: 3000 ms.
	DeadlineMs int     `json:"deadline_ms,omitempty"`
	Stages     []Stage `json:"stages"`
}

// Deadline returns the default and maximum deadline of requests to the pipeline.
func (p Pipeline) Deadline() time.Duration { return time.Duration(p.DeadlineMs) * time.Millisecond }

// Stage is one step of a pipeline.
type Stage struct {
	Name string      `json:"name"`
	Pool core.PoolID `json:"pool"`
	// TopK is the number of documents that a retrieval or reranking stage keeps. Default: 4.
	TopK int `json:"top_k,omitempty"`
	// MaxTokens limits the tokens that a generation stage generates. Default: 64.
	MaxTokens int `json:"max_tokens,omitempty"`
}

// Service is a plain service with named operations.
type Service struct {
	Pool       core.PoolID          `json:"pool"`
	Operations map[string]Operation `json:"operations"`
}

// Operation is one operation of a plain service.
type Operation struct {
	// Repeatable is set if the operation may safely run more than once.
	Repeatable bool `json:"repeatable"`
	// TimeoutMs limits the duration of one call. Default: the pool's timeout.
	TimeoutMs int `json:"timeout_ms,omitempty"`
	// NotStartedStatuses lists the HTTP statuses that the endpoint returns only if it
	// did not start the operation.
	NotStartedStatuses []int `json:"not_started_status,omitempty"`
}

// Timeout returns the timeout of one call.
func (o Operation) Timeout() time.Duration { return time.Duration(o.TimeoutMs) * time.Millisecond }

// Version is the number of an accepted configuration, counted from 1. 0 means none.
type Version uint64

// Snapshot is a validated configuration with indexes. It is never changed
// after Compile returns it.
type Snapshot struct {
	Version Version
	// SHA256 is the hex digest of Source.
	SHA256 string
	// Source is the operators' file, byte for byte.
	Source []byte
	Lists  *Lists

	byKey map[[32]byte]core.AccountID
}

// AccountByKey returns the account whose bearer key has the given SHA-256 digest.
func (s *Snapshot) AccountByKey(digest [32]byte) (core.AccountID, bool) {
	id, ok := s.byKey[digest]
	return id, ok
}

// PlanOf returns the plan that the account holds.
func (s *Snapshot) PlanOf(id core.AccountID) Plan {
	return s.Lists.Plans[s.Lists.Accounts[id].Plan]
}

// Floor returns the floor of rank r as a fraction of a pool's capacity.
func (s *Snapshot) Floor(r core.Rank) float64 { return s.Lists.Ranks[r.String()].Floor }
