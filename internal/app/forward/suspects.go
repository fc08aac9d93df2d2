package forward

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/core"
)

const (
	// quarantineThreshold is the number of endpoint crashes from which on requests with
	// the same content are refused. A single crash may have another cause.
	quarantineThreshold = 2
	// suspectTTL is how long the crashes of a content count after the last one.
	suspectTTL = 90 * time.Second
	// maxSuspects bounds the suspects that are kept, maxReportedSuspects those that are
	// reported to other daemons.
	maxSuspects         = 2048
	maxReportedSuspects = 64
)

// suspects counts, by request content, the endpoints that crashed while they ran it. A
// successful request removes its content.
type suspects struct {
	now func() time.Time

	mu            sync.Mutex
	byFingerprint map[uint64]*suspect
}

// suspect is a request content with which endpoints crashed.
type suspect struct {
	// localCrashes holds the endpoints that crashed while they ran requests of this
	// daemon.
	localCrashes map[core.InstanceID]bool
	// remoteCrashes holds the numbers of crashes that other daemons reported, by daemon.
	remoteCrashes map[core.InstanceID]int
	// updated is when a crash was last recorded here or a daemon last reported a
	// different number.
	updated time.Time
}

func newSuspects(now func() time.Time) *suspects {
	return &suspects{now: now, byFingerprint: map[uint64]*suspect{}}
}

// fingerprint identifies the content of a request: its account, host, method, target
// and body.
func fingerprint(r *Request, account core.AccountID) uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Host, r.Target, r.Method, string(account)} {
		d.WriteString(s)
		d.WriteString("\x00")
	}
	d.Write(r.Body)
	return d.Sum64()
}

// crashCount returns the number of crashes that are attributed to a content.
func (s *suspects) crashCount(fp uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.byFingerprint[fp]
	if entry == nil || s.now().Sub(entry.updated) > suspectTTL {
		return 0
	}
	n := len(entry.localCrashes)
	for _, crashes := range entry.remoteCrashes {
		n += crashes
	}
	return n
}

// recordCrash records that an endpoint crashed while it ran a content, and returns the
// content's crashes.
func (s *suspects) recordCrash(fp uint64, e core.InstanceID) int {
	s.mu.Lock()
	entry := s.touch(fp)
	entry.localCrashes[e] = true
	s.mu.Unlock()
	return s.crashCount(fp)
}

// recordSuccess clears a content that an endpoint ran successfully.
func (s *suspects) recordSuccess(fp uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byFingerprint, fp)
}

// touch returns the suspect of a content, creating it if necessary, and restarts its
// TTL. The caller holds mu.
func (s *suspects) touch(fp uint64) *suspect {
	now := s.now()
	entry := s.byFingerprint[fp]
	if entry == nil {
		if len(s.byFingerprint) >= maxSuspects {
			s.evictOldest()
		}
		entry = &suspect{localCrashes: map[core.InstanceID]bool{}, remoteCrashes: map[core.InstanceID]int{}}
		s.byFingerprint[fp] = entry
	}
	entry.updated = now
	return entry
}

// evictOldest removes the suspect that was updated least recently. The caller holds mu.
func (s *suspects) evictOldest() {
	var oldest uint64
	var oldestUpdate time.Time
	for fp, entry := range s.byFingerprint {
		if oldestUpdate.IsZero() || entry.updated.Before(oldestUpdate) {
			oldest, oldestUpdate = fp, entry.updated
		}
	}
	delete(s.byFingerprint, oldest)
}

// report returns the crashes that this daemon recorded, and removes expired suspects.
func (s *suspects) report() []fleet.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reported []fleet.Suspect
	now := s.now()
	for fp, entry := range s.byFingerprint {
		if now.Sub(entry.updated) > suspectTTL {
			delete(s.byFingerprint, fp)
			continue
		}
		if len(entry.localCrashes) > 0 && len(reported) < maxReportedSuspects {
			reported = append(reported, fleet.Suspect{Fingerprint: fp, Crashes: len(entry.localCrashes)})
		}
	}
	return reported
}

// merge stores the crashes that another daemon reports. A number that it has reported
// before does not restart the suspect's TTL.
func (s *suspects) merge(from core.InstanceID, list []fleet.Suspect) {
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
