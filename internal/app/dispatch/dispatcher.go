package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/health"
	"eelgrassgrade/internal/decide/quarantine"
)

// The values of Options.Policy.
const (
	PolicyDefault    = "default"
	PolicyRoundRobin = "round_robin"
)

// Task is one call that a pool must run.
type Task struct {
	Request core.RequestID
	Account core.AccountID
	// Weight is the account's share relative to others.
	Weight float64
	Rank   core.Rank
	Pool   core.PoolID
	// Stage names the stage or operation, for errors and metrics.
	Stage  string
	Path   string
	Body   []byte
	Header map[string]string
	// Deadline is a monotonic instant by which the call must end.
	Deadline time.Time
	// LaterStages is the predicted time of the stages that follow, which must
	// still fit before the deadline.
	LaterStages time.Duration
	// Repeatable allows a second attempt after an attempt that may have run.
	Repeatable bool
	// NotStartedStatus lists statuses that prove that the call did not start.
	NotStartedStatus []int
	// PrefixKey groups calls that share a prompt prefix; 0 means none.
	PrefixKey uint64
	// BeforeSend, if set, runs after the endpoint is chosen and before any byte
	// is sent. An error ends the task.
	BeforeSend func(ctx context.Context, e core.Endpoint) error
}

// Options are the parts and settings of a Dispatcher. Transport, View and
// Config are required.
type Options struct {
	// Self and DataCenter are the daemon's own; they decide its subset of endpoints.
	Self       core.InstanceID
	DataCenter core.DataCenterID
	Transport  Transport
	View       ViewFunc
	Config     ConfigFunc
	// Dialer tells crashes from broken connections. Without one no crash is detected.
	Dialer Dialer
	// Scheduler grants capacity. Without one no attempt waits.
	Scheduler Scheduler
	// Loads reads reported load. Without one only own calls count.
	Loads LoadSource
	// Fresh is asked immediately before each send whether the view may be used.
	// Without one it always may.
	Fresh func() bool
	// Quarantine is shared with the loop that talks to peers. Default: a set of its own.
	Quarantine *quarantine.Set
	// Suspects is told of entries that changed here, or is nil.
	Suspects SuspectsFunc
	// Policy is PolicyDefault or PolicyRoundRobin. Default: PolicyDefault.
	Policy string
	// Observer is told of each call that was sent, or is nil.
	Observer Observer
	// Metrics receives the counters. Default: the process's default set.
	Metrics *metrics.Set
	// Seed seeds the random choices. Default: the start time.
	Seed uint64
}

// Dispatcher runs tasks on pools.
type Dispatcher struct {
	Options
	mu    sync.RWMutex
	pools map[core.PoolID]*pool
	// pollFrom is where the next round of load polls begins. Only Run uses it.
	pollFrom int
}

// New returns a Dispatcher. Run starts its loops.
func New(o Options) *Dispatcher {
	if o.Quarantine == nil {
		o.Quarantine = quarantine.New(time.Now)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.GetDefaultSet()
	}
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().UnixNano())
	}
	return &Dispatcher{Options: o, pools: map[core.PoolID]*pool{}}
}

// maxAttempts bounds the attempts of a task without its hedges. Two failures
// at once, or one twice, must be survived.
const maxAttempts = 3

func (d *Dispatcher) pool(id core.PoolID) *pool {
	d.mu.RLock()
	p := d.pools[id]
	d.mu.RUnlock()
	if p != nil {
		return p
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if p = d.pools[id]; p == nil {
		p = newPool(d, id)
		d.pools[id] = p
	}
	return p
}

// Do runs the task and returns the endpoint's answer with a status of 200 to 299.
func (d *Dispatcher) Do(ctx context.Context, t Task) (core.Result, error) {
	ctx, cancel := context.WithDeadline(ctx, t.Deadline)
	defer cancel()
	j := newJob(d.pool(t.Pool), t, health.Unary)
	for {
		res, f := j.race(ctx)
		if f == nil {
			return res, nil
		}
		if !j.again(ctx, f) {
			return core.Result{}, j.finish(f.err)
		}
	}
}

// Stream runs the task and passes the endpoint's events to emit, each token
// once and in order.
func (d *Dispatcher) Stream(ctx context.Context, t Task, emit func(core.Event) error) error {
	ctx, cancel := context.WithDeadline(ctx, t.Deadline)
	defer cancel()
	j := newJob(d.pool(t.Pool), t, health.Streaming)
	s := &stream{job: j, emit: emit, body: t.Body}
	for {
		f := s.attempt(ctx)
		if f == nil {
			return nil
		}
		if !s.prepareResume(f) || !j.again(ctx, f) {
			return j.finish(f.err)
		}
	}
}
