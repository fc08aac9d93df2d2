package permits

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"eelgrassgrade/internal/app/endpoints"
	"eelgrassgrade/internal/app/fleet"
	"eelgrassgrade/internal/core"
	"eelgrassgrade/internal/decide/coldstart"
	"eelgrassgrade/internal/decide/ratelimit"
)

// The platform's bound, see platform/limits_test.go.
const (
	boundFactor  = 1.5
	boundSlack   = 5
	boundNotice  = 500 * time.Millisecond
	boundContact = 3 * time.Second
	// messageDelay is the time of a message between two daemons.
	messageDelay = 5 * time.Millisecond
	// exchangePeriod is the time between two statuses that a daemon sends to all others.
	exchangePeriod = 300 * time.Millisecond
)

// testFleet is a number of daemons before one endpoint. Each has its own view of the
// others.
type testFleet struct {
	t     *testing.T
	entry endpoints.Entry
	view  *endpoints.View

	mu sync.Mutex
	// limit is what the endpoint's answers name.
	limit float64
	// cold is the configuration of the endpoint's pool.
	cold     coldstart.Pool
	arrivals []time.Time
	refused  int
	messages int
	daemons  []*testDaemon
}

type testDaemon struct {
	fleet    *testFleet
	member   fleet.Member
	registry atomic.Pointer[Registry]
	joined   chan struct{}
	// alive holds the indexes of the daemons that this one counts as live, and cut those
	// that it does not reach.
	alive []int
	cut   map[int]bool
	down  bool
}

// newTestFleet returns n daemons that all know each other. It must be called within a
// synctest bubble.
func newTestFleet(t *testing.T, n int) *testFleet {
	f := &testFleet{t: t, limit: ratelimit.Unlimited, entry: endpoints.Entry{Endpoint: core.Endpoint{ID: "e", Address: "e", DataCenter: "dc0"}, StartedMs: 1}}
	f.view = &endpoints.View{ByID: map[core.InstanceID]endpoints.Entry{"e": f.entry}}
	for i := range n {
		d := &testDaemon{fleet: f, member: fleet.Member{ID: core.InstanceID(fmt.Sprint("d", i)), Address: fmt.Sprint(i), DataCenter: core.DataCenterID(fmt.Sprint("dc", i%3)), GrantsPermits: true}, cut: map[int]bool{}}
		f.daemons = append(f.daemons, d)
		d.start()
	}
	for _, d := range f.daemons {
		for i := range n {
			d.alive = append(d.alive, i)
		}
	}
	return f
}

// start gives a daemon an empty registry.
func (d *testDaemon) start() {
	d.joined = make(chan struct{})
	close(d.joined)
	d.registry.Store(NewRegistry(Options{Self: d.member.ID, View: func() *endpoints.View { return d.fleet.view }, Fleet: d.fleetView,
		Joined: func() <-chan struct{} { return d.joined }, DaemonCount: func() int { return len(d.fleet.daemons) }, Grantors: d, Events: discardEvents{}, Now: time.Now,
		ColdOptions: ColdOptions{Pool: func(core.PoolID) coldstart.Pool { return d.fleet.cold }, Allowance: testAllowance, DaemonCount: func() int { return len(d.fleet.daemons) }}}))
	d.registry.Load().ObserveList([]endpoints.Entry{d.fleet.entry})
}

type discardEvents struct{}

func (discardEvents) LimitChanged(Change)                     {}
func (discardEvents) LimitUnreadable(core.InstanceID, string) {}
func (discardEvents) PermitDecided(Decision)                  {}
func (discardEvents) ColdObserved(ColdChange)                 {}
func (discardEvents) ColdUnreadable(core.InstanceID, string)  {}

func (d *testDaemon) fleetView() *fleet.View {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	v := &fleet.View{}
	for _, i := range d.alive {
		v.Alive = append(v.Alive, d.fleet.daemons[i].member)
	}
	return v
}

// reaches returns the daemon with an index, or nil if d does not reach it.
func (d *testDaemon) reaches(i int) *testDaemon {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	d.fleet.messages++
	if other := d.fleet.daemons[i]; !d.cut[i] && !other.down {
		return other
	}
	return nil
}

