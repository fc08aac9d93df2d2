package standin

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"eelgrassgrade/internal/config"
)

// callHeader identifies a call. The endpoint copies it to the answer, so that the
// daemon can check that the answer belongs to its call.
const callHeader = "X-Eelgrass-Call"

// EndpointOptions sets the size and speed of an endpoint stand-in.
type EndpointOptions struct {
	// Kind is one of the pool kinds of package config.
	Kind string
	// Slots is the number of calls that can run at the same time.
	Slots int
	// ServiceTime is the duration of one call; for an engine, the time to the first
	// token without prefill.
	ServiceTime time.Duration
	// CrashMarker is a text that crashes the endpoint when the body of a running
	// call contains it. If it is empty, no call crashes the endpoint.
	CrashMarker string
	// CrashDown is the time for which the endpoint refuses connections after a
	// crash. 0 ends the process.
	CrashDown time.Duration
	// LoadLag makes the load figures at /metrics between one and two lags old; with
	// 0 they are current.
	LoadLag time.Duration
	Engine  EngineOptions
}

// EngineOptions holds the options that apply to engines only.
type EngineOptions struct {
	// TokenTime is the time per token after the first while one sequence runs.
	TokenTime time.Duration
	// BatchGrowth is the fraction of TokenTime that each running sequence after the
	// first adds to the time per token.
	BatchGrowth float64
	// PrefillTime is added to ServiceTime per KiB of prompt that is not cached.
	PrefillTime time.Duration
	// CacheBytes is the capacity of the prefix cache.
	CacheBytes int
	// EventLag delays the publication of cache events; EventLoss is the probability
	// that an event is never published.
	EventLag  time.Duration
	EventLoss float64
	// ChecksFencing makes the engine refuse commands whose fencing token is below
	// the highest one accepted.
	ChecksFencing bool
	// Model and Version identify the model that the engine serves at start.
	Model, Version string
	// Seed seeds the random choice of lost cache events.
	Seed uint64
}

// Endpoint stands in for an encoder, retriever, reranker, engine or plain service.
type Endpoint struct {
	opts   EndpointOptions
	faults faultState
	// crashServer ends the process, or closes the port and all connections for the
	// time down. If it is nil, a crash closes only the connection of its call.
	crashServer func(down time.Duration)
	load        *loadReport

	slots                      chan struct{}
	waiting                    atomic.Int64
	calls, finished, cancelled atomic.Int64
	crashes, busyNs            atomic.Int64

	batch                        *batch
	cache                        *prefixCache
	admin                        engineAdmin
	promptTokens, cachedTokens   atomic.Int64
	duplicates, swaps, truncated atomic.Int64

	mu         sync.Mutex
	effects    []Effect
	lastAnswer sentAnswer
}

// Effect records one operation that a plain service carried out.
type Effect struct {
	Order     int    `json:"order"`
	Operation string `json:"operation"`
	Key       string `json:"key"`
	Call      string `json:"call"`
	Body      string `json:"body"`
}

// NewEndpoint returns an endpoint stand-in without faults.
func NewEndpoint(o EndpointOptions) *Endpoint {
	o.Slots = max(1, o.Slots)
	e := &Endpoint{opts: o, slots: make(chan struct{}, o.Slots)}
	e.batch = newBatch(o.Slots, o.Engine.TokenTime, o.Engine.BatchGrowth, &e.faults)
	e.cache = newPrefixCache(o.Engine.CacheBytes, o.Engine.EventLag, o.Engine.EventLoss, o.Engine.Seed)
	e.admin = engineAdmin{checksFencing: o.Engine.ChecksFencing, state: engineState{Model: o.Engine.Model, Version: o.Engine.Version}}
	e.load = newLoadReport(o.LoadLag, o.Slots, e.sampleLoad)
	return e
}

func (e *Endpoint) sampleLoad() loadSample {
	if e.opts.Kind == config.KindEngine {
		running, waiting := e.batch.queueLengths()
		return loadSample{int64(running), int64(waiting), e.cache.hitCount()}
	}
	return loadSample{running: int64(len(e.slots)), waiting: e.waiting.Load()}
}

// Handler returns the handler for calls of daemons.
func (e *Endpoint) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", e.faults.withRequestFaults(e.load.ServeHTTP))
	switch e.opts.Kind {
	case config.KindEncoder:
		mux.HandleFunc("POST /v1/embeddings", e.serveCall(e.withSlot(computeEmbedding)))
	case config.KindRetriever:
		mux.HandleFunc("POST /v1/retrieve", e.serveCall(e.withSlot(findDocuments)))
	case config.KindReranker:
		mux.HandleFunc("POST /v1/rerank", e.serveCall(e.withSlot(rankDocuments)))
	case config.KindEngine:
		mux.HandleFunc("POST /v1/completions", e.serveCall(e.completions))
		mux.HandleFunc("GET /cache/events", e.faults.withRequestFaults(e.cache.ServeHTTP))
		mux.HandleFunc("GET /admin/state", e.faults.withRequestFaults(e.admin.getState))
		mux.HandleFunc("POST /admin/load", e.faults.withRequestFaults(e.admin.loadModel))
	default:
		mux.HandleFunc("POST /{operation}", e.serveCall(e.withSlot(e.applyOperation)))
	}
	return mux
}

// call is a call to an endpoint, with its whole body.
type call struct {
	w    http.ResponseWriter
	r    *http.Request
	id   string
	body []byte
}

