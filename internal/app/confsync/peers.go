package confsync

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/membership"
)

// PeerConfig is a configuration version received from another daemon.
type PeerConfig struct {
	Version config.Version
	SHA256  string
	Source  []byte
}

// peerConfigTimeout limits the wait for the configurations of peers at start.
const peerConfigTimeout = time.Second

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Started reports whether a version is in force or the platform has none yet.
func (s *Sync) Started() bool { return s.started.Load() }

// isNewer reports whether v is higher than the version in force.
func (s *Sync) isNewer(v config.Version) bool {
	cur := s.Current()
	return cur == nil || cur.Version < v
}

func (s *Sync) setReplicating(v config.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicating = v
}

// InstallSource compiles a version that was accepted by another daemon and puts it
// into force if it is higher than the current one. It reports whether it did. A
// version received from several daemons concurrently is compiled only once.
func (s *Sync) InstallSource(v config.Version, digest string, src []byte) (bool, error) {
	s.compileMu.Lock()
	defer s.compileMu.Unlock()
	if !s.isNewer(v) || s.isReplicating(v) {
		return false, nil
	}
	sum := sha256.Sum256(src)
	if hex.EncodeToString(sum[:]) != digest {
		return false, &core.Error{Kind: core.Upstream, Step: "configuration", Ran: core.RanNot, Detail: "the body does not match the announced SHA-256 digest"}
	}
	snap, err := s.compile(fileName, src, v)
	if err != nil {
		return false, err
	}
	return s.Install(snap), nil
}

func (s *Sync) isReplicating(v config.Version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicating == v
}

// Run keeps the configuration up to date until ctx ends. It reads the current
// version from the table service every membership.PollInterval, with a random first
// delay. While no version is in force and the platform does not respond, it asks
// peers.
func (s *Sync) Run(ctx context.Context, onError func(error)) {
	s.poll(ctx, onError)
	first := s.randomPhase(membership.PollInterval(s.replicator.Daemons()))
	for d := first; sleep(ctx, d) == nil; d = membership.PollInterval(s.replicator.Daemons()) {
		s.poll(ctx, onError)
	}
}

func (s *Sync) poll(ctx context.Context, onError func(error)) {
	ctx, cancel := context.WithTimeout(ctx, 2*peerConfigTimeout)
	defer cancel()
	err := s.Refresh(ctx)
	if err != nil {
		onError(err)
		if s.Current() == nil {
			s.installFromPeers(ctx)
		}
	}
}

// installFromPeers puts the highest version that peers return into force.
func (s *Sync) installFromPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerConfigTimeout)
	defer cancel()
	var best PeerConfig
	for _, c := range s.replicator.PeerConfigs(ctx, 0) {
		if c.Version > best.Version {
			best = c
		}
	}
	if best.Version > 0 {
		s.InstallSource(best.Version, best.SHA256, best.Source)
	}
}
