package once

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"eelgrassgrade/internal/app/gateway"
	"eelgrassgrade/internal/core"
)

// fault is the injected fault of one table or object store call.
type fault struct {
	// before and after delay the call before and after its effect. They ignore
	// the context, as a paused process does.
	before, after time.Duration
	// refused fails the call without effect, with an error that says "not run".
	refused bool
	// requestLost fails the call before its effect and responseLost after it,
	// both with an error that leaves open whether the call ran.
	requestLost, responseLost bool
	// lateEffect, with requestLost, applies a write that long after its failure.
	lateEffect time.Duration
	// killBefore and killAfter end the calling goroutine before and after the effect.
	killBefore, killAfter bool
}

// store is a table and an object store that all daemons share.
type store struct {
	mu      sync.Mutex
	records map[core.RecordKey]core.Record
	objects map[string][]byte
	writes  int
}

func newStore() *store {
	return &store{records: map[core.RecordKey]core.Record{}, objects: map[string][]byte{}}
}

func (s *store) apply(w core.Write) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.records[w.Key].Revision != w.ExpectRevision {
		return core.ErrRevisionMismatch
	}
	s.records[w.Key] = core.Record{Key: w.Key, Revision: w.ExpectRevision + 1, Body: w.Body, Expires: w.Expires}
	return nil
}

// tableClient is one daemon's access to the table. faults returns the fault of
// this daemon's nth call of an operation, counted from 1.
type tableClient struct {
	*store
	faults func(op string, n int) fault
	mu     sync.Mutex
	calls  map[string]int
}

var errStore = errors.New("store fault")

func (c *tableClient) nextFault(op string) fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[op]++
	if c.faults == nil {
		return fault{}
	}
	return c.faults(op, c.calls[op])
}

// foreground marks the context of requests. Only their goroutines are killed: a
// daemon's background worker does not end while the daemon runs.
type foreground struct{}

func (c *tableClient) do(ctx context.Context, op string, effect func() error) error {
	f := c.nextFault(op)
	kill := ctx.Value(foreground{}) != nil
	time.Sleep(f.before)
	switch {
	case f.killBefore && kill:
		runtime.Goexit()
	case f.refused:
		return &core.Error{Kind: core.Unavailable, Step: op, Ran: core.RanNot, Err: errStore}
	case f.requestLost:
		if f.lateEffect > 0 && op == "write" {
			time.AfterFunc(f.lateEffect, func() { effect() })
		}
		return &core.Error{Kind: core.Unavailable, Step: op, Err: errStore}
	}
	err := effect()
	time.Sleep(f.after)
	if f.killAfter && kill {
		runtime.Goexit()
	}
	if f.responseLost {
		return &core.Error{Kind: core.Unavailable, Step: op, Err: errStore}
	}
	return err
}

func (c *tableClient) Transact(ctx context.Context, w ...core.Write) error {
	return c.do(ctx, "write", func() error { return c.apply(w[0]) })
}

func (c *tableClient) Get(ctx context.Context, k core.RecordKey) (r core.Record, err error) {
	err = c.do(ctx, "read", func() error {
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		r = c.records[k]
		if r.Revision == 0 {
			return core.ErrNoRecord
		}
		return nil
	})
	return r, err
}

// objectClient is a daemon's access to the object store.
type objectClient struct{ c *tableClient }

func (b objectClient) Put(ctx context.Context, name string, body []byte) error {
	return b.c.do(ctx, "put", func() error {
		b.c.store.mu.Lock()
		defer b.c.store.mu.Unlock()
		b.c.objects[name] = body
		return nil
	})
}

func (b objectClient) Get(ctx context.Context, name string) (body []byte, err error) {
	err = b.c.do(ctx, "get", func() error {
		b.c.store.mu.Lock()
		defer b.c.store.mu.Unlock()
		body = b.c.objects[name]
		return nil
	})
	return body, err
}

// newDaemon returns the Once of a further daemon, without rate limits.
func (s *store) newDaemon(faults func(op string, n int) fault) *Once {
	c := &tableClient{store: s, faults: faults, calls: map[string]int{}}
	o := New(c, objectClient{c}, metrics.NewSet(), zerolog.Nop())
	o.writeLimit, o.readLimit = rate.NewLimiter(rate.Inf, 0), rate.NewLimiter(rate.Inf, 0)
	return o
}

// effect is one execution of a call by the service. op is the request that
// caused it.
type effect struct {
	key, op, answer string
	seq             int64
}

// service is a fake endpoint that records the effects of its calls.
type service struct {
	mu      sync.Mutex
	effects []effect
	seq     func() int64
	// behave decides on one call: whether it has its effect, how long after the
	// response the effect takes place, and the error that is returned.
	behave func() (ran bool, late time.Duration, err error)
	answer func(n int) string
}

func (s *service) call(key, op string) (core.Result, error) {
	ran, late, err := true, time.Duration(0), error(nil)
	if s.behave != nil {
		ran, late, err = s.behave()
	}
	if late > 0 {
		time.AfterFunc(late, func() { s.apply(key, op) })
		return core.Result{}, err
	}
	if !ran {
		return core.Result{}, err
	}
	return core.Result{Status: 200, Body: []byte(s.apply(key, op)), ContentType: "text/plain"}, err
}

func (s *service) apply(key, op string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := effect{key: key, op: op, answer: fmt.Sprintf("answer %d", len(s.effects)+1)}
	if s.answer != nil {
		e.answer = s.answer(len(s.effects) + 1)
	}
	if s.seq != nil {
		e.seq = s.seq()
	}
	s.effects = append(s.effects, e)
	return e.answer
}

const timeout = 3 * time.Second

// do runs a request as the gateway and the dispatcher do: with a deadline, and
// with up to three attempts as long as they provably did not start.
func (s *service) do(o *Once, account, key, body, op string) (core.Result, bool, *core.Error) {
	ctx, cancel := context.WithTimeout(context.WithValue(context.Background(), foreground{}, true), timeout)
	defer cancel()
	r := gateway.OnceRequest{Account: core.AccountID(account), Service: "ledger", Operation: "append", Key: key, Body: []byte(body), Timeout: timeout}
	res, replayed, err := o.Run(ctx, r, func(ctx context.Context, beforeSend func(context.Context, core.Endpoint) error) (core.Result, error) {
		var err error
		for i := range 3 {
			if err := beforeSend(ctx, core.Endpoint{ID: core.InstanceID(fmt.Sprint("e", i))}); err != nil {
				return core.Result{}, err
			}
			var res core.Result
			if res, err = s.call(account+"/"+key, op); err == nil || core.AsError(err, "").Ran != core.RanNot {
				return res, err
			}
		}
		return core.Result{}, err
	})
	if err != nil {
		return res, replayed, core.AsError(err, "")
	}
	return res, replayed, nil
}
