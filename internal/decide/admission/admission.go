// Package admission decides whether a call can still finish in time, before it
// is queued and again when it leaves the queue. A call that cannot is refused
// before it uses an endpoint.
package admission

import "time"

const (
	// MinRetry and MaxRetry bound Decision.RetryAfter.
	MinRetry = 50 * time.Millisecond
	MaxRetry = 30 * time.Second
)

// Reason names the rule behind a decision.
type Reason uint8

// The reasons.
const (
	InTime   Reason = iota // the predicted end is not after the deadline
	Late                   // the deadline has passed
	NoTime                 // the remaining stages need more than the remaining time
	LongWait               // the predicted queue wait makes the request late
	Probe                  // admitted although predicted to be late, to correct the estimate
)

var reasonNames = [...]string{"in_time", "late", "no_time", "long_wait", "probe"}

// String returns the reason's name, used in metrics.
func (r Reason) String() string { return reasonNames[r] }

// Input holds what a decision depends on.
type Input struct {
	Now, Deadline time.Time
	// Margin multiplies Wait. Values below 1 mean 1.
	Margin float64
	// Probe admits a call whose predicted service time is too long if there is no
	// queue wait. Without probes, an estimate above every deadline would refuse all
	// calls that could correct it.
	Probe bool
	// Wait is the predicted queue wait, Service the predicted time of this stage
	// and LaterStagesTime that of the stages after it.
	Wait, Service, LaterStagesTime time.Duration
}

// Decision is the outcome of Decide.
type Decision struct {
	Admit  bool
	Reason Reason
	// RetryAfter is the predicted time until a request with the same time budget can
	// be admitted. Zero if admitted.
	RetryAfter time.Duration
}

// Decide admits a call if its predicted end is not after its deadline.
func Decide(in Input) Decision {
	margin := max(1, in.Margin)
	timeLeft := in.Deadline.Sub(in.Now)
	slack := timeLeft - in.Service - in.LaterStagesTime
	switch {
	case timeLeft <= 0:
		return Decision{Reason: Late, RetryAfter: boundRetry(in.Wait)}
	case slack < 0 && in.Probe && in.Wait == 0:
		return Decision{Admit: true, Reason: Probe}
	case slack < 0:
		// A new request has its whole time budget, so it only has to wait until the
		// queue has drained.
		return Decision{Reason: NoTime, RetryAfter: boundRetry(in.Wait)}
	case time.Duration(margin*float64(in.Wait)) > slack:
		return Decision{Reason: LongWait, RetryAfter: boundRetry(in.Wait - time.Duration(float64(slack)/margin))}
	}
	return Decision{Admit: true, Reason: InTime}
}

// boundRetry returns d within MinRetry and MaxRetry.
func boundRetry(d time.Duration) time.Duration { return min(max(d, MinRetry), MaxRetry) }
