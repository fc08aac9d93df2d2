// Package configcheck finds mistakes in the operators' configuration that its decoder
// accepts: entries that can never match and limits that contradict each other. It compares
// two configurations as well. It does no I/O.
package configcheck

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
)

// Configuration is a configuration as the daemon reads it, with its entries in the order of
// the file.
type Configuration struct {
	Version int64
	Routes  []*catalog.Route
	Pools   []*catalog.Pool
	// Accounts is nil if requests need no key.
	Accounts []Account
}

// Account is a client account with its API keys.
type Account struct {
	ID   core.AccountID
	Keys []string
	// Priority replaces the priority of routes if it is not nil.
	Priority *int
}

// File is a configuration with the places of its entries in their file.
type File struct {
	Configuration
	Positions map[List][]Position
	// Unusable holds the entries that daemons cannot use.
	Unusable []UnusableEntry
}

// UnusableEntry is an entry that daemons cannot use, with the place of the mistake.
type UnusableEntry struct {
	Finding
	Position Position
}

// Position is a place in a file, from 1 on. Columns count bytes.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// PositionOf returns the position of the byte at an offset of src.
func PositionOf(src []byte, offset int64) Position {
	before := src[:min(max(offset, 0), int64(len(src)))]
	return Position{Line: 1 + bytes.Count(before, []byte("\n")), Column: len(before) - bytes.LastIndexByte(before, '\n')}
}

// List is a list of a configuration.
type List = catalog.List

// The lists of a configuration.
const (
	Routes   = catalog.ListRoutes
	Pools    = catalog.ListPools
	Accounts = catalog.ListAccounts
)

// Finding is a mistake in an entry.
type Finding = catalog.Problem

type checker struct {
	pools    map[core.PoolID]*catalog.Pool
	findings []Finding
}

// Check returns the mistakes of a configuration in the order of its entries.
func Check(c *Configuration) []Finding {
	k := &checker{pools: map[core.PoolID]*catalog.Pool{}}
	for i, p := range c.Pools {
		if k.pools[p.ID] != nil {
			k.add(Pools, i, string(p.ID), "another entry of the same name comes before it: the last one counts")
		}
		k.pools[p.ID] = p
	}
	firstAt := map[string]string{}
	for i, r := range c.Routes {
		at := strings.ToLower(r.Host) + " " + r.Prefix
		if first, taken := firstAt[at]; taken {
			k.add(Routes, i, r.Name, "never matches: route %q has the same host and prefix and comes first", first)
		} else {
			firstAt[at] = r.Name
		}
		k.checkTargets(i, r)
		k.checkTimes(i, r)
		if !r.Public && c.Accounts != nil && len(c.Accounts) == 0 {
			k.add(Routes, i, r.Name, "refuses all requests: it needs a key, and there is no account")
		}
	}
	k.checkAccounts(c.Accounts)
	return k.findings
}

func (k *checker) add(list List, index int, entry, format string, args ...any) {
	k.findings = append(k.findings, Finding{List: list, Index: index, Entry: entry, Text: fmt.Sprintf(format, args...)})
}

// checkTargets checks where the requests of a route go.
func (k *checker) checkTargets(i int, r *catalog.Route) {
	total := 0
	for _, share := range r.Split {
		total += max(share.Weight, 0)
		if share.Weight <= 0 {
			k.add(Routes, i, r.Name, "pool %q gets no requests: its weight is %d", share.Pool, share.Weight)
		}
		if k.pools[share.Pool] == nil {
			k.add(Routes, i, r.Name, "pool %q is not in the configuration", share.Pool)
		}
	}
	if total == 0 {
		k.add(Routes, i, r.Name, "names no pool that gets requests")
	}
	for j, s := range r.Stages {
		if p := k.pools[s.Pool]; p == nil || p.Batching == nil {
			k.add(Routes, i, r.Name, "stage %d: pool %q runs no stages", j, s.Pool)
		}
	}
}

// checkTimes checks the limits of a route against each other.
func (k *checker) checkTimes(i int, r *catalog.Route) {
	if r.Timeout > 0 && r.LatencyTarget > r.Timeout {
		k.add(Routes, i, r.Name, "the latency target of %v is above the timeout of %v", r.LatencyTarget, r.Timeout)
	}
	if r.Timeout > 0 && r.GapTarget > r.Timeout {
		k.add(Routes, i, r.Name, "the gap target of %v is above the timeout of %v", r.GapTarget, r.Timeout)
	}
	if r.GapTarget > 0 && !r.Stream {
		k.add(Routes, i, r.Name, "the gap target has no effect: answers are no streams")
	}
	if r.Attempts > 1 && r.Repeat == catalog.Once {
		k.add(Routes, i, r.Name, "%d attempts have no effect: requests may run only once", r.Attempts)
	}
	switch least := k.leastStageTime(r); {
	case r.Timeout > 0 && least >= r.Timeout:
		k.add(Routes, i, r.Name, "no request can be served: the stages take %v at least, and the timeout is %v", least, r.Timeout)
	case r.LatencyTarget > 0 && least >= r.LatencyTarget:
		k.add(Routes, i, r.Name, "all answers are late: the stages take %v at least, and the latency target is %v", least, r.LatencyTarget)
	}
}

// leastStageTime returns the time of the longest chain of a route's stages if each call
// holds one piece and nothing waits.
func (k *checker) leastStageTime(r *catalog.Route) time.Duration {
	ends := make([]time.Duration, len(r.Stages))
	for _, j := range r.StageOrder() {
		s := r.Stages[j]
		for _, d := range s.DependsOn {
			ends[j] = max(ends[j], ends[d])
		}
		if p := k.pools[s.Pool]; p != nil && p.Batching != nil {
			ends[j] += p.Batching.CallTime + p.Batching.PieceTime
		}
	}
	return slices.Max(append(ends, 0))
}

func (k *checker) checkAccounts(accounts []Account) {
	holder := map[string]core.AccountID{}
	names := map[core.AccountID]bool{}
	for i, a := range accounts {
		if names[a.ID] {
			k.add(Accounts, i, string(a.ID), "another entry of the same name comes before it")
		}
		names[a.ID] = true
		if len(a.Keys) == 0 {
			k.add(Accounts, i, string(a.ID), "has no API key: nobody can use it")
		}
		for j, key := range a.Keys {
			switch other, taken := holder[key]; {
			case key == "":
				k.add(Accounts, i, string(a.ID), "API key %d is empty", j)
			case taken && other != a.ID:
				k.add(Accounts, i, string(a.ID), "API key %d belongs to account %q too: requests count for the last of them", j, other)
			}
			holder[key] = a.ID
		}
	}
}
