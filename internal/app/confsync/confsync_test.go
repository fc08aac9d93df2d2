package confsync

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
)

// fakeTable accepts every write and does not support reads.
type fakeTable struct{ Table }

func (fakeTable) Transact(context.Context, ...core.Write) error { return nil }

// fakeObjects accepts every write and does not support reads.
type fakeObjects struct{ Objects }

func (fakeObjects) Put(context.Context, string, []byte) error { return nil }

// fakeReplicator calls onReplicate for each replicated version and reports two peers
// that hold it.
type fakeReplicator struct {
	Replicator
	onReplicate func(*config.Snapshot)
}

func (r *fakeReplicator) ReplicateConfig(_ context.Context, snap *config.Snapshot) int {
	r.onReplicate(snap)
	return 2
}

// Guards against installing a version on the accepting daemon before two peers hold
// it. A poll, or a peer that sends the version back, could cause this.
func TestApplyInstallsAfterReplication(t *testing.T) {
	replicator := &fakeReplicator{}
	s := New(fakeTable{}, fakeObjects{}, replicator, nil)
	replicator.onReplicate = func(snap *config.Snapshot) {
		s.InstallSource(snap.Version, snap.SHA256, snap.Source)
		if s.Current() != nil {
			t.Error("the version is in force before two peers hold it")
		}
	}
	if _, err := s.Apply(context.Background(), 0, "test", []byte("{}")); err != nil {
		t.Fatal(err)
	}
	if s.Current() == nil {
		t.Error("the version is not in force after Apply")
	}
}

// Guards against compiling a version once for each peer that sends it, and against
// installing a lower version or a corrupted body.
func TestInstallSource(t *testing.T) {
	var compiled atomic.Int32
	s := New(nil, nil, nil, nil)
	s.compile = func(file string, src []byte, v config.Version) (*config.Snapshot, error) {
		compiled.Add(1)
		time.Sleep(time.Millisecond)
		return config.Compile(file, src, v)
	}
	sum := sha256.Sum256([]byte("{}"))
	digest := hex.EncodeToString(sum[:])
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() { s.InstallSource(5, digest, []byte("{}")) })
	}
	wg.Wait()
	if compiled.Load() != 1 || s.Current().Version != 5 {
		t.Errorf("compiled %d times, want 1; version %d, want 5", compiled.Load(), s.Current().Version)
	}
	if ok, err := s.InstallSource(4, digest, []byte("{}")); ok || err != nil || s.Current().Version != 5 {
		t.Errorf("InstallSource with a lower version: %v, %v", ok, err)
	}
	var e *core.Error
	if ok, err := s.InstallSource(6, digest, []byte("{ }")); ok || !errors.As(err, &e) {
		t.Errorf("InstallSource with a corrupted body: %v, %v", ok, err)
	}
}
