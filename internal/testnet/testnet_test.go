package testnet

import (
	"net"
	"testing"
)

// Guards against two tests that get one address, and against addresses that
// cannot be listened on.
func TestAddressesDiffer(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		a := FreeAddress(t)
		if seen[a] {
			t.Fatalf("address %s is given twice", a)
		}
		seen[a] = true
		l, err := net.Listen("tcp", a)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
	}
}
