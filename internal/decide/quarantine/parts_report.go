package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxReportedParts and maxReportedCrashes bound a report, recentChange is the time
	// for which a change is in each report.
	maxReportedParts   = 24
	maxReportedCrashes = 4
	recentChange       = 3 * time.Second
	// fullReportInterval is the time for which a full report is used again. Sorting
	// maxParts parts for each status would take a few hundredths of a small core.
	fullReportInterval = 300 * time.Millisecond
)

// PartReport is what one daemon tells others about a part. Crashes are relayed;
// SoundAt is the daemon's own observation. If it were relayed too, its age would be
// measured again at each daemon, and a delay on the way would make it newer each time.
type PartReport struct {
	Part    Part
	Crashes []PartCrash
	// SoundAt is when the last answer on the part began that went on; zero if there was
	// none.
	SoundAt time.Time
	// Depth is the position of the part in the prompts, 0 for the first part.
	Depth int
}

// PartChange is the begin or the end of a quarantine.
type PartChange struct {
	Part        Part
	Quarantined bool
	// Crashes is the number of crashes that count, LastCrash the time since the last one.
	Crashes   int
	LastCrash time.Duration
	// LastSound is the time since the last answer on the part that went on began,
	// negative if there was none.
	LastSound time.Duration
}

// Changes returns the quarantines that began or ended since the last call.
func (s *PartSet) Changes() []PartChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var changes []PartChange
	for p, r := range s.parts {
		quarantined := s.quarantined(r, now)
		if quarantined == r.reported {
			continue
		}
		r.reported = quarantined
		c := PartChange{Part: p, Quarantined: quarantined, Crashes: r.moments(), LastCrash: now.Sub(r.lastCrash), LastSound: -1}
		if !r.soundAt.IsZero() {
			c.LastSound = now.Sub(r.soundAt)
		}
		changes = append(changes, c)
	}
	return changes
}

// Report returns what this daemon knows of the parts: all that is still of use, or only
// what has changed lately. Parts with more crashes come first.
func (s *PartSet) Report(all bool) []PartReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if all && now.Sub(s.fullReportAt) < fullReportInterval {
		return s.fullReport
	}
	s.expire(now)
	var known []*partRecord
	for _, r := range s.parts {
		if all || now.Sub(r.changed) < recentChange {
			known = append(known, r)
		}
	}
	slices.SortFunc(known, func(a, b *partRecord) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), b.changed.Compare(a.changed), cmp.Compare(a.part, b.part))
	})
	var reports []PartReport
	for _, r := range known[:min(len(known), maxReportedParts)] {
		reports = append(reports, PartReport{r.part, slices.Clone(r.crashes[max(len(r.crashes)-maxReportedCrashes, 0):]), r.ownSoundAt, r.depth})
	}
	if all {
		s.fullReport, s.fullReportAt = reports, now
	}
	return reports
}

// Merge adds what another daemon reports.
func (s *PartSet) Merge(reports []PartReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range reports {
		for _, c := range x.Crashes {
			s.addCrash(x.Part, x.Depth, c)
		}
		if r := s.parts[x.Part]; r != nil {
			r.clearUntil(x.SoundAt, s.now())
		}
	}
}
