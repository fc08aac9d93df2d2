// Package confsync accepts, spreads and installs configuration versions.
//
// Versions form one linear history: a version is accepted by a transaction
// that requires its predecessor to be current. A daemon only ever installs a
// higher version than the one it has, so that nothing reverts.
package confsync

import (
	"context"
	crand "crypto/rand"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
)

// Table is the part of the table service that configurations need.
type Table interface {
	Get(ctx context.Context, k core.RecordKey) (core.Record, error)
	List(ctx context.Context, partition, from string, limit int32) ([]core.Record, error)
	Transact(ctx context.Context, writes ...core.Write) error
}

// Objects is the part of the object store that configurations need.
type Objects interface {
	Put(ctx context.Context, name string, body []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// Spreader exchanges versions with other daemons.
type Spreader interface {
	// SpreadConfig sends the version to peers until two hold it, or all if there
	// are fewer, and returns how many hold it. It returns at the latest when ctx ends.
	SpreadConfig(ctx context.Context, s *config.Snapshot) int
	// AnnounceConfig tells peers that this daemon holds the version in force.
	AnnounceConfig()
	// OfferedConfigs asks several peers for a version above have.
	OfferedConfigs(ctx context.Context, have config.Version) []Offer
	// Daemons returns the number of live daemons.
	Daemons() int
}

// Info describes an accepted version.
type Info struct {
	Version   config.Version `json:"version"`
	SHA256    string         `json:"sha256"`
	Author    string         `json:"author"`
	AppliedAt time.Time      `json:"applied_at"`
	// Token is the random mark of the write that made the version.
	Token string `json:"token"`
}

const (
	partition      = "config"
	historyPart    = "config/history"
	spreadTimeout  = time.Second
	settleAttempts = 3
	settlePause    = 200 * time.Millisecond
	fileName       = "lists"
)

var currentKey = core.RecordKey{Partition: partition, Sort: "current"}

func historyKey(v config.Version) core.RecordKey {
	// Newest first: sort keys are read in rising order.
	return core.RecordKey{Partition: historyPart, Sort: fmt.Sprintf("%020d", ^uint64(0)-uint64(v))}
}

// Sync owns the configuration in force on this daemon.
type Sync struct {
	table    Table
	objects  Objects
	spreader Spreader

	// mu orders installations; readers use the pointer alone.
	mu      sync.Mutex
	current atomic.Pointer[config.Snapshot]
	changed func(*config.Snapshot)
	// spreading is the version that Apply is sending to peers. It is not put in
	// force here before they hold it, or a restart could lose it.
	spreading config.Version
	started   atomic.Bool

	// compileMu lets concurrent deliveries of a version compile it once.
	compileMu sync.Mutex
	compile   func(file string, src []byte, v config.Version) (*config.Snapshot, error)
	phase     func(time.Duration) time.Duration
}

// New returns a Sync without a configuration. changed is called after each
// installation, in order of versions.
func New(t Table, o Objects, s Spreader, changed func(*config.Snapshot)) *Sync {
	return &Sync{table: t, objects: o, spreader: s, changed: changed, compile: config.Compile, phase: rand.N[time.Duration]}
}

// Current returns the configuration in force, or nil before the first one.
func (s *Sync) Current() *config.Snapshot { return s.current.Load() }

// Install puts a version in force if it is higher than the present one, and
// says whether it did.
func (s *Sync) Install(snap *config.Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.current.Load(); old != nil && old.Version >= snap.Version || snap.Version == s.spreading {
		return false
	}
	s.current.Store(snap)
	s.started.Store(true)
	if s.changed != nil {
		s.changed(snap)
	}
	return true
}

// Refresh reads the current version from the table service and installs it if
// it is newer.
func (s *Sync) Refresh(ctx context.Context) error {
	info, _, err := s.readCurrent(ctx)
	if errors.Is(err, core.ErrNoRecord) {
		s.started.Store(true)
		return nil
	}
	if err != nil {
		return err
	}
	if !s.lacks(info.Version) {
		return nil
	}
	body, err := s.objects.Get(ctx, objectName(info.SHA256))
	if err != nil {
		return err
	}
	started := s.Current() != nil
	installed, err := s.InstallSource(info.Version, info.SHA256, body)
	if installed && started {
		s.spreader.AnnounceConfig()
	}
	return err
}

func objectName(sha256 string) string { return "config/" + sha256 }

func (s *Sync) readCurrent(ctx context.Context) (Info, uint64, error) {
	r, err := s.table.Get(ctx, currentKey)
	if err != nil {
		return Info{}, 0, err
	}
	var info Info
	err = json.Unmarshal(r.Body, &info)
	return info, r.Revision, err
}

// Applied is the result of an accepted change.
type Applied struct {
	Info Info
	// PeersAcknowledged is the number of peers that hold the version.
	PeersAcknowledged int
}

// Apply accepts src as the successor of version base. If another version is
// current, the error is of kind Conflict and names it. An error whose Ran is
// unknown means that the version may have been accepted.
func (s *Sync) Apply(ctx context.Context, base config.Version, author string, src []byte) (Applied, error) {
	snap, err := config.Compile(fileName, src, base+1)
	if err != nil {
		return Applied{}, &core.Error{Kind: core.Invalid, Step: "validation", Ran: core.RanNot, Detail: err.Error()}
	}
	if err := s.objects.Put(ctx, objectName(snap.SHA256), src); err != nil {
		e := *core.AsError(err, "object write")
		e.Ran = core.RanNot
		return Applied{}, &e
	}
	info := Info{Version: snap.Version, SHA256: snap.SHA256, Author: author, AppliedAt: time.Now().UTC(), Token: crand.Text()}
	s.setSpreading(snap.Version)
	defer s.setSpreading(0)
	if err := s.accept(ctx, base, info); err != nil {
		return Applied{}, err
	}
	spreadCtx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	acks := s.spreader.SpreadConfig(spreadCtx, snap)
	s.setSpreading(0)
	s.Install(snap)
	return Applied{Info: info, PeersAcknowledged: acks}, nil
}

// accept makes info the current version by one transaction and settles a lost
// answer by reading back.
func (s *Sync) accept(ctx context.Context, base config.Version, info Info) error {
	body, err := json.Marshal(info)
	if err != nil {
		return core.AsError(err, "encoding")
	}
	err = s.table.Transact(ctx,
		core.Write{Key: currentKey, ExpectRevision: uint64(base), Body: body},
		core.Write{Key: historyKey(info.Version), Body: body},
	)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, core.ErrRevisionMismatch):
		return s.conflict(ctx, base)
	case core.AsError(err, "table write").Ran == core.RanNot:
		return err
	}
	return s.settle(ctx, base, info, err)
}

