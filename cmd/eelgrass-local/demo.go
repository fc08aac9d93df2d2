package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"eelgrassgrade/internal/ctl"
	"eelgrassgrade/internal/localrun"
	"eelgrassgrade/internal/standin"
)

const demoTimeout = 100 * time.Second

// deployment describes an example deployment and the requests that the demo sends to it.
type deployment struct {
	name, account, pipeline, service, operation string
}

var deployments = []deployment{
	{"moulds", "shop-counter", "answer", "order-desk", "deposit"},
	{"races", "start-line", "answer", "numbering-desk", "assign"},
}

func (d deployment) listsFile() string { return filepath.Join("examples", "lists", d.name+".jsonc") }

// start starts the deployment, applies its lists and waits until it is ready. The
// counts of endpoints are per pool.
func (d deployment) start(ctx context.Context, o options, daemonCount, engineCount, otherCount int) (*localrun.Cluster, error) {
	pools, err := localrun.PoolsFromLists(d.listsFile(), engineCount, otherCount)
	if err != nil {
		return nil, err
	}
	c, err := localrun.Start(ctx, localrun.Spec{Dir: filepath.Join(o.dir, d.name), BinDir: o.bin, DataCenters: []string{"north", "south"}, Daemons: daemonCount, Pools: pools})
	if err != nil {
		return nil, err
	}
	if err := applyLists(c, d.listsFile()); err != nil {
		c.Stop()
		return nil, err
	}
	if err := c.WaitReady(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func applyLists(c *localrun.Cluster, file string) error {
	args := []string{"apply", file, "-base", "0", "-author", "local", "-plain-text"}
	for _, d := range c.Daemons {
		args = append(args, "-daemon", d.ControlAddress)
	}
	if code := ctl.Main(args, os.Stdout, os.Stderr, func(string) string { return localrun.OperatorKey }, nil); code != 0 {
		return fmt.Errorf("eelgrassctl apply %s: exit code %d", file, code)
	}
	return nil
}

// demo runs the demo on each example deployment in turn.
func demo(ctx context.Context, o options) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	for _, d := range deployments {
		fmt.Printf("== %s\n", d.name)
		c, err := d.start(ctx, o, 3, 4, 2)
		if err != nil {
			return err
		}
		err = d.runDemo(ctx, c, o.strict)
		c.Stop()
		if err != nil {
			return err
		}
	}
	return nil
}

// runDemo sends pipeline requests in three forms, each to another daemon, and a
// non-repeatable service call.
func (d deployment) runDemo(ctx context.Context, c *localrun.Cluster, strict bool) error {
	for i, r := range []struct{ path, body string }{
		{"/v1/pipelines/" + d.pipeline + "/requests", `{"input":"which motif is number one","max_tokens":12}`},
		{"/v1/pipelines/" + d.pipeline + "/requests", `{"input":"which motif is number two","max_tokens":4,"stream":true}`},
		{"/v1/chat/completions", `{"model":"` + d.pipeline + `","max_tokens":12,"messages":[{"role":"user","content":"which motif is number three"}]}`},
	} {
		resp, err := d.send(ctx, c.Daemons[i], r.path, r.body, "")
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("%s: %s", r.path, resp.Status)
		}
	}
	return d.checkIdempotentCall(ctx, c, strict)
}

// checkIdempotentCall sends a non-repeatable call to two daemons with the same
// idempotency key. With strict, it is an error if the call does not take effect
// exactly once or the second response is not the recorded one.
func (d deployment) checkIdempotentCall(ctx context.Context, c *localrun.Cluster, strict bool) error {
	path, ok := "/v1/services/"+d.service+"/"+d.operation, true
	for i := range 2 {
		resp, err := d.send(ctx, c.Daemons[i], path, `{"amount":20}`, "demo-1")
		if err != nil {
			return err
		}
		ok = ok && resp.StatusCode == http.StatusOK && (i == 0 || resp.Header.Get("Idempotent-Replayed") == "true")
	}
	effects := 0
	for _, p := range c.Endpoints {
		var list []standin.Effect
		if err := p.ControlGet("/effects", &list); err != nil {
			return err
		}
		effects += len(list)
	}
	fmt.Printf("%s took effect %d times\n\n", path, effects)
	if strict && (!ok || effects != 1) {
		return fmt.Errorf("%s: two calls with the same idempotency key, want two responses from one execution", path)
	}
	return nil
}

// send posts body to a daemon and prints the request and the response. The body of
// the returned response is closed.
func (d deployment) send(ctx context.Context, p *localrun.Process, path, body, key string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer key-"+d.account)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	fmt.Printf("%s: POST %s %s\n%s %s\n%s\n\n", p.ID, path, body, resp.Status, resp.Header.Get("Idempotent-Replayed"), bytes.TrimSpace(answer))
	return resp, nil
}
