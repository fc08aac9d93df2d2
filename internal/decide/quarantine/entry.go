// Package quarantine decides which requests are refused because endpoints crashed
// with them. Set does so for the contents of dispatched requests, Contents for those of
// forwarded requests, and PartSet for parts of prompts that requests share. A content
// is identified by its fingerprint, so that repeated requests count as one. The package
// does no I/O.
package quarantine

import (
	"time"

	"eelgrassgrade/internal/core"
)

// Entry describes one content that is suspected or quarantined, or was cleared of
// suspicion. Daemons exchange entries.
type Entry struct {
	// Fingerprint is the SHA-256 digest of the request's content.
	Fingerprint [32]byte
	Pool        core.PoolID
	// Crashes counts the endpoint crashes that are attributed to the content.
	Crashes int
	// Remaining is the time until the entry expires.
	Remaining time.Duration
	// Cleared says that the content ran successfully after it became a suspect and
	// is no longer suspected.
	Cleared bool
}
