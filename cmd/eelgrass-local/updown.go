package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/config"
	"eelgrassgrade/internal/localrun"
)

const upTimeout = 30 * time.Second

func stateFile(o options) string { return filepath.Join(o.dir, "state.json") }

// up starts a deployment that keeps running after this program exits, and saves its
// state so that down can stop it.
func up(ctx context.Context, o options) error {
	if _, err := os.Stat(stateFile(o)); err == nil {
		return errors.New(stateFile(o) + " exists, so a deployment may be running: stop it with eelgrass-local down")
	}
	ctx, cancel := context.WithTimeout(ctx, upTimeout)
	defer cancel()
	for _, d := range deployments {
		if d.name != o.deployment {
			continue
		}
		c, err := d.start(ctx, o, o.daemons, 12, 4)
		if err != nil {
			return err
		}
		if err := c.Save(stateFile(o)); err != nil {
			c.Stop()
			return err
		}
		return printDeployment(c, d)
	}
	return fmt.Errorf("unknown deployment %q", o.deployment)
}

func printDeployment(c *localrun.Cluster, d deployment) error {
	fmt.Printf("operator key: %s\n", localrun.OperatorKey)
	for _, p := range c.Daemons {
		fmt.Printf("%-14s %-6s callers %s  operators %s\n", p.ID, p.DataCenter, p.Address, p.ControlAddress)
	}
	for _, p := range c.AllProcesses() {
		if p.PeerAddress == "" {
			fmt.Printf("%-14s %-6s serves  %s  control   %s\n", p.ID, p.DataCenter, p.Address, p.ControlAddress)
		}
	}
	src, err := os.ReadFile(d.listsFile())
	if err != nil {
		return err
	}
	s, err := config.Compile(d.listsFile(), src, 1)
	if err != nil {
		return err
	}
	for id, a := range s.Lists.Accounts {
		fmt.Printf("account %s (plan %s): key-%s\n", id, a.Plan, id)
	}
	return nil
}

func down(o options) error { return localrun.StopSaved(stateFile(o)) }
