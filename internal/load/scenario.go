// Package load generates the load that a scenario file describes, sends it to daemons
// and reports counts and latencies as callers see them. Arrivals are open-loop: they
// do not wait for responses.
package load

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/jsonc"
	"eelgrassgrade/internal/standin"
)

// Values of Scenario.Spread, the distribution of requests over the daemons.
const (
	SpreadRoundRobin = "round_robin"
	// SpreadPinned sends all requests of an account to one daemon.
	SpreadPinned = "pinned"
)

// Scenario is the content of a scenario file.
type Scenario struct {
	// Seed is the random seed for arrivals and inputs.
	Seed uint64 `json:"seed"`
	// Daemons lists the caller API addresses, host:port. Flags may replace them.
	Daemons []string `json:"daemons,omitempty"`
	// Spread is round_robin or pinned. Default: round_robin.
	Spread string `json:"spread,omitempty"`
	// WarmUpMs is the time at the start whose requests do not count in Result.Groups.
	// Default: 0 ms.
	WarmUpMs int `json:"warm_up_ms,omitempty"`
	// MaxInFlight is the maximum number of requests in progress. Arrivals beyond it
	// count as not sent. Default: 4096.
	MaxInFlight int              `json:"max_in_flight,omitempty"`
	Classes     map[string]Class `json:"classes"`
	Phases      []Phase          `json:"phases"`
	// Bench configures eelgrass-local bench; eelgrassctl load ignores it.
	Bench *Bench `json:"bench,omitempty"`
}

// Class describes requests that differ only in their inputs.
type Class struct {
	Account string `json:"account"`
	// Key is the account's bearer key. Default: "key-" followed by the account, as in
	// the example lists.
	Key string `json:"key,omitempty"`
	// Rank is sent as X-Rank and selects the result row. Default: normal.
	Rank string `json:"rank,omitempty"`
	// Pipeline, or Service and Operation, name what the requests call.
	Pipeline  string `json:"pipeline,omitempty"`
	Service   string `json:"service,omitempty"`
	Operation string `json:"operation,omitempty"`
	// IdempotencyKey sends a unique idempotency key with each request.
	IdempotencyKey bool `json:"idempotency_key,omitempty"`
	// InputBytes is the range of the input's length, without the shared prefix.
	InputBytes Range `json:"input_bytes"`
	// Prefixes is the number of different prefixes, of PrefixBytes each. Every input
	// starts with one of them. Default: 0, no shared prefixes.
	Prefixes    int `json:"prefixes,omitempty"`
	PrefixBytes int `json:"prefix_bytes,omitempty"`
	// MaxTokens is sent as max_tokens; 0 means the pipeline's default.
	MaxTokens int  `json:"max_tokens,omitempty"`
	Stream    bool `json:"stream,omitempty"`
	// DeadlineMs is sent as X-Deadline-Ms. Answers within it are in time.
	DeadlineMs int `json:"deadline_ms"`
	// Daemon is the index of the daemon that gets all requests of the class.
	Daemon *int `json:"daemon,omitempty"`
}

// Range is an inclusive range.
type Range struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// Phase is a part of a run with constant request rates.
type Phase struct {
	DurationMs int `json:"duration_ms"`
	// Rates maps classes to requests per second. Other classes send no requests.
	Rates map[string]float64 `json:"rates"`
}

// Bench describes a benchmark on a local deployment.
type Bench struct {
	// Deployment is the file of the local deployment, relative to the scenario file.
	Deployment string `json:"deployment"`
	// Args maps pools to additional flags of their stand-ins.
	Args   map[string][]string `json:"args,omitempty"`
	Faults []Fault             `json:"faults,omitempty"`
	// Baseline is the policy to compare with: fifo, round_robin or unlimited.
	Baseline string `json:"baseline"`
	// Report names the figures to report, such as "rank:urgent.attainment". Package
	// bench defines the names.
	Report []string `json:"report"`
}

// Fault changes the faults of stand-ins at a given time after the start of the load.
type Fault struct {
	AtMs int `json:"at_ms"`
	// Either Endpoint selects one stand-in, such as generator-0, or Pool selects all
	// stand-ins of a pool.
	Endpoint string `json:"endpoint,omitempty"`
	Pool     string `json:"pool,omitempty"`
	// Set replaces all faults of the stand-ins.
	Set standin.Faults `json:"set"`
}

const (
	defaultMaxInFlight = 4096
	maxRunMs           = 3_600_000
	maxRequestsPerS    = 20_000
	maxInputBytes      = 1 << 19
)

