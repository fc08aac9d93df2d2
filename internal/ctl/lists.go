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

// versionLine starts the comment line in which show states the version.
const versionLine = "// version: "

// splitVersion removes the version line from the head of src and returns its number.
func splitVersion(src []byte) (version uint64, found bool, rest []byte) {
	after, ok := bytes.CutPrefix(src, []byte(versionLine))
	if !ok {
		return 0, false, src
	}
	line, rest, _ := bytes.Cut(after, []byte("\n"))
	v, err := strconv.ParseUint(strings.TrimSpace(string(line)), 10, 64)
	if err != nil {
		return 0, false, src
	}
	return v, true, rest
}

// source returns the lists of a version; 0 means the one in effect.
func (c *client) source(ctx context.Context, version uint64) ([]byte, uint64, error) {
	res, err := c.read(ctx, func(ctx context.Context, oc *opclient.Client) (any, error) {
		v, err := oc.Show()(ctx, &operators.ShowPayload{Authorization: &c.key, Version: &version})
		if err != nil {
			return nil, err
		}
		data := v.(*operators.ShowResponseData)
		defer data.Body.Close()
		src, err := io.ReadAll(io.LimitReader(data.Body, config.MaxSourceBytes))
		return lists{src, data.Result.Version}, err
	})
	if err != nil {
		return nil, 0, err
	}
	l := res.(lists)
	return l.src, l.version, nil
}

type lists struct {
	src     []byte
	version uint64
}

func (c *client) history(ctx context.Context, limit int) ([]*operators.VersionInfo, error) {
	res, err := c.read(ctx, func(ctx context.Context, oc *opclient.Client) (any, error) {
		return oc.History()(ctx, &operators.HistoryPayload{Authorization: &c.key, Limit: limit})
	})
	if err != nil {
		return nil, err
	}
	return res.([]*operators.VersionInfo), nil
}

func setupShow(t *tool, fs *flag.FlagSet) func(context.Context, []string) error {
	version := fs.Uint64("version", 0, "version to print; 0 means the one in effect")
	return func(ctx context.Context, args []string) error {
		if len(args) != 0 {
			return usageError("show takes no argument")
		}
		c, err := t.client()
		if err != nil {
			return err
		}
		src, v, err := c.source(ctx, *version)
		if err != nil {
			return err
		}
		t.printf("%s%d\n%s", versionLine, v, src)
		return nil
	}
}

func setupHistory(t *tool, fs *flag.FlagSet) func(context.Context, []string) error {
	limit := fs.Int("limit", 20, "number of versions, newest first, at most 200")
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
		w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "VERSION\tAPPLIED\tAUTHOR\tSHA256")
		for _, i := range infos {
			fmt.Fprintf(w, "%d\t%s\t%s\t%.12s\n", i.Version, value(i.AppliedAt), value(i.Author), i.Sha256)
		}
		return w.Flush()
	}
}

func value[T any](p *T) (v T) {
	if p != nil {
		v = *p
	}
	return v
}

func setupDiff(t *tool, fs *flag.FlagSet) func(context.Context, []string) error {
	version := fs.Uint64("version", 0, "version to compare with; 0 means the one in effect")
	return func(ctx context.Context, args []string) error {
		if len(args) < 1 || len(args) > 2 {
			return usageError("diff takes one file or two")
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
		src, _, err := c.source(ctx, *version)
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
	base := fs.Int64("base", -1, "`version` that the edit started from; 0 for the first lists (default: the file's version line)")
	author := fs.String("author", t.getenv("USER"), "name of the operator, for the history")
	return func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return usageError("apply takes one file")
		}
		src, err := os.ReadFile(args[0])
		if err != nil {
			return err
		}
		if _, err := config.Compile(args[0], src, 1); err != nil {
			return err
		}
		a := application{author: *author}
		var found bool
		a.base, found, a.src = splitVersion(src)
		if *base >= 0 {
			a.base = uint64(*base)
		} else if !found {
			return usageError("%s has no line %q at its head: give -base", args[0], versionLine+"N")
		}
		c, err := t.client()
		if err != nil {
			return err
		}
		return t.apply(ctx, c, a)
	}
}

// application is one change that an operator asks for.
type application struct {
	base   uint64
	author string
	src    []byte
}

