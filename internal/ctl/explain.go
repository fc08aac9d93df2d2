package ctl

import (
	"context"
	"flag"
	"slices"
	"strings"
	"time"
)

const (
	// maxLogLine bounds a line of a log that is read.
	maxLogLine = 1 << 20
	// defaultAround is the time before and after a request in which changes of
	// what the daemons believed are shown with it.
	defaultAround = 3 * time.Second
)

// beliefs are the events that change what a daemon believes; they concern no
// single request.
var beliefs = []string{"store_lost", "store_regained", "peer_lost", "peer_alive", "endpoint_health", "endpoint_listed", "config_in_force",
	"config_unreadable", "started", "stopping", "stopped", "reloaded", "requests_cut", "log_lines_dropped", "log_lines_lost"}

// logLine is a line of a daemon's log.
type logLine struct {
	at   time.Time
	text string
	// own says that the line names the request.
	own bool
}

func setupExplain(t *tool, fs *flag.FlagSet) func(context.Context, []string) error {
	around := fs.Duration("around", defaultAround, "`time` before and after the request for which other events of its peers are shown")
	return func(_ context.Context, args []string) error {
		if len(args) < 1 {
			return usageError("explain takes a request's id and files of logs, or reads standard input")
		}
		id := args[0]
		var lines []logLine
		err := eachLine(args[1:], func(at time.Time, text string) {
			// A line that names the request, or a change of what a daemon believed.
			own := field(text, "request") == id || strings.Contains(text, `"`+id+`"`)
			if own || slices.Contains(beliefs, field(text, "event")) {
				lines = append(lines, logLine{at, text, own})
			}
		})
		if err != nil {
			return err
		}
		return t.explain(id, lines, *around)
	}
}

// explain prints the request's lines in order. Beside them stand the changes of
// what the daemons that it met believed of endpoints and daemons that it met, of
// the store, and of themselves.
func (t *tool) explain(id string, lines []logLine, around time.Duration) error {
	var first, last time.Time
	met, daemons := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if !l.own {
			continue
		}
		if first.IsZero() || l.at.Before(first) {
			first = l.at
		}
		if l.at.After(last) {
			last = l.at
		}
		daemons[field(l.text, "daemon")] = true
		for _, key := range []string{"endpoint", "peer", "coordinator", "runner_up"} {
			if v := field(l.text, key); v != "" {
				met[v] = true
			}
		}
	}
	if first.IsZero() {
		return &exitError{exitFailed, "no line names the request " + id + "; it may have come to another daemon, or its lines were dropped (log_lines_dropped)"}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	for _, l := range lines {
		mark := "  "
		if !l.own {
			subject := field(l.text, "endpoint") + field(l.text, "peer")
			if l.at.Before(first.Add(-around)) || l.at.After(last.Add(around)) || !daemons[field(l.text, "daemon")] || (subject != "" && !met[subject]) {
				continue
			}
			mark = "~ "
		}
		t.printf("%s%s\n", mark, l.text)
	}
	return nil
}
