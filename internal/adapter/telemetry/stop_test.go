package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/app/forward"
	"eelgrassgrade/internal/core"
)

// Guards against a stop after which the log does not tell what became of the requests: ends
// that are sampled away, and a summary without them.
func TestAStopLogsWhatBecameOfItsRequests(t *testing.T) {
	var b bytes.Buffer
	set := metrics.NewSet()
	h := NewHostedRecorder(NewLogger(&b), set, 50)
	h.sampleShare.Store(0)
	h.currentSecond.Store(time.Now().Add(time.Hour).Unix()) // the share stays as it is
	h.stop.endLines.SetLimit(0)
	end := func(id string, phase forward.Phase, cut bool, err *core.Error) {
		o := newOutcome(id, err)
		o.Phase, o.Cut = phase, cut
		h.sampleShare.Store(0)
		h.currentSecond.Store(time.Now().Unix())
		h.RequestEnded(o)
	}
	var progress forward.Progress
	left := progress.Begin("left", time.Now().Add(-3*time.Second))
	left.Enter(forward.PhaseStages)
	end("before", forward.PhaseDone, false, nil)
	h.StopBegan(time.Now().Add(-time.Second), time.Second, &StopProgress{Requests: progress.Summary(), Late: 700 * time.Millisecond, PeerTasks: []core.RequestID{"p1", "p2"}})
	for i := range 60 {
		end(fmt.Sprint("id", i), forward.PhaseDone, false, nil)
	}
	end("cut", forward.PhaseStream, true, &core.Error{Kind: core.Upstream, Ran: core.RanYes})
	end("no", forward.PhaseAdmission, false, &core.Error{Kind: core.Unavailable, Step: "stop", Ran: core.RanNot})
	h.ClientsRefused(CallersListener, map[string]int{"body too slow": 2}, 1, [4]int64{})
	h.RequestUnread(progress.Begin("slow", time.Now()), "body too slow")
	for range 2 * closeLinesBurst {
		h.ConnectionClosed("abort", "c", false, false, left)
	}
	h.ConnectionClosed("idle", "c", false, false, nil)
	h.StopEnded(&StopProgress{Requests: progress.Summary()})
	log := b.String()
	for _, want := range []string{"in_progress=1 late_ms=700", "longest_phase=stages", "longest_request=left", `peer_task_requests=["p1","p2"]`, "peer_tasks=2", "stop_ms=10",
		"phase=stream", "abandoned=2 answered=60", "caller_left=0", `closed=["abort: 200","idle: 1"]`, `closed_unanswered=["abort: 200"]`, "cut=1 failed=0", `phase=body reason="body too slow" request=slow stop_ms=1`,
		`refused=1 refused_at=["stop: 1"]`, `unread=["body too slow: 2"]`} {
		if !strings.Contains(log, want) {
			t.Errorf("the log lacks %s", want)
		}
	}
	if strings.Contains(log, "request=before") {
		t.Error("a line before the stop was not sampled")
	}
	if n := strings.Count(log, "phase=done"); n != 50 {
		t.Errorf("%d lines of 60 answered requests, want the bound of 50", n)
	}
	if n := strings.Count(log, "event=connection_closed"); n < closeLinesBurst-1 || n > closeLinesBurst+closeLinesPerSecond {
		t.Errorf("%d connection_closed lines", n)
	}
	var m bytes.Buffer
	set.WritePrometheus(&m)
	for _, want := range []string{`eelgrass_stop_requests_total{phase="done",outcome="answered"} 60`, `{phase="stages",outcome="abandoned"} 1`, `eelgrass_connections_closed_total{reason="abort",phase="stages"} 200`} {
		if !strings.Contains(m.String(), want) {
			t.Errorf("the metrics lack %s", want)
		}
	}
}

// Guards against the loss of a peer whose line does not say why its stage tasks fail, and
// against lines for each attempt to reach a peer that is down.
func TestLostPeersAreLoggedWithTheirReason(t *testing.T) {
	var b bytes.Buffer
	h := NewHostedRecorder(NewLogger(&b), metrics.NewSet(), 50)
	m := fleet.Member{ID: "d1", Address: "a:1"}
	h.PeerLeaving(m)
	h.PeerLost(m, fleet.Loss{Reason: fleet.LossRestarted, Silent: 600 * time.Millisecond, Leaving: true, LeavingFor: 4 * time.Second})
	for range 100 {
		h.ConnectionReplaced(m, fleet.Replacement{Failures: 2})
		h.ConnectionReplaced(m, fleet.Replacement{Failures: 2, Calls: 3, Alive: true, Took: 412 * time.Millisecond, Silent: 900 * time.Millisecond, Err: io.ErrUnexpectedEOF})
	}
	for _, want := range []string{"event=peer_leaving", "leaving=true leaving_ms=4000 peer=d1 reason=restart silent_ms=600", `calls=3 cause="unexpected EOF" failures=2 peer=d1 silent_ms=900 took_ms=412`} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("the log lacks %s", want)
		}
	}
	if n := strings.Count(b.String(), "peer_connection_replaced"); n > 25 {
		t.Errorf("%d lines of 100 replaced connections with calls and 100 without", n)
	}
}
