// Package core holds the types that all other packages share: identifiers, ranks,
// the typed error, instances, records, and the request and result of a call to an
// endpoint. It does no I/O.
package core

import (
	"fmt"
	"strconv"
	"time"
)

// RequestID identifies one request of a caller. All attempts of a request share it.
type RequestID string

// InstanceID identifies one incarnation of a daemon or endpoint instance.
type InstanceID string

// DataCenterID names a data centre.
type DataCenterID string

// RegionID names a region, which holds one or more data centres.
type RegionID string

// AccountID names a client account.
type AccountID string

// PoolID names an endpoint pool.
type PoolID string

// Rank is the class of service of a request. A lower value is more urgent.
type Rank uint8

// The three ranks, most urgent first.
const (
	Urgent Rank = iota
	Normal
	Bulk
	// NumRanks is the number of ranks.
	NumRanks = 3
)

var rankNames = [NumRanks]string{"urgent", "normal", "bulk"}

// String returns the rank's name as used in configuration and logs.
func (r Rank) String() string {
	if int(r) < len(rankNames) {
		return rankNames[r]
	}
	return fmt.Sprintf("rank(%d)", uint8(r))
}

// ParseRank returns the rank named s.
func ParseRank(s string) (Rank, error) {
	for i, n := range rankNames {
		if n == s {
			return Rank(i), nil
		}
	}
	return 0, fmt.Errorf("unknown rank %q, allowed: urgent, normal, bulk", s)
}

// MarshalText implements encoding.TextMarshaler.
func (r Rank) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Rank) UnmarshalText(b []byte) error {
	v, err := ParseRank(string(b))
	if err != nil {
		return err
	}
	*r = v
	return nil
}

// Endpoint is one live back end, as described by the instance list.
type Endpoint struct {
	ID         InstanceID
	Pool       PoolID
	DataCenter DataCenterID
	// Address is host:port, where host is an IP address.
	Address string
}

// Call is one attempt of one stage or operation at one endpoint.
type Call struct {
	Request  RequestID
	Stage    string
	Attempt  int
	Endpoint Endpoint
	Rank     Rank
	// Method is the HTTP method; empty means POST.
	Method string
	Path   string
	Body   []byte
	// Header holds extra request headers, or nil.
	Header map[string]string
	// MaxAnswerBytes bounds the size of the answer; 0 means the default of the transport.
	MaxAnswerBytes int64
}

// ID returns the identifier of the call, which the endpoint echoes. It consists of the
// request, stage and attempt.
func (c Call) ID() string { return string(c.Request) + "/" + c.Stage + "/" + strconv.Itoa(c.Attempt) }

// Result is the answer of an endpoint to one Call.
type Result struct {
	Status int
	// CallID is the call ID that the endpoint echoed with the answer, or empty if it
	// sent none.
	CallID string
	// AnnouncedBytes is the body length that the endpoint announced; 0 or less means
	// that it announced none.
	AnnouncedBytes int64
	Body           []byte
	// ContentType is the media type of the body.
	ContentType string
	// Elapsed is the time from sending the call to the last byte of the answer.
	Elapsed time.Duration
}

// Event is one server-sent event of a streamed answer.
type Event struct {
	// CallID is the call ID that the endpoint echoed with the stream, or empty if it
	// sent none.
	CallID string
	Data   []byte
}
