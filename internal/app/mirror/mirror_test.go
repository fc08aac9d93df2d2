package mirror

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"
)

func row(key string, version int64) Row {
	return Row{Key: key, Value: []byte(fmt.Sprint(key, version)), Version: version}
}

func keys(s *Snapshot) string {
	out := ""
	for _, k := range []string{"a", "b", "c"} {
		if r, ok := s.Rows[k]; ok {
			out += fmt.Sprint(k, r.Version, " ")
		}
	}
	return out
}

// Guards against a copy that goes back to an older version: a read from a stale
// replica of the store, or a peer that lags.
func TestACopyNeverGoesBack(t *testing.T) {
	table := NewTable("t", nil)
	table.Apply(Batch{Rows: []Row{row("a", 5), row("b", 6)}, Version: 6, Full: true})
	for _, b := range []Batch{
		{Rows: []Row{row("a", 3)}, Version: 3, Full: true},
		{Rows: []Row{{Key: "a", Version: 5, Deleted: true}}, Version: 5},
		{Rows: []Row{row("a", 4), row("b", 6)}, Version: 6, Full: true},
	} {
		table.Apply(b)
		if got := keys(table.Snapshot()); got != "a5 b6 " {
			t.Errorf("after version %d: %s", b.Version, got)
		}
	}
	// A newer batch with an old value of a row keeps the newer value.
	table.Apply(Batch{Rows: []Row{row("a", 2), row("b", 6)}, Version: 9, Full: true})
	if got := keys(table.Snapshot()); got != "a5 b6 " {
		t.Errorf("a full read with an older row: %s", got)
	}
}

// Guards against rows that a full read no longer has and that stay in the copy,
// or that peers never hear are gone.
func TestAFullReadRemovesRows(t *testing.T) {
	table := NewTable("t", nil)
	table.Apply(Batch{Rows: []Row{row("a", 1), row("b", 2)}, Version: 2, Full: true})
	table.Apply(Batch{Rows: []Row{row("b", 2)}, Version: 7, Full: true})
	if got := keys(table.Snapshot()); got != "b2 " {
		t.Errorf("copy %s", got)
	}
	peer := NewTable("t", nil)
	peer.Apply(Batch{Rows: []Row{row("a", 1), row("b", 2)}, Version: 2, Full: true})
	peer.Apply(table.ChangesSince(2))
	if got := keys(peer.Snapshot()); got != "b2 " {
		t.Errorf("peer %s", got)
	}
}

// Guards against a copy of a copy that differs from it, whatever changes came
// between two pulls.
func TestAPeerCatchesUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, peer := NewTable("t", nil), NewTable("t", nil)
		version := int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			version++
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			r := row(key, version)
			r.Deleted = rapid.IntRange(0, 3).Draw(t, "delete") == 0
			table.Apply(Batch{Rows: []Row{r}, Version: version})
			if rapid.IntRange(0, 5).Draw(t, "pull") == 0 {
				peer.Apply(table.ChangesSince(peer.Snapshot().Version))
				if a, b := keys(table.Snapshot()), keys(peer.Snapshot()); a != b {
					t.Fatalf("copy %q, copy of the copy %q", a, b)
				}
			}
		}
	})
}

// store is a fake store whose behaviour a test sets.
type store struct {
	mu      sync.Mutex
	down    bool
	lost    bool
	version int64
	rows    []Row
	// calls counts the calls of any kind.
	calls int
}

func (s *store) Read(context.Context, string) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return Batch{}, errors.New("down")
	}
	s.lost = false
	return Batch{Rows: s.rows, Version: s.version}, nil
}

func (s *store) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (Batch, error) {
	s.mu.Lock()
	s.calls++
	down, lost, version, rows := s.down, s.lost, s.version, s.rows
	s.mu.Unlock()
	switch {
	case down:
		return Batch{}, errors.New("down")
	case lost:
		return Batch{}, ErrHistoryLost
	case version <= after:
		sleep(ctx, wait)
		return Batch{Version: version}, nil
	}
	return Batch{Rows: rows, Version: version}, nil
}

