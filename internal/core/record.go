package core

import (
	"time"

	"github.com/juju/errors"
)

// ErrRevisionMismatch reports that a transaction was refused because a record did not
// have the expected revision. Nothing was written.
const ErrRevisionMismatch = errors.ConstError("a record does not have the expected revision")

// ErrNoRecord reports that a record or object does not exist.
const ErrNoRecord = errors.ConstError("no such record or object")

// RecordKey identifies a record of the table service.
type RecordKey struct {
	Partition string
	Sort      string
}

// Record is one record of the table service.
type Record struct {
	Key RecordKey
	// Revision is 1 for a new record and grows by 1 with each write.
	Revision uint64
	Body     []byte
	// Expires is the time from which the table service may delete the record. Zero
	// means never.
	Expires time.Time
}

// Write replaces or creates a record if its current revision is the expected one.
type Write struct {
	Key RecordKey
	// ExpectRevision is the revision that the record must have; 0 means that the
	// record must not exist.
	ExpectRevision uint64
	Body           []byte
	Expires        time.Time
}
