package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/jsonc"
)

// Defaults of optional keys, and limits.
const (
	defaultSlots              = 8
	defaultPoolTimeoutMs      = 3000
	defaultPipelineDeadlineMs = 3000
	defaultTopK               = 4
	defaultMaxTokens          = 64
	minStages                 = 3
	maxStages                 = 6
	maxDeadlineMs             = 600_000
	maxKeysPerAccount         = 8
	// MaxSourceBytes is the maximum size of the operators' file.
	MaxSourceBytes = 4 << 20
)

// Compile validates src, which was read from file, and returns its snapshot with the
// given version. A validation error is a *jsonc.Error that names the line and the
// key.
func Compile(file string, src []byte, version Version) (*Snapshot, error) {
	if len(src) > MaxSourceBytes {
		return nil, &jsonc.Error{File: file, Line: 1, Found: fmt.Sprintf("%d bytes", len(src)), Allowed: fmt.Sprintf("at most %d bytes", MaxSourceBytes)}
	}
	doc, err := jsonc.Parse(file, src)
	if err != nil {
		return nil, err
	}
	lists := &Lists{}
	if err := doc.Decode(lists); err != nil {
		return nil, err
	}
	lists.setDefaults()
	c := &checker{doc: doc, lists: lists, byKey: map[[32]byte]core.AccountID{}}
	if err := c.check(); err != nil {
		return nil, err
	}
	sum := sha256.Sum256(src)
	return &Snapshot{Version: version, SHA256: hex.EncodeToString(sum[:]), Source: src, Lists: lists, byKey: c.byKey}, nil
}

func (l *Lists) setDefaults() {
	for id, p := range l.Pools {
		p.Slots = orDefault(p.Slots, defaultSlots)
		p.TimeoutMs = orDefault(p.TimeoutMs, defaultPoolTimeoutMs)
		l.Pools[id] = p
	}
	for name, p := range l.Plans {
		if p.Rank == "" {
			p.Rank = core.Normal.String()
		}
		if p.Weight == 0 {
			p.Weight = 1
		}
		l.Plans[name] = p
	}
	for name, p := range l.Pipelines {
		p.DeadlineMs = orDefault(p.DeadlineMs, defaultPipelineDeadlineMs)
		for i := range p.Stages {
			p.Stages[i].TopK = orDefault(p.Stages[i].TopK, defaultTopK)
			p.Stages[i].MaxTokens = orDefault(p.Stages[i].MaxTokens, defaultMaxTokens)
		}
		l.Pipelines[name] = p
	}
	for _, s := range l.Services {
		for name, op := range s.Operations {
			op.TimeoutMs = orDefault(op.TimeoutMs, l.Pools[s.Pool].TimeoutMs)
			s.Operations[name] = op
		}
	}
}

func orDefault(v, def int) int {
	if v == 0 {
		return def
	}
	return v
}

// checker validates decoded lists and indexes the accounts by key digest.
type checker struct {
	doc   *jsonc.Document
	lists *Lists
	byKey map[[32]byte]core.AccountID
}

