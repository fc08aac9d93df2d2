package testnet

import (
	"net"
	"testing"
)

// Guards against an address that is returned twice, and against addresses that
// are already in use.
func TestAddressesDiffer(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		a := FreeAddress(t)
		if seen[a] {
			t.Fatalf("address %s is returned twice", a)
		}
		seen[a] = true
		l, err := net.Listen("tcp", a)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
	}
}
