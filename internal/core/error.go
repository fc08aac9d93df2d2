package core

import (
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Ran says whether the work of a refused or failed request ran.
type Ran uint8

// The values of Ran. RanUnknown is the zero value, so that an error which does not
// set Ran never claims that the work did not run.
const (
	RanUnknown Ran = iota
	RanNot
	RanYes
)

// String returns the value as used in problem documents.
func (r Ran) String() string {
	switch r {
	case RanNot:
		return "not run"
	case RanYes:
		return "ran"
	default:
		return "unknown"
	}
}

// Kind classifies an Error. It selects the HTTP status.
type Kind uint8

// The kinds of errors.
const (
	Internal         Kind = iota // 500
	Invalid                      // 400
	Unauthorized                 // 401
	Forbidden                    // 403
	NotFound                     // 404
	Conflict                     // 409: version conflict, or the same key is in progress
	TooLarge                     // 413
	Mismatch                     // 422: same idempotency key, another body
	Quarantined                  // 422: the request is known to crash endpoints
	RateLimited                  // 429
	Upstream                     // 502: the endpoint failed
	Unavailable                  // 503: overload, store outage, shutdown
	DeadlineExceeded             // 504
)

var kindNames = [...]string{
	"internal", "invalid", "unauthorized", "forbidden", "not_found", "conflict", "too_large",
	"mismatch", "quarantined", "rate_limited", "upstream", "unavailable", "deadline_exceeded",
}

// String returns the kind's name, used in problem types and metrics.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "internal"
}

// Error is the typed error of request handling and of control operations. It names
// the step and the peer where it occurred.
type Error struct {
	Kind Kind
	// Step names the stage or internal step, such as "admission" or "generate".
	Step string
	// Peer names the endpoint, daemon or platform service involved, or is empty.
	Peer string
	Ran  Ran
	// RetryAfter is how long the client should wait before a retry. Zero means that
	// a retry is of no use or needs no wait.
	RetryAfter time.Duration
	// Detail is safe to show to the caller: it contains no key, body or prompt.
	Detail string
	// Err is the cause, for logs.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("step %s", e.Step)
	if e.Peer != "" {
		s += " at " + e.Peer
	}
	s += ": " + e.Detail + " (" + e.Kind.String() + ", " + e.Ran.String() + ")"
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// AsError returns err as *Error. An error of another type becomes an Internal
// error at the given step whose Ran is unknown.
func AsError(err error, step string) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Step: step, Detail: "internal error", Err: err}
}
