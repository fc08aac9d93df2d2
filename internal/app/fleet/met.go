package fleet

import "time"

const (
	// metWithin bounds how long a daemon counts as not having met the others.
	metWithin = time.Second
)

// Met returns a channel that is closed when the daemon has met the others: it has read
// the list of daemons and exchanged, or tried to, with each that it knows, or has run
// for a second. Before that it does not know who coordinates what. A daemon that
// knows no other has met all.
func (f *Fleet) Met() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.peers) == 0 {
		alone := make(chan struct{})
		close(alone)
		return alone
	}
	return f.met
}

// checkMet notes when all others are met, and has those that were not tried yet tried
// without waiting for the next interval. The caller holds mu.
func (f *Fleet) checkMet() {
	if f.hasMet || !f.listKnown {
		return
	}
	missing, untried := false, false
	for _, p := range f.peers {
		missing = missing || !p.met
		untried = untried || !p.met && !p.busy
	}
	if !missing {
		f.setMet()
	}
	if untried && len(f.peers) <= midSize {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
}

// setMet is called with mu held.
func (f *Fleet) setMet() {
	if !f.hasMet {
		f.hasMet = true
		close(f.met)
	}
}
