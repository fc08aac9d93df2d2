// Package testnet provides addresses on which tests can listen.
package testnet

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
)

const (
	// FreeAddress returns portCount different ports, starting at firstPort. They are
	// below the range of ephemeral ports: an outgoing connection could otherwise take
	// a port after it was chosen and before the test listens on it.
	firstPort = 10000
	portCount = 20000
	// processStride is the distance between the first ports of two test processes
	// with consecutive process IDs, so that tests that run at the same time do not
	// choose the same ports.
	processStride = 400
)

// candidateCount is the number of ports that this process has tried.
var candidateCount atomic.Uint32

// FreeAddress returns a loopback address with a free port. Calls in the same
// process return different addresses.
func FreeAddress(t testing.TB) string {
	t.Helper()
	var err error
	for range portCount {
		n := (uint32(os.Getpid())*processStride + candidateCount.Add(1)) % portCount
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+int(n)))
		var l net.Listener
		if l, err = net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
	t.Fatal(err)
	return ""
}
