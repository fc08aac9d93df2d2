// Package idempotency decides who may run a call that must run at most once.
//
// A call has one record in the table service. Every change of the record is
// conditional on the revision that was read, so of two executions that want to
// change the same revision only one succeeds. Safety rests on that condition
// and on the random token of the execution alone. Wall-clock times are used
// only for what a second caller is told and for when an abandoned claim may be
// taken over; an early takeover makes the first claimant's dispatch fail.
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

// State is the state of a record.
type State string

// The states of a record. Done, NotRun and Unknown end an execution.
const (
	Claimed    State = "claimed"
	Dispatched State = "dispatched"
	Done       State = "done"
	NotRun     State = "not_run"
	Unknown    State = "unknown"
)

// Retention is how long a record is kept after its last write.
const Retention = 7 * 24 * time.Hour

// Answer is a recorded answer of an endpoint.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	// Body holds the answer, unless Object names where it is kept.
	Body []byte `json:"body,omitempty"`
	// Object is the object's name in the object store, or empty.
	Object string `json:"object,omitempty"`
}

// Record is the content of a call's record.
type Record struct {
	State State `json:"state"`
	// Token is the random mark of the execution that wrote the record.
	Token string `json:"token"`
	// BodySHA256 is the hex digest of the request body that the key is bound to.
	BodySHA256 string `json:"body_sha256"`
	// Endpoint is where the call was sent last, or empty.
	Endpoint core.InstanceID `json:"endpoint,omitempty"`
	// TimeoutMs is the operation's timeout, in milliseconds.
	TimeoutMs int64 `json:"timeout_ms"`
	// WrittenAt is the wall time of the last write by the writer's clock.
	WrittenAt time.Time `json:"since"`
	// Answer is set in state Done, unless the answer could not be kept.
	Answer *Answer `json:"answer,omitempty"`
	// Reason says why the state is NotRun or Unknown. It is safe to show to the caller.
	Reason string `json:"reason,omitempty"`
}

// Key returns the record key of a call. The parts are length-prefixed, so that
// no two different calls share a key, and include the account, so that no
// account sees the outcome of another.
func Key(account core.AccountID, service, operation, key string) core.RecordKey {
	h := sha256.New()
	for _, part := range []string{string(account), service, operation, key} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write([]byte(part))
	}
	return core.RecordKey{Partition: "once/" + hex.EncodeToString(h.Sum(nil)), Sort: "call"}
}

// HashBody returns the hex digest that binds a key to a request body.
func HashBody(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Encode returns the record's stored form.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

var errInvalid = errors.New("the record of a call is invalid")

// Decode reads a stored record. It refuses one that a decision cannot rest on.
func Decode(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, fmt.Errorf("%w: %w", errInvalid, err)
	}
	switch {
	case r.Token == "", len(r.BodySHA256) != 2*sha256.Size, r.TimeoutMs < 0:
		return Record{}, errInvalid
	case r.State != Claimed && r.State != Dispatched && r.State != Done && r.State != NotRun && r.State != Unknown:
		return Record{}, errInvalid
	case r.State == Dispatched && r.Endpoint == "":
		return Record{}, errInvalid
	case r.Answer != nil && r.State != Done:
		return Record{}, errInvalid
	}
	return r, nil
}
