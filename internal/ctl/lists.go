package ctl

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	opclient "eelgrassgrade/gen/http/operators/client"
	"eelgrassgrade/gen/operators"
	"eelgrassgrade/internal/config"
)

// versionLine is the start of the comment line with which show heads the lists.
const versionLine = "// version: "

// splitVersion splits src into the number in its leading version line and the
// lists after it. Without a valid version line, body is all of src.
func splitVersion(src []byte) (version uint64, found bool, afterLine []byte) {
	after, ok := bytes.CutPrefix(src, []byte(versionLine))
	if !ok {
		return 0, false, src
	}
	line, afterLine, _ := bytes.Cut(after, []byte("\n"))
	v, err := strconv.ParseUint(strings.TrimSpace(string(line)), 10, 64)
	if err != nil {
		return 0, false, src
	}
	return v, true, afterLine
}

// fetchLists returns the source and the number of a version of the lists; 0 means
// the version in force.
func (c *client) fetchLists(ctx context.Context, version uint64) ([]byte, uint64, error) {
	res, err := c.callFirstAvailable(ctx, func(ctx context.Context, oc *opclient.Client) (any, error) {
		v, err := oc.Show()(ctx, &operators.ShowPayload{Authorization: &c.authorization, Version: &version})
		if err != nil {
			return nil, err
		}
		data := v.(*operators.ShowResponseData)
		defer data.Body.Close()
		src, err := io.ReadAll(io.LimitReader(data.Body, config.MaxSourceBytes))
		return versionedLists{src, data.Result.Version}, err
	})
	if err != nil {
		return nil, 0, err
	}
	l := res.(versionedLists)
	return l.src, l.version, nil
}

// versionedLists is the source of one version of the lists.
type versionedLists struct {
	src     []byte
	version uint64
}

func (c *client) history(ctx context.Context, limit int) ([]*operators.VersionInfo, error) {
	res, err := c.callFirstAvailable(ctx, func(ctx context.Context, oc *opclient.Client) (any, error) {
		return oc.History()(ctx, &operators.HistoryPayload{Authorization: &c.authorization, Limit: limit})
	})
	if err != nil {
		return nil, err
	}
	return res.([]*operators.VersionInfo), nil
}

func setupShow(t *tool, fs *flag.FlagSet) func(context.Context, []string) error {
	version := fs.Uint64("version", 0, "version to print; 0 means the version in force")
	return func(ctx context.Context, args []string) error {
		if len(args) != 0 {
			return usageError("show takes no argument")
		}
		c, err := t.client()
		if err != nil {
			return err
		}
		src, v, err := c.fetchLists(ctx, *version)
		if err != nil {
			return err
		}
		t.printf("%s%d\n%s", versionLine, v, src)
		return nil
	}
}

func setupHistory(t *tool, fs *flag.FlagSet) func(context.Context, []string) error {
	limit := fs.Int("limit", 20, "maximum number of versions to print, newest first; at most 200")
	return func(ctx context.Context, args []string) error {
		if len(args) != 0 {
			return usageError("history takes no argument")
		}
		c, err := t.client()
		if err != nil {
			return err
		}
		infos, err := c.history(ctx, *limit)
		if err != nil {
			return err
		}
		w := tabwriter.NewWriter(t.stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "VERSION\tAPPLIED\tAUTHOR\tSHA256")
		for _, i := range infos {
			fmt.Fprintf(w, "%d\t%s\t%s\t%.12s\n", i.Version, valueOrZero(i.AppliedAt), valueOrZero(i.Author), i.Sha256)
		}
		return w.Flush()
	}
}

// valueOrZero returns *p, or the zero value if p is nil.
func valueOrZero[T any](p *T) (v T) {
	if p != nil {
		v = *p
	}
	return v
}

func setupDiff(t *tool, fs *flag.FlagSet) func(context.Context, []string) error {
	version := fs.Uint64("version", 0, "version to compare one file with; 0 means the version in force")
	return func(ctx context.Context, args []string) error {
		if len(args) < 1 || len(args) > 2 {
			return usageError("diff takes one or two files")
		}
		files := make([][]byte, len(args))
		for i, a := range args {
			src, err := os.ReadFile(a)
			if err != nil {
				return err
			}
			files[i] = src
		}
		if len(files) == 2 {
			return t.printDiff(files[0], files[1])
		}
		c, err := t.client()
		if err != nil {
			return err
		}
		src, _, err := c.fetchLists(ctx, *version)
		if err != nil {
			return err
		}
		return t.printDiff(src, files[0])
	}
}

func (t *tool) printDiff(old, new []byte) error {
	changes, err := config.Diff(old, new)
	if err != nil {
		return err
	}
	for _, c := range changes {
		t.printf("%s\n", c)
	}
	if len(changes) == 0 {
		t.printf("no difference\n")
	}
	return nil
}

func setupApply(t *tool, fs *flag.FlagSet) func(context.Context, []string) error {
	base := fs.Int64("base", -1, "`version` on which the edit is based; 0 if there are no lists yet (default: the number in the file's version line)")
	author := fs.String("author", t.getenv("USER"), "`name` of the operator, recorded in the history")
	return func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return usageError("apply takes exactly one file")
		}
		src, err := os.ReadFile(args[0])
		if err != nil {
			return err
		}
		if _, err := config.Compile(args[0], src, 1); err != nil {
			return err
		}
		change := changeRequest{author: *author}
		var found bool
		change.base, found, change.src = splitVersion(src)
		if *base >= 0 {
			change.base = uint64(*base)
		} else if !found {
			return usageError("%s does not start with a line %q: set -base", args[0], versionLine+"N")
		}
		c, err := t.client()
		if err != nil {
			return err
		}
		return t.apply(ctx, c, change)
	}
}

