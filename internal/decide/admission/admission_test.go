package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(0, 0)

// Guards against a call that is admitted although its predicted end is late, refused
// although it is in time, or refused without a Retry-After.
func TestDecideByPredictedEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 5000).Draw(t, name)) * time.Millisecond
		}
		in := Input{Now: epoch, Deadline: epoch.Add(ms("left") - time.Second), Wait: ms("wait"), Service: ms("service"), LaterStagesTime: ms("later")}
		in.Margin = rapid.SampledFrom([]float64{0, 1, 2}).Draw(t, "margin")
		d := Decide(in)
		timeLeft := in.Deadline.Sub(in.Now)
		if want := timeLeft > 0 && time.Duration(max(1, in.Margin)*float64(in.Wait))+in.Service+in.LaterStagesTime <= timeLeft; d.Admit != want || d.Admit != (d.Reason == InTime) {
			t.Fatalf("%+v gave %+v", in, d)
		}
		if d.Admit != (d.RetryAfter == 0) || d.RetryAfter > MaxRetry {
			t.Fatalf("%+v gave %+v", in, d)
		}
		// After RetryAfter the queue wait is that much shorter, and the same time
		// budget is enough, unless the stages alone need more.
		if d.Reason == LongWait {
			in.Wait = max(0, in.Wait-d.RetryAfter)
			if !Decide(in).Admit {
				t.Fatalf("%+v is refused again after its Retry-After", in)
			}
		}
	})
}

// Guards against an estimate above every deadline that stays wrong because it
// refuses the calls that would correct it.
func TestEstimateWithoutSamplesDecays(t *testing.T) {
	e := NewEstimates()
	e.Observe(epoch, "s", time.Minute)
	if p := e.Predict(epoch.Add(time.Second), "s"); p < time.Minute {
		t.Errorf("a fresh estimate is %v", p)
	}
	if p := e.Predict(epoch.Add(20*time.Second), "s"); p > time.Second {
		t.Errorf("after 20 s without samples the estimate is %v", p)
	}
}

// Guards against a flood of late calls that are all admitted as probes, and against a
// probe that does not correct a wrong estimate.
func TestProbesCorrectAnEstimate(t *testing.T) {
	e := NewEstimates()
	e.Observe(epoch, "s", time.Minute)
	soon, later := epoch.Add(probeAfter/2), epoch.Add(probeAfter)
	in := Input{Now: later, Deadline: later.Add(time.Second), Service: e.Predict(later, "s"), Probe: true}
	if d := Decide(in); !d.Admit || d.Reason != Probe || e.ProbeDue(soon, "s") || !e.ProbeDue(later, "s") {
		t.Errorf("probe after %v: %+v", probeAfter, d)
	}
	e.Replace(later, "s", time.Second)
	if m := e.Mean(later, "s"); m != time.Second || e.ProbeDue(later, "s") {
		t.Errorf("after a probe of 1 s the mean is %v", m)
	}
	in.Wait = time.Millisecond
	if Decide(in).Admit {
		t.Error("a probe is admitted to a pool with a queue")
	}
}

// Guards against estimates that do not follow a change of the service time.
func TestEstimateFollowsSamples(t *testing.T) {
	e := NewEstimates()
	for i := range 200 {
		e.Observe(epoch, "s", time.Duration(90+20*(i%2))*time.Millisecond)
	}
	if m, p := e.Mean(epoch, "s"), e.Predict(epoch, "s"); m < 98*time.Millisecond || m > 102*time.Millisecond || p < 115*time.Millisecond || p > 125*time.Millisecond {
		t.Errorf("mean %v, prediction %v", m, p)
	}
	for range 60 {
		e.Observe(epoch, "s", 300*time.Millisecond)
	}
	if m := e.Mean(epoch, "s"); m < 280*time.Millisecond {
		t.Errorf("60 samples after the change to 300 ms the mean is %v", m)
	}
}

// Guards against memory that grows with stage names that are no longer in use.
func TestEstimatesAreBounded(t *testing.T) {
	e := NewEstimates()
	for i := range 10 * MaxStages {
		e.Observe(epoch.Add(time.Duration(i)), fmt.Sprint(i), time.Second)
	}
	if n := len(e.stages); n != MaxStages {
		t.Errorf("%d stages are kept, want %d", n, MaxStages)
	}
	if e.Mean(epoch, fmt.Sprint(10*MaxStages-1)) == 0 {
		t.Error("the newest stage is not kept")
	}
}
