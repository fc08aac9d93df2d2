package core

import (
	"time"

	"github.com/juju/errors"
)

// ErrRevisionMismatch reports that a transaction was refused because a record did not
// have the expected revision. Nothing was written.
const ErrRevisionMismatch = errors.ConstError("condition failed")

// ErrNoRecord reports that a record does not exist.
const ErrNoRecord = errors.ConstError("no such record")

// RecordKey names a record of the table service.
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
	// Expires is when the table service may drop the record. Zero means never.
	Expires time.Time
}

// Write puts a record if its present revision is as expected.
type Write struct {
	Key RecordKey
	// ExpectRevision is the revision that must be present; 0 means that the
	// record must not exist.
	ExpectRevision uint64
	Body           []byte
	Expires        time.Time
}
