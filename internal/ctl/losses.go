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

// defaultBucket is the time that one row of the second table of losses covers.
const defaultBucket = 2 * time.Second

// cause is why a request was not answered in time.
type cause string

// The causes. A request that ended well has none, or was late by one of the first
// four; one whose events were held up between a daemon and its caller shows in no log.
const (
	lateStages cause = "late: stages"
	lateEngine cause = "late: endpoint"
	latePause  cause = "late: pause"
	heldUp     cause = "held up"
	refused    cause = "refused"
	left       cause = "caller left"
	failed     cause = "failed"
)

var causes = []cause{lateStages, lateEngine, latePause, heldUp, refused, left, failed}

// tally counts requests by cause.
type tally struct {
	asked int
	by    map[cause]int
}

func (t *tally) add(c cause) {
	t.asked++
	if c != "" {
		if t.by == nil {
			t.by = map[cause]int{}
		}
		t.by[c]++
	}
}

// losses counts the requests of logs.
type losses struct {
	bucket  time.Duration
	routes  map[string]*tally
	buckets map[time.Time]*tally
	// reasons counts what refused and failed requests were told, by route.
	reasons map[[2]string]int
	// dropped is the number of lines that daemons left out.
	dropped int
}

func setupLosses(t *tool, fs *flag.FlagSet) func(context.Context, []string) error {
	bucket := fs.Duration("every", defaultBucket, "`time` that one row of the table by time covers")
	return func(_ context.Context, files []string) error {
		if *bucket <= 0 {
			return usageError("-every must be more than 0")
		}
		l := &losses{bucket: *bucket, routes: map[string]*tally{}, buckets: map[time.Time]*tally{}, reasons: map[[2]string]int{}}
		if err := eachLine(files, l.take); err != nil {
			return err
		}
		if len(l.routes) == 0 {
			return &exitError{exitFailed, "no line tells the end of a request"}
		}
		l.print(t)
		return nil
	}
}

// take counts a line of a log.
func (l *losses) take(at time.Time, line string) {
	switch field(line, "event") {
	case "log_lines_dropped", "log_lines_lost":
		n, _ := strconv.Atoi(field(line, "lines"))
		l.dropped += n
	case "request_ended":
		c := causeOf(line)
		route := field(line, "route")
		get(l.routes, route).add(c)
		get(l.buckets, at.Truncate(l.bucket)).add(c)
		if c == refused || c == failed {
			l.reasons[[2]string{route, field(line, "outcome") + " at step " + field(line, "step")}]++
		}
	}
}

func get[K comparable](m map[K]*tally, k K) *tally {
	t := m[k]
	if t == nil {
		t = &tally{}
		m[k] = t
	}
	return t
}

// causeOf returns why the request whose end a line tells was not answered in time.
func causeOf(line string) cause {
	switch outcome := field(line, "outcome"); {
	case outcome == "caller_left":
		return left
	case outcome != "ok" && field(line, "ran") == "not run":
		return refused
	case outcome != "ok":
		return failed
	case field(line, "late_first") == "true" && 2*number(line, "stages_ms") >= number(line, "first_byte_ms"):
		return lateStages
	case field(line, "late_first") == "true":
		return lateEngine
	case field(line, "late_pause") == "true":
		return latePause
	case number(line, "heaps") > 0:
		return heldUp
	}
	return ""
}

func number(line, key string) int {
	n, _ := strconv.Atoi(field(line, key))
	return n
}

func (l *losses) print(t *tool) {
	t.printf("%-24s %7s %7s", "route", "asked", "in time")
	for _, c := range causes {
		t.printf(" %14s", c)
	}
	t.printf("\n")
	routes := slices.Collect(maps.Keys(l.routes))
	slices.SortFunc(routes, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.routes[b].asked, l.routes[a].asked), cmp.Compare(a, b))
	})
	for _, r := range routes {
		t.row(r, l.routes[r])
	}
	t.printf("\n%-24s\n", "from")
	for _, at := range slices.SortedFunc(maps.Keys(l.buckets), time.Time.Compare) {
		t.row(at.Format("15:04:05.000"), l.buckets[at])
	}
	t.printf("\n%-24s %7s\n", "refused or failed", "times")
	reasons := slices.Collect(maps.Keys(l.reasons))
	slices.SortFunc(reasons, func(a, b [2]string) int {
		return cmp.Or(cmp.Compare(l.reasons[b], l.reasons[a]), cmp.Compare(a[0], b[0]), cmp.Compare(a[1], b[1]))
	})
	for _, r := range reasons {
		t.printf("%-24s %7d  %s\n", r[0], l.reasons[r], r[1])
	}
	if l.dropped > 0 {
		t.printf("\n%d lines were left out of the logs; requests that ended in time may be missing\n", l.dropped)
	}
}

func (t *tool) row(name string, x *tally) {
	in := x.asked
	for c, n := range x.by {
		// Whether a heap of events came too late, only the caller can tell.
		if c != heldUp {
			in -= n
		}
	}
	t.printf("%-24s %7d %7d", name, x.asked, in)
	for _, c := range causes {
		t.printf(" %14d", x.by[c])
	}
	t.printf("\n")
}
