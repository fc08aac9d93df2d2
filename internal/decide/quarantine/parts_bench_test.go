package quarantine

import (
	"testing"
	"time"
)

// newFullSet returns a set that holds as many parts as it keeps.
func newFullSet() (*PartSet, *clock) {
	c := &clock{time.Unix(100_000, 0)}
	s := NewPartSet(c.now)
	for i := range maxParts {
		s.RecordCrash([]Part{Part(1_000_000 + i)}, EndpointRun(i/100), c.t.Add(time.Duration(i)*time.Millisecond))
	}
	return s, c
}

// BenchmarkCheck measures the check of a request with four parts that are no suspects,
// beside as many parts as a daemon keeps.
func BenchmarkCheck(b *testing.B) {
	s, _ := newFullSet()
	for b.Loop() {
		s.Check([]Part{1, 2, 3, 4}, never)
	}
}

// BenchmarkCheckOfASuspect measures the check of a request with a quarantined part.
func BenchmarkCheckOfASuspect(b *testing.B) {
	s, c := newFullSet()
	for i := range partCrashes {
		s.RecordCrash([]Part{7}, EndpointRun(1e6+i), c.t.Add(time.Duration(i)*time.Second))
	}
	c.t = c.t.Add(time.Minute)
	for b.Loop() {
		s.Check([]Part{7}, never)
	}
}

// BenchmarkReport measures the reports for one status.
func BenchmarkReport(b *testing.B) {
	s, c := newFullSet()
	for b.Loop() {
		c.t = c.t.Add(50 * time.Millisecond)
		s.Report(true)
		s.Report(false)
	}
}
