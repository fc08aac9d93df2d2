// Package ctl implements eelgrassctl, the operators' tool.
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

// The exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	// exitUnknown says that a change may or may not have been accepted.
	exitUnknown = 4
)

// exitError is an error with its exit code. The message may be empty.
type exitError struct {
	code int
	msg  string
}

// Error implements error.
func (e *exitError) Error() string { return e.msg }

func usageError(format string, args ...any) error {
	return &exitError{exitUsage, fmt.Sprintf(format, args...)}
}

// tool holds what a command works with.
type tool struct {
	out    io.Writer
	getenv func(string) string
	conn   connection
}

func (t *tool) client() (*client, error) { return newClient(t.conn, t.getenv) }

func (t *tool) printf(format string, args ...any) { fmt.Fprintf(t.out, format, args...) }

// command is one subcommand. setup adds its flags and returns what runs it.
type command struct {
	name, args, help string
	setup            func(*tool, *flag.FlagSet) func(ctx context.Context, args []string) error
}

func commands() []command {
	return []command{
		{"check", "FILE", "check lists without a daemon", setupCheck},
		{"diff", "FILE [FILE]", "compare the lists in effect, or the first file, with a file", setupDiff},
		{"apply", "FILE", "put lists into effect", setupApply},
		{"show", "", "print the lists in effect, or of -version", setupShow},
		{"history", "", "list accepted versions", setupHistory},
		{"leave", "INSTANCE", "announce that an instance leaves", setupLeave},
		{"status", "", "list the daemons", setupStatus},
		{"explain", "ID [FILE...]", "print what daemons' logs say of a request, with what happened beside it", setupExplain},
		{"losses", "[FILE...]", "print by route and time why requests were late, refused or failed, from daemons' logs", setupLosses},
		{"load", "SCENARIO", "send load by a scenario file and report what was measured", setupLoad},
	}
}

// Main runs the tool and returns its exit code.
func Main(args []string, out, errOut io.Writer, getenv func(string) string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := run(ctx, &tool{out: out, getenv: getenv}, errOut, args)
	if err == nil {
		return exitOK
	}
	if err == flag.ErrHelp {
		return exitUsage
	}
	if msg := describe(err); msg != "" {
		fmt.Fprintln(errOut, "eelgrassctl:", msg)
	}
	if e, ok := errors.AsType[*exitError](err); ok {
		return e.code
	}
	return exitFailed
}

func run(ctx context.Context, t *tool, errOut io.Writer, args []string) error {
	if len(args) > 0 {
		for _, c := range commands() {
			if c.name == args[0] {
				return runCommand(ctx, t, errOut, c, args[1:])
			}
		}
	}
	fmt.Fprintln(errOut, "usage: eelgrassctl COMMAND [FLAGS] [ARGUMENTS]")
	for _, c := range commands() {
		fmt.Fprintf(errOut, "  %-8s %-12s %s\n", c.name, c.args, c.help)
	}
	return &exitError{code: exitUsage}
}

func runCommand(ctx context.Context, t *tool, errOut io.Writer, c command, args []string) error {
	fs := flag.NewFlagSet("eelgrassctl "+c.name, flag.ContinueOnError)
	fs.SetOutput(errOut)
	fs.Usage = func() {
		fmt.Fprintf(errOut, "usage: eelgrassctl %s %s [FLAGS]: %s\n", c.name, c.args, c.help)
		fs.PrintDefaults()
	}
	if c.name != "check" && c.name != "load" && c.name != "explain" && c.name != "losses" {
		connectionFlags(fs, &t.conn)
	}
	runIt := c.setup(t, fs)
	// Flags may stand before and after the arguments.
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
	return runIt(ctx, positional)
}

func connectionFlags(fs *flag.FlagSet, c *connection) {
	fs.Func("daemon", "operator `address` of a daemon; may be repeated or separated by commas, the next is tried if one does not answer", func(s string) error {
		c.daemons = append(c.daemons, strings.Split(s, ",")...)
		return nil
	})
	fs.StringVar(&c.keyFile, "key-file", "", "`file` with the operator's key (default: the variable EELGRASS_OPERATOR_KEY)")
	fs.StringVar(&c.caFile, "ca-file", "", "`file` with the authorities of the daemons' certificates (default: the system's)")
	fs.BoolVar(&c.plainText, "plain-text", false, "connect without TLS")
}

func setupCheck(t *tool, _ *flag.FlagSet) func(context.Context, []string) error {
	return func(_ context.Context, args []string) error {
		if len(args) != 1 {
			return usageError("check takes one file")
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
