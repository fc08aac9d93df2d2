// Package table reads and writes the platform's table service through the DynamoDB
// API. The SDK's retries are disabled, since a retry would hide a write whose
// outcome is unknown.
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
	// Timeout bounds each call.
	Timeout     time.Duration
	Credentials aws.CredentialsProvider
	// HTTP sends the requests.
	HTTP *http.Client
}

// Client calls the table service. It is safe for concurrent use.
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

func itemKey(k core.RecordKey) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attrPartition: &types.AttributeValueMemberS{Value: k.Partition},
		attrSort:      &types.AttributeValueMemberS{Value: k.Sort},
	}
}

// Get returns the record with the given key by a strongly consistent read. The error
// is core.ErrNoRecord if there is none, otherwise a *core.Error.
func (c *Client) Get(ctx context.Context, k core.RecordKey) (core.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	out, err := c.api.GetItem(ctx, &dynamodb.GetItemInput{TableName: &c.table, Key: itemKey(k), ConsistentRead: aws.Bool(true)})
	if err != nil {
		return core.Record{}, c.newError("table read", err)
	}
	if out.Item == nil {
		return core.Record{}, core.ErrNoRecord
	}
	return parseRecord(out.Item)
}

// List returns up to limit records of a partition, in the order of their sort keys,
// starting at the sort key from. Errors are *core.Error.
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
		return nil, c.newError("table query", err)
	}
	records := make([]core.Record, 0, len(out.Items))
	for _, item := range out.Items {
		r, err := parseRecord(item)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

// Transact applies all writes or none. It returns core.ErrRevisionMismatch if a record
// does not have the expected revision. Any other error is a *core.Error whose Ran says
// whether the writes may have been applied.
func (c *Client) Transact(ctx context.Context, writes ...core.Write) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	items := make([]types.TransactWriteItem, len(writes))
	for i, w := range writes {
		items[i] = types.TransactWriteItem{Put: c.conditionalPut(w)}
	}
	_, err := c.api.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items})
	if err == nil {
		return nil
	}
	var canceled *types.TransactionCanceledException
	if errors.As(err, &canceled) {
		return c.cancellationError(canceled)
	}
	return c.newError("table write", err)
}

// cancellationError returns the error for a transaction that was cancelled, so that
// no write was applied.
func (c *Client) cancellationError(err *types.TransactionCanceledException) error {
	for _, r := range err.CancellationReasons {
		if aws.ToString(r.Code) == "ConditionalCheckFailed" {
			return core.ErrRevisionMismatch
		}
	}
	return &core.Error{Kind: core.Unavailable, Step: "table write", Peer: c.url, Ran: core.RanNot, Detail: "the table service cancelled the transaction", Err: err}
}

func (c *Client) conditionalPut(w core.Write) *types.Put {
	item := itemKey(w.Key)
	item[attrRevision] = numberAttribute(int64(w.ExpectRevision + 1))
	item[attrBody] = &types.AttributeValueMemberB{Value: w.Body}
	if !w.Expires.IsZero() {
		item[attrExpires] = numberAttribute(w.Expires.Unix())
	}
	p := &types.Put{TableName: &c.table, Item: item}
	if w.ExpectRevision == 0 {
		p.ConditionExpression = aws.String("attribute_not_exists(pk)")
		return p
	}
	p.ConditionExpression = aws.String("rev = :rev")
	p.ExpressionAttributeValues = map[string]types.AttributeValue{":rev": numberAttribute(int64(w.ExpectRevision))}
	return p
}

func numberAttribute(n int64) *types.AttributeValueMemberN {
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(n, 10)}
}

func parseRecord(item map[string]types.AttributeValue) (core.Record, error) {
	pk, ok1 := item[attrPartition].(*types.AttributeValueMemberS)
	sk, ok2 := item[attrSort].(*types.AttributeValueMemberS)
	rev, ok3 := item[attrRevision].(*types.AttributeValueMemberN)
	body, ok4 := item[attrBody].(*types.AttributeValueMemberB)
	if !ok1 || !ok2 || !ok3 || !ok4 {
		return core.Record{}, &core.Error{Kind: core.Internal, Step: "table read", Detail: "a record has a missing attribute or one of the wrong type"}
	}
	n, err := strconv.ParseUint(rev.Value, 10, 64)
	if err != nil {
		return core.Record{}, &core.Error{Kind: core.Internal, Step: "table read", Detail: "a record's revision is not a number", Err: err}
	}
	return core.Record{Key: core.RecordKey{Partition: pk.Value, Sort: sk.Value}, Revision: n, Body: body.Value}, nil
}

// newError returns the error of a failed call. It says that the call did not run only
// if no connection could be made or the service throttled the call.
func (c *Client) newError(step string, err error) *core.Error {
	e := &core.Error{Kind: core.Unavailable, Step: step, Peer: c.url, Detail: "the table service is unavailable", RetryAfter: time.Second, Err: err}
	var op *net.OpError
	var throttled *types.ProvisionedThroughputExceededException
	if (errors.As(err, &op) && op.Op == "dial") || errors.As(err, &throttled) {
		e.Ran = core.RanNot
	}
	return e
}
