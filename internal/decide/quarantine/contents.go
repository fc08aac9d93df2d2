package quarantine

import (
	"sync"
	"time"

	"eelgrassgrade/internal/core"
)

const (
	// ContentCrashes is the number of endpoint crashes from which on requests with the
	// same content are refused. A single crash may have another cause.
	ContentCrashes = 2
	// contentTTL is how long the crashes of a content count after the last one.
	contentTTL = 90 * time.Second
	// maxContents bounds the contents that are kept, maxReportedContents those that are
	// reported to other daemons.
	maxContents         = 2048
	maxReportedContents = 64
)

// ContentReport is what one daemon tells others about a content.
type ContentReport struct {
	Fingerprint uint64
	// Crashes is the number of endpoints that crashed while they ran requests of that
	// daemon with the content.
	Crashes int
}

// Contents counts, by the fingerprint of a request's content, the endpoints that crashed
// while they ran it. A successful request removes its content. Contents is safe for
// concurrent use.
type Contents struct {
	now func() time.Time

	mu            sync.Mutex
	byFingerprint map[uint64]*content
}

// content is a request content with which endpoints crashed.
type content struct {
	// localCrashes holds the endpoints that crashed while they ran requests of this
	// daemon.
	localCrashes map[core.InstanceID]bool
	// remoteCrashes holds the numbers of crashes that other daemons reported, by daemon.
	remoteCrashes map[core.InstanceID]int
	// updated is when a crash was last recorded here or a daemon last reported a
	// different number.
	updated time.Time
}

// NewContents returns an empty set that uses now as its clock.
func NewContents(now func() time.Time) *Contents {
	return &Contents{now: now, byFingerprint: map[uint64]*content{}}
}

// CrashCount returns the number of crashes that are attributed to a content.
func (s *Contents) CrashCount(fp uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.byFingerprint[fp]
	if entry == nil || s.now().Sub(entry.updated) > contentTTL {
		return 0
	}
	n := len(entry.localCrashes)
	for _, crashes := range entry.remoteCrashes {
		n += crashes
	}
	return n
}

// RecordCrash records that an endpoint crashed while it ran a content, and returns the
// content's crashes.
func (s *Contents) RecordCrash(fp uint64, e core.InstanceID) int {
	s.mu.Lock()
	entry := s.touch(fp)
	entry.localCrashes[e] = true
	s.mu.Unlock()
	return s.CrashCount(fp)
}

// RecordSuccess clears a content that an endpoint ran successfully.
func (s *Contents) RecordSuccess(fp uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byFingerprint, fp)
}

// touch returns the entry of a content, creating it if necessary, and restarts its
// TTL. The caller holds mu.
func (s *Contents) touch(fp uint64) *content {
	now := s.now()
	entry := s.byFingerprint[fp]
	if entry == nil {
		if len(s.byFingerprint) >= maxContents {
			s.evictOldest()
		}
		entry = &content{localCrashes: map[core.InstanceID]bool{}, remoteCrashes: map[core.InstanceID]int{}}
		s.byFingerprint[fp] = entry
	}
	entry.updated = now
	return entry
}

// evictOldest removes the content that was updated least recently. The caller holds mu.
func (s *Contents) evictOldest() {
	var oldest uint64
	var oldestUpdate time.Time
	for fp, entry := range s.byFingerprint {
		if oldestUpdate.IsZero() || entry.updated.Before(oldestUpdate) {
			oldest, oldestUpdate = fp, entry.updated
		}
	}
	delete(s.byFingerprint, oldest)
}

// Report returns the crashes that this daemon recorded, and removes expired contents.
func (s *Contents) Report() []ContentReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reported []ContentReport
	now := s.now()
	for fp, entry := range s.byFingerprint {
		if now.Sub(entry.updated) > contentTTL {
			delete(s.byFingerprint, fp)
			continue
		}
		if len(entry.localCrashes) > 0 && len(reported) < maxReportedContents {
			reported = append(reported, ContentReport{Fingerprint: fp, Crashes: len(entry.localCrashes)})
		}
	}
	return reported
}

// Merge stores the crashes that another daemon reports. A number that it has reported
// before does not restart the content's TTL.
func (s *Contents) Merge(from core.InstanceID, list []ContentReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, remote := range list {
		known := s.byFingerprint[remote.Fingerprint]
		if known != nil && known.remoteCrashes[from] == remote.Crashes {
			continue
		}
		s.touch(remote.Fingerprint).remoteCrashes[from] = remote.Crashes
	}
}
