package control

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/membership"
)

const (
	leavePartition = "leave"
	// recordLife is how long a leave record is kept. A daemon that starts later
	// learns the leave from its peers or, as a rule, from the instance list. At
	// 280 replaced instances a day it keeps a reading at about 10 KB.
	recordLife   = 6 * time.Hour
	maxRecords   = 1000
	tableTimeout = time.Second
	// tablePollCheck is the interval at which a daemon checks whether the leave
	// records are due.
	tablePollCheck = time.Second
	// peerSilence is the time without an answer from a peer after which the leave
	// records are read every second, since pushes and exchanges are missing.
	peerSilence   = 2 * time.Second
	leaveTimeout  = time.Second
	leaveParallel = 64
)

// leaveRecord is the body of a leave record.
type leaveRecord struct {
	Instance    core.InstanceID `json:"instance"`
	AnnouncedAt time.Time       `json:"announced_at"`
}

// LeaveResult says how far an announcement has come.
type LeaveResult struct {
	// Durable says whether the table service has recorded it.
	Durable bool
	// Informed counts the daemons that have confirmed it and Known the live
	// daemons, both with this one.
	Informed, Known int
}

// Leave announces that an instance leaves: it is written to the table service
// and pushed to all known daemons at the same time. The announcement holds even
// if it is not durable; the write is then repeated.
func (c *Control) Leave(ctx context.Context, id core.InstanceID) (LeaveResult, error) {
	if id == "" {
		return LeaveResult{}, &core.Error{Kind: core.Invalid, Step: "leave", Ran: core.RanNot, Detail: "no instance is named"}
	}
	announced := time.Now()
	known := false
	c.update(func(now time.Time) []membership.Leave {
		fresh := c.state.ApplyLeaves(now, []membership.Leave{{Instance: id}})
		known = c.state.IsLeaving(id)
		return fresh
	})
	if !known {
		return LeaveResult{}, &core.Error{Kind: core.Unavailable, Step: "leave", Ran: core.RanNot, RetryAfter: time.Minute,
			Detail: "too many announced leaves of instances that are still in the instance list"}
	}
	peers := c.peerList()
	res := LeaveResult{Informed: 1, Known: len(peers) + 1}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { res.Durable = c.record(ctx, id, announced) })
	confirmed := gather(peers, leaveParallel, func(p core.Instance) bool {
		for {
			_, err := c.push(ctx, p.Address, Events{Leaving: []membership.Leave{{Instance: id}}, HopsLeft: maxHops})
			if err == nil || wait(ctx, pushPause) != nil {
				return err == nil
			}
		}
	})
	wg.Wait()
	for _, ok := range confirmed {
		if ok {
			res.Informed++
		}
	}
	return res, nil
}

// record writes a leave record and says whether the table service holds it. A
// leave that is not recorded is kept and written at the next poll.
func (c *Control) record(ctx context.Context, id core.InstanceID, at time.Time) bool {
	key := core.RecordKey{Partition: leavePartition, Sort: string(id)}
	body, err := json.Marshal(leaveRecord{Instance: id, AnnouncedAt: at.UTC()})
	if err != nil {
		return false
	}
	err = c.o.Table.Transact(ctx, core.Write{Key: key, Body: body, Expires: at.Add(recordLife)})
	held := err == nil || errors.Is(err, core.ErrRevisionMismatch)
	if !held && core.AsError(err, "leave record").Ran != core.RanNot {
		// The answer may have been lost after the write took effect.
		_, readErr := c.o.Table.Get(ctx, key)
		held = readErr == nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if held {
		delete(c.unrecorded, id)
	} else if len(c.unrecorded) < membership.MaxLeaves {
		c.unrecorded[id] = at
	}
	return held
}

// pollTable reads the leave records when they are due.
func (c *Control) pollTable() {
	interval := membership.PollInterval(c.Daemons())
	c.mu.Lock()
	now := time.Now()
	due := now.Sub(c.tableAt) >= interval || now.Sub(c.peerAt) > peerSilence
	c.mu.Unlock()
	if due {
		c.readTable(c.ctx)
	}
}

// readTable reads the leave records, and writes those that are missing.
func (c *Control) readTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	c.mu.Lock()
	asked := time.Now()
	c.tableAt = asked
	c.mu.Unlock()
	found, err := c.o.Table.List(ctx, leavePartition, "", maxRecords)
	c.outcome("leave records", err)
	if err != nil {
		return
	}
	records := make([]membership.LeaveRecord, 0, len(found))
	for _, r := range found {
		var l leaveRecord
		if json.Unmarshal(r.Body, &l) == nil {
			records = append(records, membership.LeaveRecord{Instance: l.Instance, Age: asked.Sub(l.AnnouncedAt)})
		}
	}
	fresh := c.update(func(time.Time) []membership.Leave {
		fresh := c.state.ApplyRecords(asked, records)
		c.confirm(asked)
		return fresh
	})
	c.relay(Events{Leaving: fresh, HopsLeft: maxHops})
	c.recordMissing(ctx)
}

func (c *Control) recordMissing(ctx context.Context) {
	c.mu.Lock()
	missing := make(map[core.InstanceID]time.Time, len(c.unrecorded))
	for id, at := range c.unrecorded {
		missing[id] = at
	}
	c.mu.Unlock()
	for id, at := range missing {
		c.record(ctx, id, at)
	}
}
