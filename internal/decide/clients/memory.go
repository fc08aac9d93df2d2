// Package clients decides what the clients of a daemon may hold: memory and connections.
// Clients are not trusted to keep the limits that they are told.
package clients

import (
	"time"

	"eelgrassgrade/internal/core"
)

// Kind says what memory is held for.
type Kind uint8

// The kinds of held memory.
const (
	// Head is a request's head while it is read.
	Head Kind = iota
	// Request is what a request in progress needs beside its body.
	Request
	// Body is a request's body.
	Body
	// Answer is an answer that is buffered.
	Answer
	Kinds
)

var kindNames = [Kinds]string{"head", "request", "body", "answer"}

// String returns the name that logs and metrics use.
func (k Kind) String() string { return kindNames[k] }

// Room is the memory that a daemon may hold for its clients.
type Room struct {
	// Total bounds all held memory, in bytes.
	Total int64
	// Large bounds what requests over Small bytes hold. The rest of Total is a floor for
	// small requests, which a crowd of large ones cannot take.
	Large int64
	// Small is the size in bytes up to which a request is small.
	Small int64
}

const (
	// largeShare is the part of Room.Total that large requests may take.
	largeShare = 0.5
	// smallBytes is the size up to which a body is read on the floor for small requests.
	smallBytes = 64 << 10
	// headShare is the part of Room.Total that heads may take while they are read. A crowd
	// of heads takes no more of the floor for small requests.
	headShare = 0.25
	// rankShare is the part of the room for large requests that each rank leaves to more
	// urgent ones.
	rankShare = 0.04
	// An account that holds more than accountShare of the room for large requests leaves
	// otherAccountsShare of it to other accounts.
	accountShare       = 0.5
	otherAccountsShare = 0.25
)

// RoomFor returns the room on a machine with the given memory in bytes, of which the given
// share is for clients.
func RoomFor(machine int64, share float64) Room {
	total := int64(float64(machine) * share)
	return Room{Total: total, Large: int64(float64(total) * largeShare), Small: min(smallBytes, total/64)}
}

// Ask asks for memory for a request.
type Ask struct {
	Kind  Kind
	Bytes int64
	// Size is the size of the whole body as far as it is known, in bytes.
	Size int64
	// Rank is the request's rank, 0 first.
	Rank    int
	Account core.AccountID
}

// Decision says whether memory may be taken.
type Decision struct {
	Allowed bool
	// Never is true if the machine can never hold as much.
	Never bool
	// Reason names the rule that refused; empty if allowed.
	Reason string
	// Wait is the time after which there will be room, as far as it can be expected.
	Wait time.Duration
}

// Memory is the account of the memory that is held. It is not safe for concurrent use.
type Memory struct {
	room Room
	// held holds the held bytes by kind, large those of large requests.
	held      [Kinds]int64
	total     int64
	large     int64
	byAccount map[core.AccountID]int64
	// largeTime is the mean time for which large requests held memory.
	largeTime time.Duration
}

// NewMemory returns an account that holds nothing.
func NewMemory(room Room) *Memory {
	return &Memory{room: room, byAccount: map[core.AccountID]int64{}, largeTime: time.Second}
}

// Held returns the held bytes by kind.
func (m *Memory) Held() [Kinds]int64 { return m.held }

// Room returns the room.
func (m *Memory) Room() Room { return m.room }

// Take takes memory if there is room.
func (m *Memory) Take(a Ask) Decision {
	d := m.decide(a)
	if !d.Allowed {
		return d
	}
	m.add(a, a.Bytes)
	return d
}

// Free returns memory that was taken and held for the given time.
func (m *Memory) Free(a Ask, held time.Duration) {
	m.add(a, -a.Bytes)
	if m.isLarge(a) {
		const weight = 8
		m.largeTime += (held - m.largeTime) / weight
	}
}

// Resize replaces what was taken for old by what a asks for, if there is room.
func (m *Memory) Resize(old, a Ask) Decision {
	m.add(old, -old.Bytes)
	d := m.decide(a)
	if !d.Allowed {
		a = old
	}
	m.add(a, a.Bytes)
	return d
}

func (m *Memory) isLarge(a Ask) bool { return max(a.Size, a.Bytes) > m.room.Small }

func (m *Memory) add(a Ask, n int64) {
	m.held[a.Kind] += n
	m.total += n
	if !m.isLarge(a) {
		return
	}
	m.large += n
	if m.byAccount[a.Account] += n; m.byAccount[a.Account] == 0 {
		delete(m.byAccount, a.Account)
	}
}

func (m *Memory) decide(a Ask) Decision {
	large := m.isLarge(a)
	heads := int64(float64(m.room.Total) * headShare)
	switch {
	case a.Kind == Head && a.Bytes > heads:
		return Decision{Never: true, Reason: "larger than the room"}
	case a.Kind == Head && m.held[Head]+a.Bytes > heads:
		return m.refuse("no room for heads", m.held[Head]+a.Bytes-heads)
	case large && a.Bytes > m.room.Large || a.Bytes > m.room.Total:
		return Decision{Never: true, Reason: "larger than the room"}
	case m.total+a.Bytes > m.room.Total:
		return m.refuse("no room", m.total+a.Bytes-m.room.Total)
	case !large || m.large == 0:
		return Decision{Allowed: true}
	}
	room := m.room.Large - int64(float64(m.room.Large)*rankShare*float64(a.Rank))
	if lacking := m.large + a.Bytes - room; lacking > 0 {
		return m.refuse("no room for large requests", lacking)
	}
	own := m.byAccount[a.Account]
	left := m.room.Large - int64(float64(m.room.Large)*otherAccountsShare)
	if lacking := m.large + a.Bytes - left; lacking > 0 && own > 0 && own+a.Bytes > int64(float64(m.room.Large)*accountShare) {
		return m.refuse("the account holds too much", lacking)
	}
	return Decision{Allowed: true}
}

// refuse returns a refusal. The memory that is lacking is free once as large a part of
// what large requests hold has been returned.
func (m *Memory) refuse(reason string, lacking int64) Decision {
	part := 1.0
	if m.large > 0 {
		part = min(float64(lacking)/float64(m.large), 1)
	}
	return Decision{Reason: reason, Wait: time.Duration(part * float64(m.largeTime))}
}
