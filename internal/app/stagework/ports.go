// Package stagework runs the stages of requests on pools of endpoints that
// process several pieces in one call. One daemon at a time coordinates a group
// of endpoints: the others hand their pieces to it, so that pieces of requests
// which came in at different daemons share calls.
package stagework

import (
	"context"
	"sync/atomic"
	"time"

	"eelgrassgrade/internal/core"
)

// Task is all the pieces of one stage of one request.
type Task struct {
	Pool    core.PoolID
	Request core.RequestID
	Account core.AccountID
	Stage   int
	Pieces  int
	// Key is set for stages that take no results, Inputs for the others.
	Key    string
	Inputs []string
	Rank   int
	// Start is the latest time at which work may start for the request to be in
	// time, Deadline the time after which the results are of no use.
	Start, Deadline time.Time
	// ResultBytes is the expected size of each result.
	ResultBytes int
	// From is the data centre that holds most of the inputs, or the daemon's own;
	// the task goes to a group there if that does not wait longer.
	From core.DataCenterID
	// Near is the data centre in which results are best made, or empty.
	Near core.DataCenterID
	// Holds says that the inputs take up much room until the task is done.
	Holds bool
	// Taken are the results behind Inputs if no other stage takes them, and
	// TakenPool their pool. They may be freed once all calls have fetched them.
	Taken     []Result
	TakenPool core.PoolID
	// Later is the number of stages that follow this one, one after the other.
	Later int
	// Repeat says that the pieces may have been sent to an endpoint before.
	Repeat bool
	// OnStart is called once, before the first piece goes to an endpoint. It must
	// not block.
	OnStart func()

	started atomic.Bool
}

// MarkStarted notes that a piece goes to an endpoint.
func (t *Task) MarkStarted() {
	if !t.started.Swap(true) && t.OnStart != nil {
		t.OnStart()
	}
}

// Started says whether a piece may have gone to an endpoint.
func (t *Task) Started() bool { return t.started.Load() }

// Result is the result of one piece, kept by the endpoint that made it.
type Result struct {
	Handle     string
	Endpoint   core.InstanceID
	DataCenter core.DataCenterID
}

// Piece is one piece in a call.
type Piece struct {
	Request      core.RequestID
	Stage, Index int
	// Remaining is the time after which the endpoint need not start.
	Remaining time.Duration
	Key       string
	Inputs    []string
}

// Reason says why a piece has no result.
type Reason uint8

// The reasons. Done means that there is a result.
const (
	Done Reason = iota
	// Expired: the time of the piece was over when its turn came.
	Expired
	// InputGone: an input no longer exists.
	InputGone
	// NoRoom: the endpoint has no room for the result.
	NoRoom
	// Failed: the endpoint failed at this piece.
	Failed
)

// Outcome is an endpoint's answer for one piece.
type Outcome struct {
	Handle string
	Reason Reason
}

// Endpoints calls stage endpoints. An error is a *core.Error whose Ran is RanNot
// only if the endpoint provably did not begin the call.
type Endpoints interface {
	RunPieces(ctx context.Context, e core.Endpoint, pieces []Piece) ([]Outcome, error)
	FreeResults(ctx context.Context, e core.Endpoint, handles []string) error
}

// Coordinators reaches the coordinators of other daemons.
type Coordinators interface {
	// Submit runs a task at the daemon of the address. group selects the
	// endpoints of the pool.
	Submit(ctx context.Context, address string, group int, t *Task) ([]Result, error)
	// Release frees results at the coordinator of their pool.
	Release(ctx context.Context, address string, pool core.PoolID, results []Result) error
}

// Events is told what the coordinator decides, for logs and metrics.
type Events interface {
	// CallStarted tells of a call with its pieces, the rest of the queue and the
	// endpoint's slowness.
	CallStarted(pool core.PoolID, e core.InstanceID, pieces []Piece, waiting int, slow float64)
	// CallEnded tells of its end.
	CallEnded(pool core.PoolID, e core.InstanceID, pieces int, took, expected time.Duration, err error)
	// TaskEnded tells how a task of this daemon's own requests ended.
	TaskEnded(t *Task, coordinator string, took time.Duration, err error)
	// PieceRepeated tells that a piece goes to an endpoint again, or why it does not.
	PieceRepeated(t *Task, reason string, allowed bool)
	// EndpointHealth tells of an endpoint that was taken out or came back.
	EndpointHealth(pool core.PoolID, e core.InstanceID, out bool, reason string)
}

// Budget bounds repeated calls to a pool.
type Budget interface {
	Request(pool core.PoolID, n int)
	Take(pool core.PoolID, n int) bool
	// TakeSpare is Take for repeats without which no request fails.
	TakeSpare(pool core.PoolID, n int) bool
}
