package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// The histograms hold 1 us to 10 min with two significant digits.
	histogramMaxUs  = 600_000_000
	histogramDigits = 2
	// endTolerance is how long after its deadline a request may end.
	endTolerance = 100 * time.Millisecond
	// maxWrongAnswers bounds the wrong answers that a result describes.
	maxWrongAnswers = 10
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMaxUs, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(1, d.Microseconds()), histogramMaxUs))
}

// requestGroup sums up the requests of one class, rank, account or kind of work.
type requestGroup struct {
	classes                                                    map[string]bool
	offered, inTime, late, refused, wrong, unfinished, notSent int64
	// endedLate counts requests that ended more than endSlack after their deadline.
	endedLate int64
	// refusals holds the decision times of refusals and unfinished requests by kind.
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
		g.recordRefusal(o.detail, o.latency)
		record(g.refusal, o.latency)
	case unfinished:
		g.unfinished++
		g.recordRefusal("unfinished, "+o.detail, o.latency)
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

func (g *requestGroup) recordRefusal(kind string, d time.Duration) {
	if g.refusals[kind] == nil {
		g.refusals[kind] = newHistogram()
	}
	record(g.refusals[kind], d)
}

// secondCount counts the arrivals of one second of one rank.
type secondCount struct{ offered, inTime int64 }

// collector sums up a run. Requests that arrive during the warm-up only count
// in the time series.
type collector struct {
	scenario *Scenario
	warmUp   time.Duration

	mu           sync.Mutex
	groups       map[string]*requestGroup
	series       map[string][]secondCount
	sendLag      *hdrhistogram.Histogram
	wrongAnswers []string
}

func newCollector(s *Scenario) *collector {
	return &collector{scenario: s, warmUp: time.Duration(s.WarmUpMs) * time.Millisecond, groups: map[string]*requestGroup{}, series: map[string][]secondCount{}, sendLag: newHistogram()}
}

// eachGroup calls f for every group of the class.
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

// activeTime returns how long classes of the group arrived after the warm-up.
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

func (c *collector) addNotSent(st *classState, arrival time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countArrival(st, arrival, false)
	if arrival >= c.warmUp {
		c.eachGroup(st, func(g *requestGroup) { g.offered++; g.notSent++ })
	}
}
