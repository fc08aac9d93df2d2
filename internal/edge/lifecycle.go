package edge

import (
	"context"
	"os"
	"syscall"
	"time"

	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/app/forward"
	"eelgrassgrade/internal/graceful"
	"eelgrassgrade/internal/settings"
)

const (
	// lingerTime is how long a stopping daemon still accepts new connections. The load
	// balancer notices the stop within two readiness checks, which are a second apart.
	lingerTime = 2500 * time.Millisecond
	// killMargin is the time that a stopping daemon leaves between the end of its
	// requests and SIGKILL.
	killMargin = 300 * time.Millisecond
	// abortTime is how long a stopping daemon waits at its end for the answers to
	// requests that it has aborted. It is a part of killMargin.
	abortTime = 200 * time.Millisecond
)

// Shutdown stops the daemon as SIGTERM does. It does not wait: Run returns when the
// requests in progress have ended.
func (d *Daemon) Shutdown() {
	select {
	case d.shutdown <- struct{}{}:
	default:
	}
}

// waitForStop handles signals and Shutdown until the daemon has stopped. abortRequests
// cancels the contexts of callers' requests.
func (d *Daemon) waitForStop(ctx context.Context, signals <-chan os.Signal, callers *graceful.Server, abortRequests context.CancelCauseFunc, failed <-chan error) error {
	for {
		select {
		case err := <-failed:
			return err
		case <-ctx.Done():
			return callers.Close()
		case <-d.shutdown:
			d.stop(callers, abortRequests)
			return nil
		case s := <-signals:
			if s == syscall.SIGHUP {
				d.reload()
				continue
			}
			d.stop(callers, abortRequests)
			return nil
		}
	}
}

// reload reads the settings file again. Only new peer addresses are applied at once; all
// other settings apply after a restart.
func (d *Daemon) reload() {
	s, err := settings.LoadHosted(d.settingsPath)
	if err != nil {
		d.log.Error().Err(err).Msg("reload_failed")
		return
	}
	var seeds []fleet.Member
	for _, a := range s.Peers {
		seeds = append(seeds, fleet.Member{Address: a})
	}
	d.fleet.Add(seeds, false)
	d.log.Info().Int("peers", len(s.Peers)).Msg("reloaded")
}

// stop shuts the daemon down. It makes the readiness check fail and announces the leave
// to the other daemons, serves new requests until the load balancer has noticed, and
// waits for the requests in progress and the stage tasks of other daemons that have started
// here. Requests that are left at the end are aborted: the end of the process would close
// their connections without an answer, and in order, which ends a stream of a caller of
// HTTP/1.0.
func (d *Daemon) stop(callers *graceful.Server, abortRequests context.CancelCauseFunc) {
	noticed := time.Now()
	d.stopping.Store(true)
	d.fleet.Leave()
	delay := d.delays.delay(noticed)
	grace := seconds(d.settings.StopWithinS)
	plan := planStop(noticed, delay, grace)
	d.stopPlan.Store(&plan)
	// Answers that have begun go on beyond the plan's end, since their callers lose nothing if
	// the process is killed before. Those that would look complete then end with the plan.
	cut := noticed.Add(grace - killMargin)
	defer d.stopReport.begin(noticed, plan, cut, delay)()
	if tasks := d.coordinator.HandBack(); tasks > 0 {
		d.log.Info().Int("stage_tasks", tasks).Msg("stage_tasks_handed_back")
	}
	callers.AnnounceStop()
	ctx, cancel := context.WithDeadline(context.Background(), cut)
	defer cancel()
	go func() {
		if err := d.store.Remove(ctx, daemonTableName, d.settings.Instance); err != nil {
			d.log.Warn().Err(err).Msg("deregistration_failed")
		}
	}()
	go d.forward.GiveUpWaiting(ctx)
	linger(ctx, lingerTime, time.Now, time.Sleep)
	if err := callers.Finish(ctx); err != nil {
		d.log.Warn().Int("in_progress", d.forward.Active()).Err(err).Msg("requests_cut")
		d.abort(callers, abortRequests)
	}
	if tasks := d.stageClient.Finish(ctx); tasks > 0 {
		d.log.Warn().Int("stage_tasks", tasks).Msg("stage_tasks_cut")
	}
}

// abort ends the requests in progress. Their callers get an answer if none has begun.
func (d *Daemon) abort(callers *graceful.Server, abortRequests context.CancelCauseFunc) {
	d.stopReport.sockets.callers.cutting.Store(true)
	abortRequests(forward.ErrStopping)
	ctx, cancel := context.WithTimeout(context.Background(), abortTime)
	defer cancel()
	if err := callers.Finish(ctx); err != nil {
		d.log.Warn().Int("in_progress", d.forward.Active()).Err(err).Msg("requests_abandoned")
		// The connections end with the process whatever this returns.
		_ = callers.Close()
	}
}

// linger waits until the process has run for d or ctx has ended. Time in which the
// process was paused does not count: connections that were opened during the pause are
// not accepted yet, and closing the listener would reset them.
func linger(ctx context.Context, d time.Duration, now func() time.Time, sleep func(time.Duration)) {
	const step = 50 * time.Millisecond
	for ran := time.Duration(0); ran < d && ctx.Err() == nil; {
		began := now()
		sleep(step)
		ran += min(now().Sub(began), 2*step)
	}
}

const (
	// spreadInterval is the time between two measurements of the loads' spread, one of
	// spreadsPerLine of which is logged.
	spreadInterval = time.Second
	spreadsPerLine = 5
)

// measureSpread measures how evenly requests lie on endpoints until ctx ends.
func (d *Daemon) measureSpread(ctx context.Context) {
	t := time.NewTicker(spreadInterval)
	defer t.Stop()
	for i := 1; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.telemetry.LoadSpreads(d.forward.Spreads(), i%spreadsPerLine == 0)
		}
	}
}