// serveCall returns a handler that reads the body, applies the faults that
// precede a call and runs it. An error of run is answered with status 400.
func (e *Endpoint) serveCall(run func(call) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// net/http detects a closed connection only after the body has been read.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		// Counted before the faults: a call that a fault refuses or blocks has still
		// been made by the daemon.
		e.calls.Add(1)
		if !e.faults.applyCallFaults(w, r) {
			return
		}
		if err := run(call{w, r, r.Header.Get(callHeader), body}); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	}
}

// withSlot waits for a slot, in order of arrival, occupies it for the service
// time and then answers with the result of compute.
func (e *Endpoint) withSlot(compute func(call) (any, error)) func(call) error {
	return func(c call) error {
		ctx := c.r.Context()
		e.waiting.Add(1)
		select {
		case e.slots <- struct{}{}:
			e.waiting.Add(-1)
		case <-ctx.Done():
			e.waiting.Add(-1)
			e.cancelled.Add(1)
			return nil
		}
		if !e.runInSlot(c) {
			e.cancelled.Add(1)
			return nil
		}
		v, err := compute(c)
		if err != nil {
			return err
		}
		e.finished.Add(1)
		e.sendAnswer(c, v)
		return nil
	}
}

// runInSlot occupies the slot that the call has taken for the service time and
// then frees it. It returns false if the caller closed the connection.
func (e *Endpoint) runInSlot(c call) bool {
	started := time.Now()
	defer func() {
		<-e.slots
		e.busyNs.Add(int64(time.Since(started)))
	}()
	e.crashIfMarked(c.body)
	ctx := c.r.Context()
	return sleepContext(ctx, applySlowFactor(e.opts.ServiceTime, &e.faults)) && e.faults.waitWhileFrozen(ctx.Done())
}

// crashIfMarked crashes the endpoint if body contains the crash marker.
func (e *Endpoint) crashIfMarked(body []byte) {
	if m := e.opts.CrashMarker; m == "" || !strings.Contains(string(body), m) {
		return
	}
	e.Crash(e.opts.CrashDown)
	abortConnection()
}

// Crash resets all connections and refuses new ones for the time down. A time of
// 0 ends the process.
func (e *Endpoint) Crash(down time.Duration) {
	e.crashes.Add(1)
	e.cache.clear()
	if e.crashServer != nil {
		e.crashServer(down)
	}
}

// ControlHandler returns the handler of the control port: POST /faults, POST
// /crash?down=DURATION, GET /effects, GET /commands, GET /counts.
func (e *Endpoint) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /faults", &e.faults)
	mux.HandleFunc("POST /crash", func(w http.ResponseWriter, r *http.Request) {
		down, err := time.ParseDuration(r.URL.Query().Get("down"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.Crash(down)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /commands", e.admin.listCommands)
	mux.HandleFunc("GET /effects", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		writeJSON(w, e.effects)
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Counts()) })
	return mux
}

// Counts holds the totals of an endpoint since its start.
type Counts struct {
	Calls     int64 `json:"calls"`
	Finished  int64 `json:"finished"`
	Cancelled int64 `json:"cancelled"`
	Crashes   int64 `json:"crashes"`
	// BusyMs is the time for which slots were occupied, summed over slots;
	// CancelledBusyMs is the part of it that went to cancelled completions.
	BusyMs          float64 `json:"busy_ms"`
	CancelledBusyMs float64 `json:"cancelled_busy_ms"`
	// Tokens counts generated tokens. PromptTokens counts the tokens of the prompts
	// that got a slot, and CachedTokens those of them that were in the prefix cache.
	Tokens       int64 `json:"tokens"`
	PromptTokens int64 `json:"prompt_tokens"`
	CachedTokens int64 `json:"cached_tokens"`
	// Duplicates, Swaps and Truncated count the answers to which the faults
	// Duplicate, SwapAnswers and Truncate were applied.
	Duplicates int64 `json:"duplicates"`
	Swaps      int64 `json:"swaps"`
	Truncated  int64 `json:"truncated"`
}

// Counts returns the counts so far.
func (e *Endpoint) Counts() Counts {
	b := e.batch.totals()
	const ms = float64(time.Millisecond)
	return Counts{
		Calls: e.calls.Load(), Finished: e.finished.Load(), Cancelled: e.cancelled.Load() + b.cancelled, Crashes: e.crashes.Load(),
		BusyMs: float64(e.busyNs.Load()+int64(b.busyTime)) / ms, CancelledBusyMs: float64(b.cancelledBusyTime) / ms,
		Tokens: b.tokens, PromptTokens: e.promptTokens.Load(), CachedTokens: e.cachedTokens.Load(),
		Duplicates: e.duplicates.Load(), Swaps: e.swaps.Load(), Truncated: e.truncated.Load(),
	}
}

// Plus returns the sum of c and o.
func (c Counts) Plus(o Counts) Counts {
	return Counts{
		Calls: c.Calls + o.Calls, Finished: c.Finished + o.Finished, Cancelled: c.Cancelled + o.Cancelled, Crashes: c.Crashes + o.Crashes,
		BusyMs: c.BusyMs + o.BusyMs, CancelledBusyMs: c.CancelledBusyMs + o.CancelledBusyMs,
		Tokens: c.Tokens + o.Tokens, PromptTokens: c.PromptTokens + o.PromptTokens, CachedTokens: c.CachedTokens + o.CachedTokens,
		Duplicates: c.Duplicates + o.Duplicates, Swaps: c.Swaps + o.Swaps, Truncated: c.Truncated + o.Truncated,
	}
}
