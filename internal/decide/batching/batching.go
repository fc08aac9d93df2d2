// Package batching chooses which waiting pieces of work share a call to a stage
// endpoint. It does no I/O: the caller passes the time and the queue.
package batching

import (
	"cmp"
	"slices"
	"time"
)

// lateOrder is added to the order of pieces that can no longer be in time, so
// that they run in what is left after all pieces that can.
const lateOrder = 1 << 16

// Piece is a waiting piece of a stage.
type Piece struct {
	// Rank is the request's rank, 0 first.
	Rank int
	// Start is the latest time at which the call may start for the request to
	// be in time, Deadline the time after which its result is of no use.
	Start, Deadline time.Time
	// Queued is when the piece came in; it breaks ties.
	Queued time.Time
	// Bytes is the expected size of the result.
	Bytes int
	// Group numbers the request, whose pieces sort together.
	Group uint64
	// Account numbers the client account for fair shares.
	Account string
	// Near is the data centre that holds what the piece takes or where its result
	// is wanted; empty if that makes no difference.
	Near string
	// Own is the number of pieces of the request in this stage, for which Start was
	// worked out, and Later the number of stages that follow one after the other.
	Own, Later int
	// Holds says that results of an earlier stage wait for the piece and take up
	// room. Such a piece is not put back when it is late: finishing it frees the
	// room for others.
	Holds bool
}

// Order sorts pieces for service: in time before late, then by rank, then those
// near the data centre, then by the latest start. Accounts in over have used
// more than their share and come after the others of their rank.
func Order(now time.Time, pieces []*Piece, dataCenter string, over map[string]bool) {
	key := func(p *Piece) int {
		k := 2 * p.Rank
		if over[p.Account] {
			k++
		}
		if p.Start.Before(now) && !p.Holds {
			k += lateOrder
		}
		return k
	}
	far := func(p *Piece) int {
		if p.Near == "" || p.Near == dataCenter {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(pieces, func(a, b *Piece) int {
		if c := cmp.Compare(key(a), key(b)); c != 0 {
			return c
		}
		if c := cmp.Compare(far(a), far(b)); c != 0 {
			return c
		}
		if c := a.Start.Compare(b.Start); c != 0 {
			return c
		}
		if c := a.Queued.Compare(b.Queued); c != 0 {
			return c
		}
		return cmp.Compare(a.Group, b.Group)
	})
}

// Limits bounds one call.
type Limits struct {
	// Pieces is the largest number of pieces of a call, Room the bytes of results
	// that the endpoint can still keep.
	Pieces, Room int
	// PieceTime is what each piece adds to a call. 0 means that a call's length makes
	// no piece late.
	PieceTime time.Duration
	// Extra is how much longer than usual the endpoint takes. Pieces that would
	// be late for it are left to other endpoints while these exist.
	Extra time.Duration
	// DataCenter is where the endpoint stands. A piece that is wanted in another
	// data centre, and that has an endpoint there, waits for that one while it has
	// Patience to spare for this stage and as much for each that follows.
	DataCenter string
	Patience   time.Duration
	// Local says whether a data centre has endpoints of the pool in rotation.
	Local func(dataCenter string) bool
}

// waits says whether a piece waits for an endpoint of its own data centre.
func (l *Limits) waits(now time.Time, p *Piece) bool {
	return p.Near != "" && p.Near != l.DataCenter && l.Local != nil && p.Start.After(now.Add(time.Duration(1+p.Later)*l.Patience)) && l.Local(p.Near)
}

// smallPart is the part of the room that a piece may take which overtakes one
// that does not fit.
const smallPart = 16

// fullPart divides the largest call into one that a piece's latest start may still
// shorten it to. With the usual call times a call half full does two thirds of
// the work of a full one in a second.
const fullPart = 2

// longest returns the largest call in which a piece is in time, and leaves the
// stages after this one their share of the time to spare. A piece that is not in
// time in a call of the least length that is worth its cost sets no bound.
func (l *Limits) longest(now time.Time, p *Piece) int {
	spare := p.Start.Sub(now)
	if l.PieceTime <= 0 || spare < 0 {
		return l.Pieces
	}
	least := l.Pieces / fullPart
	if p.Own+int(spare/l.PieceTime) < least {
		return l.Pieces
	}
	return max(p.Own+int(spare/time.Duration(1+p.Later)/l.PieceTime), least)
}

// Choose returns the indexes of the pieces of sorted that go into a call now.
// Once a piece does not fit into the room, only small ones may overtake it, so
// that it is not kept waiting by a stream of others of its size. Less urgent
// pieces make a call no longer than the more urgent ones in it have time for.
func Choose(now time.Time, sorted []*Piece, l Limits) []int {
	var out []int
	room, largest, longest := l.Room, l.Room, l.Pieces
	for i, p := range sorted {
		if len(out) >= longest {
			break
		}
		if l.waits(now, p) {
			continue
		}
		if l.Extra > 0 && !p.Start.Before(now) && p.Start.Before(now.Add(l.Extra)) {
			continue
		}
		if p.Bytes > min(room, largest) {
			largest = l.Room / smallPart
			continue
		}
		room -= p.Bytes
		out = append(out, i)
		if n := l.longest(now, p); n > len(out) {
			longest = min(longest, n)
		}
	}
	return out
}

// minShare is the part of the rate that is assumed to remain for a piece however
// much work overtakes it.
const minShare = 0.05

// Wait estimates how long a piece waits behind the pieces ahead of it, of which
// rate finish a second while overtaking more come in that go before it.
func Wait(ahead int, rate, overtaking float64) time.Duration {
	if rate <= 0 {
		return time.Hour
	}
	left := max(rate-overtaking, minShare*rate)
	return time.Duration(float64(ahead) / left * float64(time.Second))
}
