// Package stagework runs the stages of requests on pools of endpoints that process
// several pieces in one call. Each group of endpoints is coordinated by one daemon at a
// time. The other daemons submit their tasks to it, so that one call can contain pieces
// of requests that different daemons received.
package stagework

import (
	"context"
	"sync/atomic"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
	"eelgrassgrade/internal/decide/repeats"
)

// Task consists of all pieces of one stage of one request.
type Task struct {
	Pool    core.PoolID
	Request core.RequestID
	Account core.AccountID
	Stage   int
	Pieces  int
	// Inputs holds the handles of the results that the stage takes. A stage that takes no
	// results has a Key instead, which names the input of the request.
	Key    string
	Inputs []string
	Rank   int
	// LatestStart is the latest time at which a call may start for the request to meet
	// its latency target, Deadline the time after which the results are useless.
	LatestStart, Deadline time.Time
	// ResultBytes is the expected size of each result.
	ResultBytes int
	// InputsDataCenter is the data centre that holds most of the inputs or, without
	// inputs, the one where the results are needed. The task goes to a group there unless
	// the wait there is longer than elsewhere.
	InputsDataCenter core.DataCenterID
	// PreferredDataCenter is the data centre whose endpoints should run the task, or empty
	// if that makes no difference.
	PreferredDataCenter core.DataCenterID
	// Homes holds the regions whose endpoints may run the task. The client heeds it when it
	// chooses the group.
	Homes catalog.Homes
	// LargeInputs says that the inputs are large results of earlier stages, which take up
	// result capacity until the task ends.
	LargeInputs bool
	// ExclusiveInputs holds the results that Inputs refers to, if they are large and no
	// other stage takes them, and ExclusiveInputsPool their pool. They may be freed once
	// all pieces have fetched them.
	ExclusiveInputs     []Result
	ExclusiveInputsPool core.PoolID
	// LaterStages is the length of the longest chain of stages after this one.
	LaterStages int
	// MayHaveRun says that pieces may have been sent to an endpoint before, so that
	// running the task counts against the retry budget.
	MayHaveRun bool
	// FromPeer says that another daemon has submitted the task here.
	FromPeer bool
	// OnStart is called once, before the first piece is sent to an endpoint. It must not
	// block.
	OnStart func()
	// CoordinatorErr says why the last coordinator counts as lost; nil if none does.
	CoordinatorErr error

	started atomic.Bool
}

// MarkStarted records that a piece is about to be sent to an endpoint.
func (t *Task) MarkStarted() {
	if !t.started.Swap(true) && t.OnStart != nil {
		t.OnStart()
	}
}

// copy returns a copy of the task for one submission. Its start is that of t.
func (t *Task) copy() *Task {
	return &Task{Pool: t.Pool, Request: t.Request, Account: t.Account, Stage: t.Stage, Pieces: t.Pieces, Key: t.Key, Inputs: t.Inputs, Rank: t.Rank,
		LatestStart: t.LatestStart, Deadline: t.Deadline, ResultBytes: t.ResultBytes, InputsDataCenter: t.InputsDataCenter, PreferredDataCenter: t.PreferredDataCenter,
		Homes: t.Homes, LargeInputs: t.LargeInputs, ExclusiveInputs: t.ExclusiveInputs, ExclusiveInputsPool: t.ExclusiveInputsPool, LaterStages: t.LaterStages,
		MayHaveRun: t.MayHaveRun, FromPeer: t.FromPeer, OnStart: t.MarkStarted, CoordinatorErr: t.CoordinatorErr}
}

// Started reports whether a piece may have been sent to an endpoint.
func (t *Task) Started() bool { return t.started.Load() }

// Result refers to the result of one piece, which is stored at Endpoint.
type Result struct {
	Handle     string
	Endpoint   core.InstanceID
	DataCenter core.DataCenterID
}

// Piece is one piece in a call.
type Piece struct {
	Request      core.RequestID
	Stage, Index int
	// Remaining is the time until the deadline of the piece. The endpoint does not start
	// the piece after it.
	Remaining time.Duration
	Key       string
	Inputs    []string
}