// changeRequest is a change of the lists that an operator submits.
type changeRequest struct {
	base   uint64
	author string
	src    []byte
}

func (t *tool) apply(ctx context.Context, c *client, change changeRequest) error {
	res, err := c.apply(ctx, change)
	if err == nil {
		t.printf("version %d accepted, stored by %d peers\n", res.Version, res.PeersAcknowledged)
		return nil
	}
	p, answered := errors.AsType[*operators.Problem](err)
	attempt, failed := errors.AsType[*attemptError](err)
	switch {
	case answered && p.Name == "conflict":
		return t.reportConflict(ctx, c, change, errorText(err))
	case answered && p.Ran == "unknown", failed && attempt.requestSent:
		return t.resolveOutcome(ctx, c, change, errorText(err))
	default:
		return err
	}
}

// apply sends the change to the first daemon that accepts a connection. It tries
// the next daemon only if the request was not sent: otherwise the change may have
// been accepted.
func (c *client) apply(ctx context.Context, change changeRequest) (*operators.ApplyResult, error) {
	var lastErr error
	for _, d := range c.daemons {
		attempt, cancel := context.WithTimeout(ctx, callTimeout)
		res, err := c.call(attempt, d, func(ctx context.Context, oc *opclient.Client) (any, error) {
			return oc.Apply()(ctx, &operators.ApplyRequestData{
				Payload: &operators.ApplyPayload{Authorization: &c.authorization, Base: change.base, Author: &change.author},
				Body:    io.NopCloser(bytes.NewReader(change.src)),
			})
		})
		cancel()
		if err == nil {
			return res.(*operators.ApplyResult), nil
		}
		lastErr = err
		if e, ok := errors.AsType[*attemptError](err); !ok || e.requestSent {
			break
		}
	}
	return nil, lastErr
}

// reportConflict prints what has changed since the base version and returns the
// error for the refused change.
func (t *tool) reportConflict(ctx context.Context, c *client, change changeRequest, reason string) error {
	conflictErr := &exitError{exitConflict, reason}
	current, version, err := c.waitForNewerLists(ctx, change.base)
	if err != nil {
		conflictErr.message += "; the version in force could not be read: " + errorText(err)
		return conflictErr
	}
	if version <= change.base {
		conflictErr.message += fmt.Sprintf("; the daemon has not received a version newer than %d yet", change.base)
		return conflictErr
	}
	old := []byte("{}")
	if change.base > 0 {
		if old, _, err = c.fetchLists(ctx, change.base); err != nil {
			conflictErr.message += fmt.Sprintf("; version %d could not be read: %s", change.base, errorText(err))
			return conflictErr
		}
	}
	t.printf("not accepted; changes from version %d to version %d, which is in force:\n", change.base, version)
	if err := t.printDiff(old, current); err != nil {
		return err
	}
	return conflictErr
}

// waitForNewerLists reads the lists in force until their version is newer than
// base, at most resolveAttempts times, and returns the last ones read. The daemon
// that refused a change may not have received the conflicting version yet.
func (c *client) waitForNewerLists(ctx context.Context, base uint64) (src []byte, version uint64, err error) {
	for i := range resolveAttempts {
		if i > 0 {
			select {
			case <-time.After(resolveInterval / resolveAttempts):
			case <-ctx.Done():
				return nil, 0, ctx.Err()
			}
		}
		if src, version, err = c.fetchLists(ctx, 0); err != nil || version > base {
			break
		}
	}
	return src, version, err
}

const (
	// resolveAttempts is how often the lists in force or the history are read.
	resolveAttempts = 5
	// resolveInterval is the time between two reads of the history.
	resolveInterval = time.Second
)

// resolveOutcome reads the history to find out whether a change with an unknown
// outcome was accepted.
func (t *tool) resolveOutcome(ctx context.Context, c *client, change changeRequest, reason string) error {
	t.printf("it is unknown whether the change was accepted (%s); reading the history\n", reason)
	sum := sha256.Sum256(change.src)
	digest, next := hex.EncodeToString(sum[:]), change.base+1
	var lastErr error
	for i := range resolveAttempts {
		if i > 0 {
			select {
			case <-time.After(resolveInterval):
			case <-ctx.Done():
			}
		}
		infos, err := c.history(ctx, 200)
		lastErr = err
		for _, v := range infos {
			if v.Version != next {
				continue
			}
			if v.Sha256 == digest && valueOrZero(v.Author) == change.author {
				t.printf("version %d accepted, by the history\n", next)
				return nil
			}
			return t.reportConflict(ctx, c, change, fmt.Sprintf("version %d was applied by %q", next, valueOrZero(v.Author)))
		}
	}
	if lastErr != nil {
		return &exitError{exitUnknown, "outcome unknown: the history could not be read: " + errorText(lastErr)}
	}
	return &exitError{exitUnknown, fmt.Sprintf("outcome unknown: the history does not contain version %d yet; apply again with -base %d, at most one of the two requests is accepted", next, change.base)}
}
