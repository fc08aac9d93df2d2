package mirror

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"eelgrassgrade/internal/core"
)

const (
	configTable, listTable = "config", "list"
	// simulatedLapse is when a restored entry that nobody writes again is removed.
	simulatedLapse = 3600 * time.Millisecond
	simulatedHold  = simulatedLapse + 1500*time.Millisecond
	// propagationTime is longer than a change takes to all daemons that are not cut off.
	propagationTime = 1500 * time.Millisecond
)

// newerNumber compares values that are numbers which their writer counts up.
func newerNumber(a, b []byte) bool {
	x, err := strconv.Atoi(string(a))
	if err != nil {
		return false
	}
	y, err := strconv.Atoi(string(b))
	return err != nil || x > y
}

// simulatedStore is a store that can be restored from any of its earlier states. owned
// holds what its writers have written last.
type simulatedStore struct {
	mu           sync.Mutex
	restorations int64
	version      int64
	history      map[string][]Row
	owned        map[string]map[string]Row
	changed      chan struct{}
	calls        int
	lastWrite    int
}

func newSimulatedStore() *simulatedStore {
	s := &simulatedStore{restorations: 1, history: map[string][]Row{}, owned: map[string]map[string]Row{configTable: {}, listTable: {}}, changed: make(chan struct{})}
	s.write(configTable, "config", false)
	for i := range 5 {
		s.write(listTable, fmt.Sprint("e", i), false)
	}
	return s
}

// write writes or deletes a row on behalf of its owner.
func (s *simulatedStore) write(table, key string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastWrite++
	r := Row{Key: key, Value: []byte(strconv.Itoa(s.lastWrite)), Deleted: deleted}
	if s.owned[table][key] = r; deleted {
		delete(s.owned[table], key)
	}
	s.append(table, r)
}

