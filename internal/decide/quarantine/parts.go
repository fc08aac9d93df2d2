package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrassgrade/internal/core"
)

const (
	// partCrashes is the number of crashes at different moments from which on a part is
	// quarantined. A part that unrelated requests share with a faulty one is among the
	// requests of as many crashes, but answers that begin meanwhile clear it.
	partCrashes = 3
	// sameMoment is the time in which crashes count as one, because they can have one
	// other cause, such as a rack that fails.
	sameMoment = 250 * time.Millisecond
	// minSuspicion is the time from the first crash that counts until a part is
	// quarantined. In it, answers on a part that is sound begin, and other daemons report
	// them.
	minSuspicion = time.Second
	// firstProbe is the time from the last crash until one request with a quarantined
	// part may run, to find out whether the part is sound by now. Each further crash
	// multiplies it by probeFactor, up to maxProbe.
	firstProbe  = 5 * time.Second
	probeFactor = 4
	maxProbe    = Duration
	// probeTimeout is the time for which a probe keeps others from being sent.
	probeTimeout = 10 * time.Second
	// partTTL is how long a part is kept after its last crash. It is longer than maxProbe,
	// so that a part that is faulty for good is probed and not forgotten.
	partTTL = 2 * maxProbe
	// sameCrash is the time in which reports of a crash of one endpoint mean the same
	// crash. An endpoint that starts again takes longer to crash again.
	sameCrash = 2 * time.Second
	// maxParts, maxPartCrashes and maxSoundParts bound the parts that are kept, the
	// crashes of each, and the parts whose last answer is remembered.
	maxParts       = 4096
	maxPartCrashes = 8
	maxSoundParts  = 4096
	// clearedTTL is how long a part without crashes is kept, so that all daemons learn
	// that it is cleared.
	clearedTTL = 30 * time.Second
)

// Part identifies a part of prompts that are sent to a pool.
type Part uint64

// PartOf returns the part of a pool's prompts that has an ID.
func PartOf(pool core.PoolID, id string) Part {
	return Part(xxhash.Sum64String(string(pool) + "\x00" + id))
}

// String returns the part as a hexadecimal number.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

// EndpointRun identifies one run of an endpoint.
type EndpointRun uint64

// RunOf returns the run of an endpoint that started at a time in Unix milliseconds, 0
// if that is unknown.
func RunOf(id core.InstanceID, startedMs int64) EndpointRun {
	d := xxhash.New()
	d.WriteString(string(id))
	for range 8 {
		d.Write([]byte{0, byte(startedMs)})
		startedMs >>= 8
	}
	return EndpointRun(d.Sum64())
}

// PartCrash is a crash of an endpoint while it had a request with a part whose answer
// had not begun, or only just.
type PartCrash struct {
	Endpoint EndpointRun
	At       time.Time
}

// Verdict says whether a request may be sent, and why not.
type Verdict struct {
	// Index is the index of the quarantined part among those that were asked for, -1 if
	// there is none and the request may be sent.
	Index int
	// Crashes is the number of crashes that count, LastCrash the time since the last one.
	Crashes   int
	LastCrash time.Duration
	// Remaining is the time until a request with the part may run again.
	Remaining time.Duration
	// Probe is true if the request may be sent once, to find out whether a quarantined
	// part is sound by now.
	Probe bool
}

// PartSet finds the parts of prompts that crash endpoints. A part is a suspect if
// endpoints crashed at several moments while they were about to answer on it and no
// answer on it began since the first of these crashes and went on. A suspect is
// quarantined unless likelier suspects explain its crashes: requests share sound parts
// with the faulty one, and the next answers on these may take a while. PartSet is safe
// for concurrent use.
type PartSet struct {
	now func() time.Time

	mu    sync.Mutex
	parts map[Part]*partRecord
	// sound and olderSound hold when the last answer on a part began that this daemon
	// has seen going on. When sound is full, it replaces olderSound.
	sound, olderSound map[Part]time.Time
	// fullReport is the last report of all parts, made at fullReportAt.
	fullReport   []PartReport
	fullReportAt time.Time
}

