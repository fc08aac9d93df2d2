// Package testnet gives tests addresses to listen on.
package testnet

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
)

const (
	// firstPort and ports bound the ports that are given. They lie below the range
	// of outgoing connections, one of which would else take a port between the
	// choice of an address and the listening on it.
	firstPort = 10000
	ports     = 20000
	// stride keeps processes of tests that run side by side, whose ids are close,
	// apart by as many addresses.
	stride = 400
)

var given atomic.Uint32

// FreeAddress returns a loopback address with a free port. No other call in this
// process returns it.
func FreeAddress(t testing.TB) string {
	t.Helper()
	var err error
	for range ports {
		n := (uint32(os.Getpid())*stride + given.Add(1)) % ports
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
