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
	// leaveRecordLifetime is how long a leave record is kept. A daemon that starts
	// later learns of the leave from its peers or, in most cases, from the instance
	// list. With 280 replaced instances a day, one read of all records returns
	// about 10 KB.
	leaveRecordLifetime = 6 * time.Hour
	maxLeaveRecords     = 1000
	tableTimeout        = time.Second
	// leaveReadCheckInterval is the interval at which a daemon checks whether the
	// leave records must be read again.
	leaveReadCheckInterval = time.Second
	// maxPeerSilence is the time without a reply from any peer after which the leave
	// records are read at every check, because no pushes and exchanges arrive.
	maxPeerSilence = 2 * time.Second
	leaveTimeout   = time.Second
	// maxParallelCalls is the number of peers called at the same time for one task.
	maxParallelCalls = 64
)

// leaveRecord is the body of a leave record.
type leaveRecord struct {
	Instance    core.InstanceID `json:"instance"`
	AnnouncedAt time.Time       `json:"announced_at"`
}

// LeaveResult describes how far the announcement of a leave was distributed.
type LeaveResult struct {
	// Durable reports whether the table service has recorded the leave.
	Durable bool
	// DaemonsInformed is the number of daemons that have confirmed the announcement,
	// DaemonsKnown the number of live daemons; both include this one.
	DaemonsInformed, DaemonsKnown int
}

// Leave announces that an instance leaves. It writes the leave to the table
// service and pushes it to all known daemons in parallel. The leave is in effect
// even if the write fails; the write is then retried with later reads of the
// leave records.
func (c *Control) Leave(ctx context.Context, id core.InstanceID) (LeaveResult, error) {
	if id == "" {
		return LeaveResult{}, &core.Error{Kind: core.Invalid, Step: "leave", Ran: core.RanNot, Detail: "the name of the leaving instance is empty"}
	}
	announced := time.Now()
	known := false
	c.updateView(func(now time.Time) []membership.Leave {
		newLeaves := c.state.ApplyLeaves(now, []membership.Leave{{Instance: id}})
		known = c.state.IsLeaving(id)
		return newLeaves
	})
	if !known {
		return LeaveResult{}, &core.Error{Kind: core.Unavailable, Step: "leave", Ran: core.RanNot, RetryAfter: time.Minute,
			Detail: "too many announced leaves of instances that are still in the instance list: retry when some of them have left the list"}
	}
	peers := c.peerList()
	res := LeaveResult{DaemonsInformed: 1, DaemonsKnown: len(peers) + 1}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { res.Durable = c.writeLeaveRecord(ctx, id, announced) })
	confirmed := gather(peers, maxParallelCalls, func(p core.Instance) bool {
		for {
			_, err := c.push(ctx, p.Address, Events{Leaving: []membership.Leave{{Instance: id}}, HopsLeft: maxHops})
			if err == nil || sleep(ctx, pushRetryDelay) != nil {
				return err == nil
			}
		}
	})
	wg.Wait()
	for _, ok := range confirmed {
		if ok {
			res.DaemonsInformed++
		}
	}
	return res, nil
}

// writeLeaveRecord writes a leave record and reports whether the table service
// holds it. A leave that is not recorded is kept in unrecordedLeaves and written
// again after the next read of the leave records.
func (c *Control) writeLeaveRecord(ctx context.Context, id core.InstanceID, announcedAt time.Time) bool {
	key := core.RecordKey{Partition: leavePartition, Sort: string(id)}
	body, err := json.Marshal(leaveRecord{Instance: id, AnnouncedAt: announcedAt.UTC()})
	if err != nil {
		return false
	}
	err = c.opts.Table.Transact(ctx, core.Write{Key: key, Body: body, Expires: announcedAt.Add(leaveRecordLifetime)})
	stored := err == nil || errors.Is(err, core.ErrRevisionMismatch)
	if !stored && core.AsError(err, "leave record").Ran != core.RanNot {
		// The reply may have been lost after the write took effect.
		_, readErr := c.opts.Table.Get(ctx, key)
		stored = readErr == nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if stored {
		delete(c.unrecordedLeaves, id)
	} else if len(c.unrecordedLeaves) < membership.MaxLeaves {
		c.unrecordedLeaves[id] = announcedAt
	}
	return stored
}

// pollLeaveRecords reads the leave records if the poll interval has passed or no
// peer has replied recently.
func (c *Control) pollLeaveRecords() {
	interval := membership.PollInterval(c.Daemons())
	c.mu.Lock()
	now := time.Now()
	due := now.Sub(c.lastLeaveReadAt) >= interval || now.Sub(c.lastPeerReplyAt) > maxPeerSilence
	c.mu.Unlock()
	if due {
		c.readLeaveRecords(c.ctx)
	}
}

// readLeaveRecords reads the leave records, merges them into the view and writes
// the records that are still missing.
func (c *Control) readLeaveRecords(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	c.mu.Lock()
	requestedAt := time.Now()
	c.lastLeaveReadAt = requestedAt
	c.mu.Unlock()
	found, err := c.opts.Table.List(ctx, leavePartition, "", maxLeaveRecords)
	c.logSourceState("leave records", err)
	if err != nil {
		return
	}
	records := make([]membership.LeaveRecord, 0, len(found))
	for _, r := range found {
		var l leaveRecord
		if json.Unmarshal(r.Body, &l) == nil {
			records = append(records, membership.LeaveRecord{Instance: l.Instance, Age: requestedAt.Sub(l.AnnouncedAt)})
		}
	}
	newLeaves := c.updateView(func(time.Time) []membership.Leave {
		newLeaves := c.state.ApplyRecords(requestedAt, records)
		c.confirmLeaves(requestedAt)
		return newLeaves
	})
	c.relay(Events{Leaving: newLeaves, HopsLeft: maxHops})
	c.writeMissingRecords(ctx)
}

// writeMissingRecords retries the writes of leaves that are not recorded yet.
func (c *Control) writeMissingRecords(ctx context.Context) {
	c.mu.Lock()
	missing := make(map[core.InstanceID]time.Time, len(c.unrecordedLeaves))
	for id, announcedAt := range c.unrecordedLeaves {
		missing[id] = announcedAt
	}
	c.mu.Unlock()
	for id, announcedAt := range missing {
		c.writeLeaveRecord(ctx, id, announcedAt)
	}
}
