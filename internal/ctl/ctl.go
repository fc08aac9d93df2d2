// Package ctl implements eelgrassctl, the command-line tool for operators.
package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/juju/errors"

	"eelgrassgrade/internal/config"
)

// Exit codes of the tool.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	// exitUnknown means that it is unknown whether a change was accepted.
	exitUnknown = 4
)

// exitError is an error with an exit code. With an empty message, nothing is
// printed.
type exitError struct {
	code    int
	message string
}

// Error implements error.
func (e *exitError) Error() string { return e.message }

func usageError(format string, args ...any) error {
	return &exitError{exitUsage, fmt.Sprintf(format, args...)}
}

// tool holds the state that the commands share.
type tool struct {
	stdout io.Writer
	getenv func(string) string
	conn   connectionOptions
	// readPlatform is nil if the tool is built without the users' platform.
	readPlatform ConfigurationReader
}

func (t *tool) client() (*client, error) { return newClient(t.conn, t.getenv) }

func (t *tool) printf(format string, args ...any) { fmt.Fprintf(t.stdout, format, args...) }

// command is one subcommand.
type command struct {
	name, args, help string
	// setup defines the command's flags and returns the function that runs it.
	setup func(*tool, *flag.FlagSet) func(ctx context.Context, args []string) error
}

func commands() []command {
	return []command{
		{"check", "FILE", "check a lists file without contacting a daemon", setupCheck},
		{"check-platform", "FILE", "check a configuration of the users' platform before it is sent", setupCheckPlatform},
		{"diff", "FILE [FILE]", "compare the lists in force with a file, or two files", setupDiff},
		{"apply", "FILE", "apply a lists file", setupApply},
		{"show", "", "print the lists in force, or those of -version", setupShow},
		{"history", "", "list accepted versions", setupHistory},
		{"leave", "INSTANCE", "announce that an instance is leaving", setupLeave},
		{"status", "", "list the daemons and their state", setupStatus},
		{"explain", "ID [FILE...]", "print a request's lines from daemon logs, with state changes around them", setupExplain},
		{"losses", "[FILE...]", "summarize by route and time why requests were late, refused or failed, from daemon logs", setupLosses},
		{"load", "SCENARIO", "send the load of a scenario file and report the results", setupLoad},
	}
}

// Main runs the tool and returns its exit code. readPlatform may be nil.
func Main(args []string, stdout, stderr io.Writer, getenv func(string) string, readPlatform ConfigurationReader) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := run(ctx, &tool{stdout: stdout, getenv: getenv, readPlatform: readPlatform}, stderr, args)
	if err == nil {
		return exitOK
	}
	if err == flag.ErrHelp {
		return exitUsage
	}
	if msg := errorText(err); msg != "" {
		fmt.Fprintln(stderr, "eelgrassctl:", msg)
	}
	if e, ok := errors.AsType[*exitError](err); ok {
		return e.code
	}
	return exitFailed
}

func run(ctx context.Context, t *tool, stderr io.Writer, args []string) error {
	if len(args) > 0 {
		for _, c := range commands() {
			if c.name == args[0] {
				return runCommand(ctx, t, stderr, c, args[1:])
			}
		}
	}
	fmt.Fprintln(stderr, "usage: eelgrassctl COMMAND [FLAGS] [ARGUMENTS]")
	for _, c := range commands() {
		fmt.Fprintf(stderr, "  %-14s %-12s %s\n", c.name, c.args, c.help)
	}
	return &exitError{code: exitUsage}
}

func runCommand(ctx context.Context, t *tool, stderr io.Writer, c command, args []string) error {
	fs := flag.NewFlagSet("eelgrassctl "+c.name, flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.Usage = func() {
		fmt.Fprintf(stderr, "usage: eelgrassctl %s %s [FLAGS]: %s\n", c.name, c.args, c.help)
		fs.PrintDefaults()
	}
	if c.name != "check" && c.name != "check-platform" && c.name != "load" && c.name != "explain" && c.name != "losses" {
		connectionFlags(fs, &t.conn)
	}
	runFunc := c.setup(t, fs)
	// Flags are accepted before, between and after the arguments.
	var positional []string
	for {
		if err := fs.Parse(args); err != nil {
			return flag.ErrHelp
		}
		if fs.NArg() == 0 {
			break
		}
		positional, args = append(positional, fs.Arg(0)), fs.Args()[1:]
	}
	return runFunc(ctx, positional)
}

func connectionFlags(fs *flag.FlagSet, c *connectionOptions) {
	fs.Func("daemon", "operator API `address` of a daemon; repeatable or comma-separated, tried in order until one responds", func(s string) error {
		c.daemons = append(c.daemons, strings.Split(s, ",")...)
		return nil
	})
	fs.StringVar(&c.keyFile, "key-file", "", "`file` with the operator key (default: environment variable EELGRASS_OPERATOR_KEY)")
	fs.StringVar(&c.caFile, "ca-file", "", "PEM `file` with the CA certificates for the daemons (default: the system's)")
	fs.BoolVar(&c.plainText, "plain-text", false, "connect without TLS")
}

func setupCheck(t *tool, _ *flag.FlagSet) func(context.Context, []string) error {
	return func(_ context.Context, args []string) error {
		if len(args) != 1 {
			return usageError("check takes exactly one file")
		}
		src, err := os.ReadFile(args[0])
		if err != nil {
			return err
		}
		s, err := config.Compile(args[0], src, 1)
		if err != nil {
			return err
		}
		l := s.Lists
		t.printf("%s: %d accounts, %d plans, %d pools, %d pipelines, %d services\n", args[0], len(l.Accounts), len(l.Plans), len(l.Pools), len(l.Pipelines), len(l.Services))
		return nil
	}
}