func (s *simulatedStore) append(table string, r Row) {
	s.version++
	r.Version = s.version
	s.history[table] = append(s.history[table], r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *simulatedStore) rows(table string) map[string]Row {
	rows := map[string]Row{}
	for _, r := range s.history[table] {
		if rows[r.Key] = r; r.Deleted {
			delete(rows, r.Key)
		}
	}
	return rows
}

// restore takes back the last writes.
func (s *simulatedStore) restore(writes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restorations++
	s.version = max(s.version-writes, 6)
	for table, h := range s.history {
		s.history[table] = slices.DeleteFunc(slices.Clone(h), func(r Row) bool { return r.Version > s.version })
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// writeAgain writes what the owners have and the store lost, and deletes entries of
// the list that have no owner.
func (s *simulatedStore) writeAgain(table string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := s.rows(table)
	for _, key := range slices.Sorted(maps.Keys(s.owned[table])) {
		if r := s.owned[table][key]; string(stored[key].Value) != string(r.Value) && !deleted {
			s.append(table, r)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(stored)) {
		if _, ok := s.owned[table][key]; !ok && deleted {
			s.append(table, Row{Key: key, Deleted: true})
		}
	}
}

func (s *simulatedStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *simulatedStore) position() core.CopyPosition {
	return core.CopyPosition{StoreRevision: core.StoreRevision{Restorations: s.restorations, Version: s.version}}
}

func (s *simulatedStore) Read(_ context.Context, table string) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return Batch{Rows: slices.Collect(maps.Values(s.rows(table))), Position: s.position()}, nil
}

func (s *simulatedStore) Changes(ctx context.Context, table string, after core.StoreRevision, wait time.Duration) (Batch, error) {
	end := time.After(wait)
	s.mu.Lock()
	s.calls++
	for {
		if after.Version > s.version {
			s.mu.Unlock()
			return Batch{}, ErrHistoryLost
		}
		b := Batch{Position: s.position()}
		for _, r := range s.history[table] {
			if r.Version > after.Version {
				b.Rows = append(b.Rows, r)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(b.Rows) > 0 {
			return b, nil
		}
		select {
		case <-changed:
		case <-end:
			return b, nil
		case <-ctx.Done():
			return b, ctx.Err()
		}
		s.mu.Lock()
	}
}

// simulatedDaemon is a daemon with its copies. A daemon in another group is cut off from
// it, and the store serves only group 0.
type simulatedDaemon struct {
	fleet  *simulatedFleet
	index  int
	group  int
	tables map[string]*Table
	stop   context.CancelFunc
}

type simulatedFleet struct {
	store *simulatedStore
	mu    sync.Mutex
	list  []*simulatedDaemon
}

// start starts a daemon, or starts one again that then knows nothing.
func (f *simulatedFleet) start(ctx context.Context, i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i < len(f.list) {
		f.list[i].stop()
	} else {
		f.list = append(f.list, nil)
	}
	ctx, cancel := context.WithCancel(ctx)
	d := &simulatedDaemon{fleet: f, index: i, stop: cancel, tables: map[string]*Table{configTable: NewTable(configTable, nil), listTable: NewTable(listTable, nil)}}
	d.tables[configTable].SetRestorePolicy(RestorePolicy{Newer: newerNumber, Permanent: true})
	d.tables[listTable].SetRestorePolicy(RestorePolicy{Newer: newerNumber, HoldFor: simulatedHold})
	f.list[i] = d
	for _, t := range d.tables {
		const readers = 8
		go (&Follower{Table: t, Store: d, Peers: d, Events: &events{}, Wait: time.Second, LongWait: 5 * time.Second, FollowPeers: true,
			ReadsStore: func() bool { return i < readers }, UsesShortWait: func() bool { return i < 2 }}).Run(ctx)
	}
}

func (f *simulatedFleet) setGroup(i, group int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list[i].group = group
}

func (d *simulatedDaemon) cutFromStore() bool {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	return d.group != 0
}

func (d *simulatedDaemon) Read(ctx context.Context, table string) (Batch, error) {
	if d.cutFromStore() {
		return Batch{}, errors.New("cut off")
	}
	return d.fleet.store.Read(ctx, table)
}

func (d *simulatedDaemon) Changes(ctx context.Context, table string, after core.StoreRevision, wait time.Duration) (Batch, error) {
	if d.cutFromStore() {
		return Batch{}, errors.New("cut off")
	}
	return d.fleet.store.Changes(ctx, table, after, wait)
}

// newest returns the daemon with the newest copy among those that d reaches.
func (d *simulatedDaemon) newest(table string) *Table {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	var best *Table
	for _, o := range d.fleet.list {
		if t := o.tables[table]; o != d && o.group == d.group && (best == nil || t.Snapshot().LastChange.Compare(best.Snapshot().LastChange) > 0) {
			best = t
		}
	}
	return best
}

func (d *simulatedDaemon) Newest(table string) core.CopyPosition {
	if t := d.newest(table); t != nil {
		return t.Snapshot().LastChange
	}
	return core.CopyPosition{}
}

func (d *simulatedDaemon) Pull(_ context.Context, table string, after core.CopyPosition) (Batch, error) {
	time.Sleep(10 * time.Millisecond)
	if t := d.newest(table); t != nil {
		return t.ChangesSince(after), nil
	}
	return Batch{}, errors.New("no peer")
}

// value returns a daemon's value of a row, 0 if it has none.
func (f *simulatedFleet) value(i int, table, key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return number(f.list[i].tables[table].Snapshot().Rows[key])
}

// number returns the number that a row holds, 0 if there is no row.
func number(r Row) int {
	n, err := strconv.Atoi(string(r.Value))
	if err != nil {
		return 0
	}
	return n
}

// connected reports whether no daemon is cut off.
func (f *simulatedFleet) connected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(f.list, func(d *simulatedDaemon) bool { return d.group != 0 })
}

// takenBack returns a configuration or a deletion that a restoration of the store has taken
// back on a daemon of a connected fleet. config is the configuration that was in force.
func (f *simulatedFleet) takenBack(config int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	for _, d := range f.list {
		if got := number(d.tables[configTable].Snapshot().Rows["config"]); got < config {
			return fmt.Sprintf("daemon %d has configuration %d, %d was in force", d.index, got, config)
		}
		for key, r := range d.tables[listTable].Snapshot().Rows {
			if _, ok := f.store.owned[listTable][key]; !ok {
				return fmt.Sprintf("daemon %d has the entry %s of %s, which had left", d.index, r.Value, key)
			}
		}
	}
	return ""
}

// differences compares the copies with the store.
func (f *simulatedFleet) differences() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, table := range []string{configTable, listTable} {
		f.store.mu.Lock()
		want := f.store.rows(table)
		f.store.mu.Unlock()
		for _, d := range f.list {
			got := d.tables[table].Snapshot()
			same := maps.EqualFunc(got.Rows, want, func(a, b Row) bool { return string(a.Value) == string(b.Value) })
			if !same || d.tables[table].Held() > 0 {
				return fmt.Sprintf("daemon %d at %+v has %s %v (%d held), the store has %v", d.index, got.Position, table, values(got.Rows), d.tables[table].Held(), values(want))
			}
		}
	}
	return ""
}

func values(rows map[string]Row) map[string]string {
	v := map[string]string{}
	for k, r := range rows {
		v[k] = string(r.Value)
	}
	return v
}

// drawSimulation draws a fleet and a series of writes, restorations, cuts and restarts.
// It returns the first fault.
func drawSimulation(t *testing.T, rt *rapid.T, sizes []int, steps int) (fault string) {
	n := rapid.SampledFrom(sizes).Draw(rt, "daemons")
	type step struct{ kind, a, b, ms int }
	drawn := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{rapid.IntRange(0, 9).Draw(rt, "kind"), rapid.IntRange(0, 1000).Draw(rt, "a"), rapid.IntRange(0, 1000).Draw(rt, "b"), rapid.IntRange(0, 1500).Draw(rt, "ms")}
	}), 1, steps).Draw(rt, "steps")
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &simulatedFleet{store: newSimulatedStore()}
		for i := range n {
			f.start(ctx, i)
		}
		time.Sleep(time.Second)
		inForce := make([]int, n)
		check := func(what string) {
			for i := range n {
				v := f.value(i, configTable, "config")
				if v < inForce[i] && fault == "" {
					fault = fmt.Sprintf("%s: daemon %d goes back from configuration %d to %d", what, i, inForce[i], v)
				}
				inForce[i] = max(inForce[i], v)
			}
		}
		for _, s := range drawn {
			switch s.kind {
			case 0, 1:
				f.store.write(configTable, "config", false)
			case 2, 3, 4:
				f.store.write(listTable, fmt.Sprint("e", s.a%8), s.b%3 == 0)
			case 5, 6:
				connected := f.connected()
				if connected {
					time.Sleep(propagationTime)
				}
				config := f.value(0, configTable, "config")
				f.store.restore(int64(s.a % 8))
				time.Sleep(time.Duration(s.ms) * time.Millisecond)
				check("before the second writing")
				if s.b%3 == 0 && n > 1 {
					f.start(ctx, s.b%n)
					inForce[s.b%n] = 0
				}
				time.Sleep(propagationTime)
				if connected && fault == "" {
					fault = f.takenBack(config)
				}
				f.store.writeAgain(configTable, false)
				f.store.writeAgain(listTable, false)
				if s.b%2 == 0 {
					time.Sleep(simulatedLapse)
				}
				f.store.writeAgain(listTable, true)
			case 7:
				for i := range n {
					if (i+s.a)%2 == 0 {
						f.setGroup(i, s.b%2)
					}
				}
			case 8:
				f.setGroup(s.a%n, 0)
			case 9:
				i := s.a % n
				f.start(ctx, i)
				inForce[i] = 0
			}
			time.Sleep(time.Duration(s.ms) * time.Millisecond)
			check(fmt.Sprintf("step %+v", s))
		}
		for i := range n {
			f.setGroup(i, 0)
		}
		f.store.writeAgain(configTable, false)
		f.store.writeAgain(listTable, false)
		f.store.writeAgain(listTable, true)
		time.Sleep(simulatedHold + 8*time.Second)
		check("at the end")
		if fault == "" {
			fault = f.differences()
		}
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
	return fault
}

