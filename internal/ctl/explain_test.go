package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const sampleLog = `time=2026-01-01T00:00:01Z level=info daemon=d1 event=started instance=d1
time=2026-01-01T00:00:10Z level=info daemon=d1 event=request_sent endpoint=e1 pool=p request=aaaa
time=2026-01-01T00:00:10.1Z level=info daemon=d1 event=request_sent endpoint=e2 pool=p request=bbbb
not a line of a log
time=2026-01-01T00:00:10.5Z level=info daemon=d1 event=endpoint_health endpoint=e1 out=true pool=p
time=2026-01-01T00:00:10.55Z level=warn daemon=d7 event=store_lost table=op
time=2026-01-01T00:00:10.6Z level=info daemon=d1 event=endpoint_health endpoint=e9 out=true pool=p
time=2026-01-01T00:00:11Z level=warn daemon=d1 event=request_ended detail="the endpoint gave no answer" outcome=upstream request=aaaa
`

const otherLog = `time=2026-01-01T00:00:09.9Z level=info daemon=d2 event=stage_call endpoint=m1 pool=s requests=["aaaa","cccc"]
time=2026-01-01T00:00:10.2Z level=warn daemon=d2 event=store_lost table=op
time=2026-01-01T00:01:00Z level=info daemon=d2 event=store_regained table=op
`

// Guards against an explanation that omits the request's lines on other daemons or
// the related state changes, or that includes unrelated ones.
func TestExplain(t *testing.T) {
	dir := t.TempDir()
	var files []string
	for name, text := range map[string]string{"d1": sampleLog, "d2": otherLog} {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	code, out := runTool(append([]string{"explain", "aaaa"}, files...)...)
	if code != exitOK {
		t.Fatalf("exit %d: %s", code, out)
	}
	var events []string
	for line := range strings.Lines(out) {
		events = append(events, line[:2]+logField(line[2:], "event"))
	}
	want := "  stage_call|  request_sent|~ store_lost|~ endpoint_health|  request_ended"
	if got := strings.Join(events, "|"); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
	if code, out := runTool("explain", "dddd", files[0]); code != exitFailed || !strings.Contains(out, "no line names") {
		t.Errorf("an unknown request: exit %d: %s", code, out)
	}
}