// settle finds out whether a write whose answer was lost took effect.
func (s *Sync) settle(ctx context.Context, base config.Version, info Info, cause error) error {
	for range settleAttempts {
		r, err := s.table.Get(ctx, historyKey(info.Version))
		if err == nil {
			var found Info
			if json.Unmarshal(r.Body, &found) == nil && found.Token == info.Token {
				return nil
			}
			return s.conflict(ctx, base)
		}
		select {
		case <-time.After(settlePause):
		case <-ctx.Done():
		}
	}
	return &core.Error{Kind: core.Unavailable, Step: "table write", Ran: core.RanUnknown, RetryAfter: time.Second, Err: cause,
		Detail: fmt.Sprintf("the table service did not confirm version %d: see the history", info.Version)}
}

func (s *Sync) conflict(ctx context.Context, base config.Version) error {
	e := &core.Error{Kind: core.Conflict, Step: "table write", Ran: core.RanNot, Detail: fmt.Sprintf("version %d is no longer current", base)}
	if info, _, err := s.readCurrent(ctx); err == nil {
		e.Detail = fmt.Sprintf("version %d is no longer current: version %d by %q is", base, info.Version, info.Author)
	}
	return e
}

// History returns accepted versions, newest first.
func (s *Sync) History(ctx context.Context, limit int) ([]Info, error) {
	records, err := s.table.List(ctx, historyPart, "", int32(limit))
	if err != nil {
		return nil, err
	}
	infos := make([]Info, 0, len(records))
	for _, r := range records {
		var info Info
		if err := json.Unmarshal(r.Body, &info); err != nil {
			return nil, core.AsError(err, "table read")
		}
		infos = append(infos, info)
	}
	return infos, nil
}

// Source returns the lists of a version, byte for byte; 0 means the version in
// force.
func (s *Sync) Source(ctx context.Context, v config.Version) ([]byte, config.Version, error) {
	cur := s.Current()
	if cur != nil && (v == 0 || v == cur.Version) {
		return cur.Source, cur.Version, nil
	}
	notFound := &core.Error{Kind: core.NotFound, Step: "history", Ran: core.RanNot, Detail: "no such version"}
	if v == 0 {
		return nil, 0, notFound
	}
	r, err := s.table.Get(ctx, historyKey(v))
	if errors.Is(err, core.ErrNoRecord) {
		return nil, 0, notFound
	}
	if err != nil {
		return nil, 0, err
	}
	var info Info
	if err := json.Unmarshal(r.Body, &info); err != nil {
		return nil, 0, core.AsError(err, "table read")
	}
	body, err := s.objects.Get(ctx, objectName(info.SHA256))
	return body, v, err
}