func (s *store) put(r Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.rows = r.Version, append(s.rows, r)
}

type peers struct{ table atomic.Pointer[Table] }

func (p *peers) NewestVersion(string) int64 {
	if t := p.table.Load(); t != nil {
		return t.Snapshot().LastChange
	}
	return 0
}

func (p *peers) Pull(_ context.Context, _ string, after int64) (Batch, error) {
	return p.table.Load().ChangesSince(after), nil
}

type events struct{ lost, regained atomic.Int32 }

func (e *events) StoreLost(string, error)             { e.lost.Add(1) }
func (e *events) StoreRegained(string, time.Duration) { e.regained.Add(1) }

func follow(t *testing.T, f func(*store, *peers, *Table, *events)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, p, table, e := &store{}, &peers{}, NewTable("t", nil), &events{}
		s.put(row("a", 1))
		go (&Follower{Table: table, Store: s, Peers: p, Events: e, Wait: time.Second}).Run(ctx)
		time.Sleep(100 * time.Millisecond)
		f(s, p, table, e)
		cancel()
		synctest.Wait()
	})
}

// Guards against changes that arrive late after the store returned, and against
// an outage that is not told.
func TestAFollowerRecoversFromAnOutage(t *testing.T) {
	follow(t, func(s *store, _ *peers, table *Table, e *events) {
		s.mu.Lock()
		s.down = true
		s.mu.Unlock()
		time.Sleep(8 * time.Second)
		if table.StoreOK() || keys(table.Snapshot()) != "a1 " {
			t.Errorf("during the outage: ok %t, copy %s", table.StoreOK(), keys(table.Snapshot()))
		}
		s.mu.Lock()
		s.down = false
		s.mu.Unlock()
		s.put(row("b", 2))
		time.Sleep(time.Second)
		if got := keys(table.Snapshot()); got != "a1 b2 " {
			t.Errorf("a second after its return: %s", got)
		}
		if e.lost.Load() != 1 || e.regained.Load() != 1 || table.OutageEnd(time.Now()).IsZero() {
			t.Errorf("told %d losses and %d returns", e.lost.Load(), e.regained.Load())
		}
	})
}

// Guards against a daemon that the store refuses while it serves others, and
// that keeps an old configuration meanwhile.
func TestAFollowerReadsPeersWhileItsStoreFails(t *testing.T) {
	follow(t, func(s *store, p *peers, table *Table, _ *events) {
		s.mu.Lock()
		s.down = true
		s.mu.Unlock()
		time.Sleep(3 * time.Second)
		newer := NewTable("t", nil)
		newer.Apply(Batch{Rows: []Row{row("a", 1), row("b", 9)}, Version: 9, Full: true})
		p.table.Store(newer)
		time.Sleep(500 * time.Millisecond)
		if got := keys(table.Snapshot()); got != "a1 b9 " {
			t.Errorf("half a second after a peer had it: %s", got)
		}
	})
}

// Guards against a return of the store that is noticed only when the first wait
// for a change ends: entries that vanish meanwhile then count as lapsed in the
// outage, and an endpoint that left gets work for seconds.
func TestTheReturnOfTheStoreIsNoticedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, table := &store{}, NewTable("t", nil)
		s.put(row("a", 1))
		go (&Follower{Table: table, Store: s, Peers: &peers{}, Events: &events{}, Wait: 3 * time.Second}).Run(ctx)
		time.Sleep(100 * time.Millisecond)
		s.mu.Lock()
		s.down = true
		s.mu.Unlock()
		time.Sleep(8 * time.Second)
		s.mu.Lock()
		s.down = false
		s.mu.Unlock()
		back := time.Now()
		time.Sleep(5 * time.Second)
		if late := table.OutageEnd(time.Now()).Sub(back); !table.StoreOK() || late > time.Second {
			t.Errorf("the store's return was noticed after %v", late)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a daemon that is no reader and hears late of a change while its
// own connection to the store is silent, and against one that asks the store as
// often as readers do.
func TestADaemonThatIsNoReaderHearsOfChangesFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, p, table := &store{}, &peers{}, NewTable("t", nil)
		s.put(row("a", 1))
		reader := NewTable("t", nil)
		p.table.Store(reader)
		go (&Follower{Table: table, Store: s, Peers: p, Events: &events{}, Wait: time.Second, LongWait: 20 * time.Second, FollowPeers: true,
			UsesShortWait: func() bool { return false }}).Run(ctx)
		time.Sleep(200 * time.Millisecond)
		s.mu.Lock()
		before := s.calls
		s.mu.Unlock()
		for v := int64(2); v < 12; v++ {
			// The fake store does not answer a wait before its end.
			reader.Apply(Batch{Rows: []Row{row("a", v)}, Version: v, Full: true})
			time.Sleep(1200 * time.Millisecond)
			if got := table.Snapshot().Version; got != v {
				t.Errorf("1.2 s after version %d: %d", v, got)
			}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if n := s.calls - before; n > 1 {
			t.Errorf("%d calls of the store in 12 s", n)
		}
		cancel()
	})
}

