package ctl

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	opclient "eelgrassgrade/gen/http/operators/client"
	"eelgrassgrade/gen/operators"
)

func (c *client) status(ctx context.Context) ([]*operators.DaemonStatus, error) {
	res, err := c.callFirstAvailable(ctx, func(ctx context.Context, oc *opclient.Client) (any, error) {
		return oc.Status()(ctx, &operators.StatusPayload{Authorization: &c.authorization})
	})
	if err != nil {
		return nil, err
	}
	return res.(*operators.StatusResult).Daemons, nil
}

func setupStatus(t *tool, _ *flag.FlagSet) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if len(args) != 0 {
			return usageError("status takes no argument")
		}
		c, err := t.client()
		if err != nil {
			return err
		}
		daemons, err := c.status(ctx)
		if err != nil {
			return err
		}
		w := tabwriter.NewWriter(t.stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "DAEMON\tDATA CENTRE\tVERSION\tREADY\tIN PROGRESS\tVIEW AGE\tQUARANTINED\tLEAVING\tERROR")
		for _, d := range daemons {
			fmt.Fprintf(w, "%s\t%s\t%d\t%t\t%d\t%s\t%d\t%s\t%s\n", d.Instance, d.DataCenter, d.Version, d.Ready, valueOrZero(d.RequestsInProgress),
				viewAge(d.ViewAgeMs), valueOrZero(d.Quarantined), strings.Join(d.Leaving, ","), valueOrZero(d.Error))
		}
		return w.Flush()
	}
}

// viewAge formats the age of a membership view. A nil or negative age means that
// the daemon has no view.
func viewAge(ms *int64) string {
	if ms == nil || *ms < 0 {
		return "none"
	}
	return (time.Duration(*ms) * time.Millisecond).String()
}

const (
	// defaultLeaveTimeout is the longest time for which new work may still reach a
	// leaving instance.
	defaultLeaveTimeout = 3 * time.Second
	leavePollInterval   = 200 * time.Millisecond
)

func setupLeave(t *tool, fs *flag.FlagSet) func(context.Context, []string) error {
	wait := fs.Bool("wait", false, "wait for up to -timeout, instead of 3s, until no daemon sends new work to the instance")
	timeout := fs.Duration("timeout", time.Minute, "maximum waiting time with -wait")
	return func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return usageError("leave takes exactly one instance")
		}
		c, err := t.client()
		if err != nil {
			return err
		}
		res, err := c.leave(ctx, args[0])
		if err != nil {
			return err
		}
		t.printf("announced: %d of %d daemons informed, recorded in the table service: %t\n", res.DaemonsInformed, res.DaemonsKnown, res.Durable)
		waitLimit := defaultLeaveTimeout
		if *wait {
			waitLimit = *timeout
		}
		return t.awaitLeave(ctx, c, args[0], waitLimit)
	}
}

// leave announces the leave to the first daemon that responds. The call is
// idempotent, so it is safe to repeat it at another daemon.
func (c *client) leave(ctx context.Context, instance string) (*operators.LeaveResult, error) {
	res, err := c.callFirstAvailable(ctx, func(ctx context.Context, oc *opclient.Client) (any, error) {
		return oc.Leave()(ctx, &operators.LeavePayload{Authorization: &c.authorization, Instance: instance})
	})
	if err != nil {
		return nil, err
	}
	return res.(*operators.LeaveResult), nil
}

// awaitLeave polls the daemons' status until every other daemon lists the instance
// as leaving.
func (t *tool) awaitLeave(ctx context.Context, c *client, instance string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	unconfirmed := []string{"no daemon has responded"}
	for {
		if daemons, err := c.status(ctx); err == nil {
			unconfirmed = unconfirmed[:0]
			for _, d := range daemons {
				if d.Instance != instance && (d.Error != nil || !slices.Contains(d.Leaving, instance)) {
					unconfirmed = append(unconfirmed, d.Instance)
				}
			}
			if len(unconfirmed) == 0 {
				t.printf("all %d daemons know that %s is leaving and send it no new work\n", len(daemons), instance)
				return nil
			}
		}
		select {
		case <-time.After(leavePollInterval):
		case <-ctx.Done():
			return &exitError{exitFailed, fmt.Sprintf("not confirmed within %s that %s is leaving: %s", timeout, instance, strings.Join(unconfirmed, ", "))}
		}
	}
}
