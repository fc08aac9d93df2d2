package fleetrpc

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/app/stagework"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
)

// heldEndpoints answers calls of pieces once release is closed.
type heldEndpoints struct {
	fakePorts
	release chan struct{}
}

func (e heldEndpoints) RunPieces(ctx context.Context, to core.Endpoint, pieces []stagework.Piece) ([]stagework.Outcome, error) {
	<-e.release
	return e.fakePorts.RunPieces(ctx, to, pieces)
}

// proxy forwards connections to a daemon. Those that are open when silent is set pass no
// more data and are not closed.
type proxy struct {
	address string
	silent  atomic.Pointer[time.Time]
	open    atomic.Int32
}

func startProxy(t *testing.T, to string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{address: l.Addr().String()}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				in.Close()
				continue
			}
			p.open.Add(1)
			accepted := time.Now()
			var once sync.Once
			forward := func(dst, src net.Conn) {
				defer once.Do(func() { in.Close(); out.Close(); p.open.Add(-1) })
				for b := make([]byte, 4096); ; {
					n, err := src.Read(b)
					if err != nil {
						return
					}
					if at := p.silent.Load(); at != nil && accepted.Before(*at) {
						_, _ = io.Copy(io.Discard, src)
						return
					}
					if _, err := dst.Write(b[:n]); err != nil {
						return
					}
				}
			}
			go forward(in, out)
			go forward(out, in)
		}
	}()
	return p
}

// submitHeld submits a task to a daemon behind a proxy and returns once the task has
// started there.
func submitHeld(t *testing.T, c *Client) (p *proxy, release func(), ended chan error) {
	held := heldEndpoints{release: make(chan struct{})}
	release = sync.OnceFunc(func() { close(held.release) })
	t.Cleanup(release)
	d := startDaemonWith(t, held)
	d.coordinator.SetEndpoints(&catalog.Pool{ID: "p", Batching: &catalog.Batching{MaxPieces: 4, CallTime: time.Minute, ResultCapacityBytes: 100, ResultTTL: time.Second}}, 0,
		[]endpoints.Entry{{Endpoint: core.Endpoint{ID: "m", Pool: "p"}}})
	p = startProxy(t, d.address)
	started := make(chan struct{})
	task := &stagework.Task{Pool: "p", Request: "r", Pieces: 1, Key: "k", LatestStart: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Minute), ResultBytes: 10,
		OnStart: func() { close(started) }}
	ended = make(chan error, 1)
	go func() {
		_, err := c.Submit(t.Context(), p.address, 0, task)
		ended <- err
	}()
	<-started
	return p, release, ended
}

// Guards against tasks in progress that fail, and run again elsewhere, because their
// coordinator was slow to answer two exchanges, and against replaced connections that are
// kept after their last call.
func TestTasksOutliveAReplacedConnection(t *testing.T) {
	c := NewClient(time.Now)
	p, release, ended := submitHeld(t, c)
	c.Reconnect(p.address)
	select {
	case err := <-ended:
		t.Fatalf("the task ended before its endpoint had answered: %v", err)
	case <-time.After(2 * time.Second):
	}
	release()
	if err := <-ended; err != nil {
		t.Errorf("the task failed: %v", err)
	}
	kept := func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.replaced)
	}
	for began := time.Now(); p.open.Load() > 1 || kept() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatalf("%d connections are open, want 1, and %d are kept without a call", p.open.Load(), kept())
		}
	}
}

// An open connection goes silent while new ones work. Guards against tasks that wait on it
// until their deadline.
func TestTasksOnADeadConnectionAreLost(t *testing.T) {
	c := NewClient(time.Now)
	p, _, ended := submitHeld(t, c)
	now := time.Now()
	p.silent.Store(&now)
	c.Reconnect(p.address)
	select {
	case err := <-ended:
		if core.AsError(err, "").Detail != stagework.LostCoordinator {
			t.Errorf("the task ended with %v", err)
		}
		t.Logf("noticed after %v", time.Since(now))
	case <-time.After(15 * time.Second):
		t.Error("a task waits on a dead connection")
	}
}

// Guards against connections that pile up while a daemon is slow for long.
func TestReplacedConnectionsAreBounded(t *testing.T) {
	c := NewClient(time.Now)
	for range maxReplaced + 3 {
		if _, err := c.fleetClient("127.0.0.1:1"); err != nil {
			t.Fatal(err)
		}
		c.Reconnect("127.0.0.1:1")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.replaced["127.0.0.1:1"]); n != maxReplaced {
		t.Errorf("%d replaced connections are kept, want %d", n, maxReplaced)
	}
}
