package forward

import (
	"context"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

// outcomeRecorder keeps the last outcome.
type outcomeRecorder struct {
	discardEvents
	last Outcome
}

func (r *outcomeRecorder) RequestEnded(o *Outcome) { r.last = *o }

// Guards against an end of a request whose phase does not say what it waited for.
func TestAnOutcomeNamesThePhaseInWhichTheRequestEnded(t *testing.T) {
	events := "id: 1\ndata: x\n\n"
	for _, c := range []struct {
		name, route string
		change      func(p *fakePlatform)
		want        Phase
	}{
		{"answered", "stream", func(*fakePlatform) {}, PhaseDone},
		{"answered whole", "once", func(*fakePlatform) {}, PhaseDone},
		{"refused at once", "stream", func(p *fakePlatform) { p.stopsAt = time.Now() }, PhaseAdmission},
		{"in its stages", "staged", func(p *fakePlatform) { p.stageTime = 5 * time.Second }, PhaseStages},
		{"before its first event", "stream", func(p *fakePlatform) {
			p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
				return endpointBehavior{delay: 5 * time.Second}
			}
		}, PhaseFirstEvent},
		{"in the stream", "stream", func(p *fakePlatform) {
			p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
				return endpointBehavior{body: events, endDelay: 5 * time.Second}
			}
		}, PhaseStream},
		{"whole answer breaks off", "once", func(p *fakePlatform) {
			p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior {
				return endpointBehavior{body: "x", breaksOff: true}
			}
		}, PhaseFirstEvent},
	} {
		withFakePlatform(t, 1, func(p *fakePlatform) {
			ended := &outcomeRecorder{}
			p.forwarder.events = ended
			p.respond = func(core.Endpoint, *EndpointRequest, int) endpointBehavior { return endpointBehavior{body: events} }
			c.change(p)
			var progress Progress
			var r *InProgress
			p.serve(context.Background(), c.route, func(req *Request) {
				onePiecePerStage(req)
				r = progress.Begin(req.ID, req.Arrived)
				req.InProgress = r
			})
			if ended.last.Phase != c.want {
				t.Errorf("%s: phase %v, want %v", c.name, ended.last.Phase, c.want)
			}
			if s := progress.Summary(); s.Total != 1 || s.ByPhase[c.want] != 1 || s.Oldest != r {
				t.Errorf("%s: summary %+v", c.name, s)
			}
			if left, ok := r.Remaining(r.Arrived); c.want != PhaseAdmission && (!ok || left != 2*time.Second) {
				t.Errorf("%s: remaining %v, %t", c.name, left, ok)
			}
		})
	}
}

// Guards against a list of requests in progress that grows without bound, and against
// counts that are wrong after it was full.
func TestProgressIsBounded(t *testing.T) {
	var p Progress
	var all []*InProgress
	for range maxListed + 5 {
		all = append(all, p.Begin("r", time.Now()))
	}
	if s := p.Summary(); s.Total != maxListed+5 || s.Unlisted != 5 || s.ByPhase[PhaseBody] != maxListed {
		t.Errorf("summary %d, %d, %v", s.Total, s.Unlisted, s.ByPhase)
	}
	for _, r := range all {
		p.End(r)
	}
	if s := p.Summary(); s.Total != 0 || s.Unlisted != 0 || s.Oldest != nil {
		t.Errorf("after the end: %+v", s)
	}
}
