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

// fault is what happens to one table call.
type fault struct {
	// before and after delay the call on either side of its effect, and ignore
	// the context, as a paused process does.
	before, after time.Duration
	// refused fails the call before its effect and says so.
	refused bool
	// cut fails the call before its effect, lost after it; late applies the
	// effect that long after the failure.
	cut, lost bool
	late      time.Duration
	// killBefore and killAfter end the calling execution.
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

// client is one daemon's access to the store. faults is asked before each call
// with the call's number among this daemon's writes or reads, from 1.
type client struct {
	*store
	faults func(op string, n int) fault
	mu     sync.Mutex
	n      map[string]int
}

var errStore = errors.New("store fault")

func (c *client) next(op string) fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n[op]++
	if c.faults == nil {
		return fault{}
	}
	return c.faults(op, c.n[op])
}

// foreground marks the context of requests. Only these are killed: the
// background worker of a daemon that lives on does not end alone.
type foreground struct{}

func (c *client) do(ctx context.Context, op string, effect func() error) error {
	f := c.next(op)
	kill := ctx.Value(foreground{}) != nil
	time.Sleep(f.before)
	switch {
	case f.killBefore && kill:
		runtime.Goexit()
	case f.refused:
		return &core.Error{Kind: core.Unavailable, Step: op, Ran: core.RanNot, Err: errStore}
	case f.cut:
		if f.late > 0 && op == "write" {
			time.AfterFunc(f.late, func() { effect() })
		}
		return &core.Error{Kind: core.Unavailable, Step: op, Err: errStore}
	}
	err := effect()
	time.Sleep(f.after)
	if f.killAfter && kill {
		runtime.Goexit()
	}
	if f.lost {
		return &core.Error{Kind: core.Unavailable, Step: op, Err: errStore}
	}
	return err
}

func (c *client) Transact(ctx context.Context, w ...core.Write) error {
	return c.do(ctx, "write", func() error { return c.apply(w[0]) })
}

func (c *client) Get(ctx context.Context, k core.RecordKey) (r core.Record, err error) {
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

// bucket is a daemon's access to the object store.
type bucket struct{ c *client }

func (b bucket) Put(ctx context.Context, name string, body []byte) error {
	return b.c.do(ctx, "put", func() error {
		b.c.store.mu.Lock()
		defer b.c.store.mu.Unlock()
		b.c.objects[name] = body
		return nil
	})
}

func (b bucket) Get(ctx context.Context, name string) (body []byte, err error) {
	err = b.c.do(ctx, "get", func() error {
		b.c.store.mu.Lock()
		defer b.c.store.mu.Unlock()
		body = b.c.objects[name]
		return nil
	})
	return body, err
}

// daemon returns a Once without a bound on its writes.
func (s *store) daemon(faults func(op string, n int) fault) *Once {
	c := &client{store: s, faults: faults, n: map[string]int{}}
	o := New(c, bucket{c}, metrics.NewSet(), zerolog.Nop())
	o.writes, o.reads = rate.NewLimiter(rate.Inf, 0), rate.NewLimiter(rate.Inf, 0)
	return o
}

// effect is one execution of a call by the service.
type effect struct {
	key, op, answer string
	seq             int64
}

// service records its effects.
type service struct {
	mu      sync.Mutex
	effects []effect
	seq     func() int64
	// behave returns the error of one call, whether it has its effect, and how
	// long after the error it has it.
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
// with up to three attempts while they provably do not start.
func (s *service) do(o *Once, account, key, body, op string) (core.Result, bool, *core.Error) {
	ctx, cancel := context.WithTimeout(context.WithValue(context.Background(), foreground{}, true), timeout)
	defer cancel()
	r := gateway.OnceRequest{Account: core.AccountID(account), Service: "ledger", Operation: "append", Key: key, Body: []byte(body), Timeout: timeout}
	res, replayed, err := o.Run(ctx, r, func(ctx context.Context, dispatched func(context.Context, core.Endpoint) error) (core.Result, error) {
		var err error
		for i := range 3 {
			if err := dispatched(ctx, core.Endpoint{ID: core.InstanceID(fmt.Sprint("e", i))}); err != nil {
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
