package edge

import (
	"sync"
	"time"

	"eelgrassgrade/internal/adapter/fleetrpc"
	"eelgrassgrade/internal/adapter/telemetry"
	"eelgrassgrade/internal/decide/shutdown"
)

// stopReportInterval is the time between two reports of a stopping daemon.
const stopReportInterval = time.Second

// stopReport reports what a stopping daemon has in progress and what became of it.
type stopReport struct {
	daemon  *Daemon
	sockets *sockets
	peers   *fleetrpc.Server
	end     time.Time
}

// begin reports the begin of a stop that cuts requests at end, and its progress until the
// returned function is called, which reports the outcome. delay tells how late the process
// ran at the begin.
func (r *stopReport) begin(noticed time.Time, plan shutdown.Stop, end time.Time, delay schedulingDelay) (finish func()) {
	r.end = end
	r.daemon.telemetry.StopBegan(noticed, plan.End.Sub(noticed), r.progress(max(delay.present, delay.usual)))
	done := make(chan struct{})
	var reporting sync.WaitGroup
	reporting.Go(func() { r.repeat(done) })
	return func() {
		close(done)
		reporting.Wait()
		r.sockets.report()
		r.daemon.telemetry.StopEnded(r.progress(0))
	}
}

// repeat reports the progress until done is closed.
func (r *stopReport) repeat(done <-chan struct{}) {
	for {
		due := time.Now().Add(stopReportInterval)
		select {
		case <-done:
			return
		case <-time.After(stopReportInterval):
			r.daemon.telemetry.StopProgress(r.progress(time.Since(due)))
		}
	}
}

// progress returns what is in progress. late is the time by which the report is late.
func (r *stopReport) progress(late time.Duration) *telemetry.StopProgress {
	return &telemetry.StopProgress{Requests: r.daemon.progress.Summary(), Connections: r.sockets.callers.count(),
		PeerTasks: r.peers.PeerTasks(), Remaining: time.Until(r.end), Late: late}
}

// reportClosed reports a caller's connection that was closed.
func (d *Daemon) reportClosed(c connClose) {
	d.telemetry.ConnectionClosed(string(c.reason), c.client, c.reason == closedByCaller, c.head, c.unanswered)
}
