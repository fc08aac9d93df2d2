package telemetry

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"eelgrassgrade/internal/app/dispatch"
	"eelgrassgrade/internal/app/gateway"
	"eelgrassgrade/internal/core"
)

// Guards against log events that span several lines, and against values that break
// key=value parsing.
func TestLogEventIsOneLineOfPairs(t *testing.T) {
	var out bytes.Buffer
	log := NewLogger(&out)
	log.Info().Str("peer", "engine 1").AnErr("cause", errors.New("a\nb=c")).Int("n", 3).Msg("request_failed")
	line := out.String()
	if strings.Count(line, "\n") != 1 || !strings.Contains(line, ` event=request_failed `) || !strings.Contains(line, ` peer="engine 1"`) ||
		!strings.Contains(line, ` cause="a\nb=c"`) || !strings.HasPrefix(line, "time=") {
		t.Errorf("got %q", line)
	}
}

// Guards against memory that grows with the number of accounts.
func TestAccountSeriesAreBounded(t *testing.T) {
	set := metrics.NewSet()
	r := NewRequestRecorder(set, zerolog.Nop())
	for i := range maxAccounts + 500 {
		r.Observe(gateway.Observation{Account: core.AccountID(fmt.Sprint("a", i)), Target: "p"})
	}
	r.ObserveCall(dispatch.CallObservation{Account: "one-more", Pool: "p", Stage: "s", Local: true, OK: true})
	var out bytes.Buffer
	set.WritePrometheus(&out)
	for _, want := range []string{`eelgrass_endpoint_seconds_total{account="other",rank="urgent",pool="p"}`, `eelgrass_stage_calls_total{pool="p",link="local"} 1`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no series %s", want)
		}
	}
	if n := strings.Count(out.String(), "eelgrass_requests_total{"); n != maxAccounts+1 {
		t.Errorf("%d series, want %d", n, maxAccounts+1)
	}
}
