// Command standin2 plays the cases of review/6 to review/10: it starts daemons with the
// commands of the deploy file before stand-ins for the platform, the servers and the
// clients, and checks a rule by what these have seen. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit is the longest time that a case may take.
const limit = 112 * time.Second

// cases are the cases by name. Each returns what broke the rule, or "".
var cases = map[string]func(b *bed, trouble bool) (broken string, err error){
	"piece": casePiece,
	"order": caseOrder,
	"part":  casePart,
	"omit":  caseOmit,
	"life":  caseLife,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE REPOSITORY RECORD")
		return 2
	}
	b, err := newBed(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "can't run:", err)
		return 2
	}
	defer b.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(limit):
		}
		b.rec.write("can't run: ended early")
		b.close()
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](b, os.Getenv("TROUBLE") != "0")
	b.mu.Lock()
	failure := b.failure
	b.mu.Unlock()
	switch {
	case err != nil || failure != "":
		b.rec.write("can't run: %v %s", err, failure)
		fmt.Println("can't run:", err, failure)
		return 2
	case broken != "":
		b.rec.write("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	b.rec.write("the rule held")
	fmt.Println("the rule held")
	return 0
}
