// Package scenario runs scripted scenarios with daemons and stand-ins as separate
// processes on loopback addresses. The scripts are in testdata; README.md
// describes their commands.
package scenario
