package batching

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var now = time.Unix(1000, 0)

func in(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }

// order returns the groups of pieces in the order of service.
func order(pieces []*Piece, dc string, over map[string]bool) []uint64 {
	Order(now, pieces, dc, over)
	var out []uint64
	for _, p := range pieces {
		out = append(out, p.Group)
	}
	return out
}

func expectOrder(t *testing.T, got []uint64, want ...uint64) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("order %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("order %v, want %v", got, want)
		}
	}
}

// Pattern: a burst of the least urgent work. It must not go before urgent pieces
// that come later, even if its own latest start is nearer.
func TestUrgentGoesBeforeABurstOfBulk(t *testing.T) {
	expectOrder(t, order([]*Piece{
		{Group: 1, Rank: 5, Start: in(10)},
		{Group: 2, Rank: 5, Start: in(20)},
		{Group: 3, Rank: 0, Start: in(900)},
	}, "", nil), 3, 1, 2)
}

// Pattern: overload of the most urgent rank. Pieces that are late already must
// not keep others, that can still be in time, from being so.
func TestLatePiecesGoLast(t *testing.T) {
	expectOrder(t, order([]*Piece{
		{Group: 1, Rank: 0, Start: in(-5)},
		{Group: 2, Rank: 0, Start: in(100)},
		{Group: 3, Rank: 7, Start: in(2000)},
	}, "", nil), 2, 3, 1)
}

// Pattern: a second stage whose room for results is scarce. A late piece that
// holds results of the first stage is finished, or it keeps the room for nothing.
func TestLatePiecesThatHoldRoomKeepTheirPlace(t *testing.T) {
	expectOrder(t, order([]*Piece{
		{Group: 1, Rank: 3, Start: in(300)},
		{Group: 2, Rank: 3, Start: in(-50), Holds: true},
		{Group: 3, Rank: 3, Start: in(-50)},
	}, "", nil), 2, 1, 3)
}

// Pattern: one account sends far more than the others. Its pieces come after
// those of accounts within their share, but only within the rank.
func TestAccountsOverTheirShareComeAfterOthersOfTheirRank(t *testing.T) {
	expectOrder(t, order([]*Piece{
		{Group: 1, Rank: 1, Start: in(10), Account: "large"},
		{Group: 2, Rank: 1, Start: in(500), Account: "small"},
		{Group: 3, Rank: 2, Start: in(5), Account: "small"},
	}, "", map[string]bool{"large": true}), 2, 1, 3)
}

// Guards against results that cross data centres although the endpoint has
// local pieces of the same rank.
func TestLocalPiecesGoFirstWithinARank(t *testing.T) {
	expectOrder(t, order([]*Piece{
		{Group: 1, Rank: 1, Start: in(10), Near: "b"},
		{Group: 2, Rank: 1, Start: in(20), Near: "a"},
		{Group: 3, Rank: 1, Start: in(30)},
		{Group: 4, Rank: 0, Start: in(90), Near: "b"},
	}, "a", nil), 4, 2, 3, 1)
}

// Guards against a large result that never fits because small ones of the same
// queue take each free part of the room, and against small ones that wait for it.
func TestAPieceThatDoesNotFitIsOvertakenOnlyBySmallOnes(t *testing.T) {
	pieces := []*Piece{{Bytes: 600, Start: in(1)}, {Bytes: 500, Start: in(2)}, {Bytes: 300, Start: in(3)}, {Bytes: 10, Start: in(4)}}
	got := Choose(now, pieces, Limits{Pieces: 8, Room: 1000})
	if len(got) != 2 || got[0] != 0 || got[1] != 3 {
		t.Errorf("chose %v, want [0 3]", got)
	}
}

