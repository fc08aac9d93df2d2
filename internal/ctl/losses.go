package ctl

import (
	"cmp"
	"context"
	"flag"
	"maps"
	"slices"
	"strconv"
	"time"
)

// defaultInterval is the time covered by one row of the table by time.
const defaultInterval = 2 * time.Second

// cause is the reason why a request was not answered in time.
type cause string

// Causes, spelled as the column heads. The first four are those of requests that
// were answered. Delays between a daemon and its caller appear in no log and have
// no cause here.
const (
	// causeLateStages: late first byte, and the stages took half of the time or more.
	causeLateStages cause = "late: stages"
	// causeLateEndpoint: late first byte, and the stages took less than half.
	causeLateEndpoint cause = "late: endpoint"
	// causeLateTokenGap: a gap between two events was above the route's target.
	causeLateTokenGap cause = "late: pause"
	// causeEventBursts: in time so far as the daemon knows, but events arrived from
	// the endpoint in bursts.
	causeEventBursts cause = "held up"
	// causeRefused: not answered, and no work was done.
	causeRefused    cause = "refused"
	causeCallerLeft cause = "caller left"
	causeFailed     cause = "failed"
)

var causes = []cause{causeLateStages, causeLateEndpoint, causeLateTokenGap, causeEventBursts, causeRefused, causeCallerLeft, causeFailed}

// tally counts requests by cause.
type tally struct {
	requests int
	byCause  map[cause]int
}

func (t *tally) add(c cause) {
	t.requests++
	if c != "" {
		if t.byCause == nil {
			t.byCause = map[cause]int{}
		}
		t.byCause[c]++
	}
}

// lossReport counts the requests in logs by route, by time and by cause.
type lossReport struct {
	interval  time.Duration
	routes    map[string]*tally
	intervals map[time.Time]*tally
	// reasons counts refused and failed requests by route, and by outcome and step.
	reasons map[[2]string]int
	// droppedLines is the number of lines that are missing in the logs.
	droppedLines int
	stops        stopTable
}

func setupLosses(t *tool, fs *flag.FlagSet) func(context.Context, []string) error {
	interval := fs.Duration("every", defaultInterval, "`time` covered by each row of the table by time")
	return func(_ context.Context, files []string) error {
		if *interval <= 0 {
			return usageError("-every must be greater than 0")
		}
		l := &lossReport{interval: *interval, routes: map[string]*tally{}, intervals: map[time.Time]*tally{}, reasons: map[[2]string]int{}}
		if err := eachLogLine(files, l.addLine); err != nil {
			return err
		}
		if len(l.routes) == 0 {
			return &exitError{exitFailed, "no line has the event request_ended"}
		}
		l.print(t)
		return nil
	}
}

// addLine counts the request or the dropped lines that a log line reports. Lines of
// other events are ignored.
func (l *lossReport) addLine(timestamp time.Time, line string) {
	l.stops.addLine(timestamp, line)
	switch logField(line, "event") {
	case "log_lines_dropped", "log_lines_lost":
		n, _ := strconv.Atoi(logField(line, "lines"))
		l.droppedLines += n
	case "request_ended":
		c := causeOf(line)
		route := logField(line, "route")
		tallyFor(l.routes, route).add(c)
		tallyFor(l.intervals, timestamp.Truncate(l.interval)).add(c)
		if c == causeRefused || c == causeFailed {
			l.reasons[[2]string{route, logField(line, "outcome") + " at step " + logField(line, "step")}]++
		}
	}
}

// tallyFor returns the tally of k, which it adds if it is missing.
func tallyFor[K comparable](m map[K]*tally, k K) *tally {
	t := m[k]
	if t == nil {
		t = &tally{}
		m[k] = t
	}
	return t
}

// causeOf returns the cause that a request_ended line shows, or an empty one if the
// request was answered in time.
func causeOf(line string) cause {
	switch outcome := logField(line, "outcome"); {
	case outcome == "caller_left":
		return causeCallerLeft
	case outcome != "ok" && logField(line, "ran") == "not run":
		return causeRefused
	case outcome != "ok":
		return causeFailed
	case logField(line, "late_first") == "true" && 2*intLogField(line, "stages_ms") >= intLogField(line, "first_byte_ms"):
		return causeLateStages
	case logField(line, "late_first") == "true":
		return causeLateEndpoint
	case logField(line, "late_pause") == "true":
		return causeLateTokenGap
	case intLogField(line, "heaps") > 0:
		return causeEventBursts
	}
	return ""
}

// intLogField returns an integer field, or 0 if it is missing or invalid.
func intLogField(line, key string) int {
	n, _ := strconv.Atoi(logField(line, key))
	return n
}

func (l *lossReport) print(t *tool) {
	t.printf("%-24s %7s %7s", "route", "asked", "in time")
	for _, c := range causes {
		t.printf(" %14s", c)
	}
	t.printf("\n")
	routes := slices.Collect(maps.Keys(l.routes))
	slices.SortFunc(routes, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.routes[b].requests, l.routes[a].requests), cmp.Compare(a, b))
	})
	for _, r := range routes {
		t.printLossRow(r, l.routes[r])
	}
	t.printf("\n%-24s\n", "from")
	for _, at := range slices.SortedFunc(maps.Keys(l.intervals), time.Time.Compare) {
		t.printLossRow(at.Format("15:04:05.000"), l.intervals[at])
	}
	t.printf("\n%-24s %7s\n", "refused or failed", "times")
	reasons := slices.Collect(maps.Keys(l.reasons))
	slices.SortFunc(reasons, func(a, b [2]string) int {
		return cmp.Or(cmp.Compare(l.reasons[b], l.reasons[a]), cmp.Compare(a[0], b[0]), cmp.Compare(a[1], b[1]))
	})
	for _, r := range reasons {
		t.printf("%-24s %7d  %s\n", r[0], l.reasons[r], r[1])
	}
	l.stops.print(t)
	if l.droppedLines > 0 {
		t.printf("\n%d lines were left out of the logs; requests that ended in time may be missing\n", l.droppedLines)
	}
}

func (t *tool) printLossRow(name string, counts *tally) {
	inTime := counts.requests
	for c, n := range counts.byCause {
		// Requests with event bursts stay counted as in time: only the caller can see
		// whether the events came too late.
		if c != causeEventBursts {
			inTime -= n
		}
	}
	t.printf("%-24s %7d %7d", name, counts.requests, inTime)
	for _, c := range causes {
		t.printf(" %14d", counts.byCause[c])
	}
	t.printf("\n")
}
