// Package idempotency decides which request may run a call that must run at most
// once.
//
// A call is identified by the caller's idempotency key and has one record in the
// table service. Every write of the record is conditional on the revision that was
// read, so of two executions that write the same revision only one succeeds. Only
// that condition and the random token of the execution prevent a second run.
// Wall-clock times decide no more than what a second caller is told and when an
// abandoned claim may be taken over. If a claim is taken over too early, the first
// execution fails to record that it sends the call, and does not send it.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"

	"eelgrassgrade/internal/core"
)

// State is the state of an execution in its record.
type State string

// The states of a record. Done, NotRun and Unknown end an execution.
const (
	// Claimed means that an execution holds the key and has sent nothing.
	Claimed State = "claimed"
	// Dispatched means that the call may have been sent to the endpoint.
	Dispatched State = "dispatched"
	// Done means that the call ran.
	Done State = "done"
	// NotRun means that the call did not run, so that another execution may run it.
	NotRun State = "not_run"
	// Unknown means that the call was sent and it is not known whether it ran.
	Unknown State = "unknown"
)

// Retention is how long a record is kept after its last write.
const Retention = 7 * 24 * time.Hour

// Answer is the recorded answer of an endpoint.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	// Body is the body of the answer, unless it is kept in the object store.
	Body []byte `json:"body,omitempty"`
	// Object is the name of the object that holds the body, or empty.
	Object string `json:"object,omitempty"`
}

// Record is the record of a call in the table service.
type Record struct {
	State State `json:"state"`
	// Token is the random ID of the execution that wrote the record.
	Token string `json:"token"`
	// BodySHA256 is the hex digest of the request body that the key is bound to.
	BodySHA256 string `json:"body_sha256"`
	// Endpoint is the endpoint to which the call was last sent, or empty.
	Endpoint core.InstanceID `json:"endpoint,omitempty"`
	// TimeoutMs is the operation's timeout, in milliseconds.
	TimeoutMs int64 `json:"timeout_ms"`
	// WrittenAt is the time of the last write, by the wall clock of the writer.
	WrittenAt time.Time `json:"since"`
	// Answer is set in state Done, unless the answer could not be stored.
	Answer *Answer `json:"answer,omitempty"`
	// Reason says why the state is NotRun or Unknown. It is safe to show to the caller.
	Reason string `json:"reason,omitempty"`
}

// Key returns the record key of a call. The parts are hashed with their lengths,
// so that different calls have different keys. They include the account, so that
// no account sees the outcome of another account's call.
func Key(account core.AccountID, service, operation, key string) core.RecordKey {
	h := sha256.New()
	for _, part := range []string{string(account), service, operation, key} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return core.RecordKey{Partition: "once/" + hex.EncodeToString(h.Sum(nil)), Sort: "call"}
}

// HashBody returns the hex SHA-256 digest of a request body. Requests with the same
// key must have the same digest.
func HashBody(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Encode returns the record's stored form.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

var errInvalid = errors.New("the record of a call is invalid")

// Decode decodes a stored record. It returns an error for one that is inconsistent
// and so cannot be decided on.
func Decode(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, fmt.Errorf("%w: %w", errInvalid, err)
	}
	switch {
	case r.Token == "", len(r.BodySHA256) != 2*sha256.Size, r.TimeoutMs < 0:
		return Record{}, fmt.Errorf("%w: no token, a malformed body_sha256 or a negative timeout_ms", errInvalid)
	case r.State != Claimed && r.State != Dispatched && r.State != Done && r.State != NotRun && r.State != Unknown:
		return Record{}, fmt.Errorf("%w: unknown state %q", errInvalid, r.State)
	case r.State == Dispatched && r.Endpoint == "":
		return Record{}, fmt.Errorf("%w: state %q without an endpoint", errInvalid, r.State)
	case r.Answer != nil && r.State != Done:
		return Record{}, fmt.Errorf("%w: an answer in state %q", errInvalid, r.State)
	}
	return r, nil
}
