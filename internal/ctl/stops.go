package ctl

import (
	"cmp"
	"slices"
	"time"
)

// stopColumns are the fields of a stopped line that the table of stops shows.
var stopColumns = []string{"took_ms", "answered", "refused", "failed", "cut", "caller_left", "abandoned", "peer_tasks"}

// plannedStop is one stop of a daemon.
type plannedStop struct {
	daemon string
	at     time.Time
	// end is the stopped line; empty if the log has none.
	end string
	// unanswered counts the connections that the daemon closed without a complete answer.
	unanswered int
}

// stopTable lists the stops in logs.
type stopTable struct {
	stops []*plannedStop
	// current holds the stop in progress of each daemon.
	current map[string]*plannedStop
}

// addLine records the line of a stop. Lines of other events are ignored.
func (s *stopTable) addLine(timestamp time.Time, line string) {
	daemon := logField(line, "daemon")
	stop := s.current[daemon]
	switch logField(line, "event") {
	case "stopping":
		stop = &plannedStop{daemon: daemon, at: timestamp}
		s.stops = append(s.stops, stop)
		if s.current == nil {
			s.current = map[string]*plannedStop{}
		}
		s.current[daemon] = stop
	case "started":
		delete(s.current, daemon)
	case "stopped":
		if stop != nil {
			stop.end = line
		}
	case "connection_closed":
		if stop != nil && logField(line, "reason") != "caller" {
			stop.unanswered++
		}
	}
}

func (s *stopTable) print(t *tool) {
	if len(s.stops) == 0 {
		return
	}
	t.printf("\n%-24s %-24s", "stop of", "from")
	for _, c := range stopColumns {
		t.printf(" %11s", c)
	}
	t.printf(" %11s\n", "unanswered")
	slices.SortStableFunc(s.stops, func(a, b *plannedStop) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.daemon, b.daemon)) })
	for _, stop := range s.stops {
		t.printf("%-24s %-24s", stop.daemon, stop.at.Format("15:04:05.000"))
		for _, c := range stopColumns {
			t.printf(" %11s", cmp.Or(logField(stop.end, c), "-"))
		}
		t.printf(" %11d", stop.unanswered)
		if stop.end == "" {
			t.printf("  no stopped line: the process was killed, or its log is cut")
		}
		t.printf("\n")
	}
}
