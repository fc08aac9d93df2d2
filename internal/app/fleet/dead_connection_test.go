package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// connection is the transport of one daemon. Its open connection can be dead until it is
// replaced.
type connection struct {
	*network
	dead atomic.Bool
}

func (c *connection) Exchange(ctx context.Context, address string, s *Status) (*Status, error) {
	if c.dead.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return c.network.Exchange(ctx, address, s)
}

func (c *connection) Reconnect(string) int {
	c.dead.Store(false)
	return 0
}

// The connection to a daemon on which a task waits goes silent, while the exchanges that this
// daemon starts on its own connection go on. Guards against tasks that wait until their deadline.
func TestADeadConnectionIsReplacedThoughThePeerIsHeard(t *testing.T) {
	for phase := time.Duration(0); phase < exchangeInterval; phase += exchangeInterval / 10 {
		for failAfter := time.Duration(0); failAfter < exchangeInterval; failAfter += exchangeInterval / 10 {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				net := &network{fleets: map[string]*Fleet{}}
				var fleets [2]*Fleet
				var connections [2]*connection
				for i := range fleets {
					connections[i] = &connection{network: net}
					fleets[i] = New(Options{Self: member(i), Transport: connections[i], Events: noEvents{}, OnStatus: func(*Status) {}, Now: time.Now, Source: func() *Status { return &Status{} }})
					fleets[i].Add([]Member{member(1 - i)}, true)
					net.mu.Lock()
					net.fleets[member(i).Address] = fleets[i]
					net.mu.Unlock()
				}
				for _, f := range fleets {
					go f.Run(ctx)
					time.Sleep(phase)
				}
				time.Sleep(2*time.Second + failAfter)
				_, stop := fleets[1].Watch(member(0).Address)
				defer stop()
				connections[1].dead.Store(true)
				time.Sleep(2 * time.Second)
				if connections[1].dead.Load() {
					t.Errorf("phase %v, fault after %v: the dead connection is used for 2 s", phase, failAfter)
				}
				cancel()
				time.Sleep(time.Second)
			})
		}
	}
}
