package standin

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockBytes is the size of the blocks in which prompts are cached.
	blockBytes = 64
	// minKeptEvents is the number of cache events that the event log keeps when it
	// is trimmed, at twice this length. To a reader, trimmed events are gaps.
	minKeptEvents = 4096
)

// prefixCache is an LRU cache of prompt prefixes, divided into blocks. The key of
// a block is the xxHash64 of the prompt from its start to the end of the block, so
// that a reader of the events can compute the keys of any prompt.
type prefixCache struct {
	capacityBlocks int
	eventLag       time.Duration
	eventLoss      float64

	mu           sync.Mutex
	random       *rand.Rand
	recentlyUsed *list.List
	blocks       map[uint64]*list.Element
	events       []cacheEvent
	lastSeq      uint64
	// hits counts the prompts of which at least one block was cached.
	hits int64
}

// cacheEvent is one change of the cache.
type cacheEvent struct {
	Seq        uint64 `json:"seq"`
	Prefix     string `json:"prefix"`
	Op         string `json:"op"`
	recordedAt time.Time
}

// newPrefixCache returns an empty cache. Events are published after lag; each is
// lost with probability loss.
func newPrefixCache(capacityBytes int, lag time.Duration, loss float64, seed uint64) *prefixCache {
	return &prefixCache{capacityBlocks: capacityBytes / blockBytes, eventLag: lag, eventLoss: loss, random: rand.New(rand.NewPCG(seed, 0)),
		recentlyUsed: list.New(), blocks: map[uint64]*list.Element{}}
}

// lookUpAndAdd adds the prompt's blocks to the cache and returns the length in
// bytes of the longest prefix that was cached before.
func (c *prefixCache) lookUpAndAdd(prompt string) int {
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	var d xxhash.Digest
	d.Reset()
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		d.WriteString(prompt[end-blockBytes : end])
		hashes = append(hashes, d.Sum64())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := 0
	for cached < len(hashes) && c.blocks[hashes[cached]] != nil {
		cached++
	}
	if cached > 0 {
		c.hits++
	}
	hashes = hashes[:min(len(hashes), c.capacityBlocks)]
	// From the last block to the first, so that the first is the most recently used
	// and a prefix is evicted after its extensions.
	for i := len(hashes) - 1; i >= 0; i-- {
		if el := c.blocks[hashes[i]]; el != nil {
			c.recentlyUsed.MoveToFront(el)
			continue
		}
		c.blocks[hashes[i]] = c.recentlyUsed.PushFront(hashes[i])
		c.recordEvent(hashes[i], "add")
	}
	for c.recentlyUsed.Len() > c.capacityBlocks {
		hash := c.recentlyUsed.Remove(c.recentlyUsed.Back()).(uint64)
		delete(c.blocks, hash)
		c.recordEvent(hash, "evict")
	}
	return cached * blockBytes
}

// recordEvent appends an event to the log. A lost event is not appended, but uses up
// a sequence number.
func (c *prefixCache) recordEvent(hash uint64, op string) {
	c.lastSeq++
	if c.eventLoss > 0 && c.random.Float64() < c.eventLoss {
		return
	}
	c.events = append(c.events, cacheEvent{c.lastSeq, fmt.Sprintf("%016x", hash), op, time.Now()})
	if len(c.events) >= 2*minKeptEvents {
		c.events = append([]cacheEvent(nil), c.events[len(c.events)-minKeptEvents:]...)
	}
}

// clear empties the cache and the event log, as a restart of the engine does.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recentlyUsed.Init()
	clear(c.blocks)
	c.events = nil
	c.lastSeq++
}

func (c *prefixCache) hitCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hits
}

// ServeHTTP implements GET /cache/events?after=SEQ.
func (c *prefixCache) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		http.Error(w, "after is not an unsigned integer", http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	found, publishedUntil := []cacheEvent{}, time.Now().Add(-c.eventLag)
	for _, e := range c.events {
		if e.Seq > after && !e.recordedAt.After(publishedUntil) {
			found = append(found, e)
		}
	}
	c.mu.Unlock()
	writeJSON(w, map[string]any{"events": found})
}
