// Package testnet provides addresses on which tests can listen.
package testnet

import (
	"net"
	"os"
	"strconv"
	"sync"
	"testing"
)

const (
	// FreeAddress returns portCount different ports, starting at firstPort. They are
	// below the range of ephemeral ports: an outgoing connection could otherwise take
	// a port after it was chosen and before the test listens on it.
	firstPort = 10000
	portCount = 20000
	// blockPorts is the number of ports that a process reserves at a time.
	blockPorts = 100
	blockCount = portCount / blockPorts
	// processStride is the distance between the first blocks that two test processes
	// with consecutive process IDs try.
	processStride = 4
)

// allocator returns ports of blocks that no other process uses. A process reserves a block
// as long as it listens on the block's first port. Ports that are free at the moment may
// belong to a daemon or an endpoint of another test that is about to start again.
type allocator struct {
	mu sync.Mutex
	// nextBlock is the next block to try, tried the number of blocks that were.
	nextBlock, tried int
	// reserved keeps the blocks of this process reserved.
	reserved []net.Listener
	// nextPort and endPort bound the ports that are left of the last block.
	nextPort, endPort int
}

func newAllocator(pid int) *allocator {
	return &allocator{nextBlock: pid * processStride % blockCount}
}

var processPorts = newAllocator(os.Getpid())

// FreeAddress returns a loopback address with a free port, which no other process gets
// from FreeAddress while this one runs. Calls in the same process return different
// addresses.
func FreeAddress(t testing.TB) string {
	t.Helper()
	address, ok := processPorts.freeAddress()
	if !ok {
		t.Fatal("all ports are reserved by tests")
	}
	return address
}

func (a *allocator) freeAddress() (address string, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if a.nextPort == a.endPort && !a.reserveBlock() {
			return "", false
		}
		address := loopback(a.nextPort)
		a.nextPort++
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address, true
		}
	}
}

// reserveBlock reserves the next free block. The caller holds mu.
func (a *allocator) reserveBlock() bool {
	for ; a.tried < blockCount; a.tried++ {
		first := firstPort + a.nextBlock*blockPorts
		a.nextBlock = (a.nextBlock + 1) % blockCount
		if l, err := net.Listen("tcp", loopback(first)); err == nil {
			a.reserved = append(a.reserved, l)
			a.nextPort, a.endPort = first+1, first+blockPorts
			a.tried++
			return true
		}
	}
	return false
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
