package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"os"

	"github.com/juju/errors"

	"eelgrassgrade/internal/decide/configcheck"
)

// ConfigurationReader reads a configuration of the users' platform with the daemon's own
// decoder. Its errors begin with a line and a column.
type ConfigurationReader func(src []byte) (*configcheck.File, error)

// platformReport is the output of check-platform -json.
type platformReport struct {
	File string `json:"file"`
	// Error is set if the file cannot be read as a configuration.
	Error    string              `json:"error,omitempty"`
	Findings []positionedFinding `json:"findings"`
	// Changes holds what differs from the file of -against.
	Changes []configcheck.Change `json:"changes,omitempty"`
}

type positionedFinding struct {
	configcheck.Position
	configcheck.Finding
}

// setupCheckPlatform defines check-platform. It exits with exitFailed if the file has an
// error or a finding; differences from another file are none.
func setupCheckPlatform(t *tool, fs *flag.FlagSet) func(context.Context, []string) error {
	asJSON := fs.Bool("json", false, "print the result as JSON")
	against := fs.String("against", "", "`file` with the configuration in force, to print what differs")
	return func(_ context.Context, args []string) error {
		if len(args) != 1 {
			return usageError("check-platform takes exactly one file")
		}
		if t.readPlatform == nil {
			return usageError("this program does not read configurations of the users' platform")
		}
		r := platformReport{File: args[0], Findings: []positionedFinding{}}
		c, err := t.readConfiguration(args[0])
		if _, unreadable := errors.AsType[*exitError](err); unreadable {
			return err
		}
		if err != nil {
			r.Error = err.Error()
			return t.report(&r, *asJSON)
		}
		for _, u := range c.Unusable {
			r.Findings = append(r.Findings, positionedFinding{u.Position, u.Finding})
		}
		for _, f := range configcheck.Check(&c.Configuration) {
			r.Findings = append(r.Findings, positionedFinding{c.Positions[f.List][f.Index], f})
		}
		if *against != "" {
			inForce, err := t.readConfiguration(*against)
			if err != nil {
				return usageError("%s: %v", *against, err)
			}
			r.Changes = configcheck.Diff(&inForce.Configuration, &c.Configuration)
		}
		return t.report(&r, *asJSON)
	}
}

// readConfiguration returns an exitError if the file cannot be read, and another error if it
// holds no configuration.
func (t *tool) readConfiguration(path string) (*configcheck.File, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError("%v", err)
	}
	return t.readPlatform(src)
}

// report prints the result of check-platform and returns the error for its exit code.
func (t *tool) report(r *platformReport, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(t.stdout)
		e.SetIndent("", "  ")
		if err := e.Encode(r); err != nil {
			return err
		}
	} else {
		r.print(t)
	}
	if r.Error != "" || len(r.Findings) > 0 {
		return &exitError{code: exitFailed}
	}
	return nil
}

func (r *platformReport) print(t *tool) {
	if r.Error != "" {
		t.printf("%s:%s\n", r.File, r.Error)
	}
	for _, f := range r.Findings {
		t.printf("%s:%d:%d: %s %q: %s\n", r.File, f.Line, f.Column, f.List, f.Entry, f.Text)
	}
	for _, c := range r.Changes {
		switch {
		case c.Field != "":
			t.printf("~ %s %q: %s: %s -> %s\n", c.List, c.Entry, c.Field, c.Before, c.After)
		case c.After == "":
			t.printf("- %s %q: %s\n", c.List, c.Entry, c.Before)
		default:
			t.printf("+ %s %q: %s\n", c.List, c.Entry, c.After)
		}
	}
}
