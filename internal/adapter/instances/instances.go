// Package instances reads the platform's instance list as JSON over HTTP.
package instances

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"eelgrassgrade/internal/core"
)

// maxListBytes bounds the size of the list. A list of 1,200 instances of about 200
// bytes is many times smaller.
const maxListBytes = 4 << 20

// Client reads the instance list.
type Client struct {
	url    string
	client *http.Client
}

// New returns a Client for the platform with the base URL base. It sends its requests
// through client.
func New(base string, client *http.Client) *Client {
	return &Client{url: base + "/v1/instances", client: client}
}

// Document is the body of the platform's answer.
type Document struct {
	Instances []core.Instance `json:"instances"`
}

// List returns all instances in the platform's list. Errors are *core.Error.
func (c *Client) List(ctx context.Context) ([]core.Instance, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, c.newError("the request for the instance list cannot be built", err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, c.newError("the instance list does not answer", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, c.newError("the instance list answered "+resp.Status, nil)
	}
	var d Document
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&d); err != nil {
		return nil, c.newError("the instance list is not valid JSON", err)
	}
	return d.Instances, nil
}

func (c *Client) newError(detail string, err error) *core.Error {
	return &core.Error{Kind: core.Unavailable, Step: "instance list", Peer: c.url, Detail: detail, Err: err}
}
