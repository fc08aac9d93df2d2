package once

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"eelgrassgrade/internal/core"
)

var (
	seedFlag = flag.Uint64("seed", 0, "seed of the history; 0 selects a random one")
	opsFlag  = flag.Int("ops", 2400, "number of requests in the history")
)

const (
	historyClients = 16
	historyDaemons = 8
)

// rng is a random source that is safe for concurrent use.
type rng struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newRNG(seed, stream uint64) *rng { return &rng{r: rand.New(rand.NewPCG(seed, stream))} }

func (r *rng) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.r.IntN(n)
}

func (r *rng) upTo(d time.Duration) time.Duration { return time.Duration(r.intN(int(d))) }

// tableFaults returns random faults for one daemon: 23 % of its calls are
// disturbed, and in 8 s of each minute all of them fail, so that in total one
// call in three is affected. There are no faults once healthy is set.
func tableFaults(r *rng, start time.Time, healthy *atomic.Bool) func(string, int) fault {
	phase := r.upTo(time.Minute)
	return func(string, int) fault {
		f := fault{before: r.upTo(10 * time.Millisecond), after: r.upTo(10 * time.Millisecond)}
		if healthy.Load() {
			return f
		}
		if (time.Since(start)+phase)%time.Minute < 8*time.Second {
			f.refused, f.requestLost = r.intN(2) == 0, true
			return f
		}
		switch r.intN(100) {
		case 0, 1, 2, 3, 4:
			f.responseLost = true
		case 5, 6, 7:
			f.requestLost = true
		case 8, 9, 10:
			f.requestLost, f.lateEffect = true, r.upTo(8*time.Second)
		case 11, 12, 13:
			f.refused = true
		case 14, 15, 16:
			f.before += r.upTo(2 * time.Second)
		case 17, 18:
			f.before += r.upTo(20 * time.Second)
		case 19, 20:
			f.after += r.upTo(20 * time.Second)
		case 21:
			f.killBefore = true
		case 22:
			f.killAfter = true
		}
		return f
	}
}

// serviceFaults returns a random behaviour for service.behave.
func serviceFaults(r *rng) func() (bool, time.Duration, error) {
	return func() (bool, time.Duration, error) {
		time.Sleep(r.upTo(100 * time.Millisecond))
		unknown := &core.Error{Kind: core.Upstream, Step: "ledger/append", Detail: "cut"}
		switch r.intN(20) {
		case 0:
			return true, 0, unknown
		case 1:
			return false, 0, unknown
		case 2:
			return true, r.upTo(20 * time.Second), unknown
		case 3, 4, 5, 6, 7:
			return false, 0, &core.Error{Kind: core.Upstream, Step: "ledger/append", Ran: core.RanNot, Detail: "refused"}
		}
		return true, 0, nil
	}
}

// operation is one request of the history. call and ret are the sequence
// numbers of its start and end.
type operation struct {
	key, id   string
	call, ret int64
	// reported is what the caller learned of the call: "ran", "replayed",
	// "not run", "ran before" or "unknown".
	reported, answer string
}