// PieceStatus says whether a piece has a result and, if not, why.
type PieceStatus uint8

const (
	// Done: the piece has a result.
	Done PieceStatus = iota
	// Expired: the deadline of the piece passed before the endpoint started it.
	Expired
	// InputGone: an input no longer exists.
	InputGone
	// NoResultCapacity: the endpoint has no result capacity left for the result.
	NoResultCapacity
	// Failed: the endpoint failed to process the piece.
	Failed
)

// Outcome is an endpoint's answer for one piece. Handle is set if Status is Done.
type Outcome struct {
	Handle string
	Status PieceStatus
}

// Limits keeps the limits that endpoints name in their answers, and gets the permits to
// call such endpoints.
type Limits interface {
	// Limit returns the calls per second that an endpoint takes from all daemons together
	// and the time since its last answer that said so, or ok false if it names no limit.
	Limit(e endpoints.Entry) (perSecond float64, age time.Duration, ok bool)
	// BlockedUntil returns the time before which this daemon gets no permit for an
	// endpoint for work of a rank, or a time that is past.
	BlockedUntil(e endpoints.Entry, rank int) time.Time
	// Acquire reports whether an endpoint may be called now for work of a rank. It asks
	// another daemon if the endpoint names a limit. The request may be empty.
	Acquire(ctx context.Context, e endpoints.Entry, rank int, id core.RequestID) bool
	// ColdUntil returns until when an endpoint is cold, or ok false if it is warm.
	ColdUntil(e endpoints.Entry) (until time.Time, ok bool)
}

// Endpoints calls stage endpoints. An error is a *core.Error whose Ran is RanNot only if
// the endpoint provably did not start the call.
type Endpoints interface {
	RunPieces(ctx context.Context, e core.Endpoint, pieces []Piece) ([]Outcome, error)
	FreeResults(ctx context.Context, e core.Endpoint, handles []string) error
}

// Coordinators calls the coordinators of other daemons.
type Coordinators interface {
	// Submit runs a task at the coordinator with the address, in the given group of the
	// task's pool.
	Submit(ctx context.Context, address string, group int, t *Task) ([]Result, error)
	// Release frees results of a pool through the coordinator with the address.
	Release(ctx context.Context, address string, pool core.PoolID, results []Result) error
}

// Events receives what clients and coordinators do, for logs and metrics.
type Events interface {
	// CallStarted is called when a call is sent. waiting is the number of pieces that
	// remain in the queue, slowness the factor by which the endpoint is slower than
	// expected.
	CallStarted(pool core.PoolID, e core.InstanceID, pieces []Piece, waiting int, slowness float64)
	// CallEnded is called when a call has ended, also for failed calls that free results;
	// these have no pieces.
	CallEnded(pool core.PoolID, e core.InstanceID, pieces int, took, expected time.Duration, err error)
	// TaskEnded is called when a task that this daemon's Client ran has ended.
	// coordinator is the daemon that ran the task, or empty if none did.
	TaskEnded(t *Task, coordinator string, took time.Duration, err error)
	// PieceRepeated is called when a piece or a whole task should run again, for the given
	// reason. allowed is false if the retry limits forbid it. budget is the decision of the
	// retry budget, or nil if it was not asked.
	PieceRepeated(t *Task, reason string, allowed bool, budget *repeats.Decision)
	// EndpointHealth is called when an endpoint is ejected, or recovers after an ejection.
	EndpointHealth(pool core.PoolID, e core.InstanceID, ejected bool, reason string)
}

// Budget limits the repeats that are sent to a pool.
type Budget interface {
	// RecordRequests counts n new requests, which add to the budget.
	RecordRequests(pool core.PoolID, n int)
	// Take takes n repeats from the budget if it allows them.
	Take(pool core.PoolID, n int) repeats.Decision
	// TakeOptional is Take for optional repeats, without which no request fails. They
	// leave a part of the budget to the others.
	TakeOptional(pool core.PoolID, n int) repeats.Decision
}
