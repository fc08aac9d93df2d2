package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against requests that are counted under a wrong cause, and against logs with
// dropped lines that are taken for complete.
func TestLossesDistinguishesCauses(t *testing.T) {
	const end = "level=info daemon=d1 event=request_ended "
	lines := []string{
		"time=2026-01-01T00:00:00.1Z " + end + "route=r1 outcome=ok stages_ms=10 first_byte_ms=20 heaps=0 late_first=false late_pause=false",
		"time=2026-01-01T00:00:00.2Z " + end + "route=r1 outcome=ok stages_ms=900 first_byte_ms=1000 heaps=1 late_first=true late_pause=true",
		"time=2026-01-01T00:00:00.3Z " + end + "route=r1 outcome=ok stages_ms=100 first_byte_ms=1000 heaps=0 late_first=true late_pause=false",
		"time=2026-01-01T00:00:02.4Z " + end + "route=r1 outcome=ok stages_ms=10 first_byte_ms=20 heaps=0 late_first=false late_pause=true",
		"time=2026-01-01T00:00:02.5Z " + end + "route=r1 outcome=ok stages_ms=10 first_byte_ms=20 heaps=2 late_first=false late_pause=false",
		"time=2026-01-01T00:00:02.6Z " + end + `route=r2 outcome=unavailable step=admission ran="not run"`,
		"time=2026-01-01T00:00:02.7Z " + end + "route=r2 outcome=upstream step=send ran=unknown",
		"time=2026-01-01T00:00:02.8Z " + end + "route=r2 outcome=caller_left ran=unknown step=stage",
		"time=2026-01-01T00:00:02.9Z level=warn event=log_lines_dropped daemon=d1 lines=36",
		"time=2026-01-01T00:00:02.9Z level=warn event=log_lines_lost lines=4",
		"time=2026-01-01T00:00:03.0Z level=info event=stopping daemon=d1",
		"time=2026-01-01T00:00:03.1Z level=warn event=connection_closed daemon=d1 reason=stop request=x",
		"time=2026-01-01T00:00:03.1Z level=info event=connection_closed daemon=d1 reason=caller request=y",
		"time=2026-01-01T00:00:03.2Z level=warn event=stopped daemon=d1 abandoned=0 answered=7 caller_left=1 cut=1 failed=2 peer_tasks=4 refused=3 took_ms=200",
		"time=2026-01-01T00:00:04.0Z level=info event=started daemon=d1",
		"time=2026-01-01T00:00:05.0Z level=info event=stopping daemon=d1",
		"a line without a time",
	}
	name := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(name, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		t.Fatal(err)
	}
	code, out := runTool("losses", name)
	if code != exitOK {
		t.Fatalf("exit code %d: %s", code, out)
	}
	var rows []string
	for _, l := range strings.Split(out, "\n") {
		rows = append(rows, strings.Join(strings.Fields(l), " "))
	}
	for _, want := range []string{
		"r1 5 2 1 1 1 1 0 0 0",
		"r2 3 0 0 0 0 0 1 1 1",
		"00:00:00.000 3 1 1 1 0 0 0 0 0",
		"00:00:02.000 5 1 0 0 1 1 1 1 1",
		"r2 1 unavailable at step admission",
		"r2 1 upstream at step send",
		"d1 00:00:03.000 200 7 3 2 1 1 0 4 1",
		"d1 00:00:05.000 - - - - - - - - 0 no stopped line: the process was killed, or its log is cut",
		"40 lines were left out of the logs; requests that ended in time may be missing",
	} {
		found := false
		for _, r := range rows {
			found = found || r == want
		}
		if !found {
			t.Errorf("no row %q in:\n%s", want, out)
		}
	}
	if code, out := runTool("losses", os.DevNull); code != exitFailed || !strings.Contains(out, "no line") {
		t.Errorf("without a request: code %d, %s", code, out)
	}
}
