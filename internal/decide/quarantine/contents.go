package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"eelgrassgrade/internal/core"
)

const (
	// ContentCrashes is the number of endpoint crashes from which on requests with the
	// same content are refused. A single crash may have another cause.
	ContentCrashes = 2
	// contentTTL is how long the crashes of a content count after the last one. They are
	// kept as long again, so that a late report does not renew them.
	contentTTL = 90 * time.Second
	// sameRunCrash is the time in which reports of a crash of one run of an endpoint mean
	// the same crash. A run ends once, and daemons that were paused notice it late; but
	// while the store is down, an endpoint that starts again keeps the run that is known.
	sameRunCrash = 10 * time.Second
	// maxContents bounds the contents that are kept, maxReportedContents those that are
	// reported to other daemons, and maxContentCrashes the crashes of each.
	maxContents         = 2048
	maxReportedContents = 64
	maxContentCrashes   = 4
)

// ContentReport is what one daemon tells others about a content. Crashes are relayed;
// SoundAt is the daemon's own observation, for the reason that PartReport gives.
type ContentReport struct {
	Fingerprint uint64
	Crashes     []PartCrash
	// OwnCrashes is the number of crashes that the daemon has seen itself. Daemons of
	// earlier versions tell and read nothing else.
	OwnCrashes int
	// SoundAt is when an endpoint last completed a request with the content; zero if none
	// has since a crash.
	SoundAt time.Time
}

// Contents keeps, by the fingerprint of a request's content, the crashes of endpoints that
// ran it, as this daemon has seen them and others have reported them. A successful request
// clears its content. Contents is safe for concurrent use.
type Contents struct {
	now func() time.Time

	mu            sync.Mutex
	byFingerprint map[uint64]*content
}

// content is a request content with which endpoints crashed.
type content struct {
	// crashes holds the crashes after soundAt, the oldest first.
	crashes []contentCrash
	// soundAt is when an endpoint last completed a request with the content, as far as any
	// daemon reports, ownSoundAt the same for this daemon.
	soundAt, ownSoundAt time.Time
	// changed is when a crash or a success was last added.
	changed time.Time
}

// contentCrash is a crash while an endpoint ran a content; own if this daemon saw it.
type contentCrash struct {
	PartCrash
	own bool
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
	if entry == nil || s.now().Sub(entry.lastCrash()) > contentTTL {
		return 0
	}
	return len(entry.crashes)
}

// lastCrash returns the time of the last crash, or the zero time.
func (c *content) lastCrash() time.Time {
	if n := len(c.crashes); n > 0 {
		return c.crashes[n-1].At
	}
	return time.Time{}
}

// RecordCrash records that a run of an endpoint crashed at a time while it ran a content.
func (s *Contents) RecordCrash(fp uint64, run EndpointRun, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addCrash(fp, contentCrash{PartCrash{run, at}, true})
}

// RecordSuccess clears a content that an endpoint ran successfully.
func (s *Contents) RecordSuccess(fp uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry := s.byFingerprint[fp]; entry != nil {
		now := s.now()
		entry.ownSoundAt = now
		entry.clearUntil(now, now)
	}
}

// clearUntil removes the crashes up to a successful request.
func (c *content) clearUntil(soundAt, now time.Time) {
	if !soundAt.After(c.soundAt) {
		return
	}
	c.soundAt, c.changed = soundAt, now
	c.crashes = slices.DeleteFunc(c.crashes, func(crash contentCrash) bool { return !crash.At.After(soundAt) })
}

