package forward

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/core"
)

const (
	// crashesToRefuse is the number of endpoints that one content may crash
	// before it is refused: fewer could be crashes with another cause.
	crashesToRefuse = 2
	// suspectLife is how long crashes count after the last one.
	suspectLife = 90 * time.Second
	// maxSuspects bounds the contents that are remembered, maxShared those that
	// are told to other daemons.
	maxSuspects = 2048
	maxShared   = 64
)

// suspects counts the endpoints that crashed while they ran a content. A success
// clears the content.
type suspects struct {
	now func() time.Time

	mu     sync.Mutex
	counts map[uint64]*suspect
}

type suspect struct {
	// own holds the endpoints that crashed under this daemon's requests.
	own map[core.InstanceID]bool
	// others holds the counts told by other daemons.
	others map[core.InstanceID]int
	last   time.Time
}

func newSuspects(now func() time.Time) *suspects {
	return &suspects{now: now, counts: map[uint64]*suspect{}}
}

// fingerprint identifies a content: the same caller, path and body.
func fingerprint(r *Request, account core.AccountID) uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Host, r.Target, r.Method, string(account)} {
		d.WriteString(s)
		d.WriteString("\x00")
	}
	d.Write(r.Body)
	return d.Sum64()
}

// crashes returns the number of crashes that a content is held to have caused.
func (s *suspects) crashes(fp uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.counts[fp]
	if x == nil || s.now().Sub(x.last) > suspectLife {
		return 0
	}
	n := len(x.own)
	for _, o := range x.others {
		n += o
	}
	return n
}

// crashed notes that an endpoint crashed under a content.
func (s *suspects) crashed(fp uint64, e core.InstanceID) int {
	s.mu.Lock()
	x := s.get(fp)
	x.own[e] = true
	s.mu.Unlock()
	return s.crashes(fp)
}

// cleared notes a success.
func (s *suspects) cleared(fp uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.counts, fp)
}

func (s *suspects) get(fp uint64) *suspect {
	now := s.now()
	x := s.counts[fp]
	if x == nil {
		if len(s.counts) >= maxSuspects {
			s.drop()
		}
		x = &suspect{own: map[core.InstanceID]bool{}, others: map[core.InstanceID]int{}}
		s.counts[fp] = x
	}
	x.last = now
	return x
}

// drop makes room for one suspect: the one whose last crash is oldest goes.
func (s *suspects) drop() {
	var oldest uint64
	var at time.Time
	for fp, x := range s.counts {
		if at.IsZero() || x.last.Before(at) {
			oldest, at = fp, x.last
		}
	}
	delete(s.counts, oldest)
}

// report returns this daemon's own counts.
func (s *suspects) report() []fleet.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []fleet.Suspect
	now := s.now()
	for fp, x := range s.counts {
		if now.Sub(x.last) > suspectLife {
			delete(s.counts, fp)
			continue
		}
		if len(x.own) > 0 && len(out) < maxShared {
			out = append(out, fleet.Suspect{Fingerprint: fp, Crashes: len(x.own)})
		}
	}
	return out
}

// learn takes in another daemon's counts.
func (s *suspects) learn(from core.InstanceID, list []fleet.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range list {
		known := s.counts[x.Fingerprint]
		if known != nil && known.others[from] == x.Crashes {
			continue
		}
		s.get(x.Fingerprint).others[from] = x.Crashes
	}
}
