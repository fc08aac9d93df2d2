package limits

import "eelgrassgrade/internal/core"

// AccountUsage is the usage of one client account on one daemon or, in a total, on
// all daemons.
type AccountUsage struct {
	// Account is empty in an entry that gives the backlog of all accounts together.
	Account core.AccountID
	// RequestsPerS and TokensPerS are rates over the last report interval.
	RequestsPerS, TokensPerS float64
	// InProgress is the number of the account's requests in progress.
	InProgress int
	// Backlog holds the account's weight by pool, for the pools in which it has
	// requests queued. In a total it is the sum over the daemons.
	Backlog map[core.PoolID]float64
}