type partRecord struct {
	part Part
	// depth is the position of the part in the prompts of the requests that crashes ended.
	depth int
	// crashes holds the crashes after soundAt, the oldest first.
	crashes []PartCrash
	// soundAt is when the last answer on the part began that a daemon has seen going on,
	// ownSoundAt the same for this daemon.
	soundAt, ownSoundAt time.Time
	lastCrash           time.Time
	// changed is when a daemon last reported something that changed the crashes.
	changed time.Time
	// reported is true while the last PartChange was the begin of a quarantine.
	reported bool
	// probed is when this daemon last let a request with the part run as a probe.
	probed time.Time
}

// NewPartSet returns an empty set that uses now as its clock.
func NewPartSet(now func() time.Time) *PartSet {
	return &PartSet{now: now, parts: map[Part]*partRecord{}, sound: map[Part]time.Time{}}
}

// RecordCrash records that an endpoint crashed at a time while it had a request whose
// answer had not begun, or only just. parts are those of its prompt in their order.
func (s *PartSet) RecordCrash(parts []Part, e EndpointRun, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for depth, p := range parts {
		s.addCrash(p, depth, PartCrash{e, at})
	}
}

// RecordSound records that an answer to a request with the parts began at a time and
// went on or was completed.
func (s *PartSet) RecordSound(parts []Part, began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range parts {
		if began.After(s.lastSound(p)) {
			if len(s.sound) >= maxSoundParts/2 {
				s.sound, s.olderSound = map[Part]time.Time{}, s.sound
			}
			s.sound[p] = began
		}
		if r := s.parts[p]; r != nil {
			if began.After(r.ownSoundAt) {
				r.ownSoundAt = began
			}
			r.clearUntil(began, s.now())
		}
	}
}

// lastSound returns when the last answer on a part began that this daemon has seen going
// on, or the zero time. The caller holds mu.
func (s *PartSet) lastSound(p Part) time.Time {
	if at, ok := s.sound[p]; ok {
		return at
	}
	return s.olderSound[p]
}

// Check decides whether a request with the parts may be sent now. mayProbe says whether
// this daemon is the one that probes a part.
func (s *PartSet) Check(parts []Part, mayProbe func(Part) bool) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.parts) == 0 {
		return Verdict{Index: -1}
	}
	now := s.now()
	var probes []*partRecord
	for i, p := range parts {
		r := s.parts[p]
		if r == nil || !s.quarantined(r, now) {
			continue
		}
		remaining := max(r.lastCrash.Add(probeWait(r.moments())).Sub(now), r.probed.Add(probeTimeout).Sub(now))
		if remaining > 0 || !mayProbe(p) {
			return Verdict{Index: i, Crashes: r.moments(), LastCrash: now.Sub(r.lastCrash), Remaining: max(remaining, 0)}
		}
		probes = append(probes, r)
	}
	for _, r := range probes {
		r.probed = now
	}
	return Verdict{Index: -1, Probe: len(probes) > 0}
}

// probeWait returns the time from the last crash until a probe.
func probeWait(moments int) time.Duration {
	wait := firstProbe
	for range moments - partCrashes {
		wait = min(wait*probeFactor, maxProbe)
	}
	return wait
}

// addCrash adds a crash to a part unless it is known or an answer on the part began
// since. The caller holds mu.
func (s *PartSet) addCrash(p Part, depth int, c PartCrash) {
	now := s.now()
	if now.Sub(c.At) >= partTTL {
		return
	}
	r := s.parts[p]
	if r == nil {
		sound := s.lastSound(p)
		if !c.At.After(sound) {
			return
		}
		if len(s.parts) >= maxParts {
			s.evict(now)
		}
		r = &partRecord{part: p, soundAt: sound, ownSoundAt: sound}
		s.parts[p] = r
	}
	if !c.At.After(r.soundAt) {
		return
	}
	r.depth = max(r.depth, depth)
	if i := r.crashIndex(c); i >= 0 {
		// The first report is the nearest to the crash.
		if c.At.Before(r.crashes[i].At) {
			r.crashes[i].At = c.At
			r.sortCrashes()
		}
		return
	}
	r.crashes = append(r.crashes, c)
	r.sortCrashes()
	if n := len(r.crashes) - maxPartCrashes; n > 0 {
		r.crashes = slices.Clone(r.crashes[n:])
	}
	r.lastCrash, r.changed = r.crashes[len(r.crashes)-1].At, now
}