func (c *checker) check() error {
	for _, f := range []func() error{c.checkRanks, c.checkPools, c.checkPipelines, c.checkServices, c.checkPlans, c.checkAccounts} {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

func (c *checker) checkRanks() error {
	sum := 0.0
	for _, name := range sortedKeys(c.lists.Ranks) {
		key := "ranks." + name
		if _, err := core.ParseRank(name); err != nil {
			return c.doc.ErrorAt(key, "an unknown rank", "urgent, normal, bulk")
		}
		f := c.lists.Ranks[name].Floor
		if f < 0 || f > 1 {
			return c.doc.ErrorAt(key+".floor", fmt.Sprint(f), "0 to 1")
		}
		sum += f
	}
	if sum > 1 {
		return c.doc.ErrorAt("ranks", fmt.Sprintf("floors that add up to %g", sum), "a sum of at most 1")
	}
	return nil
}

func (c *checker) checkPools() error {
	kinds := []string{KindEncoder, KindRetriever, KindReranker, KindEngine, KindService}
	for _, id := range sortedKeys(c.lists.Pools) {
		key, p := "pools."+string(id), c.lists.Pools[id]
		if !slices.Contains(kinds, p.Kind) {
			return c.doc.ErrorAt(key+".kind", fmt.Sprintf("%q", p.Kind), strings.Join(kinds, ", "))
		}
		if p.Slots < 1 || p.Slots > 4096 {
			return c.doc.ErrorAt(key+".slots", fmt.Sprint(p.Slots), "1 to 4096 concurrent calls")
		}
		if p.TimeoutMs < 1 || p.TimeoutMs > maxDeadlineMs {
			return c.doc.ErrorAt(key+".timeout_ms", fmt.Sprint(p.TimeoutMs), "1 to 600000 ms")
		}
		if p.Resume && p.Kind != KindEngine {
			return c.doc.ErrorAt(key+".resume", "true on a pool of kind "+p.Kind, "only on kind engine")
		}
	}
	return nil
}

func (c *checker) checkPipelines() error {
	for _, name := range sortedKeys(c.lists.Pipelines) {
		key, p := "pipelines."+name, c.lists.Pipelines[name]
		if n := len(p.Stages); n < minStages || n > maxStages {
			return c.doc.ErrorAt(key+".stages", fmt.Sprintf("%d stages", n), "3 to 6 stages")
		}
		if p.DeadlineMs < 1 || p.DeadlineMs > maxDeadlineMs {
			return c.doc.ErrorAt(key+".deadline_ms", fmt.Sprint(p.DeadlineMs), "1 to 600000 ms")
		}
		if err := c.checkStages(key, p); err != nil {
			return err
		}
	}
	return nil
}

func (c *checker) checkStages(key string, p Pipeline) error {
	seen := map[string]bool{}
	for i, s := range p.Stages {
		stageKey := fmt.Sprintf("%s.stages[%d]", key, i)
		if s.Name == "" || seen[s.Name] {
			return c.doc.ErrorAt(stageKey+".name", fmt.Sprintf("%q", s.Name), "a name that no other stage of the pipeline has")
		}
		seen[s.Name] = true
		pool, ok := c.lists.Pools[s.Pool]
		if !ok {
			return c.doc.ErrorAt(stageKey+".pool", fmt.Sprintf("%q", s.Pool), joinedKeys(c.lists.Pools))
		}
		if pool.Kind == KindService {
			return c.doc.ErrorAt(stageKey+".pool", "a pool of kind service", "a pool of kind encoder, retriever, reranker or engine")
		}
		if pool.Kind == KindEngine && i != len(p.Stages)-1 {
			return c.doc.ErrorAt(stageKey+".pool", "a pool of kind engine before the last stage", "a pool of kind engine in the last stage only")
		}
		if s.TopK < 1 || s.MaxTokens < 1 {
			return c.doc.ErrorAt(stageKey, "top_k or max_tokens below 1", "top_k and max_tokens of 1 or more")
		}
	}
	return nil
}

func (c *checker) checkServices() error {
	for _, name := range sortedKeys(c.lists.Services) {
		key, s := "services."+name, c.lists.Services[name]
		if pool, ok := c.lists.Pools[s.Pool]; !ok || pool.Kind != KindService {
			return c.doc.ErrorAt(key+".pool", fmt.Sprintf("%q", s.Pool), "a pool of kind service")
		}
		if len(s.Operations) == 0 {
			return c.doc.ErrorAt(key+".operations", "no operations", "at least one operation")
		}
		for _, op := range sortedKeys(s.Operations) {
			if t := s.Operations[op].TimeoutMs; t < 1 || t > maxDeadlineMs {
				return c.doc.ErrorAt(key+".operations."+op+".timeout_ms", fmt.Sprint(t), "1 to 600000 ms")
			}
		}
	}
	return nil
}

func (c *checker) checkPlans() error {
	for _, name := range sortedKeys(c.lists.Plans) {
		key, p := "plans."+name, c.lists.Plans[name]
		if _, err := core.ParseRank(p.Rank); err != nil {
			return c.doc.ErrorAt(key+".rank", fmt.Sprintf("%q", p.Rank), "urgent, normal, bulk")
		}
		if p.Weight <= 0 || p.Weight > 1000 {
			return c.doc.ErrorAt(key+".weight", fmt.Sprint(p.Weight), "above 0, at most 1000")
		}
		if p.RequestsPerS < 0 || p.TokensPerS < 0 || p.Concurrency < 0 {
			return c.doc.ErrorAt(key, "a negative limit", "0 (no limit) or more")
		}
		if err := c.checkReferences(key+".pipelines", p.Pipelines, sortedKeys(c.lists.Pipelines)); err != nil {
			return err
		}
		if err := c.checkReferences(key+".services", p.Services, sortedKeys(c.lists.Services)); err != nil {
			return err
		}
	}
	return nil
}

// checkReferences verifies that each used name is known or "*".
func (c *checker) checkReferences(key string, used, known []string) error {
	for i, n := range used {
		if n != "*" && !slices.Contains(known, n) {
			return c.doc.ErrorAt(fmt.Sprintf("%s[%d]", key, i), fmt.Sprintf("%q", n), "*, "+strings.Join(known, ", "))
		}
	}
	return nil
}

func (c *checker) checkAccounts() error {
	for _, id := range sortedKeys(c.lists.Accounts) {
		key, a := "accounts."+string(id), c.lists.Accounts[id]
		if _, ok := c.lists.Plans[a.Plan]; !ok {
			return c.doc.ErrorAt(key+".plan", fmt.Sprintf("%q", a.Plan), joinedKeys(c.lists.Plans))
		}
		if n := len(a.KeysSHA256); n < 1 || n > maxKeysPerAccount {
			return c.doc.ErrorAt(key+".keys_sha256", fmt.Sprintf("%d keys", n), "1 to 8 keys")
		}
		for i, k := range a.KeysSHA256 {
			if err := c.addKey(fmt.Sprintf("%s.keys_sha256[%d]", key, i), id, k); err != nil {
				return err
			}
		}
	}
	return nil
}

// addKey indexes a key digest of an account.
func (c *checker) addKey(key string, id core.AccountID, digest string) error {
	raw, err := hex.DecodeString(digest)
	if err != nil || len(raw) != sha256.Size {
		return c.doc.ErrorAt(key, "a value that is not a SHA-256 digest", "the SHA-256 digest of a key as 64 hexadecimal digits")
	}
	if other, dup := c.byKey[[32]byte(raw)]; dup {
		return c.doc.ErrorAt(key, "a key that account "+string(other)+" has", "a different key for each account")
	}
	c.byKey[[32]byte(raw)] = id
	return nil
}

func sortedKeys[K ~string, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// joinedKeys returns the keys of m in sorted order, separated by commas.
func joinedKeys[K ~string, V any](m map[K]V) string {
	parts := make([]string, 0, len(m))
	for _, k := range sortedKeys(m) {
		parts = append(parts, string(k))
	}
	return strings.Join(parts, ", ")
}