// RequestPermit implements Grantors.
func (d *testDaemon) RequestPermit(ctx context.Context, address string, r *Request) (*Reply, error) {
	var i int
	if _, err := fmt.Sscan(address, &i); err != nil {
		return nil, err
	}
	other := d.reaches(i)
	if other == nil {
		<-ctx.Done()
		return nil, errors.New("no answer")
	}
	time.Sleep(messageDelay)
	reply := other.registry.Load().HandlePermit(r)
	time.Sleep(messageDelay)
	return reply, ctx.Err()
}

// tellOthers sends the limits that a daemon knows to the others.
func (d *testDaemon) tellOthers() {
	list, _ := d.registry.Load().Reported()
	if len(list) == 0 {
		return
	}
	for i := range d.fleet.daemons {
		if other := d.reaches(i); other != nil && other != d {
			other.registry.Load().MergeReported(d.member.ID, list)
		}
	}
}

// send sends the endpoint a request if it may be sent.
func (d *testDaemon) send() {
	if d.fleet.isDown(d) {
		return
	}
	if !d.registry.Load().Acquire(context.Background(), d.fleet.entry, 0, "r") {
		d.fleet.mu.Lock()
		d.fleet.refused++
		d.fleet.mu.Unlock()
		return
	}
	d.registry.Load().RecordSend(d.fleet.entry.Endpoint)
	sentAt := time.Now()
	time.Sleep(messageDelay)
	d.fleet.mu.Lock()
	d.fleet.arrivals = append(d.fleet.arrivals, time.Now())
	limit := d.fleet.limit
	d.fleet.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	d.registry.Load().Observe(d.fleet.entry.Endpoint, ratelimit.Observation{PerSecond: limit, SentAt: sentAt, ReceivedAt: time.Now()})
}

func (f *testFleet) isDown(d *testDaemon) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return d.down
}

func (f *testFleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// run lets each daemon send perSecond requests a second, at random times, for a while.
func (f *testFleet) run(duration time.Duration, perSecond float64) {
	end := time.Now().Add(duration)
	var all sync.WaitGroup
	for i, d := range f.daemons {
		all.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(i)))
			for time.Now().Before(end) {
				time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
				go d.send()
			}
		})
		all.Go(func() {
			time.Sleep(time.Duration(i) * exchangePeriod / time.Duration(len(f.daemons)))
			for time.Now().Before(end) {
				if !f.isDown(d) {
					d.tellOthers()
				}
				time.Sleep(exchangePeriod)
			}
		})
	}
	all.Wait()
	time.Sleep(time.Second)
	synctest.Wait()
}

