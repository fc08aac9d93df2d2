package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Histograms record 1 us to 10 min with two significant digits.
	histogramMaxUs  = 600_000_000
	histogramDigits = 2
	// endTolerance is how long after its deadline a request may end without being
	// counted as ended late.
	endTolerance = 100 * time.Millisecond
	// maxWrongAnswers is the number of wrong answers that a result describes.
	maxWrongAnswers = 10
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMaxUs, histogramDigits)
}

// record adds d to the histogram, clamped to the range of the histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(1, d.Microseconds()), histogramMaxUs))
}

// requestGroup holds the counts and times of the requests of one class, rank, account
// or kind of work.
type requestGroup struct {
	classes                                                    map[string]bool
	offered, inTime, late, refused, wrong, unfinished, notSent int64
	// endedLate counts requests that ended more than endTolerance after their deadline.
	endedLate int64
	// refusals holds the times until the end of refused and unfinished requests, by kind.
	refusals                               map[string]*hdrhistogram.Histogram
	latency, firstToken, tokenGap, refusal *hdrhistogram.Histogram
}

func newGroup() *requestGroup {
	return &requestGroup{classes: map[string]bool{}, refusals: map[string]*hdrhistogram.Histogram{}, latency: newHistogram(), firstToken: newHistogram(), tokenGap: newHistogram(), refusal: newHistogram()}
}

func (g *requestGroup) add(o *observation) {
	g.offered++
	if o.latency > o.class.spec.deadline()+endTolerance {
		g.endedLate++
	}
	switch o.outcome {
	case refused:
		g.refused++
		g.recordUnanswered(o.detail, o.latency)
		record(g.refusal, o.latency)
	case unfinished:
		g.unfinished++
		g.recordUnanswered("unfinished, "+o.detail, o.latency)
	case wrong:
		g.wrong++
	default:
		if o.latency <= o.class.spec.deadline() {
			g.inTime++
		} else {
			g.late++
		}
		record(g.latency, o.latency)
	}
	if o.firstToken > 0 {
		record(g.firstToken, o.firstToken)
	}
	for _, d := range o.tokenGaps {
		record(g.tokenGap, d)
	}
}

// recordUnanswered records how long a refused or unfinished request took.
func (g *requestGroup) recordUnanswered(kind string, d time.Duration) {
	if g.refusals[kind] == nil {
		g.refusals[kind] = newHistogram()
	}
	record(g.refusals[kind], d)
}

// secondCount counts the requests of one rank that arrived in one second.
type secondCount struct{ offered, inTime int64 }

// collector collects the measurements of a run. Requests that arrive during the
// warm-up do not count in the groups.
type collector struct {
	scenario *Scenario
	warmUp   time.Duration

	// mu guards the fields below.
	mu           sync.Mutex
	groups       map[string]*requestGroup
	series       map[string][]secondCount
	sendLag      *hdrhistogram.Histogram
	wrongAnswers []string
}

func newCollector(s *Scenario) *collector {
	return &collector{scenario: s, warmUp: time.Duration(s.WarmUpMs) * time.Millisecond, groups: map[string]*requestGroup{}, series: map[string][]secondCount{}, sendLag: newHistogram()}
}

// eachGroup calls f for every group that the class belongs to.
func (c *collector) eachGroup(st *classState, f func(*requestGroup)) {
	for _, name := range []string{"all", "rank:" + st.spec.Rank, "account:" + st.spec.Account, "kind:" + st.spec.kind(), "class:" + st.name} {
		g := c.groups[name]
		if g == nil {
			g = newGroup()
			c.groups[name] = g
		}
		g.classes[st.name] = true
		f(g)
	}
}

// activeTime returns the length of the phases, without the warm-up, in which a class
// of the group has arrivals.
func (c *collector) activeTime(g *requestGroup) time.Duration {
	var begin, sum time.Duration
	for _, p := range c.scenario.Phases {
		end := begin + time.Duration(p.DurationMs)*time.Millisecond
		for name, rate := range p.Rates {
			if rate > 0 && g.classes[name] {
				sum += max(0, end-max(begin, c.warmUp))
				break
			}
		}
		begin = end
	}
	return sum
}

// countArrival adds a request to the time series of its rank.
func (c *collector) countArrival(st *classState, arrival time.Duration, inTime bool) {
	rows, n := c.series[st.spec.Rank], int(arrival/time.Second)
	for len(rows) <= n {
		rows = append(rows, secondCount{})
	}
	rows[n].offered++
	if inTime {
		rows[n].inTime++
	}
	c.series[st.spec.Rank] = rows
}

func (c *collector) add(o *observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countArrival(o.class, o.arrival, o.outcome == answered && o.latency <= o.class.spec.deadline())
	record(c.sendLag, o.sendLag)
	if o.outcome == wrong && len(c.wrongAnswers) < maxWrongAnswers {
		c.wrongAnswers = append(c.wrongAnswers, o.class.name+": "+o.detail)
	}
	if o.arrival >= c.warmUp {
		c.eachGroup(o.class, func(g *requestGroup) { g.add(o) })
	}
}

// addNotSent counts a request that was not sent because MaxInFlight requests were in
// progress.
func (c *collector) addNotSent(st *classState, arrival time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countArrival(st, arrival, false)
	if arrival >= c.warmUp {
		c.eachGroup(st, func(g *requestGroup) { g.offered++; g.notSent++ })
	}
}
