package ctl

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	goahttp "goa.design/goa/v3/http"

	opserver "eelgrassgrade/gen/http/operators/server"
	"eelgrassgrade/gen/operators"
)

// fakeDaemon is an operator API with versions in memory.
type fakeDaemon struct {
	versions [][]byte
	// lose accepts the next change and then breaks the connection.
	lose bool
	// leaving lists, per status call, what the two daemons know.
	leaving [][]string
	// behind is the number of reads that do not see the newest version yet.
	behind int
}

func (f *fakeDaemon) Apply(_ context.Context, p *operators.ApplyPayload, body io.ReadCloser) (*operators.ApplyResult, error) {
	src, _ := io.ReadAll(body)
	if int(p.Base) != len(f.versions) {
		return nil, &operators.Problem{Name: "conflict", Status: 409, Detail: "no longer current", Step: "table write", Ran: "not run", RequestID: "r1"}
	}
	f.versions = append(f.versions, src)
	if f.lose {
		panic(http.ErrAbortHandler)
	}
	return &operators.ApplyResult{Version: p.Base + 1, Sha256: digest(src)}, nil
}

func digest(src []byte) string {
	sum := sha256.Sum256(src)
	return hex.EncodeToString(sum[:])
}

func (f *fakeDaemon) Show(_ context.Context, p *operators.ShowPayload) (*operators.ShowResult, io.ReadCloser, error) {
	v := value(p.Version)
	if v == 0 {
		v = uint64(len(f.versions))
		if f.behind > 0 {
			f.behind--
			v--
		}
	}
	return &operators.ShowResult{Version: v, ContentType: "application/json"}, io.NopCloser(strings.NewReader(string(f.versions[v-1]))), nil
}

func (f *fakeDaemon) History(context.Context, *operators.HistoryPayload) ([]*operators.VersionInfo, error) {
	var infos []*operators.VersionInfo
	author := "ann"
	for i, src := range f.versions {
		infos = append(infos, &operators.VersionInfo{Version: uint64(i + 1), Sha256: digest(src), Author: &author})
	}
	slices.Reverse(infos)
	return infos, nil
}

func (f *fakeDaemon) Status(context.Context, *operators.StatusPayload) (*operators.StatusResult, error) {
	now := f.leaving[0]
	if len(f.leaving) > 1 {
		f.leaving = f.leaving[1:]
	}
	return &operators.StatusResult{Daemons: []*operators.DaemonStatus{{Instance: "d0", DataCenter: "n", Leaving: []string{"e1"}}, {Instance: "d1", DataCenter: "s", Leaving: now}}}, nil
}

func (f *fakeDaemon) Leave(context.Context, *operators.LeavePayload) (*operators.LeaveResult, error) {
	return &operators.LeaveResult{Durable: true, DaemonsInformed: 1, DaemonsKnown: 2}, nil
}

// start serves f and returns the flags to reach it behind a daemon that does not answer.
func (f *fakeDaemon) start(t *testing.T) []string {
	mux := goahttp.NewMuxer()
	opserver.Mount(mux, opserver.New(operators.NewEndpoints(f), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil))
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := ln.Addr().String()
	ln.Close()
	return []string{"-plain-text", "-daemon", dead + "," + srv.Listener.Addr().String()}
}

func runTool(args ...string) (code int, out string) {
	var b strings.Builder
	code = Main(args, &b, &b, func(string) string { return "ann" })
	return code, b.String()
}

func writeLists(t *testing.T, head string, weight string) string {
	file := filepath.Join(t.TempDir(), "lists.jsonc")
	src := head + `{"plans": {"p": {"weight": ` + weight + `}}}`
	if err := os.WriteFile(file, []byte(src), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Guards against an edit that silently overwrites another operator's, and
// against a conflict that does not say what the other changed.
func TestApplyConflictShowsOtherEdit(t *testing.T) {
	f := &fakeDaemon{}
	flags := f.start(t)
	for i, w := range []string{"1", "2"} {
		base := []string{"-base", "0"}
		if i > 0 {
			base = nil
		}
		code, out := runTool(slices.Concat([]string{"apply", writeLists(t, "// version: 1\n", w)}, base, flags)...)
		if code != exitOK {
			t.Fatalf("exit %d: %s", code, out)
		}
	}
	code, out := runTool(append([]string{"apply", writeLists(t, "// version: 1\n", "3")}, flags...)...)
	if code != exitConflict || !strings.Contains(out, "~ plans.p.weight: 1 -> 2\n") {
		t.Errorf("exit %d: %s", code, out)
	}
	if code, out := runTool(append([]string{"show"}, flags...)...); code != exitOK || out != "// version: 2\n"+`{"plans": {"p": {"weight": 2}}}` {
		t.Errorf("exit %d: show printed %q", code, out)
	}
}

// Guards against a refusal that shows no difference because the daemon had not
// heard of the other operator's version.
func TestConflictWaitsForTheOtherVersion(t *testing.T) {
	f := &fakeDaemon{versions: [][]byte{[]byte(`{"plans": {"p": {"weight": 1}}}`), []byte(`{"plans": {"p": {"weight": 2}}}`)}, behind: 2}
	flags := f.start(t)
	code, out := runTool(append([]string{"apply", writeLists(t, "// version: 1\n", "3")}, flags...)...)
	if code != exitConflict || !strings.Contains(out, "~ plans.p.weight: 1 -> 2\n") || strings.Contains(out, "no difference") {
		t.Errorf("exit %d: %s", code, out)
	}
	f.behind = 100
	if code, out := runTool(append([]string{"apply", writeLists(t, "// version: 1\n", "3")}, flags...)...); code != exitConflict || !strings.Contains(out, "not heard of a version after 1") {
		t.Errorf("exit %d: %s", code, out)
	}
}

// Guards against a lost answer that is reported as a refusal, so that the
// operator applies the change again, or as accepted without proof.
func TestApplyReadsHistoryWhenOutcomeIsUnknown(t *testing.T) {
	f := &fakeDaemon{lose: true}
	code, out := runTool(append([]string{"apply", writeLists(t, "", "1"), "-base", "0"}, f.start(t)...)...)
	if code != exitOK || !strings.Contains(out, "version 1 accepted, by the history") {
		t.Errorf("exit %d: %s", code, out)
	}
}

// Guards against a leave that is reported complete while a daemon does not know it.
func TestLeaveWaitsForEveryDaemon(t *testing.T) {
	f := &fakeDaemon{leaving: [][]string{nil, {"other"}, {"other", "e1"}}}
	code, out := runTool(append([]string{"leave", "e1", "-wait"}, f.start(t)...)...)
	if code != exitOK || !strings.Contains(out, "all 2 daemons know") || len(f.leaving) != 1 {
		t.Errorf("exit %d after %d status calls left: %s", code, len(f.leaving), out)
	}
	f = &fakeDaemon{leaving: [][]string{nil}}
	if code, out := runTool(append([]string{"leave", "e1", "-wait", "-timeout", "300ms"}, f.start(t)...)...); code != exitFailed || !strings.Contains(out, "d1") {
		t.Errorf("exit %d: %s", code, out)
	}
}