// arrivalsBetween returns the number of arrivals in a period.
func (f *testFleet) arrivalsBetween(from, to time.Time) int {
	n := 0
	for _, at := range f.arrivals {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

// checkBound fails the test if a window after since holds more arrivals than the limit
// allows, and returns the most in any window.
func (f *testFleet) checkBound(since time.Time, perSecond float64) int {
	f.t.Helper()
	most := 0
	for _, at := range f.arrivals {
		if from := at.Add(-ratelimit.Window); !at.Before(since.Add(boundContact)) {
			if from.Before(since.Add(boundNotice)) {
				from = since.Add(boundNotice)
			}
			most = max(most, f.arrivalsBetween(from, at))
		}
	}
	if allowed := int(boundFactor*perSecond*ratelimit.Window.Seconds()) + boundSlack; most > allowed {
		f.t.Errorf("%d requests in %v at a limit of %v a second, allowed %d", most, ratelimit.Window, perSecond, allowed)
	}
	return most
}

// inFleet runs a test with n daemons in a synctest bubble.
func inFleet(t *testing.T, n int, test func(f *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(newTestFleet(t, n)) })
}

// Guards against a limit that each daemon keeps by itself, so that the endpoint gets a
// multiple of it, and against a limit of which a part stays unused.
func TestDaemonsKeepALimitTogether(t *testing.T) {
	for _, c := range []struct {
		daemons int
		limit   float64
	}{{1, 1}, {8, 0.4}, {8, 1}, {8, 12}, {62, 3}, {195, 1}, {330, 20}} {
		t.Run(fmt.Sprint(c.daemons, " daemons, ", c.limit, " a second"), func(t *testing.T) {
			inFleet(t, c.daemons, func(f *testFleet) {
				f.limit = c.limit
				began := time.Now()
				const seconds = 20
				demand := max(3*c.limit/float64(c.daemons), 0.5)
				f.run(seconds*time.Second, demand)
				most := f.checkBound(began, c.limit)
				served := f.arrivalsBetween(began.Add(5*time.Second), began.Add(seconds*time.Second))
				if want := 0.6 * c.limit * (seconds - 5); float64(served) < want {
					t.Errorf("%d requests in %d s, want %.0f or more of the %.0f that the endpoint takes", served, seconds-5, want, c.limit*(seconds-5))
				}
				t.Logf("at most %d in %v, %d served in %d s, %d refused, %d messages", most, ratelimit.Window, served, seconds-5, f.refused, f.messages)
			})
		})
	}
}

// grantorChanges are ways in which the grantor restarts, is lost or returns while the
// others notice at different times.
var grantorChanges = map[string]func(f *testFleet, grantor int){
	"lost": func(f *testFleet, grantor int) {
		f.set(func() { f.daemons[grantor].down = true })
		f.notice(grantor, false)
	},
	"restarted": func(f *testFleet, grantor int) {
		f.set(func() { f.daemons[grantor].down = true })
		time.Sleep(500 * time.Millisecond)
		f.daemons[grantor].start()
		f.set(func() { f.daemons[grantor].down = false })
	},
	"lost and back": func(f *testFleet, grantor int) {
		f.set(func() { f.daemons[grantor].down = true })
		f.notice(grantor, false)
		time.Sleep(2 * time.Second)
		f.daemons[grantor].start()
		f.set(func() { f.daemons[grantor].down = false })
		f.notice(grantor, true)
	},
	"lost to one daemon only": func(f *testFleet, grantor int) {
		other := (grantor + 1) % len(f.daemons)
		f.set(func() {
			f.daemons[other].cut[grantor] = true
			f.daemons[other].alive = without(f.daemons[other].alive, grantor)
		})
	},
}

// Guards against two daemons that grant permits for one endpoint at once, or none that
// does, while the grantor changes.
func TestTheLimitHoldsWhileTheGrantorChanges(t *testing.T) {
	for name, event := range grantorChanges {
		t.Run(name, func(t *testing.T) {
			inFleet(t, 8, func(f *testFleet) {
				const limit = 10
				f.limit = limit
				began := time.Now()
				go f.changeGrantor(event)
				f.run(25*time.Second, 5)
				f.checkBound(began, limit)
				if n := f.arrivalsBetween(began.Add(13*time.Second), began.Add(25*time.Second)); n < 60 {
					t.Errorf("%d requests in the last 12 s, want half of the limit or more", n)
				}
			})
		})
	}
}

// changeGrantor lets an event happen to the grantor after six seconds.
func (f *testFleet) changeGrantor(event func(f *testFleet, grantor int)) {
	time.Sleep(6 * time.Second)
	m, _ := f.daemons[0].registry.Load().grantor(f.entry)
	event(f, slices.IndexFunc(f.daemons, func(d *testDaemon) bool { return d.member.ID == m.ID }))
}

// notice lets the other daemons count a daemon as lost or live, one after the other within
// two seconds.
func (f *testFleet) notice(i int, alive bool) {
	for j, d := range f.daemons {
		if j == i {
			continue
		}
		time.Sleep(2 * time.Second / time.Duration(len(f.daemons)))
		f.set(func() {
			d.alive = without(d.alive, i)
			if alive {
				d.alive = append(d.alive, i)
				slices.Sort(d.alive)
			}
		})
	}
}

func without(list []int, i int) []int {
	return slices.DeleteFunc(slices.Clone(list), func(x int) bool { return x == i })
}

// cutInto cuts the fleet into parts, given by the part of each daemon. The caller holds mu.
func (f *testFleet) cutInto(part func(i int) int) {
	for i, d := range f.daemons {
		d.alive = nil
		for j := range f.daemons {
			if part(i) == part(j) {
				d.alive = append(d.alive, j)
			} else {
				d.cut[j] = true
			}
		}
	}
}

// Guards against both sides of a partition that take the whole limit each.
func TestBothSidesOfAPartitionShareTheLimit(t *testing.T) {
	inFleet(t, 8, func(f *testFleet) {
		const limit = 10
		f.limit = limit
		began := time.Now()
		go func() {
			time.Sleep(5 * time.Second)
			f.set(func() { f.cutInto(func(i int) int { return min(i/3, 1) }) })
		}()
		f.run(25*time.Second, 5)
		f.checkBound(began, limit)
		if n := f.arrivalsBetween(began.Add(10*time.Second), began.Add(25*time.Second)); n > 1.1*limit*15 || n < 0.8*limit*15 {
			t.Errorf("%d requests in 15 s from both sides, want about %d", n, limit*15)
		}
	})
}

// Guards against the traffic before a limit was known that meets the first permits in one
// window, against daemons that go on without permits because they were not told, and
// against an endpoint that gets nothing for long because of that traffic.
func TestTrafficBeforeTheLimitCounts(t *testing.T) {
	inFleet(t, 8, func(f *testFleet) {
		const limit = 1
		var named time.Time
		go func() {
			time.Sleep(5 * time.Second)
			f.set(func() { f.limit = limit })
			named = time.Now()
		}()
		// 2.8 requests a second before the limit.
		f.run(15*time.Second, 0.35)
		// Here arrivals from before a daemon was told count as well.
		allowed := int(boundFactor*limit*ratelimit.Window.Seconds()) + boundSlack
		for _, at := range f.arrivals {
			if n := f.arrivalsBetween(at.Add(-ratelimit.Window), at); !at.Before(named.Add(boundContact)) && n > allowed {
				t.Errorf("%d requests in %v at a limit of %v a second, allowed %d", n, ratelimit.Window, limit, allowed)
			}
		}
		if n := f.arrivalsBetween(named.Add(time.Second), named.Add(4*time.Second)); n < 2 || n > 4 {
			t.Errorf("%d requests from 1 to 4 s after a limit of 1 a second was named, at 2.8 a second before", n)
		}
		if n := f.arrivalsBetween(named.Add(4*time.Second), named.Add(10*time.Second)); n < 5 {
			t.Errorf("%d requests in 6 s at a limit of 1 a second", n)
		}
	})
}

// Guards against a limit that some daemons keep after the endpoint has ceased to name it
// or has raised it, and against one that they learn of late when it is lowered.
func TestDaemonsLearnOfChanges(t *testing.T) {
	inFleet(t, 8, func(f *testFleet) {
		f.limit = 20
		go func() {
			for _, limit := range []float64{2, 40, ratelimit.Unlimited} {
				time.Sleep(8 * time.Second)
				f.set(func() { f.limit = limit })
			}
		}()
		began := time.Now()
		f.run(32*time.Second, 10)
		for _, c := range []struct{ from, to, least, most int }{{3, 8, 60, 130}, {10, 16, 8, 20}, {20, 24, 90, 210}, {26, 32, 360, 600}} {
			n := f.arrivalsBetween(began.Add(time.Duration(c.from)*time.Second), began.Add(time.Duration(c.to)*time.Second))
			if n < c.least || n > c.most {
				t.Errorf("%d requests from %d to %d s, want %d to %d", n, c.from, c.to, c.least, c.most)
			}
		}
	})
}

// Guards against a daemon of an earlier version, which grants no permits, that is asked
// for them, and against permits for its part of the limit, which it uses without any.
func TestEarlierVersionsGrantNoPermits(t *testing.T) {
	inFleet(t, 4, func(f *testFleet) {
		f.limit = 5
		first, _ := f.daemons[0].registry.Load().grantor(f.entry)
		for _, d := range f.daemons {
			if d.member.ID == first.ID {
				d.member.GrantsPermits = false
				d.down = true
			}
		}
		began := time.Now()
		f.run(15*time.Second, 5)
		f.checkBound(began, 5)
		if n := f.arrivalsBetween(began.Add(3*time.Second), began.Add(15*time.Second)); n < 40 || n > 47 {
			t.Errorf("%d requests in 12 s, want the 45 of three of four daemons at a limit of 5 a second", n)
		}
	})
}

// Guards against a daemon that has just started and takes itself for the only one.
func TestADaemonThatKnowsNobodyGrantsNothing(t *testing.T) {
	inFleet(t, 8, func(f *testFleet) {
		d := f.daemons[0]
		d.joined = make(chan struct{})
		d.alive = []int{0}
		now := time.Now()
		d.registry.Load().Observe(f.entry.Endpoint, ratelimit.Observation{PerSecond: 100, SentAt: now, ReceivedAt: now})
		time.Sleep(time.Second)
		if d.registry.Load().Acquire(f.t.Context(), f.entry, 0, "r") {
			t.Error("a daemon that has not joined the fleet got a permit")
		}
		close(d.joined)
		time.Sleep(time.Second)
		granted := 0
		for range 400 {
			if d.registry.Load().Acquire(f.t.Context(), f.entry, 0, "r") {
				granted++
			}
			time.Sleep(10 * time.Millisecond)
		}
		if granted > 60 || granted < 45 {
			t.Errorf("a daemon that reaches none of the seven others granted %d permits in 4 s, want its eighth of 400", granted)
		}
	})
}

// Guards against requests that wait for a lost grantor again and again, since one daemon
// grants the permits for many endpoints.
func TestALostGrantorIsNotWaitedForAgain(t *testing.T) {
	inFleet(t, 2, func(f *testFleet) {
		d, lost := f.daemons[0].registry.Load(), f.daemons[1]
		f.set(func() { lost.down = true })
		now := time.Now()
		var entries []endpoints.Entry
		for i := range 20 {
			e := endpoints.Entry{Endpoint: core.Endpoint{ID: core.InstanceID(fmt.Sprint("x", i))}}
			f.view.ByID[e.ID] = e
			d.Observe(e.Endpoint, ratelimit.Observation{PerSecond: 5, SentAt: now, ReceivedAt: now})
			if g, _ := d.grantor(e); g.ID == lost.member.ID {
				entries = append(entries, e)
			}
		}
		for _, e := range entries {
			if d.Acquire(f.t.Context(), e, 0, "r") {
				t.Errorf("%s: a permit without its grantor", e.ID)
			}
		}
		if took := time.Since(now); len(entries) < 5 || took != permitTimeout {
			t.Errorf("%d requests for permits took %v, want one timeout of %v", len(entries), took, permitTimeout)
		}
		f.set(func() { lost.down = false })
		time.Sleep(grantorRetry + time.Second)
		granted := 0
		for range 20 {
			for _, e := range entries {
				if d.Acquire(f.t.Context(), e, 0, "r") {
					granted++
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		if granted == 0 {
			t.Error("no permits after the grantor is back")
		}
	})
}

// Guards against a request that ends while it waits for a permit and keeps other requests
// from the endpoint.
func TestAnEndedRequestBlocksNoOthers(t *testing.T) {
	inFleet(t, 2, func(f *testFleet) {
		f.limit = 100
		f.run(3*time.Second, 5)
		grantor, _ := f.daemons[0].registry.Load().grantor(f.entry)
		for _, d := range f.daemons {
			if d.member.ID == grantor.ID {
				continue
			}
			r := d.registry.Load()
			ctx, cancel := context.WithTimeout(f.t.Context(), messageDelay)
			if r.Acquire(ctx, f.entry, 0, "r") {
				t.Error("a permit before the grantor can have answered")
			}
			cancel()
			if r.Now().Before(r.BlockedUntil(f.entry, 0)) || !r.Acquire(f.t.Context(), f.entry, 0, "r") {
				t.Error("the next request gets no permit")
			}
		}
	})
}

// Guards against a stopping daemon that refuses its last requests for lack of a grantor
// although no other daemon exists, and against one that grants while others may as well.
func TestALeavingDaemonGrantsOnlyIfAlone(t *testing.T) {
	for daemons, want := range map[int]bool{1: true, 2: false} {
		inFleet(t, daemons, func(f *testFleet) {
			d := f.daemons[0]
			d.registry.Load().Observe(f.entry.Endpoint, ratelimit.Observation{PerSecond: 1, SentAt: time.Now(), ReceivedAt: time.Now()})
			f.set(func() { d.alive = nil })
			granted := false
			for range 50 {
				time.Sleep(100 * time.Millisecond)
				granted = granted || d.registry.Load().Acquire(t.Context(), f.entry, 0, "r")
			}
			if granted != want {
				t.Errorf("one of %d daemons, leaving, without others in its view: granted %t, want %t", daemons, granted, want)
			}
		})
	}
}
