// Command standin runs the cases of review/ against daemons that it starts as
// separate processes, with stand-ins for the platform's store, replicas and clients.
//
//	standin case NAME RECORD   runs a case and writes its record to the file RECORD
//	standin replica SPEC       runs one replica, described in JSON
//
// A case exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// caseTimeout bounds a case.
const caseTimeout = 110 * time.Second

// cases holds the cases by name. A case returns the ways in which the rule was broken.
var cases = map[string]func(*bed) ([]string, error){}

func main() {
	switch {
	case len(os.Args) == 3 && os.Args[1] == "replica":
		if err := runReplica(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, "replica:", err)
			os.Exit(1)
		}
	case len(os.Args) == 4 && os.Args[1] == "case" && cases[os.Args[2]] != nil:
		os.Exit(runCase(cases[os.Args[2]], os.Args[3]))
	default:
		fmt.Fprintln(os.Stderr, "usage: standin case NAME RECORD | standin replica SPEC")
		os.Exit(2)
	}
}

// runCase runs a case and returns the exit status.
func runCase(run func(*bed) ([]string, error), recordPath string) int {
	b, err := newBed(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 2
	}
	defer b.close()
	// The processes that the case has started end with this one.
	time.AfterFunc(caseTimeout, func() {
		b.record("the case could not run: it took longer than %v", caseTimeout)
		os.Exit(2)
	})
	broken, err := run(b)
	switch {
	case err != nil:
		b.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 2
	case len(broken) > 0:
		for _, line := range broken {
			b.record("BROKEN %s", line)
		}
		return 1
	}
	b.record("HELD")
	return 0
}