// Guards against a copy that misses what changed while history was dropped.
func TestAFollowerReadsAllAfterLostHistory(t *testing.T) {
	follow(t, func(s *store, _ *peers, table *Table, _ *events) {
		s.mu.Lock()
		s.lost = true
		s.version, s.rows = 8, []Row{row("b", 7), row("c", 8)}
		s.mu.Unlock()
		time.Sleep(2 * time.Second)
		if got := keys(table.Snapshot()); got != "b7 c8 " {
			t.Errorf("copy %s", got)
		}
	})
}

// Pattern: a fleet of which most daemons do not read the store. They must not
// spend calls, hear of a change from those that do, and read the store themselves
// when it becomes their turn.
func TestADaemonThatDoesNotAskHearsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, p, table, watcher := &store{}, &peers{}, NewTable("t", nil), NewTable("t", nil)
		s.put(row("a", 1))
		p.table.Store(watcher)
		var asks atomic.Bool
		go (&Follower{Table: table, Store: s, Peers: p, Events: &events{}, Wait: time.Second, FollowPeers: true, ReadsStore: asks.Load}).Run(ctx)
		time.Sleep(100 * time.Millisecond)
		if got := keys(table.Snapshot()); got != "a1 " {
			t.Errorf("after the start: %s", got)
		}
		s.mu.Lock()
		before := s.calls
		s.mu.Unlock()
		for v := int64(2); v < 6; v++ {
			watcher.Apply(Batch{Rows: []Row{row("a", v)}, Version: v, Full: true})
			time.Sleep(300 * time.Millisecond)
			if got := table.Snapshot().Version; got != v {
				t.Errorf("0.3 s after version %d: %d", v, got)
			}
			// The store's version grows with other tables: nothing is new, and the next
			// change must not wait for that.
			watcher.Apply(Batch{Version: v})
			time.Sleep(time.Second)
		}
		s.mu.Lock()
		if n := s.calls - before; n != 0 {
			t.Errorf("%d calls of the store", n)
		}
		s.mu.Unlock()
		asks.Store(true)
		s.put(row("b", 9))
		time.Sleep(500 * time.Millisecond)
		if got := keys(table.Snapshot()); got != "a5 b9 " {
			t.Errorf("half a second after its turn came: %s", got)
		}
		cancel()
	})
}

// Guards against entries that lapsed in an outage and count as removed for a
// daemon that does not read the store, and against a grace without an outage.
func TestAnOutageIsToldWithTheRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p, table, watcher := &peers{}, NewTable("t", nil), NewTable("t", nil)
		p.table.Store(watcher)
		watcher.Apply(Batch{Rows: []Row{row("a", 1), row("b", 2)}, Version: 2, Full: true})
		table.Apply(watcher.ChangesSince(0))
		go (&Follower{Table: table, Store: &store{down: true}, Peers: p, Events: &events{}, Wait: time.Second, FollowPeers: true,
			ReadsStore: func() bool { return false }}).Run(ctx)
		watcher.Apply(Batch{Rows: []Row{{Key: "a", Version: 3, Deleted: true}}, Version: 3})
		time.Sleep(time.Second)
		if end := table.OutageEnd(time.Now()); keys(table.Snapshot()) != "b2 " || !end.IsZero() {
			t.Errorf("copy %s, an outage that ended at %v", keys(table.Snapshot()), end)
		}
		watcher.recoveredAt.Store(time.Now())
		back := time.Now()
		watcher.Apply(Batch{Rows: []Row{{Key: "b", Version: 4, Deleted: true}}, Version: 4})
		time.Sleep(time.Second)
		if end := table.OutageEnd(time.Now()); keys(table.Snapshot()) != "" || !end.Equal(back) {
			t.Errorf("copy %s, an outage that ended at %v, want %v", keys(table.Snapshot()), end, back)
		}
		cancel()
	})
}