// Parse decodes and validates src, the content of file, and sets defaults. Errors are
// of type *jsonc.Error.
func Parse(file string, src []byte) (*Scenario, error) {
	doc, err := jsonc.Parse(file, src)
	if err != nil {
		return nil, err
	}
	s := &Scenario{}
	if err := doc.Decode(s); err != nil {
		return nil, err
	}
	if s.Spread == "" {
		s.Spread = SpreadRoundRobin
	}
	if s.MaxInFlight == 0 {
		s.MaxInFlight = defaultMaxInFlight
	}
	if err := s.check(doc); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Scenario) check(doc *jsonc.Document) error {
	if s.Spread != SpreadRoundRobin && s.Spread != SpreadPinned {
		return doc.ErrorAt("spread", fmt.Sprintf("%q", s.Spread), "round_robin, pinned")
	}
	if s.MaxInFlight < 1 || s.MaxInFlight > 1<<16 {
		return doc.ErrorAt("max_in_flight", fmt.Sprint(s.MaxInFlight), "1 to 65536 requests")
	}
	for _, name := range slices.Sorted(maps.Keys(s.Classes)) {
		c := s.Classes[name]
		if c.Key == "" {
			c.Key = "key-" + c.Account
		}
		if c.Rank == "" {
			c.Rank = core.Normal.String()
		}
		if err := c.check(doc, "classes."+name); err != nil {
			return err
		}
		s.Classes[name] = c
	}
	return s.checkPhases(doc)
}

func (s *Scenario) checkPhases(doc *jsonc.Document) error {
	total := 0
	for i, p := range s.Phases {
		key := fmt.Sprintf("phases[%d]", i)
		if p.DurationMs < 1 {
			return doc.ErrorAt(key+".duration_ms", fmt.Sprint(p.DurationMs), "1 ms or more")
		}
		total += p.DurationMs
		for _, name := range slices.Sorted(maps.Keys(p.Rates)) {
			if _, ok := s.Classes[name]; !ok {
				return doc.ErrorAt(key+".rates."+name, "an unknown class", "a name under classes")
			}
			if r := p.Rates[name]; r < 0 || r > maxRequestsPerS {
				return doc.ErrorAt(key+".rates."+name, fmt.Sprint(r), "0 to 20000 requests/s")
			}
		}
	}
	if total == 0 || total > maxRunMs {
		return doc.ErrorAt("phases", fmt.Sprintf("%d ms in all", total), "1 to 3600000 ms")
	}
	if s.WarmUpMs < 0 || s.WarmUpMs >= total {
		return doc.ErrorAt("warm_up_ms", fmt.Sprint(s.WarmUpMs), "0 ms or more, and less than the duration of all phases")
	}
	return nil
}

func (c Class) check(doc *jsonc.Document, key string) error {
	if c.Account == "" {
		return doc.ErrorAt(key+".account", "no value", "the name of a client account")
	}
	if _, err := core.ParseRank(c.Rank); err != nil {
		return doc.ErrorAt(key+".rank", fmt.Sprintf("%q", c.Rank), "urgent, normal, bulk")
	}
	if (c.Pipeline == "") == (c.Service == "" || c.Operation == "") {
		return doc.ErrorAt(key, "not one target", "either pipeline, or service and operation")
	}
	if r := c.InputBytes; r.Min < minInputBytes || r.Max < r.Min || r.Max+c.PrefixBytes > maxInputBytes {
		return doc.ErrorAt(key+".input_bytes", fmt.Sprintf("%d to %d", r.Min, r.Max), "32 to 524288 bytes with the prefix, min not above max")
	}
	if c.Prefixes < 0 || c.PrefixBytes < 0 || (c.Prefixes == 0) != (c.PrefixBytes == 0) {
		return doc.ErrorAt(key+".prefixes", fmt.Sprintf("%d of %d bytes", c.Prefixes, c.PrefixBytes), "both prefixes and prefix_bytes, or neither")
	}
	if c.DeadlineMs < 1 || c.DeadlineMs > 600_000 {
		return doc.ErrorAt(key+".deadline_ms", fmt.Sprint(c.DeadlineMs), "1 to 600000 ms")
	}
	if c.Stream && c.Pipeline == "" {
		return doc.ErrorAt(key+".stream", "true on a service operation", "only on a pipeline")
	}
	return nil
}

// Duration returns the total length of the phases, in which requests arrive.
func (s *Scenario) Duration() time.Duration {
	total := 0
	for _, p := range s.Phases {
		total += p.DurationMs
	}
	return time.Duration(total) * time.Millisecond
}

func (c Class) deadline() time.Duration { return time.Duration(c.DeadlineMs) * time.Millisecond }

// kind returns the kind of work under which results are grouped.
func (c Class) kind() string {
	switch {
	case c.Service != "":
		return "service"
	case c.Stream:
		return "stream"
	default:
		return "pipeline"
	}
}