// Guards against a piece that goes to another data centre at once, and against
// one that waits for an endpoint of its own until it is late.
func TestAPieceWaitsForItsDataCentreWhileItHasTime(t *testing.T) {
	limits := func(local bool) Limits {
		return Limits{Pieces: 8, Room: 1000, DataCenter: "a", Patience: 300 * time.Millisecond, Local: func(string) bool { return local }}
	}
	for _, c := range []struct {
		name  string
		start int
		later int
		local bool
		want  int
	}{
		{"time left", 400, 0, true, 0},
		{"little time left", 200, 0, true, 1},
		{"late", -10, 0, true, 1},
		{"no endpoint in its data centre", 400, 0, false, 1},
		{"time left for this stage, not for the two after it", 800, 2, true, 1},
		{"time left for all three stages", 1000, 2, true, 0},
	} {
		got := Choose(now, []*Piece{{Start: in(c.start), Near: "b", Later: c.later}}, limits(c.local))
		if len(got) != c.want {
			t.Errorf("%s: chose %v", c.name, got)
		}
	}
}

// Pattern: bulk work fills the calls of a stage, and urgent pieces, which a
// shorter call serves in time, are late by the length of a full one.
func TestAnUrgentPieceKeepsItsCallShort(t *testing.T) {
	queue := func(start, later int) []*Piece {
		list := []*Piece{{Rank: 1, Start: in(start), Own: 1, Later: later}}
		for range 200 {
			list = append(list, &Piece{Rank: 2, Start: in(3000), Own: 1})
		}
		return list
	}
	for _, c := range []struct {
		name         string
		start, later int
		want         int
	}{
		{"time for a full call", 300, 0, 100},
		{"time for 70 pieces", 138, 0, 70},
		{"the next stage needs half of the time", 138 * 2, 1, 70},
		{"time for half of a call", 100, 0, 51},
		{"its share is less than half of a call", 120, 1, 50},
		{"late in half of a call too", 60, 0, 100},
		{"late already", -10, 0, 100},
	} {
		got := Choose(now, queue(c.start, c.later), Limits{Pieces: 100, Room: 1000, PieceTime: 2 * time.Millisecond})
		if len(got) != c.want {
			t.Errorf("%s: %d pieces in the call, want %d", c.name, len(got), c.want)
		}
	}
}

// Pattern: one slow endpoint. It gets only pieces that its slowness does not make late.
func TestASlowEndpointGetsPiecesWithTime(t *testing.T) {
	got := Choose(now, []*Piece{{Start: in(100)}, {Start: in(2000)}, {Start: in(-1)}}, Limits{Pieces: 8, Room: 10, Extra: time.Second})
	if len(got) != 2 || got[0] != 1 || got[1] != 2 {
		t.Errorf("chose %v, want [1 2]", got)
	}
}

// Guards against calls over the bounds of their endpoint.
func TestChooseKeepsTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var pieces []*Piece
		for range rapid.IntRange(0, 40).Draw(t, "pieces") {
			pieces = append(pieces, &Piece{Bytes: rapid.IntRange(0, 300).Draw(t, "bytes"), Start: in(rapid.IntRange(-500, 500).Draw(t, "start")),
				Near: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "near")})
		}
		l := Limits{Pieces: rapid.IntRange(1, 10).Draw(t, "limit"), Room: rapid.IntRange(0, 1000).Draw(t, "room"), DataCenter: "a",
			Patience: 100 * time.Millisecond, Local: func(string) bool { return true }}
		room, seen := 0, map[int]bool{}
		for _, i := range Choose(now, pieces, l) {
			if seen[i] {
				t.Fatalf("piece %d twice", i)
			}
			seen[i] = true
			room += pieces[i].Bytes
		}
		if len(seen) > l.Pieces || room > l.Room {
			t.Fatalf("%d pieces of %d bytes in a call of %d and %d", len(seen), room, l.Pieces, l.Room)
		}
	})
}

// Guards against estimates that ignore work which overtakes, or that promise a
// turn where there is none.
func TestWait(t *testing.T) {
	for _, c := range []struct {
		ahead            int
		rate, overtaking float64
		want             time.Duration
	}{
		{0, 10, 0, 0},
		{20, 10, 0, 2 * time.Second},
		{20, 10, 5, 4 * time.Second},
		{1, 10, 50, 2 * time.Second},
		{1, 0, 0, time.Hour},
	} {
		if got := Wait(c.ahead, c.rate, c.overtaking); got != c.want {
			t.Errorf("Wait(%d, %g, %g) = %v, want %v", c.ahead, c.rate, c.overtaking, got, c.want)
		}
	}
}
