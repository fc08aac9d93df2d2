package fleetrpc

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/app/mirror"
	"eelgrassgrade/internal/app/stagework"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/catalog"
)

type noEvents struct{}

func (noEvents) PeerAlive(fleet.Member)                                                           {}
func (noEvents) PeerLost(fleet.Member, time.Duration)                                             {}
func (noEvents) CallStarted(core.PoolID, core.InstanceID, []stagework.Piece, int, float64)        {}
func (noEvents) CallEnded(core.PoolID, core.InstanceID, int, time.Duration, time.Duration, error) {}
func (noEvents) TaskEnded(*stagework.Task, string, time.Duration, error)                          {}
func (noEvents) PieceRepeated(*stagework.Task, string, bool)                                      {}
func (noEvents) EndpointHealth(core.PoolID, core.InstanceID, bool, string)                        {}
func (noEvents) Request(core.PoolID, int)                                                         {}
func (noEvents) Take(core.PoolID, int) bool                                                       { return true }
func (noEvents) TakeSpare(core.PoolID, int) bool                                                  { return true }
func (noEvents) FreeResults(context.Context, core.Endpoint, []string) error                       { return nil }

func (noEvents) RunPieces(_ context.Context, e core.Endpoint, pieces []stagework.Piece) ([]stagework.Outcome, error) {
	out := make([]stagework.Outcome, len(pieces))
	for i, p := range pieces {
		out[i].Handle = string(e.ID) + "/" + string(p.Request) + "/" + p.Key
	}
	return out, nil
}

func noRest(endpoints.Entry) time.Time { return time.Time{} }

type daemon struct {
	address string
	fleet   *fleet.Fleet
	table   *mirror.Table
	coord   *stagework.Coordinator
	seen    chan *fleet.Status
	stop    atomic.Bool
}

