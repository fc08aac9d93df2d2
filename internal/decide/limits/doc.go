// Package limits implements the limits of client accounts: token buckets, and the
// share of an account's limits that one daemon may admit.
package limits
