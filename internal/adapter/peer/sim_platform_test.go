package peer

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	pb "eelgrassgrade/internal/adapter/peer/peerpb"
	"eelgrassgrade/internal/core"
)

type (
	exchangeReply = pb.ExchangeReply
	pushReply     = pb.PushReply
	configRequest = pb.ConfigurationRequest
	configReply   = pb.ConfigurationReply
	usageReply    = pb.UsageReply
)

// platform simulates the table service, the object store and the instance list.
type platform struct {
	mu      sync.Mutex
	records map[core.RecordKey]core.Record
	objects map[string][]byte
	list    []core.Instance
	// storeDown makes the table service and the object store refuse every call, and
	// listDown the instance list. With hanging, calls are accepted and never answered.
	storeDown, listDown, hanging bool
	// loseWriteAnswers is the number of next writes that take effect but whose
	// answers are lost.
	loseWriteAnswers int
	reads            int
}

func newPlatform(list []core.Instance) *platform {
	return &platform{records: map[core.RecordKey]core.Record{}, objects: map[string][]byte{}, list: list}
}

func (p *platform) withLock(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

const platformDelay = 3 * time.Millisecond

// callPlatform runs f as one call of the daemon d. The call is refused if isDown
// returns true.
func callPlatform(ctx context.Context, d *node, isDown func(p *platform) bool, f func(p *platform) error) error {
	d.waitWhilePaused()
	p := d.net.platform
	time.Sleep(platformDelay)
	p.mu.Lock()
	refused, hanging := isDown(p), p.hanging
	p.mu.Unlock()
	var isolated bool
	d.withLock(func() { isolated = d.isolated })
	if isolated || hanging {
		// The real clients time out after 1 s.
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		<-ctx.Done()
		d.waitWhilePaused()
		return errLost
	}
	if refused {
		return errRefused
	}
	p.mu.Lock()
	err := f(p)
	p.mu.Unlock()
	d.waitWhilePaused()
	if err == nil && ctx.Err() != nil {
		return errLost
	}
	return err
}

type simTable struct{ d *node }

func (t simTable) isDown(p *platform) bool {
	unreachable := false
	t.d.withLock(func() { unreachable = t.d.tableUnreachable })
	return p.storeDown || unreachable
}

func (t simTable) Get(ctx context.Context, k core.RecordKey) (r core.Record, err error) {
	err = callPlatform(ctx, t.d, t.isDown, func(p *platform) error {
		p.reads++
		found, ok := p.records[k]
		if !ok {
			return core.ErrNoRecord
		}
		r = found
		return nil
	})
	return r, err
}

func (t simTable) List(ctx context.Context, partition, from string, limit int32) (out []core.Record, err error) {
	err = callPlatform(ctx, t.d, t.isDown, func(p *platform) error {
		p.reads++
		for k, r := range p.records {
			if k.Partition == partition && k.Sort >= from {
				out = append(out, r)
			}
		}
		return nil
	})
	slices.SortFunc(out, func(a, b core.Record) int { return strings.Compare(a.Key.Sort, b.Key.Sort) })
	return out[:min(len(out), int(limit))], err
}

func (t simTable) Transact(ctx context.Context, writes ...core.Write) error {
	return callPlatform(ctx, t.d, t.isDown, func(p *platform) error {
		for _, w := range writes {
			if p.records[w.Key].Revision != w.ExpectRevision {
				return core.ErrRevisionMismatch
			}
		}
		for _, w := range writes {
			p.records[w.Key] = core.Record{Key: w.Key, Revision: w.ExpectRevision + 1, Body: w.Body}
		}
		if p.loseWriteAnswers > 0 {
			p.loseWriteAnswers--
			return errLost
		}
		return nil
	})
}

type simObjects struct{ d *node }

func (o simObjects) Put(ctx context.Context, name string, body []byte) error {
	return callPlatform(ctx, o.d, simTable(o).isDown, func(p *platform) error {
		p.objects[name] = body
		return nil
	})
}

func (o simObjects) Get(ctx context.Context, name string) (body []byte, err error) {
	err = callPlatform(ctx, o.d, simTable(o).isDown, func(p *platform) error {
		found, ok := p.objects[name]
		if !ok {
			return core.ErrNoRecord
		}
		body = found
		return nil
	})
	return body, err
}

type simList struct{ d *node }

func (l simList) List(ctx context.Context) (out []core.Instance, err error) {
	err = callPlatform(ctx, l.d, func(p *platform) bool {
		unreachable := false
		l.d.withLock(func() { unreachable = l.d.listUnreachable })
		return p.listDown || unreachable
	}, func(p *platform) error {
		out = slices.Clone(p.list)
		return nil
	})
	return out, err
}
