// Package dispatch runs calls on endpoint pools: it waits for capacity,
// chooses an endpoint, hedges and retries attempts within a budget, and checks
// their results.
package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/app/sched"
	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/membership"
	"eelgrassgrade/internal/decide/quarantine"
)

// Errors that a Transport or Dialer wraps to name the cause of a failure.
const (
	// ErrConnectionCut means that the connection was reset or closed after the
	// first byte of the request was sent and before the answer was complete.
	ErrConnectionCut = errors.ConstError("connection cut")
	// ErrConnectionRefused means that the endpoint refused the connection.
	ErrConnectionRefused = errors.ConstError("connection refused")
)

// Transport sends one attempt to an endpoint. Its errors are *core.Error; their
// Ran is RanNot only if no byte of the request was sent.
type Transport interface {
	// Do sends the call and returns the whole answer, whatever its status.
	Do(ctx context.Context, c core.Call) (core.Result, error)
	// Stream sends the call and passes each event to emit. It returns nil only
	// after the endpoint's end-of-stream marker. A status other than 200 is an
	// error with a *StatusError in its chain.
	Stream(ctx context.Context, c core.Call, emit func(core.Event) error) error
}

// StatusError is an error status with which an endpoint answered a call.
type StatusError struct {
	Status int
	// Call is the call ID that the endpoint echoed, or empty.
	Call string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the endpoint answered with status %d", e.Status)
}

// Dialer opens and closes a new connection, which tells a crashed endpoint from
// a broken connection. The error for a refused connection wraps
// ErrConnectionRefused.
type Dialer interface {
	Dial(ctx context.Context, e core.Endpoint) error
}

// Load is the load that an endpoint reports, in calls.
type Load struct {
	Running, Waiting int
	// Slots is the number of calls that the endpoint runs at once; 0 means not
	// reported.
	Slots int
	// PrefixCacheHits counts cache hits since the endpoint's start.
	PrefixCacheHits float64
}

// CacheEvent is one change of an endpoint's prefix cache.
type CacheEvent struct {
	// Seq grows by 1 from event to event; a gap means lost events.
	Seq uint64
	// Prefix is the key of the prefix, as in Task.PrefixKey.
	Prefix uint64
	// Evict means that the prefix left the cache; otherwise it was added.
	Evict bool
}

// LoadSource reads the load and the cache events that endpoints report.
type LoadSource interface {
	Load(ctx context.Context, e core.Endpoint) (Load, error)
	// CacheEvents returns the events whose sequence number is greater than
	// after, oldest first.
	CacheEvents(ctx context.Context, e core.Endpoint, after uint64) ([]CacheEvent, error)
}

// Scheduler grants capacity to attempts.
type Scheduler interface {
	// Acquire waits for capacity. Its errors are *core.Error whose Ran is RanNot.
	Acquire(ctx context.Context, t sched.Ticket) (sched.Grant, error)
	// Predict returns the predicted mean service time of a stage for a rank,
	// without queueing.
	Predict(pool core.PoolID, stage string, r core.Rank) time.Duration
	// SetCapacity sets the number of slots of the endpoints in service.
	SetCapacity(pool core.PoolID, slots int)
	// ReportLoad passes on the waiting calls and the slots that endpoints report.
	ReportLoad(pool core.PoolID, waiting int, slots int)
}

// CallObservation describes one call that was sent to an endpoint.
type CallObservation struct {
	Account core.AccountID
	Rank    core.Rank
	Pool    core.PoolID
	Stage   string
	// Local says that the endpoint is in the daemon's data centre.
	Local bool
	// Elapsed is the time from sending the call to the end of the answer.
	Elapsed time.Duration
	OK      bool
}

// Observer records calls to endpoints. It must be safe for concurrent use.
type Observer interface {
	ObserveCall(o CallObservation)
}

// ViewFunc returns the current membership view, or nil before the first one.
type ViewFunc func() *membership.View

// ConfigFunc returns the configuration in force, or nil before the first one.
type ConfigFunc func() *config.Snapshot

// PublishSuspectsFunc sends changed quarantine entries to the other daemons. It
// must not block.
type PublishSuspectsFunc func([]quarantine.Entry)