func serve(t *testing.T) *daemon {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &daemon{address: l.Addr().String(), table: mirror.NewTable("t", nil), seen: make(chan *fleet.Status, 9)}
	d.coord = stagework.NewCoordinator(t.Context(), noEvents{}, noRest, noEvents{}, noEvents{}, time.Now)
	f := fleet.New(fleet.Options{Self: fleet.Member{ID: "d", Address: d.address}, Events: noEvents{}, Now: time.Now,
		Source: func() *fleet.Status { return &fleet.Status{Tables: map[string]int64{"t": 7}} }, OnStatus: func(s *fleet.Status) { d.seen <- s }})
	d.fleet = f
	s := NewServer(f, []*mirror.Table{d.table}, d.coord, time.Now, d.stop.Load)
	go func() {
		if err := s.Serve(l); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(s.Stop)
	return d
}

// Guards against what one daemon tells another arriving changed.
func TestStatusArrivesWhole(t *testing.T) {
	d, c := serve(t), NewClient(time.Now)
	sent := &fleet.Status{Member: fleet.Member{ID: "me", Address: "a:1", DataCenter: "x", Millicores: 192}, Incarnation: 5, Leaving: true, Tables: map[string]int64{"t": 3},
		Loads: []fleet.EndpointLoad{{Endpoint: "e", Running: 2, PrefillTokens: 9000, Failing: true}}, Waits: []fleet.GroupWait{{StageGroup: fleet.StageGroup{Pool: "p", Group: 7}, Wait: []time.Duration{0, 1500 * time.Millisecond}}},
		Suspects: []fleet.Suspect{{Fingerprint: 1 << 63, Crashes: 2}}, Known: []fleet.Member{{ID: "o", Address: "b:2", DataCenter: "y"}},
		StoreAnswered: time.Now().Add(-time.Minute)}
	reply, err := c.Exchange(t.Context(), d.address, sent)
	if err != nil || reply.Member.ID != "d" || reply.Tables["t"] != 7 {
		t.Fatalf("reply %+v, %v", reply, err)
	}
	got := <-d.seen
	if ago := time.Since(got.StoreAnswered); ago < time.Minute || ago > time.Minute+10*time.Second {
		t.Errorf("the store answered %v ago, want a minute", ago)
	}
	got.StoreAnswered = sent.StoreAnswered
	if !reflect.DeepEqual(got, sent) {
		t.Errorf("arrived %+v", got)
	}
}

// Guards against an announced prompt that arrives changed.
func TestAnAnnouncementArrives(t *testing.T) {
	d, c := serve(t), NewClient(time.Now)
	if _, err := c.Exchange(t.Context(), d.address, &fleet.Status{Member: fleet.Member{ID: "me", Address: "a:1"}, Incarnation: 5}); err != nil {
		t.Fatal(err)
	}
	if err := c.Announce(t.Context(), d.address, fleet.Prefill{From: "a:1", Endpoint: "e", Tokens: 30_000, Remaining: time.Minute}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	if l := d.fleet.View().Loads["e"]; l.PrefillTokens != 30_000 || l.Running != 1 {
		t.Errorf("the receiver counts %+v", l)
	}
}

// Guards against copies of tables that miss rows or deletions on the way.
func TestPull(t *testing.T) {
	d, c := serve(t), NewClient(time.Now)
	d.table.Apply(mirror.Batch{Rows: []mirror.Row{{Key: "a", Value: []byte("x"), Version: 4}, {Key: "b", Version: 5}}, Version: 5, Full: true})
	d.table.Apply(mirror.Batch{Rows: []mirror.Row{{Key: "b", Version: 6, Deleted: true}}, Version: 6})
	all, err := c.Pull(t.Context(), d.address, "t", 0)
	if err != nil || !all.Full || all.Version != 6 || len(all.Rows) != 1 || string(all.Rows[0].Value) != "x" {
		t.Errorf("all: %+v, %v", all, err)
	}
	some, err := c.Pull(t.Context(), d.address, "t", 5)
	if err != nil || some.Full || len(some.Rows) != 1 || !some.Rows[0].Deleted {
		t.Errorf("since 5: %+v, %v", some, err)
	}
	if _, err := c.Pull(t.Context(), d.address, "other", 0); err == nil {
		t.Error("a table that is not mirrored is served")
	}
}

// Guards against a configuration that takes up the links of the daemons that hand
// it on: 80 of them had it from four, over 10 Mbit/s each, where it may take a
// second. The compressed form must come back as it was, for each version.
func TestALargeRowIsHandedOnCompressed(t *testing.T) {
	const daemons, holders, bytesPerS = 80, 4, 10e6 / 8
	config := func(version int) []byte {
		var b bytes.Buffer
		for i := range 1400 {
			fmt.Fprintf(&b, `{"name":"route-%d-%d","hostname":"h%x.example","prefix":"/r%d/","route-type":"safe","backend":"desk","timeout-ms":%d,"attempts":2},`,
				version, i, i*7919, i, 1000+i%7)
		}
		return b.Bytes()
	}
	p := newPacker()
	for version := 1; version <= 2; version++ {
		want := mirror.Row{Key: "config", Value: config(version), Version: int64(version)}
		for range 2 {
			sent := p.row("op", want)
			if limit := int(bytesPerS * holders / daemons); proto.Size(sent) > limit {
				t.Errorf("%d bytes of %d are sent, at most %d arrive everywhere in a second", proto.Size(sent), len(want.Value), limit)
			}
			if got, err := unpack(sent); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("version %d arrived as version %d with %d bytes, %v", version, got.Version, len(got.Value), err)
			}
		}
	}
	broken := p.row("op", mirror.Row{Key: "config", Value: config(3), Version: 3})
	broken.Value = broken.Value[:len(broken.Value)/2]
	if _, err := unpack(broken); err == nil {
		t.Error("half of a row is taken for the row")
	}
	broken.Compression = 9
	if _, err := unpack(broken); err == nil {
		t.Error("an unknown compression is taken for none")
	}
}

// Guards against results of another task, failures that lose what they prove,
// and daemons that take tasks while they stop.
func TestSubmit(t *testing.T) {
	d, c := serve(t), NewClient(time.Now)
	pool := &catalog.Pool{ID: "p", Batching: &catalog.Batching{MaxPieces: 4, CallTime: time.Millisecond, ResultCapacityBytes: 100, ResultTTL: time.Second}}
	d.coord.SetEndpoints(pool, 0, []endpoints.Entry{{Endpoint: core.Endpoint{ID: "m", Pool: "p", DataCenter: "x"}}})
	task := func() *stagework.Task {
		return &stagework.Task{Pool: "p", Request: "r", Pieces: 2, Key: "k", Start: time.Now().Add(time.Second), Deadline: time.Now().Add(5 * time.Second), ResultBytes: 10}
	}
	first := task()
	got, err := c.Submit(t.Context(), d.address, 0, first)
	if err != nil || len(got) != 2 || got[0] != (stagework.Result{Handle: "m/r/k", Endpoint: "m", DataCenter: "x"}) || !first.Started() {
		t.Errorf("results %+v, %v, started %t", got, err, first.Started())
	}
	if err := c.Release(t.Context(), d.address, "p", got); err != nil {
		t.Error(err)
	}
	late := task()
	late.Deadline = time.Now().Add(-time.Second)
	if _, err := c.Submit(t.Context(), d.address, 0, late); core.AsError(err, "").Ran != core.RanNot || core.AsError(err, "").Kind != core.DeadlineExceeded {
		t.Errorf("a late task: %v", err)
	}
	d.stop.Store(true)
	refused := task()
	_, err = c.Submit(t.Context(), d.address, 0, refused)
	if e := core.AsError(err, ""); e.Detail != stagework.LostCoordinator || e.Ran != core.RanNot || refused.Started() {
		t.Errorf("a stopping daemon: %v, started %t", err, refused.Started())
	}
	lost := task()
	_, err = c.Submit(t.Context(), "127.0.0.1:1", 0, lost)
	if e := core.AsError(err, ""); e.Detail != stagework.LostCoordinator || lost.Started() {
		t.Errorf("no daemon there: %v", err)
	}
}
