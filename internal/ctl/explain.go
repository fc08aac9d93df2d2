package ctl

import (
	"context"
	"flag"
	"slices"
	"strings"
	"time"
)

const (
	// maxLogLineBytes is the length of the longest log line that can be read.
	maxLogLineBytes = 1 << 20
	// defaultAround is how long before and after a request the state changes of its
	// daemons are shown with it.
	defaultAround = 3 * time.Second
)

// stateEvents are the log events that record a change of a daemon's own state or of
// its view of other components. They belong to no single request.
var stateEvents = []string{"store_lost", "store_regained", "peer_lost", "peer_alive", "peer_leaving", "peer_connection_replaced", "peer_calls_cut", "endpoint_health", "endpoint_listed", "config_in_force",
	"config_unreadable", "started", "stopping", "stop_progress", "stopped", "daemon_failed", "reloaded", "requests_cut", "requests_abandoned", "log_lines_dropped", "log_lines_lost"}

// logLine is one line of a daemon's log.
type logLine struct {
	timestamp time.Time
	text      string
	// namesRequest is true for the lines of the request, false for state events.
	namesRequest bool
}

func setupExplain(t *tool, fs *flag.FlagSet) func(context.Context, []string) error {
	around := fs.Duration("around", defaultAround, "`time` before and after the request in which state changes of its daemons are shown")
	return func(_ context.Context, args []string) error {
		if len(args) < 1 {
			return usageError("explain takes a request id and optional log files (default: standard input)")
		}
		id := args[0]
		var lines []logLine
		err := eachLogLine(args[1:], func(timestamp time.Time, text string) {
			namesRequest := logField(text, "request") == id || strings.Contains(text, `"`+id+`"`)
			if namesRequest || slices.Contains(stateEvents, logField(text, "event")) {
				lines = append(lines, logLine{timestamp, text, namesRequest})
			}
		})
		if err != nil {
			return err
		}
		return t.explain(id, lines, *around)
	}
}

// explain prints the request's lines by time, together with the state events of the
// daemons that logged it. Of events about an endpoint or a peer, only those are
// printed whose endpoint or peer occurs in the request's lines.
func (t *tool) explain(id string, lines []logLine, around time.Duration) error {
	var first, last time.Time
	involved, daemons := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if !l.namesRequest {
			continue
		}
		if first.IsZero() || l.timestamp.Before(first) {
			first = l.timestamp
		}
		if l.timestamp.After(last) {
			last = l.timestamp
		}
		daemons[logField(l.text, "daemon")] = true
		for _, key := range []string{"endpoint", "peer", "coordinator", "runner_up"} {
			if v := logField(l.text, key); v != "" {
				involved[v] = true
			}
		}
	}
	if first.IsZero() {
		return &exitError{exitFailed, "no line names the request " + id + "; another daemon may have handled it, or its lines were dropped (see log_lines_dropped)"}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.timestamp.Compare(b.timestamp) })
	for _, l := range lines {
		prefix := "  "
		if !l.namesRequest {
			subject := logField(l.text, "endpoint") + logField(l.text, "peer")
			if l.timestamp.Before(first.Add(-around)) || l.timestamp.After(last.Add(around)) || !daemons[logField(l.text, "daemon")] || (subject != "" && !involved[subject]) {
				continue
			}
			prefix = "~ "
		}
		t.printf("%s%s\n", prefix, l.text)
	}
	return nil
}