// Guards against copies that differ from the store after it was restored, and against a
// configuration that goes back on a running daemon: for any series of writes,
// restorations, cuts and restarts, with a few daemons.
func TestCopiesFollowRestorations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if fault := drawSimulation(t, rt, []int{1, 2, 3, 8, 12}, 25); fault != "" {
			rt.Fatal(fault)
		}
	})
}

// Guards against a large fleet in which some daemons do not follow a restoration, and
// against more calls to the store after it than before: 330 daemons, of which eight read
// the store, two restorations in a row, the second while half of the daemons are cut off
// from the store and from the others.
func TestLargeFleetsFollowRestorations(t *testing.T) {
	for _, n := range []int{40, 330} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			f := &simulatedFleet{store: newSimulatedStore()}
			for i := range n {
				f.start(ctx, i)
			}
			time.Sleep(propagationTime)
			f.store.write(configTable, "config", false)
			f.store.write(listTable, "e1", true)
			time.Sleep(propagationTime)
			config := f.value(0, configTable, "config")
			f.store.restore(2)
			before := f.store.callCount()
			time.Sleep(propagationTime)
			if fault := f.takenBack(config); fault != "" {
				t.Errorf("%d daemons, after the first restoration: %s", n, fault)
			}
			// Eight readers of two tables ask every 0.1 s at most.
			calls := f.store.callCount() - before
			t.Logf("%d daemons: %d calls to the store in %v after a restoration", n, calls, propagationTime)
			if calls > 16*15 {
				t.Errorf("%d daemons: %d calls to the store in %v after a restoration", n, calls, propagationTime)
			}
			f.store.writeAgain(configTable, false)
			f.store.writeAgain(listTable, true)
			time.Sleep(propagationTime)
			f.store.write(configTable, "config", false)
			for i := 0; i < n; i += 2 {
				f.setGroup(i, 1)
			}
			f.store.write(listTable, "e2", true)
			time.Sleep(propagationTime)
			f.store.restore(2)
			time.Sleep(propagationTime)
			for i := 0; i < n; i += 2 {
				f.setGroup(i, 0)
			}
			time.Sleep(propagationTime)
			if fault := f.takenBack(config + 2); fault != "" {
				t.Errorf("%d daemons, after the second restoration: %s", n, fault)
			}
			f.store.writeAgain(configTable, false)
			f.store.writeAgain(listTable, true)
			time.Sleep(propagationTime + simulatedHold)
			if fault := f.differences(); fault != "" {
				t.Error(fault)
			}
			cancel()
			time.Sleep(time.Second)
			synctest.Wait()
		})
	}
}
