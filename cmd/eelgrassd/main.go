// Command eelgrassd is the daemon that stands between callers and endpoints.
package main

import (
	"context"
	"flag"
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"

	"eelgrassgrade/internal/adapter/telemetry"
	"eelgrassgrade/internal/daemon"
	"eelgrassgrade/internal/edge"
	"eelgrassgrade/internal/settings"
)

// settingsVariable names the settings file where the platform sets it.
const settingsVariable = "EELGRASSGRADE_SETTINGS"

func main() {
	path := flag.String("settings", "", "settings `file`, JSON with comments (default $"+settingsVariable+" or eelgrassd.jsonc)")
	check := flag.Bool("check", false, "check the settings and exit")
	hosted := flag.Bool("hosted", false, "serve on the users' platform, whose store holds configuration and endpoints")
	flag.Parse()
	if *path == "" {
		*path = "eelgrassd.jsonc"
		if p := os.Getenv(settingsVariable); p != "" {
			*path = p
		}
	}
	run := runDaemon
	if *hosted {
		run = runHosted
	}
	if err := run(*path, *check); err != nil {
		fmt.Fprintln(os.Stderr, "eelgrassd:", err)
		os.Exit(1)
	}
}

func runDaemon(path string, check bool) error {
	s, err := settings.Load(path)
	if err != nil || check {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.New(s, telemetry.NewLogger(os.Stderr))
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

func runHosted(path string, check bool) error {
	if _, err := settings.LoadHosted(path); err != nil || check {
		return err
	}
	stdout := telemetry.NewLineWriter(os.Stdout)
	defer stdout.Close()
	logger := telemetry.NewLogger(stdout)
	// Lines of the libraries, such as of bytes on an unused connection, go the same way.
	log.SetFlags(0)
	log.SetOutput(logger)
	d, err := edge.New(context.Background(), path, logger)
	if err != nil {
		return err
	}
	return d.Run(context.Background())
}
