// Package confsync accepts, replicates and installs configuration versions.
//
// Versions form one linear history: a version is accepted by a transaction
// that requires its predecessor to be current. A daemon installs only versions
// higher than the one it has, so that a configuration is never reverted.
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

// Table is the subset of the table service used for configurations.
type Table interface {
	Get(ctx context.Context, k core.RecordKey) (core.Record, error)
	List(ctx context.Context, partition, from string, limit int32) ([]core.Record, error)
	Transact(ctx context.Context, writes ...core.Write) error
}

// Objects is the subset of the object store used for configurations.
type Objects interface {
	Put(ctx context.Context, name string, body []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// Replicator exchanges configuration versions with other daemons.
type Replicator interface {
	// ReplicateConfig sends the version to peers until two hold it, or all if there
	// are fewer, and returns the number that hold it. It returns at the latest when
	// ctx ends.
	ReplicateConfig(ctx context.Context, s *config.Snapshot) int
	// AnnounceConfig announces to peers the version in force on this daemon.
	AnnounceConfig()
	// PeerConfigs asks several peers for versions above have.
	PeerConfigs(ctx context.Context, have config.Version) []PeerConfig
	// Daemons returns the number of live daemons.
	Daemons() int
}

// Info describes an accepted version.
type Info struct {
	Version   config.Version `json:"version"`
	SHA256    string         `json:"sha256"`
	Author    string         `json:"author"`
	AppliedAt time.Time      `json:"applied_at"`
	// Token is a random identifier of the write that created the version. It tells
	// whether a write whose reply was lost took effect.
	Token string `json:"token"`
}

const (
	configPartition  = "config"
	historyPartition = "config/history"
	replicateTimeout = time.Second
	// confirmAttempts and confirmRetryDelay control the reads that determine whether
	// a write whose reply was lost took effect.
	confirmAttempts   = 3
	confirmRetryDelay = 200 * time.Millisecond
	fileName          = "lists"
)

var currentKey = core.RecordKey{Partition: configPartition, Sort: "current"}

func historyKey(v config.Version) core.RecordKey {
	// The table lists sort keys in ascending order; the complement puts the newest
	// version first.
	return core.RecordKey{Partition: historyPartition, Sort: fmt.Sprintf("%020d", ^uint64(0)-uint64(v))}
}

// Sync maintains the configuration in force on this daemon.
type Sync struct {
	table      Table
	objects    Objects
	replicator Replicator

	// mu serializes installations and guards replicating. Readers of current do not
	// need it.
	mu       sync.Mutex
	current  atomic.Pointer[config.Snapshot]
	onChange func(*config.Snapshot)
	// replicating is the version that Apply is sending to peers, or 0. It must not be
	// in force on this daemon before peers hold it, because a restart could lose it.
	replicating config.Version
	started     atomic.Bool

	// compileMu ensures that a version received from several peers concurrently is
	// compiled only once.
	compileMu   sync.Mutex
	compile     func(file string, src []byte, v config.Version) (*config.Snapshot, error)
	randomPhase func(time.Duration) time.Duration
}

// New returns a Sync without a configuration. onChange, which may be nil, is called
// after each installation, in order of versions.
func New(t Table, o Objects, r Replicator, onChange func(*config.Snapshot)) *Sync {
	return &Sync{table: t, objects: o, replicator: r, onChange: onChange, compile: config.Compile, randomPhase: rand.N[time.Duration]}
}

// Current returns the configuration in force, or nil before the first one.
func (s *Sync) Current() *config.Snapshot { return s.current.Load() }

// Install puts a version into force if it is higher than the current one and is not
// being replicated. It reports whether it did.
func (s *Sync) Install(snap *config.Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.current.Load(); old != nil && old.Version >= snap.Version || snap.Version == s.replicating {
		return false
	}
	s.current.Store(snap)
	s.started.Store(true)
	if s.onChange != nil {
		s.onChange(snap)
	}
	return true
}

// Refresh reads the current version from the table service and installs it if it
// is newer than the one in force.
func (s *Sync) Refresh(ctx context.Context) error {
	info, _, err := s.readCurrent(ctx)
	if errors.Is(err, core.ErrNoRecord) {
		s.started.Store(true)
		return nil
	}
	if err != nil {
		return err
	}
	if !s.isNewer(info.Version) {
		return nil
	}
	body, err := s.objects.Get(ctx, objectName(info.SHA256))
	if err != nil {
		return err
	}
	hadConfig := s.Current() != nil
	installed, err := s.InstallSource(info.Version, info.SHA256, body)
	if installed && hadConfig {
		s.replicator.AnnounceConfig()
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

// Applied is the result of a successful Apply.
type Applied struct {
	Info Info
	// PeersAcknowledged is the number of peers that hold the version.
	PeersAcknowledged int
}

// Apply validates src, accepts it as the successor of version base, replicates it
// to peers and installs it. If another version is current, the error is of kind
// Conflict and names that version. An error with Ran set to core.RanUnknown means
// that the version may have been accepted.
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
	s.setReplicating(snap.Version)
	defer s.setReplicating(0)
	if err := s.accept(ctx, base, info); err != nil {
		return Applied{}, err
	}
	replicateCtx, cancel := context.WithTimeout(ctx, replicateTimeout)
	defer cancel()
	acks := s.replicator.ReplicateConfig(replicateCtx, snap)
	s.setReplicating(0)
	s.Install(snap)
	return Applied{Info: info, PeersAcknowledged: acks}, nil
}

// accept makes info the current version in one transaction. If the reply is lost, it
// reads the history to determine whether the transaction took effect.
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
	return s.confirmAccepted(ctx, base, info, err)
}

// confirmAccepted determines whether a write whose reply was lost took effect. It
// returns nil if it did.
func (s *Sync) confirmAccepted(ctx context.Context, base config.Version, info Info, cause error) error {
	for range confirmAttempts {
		r, err := s.table.Get(ctx, historyKey(info.Version))
		if err == nil {
			var found Info
			if json.Unmarshal(r.Body, &found) == nil && found.Token == info.Token {
				return nil
			}
			return s.conflict(ctx, base)
		}
		select {
		case <-time.After(confirmRetryDelay):
		case <-ctx.Done():
		}
	}
	return &core.Error{Kind: core.Unavailable, Step: "table write", Ran: core.RanUnknown, RetryAfter: time.Second, Err: cause,
		Detail: fmt.Sprintf("the table service did not confirm version %d, which may have been accepted: check the history before you retry", info.Version)}
}

// conflict returns the error for a base version that is not current.
func (s *Sync) conflict(ctx context.Context, base config.Version) error {
	e := &core.Error{Kind: core.Conflict, Step: "table write", Ran: core.RanNot, Detail: fmt.Sprintf("version %d is no longer current", base)}
	if info, _, err := s.readCurrent(ctx); err == nil {
		e.Detail = fmt.Sprintf("version %d is no longer current: the current version is %d, applied by %q", base, info.Version, info.Author)
	}
	return e
}

// History returns accepted versions, newest first.
func (s *Sync) History(ctx context.Context, limit int) ([]Info, error) {
	records, err := s.table.List(ctx, historyPartition, "", int32(limit))
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

// Source returns the lists file of a version, byte for byte, and the version. v = 0
// means the version in force.
func (s *Sync) Source(ctx context.Context, v config.Version) ([]byte, config.Version, error) {
	cur := s.Current()
	if cur != nil && (v == 0 || v == cur.Version) {
		return cur.Source, cur.Version, nil
	}
	notFound := &core.Error{Kind: core.NotFound, Step: "history", Ran: core.RanNot, Detail: "no such version in the history"}
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