// runHistory runs random requests on several daemons and returns them with the
// effects at the service.
func runHistory(seed uint64, ops int) ([]operation, []effect) {
	var seq atomic.Int64
	var healthy atomic.Bool
	tick := func() int64 { return seq.Add(1) }
	st, svc := newStore(), &service{seq: tick, behave: serviceFaults(newRNG(seed, 1))}
	daemons, start := make([]*Once, historyDaemons), time.Now()
	for i := range daemons {
		r := newRNG(seed, uint64(100+i))
		daemons[i] = st.newDaemon(tableFaults(r, start, &healthy))
		skew := r.upTo(2*time.Minute) - time.Minute
		daemons[i].now = func() time.Time { return time.Now().Add(skew) }
	}
	daemons[0].SetWriteShare(20)
	var mu sync.Mutex
	var done []operation
	request := func(account, key, id string, d *Once) {
		op := operation{key: account + "/" + key, id: id, call: tick(), reported: "unknown"}
		var wg sync.WaitGroup
		// A killed execution ends its goroutine; its caller gets no result.
		wg.Go(func() {
			res, replayed, err := svc.do(d, account, key, "body", id)
			op.answer = string(res.Body)
			switch {
			case err == nil && replayed:
				op.reported = "replayed"
			case err == nil:
				op.reported = "ran"
			case err.Ran == core.RanYes:
				op.reported = "ran before"
			default:
				op.reported = err.Ran.String()
			}
		})
		wg.Wait()
		op.ret = tick()
		mu.Lock()
		done = append(done, op)
		mu.Unlock()
	}
	var wg sync.WaitGroup
	for c := range historyClients {
		wg.Go(func() {
			r := newRNG(seed, uint64(1000+c))
			for i := range ops / historyClients {
				time.Sleep(r.upTo(4 * time.Second))
				request(string("ab"[r.intN(2)]), fmt.Sprint(2*i+r.intN(5)), fmt.Sprintf("%d-%d", c, i), daemons[r.intN(historyDaemons)])
			}
		})
	}
	wg.Wait()
	healthy.Store(true)
	time.Sleep(time.Minute)
	for i := range 2*ops/historyClients + 3 {
		request("a", fmt.Sprint(i), fmt.Sprint("last-", i), daemons[1])
	}
	for _, d := range daemons {
		wg.Go(func() { d.Close(context.Background()) })
	}
	wg.Wait()
	time.Sleep(time.Minute)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return done, svc.effects
}

// model defines which results the requests with one key may report. The state
// is the answer of the key's effect, or empty before the effect.
var model = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range h {
			k := o.Input.(operation).key
			byKey[k] = append(byKey[k], o)
		}
		var parts [][]porcupine.Operation
		for _, p := range byKey {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		switch o := output.(operation); o.reported {
		case "ran":
			return state == "", o.answer
		case "replayed":
			return state == o.answer, state
		case "ran before":
			return state != "", state
		default:
			return state == "", state
		}
	},
}

// Guards against combinations of faults, pauses, crashes and clock skew in which
// a key runs twice, a request gets the answer of another key, or "not run" is
// reported for a key that ran.
func TestHistoryIsLinearizable(t *testing.T) {
	seed := *seedFlag
	if seed == 0 {
		seed = rand.Uint64()
	}
	defer func() {
		if t.Failed() {
			t.Logf("run again with: go test ./internal/app/once -run History -args -seed %d -ops %d", seed, *opsFlag)
		}
	}()
	synctest.Test(t, func(t *testing.T) {
		ops, effects := runHistory(seed, *opsFlag)
		byKey, byOp := map[string]effect{}, map[string]effect{}
		for _, e := range effects {
			if other, twice := byKey[e.key]; twice {
				t.Errorf("key %s ran by %s and by %s", e.key, other.op, e.op)
			}
			byKey[e.key], byOp[e.op] = e, e
		}
		counts, events := map[string]int{}, []porcupine.Operation{}
		for _, o := range ops {
			counts[o.reported]++
			e, hasEffect := byOp[o.id]
			if o.reported == "not run" {
				if hasEffect {
					t.Errorf("request %s of key %s: reported as not run, but it ran", o.id, o.key)
				}
				if k, ran := byKey[o.key]; ran && k.seq < o.call {
					t.Errorf("request %s of key %s: reported as not run, but the key ran before", o.id, o.key)
				}
			}
			if o.reported == "unknown" {
				if !hasEffect {
					continue
				}
				// The effect may follow the response, so the operation counts as
				// unfinished until the end of the history.
				o.reported, o.answer, o.ret = "ran", e.answer, int64(1)<<62
			}
			events = append(events, porcupine.Operation{Input: o, Output: o, Call: o.call, Return: o.ret})
		}
		t.Logf("%d operations, %d effects, reported %v", len(ops), len(effects), counts)
		if !porcupine.CheckOperations(model, events) {
			t.Error("the history is not linearizable")
		}
	})
}
