package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the measurements of a run.
type Result struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	// MeasuredS is the length of the phases without the warm-up, in seconds.
	MeasuredS float64 `json:"measured_s"`
	// Lag is the delay between a request's scheduled arrival and its sending.
	// Latencies start at the sending, so that delays of the load tool do not count
	// as latency of the daemon.
	Lag Quantiles `json:"lag"`
	// Groups holds a row for each class, rank, account and kind of work, with keys
	// such as "rank:urgent", and one for "all".
	Groups map[string]*Row `json:"groups"`
	// Series holds the counts of each second from the start, by rank.
	Series map[string][]Point `json:"series"`
	// WrongAnswers describes the first wrong answers.
	WrongAnswers []string `json:"wrong_answers,omitempty"`
}

// Row holds the counts and times of a group of requests.
type Row struct {
	Offered    int64 `json:"offered"`
	InTime     int64 `json:"in_time"`
	Late       int64 `json:"late"`
	Refused    int64 `json:"refused"`
	Wrong      int64 `json:"wrong"`
	Unfinished int64 `json:"unfinished"`
	NotSent    int64 `json:"not_sent"`
	// EndedLate counts requests that ended more than 100 ms after their deadline.
	EndedLate int64 `json:"ended_late"`
	// Attainment is the fraction of the offered requests that were answered in time.
	Attainment float64 `json:"attainment"`
	// GoodputPerS is the number of answers in time, per second of the phases in which
	// the group has arrivals.
	GoodputPerS float64 `json:"goodput_per_s"`
	// Refusals holds the times until the end of refused and unfinished requests. The
	// key is the kind of problem and whether the work ran, such as
	// "unavailable, not run".
	Refusals map[string]Quantiles `json:"refusals,omitempty"`
	// RefusedWithin50Ms is the fraction of the refusals that took at most 50 ms.
	RefusedWithin50Ms float64   `json:"refused_within_50_ms"`
	Latency           Quantiles `json:"latency"`
	FirstToken        Quantiles `json:"first_token"`
	TokenGap          Quantiles `json:"token_gap"`
	Refusal           Quantiles `json:"refusal"`
}

// Quantiles describes a distribution of times, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50Ms float64 `json:"p50_ms"`
	P95Ms float64 `json:"p95_ms"`
	P99Ms float64 `json:"p99_ms"`
	MaxMs float64 `json:"max_ms"`
}

// Point holds the counts of one rank in one second.
type Point struct {
	Offered int64 `json:"offered"`
	InTime  int64 `json:"in_time"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	quantileMs := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.TotalCount(), P50Ms: quantileMs(50), P95Ms: quantileMs(95), P99Ms: quantileMs(99), MaxMs: float64(h.Max()) / 1000}
}

// refusalTargetUs is the time within which a refusal should be decided, in microseconds.
const refusalTargetUs = 50_000

func ratio(a, b int64) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func (c *collector) result(name string) *Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &Result{Scenario: name, Seed: c.scenario.Seed, MeasuredS: (c.scenario.Duration() - c.warmUp).Seconds(), Lag: quantiles(c.sendLag),
		Groups: map[string]*Row{}, Series: map[string][]Point{}, WrongAnswers: c.wrongAnswers}
	for name, g := range c.groups {
		within := int64(0)
		for _, b := range g.refusal.Distribution() {
			if b.To <= refusalTargetUs {
				within += b.Count
			}
		}
		r.Groups[name] = &Row{Offered: g.offered, InTime: g.inTime, Late: g.late, Refused: g.refused, Wrong: g.wrong, Unfinished: g.unfinished,
			NotSent: g.notSent, EndedLate: g.endedLate, Attainment: ratio(g.inTime, g.offered), GoodputPerS: float64(g.inTime) / c.activeTime(g).Seconds(),
			Refusals: map[string]Quantiles{}, RefusedWithin50Ms: ratio(within, g.refused),
			Latency: quantiles(g.latency), FirstToken: quantiles(g.firstToken), TokenGap: quantiles(g.tokenGap), Refusal: quantiles(g.refusal)}
		for kind, h := range g.refusals {
			r.Groups[name].Refusals[kind] = quantiles(h)
		}
	}
	for rank, rows := range c.series {
		for _, s := range rows {
			r.Series[rank] = append(r.Series[rank], Point{s.offered, s.inTime})
		}
	}
	return r
}

// groupOrder holds the name prefixes of groups in the order of the table. Rows with
// the same prefix are sorted by name.
var groupOrder = []string{"all", "rank:", "account:", "kind:", "class:"}

// WriteTable prints the result in human-readable form.
func (r *Result) WriteTable(out io.Writer) error {
	fmt.Fprintf(out, "%s: %.1f s measured, seed %d; the tool's own lag: p50 %.2f ms, p99 %.2f ms, max %.1f ms\n", r.Scenario, r.MeasuredS, r.Seed, r.Lag.P50Ms, r.Lag.P99Ms, r.Lag.MaxMs)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "group\toffered\tin time\tattainment\tgoodput/s\tlate\trefused\twrong\tunfinished\tnot sent\tended late\tp50 ms\tp99 ms\tfirst p95\tgap p95\trefusal p99\t")
	for _, prefix := range groupOrder {
		for _, name := range slices.Sorted(maps.Keys(r.Groups)) {
			if !strings.HasPrefix(name, prefix) {
				continue
			}
			g := r.Groups[name]
			fmt.Fprintf(w, "%s\t%d\t%d\t%.2f%%\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", name, g.Offered, g.InTime, 100*g.Attainment, g.GoodputPerS,
				g.Late, g.Refused, g.Wrong, g.Unfinished, g.NotSent, g.EndedLate, g.Latency.P50Ms, g.Latency.P99Ms, g.FirstToken.P95Ms, g.TokenGap.P95Ms, g.Refusal.P99Ms)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if all := r.Groups["all"]; all != nil {
		for _, k := range slices.Sorted(maps.Keys(all.Refusals)) {
			q := all.Refusals[k]
			fmt.Fprintf(out, "%8d %s: p50 %.1f ms, p99 %.1f ms\n", q.Count, k, q.P50Ms, q.P99Ms)
		}
	}
	for _, e := range r.WrongAnswers {
		fmt.Fprintln(out, "wrong answer:", e)
	}
	return nil
}
