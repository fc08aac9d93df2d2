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

// platform is the table service, the object store and the instance list.
type platform struct {
	mu      sync.Mutex
	records map[core.RecordKey]core.Record
	objects map[string][]byte
	list    []core.Instance
	// storeOut and listOut refuse every call; hang accepts calls and never answers.
	storeOut, listOut, hang bool
	// loseAnswers drops the answers of the next n writes after they took effect.
	loseAnswers int
	reads       int
}

func newPlatform(list []core.Instance) *platform {
	return &platform{records: map[core.RecordKey]core.Record{}, objects: map[string][]byte{}, list: list}
}

func (p *platform) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

const platformDelay = 3 * time.Millisecond

// callPlatform runs f as one call of the daemon d.
func callPlatform(ctx context.Context, d *node, out func(p *platform) bool, f func(p *platform) error) error {
	d.pass()
	p := d.net.platform
	time.Sleep(platformDelay)
	p.mu.Lock()
	refused, hang := out(p), p.hang
	p.mu.Unlock()
	var none bool
	d.set(func() { none = d.isolated })
	if none || hang {
		// The real clients end a call after 1 s.
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		<-ctx.Done()
		d.pass()
		return errLost
	}
	if refused {
		return errRefused
	}
	p.mu.Lock()
	err := f(p)
	p.mu.Unlock()
	d.pass()
	if err == nil && ctx.Err() != nil {
		return errLost
	}
	return err
}

type simTable struct{ d *node }

func (t simTable) out(p *platform) bool {
	no := false
	t.d.set(func() { no = t.d.noTable })
	return p.storeOut || no
}

func (t simTable) Get(ctx context.Context, k core.RecordKey) (r core.Record, err error) {
	err = callPlatform(ctx, t.d, t.out, func(p *platform) error {
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
	err = callPlatform(ctx, t.d, t.out, func(p *platform) error {
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
	return callPlatform(ctx, t.d, t.out, func(p *platform) error {
		for _, w := range writes {
			if p.records[w.Key].Revision != w.ExpectRevision {
				return core.ErrRevisionMismatch
			}
		}
		for _, w := range writes {
			p.records[w.Key] = core.Record{Key: w.Key, Revision: w.ExpectRevision + 1, Body: w.Body}
		}
		if p.loseAnswers > 0 {
			p.loseAnswers--
			return errLost
		}
		return nil
	})
}

type simObjects struct{ d *node }

func (o simObjects) Put(ctx context.Context, name string, body []byte) error {
	return callPlatform(ctx, o.d, simTable(o).out, func(p *platform) error {
		p.objects[name] = body
		return nil
	})
}

func (o simObjects) Get(ctx context.Context, name string) (body []byte, err error) {
	err = callPlatform(ctx, o.d, simTable(o).out, func(p *platform) error {
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
		no := false
		l.d.set(func() { no = l.d.noList })
		return p.listOut || no
	}, func(p *platform) error {
		out = slices.Clone(p.list)
		return nil
	})
	return out, err
}
