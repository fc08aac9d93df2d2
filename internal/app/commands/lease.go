package commands

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/lease"
)

// maintainLease reads, takes or renews the pool's lease. A holder reads it only
// if it does not know whether its last write took effect.
func (p *managedPool) maintainLease(ctx context.Context) {
	p.mu.Lock()
	heldBefore, mustRead := p.state.Held(), p.writeUncertain || !p.state.Held()
	p.mu.Unlock()
	if mustRead && !p.readLease(ctx) {
		return
	}
	p.mu.Lock()
	now := time.Now()
	action := p.state.Next(now)
	if action == lease.Watch {
		p.mu.Unlock()
		return
	}
	rec, expect := p.state.Propose(action, p.loop.Self, rand.Text(), now)
	p.mu.Unlock()
	if !p.writeLease(ctx, rec, expect) {
		p.readLease(ctx)
	}
	p.mu.Lock()
	heldNow, token := p.state.Held(), rec.Token
	p.mu.Unlock()
	if heldBefore != heldNow {
		p.loop.Log.Info().Str("pool", string(p.id)).Bool("held", heldNow).Uint64("token", token).Msg("lease_changed")
	}
}

// readLease reads the lease into the pool's state and reports whether the read
// succeeded.
func (p *managedPool) readLease(ctx context.Context) bool {
	r, err := p.loop.Table.Get(ctx, lease.Key(p.id))
	var rec lease.Record
	if err == nil {
		rec, err = lease.Decode(r.Body)
	} else if errors.Is(err, core.ErrNoRecord) {
		err = nil
	}
	if err != nil {
		p.loop.Log.Warn().Err(err).Str("pool", string(p.id)).Msg("lease_read_failed")
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Observe(rec, r.Revision, time.Now())
	p.writeUncertain = false
	return true
}

// writeLease writes the lease and reports whether the write is known to have
// taken effect.
func (p *managedPool) writeLease(ctx context.Context, rec lease.Record, expect uint64) bool {
	body, err := rec.Encode()
	if err == nil {
		err = p.loop.Table.Transact(ctx, core.Write{Key: lease.Key(p.id), ExpectRevision: expect, Body: body})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.writeUncertain = true
		return false
	}
	p.state.Observe(rec, expect+1, time.Now())
	return true
}

// releaseLease releases the lease if it is held, so that a successor need not
// wait for the end of its term. It first waits for commands in progress.
func (p *managedPool) releaseLease(ctx context.Context) {
	p.commandBusy.Lock()
	defer p.commandBusy.Unlock()
	p.leaseBusy.Lock()
	defer p.leaseBusy.Unlock()
	p.mu.Lock()
	held := p.state.Held()
	rec, expect := p.state.Propose(lease.Renew, "", rand.Text(), time.Now())
	p.state.Relinquish()
	p.mu.Unlock()
	if held {
		p.writeLease(ctx, rec, expect)
	}
}