// addCrash adds a crash of a content unless it is known, too old, or the content was sound
// after it. The caller holds mu.
func (s *Contents) addCrash(fp uint64, crash contentCrash) {
	now := s.now()
	if now.Sub(crash.At) > contentTTL {
		return
	}
	entry := s.byFingerprint[fp]
	if entry == nil {
		if len(s.byFingerprint) >= maxContents {
			s.evictOldest()
		}
		entry = &content{}
		s.byFingerprint[fp] = entry
	}
	if !crash.At.After(entry.soundAt) {
		return
	}
	if crash.At.Sub(entry.lastCrash()) > contentTTL {
		entry.crashes = nil
	}
	if i := entry.indexOf(crash); i >= 0 {
		known := &entry.crashes[i]
		known.own = known.own || crash.own
		// The first report is the nearest to the crash.
		if crash.At.Before(known.At) {
			known.At = crash.At
		}
	} else {
		entry.crashes, entry.changed = append(entry.crashes, crash), now
	}
	slices.SortFunc(entry.crashes, func(a, b contentCrash) int { return a.At.Compare(b.At) })
	entry.crashes = entry.crashes[max(len(entry.crashes)-maxContentCrashes, 0):]
}

// indexOf returns the index of a crash among those of the content, or -1.
func (c *content) indexOf(crash contentCrash) int {
	return slices.IndexFunc(c.crashes, func(known contentCrash) bool {
		d := crash.At.Sub(known.At)
		return known.Endpoint == crash.Endpoint && d < sameRunCrash && d > -sameRunCrash
	})
}

// evictOldest removes the content that was changed least recently. The caller holds mu.
func (s *Contents) evictOldest() {
	var oldest uint64
	var oldestChange time.Time
	for fp, entry := range s.byFingerprint {
		if oldestChange.IsZero() || entry.changed.Before(oldestChange) {
			oldest, oldestChange = fp, entry.changed
		}
	}
	delete(s.byFingerprint, oldest)
}

// Report returns what this daemon knows of the contents, those that crashed endpoints last
// first, and removes those that are too old.
func (s *Contents) Report() []ContentReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var reported []ContentReport
	for fp, entry := range s.byFingerprint {
		if now.Sub(entry.changed) > 2*contentTTL {
			delete(s.byFingerprint, fp)
			continue
		}
		r := ContentReport{Fingerprint: fp, SoundAt: entry.ownSoundAt}
		if now.Sub(entry.lastCrash()) <= contentTTL {
			r.addCrashes(entry.crashes)
		}
		if len(r.Crashes) > 0 || now.Sub(r.SoundAt) <= clearedTTL {
			reported = append(reported, r)
		}
	}
	slices.SortFunc(reported, func(a, b ContentReport) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), b.latest().Compare(a.latest()), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return reported[:min(len(reported), maxReportedContents)]
}

func (r *ContentReport) addCrashes(list []contentCrash) {
	for _, crash := range list {
		r.Crashes = append(r.Crashes, crash.PartCrash)
		if crash.own {
			r.OwnCrashes++
		}
	}
}

// latest returns the time of the latest crash or success.
func (r ContentReport) latest() time.Time {
	if n := len(r.Crashes); n > 0 {
		return r.Crashes[n-1].At
	}
	return r.SoundAt
}

// Merge adds what another daemon reports. The crashes that a daemon of an earlier version
// has seen count as those of runs that nobody else reports.
func (s *Contents) Merge(from core.InstanceID, list []ContentReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, r := range list {
		if len(r.Crashes) == 0 && r.SoundAt.IsZero() {
			for i := range min(r.OwnCrashes, maxContentCrashes) {
				s.addUnnamedCrash(r.Fingerprint, RunOf(from+core.InstanceID("#"+strconv.Itoa(i)), 0), now)
			}
		}
		for _, crash := range r.Crashes {
			s.addCrash(r.Fingerprint, contentCrash{PartCrash: crash})
		}
		if entry := s.byFingerprint[r.Fingerprint]; entry != nil {
			entry.clearUntil(r.SoundAt, now)
		}
	}
}

// addUnnamedCrash adds a crash of which only the reporter is known, unless the content has
// it already, however old: it is reported again and again without a time. The caller holds
// mu.
func (s *Contents) addUnnamedCrash(fp uint64, run EndpointRun, now time.Time) {
	entry := s.byFingerprint[fp]
	if entry != nil && slices.ContainsFunc(entry.crashes, func(c contentCrash) bool { return c.Endpoint == run }) {
		return
	}
	s.addCrash(fp, contentCrash{PartCrash: PartCrash{run, now}})
}
