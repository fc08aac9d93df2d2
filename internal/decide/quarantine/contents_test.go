package quarantine

import (
	"testing"
	"time"
)

// Guards against suspects that other daemons do not learn of, and against counting a
// repeated report twice.
func TestContentsAreShared(t *testing.T) {
	local, remote := NewContents(time.Now), NewContents(time.Now)
	local.RecordCrash(7, "e1")
	local.RecordCrash(7, "e1")
	for range 3 {
		remote.Merge("d1", local.Report())
	}
	if n := remote.CrashCount(7); n != 1 {
		t.Errorf("the other daemon counts %d crashes of one endpoint", n)
	}
	remote.RecordCrash(7, "e2")
	if n := remote.CrashCount(7); n != 2 {
		t.Errorf("%d crashes counted, want 2", n)
	}
	for i := range maxContents + 10 {
		local.RecordCrash(uint64(100+i), "e")
	}
	if len(local.byFingerprint) > maxContents || len(local.Report()) > maxReportedContents {
		t.Errorf("%d suspects kept, %d reported", len(local.byFingerprint), len(local.Report()))
	}
}
