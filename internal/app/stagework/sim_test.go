package stagework

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
)

const testPool = core.PoolID("encode")

// machine is a fake stage endpoint: one call at a time, two more may wait.
type machine struct {
	entry endpoints.Entry
	// turn holds the call that is worked on.
	turn   chan struct{}
	queued int
	factor float64
	down   bool
	room   int
	// kept holds the results by handle and their bytes.
	kept  map[string]int
	calls [][]Piece
	begun []time.Time
}

// world is a set of machines and the records that promises are judged from.
type world struct {
	t      *testing.T
	limits catalog.Batching
	bytes  int

	mu       sync.Mutex
	machines map[core.InstanceID]*machine
	handles  int
	runs     map[string]int // by request, stage and index
	fetched  map[string]bool
	fail     func(p Piece, n int) Reason
	// resting holds until when machines want nothing.
	resting map[core.InstanceID]time.Time
	// freedAt holds when results were freed.
	freedAt map[core.InstanceID][]time.Time
}

func (w *world) rest(e endpoints.Entry) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.resting[e.ID]
}

var testLimits = catalog.Batching{MaxPieces: 8, CallTime: 200 * time.Millisecond, PieceTime: 20 * time.Millisecond,
	ResultCapacityBytes: 1000, ResultTTL: 4 * time.Second}

func newWorld(t *testing.T, n int) *world {
	w := &world{t: t, limits: testLimits, bytes: 10, machines: map[core.InstanceID]*machine{}, runs: map[string]int{}, fetched: map[string]bool{},
		resting: map[core.InstanceID]time.Time{}, freedAt: map[core.InstanceID][]time.Time{}}
	for i := range n {
		id := core.InstanceID(fmt.Sprintf("m%d", i))
		w.machines[id] = &machine{turn: make(chan struct{}, 1), factor: 1, room: 1 << 30, kept: map[string]int{}, entry: endpoints.Entry{Endpoint: core.Endpoint{ID: id, Pool: testPool,
			DataCenter: core.DataCenterID(fmt.Sprintf("dc%d", i%2)), Address: string(id)}}}
	}
	return w
}

func (w *world) entries() []endpoints.Entry {
	var out []endpoints.Entry
	for _, m := range w.machines {
		out = append(out, m.entry)
	}
	return out
}

func (w *world) pool() *catalog.Pool { return &catalog.Pool{ID: testPool, Batching: &w.limits} }

// RunPieces implements Endpoints.
func (w *world) RunPieces(ctx context.Context, e core.Endpoint, pieces []Piece) ([]Outcome, error) {
	m := w.machines[e.ID]
	time.Sleep(5 * time.Millisecond)
	w.mu.Lock()
	if m.down {
		w.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		return nil, &core.Error{Kind: core.Unavailable, Step: "connect", Ran: core.RanNot, Detail: "no connection"}
	}
	if m.queued >= 3 {
		w.mu.Unlock()
		return nil, &core.Error{Kind: core.Unavailable, Step: "stage", Ran: core.RanNot, Detail: "full"}
	}
	m.queued++
	w.mu.Unlock()
	m.turn <- struct{}{}
	defer func() {
		<-m.turn
		w.mu.Lock()
		m.queued--
		w.mu.Unlock()
	}()
	w.mu.Lock()
	m.calls = append(m.calls, pieces)
	m.begun = append(m.begun, time.Now())
	out := make([]Outcome, len(pieces))
	for i, p := range pieces {
		key := fmt.Sprint(p.Request, "/", p.Stage, "/", p.Index)
		w.runs[key]++
		if w.fail != nil {
			out[i].Reason = w.fail(p, w.runs[key])
		}
		used := 0
		for _, b := range m.kept {
			used += b
		}
		if used+w.bytes > m.room {
			out[i].Reason = NoRoom
		}
		if out[i].Reason == Done {
			w.handles++
			out[i].Handle = fmt.Sprint(e.ID, "/", w.handles)
			m.kept[out[i].Handle] = w.bytes
		}
	}
	took := time.Duration(float64(w.limits.CallTime+time.Duration(len(pieces))*w.limits.PieceTime) * m.factor)
	if !slices.ContainsFunc(out, func(o Outcome) bool { return o.Reason != NoRoom }) {
		took = 0
	}
	w.mu.Unlock()
	select {
	case <-time.After(took):
	case <-ctx.Done():
		return nil, &core.Error{Kind: core.Upstream, Step: "send", Detail: "no answer", Err: ctx.Err()}
	}
	time.Sleep(5 * time.Millisecond)
	return out, nil
}

// FreeResults implements Endpoints.
func (w *world) FreeResults(_ context.Context, e core.Endpoint, handles []string) error {
	time.Sleep(10 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.freedAt[e.ID] = append(w.freedAt[e.ID], time.Now())
	for _, h := range handles {
		delete(w.machines[e.ID].kept, h)
	}
	return nil
}

func (w *world) calls() (calls, pieces int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		calls += len(m.calls)
		for _, c := range m.calls {
			pieces += len(c)
		}
	}
	return calls, pieces
}

// quiet is an Events that records nothing.
type quiet struct{}

func (quiet) CallStarted(core.PoolID, core.InstanceID, []Piece, int, float64)                  {}
func (quiet) CallEnded(core.PoolID, core.InstanceID, int, time.Duration, time.Duration, error) {}
func (quiet) TaskEnded(*Task, string, time.Duration, error)                                    {}
func (quiet) PieceRepeated(*Task, string, bool)                                                {}
func (quiet) EndpointHealth(core.PoolID, core.InstanceID, bool, string)                        {}

// allowance is a Budget of a fixed number of repeats, of which spare may go to
// calls that are only slow.
type allowance struct {
	mu          sync.Mutex
	left, spare int
}

func (a *allowance) TakeSpare(id core.PoolID, n int) bool {
	a.mu.Lock()
	if n > a.spare {
		a.mu.Unlock()
		return false
	}
	a.spare -= n
	a.mu.Unlock()
	return a.Take(id, n)
}

func (a *allowance) Request(core.PoolID, int) {}
func (a *allowance) Take(_ core.PoolID, n int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n > a.left {
		return false
	}
	a.left -= n
	return true
}

// run starts a coordinator over the machines in a bubble of virtual time.
func run(t *testing.T, n int, f func(*world, *Coordinator)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(t, n)
		c := NewCoordinator(ctx, w, w.rest, quiet{}, &allowance{left: 50, spare: 25}, time.Now)
		c.SetEndpoints(w.pool(), 0, w.entries())
		f(w, c)
		cancel()
		synctest.Wait()
	})
}

func newTask(id string, pieces, rank int, start, deadline time.Duration) *Task {
	now := time.Now()
	return &Task{Pool: testPool, Request: core.RequestID(id), Account: "a", Pieces: pieces, Key: id, Rank: rank,
		Start: now.Add(start), Deadline: now.Add(deadline), ResultBytes: 10}
}
