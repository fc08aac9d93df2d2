// Package object reads and writes the platform's object store through the S3 API.
package object

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/juju/errors"

	"eelgrassgrade/internal/core"
)

// maxObjectBytes bounds the size of an object that is read.
const maxObjectBytes = 16 << 20

// Options configures a Client.
type Options struct {
	// URL is the service's base URL and Bucket the bucket's name.
	URL, Bucket string
	// Timeout bounds each call.
	Timeout     time.Duration
	Credentials aws.CredentialsProvider
	// HTTP sends the requests.
	HTTP *http.Client
}

// Client calls the object store. It is safe for concurrent use.
type Client struct {
	api     *s3.Client
	bucket  string
	url     string
	timeout time.Duration
}

// New returns a Client.
func New(o Options) *Client {
	api := s3.New(s3.Options{
		BaseEndpoint: aws.String(o.URL), Region: "local", Credentials: o.Credentials, UsePathStyle: true,
		HTTPClient: o.HTTP, Retryer: aws.NopRetryer{},
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
	return &Client{api: api, bucket: o.Bucket, url: o.URL, timeout: o.Timeout}
}

// Put stores an object. Objects are named by a hash of their content, so writing one
// twice has no further effect. Errors are *core.Error.
func (c *Client) Put(ctx context.Context, name string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, err := c.api.PutObject(ctx, &s3.PutObjectInput{Bucket: &c.bucket, Key: &name, Body: bytes.NewReader(body)})
	if err != nil {
		return c.newError("object write", err)
	}
	return nil
}

// Get returns an object. The error is core.ErrNoRecord if the object does not exist,
// otherwise a *core.Error.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	out, err := c.api.GetObject(ctx, &s3.GetObjectInput{Bucket: &c.bucket, Key: &name})
	var missing *types.NoSuchKey
	if errors.As(err, &missing) {
		return nil, core.ErrNoRecord
	}
	if err != nil {
		return nil, c.newError("object read", err)
	}
	defer out.Body.Close()
	body, err := io.ReadAll(io.LimitReader(out.Body, maxObjectBytes))
	if err != nil {
		return nil, c.newError("object read", err)
	}
	return body, nil
}

func (c *Client) newError(step string, err error) *core.Error {
	return &core.Error{Kind: core.Unavailable, Step: step, Peer: c.url, Detail: "the object store is unavailable", RetryAfter: time.Second, Err: err}
}
