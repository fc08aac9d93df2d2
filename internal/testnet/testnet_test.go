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

// Guards against tests of two processes that get the same port: both find it free while
// neither listens on it, or while an endpoint of one is about to start again.
func TestProcessesShareNoPorts(t *testing.T) {
	const pid = 1000
	seen := map[string]int{}
	processes := []*allocator{newAllocator(pid), newAllocator(pid + blockCount), newAllocator(pid + 1)}
	for range 3 * blockPorts {
		for i, p := range processes {
			address, ok := p.freeAddress()
			if !ok {
				t.Fatal("no port is left")
			}
			if other, taken := seen[address]; taken {
				t.Fatalf("processes %d and %d get %s", other, i, address)
			}
			seen[address] = i
		}
	}
	for _, p := range processes {
		for _, l := range p.reserved {
			l.Close()
		}
	}
}