func (t *tool) apply(ctx context.Context, c *client, a application) error {
	res, err := c.apply(ctx, a)
	if err == nil {
		t.printf("version %d accepted, %d peers hold it\n", res.Version, res.PeersAcknowledged)
		return nil
	}
	p, answered := errors.AsType[*operators.Problem](err)
	attempt, failed := errors.AsType[*attemptError](err)
	switch {
	case answered && p.Name == "conflict":
		return t.conflict(ctx, c, a, describe(err))
	case answered && p.Ran == "unknown", failed && attempt.sent:
		return t.resolve(ctx, c, a, describe(err))
	default:
		return err
	}
}

// apply sends the change to the first daemon that takes connections. Another
// daemon is only asked if the request was not sent.
func (c *client) apply(ctx context.Context, a application) (*operators.ApplyResult, error) {
	var last error
	for _, d := range c.daemons {
		attempt, cancel := context.WithTimeout(ctx, callTimeout)
		res, err := c.call(attempt, d, func(ctx context.Context, oc *opclient.Client) (any, error) {
			return oc.Apply()(ctx, &operators.ApplyRequestData{
				Payload: &operators.ApplyPayload{Authorization: &c.key, Base: a.base, Author: &a.author},
				Body:    io.NopCloser(bytes.NewReader(a.src)),
			})
		})
		cancel()
		if err == nil {
			return res.(*operators.ApplyResult), nil
		}
		last = err
		if e, ok := errors.AsType[*attemptError](err); !ok || e.sent {
			break
		}
	}
	return nil, last
}

// conflict shows what the other operator changed since the base version.
func (t *tool) conflict(ctx context.Context, c *client, a application, cause string) error {
	refused := &exitError{exitConflict, cause}
	current, version, err := c.newer(ctx, a.base)
	if err != nil {
		refused.msg += "; the version in effect could not be read: " + describe(err)
		return refused
	}
	if version <= a.base {
		refused.msg += fmt.Sprintf("; the daemon has not heard of a version after %d yet", a.base)
		return refused
	}
	old := []byte("{}")
	if a.base > 0 {
		if old, _, err = c.source(ctx, a.base); err != nil {
			refused.msg += fmt.Sprintf("; version %d could not be read: %s", a.base, describe(err))
			return refused
		}
	}
	t.printf("not accepted: changes between version %d and version %d, which is in effect:\n", a.base, version)
	if err := t.printDiff(old, current); err != nil {
		return err
	}
	return refused
}

// newer reads the lists in effect until they are of a version after base: the
// daemon that refused a change may not have heard of the other one yet.
func (c *client) newer(ctx context.Context, base uint64) (src []byte, version uint64, err error) {
	for i := range resolveAttempts {
		if i > 0 {
			select {
			case <-time.After(resolvePause / resolveAttempts):
			case <-ctx.Done():
				return nil, 0, ctx.Err()
			}
		}
		if src, version, err = c.source(ctx, 0); err != nil || version > base {
			break
		}
	}
	return src, version, err
}

const (
	resolveAttempts = 5
	resolvePause    = time.Second
)

// resolve reads the history to find out whether a change was accepted.
func (t *tool) resolve(ctx context.Context, c *client, a application, cause string) error {
	t.printf("the outcome is unknown (%s): reading the history\n", cause)
	sum := sha256.Sum256(a.src)
	digest, next := hex.EncodeToString(sum[:]), a.base+1
	var last error
	for i := range resolveAttempts {
		if i > 0 {
			select {
			case <-time.After(resolvePause):
			case <-ctx.Done():
			}
		}
		infos, err := c.history(ctx, 200)
		last = err
		for _, v := range infos {
			if v.Version != next {
				continue
			}
			if v.Sha256 == digest && value(v.Author) == a.author {
				t.printf("version %d accepted, by the history\n", next)
				return nil
			}
			return t.conflict(ctx, c, a, fmt.Sprintf("version %d is by %q", next, value(v.Author)))
		}
	}
	if last != nil {
		return &exitError{exitUnknown, "unknown: the history could not be read: " + describe(last)}
	}
	return &exitError{exitUnknown, fmt.Sprintf("unknown: the history does not hold version %d so far; apply again with -base %d: at most one of the two is accepted", next, a.base)}
}
