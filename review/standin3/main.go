// Command standin3 holds the stand-ins of the scripts in review/11 to review/15: the store,
// replicas and clients, as the users' pages describe them.
package main

import "os"

func main() {
	if len(os.Args) < 2 {
		giveUp("which case?")
	}
	switch os.Args[1] {
	case "replica":
		runReplica(os.Args[2:])
	case "lost":
		caseLost()
	case "cold":
		caseCold()
	case "poison":
		casePoison()
	case "twice":
		caseTwice()
	case "leaving":
		caseLeaving()
	default:
		giveUp("unknown case " + os.Args[1])
	}
}
