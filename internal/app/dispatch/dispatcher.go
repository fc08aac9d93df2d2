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

// Task is a call to run on a pool.
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
	// Deadline is the time by which the call must end. It has a monotonic reading.
	Deadline time.Time
	// LaterStagesTime is the predicted time of the stages that follow. It must
	// still fit before the deadline.
	LaterStagesTime time.Duration
	// Repeatable allows another attempt after one that may have run.
	Repeatable bool
	// NotStartedStatuses lists the statuses that prove that the call did not start.
	NotStartedStatuses []int
	// PrefixKey groups calls that share a prompt prefix; 0 means none.
	PrefixKey uint64
	// BeforeSend, if not nil, is called after the endpoint is chosen and before
	// the first byte is sent. An error ends the task.
	BeforeSend func(ctx context.Context, e core.Endpoint) error
}

// Options holds the dependencies and settings of a Dispatcher. Transport, View
// and Config are required.
type Options struct {
	// Self and DataCenter identify this daemon. They determine its subset of
	// each pool's endpoints.
	Self       core.InstanceID
	DataCenter core.DataCenterID
	Transport  Transport
	View       ViewFunc
	Config     ConfigFunc
	// Dialer tells crashes from broken connections. If nil, no crash is detected.
	Dialer Dialer
	// Scheduler grants capacity. If nil, attempts do not wait for capacity.
	Scheduler Scheduler
	// Loads reads the load that endpoints report. If nil, routing counts only
	// the calls of this daemon.
	Loads LoadSource
	// ViewIsFresh reports whether the view is recent enough to send calls. It is
	// called immediately before each send. If nil, the view always is.
	ViewIsFresh func() bool
	// Quarantine is the set of suspects and quarantined contents, which the
	// exchange with other daemons uses too. Default: a new set.
	Quarantine *quarantine.Set
	// PublishSuspects, if not nil, is called with the quarantine entries that
	// this dispatcher changed.
	PublishSuspects PublishSuspectsFunc
	// Policy is PolicyDefault or PolicyRoundRobin. Default: PolicyDefault.
	Policy string
	// Observer, if not nil, is called after each call that was sent.
	Observer Observer
	// Metrics registers the counters. Default: the process's default set.
	Metrics *metrics.Set
	// Seed seeds the random choices. Default: the start time.
	Seed uint64
}

// Dispatcher runs tasks on pools.
type Dispatcher struct {
	Options
	mu    sync.RWMutex
	pools map[core.PoolID]*pool
	// nextPollIndex is the index at which the next round of load polls begins.
	// Only Run uses it.
	nextPollIndex int
}

// New returns a Dispatcher. Run runs its background loops.
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

// maxAttempts bounds the attempts of a task, hedges not counted. A task must
// survive two faults at once, or the same fault twice.
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

// Do runs the task and returns the endpoint's answer, whose status is 200 to 299.
func (d *Dispatcher) Do(ctx context.Context, t Task) (core.Result, error) {
	ctx, cancel := context.WithDeadline(ctx, t.Deadline)
	defer cancel()
	j := newJob(d.pool(t.Pool), t, health.Unary)
	for {
		res, f := j.race(ctx)
		if f == nil {
			return res, nil
		}
		if !j.awaitRetry(ctx, f) {
			return core.Result{}, j.finish(f.err)
		}
	}
}

// Stream runs the task and passes the endpoint's events to emit: each token
// once and in order, also when the stream is resumed on another endpoint.
func (d *Dispatcher) Stream(ctx context.Context, t Task, emit func(core.Event) error) error {
	ctx, cancel := context.WithDeadline(ctx, t.Deadline)
	defer cancel()
	j := newJob(d.pool(t.Pool), t, health.Streaming)
	s := &stream{job: j, emit: emit}
	if f := s.run(ctx); f != nil {
		return j.finish(f.err)
	}
	return nil
}
