package idempotency

import (
	"bytes"
	"testing"
	"time"

	"eelgrassgrade/internal/core"
)

var hash = HashBody([]byte("body"))

// Guards against clock skew, in either direction, that lets a record be taken over
// after its call may have been sent, and against a key that is accepted with
// another body.
func TestDecideNeverRepeatsASentCall(t *testing.T) {
	now := time.Now()
	for _, skew := range []time.Duration{-1000 * time.Hour, -time.Second, 0, time.Minute, 1000 * time.Hour} {
		for s, want := range map[State][]Verdict{
			Claimed: {TakeOver, InProgress}, Dispatched: {InProgress, OutcomeUnknown}, Done: {Replay}, NotRun: {TakeOver}, Unknown: {OutcomeUnknown}, "else": {OutcomeUnknown},
		} {
			rec := Record{State: s, Token: "t", BodySHA256: hash, TimeoutMs: 1000, WrittenAt: now}
			got, expected := Decide(&rec, hash, now.Add(skew)).Verdict, false
			for _, w := range want {
				expected = expected || got == w
			}
			if !expected {
				t.Errorf("state %s, skew %s: verdict %d, want one of %d", s, skew, got, want)
			}
			if got := Decide(&rec, HashBody(nil), now.Add(skew)).Verdict; got != Mismatch {
				t.Errorf("state %s, another body: verdict %d", s, got)
			}
		}
	}
}

// Guards against an execution that sends its call, or ends, after it has ended.
func TestTransitionsFromEndStatesAreRefused(t *testing.T) {
	now := time.Now()
	for _, s := range []State{Done, NotRun, Unknown} {
		r := Record{State: s}
		if _, ok := r.Dispatch("e", now); ok {
			t.Errorf("a record in state %s may be dispatched", s)
		}
		for _, to := range []State{Done, NotRun, Unknown, Claimed} {
			if _, ok := r.Finish(to, nil, "", now); ok {
				t.Errorf("a record in state %s may change to %s", s, to)
			}
		}
	}
	if _, ok := (Record{State: Claimed}).Finish(Done, nil, "", now); ok {
		t.Error("a record of a call that was not dispatched may change to done")
	}
}

// Guards against different accounts, services, operations or keys that share a
// record because their names are hashed without separation.
func TestKeySeparatesItsParts(t *testing.T) {
	seen := map[core.RecordKey]bool{}
	for _, p := range [][4]string{{"a", "b", "c", "d"}, {"ab", "", "c", "d"}, {"a", "bc", "", "d"}, {"a", "b", "", "cd"}, {"", "ab", "c", "d"}} {
		seen[Key(core.AccountID(p[0]), p[1], p[2], p[3])] = true
	}
	if len(seen) != 5 {
		t.Errorf("%d different record keys for 5 calls", len(seen))
	}
}

// Guards against a damaged record that is accepted and permits a second execution,
// and against a decoder that loses a field.
func FuzzDecode(f *testing.F) {
	for _, s := range []State{Claimed, Dispatched, Done, NotRun, Unknown} {
		b, _ := Record{State: s, Token: "t", BodySHA256: hash, Endpoint: "e", WrittenAt: time.Unix(1, 0).UTC()}.Encode()
		f.Add(b)
	}
	f.Add([]byte(`{"state":"done","answer":{"body":"AA=="}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Decode(b)
		if err != nil {
			return
		}
		first, err := r.Encode()
		if err != nil {
			return // a time outside the range of JSON has no encoded form
		}
		again, err := Decode(first)
		if err != nil {
			t.Fatalf("an encoded record cannot be decoded: %v", err)
		}
		second, _ := again.Encode()
		if !bytes.Equal(first, second) {
			t.Fatalf("decoding and encoding changed the record from %s to %s", first, second)
		}
		if v := Decide(&r, r.BodySHA256, time.Now()).Verdict; v == TakeOver && r.State != Claimed && r.State != NotRun {
			t.Fatalf("a record in state %s may be taken over", r.State)
		}
	})
}
