package localrun

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Answer is the result of a caller's request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Err is set if the connection failed or the answer was incomplete.
	Err     error
	Elapsed time.Duration
}

// Problem holds the fields of a problem document that scenarios check.
type Problem struct {
	Detail string `json:"detail"`
	Step   string `json:"step"`
	Peer   string `json:"peer"`
	Ran    string `json:"ran"`
}

// Problem returns the problem document of an answer with an error status, or the
// zero value.
func (a Answer) Problem() Problem {
	var p Problem
	if a.Status >= http.StatusBadRequest {
		json.Unmarshal(a.Body, &p)
	}
	return p
}

// Request is a request of a caller.
type Request struct {
	Method  string
	Path    string
	Account string
	// Key is the idempotency key; empty sends none.
	Key  string
	Body string
	// Header holds additional headers.
	Header map[string]string
}

var httpClient = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
	MaxIdleConnsPerHost: 256,
	IdleConnTimeout:     5 * time.Second,
}}

// Send sends the request to the daemon at addr and reads the whole answer.
func Send(ctx context.Context, addr string, r Request) Answer {
	start := time.Now()
	if r.Method == "" {
		r.Method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+addr+r.Path, bytes.NewReader([]byte(r.Body)))
	if err != nil {
		return Answer{Err: err}
	}
	// Without GetBody, net/http doesn't resend the request by itself: each request
	// is sent at most once.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer key-"+r.Account)
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	for k, v := range r.Header {
		req.Header.Set(k, v)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return Answer{Err: err, Elapsed: time.Since(start)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Err: err, Elapsed: time.Since(start)}
}

// Balancer stands in for the platform's load balancer: it distributes requests
// round robin over the daemons whose /readyz answers 200.
type Balancer struct {
	daemons      []*Process
	ready        []atomic.Bool
	requestCount atomic.Uint64
}

// readyCheckInterval is the time between two health checks of a daemon.
const readyCheckInterval = 50 * time.Millisecond

// NewBalancer returns a balancer for the daemons. It checks their readiness once
// before it returns and then at intervals until ctx ends.
func NewBalancer(ctx context.Context, daemons []*Process) *Balancer {
	b := &Balancer{daemons: daemons, ready: make([]atomic.Bool, len(daemons))}
	client := &http.Client{Timeout: 200 * time.Millisecond}
	for i := range daemons {
		b.checkReady(client, i)
		go func() {
			t := time.NewTicker(readyCheckInterval)
			defer t.Stop()
			for {
				select {
				case <-t.C:
					b.checkReady(client, i)
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	return b
}

// Refresh checks the readiness of every daemon now.
func (b *Balancer) Refresh() {
	for i := range b.daemons {
		b.checkReady(readyClient, i)
	}
}

func (b *Balancer) checkReady(client *http.Client, i int) {
	resp, err := client.Get("http://" + b.daemons[i].ControlAddress + "/readyz")
	if err != nil {
		b.ready[i].Store(false)
		return
	}
	resp.Body.Close()
	b.ready[i].Store(resp.StatusCode == http.StatusOK)
}

// Send sends the request to the next ready daemon. If that refuses the connection,
// Send tries the next one.
func (b *Balancer) Send(ctx context.Context, r Request) Answer {
	lastAnswer := Answer{Err: errors.New("no daemon is ready")}
	start := b.requestCount.Add(1)
	for i := range b.daemons {
		n := int(start+uint64(i)) % len(b.daemons)
		if !b.ready[n].Load() {
			continue
		}
		lastAnswer = Send(ctx, b.daemons[n].Address, r)
		if lastAnswer.Err == nil || !strings.Contains(lastAnswer.Err.Error(), "connection refused") {
			return lastAnswer
		}
	}
	return lastAnswer
}
