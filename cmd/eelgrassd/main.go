// Command eelgrassd is the daemon that forwards requests from callers to endpoints.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"eelgrassgrade/internal/adapter/telemetry"
	"eelgrassgrade/internal/daemon"
	"eelgrassgrade/internal/edge"
	"eelgrassgrade/internal/settings"
)

// settingsVariable is the environment variable with which the platform names the
// settings file.
const settingsVariable = "EELGRASSGRADE_SETTINGS"

func main() {
	path := flag.String("settings", "", "settings `file`, JSON with comments (default $"+settingsVariable+" or eelgrassd.jsonc)")
	check := flag.Bool("check", false, "validate the settings and exit")
	hosted := flag.Bool("hosted", false, "run on the users' platform, with configuration and endpoints from its store")
	configuration := flag.String("configuration", "", "with -hosted and -check, check this `file` with a configuration of the users' platform too")
	var options settings.HostedOptions
	options.Register(flag.CommandLine)
	flag.Parse()
	if *path == "" {
		*path = "eelgrassd.jsonc"
		if p := os.Getenv(settingsVariable); p != "" {
			*path = p
		}
	}
	run := runDaemon
	if *hosted {
		run = func(path string, check bool) error { return runHosted(path, check, &options) }
	}
	if *configuration != "" {
		run = func(path string, _ bool) error { return checkHosted(path, *configuration, &options) }
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

func runHosted(path string, check bool, options *settings.HostedOptions) error {
	// The platform may send signals as soon as the process runs. SIGHUP would end it
	// before they are handled, and a change of the settings that is announced while they
	// are read must not be missed.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if _, err := settings.LoadHosted(path, options.Apply); err != nil || check {
		return err
	}
	stdout := telemetry.NewLineWriter(os.Stdout)
	defer stdout.Close()
	logger := telemetry.NewLogger(stdout)
	// Libraries such as net/http log through package log, for example unexpected bytes
	// on an idle connection. Their lines go to the same output.
	log.SetFlags(0)
	log.SetOutput(logger)
	if err := serve(path, logger, options, signals); err != nil {
		// Standard error may go elsewhere than the log.
		logger.Error().Err(err).Msg("daemon_failed")
		return err
	}
	return nil
}

// checkHosted returns an error that names what a daemon cannot use of its settings and of a
// configuration.
func checkHosted(path, configuration string, options *settings.HostedOptions) error {
	if _, err := settings.LoadHosted(path, options.Apply); err != nil {
		return err
	}
	src, err := os.ReadFile(configuration)
	if err != nil {
		return err
	}
	f, err := edge.ReadConfiguration(src)
	if err != nil {
		return fmt.Errorf("%s:%w", configuration, err)
	}
	var unusable []error
	for _, u := range f.Unusable {
		unusable = append(unusable, fmt.Errorf("%s:%d:%d: %s %q: %s", configuration, u.Position.Line, u.Position.Column, u.List, u.Entry, u.Text))
	}
	return errors.Join(unusable...)
}

func serve(path string, logger zerolog.Logger, options *settings.HostedOptions, signals <-chan os.Signal) error {
	d, err := edge.New(context.Background(), path, logger, options.Apply)
	if err != nil {
		return err
	}
	return d.Run(context.Background(), signals)
}