// Guards against a daemon that learns of a change only when it has found all
// readers of the store to be lost: in a large fleet that takes as long as a
// configuration may take to be in force.
func TestADaemonThatHearsOfNoAnswerReadsTheStore(t *testing.T) {
	for name, asked := range map[string]bool{"has its rows from others": false, "waits long, on a silent call": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s, table := &store{}, NewTable("t", nil)
				s.put(row("a", 1))
				var alone, asks atomic.Bool
				asks.Store(asked)
				go (&Follower{Table: table, Store: s, Peers: &peers{}, Events: &events{}, Wait: time.Second, LongWait: 20 * time.Second, FollowPeers: true,
					ReadsStore: asks.Load, UsesShortWait: func() bool { return false }, NoRecentAnswer: alone.Load}).Run(ctx)
				time.Sleep(500 * time.Millisecond)
				// The fake store does not answer a wait before its end, so the change comes first.
				s.put(row("b", 2))
				alone.Store(true)
				time.Sleep(300 * time.Millisecond)
				if got := keys(table.Snapshot()); got != "a1 b2 " {
					t.Errorf("0.3 s after the daemon heard of no answer: %s", got)
				}
				// A store that is down for all is not pressed by all.
				s.mu.Lock()
				s.down, s.calls = true, 0
				s.mu.Unlock()
				asks.Store(false)
				time.Sleep(10 * time.Second)
				s.mu.Lock()
				if s.calls > 11 {
					t.Errorf("%d calls in 10 s of an outage", s.calls)
				}
				s.down = false
				s.mu.Unlock()
				alone.Store(false)
				time.Sleep(2 * time.Second)
				if !table.StoreOK() {
					t.Error("the outage goes on for a daemon that has its rows from others")
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// silent is a peer that says that it has a change and at first does not hand it
// over.
type silent struct {
	peers
	first int32
	pulls atomic.Int32
}

func (p *silent) Pull(ctx context.Context, table string, after int64) (Batch, error) {
	if p.pulls.Add(1) > p.first {
		return p.peers.Pull(ctx, table, after)
	}
	<-ctx.Done()
	return Batch{}, ctx.Err()
}

// Guards against a change that comes late because the daemon that was asked for it
// does not answer: another one may, or the store.
func TestASilentPeerDelaysAChangeLittle(t *testing.T) {
	for name, c := range map[string]struct {
		silent int32
		store  *store
	}{
		"the next one answers": {1, &store{down: true}},
		"the store answers":    {100, &store{version: 2, rows: []Row{row("a", 2)}}},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			p, table, watcher := &silent{first: c.silent}, NewTable("t", nil), NewTable("t", nil)
			table.Apply(Batch{Rows: []Row{row("a", 1)}, Version: 1, Full: true})
			watcher.Apply(Batch{Rows: []Row{row("a", 2)}, Version: 2, Full: true})
			p.table.Store(watcher)
			e := &events{}
			go (&Follower{Table: table, Store: c.store, Peers: p, Events: e, Wait: time.Second, FollowPeers: true,
				ReadsStore: func() bool { return false }}).Run(ctx)
			time.Sleep(time.Second)
			if got := table.Snapshot().Version; got != 2 || e.lost.Load() != 0 {
				t.Errorf("%s: version %d a second after the change, %d losses of the store told", name, got, e.lost.Load())
			}
			cancel()
			synctest.Wait()
		})
	}
}
