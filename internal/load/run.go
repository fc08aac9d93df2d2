package load

import (
	"context"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// classState holds the state of one class during a run.
type classState struct {
	name   string
	spec   Class
	random *rand.Rand
	inputs *inputGenerator
	// daemon is the index of the daemon that gets all requests of the class, or -1.
	daemon int
}

// runner runs one scenario.
type runner struct {
	scenario  *Scenario
	sender    *sender
	collector *collector
	inFlight  chan struct{}
	// roundRobin counts the requests of classes that are not pinned to a daemon.
	roundRobin atomic.Uint64
	start      time.Time
	requests   sync.WaitGroup
}

// Run sends the scenario's load and returns the measurements. It waits for the
// responses, at the latest until answerGrace after the deadline of each request.
func Run(ctx context.Context, name string, s *Scenario) (*Result, error) {
	if len(s.Daemons) == 0 {
		return nil, errors.New("the scenario lists no daemons")
	}
	for _, d := range s.Daemons {
		host, _, err := net.SplitHostPort(d)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			return nil, errors.Errorf("daemon %q: load is only sent to loopback addresses", d)
		}
	}
	r := &runner{scenario: s, collector: newCollector(s), inFlight: make(chan struct{}, s.MaxInFlight), start: time.Now()}
	r.sender = newSender(s.MaxInFlight, fmt.Sprintf("load-%d", r.start.UnixNano()))
	var arrivals sync.WaitGroup
	for _, c := range r.newClassStates() {
		arrivals.Go(func() { r.generateArrivals(ctx, c) })
	}
	arrivals.Wait()
	r.requests.Wait()
	r.sender.client.CloseIdleConnections()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return r.collector.result(name), nil
}

// newClassStates returns the states of all classes, sorted by name. The random numbers
// of a class depend only on the scenario's seed and the name of the class.
func (r *runner) newClassStates() []*classState {
	var all []*classState
	for _, name := range slices.Sorted(maps.Keys(r.scenario.Classes)) {
		c := r.scenario.Classes[name]
		nameHash := fnv.New64a()
		nameHash.Write([]byte(name))
		st := &classState{name: name, spec: c, random: rand.New(rand.NewPCG(r.scenario.Seed, nameHash.Sum64())), daemon: -1}
		st.inputs = newInputGenerator(name, c, rand.New(rand.NewPCG(r.scenario.Seed+1, nameHash.Sum64())))
		switch {
		case c.Daemon != nil:
			st.daemon = *c.Daemon
		case r.scenario.Spread == SpreadPinned:
			accountHash := fnv.New64a()
			accountHash.Write([]byte(c.Account))
			st.daemon = int(accountHash.Sum64() % uint64(len(r.scenario.Daemons)))
		}
		all = append(all, st)
	}
	return all
}

// generateArrivals sends the requests of a class. Their arrivals are a Poisson process
// with the rate of the current phase.
func (r *runner) generateArrivals(ctx context.Context, c *classState) {
	begin, requestNumber := time.Duration(0), 0
	for _, p := range r.scenario.Phases {
		end := begin + time.Duration(p.DurationMs)*time.Millisecond
		rate := p.Rates[c.name]
		arrival := begin
		for rate > 0 {
			arrival += time.Duration(c.random.ExpFloat64() / rate * float64(time.Second))
			if arrival >= end {
				break
			}
			input := c.inputs.next()
			if !sleepUntil(ctx, r.start.Add(arrival)) {
				return
			}
			requestNumber++
			r.launch(ctx, c, arrival, input, requestNumber)
		}
		begin = end
	}
}

// sleepUntil returns false if ctx ends before t.
func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// launch sends a request in a goroutine, or counts it as not sent if MaxInFlight
// requests are in progress.
func (r *runner) launch(ctx context.Context, c *classState, arrival time.Duration, input string, requestNumber int) {
	select {
	case r.inFlight <- struct{}{}:
	default:
		r.collector.addNotSent(c, arrival)
		return
	}
	daemonIndex := c.daemon
	if daemonIndex < 0 {
		daemonIndex = int(r.roundRobin.Add(1) % uint64(len(r.scenario.Daemons)))
	}
	daemon := r.scenario.Daemons[daemonIndex%len(r.scenario.Daemons)]
	r.requests.Go(func() {
		defer func() { <-r.inFlight }()
		o := &observation{class: c, arrival: arrival, sendLag: time.Since(r.start) - arrival}
		r.sender.send(ctx, daemon, input, o, requestNumber)
		r.collector.add(o)
	})
}
