package commands

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/lease"
)

// maintain reads, takes or renews the pool's lease. A holder whose last write
// is settled writes without a read.
func (p *pool) maintain(ctx context.Context) {
	p.mu.Lock()
	held, read := p.state.Held(), p.unsettled || !p.state.Held()
	p.mu.Unlock()
	if read && !p.observe(ctx) {
		return
	}
	p.mu.Lock()
	now := time.Now()
	action := p.state.Next(now)
	if action == lease.Watch {
		p.mu.Unlock()
		return
	}
	rec, expect := p.state.Propose(action, p.o.Self, rand.Text(), now)
	p.mu.Unlock()
	if !p.write(ctx, rec, expect) {
		p.observe(ctx)
	}
	p.mu.Lock()
	isHeld, token := p.state.Held(), rec.Token
	p.mu.Unlock()
	if held != isHeld {
		p.o.Log.Info().Str("pool", string(p.id)).Bool("held", isHeld).Uint64("token", token).Msg("lease_changed")
	}
}

// observe reads the lease and says whether it could.
func (p *pool) observe(ctx context.Context) bool {
	r, err := p.o.Table.Get(ctx, lease.Key(p.id))
	var rec lease.Record
	if err == nil {
		rec, err = lease.Decode(r.Body)
	} else if errors.Is(err, core.ErrNoRecord) {
		err = nil
	}
	if err != nil {
		p.o.Log.Warn().Err(err).Str("pool", string(p.id)).Msg("lease_read_failed")
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Observe(rec, r.Revision, time.Now())
	p.unsettled = false
	return true
}

// write writes the lease and says whether it took effect for certain.
func (p *pool) write(ctx context.Context, rec lease.Record, expect uint64) bool {
	body, err := rec.Encode()
	if err == nil {
		err = p.o.Table.Transact(ctx, core.Write{Key: lease.Key(p.id), ExpectRevision: expect, Body: body})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.unsettled = true
		return false
	}
	p.state.Observe(rec, expect+1, time.Now())
	return true
}

// release gives a held lease up, so that a successor need not wait for the end
// of the term. No command may be in progress.
func (p *pool) release(ctx context.Context) {
	p.commanding.Lock()
	defer p.commanding.Unlock()
	p.leasing.Lock()
	defer p.leasing.Unlock()
	p.mu.Lock()
	held := p.state.Held()
	rec, expect := p.state.Propose(lease.Renew, "", rand.Text(), time.Now())
	p.state.Relinquish()
	p.mu.Unlock()
	if held {
		p.write(ctx, rec, expect)
	}
}
