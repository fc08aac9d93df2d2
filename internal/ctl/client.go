package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	goahttp "goa.design/goa/v3/http"

	opclient "eelgrassgrade/gen/http/operators/client"
	"eelgrassgrade/gen/operators"
)

// callTimeout bounds one call to one daemon. The daemon may itself wait for the
// table service, the object store and its peers, up to 1 s per attempt, and it
// retries these calls.
const callTimeout = 15 * time.Second

// connectionOptions holds the flags for the connection to the daemons.
type connectionOptions struct {
	daemons   []string
	keyFile   string
	caFile    string
	plainText bool
}

// client calls the operator API. It tries the daemons in the order given.
type client struct {
	daemons       []string
	scheme        string
	authorization string
	httpClient    *http.Client
}

func newClient(c connectionOptions, getenv func(string) string) (*client, error) {
	if len(c.daemons) == 0 {
		return nil, errors.New("no daemon address: set -daemon host:port")
	}
	key := getenv("EELGRASS_OPERATOR_KEY")
	if c.keyFile != "" {
		b, err := os.ReadFile(c.keyFile)
		if err != nil {
			return nil, errors.Annotate(err, "-key-file")
		}
		key = string(b)
	}
	if key = strings.TrimSpace(key); key == "" {
		return nil, errors.New("no operator key: set -key-file or EELGRASS_OPERATOR_KEY")
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12}}
	if c.caFile != "" {
		pem, err := os.ReadFile(c.caFile)
		if err != nil {
			return nil, errors.Annotate(err, "-ca-file")
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, errors.Errorf("-ca-file: %s contains no PEM certificate", c.caFile)
		}
		transport.TLSClientConfig.RootCAs = pool
	}
	cl := &client{daemons: c.daemons, scheme: "https", authorization: "Bearer " + key, httpClient: &http.Client{Transport: transport}}
	if c.plainText {
		cl.scheme = "http"
	}
	return cl, nil
}

// attemptError reports a call that ended without a response from the daemon.
type attemptError struct {
	daemon string
	// requestSent is true if the request may have reached the daemon.
	requestSent bool
	err         error
}

// Error implements error.
func (e *attemptError) Error() string { return fmt.Sprintf("daemon %s: %v", e.daemon, e.err) }

// call calls one method of one daemon. An error is either the *operators.Problem
// with which the daemon responded, or an *attemptError.
func (c *client) call(ctx context.Context, daemon string, method func(context.Context, *opclient.Client) (any, error)) (any, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }})
	oc := opclient.NewClient(c.scheme, daemon, c.httpClient, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	res, err := method(ctx, oc)
	if err == nil {
		return res, nil
	}
	if p, ok := errors.AsType[*operators.Problem](err); ok {
		return nil, p
	}
	return nil, &attemptError{daemon, sent.Load(), err}
}

// callFirstAvailable calls an idempotent method at one daemon after the other. It
// goes on to the next if a daemon does not respond or reports unavailable or internal.
func (c *client) callFirstAvailable(ctx context.Context, method func(context.Context, *opclient.Client) (any, error)) (any, error) {
	var lastErr error
	for _, d := range c.daemons {
		attempt, cancel := context.WithTimeout(ctx, callTimeout)
		res, err := c.call(attempt, d, method)
		cancel()
		if err == nil {
			return res, nil
		}
		if p, ok := errors.AsType[*operators.Problem](err); ok && p.Name != "unavailable" && p.Name != "internal" {
			return nil, err
		}
		lastErr = err
	}
	return nil, lastErr
}

// errorText returns the text of an error. It composes that of an operators.Problem,
// whose generated Error method returns an empty string.
func errorText(err error) string {
	p, ok := errors.AsType[*operators.Problem](err)
	if !ok {
		return err.Error()
	}
	s := fmt.Sprintf("step %s: %s (%s, %s, request %s)", p.Step, p.Detail, p.Name, p.Ran, p.RequestID)
	if p.RetryAfter != nil {
		s += "; retry after " + *p.RetryAfter + " s"
	}
	return s
}
