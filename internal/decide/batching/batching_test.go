package batching

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var now = time.Unix(1000, 0)

func after(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }

// order returns the task numbers of pieces in the order of service.
func order(pieces []*Piece, dc string, overShare map[string]bool) []uint64 {
	Order(now, pieces, dc, overShare)
	var tasks []uint64
	for _, p := range pieces {
		tasks = append(tasks, p.TaskSeq)
	}
	return tasks
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

// A burst of the least urgent work must not go before urgent pieces that arrive
// later, even if its latest start is earlier.
func TestUrgentGoesBeforeABurstOfBulk(t *testing.T) {
	expectOrder(t, order([]*Piece{
		{TaskSeq: 1, Rank: 5, LatestStart: after(10)},
		{TaskSeq: 2, Rank: 5, LatestStart: after(20)},
		{TaskSeq: 3, Rank: 0, LatestStart: after(900)},
	}, "", nil), 3, 1, 2)
}

// When the most urgent rank is overloaded, pieces that are already late must not
// delay others that can still be in time.
func TestLatePiecesGoLast(t *testing.T) {
	expectOrder(t, order([]*Piece{
		{TaskSeq: 1, Rank: 0, LatestStart: after(-5)},
		{TaskSeq: 2, Rank: 0, LatestStart: after(100)},
		{TaskSeq: 3, Rank: 7, LatestStart: after(2000)},
	}, "", nil), 2, 3, 1)
}

// A late piece of a second stage occupies result capacity with its inputs. It must
// keep its place in the queue, or it blocks scarce capacity without being served.
func TestLatePiecesThatHoldResultsKeepTheirPlace(t *testing.T) {
	expectOrder(t, order([]*Piece{
		{TaskSeq: 1, Rank: 3, LatestStart: after(300)},
		{TaskSeq: 2, Rank: 3, LatestStart: after(-50), LargeInputs: true},
		{TaskSeq: 3, Rank: 3, LatestStart: after(-50)},
	}, "", nil), 2, 1, 3)
}

// When one account sends far more than the others, its pieces come after those of
// accounts within their share, but only within the rank.
func TestAccountsOverTheirShareComeAfterOthersOfTheirRank(t *testing.T) {
	expectOrder(t, order([]*Piece{
		{TaskSeq: 1, Rank: 1, LatestStart: after(10), Account: "large"},
		{TaskSeq: 2, Rank: 1, LatestStart: after(500), Account: "small"},
		{TaskSeq: 3, Rank: 2, LatestStart: after(5), Account: "small"},
	}, "", map[string]bool{"large": true}), 2, 1, 3)
}

// Guards against results that are sent across data centres while the endpoint
// could serve local pieces of the same rank.
func TestLocalPiecesGoFirstWithinARank(t *testing.T) {
	expectOrder(t, order([]*Piece{
		{TaskSeq: 1, Rank: 1, LatestStart: after(10), PreferredDataCenter: "b"},
		{TaskSeq: 2, Rank: 1, LatestStart: after(20), PreferredDataCenter: "a"},
		{TaskSeq: 3, Rank: 1, LatestStart: after(30)},
		{TaskSeq: 4, Rank: 0, LatestStart: after(90), PreferredDataCenter: "b"},
	}, "a", nil), 4, 2, 3, 1)
}

// Guards against a piece with a large result that is never served because smaller
// ones use up the result capacity as it is freed, and against small pieces that
// have to wait behind it.
func TestAPieceThatDoesNotFitIsOvertakenOnlyBySmallOnes(t *testing.T) {
	pieces := []*Piece{{ResultBytes: 600, LatestStart: after(1)}, {ResultBytes: 500, LatestStart: after(2)}, {ResultBytes: 300, LatestStart: after(3)}, {ResultBytes: 10, LatestStart: after(4)}}
	got := Choose(now, pieces, Limits{MaxPieces: 8, FreeResultCapacityBytes: 1000})
	if len(got) != 2 || got[0] != 0 || got[1] != 3 {
		t.Errorf("chose %v, want [0 3]", got)
	}
}

// Guards against a piece that is sent to another data centre at once, and against
// one that waits for an endpoint of its preferred data centre until it is late.
func TestAPieceWaitsForItsDataCentreWhileItHasTime(t *testing.T) {
	limits := func(hasEndpoint bool) Limits {
		return Limits{MaxPieces: 8, FreeResultCapacityBytes: 1000, DataCenter: "a", LocalWaitSlack: 300 * time.Millisecond, HasEndpoint: func(string) bool { return hasEndpoint }}
	}
	for _, c := range []struct {
		name        string
		startMs     int
		laterStages int
		hasEndpoint bool
		want        int
	}{
		{"time left", 400, 0, true, 0},
		{"little time left", 200, 0, true, 1},
		{"late", -10, 0, true, 1},
		{"no endpoint in its data centre", 400, 0, false, 1},
		{"time left for this stage, not for the two after it", 800, 2, true, 1},
		{"time left for all three stages", 1000, 2, true, 0},
	} {
		got := Choose(now, []*Piece{{LatestStart: after(c.startMs), PreferredDataCenter: "b", LaterStages: c.laterStages}}, limits(c.hasEndpoint))
		if len(got) != c.want {
			t.Errorf("%s: chose %v, want %d pieces", c.name, got, c.want)
		}
	}
}

// Bulk work that fills the calls of a stage must not make urgent pieces late that
// a shorter call would serve in time.
func TestAnUrgentPieceKeepsItsCallShort(t *testing.T) {
	queue := func(startMs, laterStages int) []*Piece {
		list := []*Piece{{Rank: 1, LatestStart: after(startMs), StagePieces: 1, LaterStages: laterStages}}
		for range 200 {
			list = append(list, &Piece{Rank: 2, LatestStart: after(3000), StagePieces: 1})
		}
		return list
	}
	for _, c := range []struct {
		name                 string
		startMs, laterStages int
		want                 int
	}{
		{"time for a full call", 300, 0, 100},
		{"time for 70 pieces", 138, 0, 70},
		{"the next stage needs half of the time", 138 * 2, 1, 70},
		{"time for half of a call", 100, 0, 51},
		{"its share is less than half of a call", 120, 1, 50},
		{"late in half of a call too", 60, 0, 100},
		{"late already", -10, 0, 100},
	} {
		got := Choose(now, queue(c.startMs, c.laterStages), Limits{MaxPieces: 100, FreeResultCapacityBytes: 1000, PieceTime: 2 * time.Millisecond})
		if len(got) != c.want {
			t.Errorf("%s: %d pieces in the call, want %d", c.name, len(got), c.want)
		}
	}
}

// A slow endpoint gets only pieces that its extra time does not make late.
func TestASlowEndpointGetsPiecesWithTime(t *testing.T) {
	got := Choose(now, []*Piece{{LatestStart: after(100)}, {LatestStart: after(2000)}, {LatestStart: after(-1)}}, Limits{MaxPieces: 8, FreeResultCapacityBytes: 10, ExtraTime: time.Second})
	if len(got) != 2 || got[0] != 1 || got[1] != 2 {
		t.Errorf("chose %v, want [1 2]", got)
	}
}

// Guards against calls that exceed the limits of their endpoint.
func TestChooseKeepsTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var pieces []*Piece
		for range rapid.IntRange(0, 40).Draw(t, "pieces") {
			pieces = append(pieces, &Piece{ResultBytes: rapid.IntRange(0, 300).Draw(t, "bytes"), LatestStart: after(rapid.IntRange(-500, 500).Draw(t, "start")),
				PreferredDataCenter: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "near")})
		}
		l := Limits{MaxPieces: rapid.IntRange(1, 10).Draw(t, "limit"), FreeResultCapacityBytes: rapid.IntRange(0, 1000).Draw(t, "capacity"), DataCenter: "a",
			LocalWaitSlack: 100 * time.Millisecond, HasEndpoint: func(string) bool { return true }}
		resultBytes, seen := 0, map[int]bool{}
		for _, i := range Choose(now, pieces, l) {
			if seen[i] {
				t.Fatalf("piece %d chosen twice", i)
			}
			seen[i] = true
			resultBytes += pieces[i].ResultBytes
		}
		if len(seen) > l.MaxPieces || resultBytes > l.FreeResultCapacityBytes {
			t.Fatalf("%d pieces with %d result bytes in a call limited to %d and %d", len(seen), resultBytes, l.MaxPieces, l.FreeResultCapacityBytes)
		}
	})
}

// Guards against estimates that ignore overtaking work, and against a short
// estimate for a queue that is not served at all.
func TestEstimateWait(t *testing.T) {
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
		if got := EstimateWait(c.ahead, c.rate, c.overtaking); got != c.want {
			t.Errorf("EstimateWait(%d, %g, %g) = %v, want %v", c.ahead, c.rate, c.overtaking, got, c.want)
		}
	}
}