func (r *partRecord) sortCrashes() {
	slices.SortFunc(r.crashes, func(a, b PartCrash) int { return a.At.Compare(b.At) })
}

// clearUntil removes the crashes up to the begin of an answer on the part that went on.
func (r *partRecord) clearUntil(soundAt, now time.Time) {
	if !soundAt.After(r.soundAt) {
		return
	}
	r.soundAt = soundAt
	if len(r.crashes) == 0 || r.crashes[0].At.After(soundAt) {
		return
	}
	r.changed = now
	r.crashes = slices.DeleteFunc(slices.Clone(r.crashes), func(c PartCrash) bool { return !c.At.After(soundAt) })
}

// moments returns the number of moments at which endpoints crashed.
func (r *partRecord) moments() int { return moments(r.crashes) }

// moments returns the number of moments of crashes that are sorted by time.
func moments(crashes []PartCrash) int {
	n := 0
	var last time.Time
	for _, c := range crashes {
		if n == 0 || c.At.Sub(last) >= sameMoment {
			n, last = n+1, c.At
		}
	}
	return n
}

// suspect reports whether the crashes alone suffice for a quarantine.
func (r *partRecord) suspect(now time.Time) bool {
	return len(r.crashes) >= partCrashes && r.moments() >= partCrashes && now.Sub(r.crashes[0].At) >= minSuspicion
}

// quarantined reports whether a part is quarantined. The caller holds mu.
func (s *PartSet) quarantined(r *partRecord, now time.Time) bool {
	if !r.suspect(now) {
		return false
	}
	var explanations []*partRecord
	for _, other := range s.parts {
		if other.likelierThan(r) && other.suspect(now) {
			explanations = append(explanations, other)
		}
	}
	unexplained := slices.DeleteFunc(slices.Clone(r.crashes), func(c PartCrash) bool {
		return slices.ContainsFunc(explanations, func(other *partRecord) bool { return other.hasCrash(c) })
	})
	return moments(unexplained) >= partCrashes
}

// likelierThan reports whether a part is more likely than another one to be the cause of
// crashes that both have: it has been sound less recently or, of two that have been
// sound equally recently or never, it has more crashes. If these are equal too, it is
// the part further behind in the prompt, which fewer other requests share. Should it be
// sound, the other one has more crashes after the next request with another such part.
func (r *partRecord) likelierThan(other *partRecord) bool {
	return cmp.Or(other.soundAt.Compare(r.soundAt), cmp.Compare(len(r.crashes), len(other.crashes)), cmp.Compare(r.depth, other.depth),
		cmp.Compare(r.part, other.part)) > 0
}

func (r *partRecord) hasCrash(c PartCrash) bool { return r.crashIndex(c) >= 0 }

// crashIndex returns the index of a crash among those of the part, or -1.
func (r *partRecord) crashIndex(c PartCrash) int {
	return slices.IndexFunc(r.crashes, func(known PartCrash) bool {
		d := c.At.Sub(known.At)
		return known.Endpoint == c.Endpoint && d < sameCrash && d > -sameCrash
	})
}

// expire removes the parts whose last crash is too old and those that were cleared some
// time ago. The caller holds mu.
func (s *PartSet) expire(now time.Time) {
	for p, r := range s.parts {
		if now.Sub(r.lastCrash) >= partTTL || len(r.crashes) == 0 && now.Sub(r.changed) >= clearedTTL {
			delete(s.parts, p)
		}
	}
}

// evict removes the part with the fewest crashes, of these the one whose last crash is
// the oldest. The caller holds mu.
func (s *PartSet) evict(now time.Time) {
	s.expire(now)
	if len(s.parts) < maxParts {
		return
	}
	var least Part
	var leastRecord *partRecord
	for p, r := range s.parts {
		if leastRecord == nil || cmp.Or(cmp.Compare(len(r.crashes), len(leastRecord.crashes)), r.lastCrash.Compare(leastRecord.lastCrash)) < 0 {
			least, leastRecord = p, r
		}
	}
	delete(s.parts, least)
}
