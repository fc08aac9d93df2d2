// Package batching chooses which waiting pieces of work share a call to a stage
// endpoint. It does no I/O: the caller passes the time and the queue.
package batching

import (
	"cmp"
	"slices"
	"time"
)

// latePenalty is added to the sort key of pieces that are past their latest start,
// so that they run only after all pieces that can still be in time.
const latePenalty = 1 << 16

// Piece is one unit of a stage's work that waits for a call. A task of n pieces
// queues n of them.
type Piece struct {
	// Rank is the request's rank, 0 the most urgent.
	Rank int
	// LatestStart is the latest time at which the call may start for the request to
	// be in time. After Deadline the result is of no use.
	LatestStart, Deadline time.Time
	// QueuedAt is when the piece was queued; it breaks ties.
	QueuedAt time.Time
	// ResultBytes is the expected size of the result.
	ResultBytes int
	// TaskSeq numbers the task. It is the last tie-breaker and keeps the pieces of a
	// task together.
	TaskSeq uint64
	// Account is the client account that the piece counts for in fair sharing.
	Account string
	// PreferredDataCenter is the data centre that holds the piece's inputs or
	// where its result is wanted; empty if there is none.
	PreferredDataCenter string
	// StagePieces is the number of pieces of the task. LatestStart assumes a call of
	// that many. LaterStages is the length of the chain of stages that follow.
	StagePieces, LaterStages int
	// LargeInputs says that large results of earlier stages are kept for the piece
	// and take up result capacity of endpoints. Such a piece is not moved back when
	// it is late, since finishing it frees that capacity for others.
	LargeInputs bool
}

// Order sorts pieces in the order of service: those that can be in time before
// late ones, then by rank, then those that prefer dataCenter or no data centre,
// then by latest start. Accounts in overShare have used more than their fair
// share and come after the others of the same rank.
func Order(now time.Time, pieces []*Piece, dataCenter string, overShare map[string]bool) {
	sortKey := func(p *Piece) int {
		k := 2 * p.Rank
		if overShare[p.Account] {
			k++
		}
		if p.LatestStart.Before(now) && !p.LargeInputs {
			k += latePenalty
		}
		return k
	}
	distance := func(p *Piece) int {
		if p.PreferredDataCenter == "" || p.PreferredDataCenter == dataCenter {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(pieces, func(a, b *Piece) int {
		if c := cmp.Compare(sortKey(a), sortKey(b)); c != 0 {
			return c
		}
		if c := cmp.Compare(distance(a), distance(b)); c != 0 {
			return c
		}
		if c := a.LatestStart.Compare(b.LatestStart); c != 0 {
			return c
		}
		if c := a.QueuedAt.Compare(b.QueuedAt); c != 0 {
			return c
		}
		return cmp.Compare(a.TaskSeq, b.TaskSeq)
	})
}

// Limits bounds one call to an endpoint.
type Limits struct {
	// MaxPieces bounds the number of pieces. FreeResultCapacityBytes is the size of
	// the results that the endpoint can still keep.
	MaxPieces, FreeResultCapacityBytes int
	// PieceTime is the time that each piece adds to a call. 0 means that a call's
	// length is not limited by the latest starts of its pieces.
	PieceTime time.Duration
	// ExtraTime is how much longer than usual the endpoint takes. Pieces that would
	// be late because of it are left to other endpoints; 0 if there are none.
	ExtraTime time.Duration
	// DataCenter is the endpoint's data centre. A piece that prefers another one,
	// where an endpoint is available, waits for that endpoint as long as it has
	// LocalWaitSlack left for this stage and as much again for each later stage.
	DataCenter     string
	LocalWaitSlack time.Duration
	// HasEndpoint reports whether a data centre has endpoints of the pool in rotation.
	HasEndpoint func(dataCenter string) bool
	// Full says that the latest starts of the pieces do not limit the call's length. While
	// more pieces wait than fit, the pieces that a shorter call leaves out are late instead,
	// and more of them: a half-full call does two thirds of a full one's work in a second.
	Full bool
}

// waitsForLocal reports whether a piece waits for an endpoint of its preferred
// data centre.
func (l *Limits) waitsForLocal(now time.Time, p *Piece) bool {
	return p.PreferredDataCenter != "" && p.PreferredDataCenter != l.DataCenter && l.HasEndpoint != nil && p.LatestStart.After(now.Add(time.Duration(1+p.LaterStages)*l.LocalWaitSlack)) && l.HasEndpoint(p.PreferredDataCenter)
}

// smallPieceDivisor divides the free result capacity into the largest result of a
// piece that may overtake one which does not fit.
const smallPieceDivisor = 16

// minCallDivisor divides the largest call into the shortest one to which a piece's
// latest start may limit it. With typical call times, half-full calls reach two
// thirds of the throughput of full ones.
const minCallDivisor = 2

// maxPiecesFor returns the largest call in which p is in time and leaves the later
// stages their share of its slack. A piece that would be late even in the shortest
// call worth making sets no bound.
func (l *Limits) maxPiecesFor(now time.Time, p *Piece) int {
	slack := p.LatestStart.Sub(now)
	if l.PieceTime <= 0 || slack < 0 || l.Full {
		return l.MaxPieces
	}
	shortest := l.MaxPieces / minCallDivisor
	if p.StagePieces+int(slack/l.PieceTime) < shortest {
		return l.MaxPieces
	}
	return max(p.StagePieces+int(slack/time.Duration(1+p.LaterStages)/l.PieceTime), shortest)
}

// Choose returns the indexes of the pieces of sorted that go into a call now.
// Once the result of a piece does not fit into the free capacity, only pieces with
// small results may overtake it; otherwise a stream of other large ones could
// keep it waiting forever. Less urgent pieces don't extend a call beyond the
// length at which the more urgent ones in it are in time.
func Choose(now time.Time, sorted []*Piece, l Limits) []int {
	var chosen []int
	freeBytes, maxBytes, maxPieces := l.FreeResultCapacityBytes, l.FreeResultCapacityBytes, l.MaxPieces
	for i, p := range sorted {
		if len(chosen) >= maxPieces {
			break
		}
		if l.waitsForLocal(now, p) {
			continue
		}
		if l.ExtraTime > 0 && !p.LatestStart.Before(now) && p.LatestStart.Before(now.Add(l.ExtraTime)) {
			continue
		}
		if p.ResultBytes > min(freeBytes, maxBytes) {
			maxBytes = l.FreeResultCapacityBytes / smallPieceDivisor
			continue
		}
		freeBytes -= p.ResultBytes
		chosen = append(chosen, i)
		if n := l.maxPiecesFor(now, p); n > len(chosen) {
			maxPieces = min(maxPieces, n)
		}
	}
	return chosen
}

// minRateShare is the part of the service rate that a piece is assumed to keep
// however much work overtakes it.
const minRateShare = 0.05

// EstimateWait estimates how long a piece waits behind ahead others. rate pieces
// finish per second, and overtaking pieces per second arrive that go before it.
func EstimateWait(ahead int, rate, overtaking float64) time.Duration {
	if rate <= 0 {
		return time.Hour
	}
	netRate := max(rate-overtaking, minRateShare*rate)
	return time.Duration(float64(ahead) / netRate * float64(time.Second))
}
