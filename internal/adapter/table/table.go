// Package table reads and writes the platform's table service through the
// DynamoDB API. The client's own retries are off, since they would hide a
// write whose outcome is unknown.
package table

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/juju/errors"

	"eelgrassgrade/internal/core"
)

// Options configures a Client.
type Options struct {
	// URL is the service's base URL and Table the table's name.
	URL, Table string
	// Timeout bounds one call.
	Timeout     time.Duration
	Credentials aws.CredentialsProvider
	// HTTP sends the requests.
	HTTP *http.Client
}

// Client is the table service's client. It is safe for concurrent use.
type Client struct {
	api     *dynamodb.Client
	table   string
	url     string
	timeout time.Duration
}

// New returns a Client.
func New(o Options) *Client {
	api := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(o.URL), Region: "local", Credentials: o.Credentials,
		HTTPClient: o.HTTP, Retryer: aws.NopRetryer{},
	})
	return &Client{api: api, table: o.Table, url: o.URL, timeout: o.Timeout}
}

const (
	attrPartition = "pk"
	attrSort      = "sk"
	attrRevision  = "rev"
	attrBody      = "body"
	attrExpires   = "exp"
)

func key(k core.RecordKey) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attrPartition: &types.AttributeValueMemberS{Value: k.Partition},
		attrSort:      &types.AttributeValueMemberS{Value: k.Sort},
	}
}

// Get returns the record with the key, read consistently. A record that does
// not exist gives core.ErrNoRecord; other errors are *core.Error.
func (c *Client) Get(ctx context.Context, k core.RecordKey) (core.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	out, err := c.api.GetItem(ctx, &dynamodb.GetItemInput{TableName: &c.table, Key: key(k), ConsistentRead: aws.Bool(true)})
	if err != nil {
		return core.Record{}, c.fail("table read", err)
	}
	if out.Item == nil {
		return core.Record{}, core.ErrNoRecord
	}
	return record(out.Item)
}

// List returns up to limit records of a partition whose sort key is at least
// from, in order. Errors are *core.Error.
func (c *Client) List(ctx context.Context, partition, from string, limit int32) ([]core.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	out, err := c.api.Query(ctx, &dynamodb.QueryInput{
		TableName: &c.table, ConsistentRead: aws.Bool(true), Limit: aws.Int32(limit),
		KeyConditionExpression: aws.String("pk = :pk AND sk >= :from"),
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":pk":   &types.AttributeValueMemberS{Value: partition},
			":from": &types.AttributeValueMemberS{Value: from},
		},
	})
	if err != nil {
		return nil, c.fail("table query", err)
	}
	records := make([]core.Record, 0, len(out.Items))
	for _, item := range out.Items {
		r, err := record(item)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

// Transact applies all writes or none. core.ErrCondition says that a condition
// failed. Any other error is a *core.Error whose Ran says whether the writes
// may have been applied.
func (c *Client) Transact(ctx context.Context, writes ...core.Write) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	items := make([]types.TransactWriteItem, len(writes))
	for i, w := range writes {
		items[i] = types.TransactWriteItem{Put: c.put(w)}
	}
	_, err := c.api.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items})
	if err == nil {
		return nil
	}
	var canceled *types.TransactionCanceledException
	if errors.As(err, &canceled) {
		return c.canceled(canceled)
	}
	return c.fail("table write", err)
}

func (c *Client) canceled(err *types.TransactionCanceledException) error {
	for _, r := range err.CancellationReasons {
		if aws.ToString(r.Code) == "ConditionalCheckFailed" {
			return core.ErrRevisionMismatch
		}
	}
	return &core.Error{Kind: core.Unavailable, Step: "table write", Peer: c.url, Ran: core.RanNot, Detail: "the table service cancelled the transaction", Err: err}
}

func (c *Client) put(w core.Write) *types.Put {
	item := key(w.Key)
	item[attrRevision] = number(int64(w.ExpectRevision + 1))
	item[attrBody] = &types.AttributeValueMemberB{Value: w.Body}
	if !w.Expires.IsZero() {
		item[attrExpires] = number(w.Expires.Unix())
	}
	p := &types.Put{TableName: &c.table, Item: item}
	if w.ExpectRevision == 0 {
		p.ConditionExpression = aws.String("attribute_not_exists(pk)")
		return p
	}
	p.ConditionExpression = aws.String("rev = :rev")
	p.ExpressionAttributeValues = map[string]types.AttributeValue{":rev": number(int64(w.ExpectRevision))}
	return p
}

func number(n int64) *types.AttributeValueMemberN {
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(n, 10)}
}

func record(item map[string]types.AttributeValue) (core.Record, error) {
	pk, ok1 := item[attrPartition].(*types.AttributeValueMemberS)
	sk, ok2 := item[attrSort].(*types.AttributeValueMemberS)
	rev, ok3 := item[attrRevision].(*types.AttributeValueMemberN)
	body, ok4 := item[attrBody].(*types.AttributeValueMemberB)
	if !ok1 || !ok2 || !ok3 || !ok4 {
		return core.Record{}, &core.Error{Kind: core.Internal, Step: "table read", Detail: "a record lacks an attribute"}
	}
	n, err := strconv.ParseUint(rev.Value, 10, 64)
	if err != nil {
		return core.Record{}, &core.Error{Kind: core.Internal, Step: "table read", Detail: "a record's revision is not a number", Err: err}
	}
	return core.Record{Key: core.RecordKey{Partition: pk.Value, Sort: sk.Value}, Revision: n, Body: body.Value}, nil
}

// fail classifies a client error. A write did not run only if no connection
// could be made or the service itself refused it.
func (c *Client) fail(step string, err error) *core.Error {
	e := &core.Error{Kind: core.Unavailable, Step: step, Peer: c.url, Detail: "the table service is unavailable", RetryAfter: time.Second, Err: err}
	var op *net.OpError
	var throttled *types.ProvisionedThroughputExceededException
	if (errors.As(err, &op) && op.Op == "dial") || errors.As(err, &throttled) {
		e.Ran = core.RanNot
	}
	return e
}
