package edge

import (
	"slices"
	"sync"
	"time"

	"eelgrassgrade/internal/decide/shutdown"
)

const (
	// delayWindow is how long a delay of the process counts as recent.
	delayWindow = 5 * time.Second
	// usualCount is the number of recent delays from which on they are usual.
	usualCount = 3
	// maxAgeShare bounds the age of a signal, as a part of the time for a stop, since a longer
	// delay probably began before the signal. maxEarlyShare bounds by how much a stop ends
	// earlier.
	maxAgeShare   = 0.5
	maxEarlyShare = 0.6
	// signalHops is the number of goroutines that a signal goes through, each as late as a
	// timer's: that of os/signal and the one that stops the daemon.
	signalHops = 2
	// lateSlack is the delay that killMargin allows for.
	lateSlack = killMargin - abortTime
)

// delayMonitor measures how late the process runs: for want of processor time, or after a
// pause. A signal may be as old as that when the process notices it.
type delayMonitor struct {
	interval time.Duration

	mu   sync.Mutex
	last time.Time
	// delays holds the delays of the last delayWindow.
	delays []observedDelay
}

type observedDelay struct {
	at    time.Time
	delay time.Duration
}

// newDelayMonitor returns a monitor that is told the time once in each interval.
func newDelayMonitor(interval time.Duration, now time.Time) *delayMonitor {
	return &delayMonitor{interval: interval, last: now}
}

// observe records that the process runs now, because of a timer that fired at fired.
func (m *delayMonitor) observe(now, fired time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// Where each interval is late by the same time, only the time since the timer shows it.
	if d := max(now.Sub(m.last)-m.interval, now.Sub(fired)); d > 0 {
		m.delays = append(m.delays, observedDelay{now, d})
	}
	for len(m.delays) > 0 && now.Sub(m.delays[0].at) > delayWindow {
		m.delays = m.delays[1:]
	}
	m.last = now
}

// schedulingDelay describes how late the process runs.
type schedulingDelay struct {
	// present is for how long the process may not have run until now.
	present time.Duration
	// usual is how late it has run at least usualCount times lately. Fewer delays were pauses,
	// which are over.
	usual time.Duration
}

// delay returns the present scheduling delay.
func (m *delayMonitor) delay(now time.Time) schedulingDelay {
	m.mu.Lock()
	defer m.mu.Unlock()
	var recent []time.Duration
	for _, d := range m.delays {
		if now.Sub(d.at) <= delayWindow {
			recent = append(recent, d.delay)
		}
	}
	delay := schedulingDelay{present: now.Sub(m.last)}
	if len(recent) >= usualCount {
		slices.Sort(recent)
		delay.usual = recent[len(recent)-usualCount]
	}
	return delay
}

// planStop returns the stop whose signal was noticed at noticed. The platform kills the
// process within from the signal on, which may be as old as the delay, and the last answers
// are written by a process that runs late as well. Requests without an answer have to have
// ended at its end.
func planStop(noticed time.Time, d schedulingDelay, within time.Duration) shutdown.Stop {
	age := min(max(d.present, signalHops*d.usual), time.Duration(maxAgeShare*float64(within)))
	early := min(max(age+d.usual-lateSlack, 0), time.Duration(maxEarlyShare*float64(within)))
	return shutdown.Stop{Began: noticed.Add(-age), End: noticed.Add(within - killMargin - early)}
}
